//! Decisions of an entry about requests and roles: which upstream a request goes to, whether it is
//! admitted, waits or is refused, what an owner may still use, whether it is tried again, and which
//! engine changes its role. The crate stands between the daemon, which fills in what it knows of the
//! fleet and drives [`router::Router`] under one lock, and the callers' requests. It does no I/O: the
//! clock's moment is an argument and random numbers come from a seeded generator that each
//! structure owns, so that a run can be repeated exactly. See docs/design/choice.md.

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
