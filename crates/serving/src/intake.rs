//! Whether this instance accepts another connection. See `docs/design/intake.md`.
//!
//! Load pattern: a balancer hands all connections of a data centre to one small instance. What it
//! reads beyond what its link carries is late for everyone, while a caller whose connection is
//! closed unread tries another instance within milliseconds.
//!
//! The load of a connection is charged when it is accepted, long before its bodies reach the link:
//! at the mean of recent requests first, at its own size once it has been read. The charges drain
//! at the rate of the link. Connections are closed while draining takes longer than callers can
//! wait, and whenever a measured delay says the same.

use std::time::Duration;

use clock::Moment;

use crate::decaying_rate::retained;
use crate::link_queue::LinkQueue;

/// Part of the link's rate that requests may use. The rest is for frames between instances, which
/// take up to 0.15, and for packet headers.
const REQUESTS_SHARE: f64 = 0.8;
/// Connections are accepted again once this part of the limit is left, so that the intake does not
/// open and close with each connection.
const REOPEN_SHARE: f64 = 0.5;
/// The same for descriptors, of which each connection takes one or two for a long time.
const REOPEN_DESCRIPTORS_SHARE: f64 = 0.9;
/// Part of the descriptors that may be open. The rest is for engines, the store and other instances.
const DESCRIPTORS_SHARE: f64 = 0.9;
/// Part of the memory that requests in progress may take.
const REQUESTS_MEMORY_SHARE: f64 = 0.5;
/// Least size that is assumed of a request before it has been read, in bytes: small ones may be
/// followed by large ones.
const MIN_EXPECTED_BYTES: f64 = 2_048.0;
/// One request is charged for at most this many times the longest wait. A larger one shares the link
/// with others for the rest of its time, instead of keeping them out.
const MAX_CHARGED_WAITS: f64 = 4.0;
/// All charges together take at most this many times the longest wait to drain. Requests on kept connections
/// are charged while the intake is closed, and it would stay closed long after their callers have gone.
const MAX_QUEUED_WAITS: f64 = 8.0;
/// Weight that the totals of earlier requests keep with each new one: some fifty requests count.
const KEPT_WEIGHT: f64 = 0.98;
/// A request counts for at most this many times the mean in what is assumed of the next ones. Otherwise a few
/// of the largest legal size would let every connection pass for one, and keep all others out.
const MAX_MEAN_RATIO: f64 = 8.0;
/// Totals before the first request: as if every prompt were sent to two engines.
const INITIAL_REQUESTS: f64 = 8.0;
const INITIAL_REQUEST_BYTES: f64 = 4_096.0;
const INITIAL_COPIES: f64 = 2.0;
/// Bounds of the bytes that a byte of a request causes in one direction.
const MIN_COPIES: f64 = 1.0;
const MAX_COPIES: f64 = 8.0;
/// Time over which the link's use is averaged.
const USE_TIME: Duration = Duration::from_millis(500);
/// Time after the intake was last closed for the link for which it still counts as full, so that
/// calls are not placed in turns in one way and the other.
const FULL_TIME: Duration = Duration::from_secs(1);
/// Part of the link's rate in use, in either direction, below which late answers have other causes.
const LOADED_SHARE: f64 = 0.5;
/// The same, below which unread connections are taken to be idle rather than waiting for the link.
/// It is less, since what is sent on connections that were closed unread is not measured.
const UNREAD_LOADED_SHARE: f64 = 0.25;

/// Time after which an accepted connection whose first request has not been read is closed while the
/// link is full, and counts as idle otherwise. Callers give up unread requests after a second, when
/// their next try is too late.
pub const UNREAD_TIME: Duration = Duration::from_millis(300);

/// Why connections are closed unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// What was accepted takes as long as callers can wait to cross the link.
    Link,
    /// The link is in use, and all answers arrive late.
    Delay,
    /// The event loop runs late.
    EventLoop,
    /// Most descriptors are open.
    Descriptors,
    /// The requests in progress take much of the memory.
    Memory,
}

impl Reason {
    /// Whether refused connections relieve what is short, and connections that are accepted and then
    /// closed do not: callers send part of their requests on these.
    pub fn is_relieved_by_refusing(self) -> bool {
        matches!(self, Self::Link | Self::Delay)
    }
}

const REASONS: [Reason; 5] = [
    Reason::Descriptors,
    Reason::Memory,
    Reason::Link,
    Reason::EventLoop,
    Reason::Delay,
];

/// What this instance may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes that the link carries per second in each direction.
    pub bytes_per_second: f64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Memory in bytes.
    pub memory: u64,
    /// Longest wait for the link or the processor that callers can bear.
    pub max_wait: Duration,
}

