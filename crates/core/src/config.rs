//! The operators' configuration: its form, its edits, its checks, and the rules compiled for routing.

mod check;
mod document;
mod edit;
mod patch;
pub(crate) mod rebase;
pub mod rules;
mod warn;

pub use check::{Problem, check};
pub use document::{
    Adapter, Caller, Document, Header, Kind as ServiceKind, Rule, Server, Service, Then, When,
};
pub use edit::{Change, Edit, Place};
pub use patch::apply;
pub use rebase::clash;
pub use warn::warnings;

pub(crate) use check::check_after;
pub(crate) use patch::{Undo, patch};
