//! The three programs over HTTP.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod common;
mod engine;
mod platform;
mod service;
