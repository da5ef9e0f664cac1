//! Controls in one process, over the platform's stand-in and a real mesh on loopback.

mod claims;
mod conflicts;
mod fleet;
mod orders;
mod outage;
mod retention;
mod roles;
mod single_entry;
