//! Tests of several controls in one process, with the platform's stand-in and a mesh on loopback.

mod claims;
mod conflicts;
mod fleet;
mod orders;
mod outage;
mod retention;
mod roles;
mod single_entry;