/// What is measured of this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Delay of all recent answers, [`crate::congestion::Congestion::round_trip_delay`].
    pub round_trip_delay: Duration,
    /// Delay of all recent iterations of the event loop,
    /// [`crate::congestion::Congestion::event_loop_delay`].
    pub event_loop_delay: Duration,
    /// Open descriptors, if known.
    pub descriptors: Option<u64>,
    /// Requests in progress, and connections whose first request has not been read.
    pub requests: usize,
    /// Those of the connections that were accepted within [`UNREAD_TIME`].
    pub unread: usize,
    /// Memory of the requests in progress, in bytes.
    pub memory: u64,
}

/// Bytes charged for a request in each direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Charge {
    sent: f64,
    received: f64,
}

/// Decaying totals of recent requests and of the traffic that they caused, in bytes.
#[derive(Clone, Copy, Debug)]
struct Totals {
    requests: f64,
    request_bytes: f64,
    /// As `request_bytes`, with outliers cut to [`MAX_MEAN_RATIO`].
    expected_bytes: f64,
    sent: f64,
    received: f64,
}

impl Default for Totals {
    fn default() -> Self {
        let request_bytes = INITIAL_REQUESTS * INITIAL_REQUEST_BYTES;
        Self {
            requests: INITIAL_REQUESTS,
            request_bytes,
            expected_bytes: request_bytes,
            sent: INITIAL_COPIES * request_bytes,
            received: INITIAL_COPIES * request_bytes,
        }
    }
}

impl Totals {
    fn add(&mut self, bytes: f64) {
        let expected = bytes.min(MAX_MEAN_RATIO * self.mean_bytes());
        self.expected_bytes = KEPT_WEIGHT * self.expected_bytes + expected;
        self.requests = KEPT_WEIGHT * self.requests + 1.0;
        self.request_bytes = KEPT_WEIGHT * self.request_bytes + bytes;
        self.sent *= KEPT_WEIGHT;
        self.received *= KEPT_WEIGHT;
    }

    fn mean_bytes(&self) -> f64 {
        (self.expected_bytes / self.requests.max(1.0)).max(MIN_EXPECTED_BYTES)
    }

    /// What a request of this size causes in each direction.
    fn charge(&self, bytes: f64) -> Charge {
        let copies = |total: f64| {
            let copies = total / self.request_bytes.max(1.0);
            copies.clamp(MIN_COPIES, MAX_COPIES)
        };
        Charge {
            sent: bytes * copies(self.sent),
            received: bytes * copies(self.received),
        }
    }
}

/// Average use of the link in one direction.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    bytes: f64,
    at: Moment,
}

impl Use {
    fn add(&mut self, bytes: f64, now: Moment) {
        self.bytes = self.bytes_left(now) + bytes;
        self.at = now;
    }

    fn bytes_left(&self, now: Moment) -> f64 {
        self.bytes * retained(now.saturating_sub(self.at), USE_TIME)
    }

    fn bytes_per_second(&self, now: Moment) -> f64 {
        self.bytes_left(now) / USE_TIME.as_secs_f64()
    }
}

/// The intake of connections.
#[derive(Clone, Debug, Default)]
pub struct Intake {
    sent: LinkQueue,
    received: LinkQueue,
    totals: Totals,
    sent_use: Use,
    received_use: Use,
    closed: Option<Reason>,
    /// When connections were last closed for the link.
    last_full: Option<Moment>,
}

impl Intake {
    /// Decides on a new connection, and charges what its first request will probably cause.
    ///
    /// # Errors
    ///
    /// The reason to close it unread.
    pub fn admit(&mut self, limits: &Limits, load: &Load, now: Moment) -> Result<Charge, Reason> {
        self.update(limits, load, now);
        if let Some(reason) = self.closed {
            return Err(reason);
        }
        let charge = self.bounded_charge(self.totals.mean_bytes(), limits);
        self.charge(charge, limits, now);
        Ok(charge)
    }

    /// Records a request that has been read, of this many bytes. `charged` is what was charged for it
    /// already.
    pub fn on_request(&mut self, bytes: u64, charged: Charge, limits: &Limits, now: Moment) {
        let bytes = to_f64(bytes);
        self.totals.add(bytes);
        let charge = self.bounded_charge(bytes, limits);
        let rest = Charge {
            sent: charge.sent - charged.sent,
            received: charge.received - charged.received,
        };
        self.charge(rest, limits, now);
    }

    /// Records traffic of all connections, from which it is learned what a request causes.
    pub fn on_traffic(&mut self, sent: u64, received: u64, now: Moment) {
        let (sent, received) = (to_f64(sent), to_f64(received));
        self.totals.sent += sent;
        self.totals.received += received;
        self.sent_use.add(sent, now);
        self.received_use.add(received, now);
    }

    /// Why connections are closed now, if they are.
    pub fn closed(&self) -> Option<Reason> {
        self.closed
    }

