//! To be written.
