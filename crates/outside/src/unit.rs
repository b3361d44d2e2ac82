//! Newtypes for addresses, numbers and sizes.

use std::fmt;
use std::net::{AddrParseError, SocketAddrV4};
use std::num::ParseIntError;
use std::str::FromStr;

/// Defines a newtype around a number with `Display` and `FromStr`.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

number! {
    /// A revision of the key-value service.
    Revision(i64)
}

number! {
    /// The id of a lease of the key-value service.
    Lease(i64)
}

number! {
    /// A fencing number, sent along with every order to an engine.
    Fence(u64)
}

/// The address of a server: an IPv4 address and a port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Endpoint(pub SocketAddrV4);

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Endpoint {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
