//! Dense references to the entities of one node. They index its tables and mean nothing on another VM.

use cranelift_entity::entity_impl;
use serde::{Deserialize, Serialize};

macro_rules! entities {
    ($($(#[$doc:meta])* $name:ident, $prefix:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(u32);
        entity_impl!($name, $prefix);
    )*};
}

entities! {
    /// An availability zone.
    Zone, "zone";
    /// A caller.
    Caller, "cal";
    /// A service.
    Service, "svc";
    /// A backend server.
    Server, "srv";
    /// One adapter at one version.
    Adapter, "ad";
    /// A control domain.
    Domain, "dom";
    /// A rule of the configuration in force.
    Rule, "rule";
}
