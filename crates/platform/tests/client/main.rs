//! The client against a fake server on loopback.

mod engines;
mod fake;
mod instances;
mod log;