    /// Whether a body should cross the link only once, where one engine can both read and generate.
    pub fn is_link_full(&self, limits: &Limits, now: Moment) -> bool {
        let is_recent = |at| now.saturating_sub(at) < FULL_TIME;
        self.last_full.is_some_and(is_recent)
            || self.link_wait(limits, now) > limits.max_wait.mul_f64(REOPEN_SHARE)
    }

    /// Whether a request cannot be answered within `target` any more because of the own link, after
    /// `elapsed` since its first byte. Its caller's next try may be on time, and others are not kept
    /// waiting by a late one. `transmission` is the time that it takes to receive it alone: large
    /// requests are late everywhere.
    pub fn is_too_late(
        &self,
        elapsed: Duration,
        transmission: Duration,
        target: Duration,
        limits: &Limits,
        now: Moment,
    ) -> bool {
        let is_delayed_here =
            self.is_link_full(limits, now) && elapsed > transmission + limits.max_wait;
        is_delayed_here && elapsed + self.sent.wait(request_rate(limits), now) > target
    }

    /// Time until what was accepted has crossed the link.
    pub fn link_wait(&self, limits: &Limits, now: Moment) -> Duration {
        let rate = request_rate(limits);
        self.sent.wait(rate, now).max(self.received.wait(rate, now))
    }

    /// Decides whether connections are accepted from now on.
    pub fn update(&mut self, limits: &Limits, load: &Load, now: Moment) {
        let is_still_closed = self
            .closed
            .is_some_and(|reason| self.exceeds(reason, true, limits, load, now));
        if !is_still_closed {
            let mut reasons = REASONS.into_iter();
            self.closed = reasons.find(|reason| self.exceeds(*reason, false, limits, load, now));
        }
        if matches!(self.closed, Some(Reason::Link | Reason::Delay)) {
            self.last_full = Some(now);
        }
    }

    /// Whether the load exceeds a limit, or what it must fall to if connections are closed for it.
    fn exceeds(
        &self,
        reason: Reason,
        is_closed: bool,
        limits: &Limits,
        load: &Load,
        now: Moment,
    ) -> bool {
        let reopen = |share| if is_closed { share } else { 1.0 };
        let max_wait = limits.max_wait.mul_f64(reopen(REOPEN_SHARE));
        match reason {
            Reason::Link => {
                self.link_wait(limits, now) > max_wait
                    || self.unread_wait(load, limits, now) > max_wait
            }
            Reason::Delay => {
                let is_late = load.requests > 0 && load.round_trip_delay > max_wait;
                is_late && self.is_loaded(LOADED_SHARE, limits, now)
            }
            // Without requests in progress, something else than callers takes the processor.
            Reason::EventLoop => load.requests > 0 && load.event_loop_delay > max_wait,
            Reason::Descriptors => load.descriptors.map_or(is_closed, |open| {
                let share = DESCRIPTORS_SHARE * reopen(REOPEN_DESCRIPTORS_SHARE);
                to_f64(open) > share * to_f64(limits.descriptors)
            }),
            Reason::Memory => {
                let share = REQUESTS_MEMORY_SHARE * reopen(REOPEN_SHARE);
                to_f64(load.memory) > share * to_f64(limits.memory)
            }
        }
    }

    /// Time until the requests of unread connections have been received. Their charges have drained
    /// if the link carries less than is assumed, or also carries what refused callers send.
    fn unread_wait(&self, load: &Load, limits: &Limits, now: Moment) -> Duration {
        if !self.is_loaded(UNREAD_LOADED_SHARE, limits, now) {
            return Duration::ZERO;
        }
        let bytes = to_f64(load.unread as u64) * self.totals.mean_bytes();
        Duration::from_secs_f64(bytes / request_rate(limits))
    }

    fn is_loaded(&self, share: f64, limits: &Limits, now: Moment) -> bool {
        let sent = self.sent_use.bytes_per_second(now);
        let most = sent.max(self.received_use.bytes_per_second(now));
        most >= share * limits.bytes_per_second
    }

    fn bounded_charge(&self, bytes: f64, limits: &Limits) -> Charge {
        let most = MAX_CHARGED_WAITS * limits.max_wait.as_secs_f64() * request_rate(limits);
        let charge = self.totals.charge(bytes);
        Charge {
            sent: charge.sent.min(most),
            received: charge.received.min(most),
        }
    }

    fn charge(&mut self, charge: Charge, limits: &Limits, now: Moment) {
        let rate = request_rate(limits);
        self.sent.charge(charge.sent, rate, now);
        self.received.charge(charge.received, rate, now);
        let most = MAX_QUEUED_WAITS * limits.max_wait.as_secs_f64() * rate;
        self.sent.truncate(most);
        self.received.truncate(most);
    }
}

fn request_rate(limits: &Limits) -> f64 {
    limits.bytes_per_second * REQUESTS_SHARE
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
