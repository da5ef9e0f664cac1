//! How much work may stand before one upstream, so that queues stay at the entries, where a later but
//! more urgent request can still go first.

use crate::{class::Class, load::Load, pool::Speed, upstream::Report};

/// Waiting requests, as a share of the slots, above which the window shrinks.
const SHRINK_ABOVE_WAITING: f64 = 0.05;

/// Bounds of the window, as shares of the slots. More than the slots is of use only as far as answers
/// and new requests travel.
const MIN_LIMIT: f64 = 0.5;
const MAX_LIMIT: f64 = 1.1;

/// Factor at each report of too many waiting.
const SHRINK_FACTOR: f64 = 0.9;

/// Growth, in requests, at each report without any waiting.
const GROWTH_STEP: f64 = 0.5;

/// Seconds of prefill that may stand before an engine at most.
const MAX_PREFILL_S: f64 = 0.5;

/// Share of the window that a class may fill. What is left to the higher classes lets them in at once
/// while lower ones wait.
fn class_share(class: Class) -> f64 {
    match class {
        Class::Authorisation | Class::Status => f64::INFINITY,
        Class::Interactive => 0.95,
        Class::Dispatch => 0.85,
        Class::Batch => 0.7,
    }
}

/// Part of the window that an entry may fill, as a multiple of its share of all outstanding
/// requests, and the part of an entry without any. The multiples let shares move; that of prefill is
/// larger because a few prompts make up all of it.
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
    /// A window for an upstream that works on `slots` requests at once.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots.max(1));
        Self {
            limit: slots,
            slots,
        }
    }

    /// Requests that may stand before the upstream.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Adapts to a report: requests that wait at the engine are out of reach of the entries' order of
    /// classes, so the window shrinks; an engine without any waiting may run dry, so it grows.
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

    /// Whether a request of this class finds room beside the estimated load, of which `own` is this
    /// entry's. `share` is this entry's share of all outstanding requests.
    ///
    /// When an upstream has room, all entries learn of it and each fills it, because none knows yet
    /// what the others sent. One notices it under overload by seconds of prefill before some
    /// upstreams while others are idle. Here each entry fills its part only.
    pub fn has_room(&self, class: Class, speed: &Speed, load: Load, own: Load, share: f64) -> bool {
        let usable = class_share(class);
        if usable.is_infinite() {
            return true;
        }
        // A small window must still let one request of the lowest class in.
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
