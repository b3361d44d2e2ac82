//! Simulates a fleet in virtual time: gateways, a key-value service, engines, plain servers and callers.
//!
//! The fakes implement the platform's published behaviour as far as a gateway can observe it. Tests assert on
//! what the fakes recorded, never on what the gateways report about themselves.

#![allow(dead_code, unused_imports, unreachable_pub)]

pub mod accounts;
pub mod contention;
pub mod engine;
pub mod fleet;
pub mod series;
pub mod setup;
pub mod store;
pub mod world;

pub use engine::Engine;
pub use setup::{ENGINES, PLAIN, config, engine_config, inference_spec};
pub use store::Store;
pub use world::{Answer, PartArrival, ServerPath, World};
