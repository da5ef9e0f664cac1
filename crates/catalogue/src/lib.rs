//! Placeholder of the catalogue crate.
