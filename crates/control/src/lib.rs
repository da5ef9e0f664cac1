//! Placeholder of the control crate.
