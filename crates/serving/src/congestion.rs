//! This instance's own congestion: whether a time-out may be due to its own link, its own queue or
//! a late event loop, in which case it is no evidence about an engine or a path. See
//! `docs/design/intake.md`, "Time-outs".
//!
//! Load pattern: an instance with a slow link or little processor time gets the connections of a
//! whole data centre. Its handshakes then wait behind its own bodies.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;

use crate::link_queue::LinkQueue;

/// Observations are kept together for this long.
const SLOT: Duration = Duration::from_millis(100);
/// Time for which observations are kept, longer than any time-out of a connection to an engine.
const KEPT: Duration = Duration::from_secs(4);
/// Part of a silence that own congestion must account for. Less than all of it, since a full link
/// also drops packets, and the first repeat of a lost packet alone takes a second.
const EXPLAINED_SHARE: f64 = 0.25;
/// Shortest delay that explains a silence, which short waits for the processor do not reach.
const MIN_EXPLANATION: Duration = Duration::from_millis(50);
/// Delay of the link that explains any silence, since it drops packets by then.
const FULL_LINK_DELAY: Duration = Duration::from_millis(250);
/// Peers whose answers must all be late before the own link is the likely cause.
const LATE_PEERS: usize = 2;
/// Connections of callers whose requests did not arrive in time before the receiving direction of the
/// own link is the likely cause: single callers may send slowly, or nothing.
const OVERDUE_CONNECTIONS: usize = 3;
/// Time over which the delay of all answers, or of all iterations of the event loop, is standing.
const STANDING: Duration = Duration::from_millis(400);
/// Iterations of the event loop without which nothing is known of its delay.
const MIN_ITERATIONS: usize = 2;
/// Time after which the shortest round trip is measured anew, since paths change.
const SHORTEST_KEPT: Duration = Duration::from_secs(30);
/// Bound of the round trip that is taken for the paths' own. It is longer only if the link has been
/// full since the start.
const MAX_USUAL_ROUND_TRIP: Duration = Duration::from_millis(40);

/// What delays this instance's own traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Bytes that were sent before wait for the link.
    Queue,
    /// All answers are late, whoever gives them.
    Link,
    /// The event loop ran late.
    EventLoop,
    /// Requests of several callers do not arrive over the full link.
    Receiving,
}

/// Observations of a short time.
#[derive(Clone, Copy, Debug)]
struct Slot {
    begun: Moment,
    /// Longest wait of the own bytes for the link.
    wait: Duration,
    /// Sum and minimum of the delays of the event loop's iterations, and their number.
    late: Duration,
    shortest_late: Duration,
    iterations: usize,
    /// Connections whose requests did not arrive in time.
    overdue: usize,
    /// Shortest round trip to the first peer, and to any other.
    round_trip: Option<(SocketAddr, Duration)>,
    other_round_trip: Option<Duration>,
}

impl Slot {
    fn new(begun: Moment) -> Self {
        Self {
            begun,
            wait: Duration::ZERO,
            late: Duration::ZERO,
            shortest_late: Duration::MAX,
            iterations: 0,
            overdue: 0,
            round_trip: None,
            other_round_trip: None,
        }
    }

    fn peers(&self) -> usize {
        usize::from(self.round_trip.is_some()) + usize::from(self.other_round_trip.is_some())
    }

    fn shortest_round_trip(&self) -> Option<Duration> {
        let first = self.round_trip.map(|(_, took)| took);
        first.into_iter().chain(self.other_round_trip).min()
    }
}

/// The shortest round trip of the present and of the previous period.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    begun: Moment,
    present: Option<Duration>,
    previous: Option<Duration>,
}

impl Usual {
    fn observe(&mut self, took: Duration, now: Moment) {
        if now.saturating_sub(self.begun) >= SHORTEST_KEPT {
            self.previous = self.present.take();
            self.begun = now;
        }
        self.present = Some(self.present.map_or(took, |shortest| shortest.min(took)));
    }

    fn get(&self) -> Duration {
        let shortest = self.present.into_iter().chain(self.previous).min();
        shortest.unwrap_or_default().min(MAX_USUAL_ROUND_TRIP)
    }
}

/// Recent observations of the own link and event loop. Memory is bounded: some forty slots.
#[derive(Clone, Debug, Default)]
pub struct Congestion {
    queue: LinkQueue,
    slots: VecDeque<Slot>,
    usual: Usual,
    /// When the next iteration of the event loop is due.
    next_iteration: Option<Moment>,
}

impl Congestion {
    /// Records bytes that were handed to the kernel, on a link that carries `rate` bytes a second.
    pub fn on_sent(&mut self, bytes: u64, rate: f64, now: Moment) {
        self.queue.add(bytes, rate, now);
        let wait = self.queue.wait(rate, now);
        let slot = self.slot(now);
        slot.wait = slot.wait.max(wait);
    }

