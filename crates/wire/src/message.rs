//! Messages as bytes: the packed encoding of Cap'n Proto.

use capnp::message::{Builder, HeapAllocator, ReaderOptions};
use capnp::serialize_packed;
use dahliastile_core::peer::Message;

use crate::convert::Convert;
use crate::error::{Error, Result};
use crate::peer_capnp::message;

/// The largest message that is sent or accepted, in bytes before packing.
pub const MAX_MESSAGE: usize = 4 << 20;

/// The length of a word of the encoding, in bytes.
pub(crate) const WORD: usize = 8;

/// How deep structs may nest. Messages need less; the limit only guards the stack.
const MAX_NESTING: i32 = 16;

/// The limits for reading one message. The library counts a word again when it is visited again, which a decoder
/// that reads each field once hardly does, so twice the length is enough.
const LIMITS: ReaderOptions = ReaderOptions {
    traversal_limit_in_words: Some(2 * MAX_MESSAGE / WORD),
    nesting_limit: MAX_NESTING,
};

/// Encodes a message.
#[must_use]
pub fn encode(message: &Message) -> Vec<u8> {
    pack(&build(message))
}

/// Encodes a message, unless it is larger than [`MAX_MESSAGE`].
pub(crate) fn encode_bounded(message: &Message) -> Option<Vec<u8>> {
    let builder = build(message);
    let words: usize = builder
        .get_segments_for_output()
        .iter()
        .map(|segment| segment.len() / WORD)
        .sum();
    (words <= MAX_MESSAGE / WORD).then(|| pack(&builder))
}

/// The length of a message when encoded.
#[must_use]
pub fn encoded_len(message: &Message) -> usize {
    encode(message).len()
}

/// Decodes a message.
///
/// # Errors
/// Where the bytes are not exactly one message, or a field's value is not valid.
pub fn decode(bytes: &[u8]) -> Result<Message> {
    let mut rest = bytes;
    let reader = serialize_packed::read_message(&mut rest, LIMITS)?;
    match rest.len() {
        0 => Message::read(reader.get_root::<message::Reader<'_>>()?),
        more => Err(Error::Trailing(more)),
    }
}

fn build(message: &Message) -> Builder<HeapAllocator> {
    let mut builder = Builder::new_default();
    message.write(builder.init_root::<message::Builder<'_>>());
    builder
}

fn pack(builder: &Builder<HeapAllocator>) -> Vec<u8> {
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, builder).expect("writing to memory can't fail");
    bytes
}
