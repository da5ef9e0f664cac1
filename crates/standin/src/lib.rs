//! Placeholder of the standin crate.
