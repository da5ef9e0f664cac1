//! The administration API, on its own address and behind its own token.

pub mod answer;
pub mod burn;
pub mod edits;
pub mod handler;
