//! Controls in one process, over the platform's stand-in and a real mesh on loopback.

mod alone;
mod claims;
mod fleet;
mod orders;
mod outage;
mod race;
mod retention;
mod roles;
