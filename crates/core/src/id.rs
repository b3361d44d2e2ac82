//! Names that mean the same on every VM: they come from settings, from the configuration or from callers.

use std::borrow::Borrow;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Why a text is not a name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The text is empty.
    #[error("a name can't be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME`] bytes.
    #[error("a name can't be longer than {MAX_NAME} bytes")]
    Long,
    /// The text holds a character outside letters, digits, `-`, `_`, `.` and `/`.
    #[error("a name can't hold {0:?}")]
    Character(char),
    /// An adapter was named without its version.
    #[error("an adapter is named as <adapter>@<version>")]
    MissingVersion,
}

/// The longest name accepted, in bytes.
pub const MAX_NAME: usize = 128;

fn check(text: &str) -> Result<(), Malformed> {
    let bad = |c: &char| !(c.is_alphanumeric() || matches!(c, '-' | '_' | '.' | '/'));
    match text.chars().find(bad) {
        _ if text.is_empty() => Err(Malformed::Empty),
        _ if text.len() > MAX_NAME => Err(Malformed::Long),
        Some(c) => Err(Malformed::Character(c)),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Malformed;

            fn from_str(text: &str) -> Result<Self, Malformed> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Malformed;

            fn try_from(text: String) -> Result<Self, Malformed> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

names! {
    /// The name of an entry VM.
    Vm;
    /// The name of an availability zone.
    Zone;
    /// The name of a caller: one bearer token.
    Caller;
    /// The name of a tenant: callers whose figures are counted together.
    Tenant;
    /// The name of a service: a model deployment or a plain service.
    Service;
    /// The name of a backend server.
    Server;
    /// The build of a backend server: the version of its software. Builds have no order.
    Build;
    /// The name of a control domain: backend servers that one lease covers.
    Domain;
    /// The name of a rule.
    Rule;
    /// The name of a traffic class.
    Class;
    /// The name of a weight store.
    Store;
}

/// One adapter at one version, written `<adapter>@<version>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Adapter {
    /// The whole text.
    text: Arc<str>,
    /// Where the `@` stands.
    at: usize,
}

impl Adapter {
    /// The whole text, `<adapter>@<version>`.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// The adapter's name without its version.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.text[..self.at]
    }

    /// The version.
    #[must_use]
    pub fn version(&self) -> &str {
        &self.text[self.at + 1..]
    }
}

/// The same hash as that of its text, as [`Borrow`] asks for.
impl Hash for Adapter {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}

impl fmt::Display for Adapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl FromStr for Adapter {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let (name, version) = text.split_once('@').ok_or(Malformed::MissingVersion)?;
        check(name)?;
        check(version)?;
        Ok(Self {
            text: text.into(),
            at: name.len(),
        })
    }
}

impl TryFrom<String> for Adapter {
    type Error = Malformed;

    fn try_from(text: String) -> Result<Self, Malformed> {
        text.parse()
    }
}

impl From<Adapter> for String {
    fn from(adapter: Adapter) -> Self {
        adapter.text.as_ref().to_owned()
    }
}

impl Borrow<str> for Adapter {
    fn borrow(&self) -> &str {
        &self.text
    }
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident, $prefix:literal;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", $prefix, self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.strip_prefix($prefix).unwrap_or(text).parse().map(Self)
            }
        }
    )*};
}

numbers! {
    /// A caller's request on this VM. The shell numbers them and never uses a number twice.
    Request, "req";
    /// One try to have a backend server do a request. Never used twice, so that a late answer finds nothing.
    Attempt, "att";
    /// One operation on the platform's key-value service.
    Op, "op";
    /// One order to a backend server.
    Order, "ord";
    /// One call of an operator.
    Ticket, "tkt";
    /// One start of the daemon, higher with each start of a VM's name: made of the wall clock and random bits.
    Incarnation, "inc";
    /// A fencing number: the revision at which a domain's lease key was created. A higher one wins.
    Fence, "fence";
    /// A revision of the key-value service, or zero for a key that is not there.
    Revision, "rev";
    /// A lease of the key-value service.
    Lease, "lease";
    /// A residency grant, unique within a domain's fencing number.
    Grant, "grant";
    /// One start of a backend server, as it reports it.
    Boot, "boot";
    /// A number of the configuration, one higher with each accepted edit.
    Edition, "ed";
}
