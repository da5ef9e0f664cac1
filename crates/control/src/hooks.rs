//! Closures by which the control queries the data plane. They run on the thread of the control, so
//! they must be short and never wait for a request.

use std::fmt;

use wire::peer::{Answer, Bucket, Demand, Outstanding};

/// Digest of an idempotency key.
pub type Key = [u8; 16];

/// Returns the held answer of a key.
pub type HeldAnswer = Box<dyn Fn(&Key) -> Option<Answer> + Send + Sync>;

/// The closures. The defaults describe a data plane without requests.
pub struct Hooks {
    /// Number of open requests at an upstream, from its choice to the end of its answer.
    pub open_requests: Box<dyn Fn(&str) -> u32 + Send + Sync>,
    /// The [`View::sequence`](crate::View::sequence) of the oldest view by which any part of the
    /// data plane may still choose an upstream.
    pub oldest_applied_view: Box<dyn Fn() -> u64 + Send + Sync>,
    /// The held answer of a key.
    pub held_answer: HeldAnswer,
    /// Outstanding work of this entry by upstream, sent to peers.
    pub outstanding: Box<dyn Fn() -> Vec<Outstanding> + Send + Sync>,
    /// Demand at this entry by owner, sent to peers.
    pub demand: Box<dyn Fn() -> Vec<Demand> + Send + Sync>,
    /// Counters of the service-level burn report.
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
