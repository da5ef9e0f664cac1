//! Limit on the outstanding work at one upstream. It keeps queues at the entries, where a later
//! but more urgent request can still be sent first.

use crate::{class::Class, load::Load, pool::Speed, upstream::Report};

/// Share of the slots above which waiting requests shrink the window.
const SHRINK_ABOVE_WAITING: f64 = 0.05;

/// Bounds of the window, as shares of the slots. Requests beyond the slots only bridge the time
/// that answers and new requests are in transit.
const MIN_LIMIT: f64 = 0.5;
const MAX_LIMIT: f64 = 1.1;

/// Factor applied by each report of too many waiting requests.
const SHRINK_FACTOR: f64 = 0.9;

/// Requests added by each report without waiting requests.
const GROWTH_STEP: f64 = 0.5;

/// Most seconds of prefill outstanding at an engine.
const MAX_PREFILL_S: f64 = 0.5;

/// Share of the window that a class may use. The remainder is reserved for higher classes, so that
/// they are sent at once while lower ones wait.
fn class_share(class: Class) -> f64 {
    match class {
        Class::Authorisation | Class::Status => f64::INFINITY,
        Class::Interactive => 0.95,
        Class::Dispatch => 0.85,
        Class::Batch => 0.7,
    }
}

/// Factors on an entry's share of all outstanding requests, giving its share of the window, and
/// the least share. The headroom lets shares move; it is larger for prefill, because a few prompts
/// fill the whole prefill limit.
const REQUESTS_SHARE_FACTOR: f64 = 1.1;
const PREFILL_SHARE_FACTOR: f64 = 2.0;
const MIN_ENTRY_SHARE: f64 = 0.05;

fn entry_share(share: f64, factor: f64) -> f64 {
    (share * factor + MIN_ENTRY_SHARE).min(1.0)
}

/// Window of one upstream, in requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    limit: f64,
    slots: f64,
}

impl Window {
    /// A window for an upstream with this many slots.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            limit: slots,
            slots,
        }
    }

    /// Most outstanding requests.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Adapts the window to a load report. Requests that wait at the engine can no longer be
    /// reordered by class, so the window shrinks; an engine without waiting requests may run dry,
    /// so it grows.
    pub fn adapt(&mut self, report: &Report) {
        if report.decode_slots > 0 {
            self.rescale(f64::from(report.decode_slots));
        }
        let waiting = f64::from(report.waiting);
        if waiting > self.slots * SHRINK_ABOVE_WAITING {
            self.limit *= SHRINK_FACTOR;
        } else if report.waiting == 0 {
            self.limit += GROWTH_STEP;
        }
        self.limit = self
            .limit
            .clamp((self.slots * MIN_LIMIT).max(1.0), self.slots * MAX_LIMIT);
    }

    /// Whether there is room for a request of this class on top of the estimated `load`, of which
    /// `own` was sent by this entry. `share` is this entry's share of all outstanding requests.
    ///
    /// All entries learn of free room at the same time, and none knows yet what the others have
    /// sent. If each filled the room, an overload would pile up seconds of prefill at some
    /// upstreams while others idle. Each entry therefore fills only its share.
    pub fn has_room(&self, class: Class, speed: &Speed, load: Load, own: Load, share: f64) -> bool {
        let usable = class_share(class);
        if usable.is_infinite() {
            return true;
        }
        // Even a small window admits one request of the lowest class.
        let max_requests = (self.limit * usable).max(1.0);
        let rate = speed.prefill_rate.max(f64::MIN_POSITIVE);
        let max_seconds = MAX_PREFILL_S * usable;
        let fits = load.requests + 1.0 <= max_requests && load.prefill / rate <= max_seconds;
        let max_own_requests = (max_requests * entry_share(share, REQUESTS_SHARE_FACTOR)).max(1.0);
        let max_own_seconds = max_seconds * entry_share(share, PREFILL_SHARE_FACTOR);
        fits && own.requests < max_own_requests && own.prefill / rate <= max_own_seconds
    }

    fn rescale(&mut self, slots: f64) {
        if slots != self.slots {
            self.limit *= slots / self.slots;
            self.slots = slots;
        }
    }
}
