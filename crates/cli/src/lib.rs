//! Placeholder of the cli crate.
