//! Tests of the operators' tool without a daemon.

mod budget;
mod commands;
mod diff;
mod files;
mod support;
mod traffic;
