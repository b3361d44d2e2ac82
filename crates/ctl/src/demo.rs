//! The demonstration.

use crate::args::Demo;
use crate::error::{Error, Result};
use crate::output::Output;

/// Runs the demonstration.
pub(crate) fn run(options: &Demo) -> Result<Output> {
    Err(Error::Demo(format!("{options:?}")))
}
