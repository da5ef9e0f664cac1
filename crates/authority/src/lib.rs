//! Placeholder of the authority crate.
