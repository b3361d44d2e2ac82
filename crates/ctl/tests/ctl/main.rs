//! Tests of the operators' tool without a daemon.

mod commands;
mod diff;
mod files;
mod support;
