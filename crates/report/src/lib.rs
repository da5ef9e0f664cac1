//! Placeholder of the report crate.
