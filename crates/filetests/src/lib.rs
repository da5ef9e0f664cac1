//! Placeholder of the filetests crate.
