//! Measures this instance's own load: its link, event loop, descriptors and requests in progress.
//! [`serving::congestion`] decides what it says of a time-out, [`serving::intake`] whether callers'
//! connections are accepted. See `docs/design/intake.md`.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::rc::Rc;
use std::time::Duration;

use adapter::settings::Settings;
use clock::{Clock as _, Moment, System};
use http1::Traffic;
use serving::congestion::{Cause, Congestion};
use serving::intake::{Charge, Intake, Limits, Load, Reason, UNREAD_TIME};
use serving::receipt::Rounds;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Interval at which the traffic and the event loop's delay are observed.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of a timer below which the event loop counts as on time: timers have a resolution of a
/// millisecond.
const TIMER_RESOLUTION: Duration = Duration::from_millis(2);
/// Shortest time between two log lines of time-outs that are due to this instance.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a connection closed unread after which a period of such ends, for the log.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Longest wait for the own link or processor, as a share of the shortest latency target. A request
/// waits up to four times, so that a quarter would keep every call on time; that refuses connections
/// in bursts which an instance carries within the targets of most calls.
const MAX_WAIT_SHARE: f64 = 1.0;
/// Bounds of that wait. The timer's interval is the least that can be measured; a connection to an
/// engine times out soon after the upper bound.
const WAIT_BOUNDS: (Duration, Duration) = (OBSERVATION_INTERVAL, Duration::from_millis(300));
/// Interval between checks whether an unread connection should be closed.
const OVERDUE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Size of a request's head, of which the parser keeps no count.
const ASSUMED_HEAD_BYTES: u64 = 512;
/// Memory of a request beside its body: buffers of its connections, and its task.
const REQUEST_OVERHEAD_BYTES: u64 = 32 * 1024;

/// Consecutive connections closed unread.
#[derive(Clone, Copy, Debug)]
struct Period {
    begun: Moment,
    last: Moment,
    connections: usize,
}

/// The load of this instance.
pub(crate) struct OwnLoad {
    clock: System,
    limits: Cell<Limits>,
    seen: Cell<Traffic>,
    congestion: RefCell<Congestion>,
    rounds: Cell<Rounds>,
    intake: RefCell<Intake>,
    /// Connections accepted within [`UNREAD_TIME`] whose first request has not been read, older ones,
    /// and requests in progress.
    unread: Cell<usize>,
    idle: Cell<usize>,
    requests: Cell<usize>,
    /// Memory of the requests in progress, in bytes.
    memory: Cell<u64>,
    period: Cell<Option<Period>>,
    last_logged: Cell<Option<Moment>>,
    filled: Notify,
}

/// An accepted connection until its first request has been read.
pub(crate) struct Admitted {
    load: Rc<OwnLoad>,
    charge: Charge,
    is_idle: Cell<bool>,
}

impl Admitted {
    /// Completes when the connection should be closed because its request would be read too late.
    pub(crate) async fn wait_until_overdue(&self) -> Reason {
        sleep(UNREAD_TIME).await;
        loop {
            if let Some(reason) = self.load.refusal_reason() {
                self.load.on_closed(reason, 1, None);
                let now = self.load.clock.now();
                self.load.congestion.borrow_mut().on_overdue(now);
                return reason;
            }
            if !self.is_idle.replace(true) {
                decrement(&self.load.unread);
                self.load.idle.set(self.load.idle.get() + 1);
            }
            sleep(OVERDUE_POLL_INTERVAL).await;
        }
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let load = &self.load;
        decrement(if self.is_idle.get() {
            &load.idle
        } else {
            &load.unread
        });
    }
}

fn decrement(count: &Cell<usize>) {
    count.set(count.get() - 1);
}

/// A request in progress until this is dropped.
pub(crate) struct RequestGuard<'a> {
    load: &'a OwnLoad,
    memory: u64,
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.load.requests.set(self.load.requests.get() - 1);
        self.load.memory.set(self.load.memory.get() - self.memory);
    }
}

impl OwnLoad {
    pub(crate) fn new(clock: System, settings: &Settings) -> Self {
        Self {
            clock,
            limits: Cell::new(limits(settings, WAIT_BOUNDS.1)),
            seen: Cell::new(http1::traffic()),
            congestion: RefCell::default(),
            rounds: Cell::default(),
            intake: RefCell::default(),
            unread: Cell::new(0),
            idle: Cell::new(0),
            requests: Cell::new(0),
            memory: Cell::new(0),
            period: Cell::new(None),
            last_logged: Cell::new(None),
            filled: Notify::new(),
        }
    }

