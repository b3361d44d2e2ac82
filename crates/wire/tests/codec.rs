//! Encoding and decoding of messages.

mod arbitrary;
#[allow(
    clippy::all,
    clippy::pedantic,
    missing_docs,
    unreachable_pub,
    unused
)]
#[rustfmt::skip]
#[path = "../src/generated/peer_capnp.rs"]
mod peer_capnp;

use arbitrary::{KINDS, Sample, message};
use capnp::message::Builder;
use capnp::serialize_packed;
use dahliastile_core::id::{Edition, Malformed};
use dahliastile_core::peer::{Fetch, Message};
use dahliastile_wire::{Error, decode, encode, encoded_len};
use quickcheck::{Gen, QuickCheck};

const SIZE: usize = 12;
const SEED: u64 = 5;

fn quickcheck() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(300)
}

/// A message written field by field with the schema's builders.
fn raw(write: impl FnOnce(peer_capnp::message::Builder<'_>)) -> Vec<u8> {
    let mut builder = Builder::new_default();
    write(builder.init_root());
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &builder).unwrap();
    bytes
}

fn fetch() -> Message {
    Message::Fetch(Fetch {
        have: Edition(7),
        offset: 0,
        snapshot: Edition(u64::MAX),
    })
}

#[test]
fn decode_inverts_encode_for_every_kind() {
    let mut g = Gen::from_size_and_seed(SIZE, SEED);
    for kind in (0..KINDS).cycle().take(400) {
        let sent = message(kind, &mut g);
        assert_eq!(decode(&encode(&sent)), Ok(sent));
    }
}

#[test]
fn encoded_len_is_length_of_encoding() {
    fn property(Sample(message): Sample) -> bool {
        encoded_len(&message) == encode(&message).len()
    }
    quickcheck().quickcheck(property as fn(Sample) -> bool);
}

#[test]
fn encode_is_the_same_each_time() {
    fn property(Sample(message): Sample) -> bool {
        encode(&message) == encode(&message.clone())
    }
    quickcheck().quickcheck(property as fn(Sample) -> bool);
}

#[test]
fn decode_survives_any_bytes() {
    fn property(mut bytes: Vec<u8>, last: u8) -> bool {
        bytes.push(last);
        decode(&bytes).map_or(true, |read| decode(&encode(&read)) == Ok(read))
    }
    quickcheck().quickcheck(property as fn(Vec<u8>, u8) -> bool);
}

#[test]
fn decode_survives_changed_bytes() {
    fn property(Sample(message): Sample, changes: Vec<(usize, u8)>) -> bool {
        let mut bytes = encode(&message);
        let length = bytes.len();
        for (at, byte) in changes {
            bytes[at % length] = byte;
        }
        // What is still a message after the change is one that can be sent.
        decode(&bytes).map_or(true, |read| decode(&encode(&read)) == Ok(read))
    }
    quickcheck().quickcheck(property as fn(Sample, Vec<(usize, u8)>) -> bool);
}

#[test]
fn decode_refuses_cut_message() {
    let bytes = encode(&fetch());
    for length in 0..bytes.len() {
        assert!(matches!(decode(&bytes[..length]), Err(Error::Encoding(_))));
    }
}

#[test]
fn decode_refuses_trailing_bytes() {
    let mut bytes = encode(&fetch());
    bytes.extend([0, 0]);
    assert_eq!(decode(&bytes), Err(Error::Trailing(2)));
}

#[test]
fn decode_refuses_bad_name() {
    let bytes = raw(|to| to.init_ask().set_domain("a b"));
    let cause = Malformed::Character(' ');
    let field = "domain";
    assert_eq!(decode(&bytes), Err(Error::Name { field, cause }));
}

#[test]
fn decode_refuses_adapter_without_version() {
    let bytes = raw(|to| {
        let mut ask = to.init_ask();
        ask.set_domain("d");
        ask.init_uses(1).get(0).set_adapter("lock-plan");
    });
    let cause = Malformed::MissingVersion;
    let field = "adapter";
    assert_eq!(decode(&bytes), Err(Error::Name { field, cause }));
}

#[test]
fn decode_refuses_short_key() {
    let bytes = raw(|to| to.init_claim().set_key(&[1; 15]));
    let field = "key";
    assert_eq!(decode(&bytes), Err(Error::Length { field, found: 15 }));
}

#[test]
fn decode_refuses_absent_struct() {
    assert_eq!(decode(&raw(|_| ())), Err(Error::Missing("message")));
    let outcome = raw(|to| {
        let mut verdict = to.init_verdict();
        verdict.set_key(&[1; 16]);
        verdict.init_finding().init_ended().init_kept();
    });
    assert!(decode(&outcome).is_ok());
    let report = raw(|to| {
        let mut update = to.init_update();
        update.set_domain("d");
        update.init_loads(1).get(0).set_server("s");
    });
    assert_eq!(decode(&report), Err(Error::Missing("report")));
}

#[test]
fn decode_refuses_unknown_variant() {
    // The discriminant is the first number of the root struct; only its low byte is set for `piece`.
    let known = raw(|to| {
        to.init_piece();
    });
    let at = known.iter().rposition(|&byte| byte == 7).unwrap();
    let mut unknown = known.clone();
    unknown[at] = 99;
    assert_eq!(decode(&known), Err(Error::Missing("edits")));
    assert_eq!(decode(&unknown), Err(Error::UnknownVariant(99)));
}

#[test]
fn decode_refuses_message_that_unpacks_too_large() {
    // One segment of 2^24 words, all zero, which would be a message without its struct.
    let table = [0x80, 0x01];
    let zeros = [0x00, 0xff].repeat(1 << 16);
    let bytes = [&table[..], &zeros[..]].concat();
    assert!(matches!(decode(&bytes), Err(Error::Encoding(_))));
}
