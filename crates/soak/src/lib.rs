//! A soak of the gateway under random faults: real processes on loopback between stand-ins of the
//! platform, faults from outside them, and checks of what callers and back ends see. A seed gives a
//! [`plan`]; [`run`] carries it out in a [`cluster`] of processes, [`proxy`] links and stand-ins while
//! [`caller`]s send; [`check`] judges the [`history`]. It stands at the end of the dependencies and
//! nothing depends on it. See `docs/SOAK.md`.

pub mod caller;
pub mod check;
pub mod cluster;
pub mod gateway;
pub mod history;
pub mod plan;
pub mod proxy;
pub mod run;
