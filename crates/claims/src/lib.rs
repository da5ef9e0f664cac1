//! Placeholder of the claims crate.
