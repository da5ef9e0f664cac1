//! Placeholder of the entry crate.
