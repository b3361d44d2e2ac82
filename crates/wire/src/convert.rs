//! Conversion between the core's messages and the schema's structs.
//!
//! Writing never fails. Reading is strict: a name that is not valid, an unknown variant or an absent struct is an
//! error, so that a message is taken whole or not at all.

mod claim;
mod configuration;
mod field;
mod grant;
mod member;

use capnp::traits::OwnedStruct;
use dahliastile_core::peer::Message;

pub(crate) use self::field::{array, name};
use crate::error::Result;
use crate::peer_capnp::message;

/// A type of the core that has a struct in the schema.
pub(crate) trait Convert: Sized {
    /// The struct.
    type Schema: OwnedStruct;

    /// Writes the value into an empty struct.
    fn write(&self, to: <Self::Schema as OwnedStruct>::Builder<'_>);

    /// Reads the value.
    fn read(from: <Self::Schema as OwnedStruct>::Reader<'_>) -> Result<Self>;
}

impl Convert for Message {
    type Schema = message::Owned;

    fn write(&self, to: message::Builder<'_>) {
        match self {
            Self::Heartbeat(inner) => inner.write(to.init_heartbeat()),
            Self::Ask(inner) => inner.write(to.init_ask()),
            Self::Update(inner) => inner.write(to.init_update()),
            Self::NotHolder(inner) => inner.write(to.init_not_holder()),
            Self::Claim(inner) => inner.write(to.init_claim()),
            Self::Verdict(inner) => inner.write(to.init_verdict()),
            Self::Fetch(inner) => inner.write(to.init_fetch()),
            Self::Piece(inner) => inner.write(to.init_piece()),
        }
    }

    fn read(from: message::Reader<'_>) -> Result<Self> {
        use message::Which;
        let present = from.has_heartbeat()
            || from.has_ask()
            || from.has_update()
            || from.has_not_holder()
            || from.has_claim()
            || from.has_verdict()
            || from.has_fetch()
            || from.has_piece();
        match from.which()? {
            _ if !present => field::missing("message"),
            Which::Heartbeat(inner) => Convert::read(inner?).map(Self::Heartbeat),
            Which::Ask(inner) => Convert::read(inner?).map(Self::Ask),
            Which::Update(inner) => Convert::read(inner?).map(Self::Update),
            Which::NotHolder(inner) => Convert::read(inner?).map(Self::NotHolder),
            Which::Claim(inner) => Convert::read(inner?).map(Self::Claim),
            Which::Verdict(inner) => Convert::read(inner?).map(Self::Verdict),
            Which::Fetch(inner) => Convert::read(inner?).map(Self::Fetch),
            Which::Piece(inner) => Convert::read(inner?).map(Self::Piece),
        }
    }
}