    pub(crate) fn set_limits(&self, settings: &Settings) {
        let max_wait = self.limits.get().max_wait;
        self.limits.set(limits(settings, max_wait));
    }

    /// Sets how long requests may wait here, from the shortest latency target of a route.
    pub(crate) fn set_latency_target(&self, target: Option<Duration>) {
        let (least, most) = WAIT_BOUNDS;
        let wait = target.map_or(most, |target| target.mul_f64(MAX_WAIT_SHARE));
        self.limits.set(Limits {
            max_wait: wait.clamp(least, most),
            ..self.limits.get()
        });
    }

    /// Whether connections are closed unread now.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed().is_some()
    }

    /// Why connections should be refused now, if refusing them relieves what is short.
    pub(crate) fn refusal_reason(&self) -> Option<Reason> {
        self.closed()
            .filter(|reason| reason.is_relieved_by_refusing())
    }

    fn closed(&self) -> Option<Reason> {
        let now = self.clock.now();
        let load = self.load(None, now);
        let mut intake = self.intake.borrow_mut();
        intake.update(&self.limits.get(), &load, now);
        intake.closed()
    }

    /// Decides on an accepted connection.
    ///
    /// The kernel gives each new descriptor the lowest free number, so that at least as many are
    /// open.
    ///
    /// # Errors
    ///
    /// The reason to close it unread.
    pub(crate) fn admit(self: &Rc<Self>, descriptor: RawFd) -> Result<Admitted, Reason> {
        self.observe_traffic();
        let now = self.clock.now();
        let load = self.load(u64::try_from(descriptor).ok(), now);
        let admitted = self
            .intake
            .borrow_mut()
            .admit(&self.limits.get(), &load, now);
        match admitted {
            Ok(charge) => {
                self.unread.set(self.unread.get() + 1);
                Ok(Admitted {
                    load: self.clone(),
                    charge,
                    is_idle: Cell::new(false),
                })
            }
            Err(reason) => {
                self.on_closed(reason, 1, load.descriptors);
                Err(reason)
            }
        }
    }

    /// Records a request that has been read. `admitted` is given for the first of a connection.
    pub(crate) fn on_request(&self, body: usize, admitted: Option<Admitted>) -> RequestGuard<'_> {
        let body = body as u64;
        let charged = admitted.map_or(Charge::default(), |admitted| admitted.charge);
        let (limits, now) = (self.limits.get(), self.clock.now());
        let bytes = ASSUMED_HEAD_BYTES + body;
        self.intake
            .borrow_mut()
            .on_request(bytes, charged, &limits, now);
        if self.refusal_reason().is_some() {
            self.filled.notify_one();
        }
        let memory = REQUEST_OVERHEAD_BYTES + body;
        self.requests.set(self.requests.get() + 1);
        self.memory.set(self.memory.get() + memory);
        RequestGuard { load: self, memory }
    }

    /// Waits for a request that fills the link: one on a kept connection, or a larger one than was
    /// charged.
    pub(crate) async fn wait_until_filled(&self) {
        self.filled.notified().await;
    }

    /// Records the time until a peer answered.
    pub(crate) fn on_round_trip(&self, peer: SocketAddr, begun: Moment) {
        let now = self.clock.now();
        let took = now.saturating_sub(begun);
        self.congestion.borrow_mut().on_round_trip(peer, took, now);
    }

    /// When bytes arrived that are being handled. They waited if this process was stopped or had no
    /// processor.
    pub(crate) fn arrival(&self) -> Moment {
        self.rounds.get().arrival(self.clock.now())
    }

    /// Whether this instance itself may have caused a silence that began at `begun`. It says nothing
    /// of an engine or a path then.
    pub(crate) fn explains_silence(&self, begun: Moment) -> bool {
        self.observe_traffic();
        let now = self.clock.now();
        let cause = self.congestion.borrow().explains_silence(begun, now);
        if let Some(cause) = cause {
            self.log_silence(cause, begun, now);
        }
        cause.is_some()
    }

    /// Whether bodies should be sent to one engine only.
    pub(crate) fn is_link_full(&self) -> bool {
        let intake = self.intake.borrow();
        intake.is_link_full(&self.limits.get(), self.clock.now())
    }

    /// Whether a request with a body of this size was received too late over the own link to be
    /// answered within `target`.
    pub(crate) fn is_too_late(&self, elapsed: Duration, body: usize, target: Duration) -> bool {
        let limits = self.limits.get();
        let bytes = ASSUMED_HEAD_BYTES + body as u64;
        #[allow(clippy::cast_precision_loss)]
        let transmission = Duration::from_secs_f64(bytes as f64 / limits.bytes_per_second);
        let intake = self.intake.borrow();
        intake.is_too_late(elapsed, transmission, target, &limits, self.clock.now())
    }

    fn load(&self, descriptors: Option<u64>, now: Moment) -> Load {
        let congestion = self.congestion.borrow();
        Load {
            round_trip_delay: congestion.round_trip_delay(now),
            event_loop_delay: congestion.event_loop_delay(now),
            descriptors,
            requests: self.unread.get() + self.idle.get() + self.requests.get(),
            unread: self.unread.get(),
            memory: self.memory.get(),
        }
    }

    /// Records that the listener was closed, or this many connections unread.
    pub(crate) fn on_closed(&self, reason: Reason, connections: usize, descriptors: Option<u64>) {
        let now = self.clock.now();
        let before = self.period.get();
        let period = before.unwrap_or(Period {
            begun: now,
            last: now,
            connections: 0,
        });
        self.period.set(Some(Period {
            last: now,
            connections: period.connections + connections,
            ..period
        }));
        if before.is_none() {
            let wait = self.intake.borrow().link_wait(&self.limits.get(), now);
            let load = self.load(descriptors, now);
            log::warn!(
                reason:? = reason, link_ms:% = wait.as_millis(), answers_ms:% = load.round_trip_delay.as_millis(),
                event_loop_ms:% = load.event_loop_delay.as_millis(), descriptors = load.descriptors.unwrap_or_default(),
                unread = load.unread, in_hand = load.requests, bytes = load.memory;
                "connections are closed unread"
            );
        }
    }

    /// Ends the period of closed connections for the log once none has been closed for a while.
    fn end_period(&self, now: Moment) {
        let Some(period) = self.period.get() else {
            return;
        };
        if self.refusal_reason().is_some() {
            self.period.set(Some(Period {
                last: now,
                ..period
            }));
        } else if now.saturating_sub(period.last) >= QUIET_TIME {
            self.period.set(None);
            log::info!(
                closed = period.connections, after_ms:% = period.last.saturating_sub(period.begun).as_millis();
                "connections are accepted again"
            );
        }
    }

    fn log_silence(&self, cause: Cause, begun: Moment, now: Moment) {
        let is_due = |last| now.saturating_sub(last) >= LOG_INTERVAL;
        if self.last_logged.get().is_none_or(is_due) {
            self.last_logged.set(Some(now));
            log::info!(
                cause:? = cause, after_ms:% = now.saturating_sub(begun).as_millis();
                "time-outs are due to this instance"
            );
        }
    }

    fn observe_traffic(&self) {
        let traffic = http1::traffic();
        let seen = self.seen.replace(traffic);
        let sent = traffic.sent - seen.sent;
        let now = self.clock.now();
        let rate = self.limits.get().bytes_per_second;
        self.congestion.borrow_mut().on_sent(sent, rate, now);
        // Between requests, the traffic is that of the store and of other instances.
        if self.requests.get() > 0 {
            let received = traffic.received - seen.received;
            self.intake.borrow_mut().on_traffic(sent, received, now);
        }
    }
}

fn limits(settings: &Settings, max_wait: Duration) -> Limits {
    Limits {
        bytes_per_second: settings.link_mbps.max(0.1) * 1e6 / 8.0,
        descriptors: settings.max_descriptors as u64,
        memory: settings.memory,
        max_wait,
    }
}

/// Observes the traffic and the event loop until the process ends.
pub(crate) async fn run(load: Rc<OwnLoad>) {
    loop {
        let due = load.clock.now() + OBSERVATION_INTERVAL + TIMER_RESOLUTION;
        load.congestion.borrow_mut().expect_iteration(due);
        sleep(OBSERVATION_INTERVAL).await;
        load.observe_traffic();
        let now = load.clock.now();
        let late = now.saturating_sub(due);
        let mut rounds = load.rounds.get();
        rounds.on_round(now);
        load.rounds.set(rounds);
        load.congestion.borrow_mut().on_iteration(late, now);
        load.end_period(now);
    }
}
