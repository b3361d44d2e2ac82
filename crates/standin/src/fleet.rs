//! Stand-ins for the users' platform: its key-value service, model replicas and plain servers.
//!
//! They speak what the platform's pages say, as far as one entry VM can see it, and keep a record of what reached them.
//! Their faults are set while they run.

mod crash;
mod http;
mod replica;
mod slots;
mod store;

pub use crash::Crash;
pub use http::Asked;
pub use replica::{Capacity, CopyForm, Fault, Flood, Repeat, Replica, Run};
pub use store::{ListFault, Store};
