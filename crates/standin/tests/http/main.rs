//! Tests of the three programs over HTTP.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;
mod engine;
mod platform;
mod service;
