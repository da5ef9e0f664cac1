//! Placeholder of the routing crate.
