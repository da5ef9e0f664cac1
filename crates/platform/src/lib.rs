//! Placeholder of the platform crate.
