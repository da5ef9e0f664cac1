//! What the data plane tells the control when asked. The control asks on its own thread, so the
//! closures must be short and never wait for a request.

use std::fmt;

use wire::peer::{Answer, Bucket, Demand, Outstanding};

/// Digest of an idempotency key.
pub type Key = [u8; 16];

/// Gives the held answer of a key.
pub type HeldAnswer = Box<dyn Fn(&Key) -> Option<Answer> + Send + Sync>;

/// The closures. The default ones stand for a data plane that does not serve.
pub struct Hooks {
    /// How many requests are open at an upstream, from its choice to the end of its answer.
    pub open_requests: Box<dyn Fn(&str) -> u32 + Send + Sync>,
    /// The [`View::sequence`](crate::View::sequence) of the oldest view by which any part of the
    /// data plane may still choose an upstream.
    pub oldest_applied_view: Box<dyn Fn() -> u64 + Send + Sync>,
    /// The held answer of a key.
    pub held_answer: HeldAnswer,
    /// Own outstanding work by upstream, for peers.
    pub outstanding: Box<dyn Fn() -> Vec<Outstanding> + Send + Sync>,
    /// Demand by owner, for peers.
    pub demand: Box<dyn Fn() -> Vec<Demand> + Send + Sync>,
    /// Counters of the report on service-level burn.
    pub burn: Box<dyn Fn() -> Vec<Bucket> + Send + Sync>,
}

impl Default for Hooks {
    fn default() -> Self {
        Self {
            open_requests: Box::new(|_| 0),
            oldest_applied_view: Box::new(|| u64::MAX),
            held_answer: Box::new(|_| None),
            outstanding: Box::new(Vec::new),
            demand: Box::new(Vec::new),
            burn: Box::new(Vec::new),
        }
    }
}

impl fmt::Debug for Hooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Hooks")
    }
}
