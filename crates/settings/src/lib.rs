//! Placeholder of the settings crate.
