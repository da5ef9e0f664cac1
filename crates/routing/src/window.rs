//! How much work may stand before one upstream, so that queues stay at the entries, where a later but
//! more urgent request can still go first.

use crate::{class::Class, load::Load, pool::Speed, upstream::Report};

/// Waiting requests, as a share of the slots, above which the window shrinks.
const WAITING_HIGH: f64 = 0.05;

/// Bounds of the window, as shares of the slots. More than the slots is of use only as far as answers
/// and new requests travel.
const LEAST: f64 = 0.5;
const MOST: f64 = 1.1;

/// Factor at each report of too many waiting.
const SHRINK: f64 = 0.9;

/// Growth, in requests, at each report without any waiting.
const GROWTH: f64 = 0.5;

/// Seconds of prefill that may stand before an engine at most.
const PREFILL_SECONDS: f64 = 0.5;

/// Share of the window that a class may fill. What is left to the higher classes lets them in at once
/// while lower ones wait.
fn open_to(class: Class) -> f64 {
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
const REQUESTS_PART: f64 = 1.1;
const PREFILL_PART: f64 = 2.0;
const LEAST_PART: f64 = 0.05;

fn part(share: f64, multiple: f64) -> f64 {
    (share * multiple + LEAST_PART).min(1.0)
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
        if waiting > self.slots * WAITING_HIGH {
            self.limit *= SHRINK;
        } else if report.waiting == 0 {
            self.limit += GROWTH;
        }
        self.limit = self
            .limit
            .clamp((self.slots * LEAST).max(1.0), self.slots * MOST);
    }

    /// Whether a request of this class finds room beside the estimated load, of which `own` is this
    /// entry's. `share` is this entry's share of all outstanding requests.
    ///
    /// When an upstream has room, all entries learn of it and each fills it, because none knows yet
    /// what the others sent. One notices it under overload by seconds of prefill before some
    /// upstreams while others are idle. Here each entry fills its part only.
    pub fn has_room(&self, class: Class, speed: &Speed, load: Load, own: Load, share: f64) -> bool {
        let open = open_to(class);
        if open.is_infinite() {
            return true;
        }
        // A small window must still let one request of the lowest class in.
        let requests = (self.limit * open).max(1.0);
        let rate = speed.prefill_rate.max(f64::MIN_POSITIVE);
        let seconds = PREFILL_SECONDS * open;
        let fits = load.requests + 1.0 <= requests && load.prefill / rate <= seconds;
        let own_requests = (requests * part(share, REQUESTS_PART)).max(1.0);
        let own_seconds = seconds * part(share, PREFILL_PART);
        fits && own.requests < own_requests && own.prefill / rate <= own_seconds
    }

    fn rescale(&mut self, slots: f64) {
        if slots != self.slots {
            self.limit *= slots / self.slots;
            self.slots = slots;
        }
    }
}