    /// Records when the next iteration of the event loop is due.
    pub fn expect_iteration(&mut self, due: Moment) {
        self.next_iteration = Some(due);
    }

    /// Records that an iteration of the event loop began this much late.
    pub fn on_iteration(&mut self, late: Duration, now: Moment) {
        self.next_iteration = None;
        let slot = self.slot(now);
        slot.late += late;
        slot.shortest_late = slot.shortest_late.min(late);
        slot.iterations += 1;
    }

    /// Records a connection that was closed because its request did not arrive in time while the link
    /// was full.
    pub fn on_overdue(&mut self, now: Moment) {
        self.slot(now).overdue += 1;
    }

    /// Records the time until a peer answered, such as the opening of a connection. A refusal is an
    /// answer, a time-out is not.
    pub fn on_round_trip(&mut self, peer: SocketAddr, took: Duration, now: Moment) {
        self.usual.observe(took, now);
        let slot = self.slot(now);
        match &mut slot.round_trip {
            Some((first, shortest)) if *first == peer => *shortest = took.min(*shortest),
            Some(_) => {
                let shortest = slot.other_round_trip.unwrap_or(took);
                slot.other_round_trip = Some(took.min(shortest));
            }
            None => slot.round_trip = Some((peer, took)),
        }
    }

    /// What of this instance's own may have caused a silence that began at `begun`, if anything.
    ///
    /// Without answers from anyone the own link is not taken to be full, unless its queue or callers'
    /// requests that do not arrive say so: lost paths to engines look alike.
    pub fn explains_silence(&self, begun: Moment, now: Moment) -> Option<Cause> {
        let silence = now.saturating_sub(begun);
        let share = silence.mul_f64(EXPLAINED_SHARE).max(MIN_EXPLANATION);
        let bound = share.min(FULL_LINK_DELAY);
        let slots = || self.slots_since(begun);
        if slots().map(|slot| slot.wait).max() >= Some(bound) {
            return Some(Cause::Queue);
        }
        let late: Duration = slots().map(|slot| slot.late).sum();
        if late + self.overdue_iteration(begun, now) >= share {
            return Some(Cause::EventLoop);
        }
        if slots().map(|slot| slot.overdue).sum::<usize>() >= OVERDUE_CONNECTIONS {
            return Some(Cause::Receiving);
        }
        let delay = self.shortest_delay_since(begun)?;
        (delay >= bound).then_some(Cause::Link)
    }

    /// Time since `begun` for which an iteration of the event loop has been overdue that has not run yet. After a
    /// stop, what waited for it may run first.
    fn overdue_iteration(&self, begun: Moment, now: Moment) -> Duration {
        let due = self.next_iteration.unwrap_or(now);
        now.saturating_sub(due.max(begun))
    }

    /// Time that all recent answers took beyond the paths' own; zero if none is known.
    pub fn round_trip_delay(&self, now: Moment) -> Duration {
        let since = now.saturating_sub(STANDING);
        self.shortest_delay_since(since).unwrap_or_default()
    }

    /// Time by which all recent iterations of the event loop began late.
    pub fn event_loop_delay(&self, now: Moment) -> Duration {
        let slots = || self.slots_since(now.saturating_sub(STANDING));
        let iterations: usize = slots().map(|slot| slot.iterations).sum();
        let shortest = slots().map(|slot| slot.shortest_late).min();
        let shortest = shortest.filter(|_| iterations >= MIN_ITERATIONS);
        shortest.unwrap_or_default()
    }

    fn shortest_delay_since(&self, since: Moment) -> Option<Duration> {
        let slots = || self.slots_since(since);
        let mut first = None;
        let is_other = |slot: &Slot| {
            let peer = slot.round_trip.map(|(peer, _)| peer);
            let others = peer.is_some() && *first.get_or_insert(peer) != peer;
            others || slot.peers() >= LATE_PEERS
        };
        if !slots().any(is_other) {
            return None;
        }
        let shortest = slots().filter_map(Slot::shortest_round_trip).min()?;
        Some(shortest.saturating_sub(self.usual.get()))
    }

    fn slots_since(&self, since: Moment) -> impl Iterator<Item = &Slot> {
        self.slots
            .iter()
            .filter(move |slot| slot.begun + SLOT > since)
    }

    fn slot(&mut self, now: Moment) -> &mut Slot {
        while self
            .slots
            .front()
            .is_some_and(|slot| now.saturating_sub(slot.begun) > KEPT)
        {
            self.slots.pop_front();
        }
        let is_current = self
            .slots
            .back()
            .is_some_and(|slot| now.saturating_sub(slot.begun) < SLOT);
        if !is_current {
            self.slots.push_back(Slot::new(now));
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
