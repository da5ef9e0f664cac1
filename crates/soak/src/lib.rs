//! Soak test of the gateway under random faults: real processes on loopback between stand-ins of
//! the platform, faults injected from outside, and checks of what callers and back ends see. A seed
//! generates a [`plan`]; [`run`] executes it in a [`cluster`] of processes, [`proxy`] links and
//! stand-ins while each [`caller`] sends requests; [`check`] evaluates the [`history`]. No other
//! crate depends on this one. See `docs/SOAK.md`.

pub mod caller;
pub mod check;
pub mod cluster;
pub mod gateway;
pub mod history;
pub mod plan;
pub mod proxy;
pub mod run;
