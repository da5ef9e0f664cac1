//! Placeholder of the load crate.
