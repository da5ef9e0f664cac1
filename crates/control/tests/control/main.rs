//! Controls in one process, over the platform's stand-in and a real mesh on loopback.

mod alone;
mod fleet;
