//! Routing decisions of an entry: load balancing, admission and shedding, rate limits, retries,
//! and the planning of engines' roles.
//!
//! The entry's daemon supplies what it knows of the fleet and drives [`router::Router`] under one
//! lock. The crate does no I/O: the current time is an argument, and random numbers come from
//! seeded generators owned by each structure, so that a run can be reproduced exactly. See
//! docs/design/choice.md.

pub mod affinity;
pub mod choice;
pub mod class;
pub mod class_mix;
pub mod cost;
pub mod decision;
pub mod disaggregation;
pub mod lateness;
pub mod ledger;
pub mod limit;
pub mod load;
pub mod member;
pub mod members;
pub mod passive_health;
pub mod peers;
pub mod plan;
pub mod pool;
pub mod queue;
pub mod rate;
pub mod request;
pub mod reservation;
pub mod retry;
pub mod router;
pub mod scheduler;
pub mod upstream;
pub mod window;
