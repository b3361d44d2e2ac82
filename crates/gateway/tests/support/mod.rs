//! A fleet in virtual time: gateways, a key-value service, engines, plain servers and callers.
//!
//! The fakes follow the platform's published behaviour as far as the gateway can see it. Assertions are made over what
//! the fakes recorded, never over the gateways' opinion of themselves.

#![allow(dead_code, unused_imports, unreachable_pub)]

pub mod accounts;
pub mod engine;
pub mod series;
pub mod setup;
pub mod store;
pub mod world;

pub use engine::Engine;
pub use setup::{ENGINES, PLAIN, config, engine_config, work};
pub use store::Store;
pub use world::{Answer, World};
