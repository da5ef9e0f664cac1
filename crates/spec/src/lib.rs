//! Placeholder of the spec crate.
