//! Placeholder of the fleet crate.
