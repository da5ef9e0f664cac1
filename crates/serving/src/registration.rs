//! Decides how an instance that starts gets into the list of instances in the store.
//!
//! The store carries out the appends to a topic one after the other and turns away those that would
//! wait for long. If each of a thousand instances that start together appended its own record, most
//! would be turned away, and those that gave up waiting and appended again would keep the line full
//! with records that nobody waits for any more. So when many start at once, only the first ones
//! append; all others find one of these in the list and ask it to register them, and it writes all
//! that it was asked for in one call. See `docs/design/start.md`.

use std::net::SocketAddr;
use std::time::Duration;

/// Range of the random delays before instances that start together look at the list.
///
/// Those whose delays end before the first record is readable append themselves: a share that
/// shrinks as this range grows.
const SPREAD: Duration = Duration::from_millis(200);
/// Bytes whose transmission time is added to the delay, so that instances with fast links come first
/// and register the others.
const HEAD_START_BYTES: f64 = 1_000_000.0;
/// Registered instances that are asked in turn before an instance appends its own record.
const MAX_ASKED: usize = 3;
/// Instances, first in the list, among which the first one to ask is drawn. Few, since each writes all
/// requests that it has at a time in one call.
const ASKED_FIRST: usize = 4;
/// Pause after the first failure; doubles with each further one.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Longest pause after failures.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(8);

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the list, after a pause.
    Read(Duration),
    /// Append the own record.
    Append,
    /// Ask a registered instance to append it.
    Ask(SocketAddr),
    /// Nothing: the instance is registered.
    Done,
}

/// Outcome of a step.
#[derive(Clone, Copy, Debug)]
pub enum Outcome<'a> {
    /// The list was read.
    Listed {
        /// Whether it has the own record.
        is_registered: bool,
        /// The others in it, in the order common to all instances.
        others: &'a [SocketAddr],
    },
    /// The list could not be read.
    Unread,
    /// The own record was appended, here or by the instance that was asked.
    Written,
    /// The append failed, or its outcome is unknown.
    Unwritten,
    /// The instance that was asked did not confirm.
    Unconfirmed,
}

/// Progress of an instance's registration.
#[derive(Clone, Debug)]
pub struct Registration {
    /// Whether many instances register at the same time.
    is_crowded: bool,
    asked: usize,
    failures: u32,
    candidates: Vec<SocketAddr>,
}

impl Registration {
    /// The registration of an instance that starts while the others run, and its first step.
    pub fn alone() -> (Self, Step) {
        (Self::new(false), Step::Read(Duration::ZERO))
    }

    /// The registration of an instance that starts, or has lost its record, together with all
    /// others, and its first step. `draw` is random, from 0 to 1.
    pub fn crowded(link_mbps: f64, draw: f64) -> (Self, Step) {
        let head_start = HEAD_START_BYTES * 8.0 / (link_mbps.max(1.0) * 1e6);
        let delay = SPREAD.mul_f64(draw) + Duration::from_secs_f64(head_start);
        (Self::new(true), Step::Read(delay))
    }

    fn new(is_crowded: bool) -> Self {
        Self {
            is_crowded,
            asked: 0,
            failures: 0,
            candidates: Vec::new(),
        }
    }

    /// The step after the outcome of the last one. `draw` is random, from 0 to 1.
    pub fn next(&mut self, outcome: Outcome, draw: f64) -> Step {
        match outcome {
            Outcome::Listed {
                is_registered: true,
                ..
            } => Step::Done,
            Outcome::Listed { others, .. } => {
                self.candidates = candidates(others, draw);
                self.ask_or_append()
            }
            // The list tells who registered meanwhile.
            Outcome::Written => Step::Read(Duration::ZERO),
            Outcome::Unread => Step::Read(self.pause(draw)),
            Outcome::Unwritten => {
                // A record whose append has no known outcome may be in the list.
                self.is_crowded = true;
                self.asked = 0;
                Step::Read(self.pause(draw))
            }
            Outcome::Unconfirmed => self.ask_or_append(),
        }
    }

    fn ask_or_append(&mut self) -> Step {
        if !self.is_crowded || self.asked >= MAX_ASKED || self.candidates.is_empty() {
            return Step::Append;
        }
        self.asked += 1;
        Step::Ask(self.candidates.remove(0))
    }

    /// A growing pause with a random part, so that instances that failed together do not come back
    /// together.
    fn pause(&mut self, draw: f64) -> Duration {
        let pause = RETRY_INTERVAL * 2_u32.saturating_pow(self.failures.min(10));
        self.failures += 1;
        pause.min(MAX_RETRY_INTERVAL).mul_f64(0.5 + draw)
    }
}

fn candidates(others: &[SocketAddr], draw: f64) -> Vec<SocketAddr> {
    let mut first: Vec<SocketAddr> = others.iter().copied().take(ASKED_FIRST).collect();
    if !first.is_empty() {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let start = (draw * first.len() as f64) as usize % first.len();
        first.rotate_left(start);
    }
    first
}
