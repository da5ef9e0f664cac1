//! Decides which instances hold the records of all engines.
//!
//! Only those that place calls need them. Others place calls by themselves only while no placer
//! answers, but holding all records makes them independent of placers, and they are next in line to
//! place calls. So an instance holds all as long as its link takes them within a moment; beyond
//! that size it keeps the records of the engines that placers chose for its calls, and its state,
//! messages and memory no longer grow with the number of engines. See `docs/design/knowledge.md`.

use std::time::Duration;

use clock::Moment;

/// Typical size of an engine's record.
const RECORD_BYTES: f64 = 300.0;
/// Longest transfer of all records to an instance that holds them.
const MAX_TRANSFER_TIME: Duration = Duration::from_millis(500);

/// Growth of the number of engines up to which it counts as unchanged.
const STABLE_GROWTH: f64 = 1.1;
/// Time for which the number of engines has to stay before an instance takes the records of all. While
/// a fleet starts, its first engines are few.
const STABLE_TIME: Duration = Duration::from_secs(2);

/// Tracks whether the number of engines, as announced by placers, has settled.
#[derive(Clone, Copy, Debug, Default)]
pub struct Growth {
    reference: Option<(usize, Moment)>,
}

impl Growth {
    /// Records the announced number. Returns whether it has settled.
    pub fn observe(&mut self, engines: usize, now: Moment) -> bool {
        #[allow(clippy::cast_precision_loss)]
        let has_grown = |before: usize| engines as f64 > before as f64 * STABLE_GROWTH;
        let (before, since) = *self.reference.get_or_insert((engines, now));
        if has_grown(before) {
            self.reference = Some((engines, now));
            return false;
        }
        now.saturating_sub(since) >= STABLE_TIME
    }
}

/// Whether an instance with this link holds all records of so many engines.
pub fn holds_all(link_mbps: f64, engines: usize) -> bool {
    transfer_time(link_mbps, engines) <= MAX_TRANSFER_TIME
}

/// Whether an instance that holds all records keeps them. Less strict than [`holds_all`], so that an
/// instance does not change its mind whenever an engine comes or goes.
pub fn may_hold_all(link_mbps: f64, engines: usize) -> bool {
    holds_all(link_mbps, engines / 5 * 4)
}

/// Time to transfer the records of so many engines over a link.
pub fn transfer_time(link_mbps: f64, engines: usize) -> Duration {
    #[allow(clippy::cast_precision_loss)]
    let bits = engines as f64 * RECORD_BYTES * 8.0;
    Duration::from_secs_f64(bits / (link_mbps.max(0.1) * 1e6))
}
