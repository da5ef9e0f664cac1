//! Measures what this instance's own link and event loop are busy with. [`serving::congestion`]
//! decides what that says of a time-out.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clock::{Clock as _, Moment, System};
use http1::Traffic;
use serving::congestion::{Cause, Congestion};
use tokio::time::sleep;

/// Interval at which the traffic and the event loop's delay are observed.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of a timer below which the event loop counts as on time: timers have a resolution of a
/// millisecond.
const TIMER_RESOLUTION: Duration = Duration::from_millis(2);
/// Shortest time between two log lines of time-outs that are due to this instance.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The load of this instance's own link and event loop.
pub(crate) struct OwnLoad {
    clock: System,
    /// Bytes that the link carries per second in one direction.
    rate: Cell<f64>,
    seen: Cell<Traffic>,
    congestion: RefCell<Congestion>,
    last_logged: Cell<Option<Moment>>,
}

impl OwnLoad {
    pub(crate) fn new(clock: System, link_mbps: f64) -> Self {
        let load = Self {
            clock,
            rate: Cell::new(0.0),
            seen: Cell::new(http1::traffic()),
            congestion: RefCell::default(),
            last_logged: Cell::new(None),
        };
        load.set_link(link_mbps);
        load
    }

    pub(crate) fn set_link(&self, link_mbps: f64) {
        self.rate.set(link_mbps.max(0.1) * 1e6 / 8.0);
    }

    /// Records the time until a peer answered.
    pub(crate) fn on_round_trip(&self, peer: SocketAddr, begun: Moment) {
        let now = self.clock.now();
        let took = now.saturating_sub(begun);
        self.congestion.borrow_mut().on_round_trip(peer, took, now);
    }

    /// Whether this instance itself may have caused a silence that began at `begun`. It says nothing
    /// of an engine or a path then.
    pub(crate) fn explains_silence(&self, begun: Moment) -> bool {
        self.observe_traffic();
        let now = self.clock.now();
        let cause = self.congestion.borrow().explains_silence(begun, now);
        if let Some(cause) = cause {
            self.log(cause, begun, now);
        }
        cause.is_some()
    }

    fn log(&self, cause: Cause, begun: Moment, now: Moment) {
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
        let (sent, now) = (traffic.sent - seen.sent, self.clock.now());
        let mut congestion = self.congestion.borrow_mut();
        congestion.on_sent(sent, self.rate.get(), now);
    }
}

/// Observes the traffic and the event loop until the process ends.
pub(crate) async fn run(load: Rc<OwnLoad>) {
    loop {
        let due = load.clock.now() + OBSERVATION_INTERVAL;
        sleep(OBSERVATION_INTERVAL).await;
        load.observe_traffic();
        let now = load.clock.now();
        let late = now.saturating_sub(due + TIMER_RESOLUTION);
        load.congestion.borrow_mut().on_iteration(late, now);
    }
}
