//! The operators' configuration: its form, its edits, its checks, and the rules compiled for routing.

mod document;
mod edit;
pub mod rules;

pub use document::{
    Adapter, Caller, Document, Header, Kind as ServiceKind, Rule, Server, Service, Then, When,
};
pub use edit::{Change, Edit, Place};
