//! Placeholder of the peer crate.
