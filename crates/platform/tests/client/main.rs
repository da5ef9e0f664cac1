//! Tests of the clients against a scripted HTTP server on loopback.

mod engines;
mod fake;
mod instances;
mod log;
