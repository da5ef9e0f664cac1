//! The client against a fake server on loopback.

mod fake;
mod instances;
mod log;
