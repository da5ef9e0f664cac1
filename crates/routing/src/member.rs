//! One upstream of a pool and its estimated state.

use std::time::Duration;

use clock::Moment;

use crate::{
    affinity,
    cost::DECODE_PREFILL_SHARE,
    ledger::Ledger,
    passive_health::PassiveHealth,
    pool::Speed,
    request::Model,
    upstream::{Health, Role, View},
    window::Window,
};

/// Share of its full speed that a new upstream is credited with at first.
const MIN_SLOW_START_SHARE: f64 = 0.1;

/// One upstream of a pool and its estimated state.
#[derive(Clone, Debug)]
pub struct Member {
    /// State known to the entry.
    pub view: View,
    /// Estimated outstanding work.
    pub ledger: Ledger,
    /// Nominal speed, taken from load reports where available.
    pub speed: Speed,
    /// Seed for its rendezvous hashing weights.
    pub seed: u64,
    /// Limit on outstanding work.
    pub window: Window,
    /// Health as observed by this entry.
    pub passive_health: PassiveHealth,
    /// Factor on the nominal speed, below 1 for an upstream slower than others in its role.
    pub(crate) speed_factor: f64,
    /// Whether it is ejected because of its passive health.
    pub(crate) ejected: bool,
}

impl Member {
    pub(crate) fn new(view: View, speed: Speed) -> Self {
        Self {
            seed: affinity::seed(&view.id),
            view,
            ledger: Ledger::default(),
            speed,
            window: Window::new(speed.slots),
            passive_health: PassiveHealth::default(),
            speed_factor: 1.0,
            ejected: false,
        }
    }

    /// Whether the upstream may receive new work at all.
    pub fn accepts_work(&self) -> bool {
        self.view.open
            && self.view.health != Health::Down
            && !self.ledger.report().is_some_and(|report| report.draining)
    }

    /// Whether the model is loaded; true for requests without a model.
    pub fn serves(&self, model: Option<&Model>) -> bool {
        match model {
            None => true,
            Some(model) => self.view.models.is_empty() || self.view.models.contains(model),
        }
    }

    /// Speed in the current role. A load report states the rate of the role; without one, a decode
    /// engine is assumed to prefill only in the capacity left beside its decodes.
    pub fn effective_speed(&self) -> Speed {
        let reported = self
            .ledger
            .report()
            .is_some_and(|report| report.prefill_rate > 0.0);
        let chunked = self.view.role == Role::Decode && !reported;
        let chunk = if chunked { DECODE_PREFILL_SHARE } else { 1.0 };
        Speed {
            prefill_rate: self.speed.prefill_rate * chunk * self.speed_factor,
            decode_rate: self.speed.decode_rate * self.speed_factor,
            ..self.speed
        }
    }

    /// Share of its speed that the upstream is credited with during slow start.
    pub fn slow_start_share(&self, now: Moment, slow_start: Duration) -> f64 {
        let since = self.view.up_since.max(self.passive_health.readmitted_at());
        let uptime = now.saturating_sub(since);
        if uptime >= slow_start {
            return 1.0;
        }
        let ramped = uptime.as_secs_f64() / slow_start.as_secs_f64();
        ramped.max(MIN_SLOW_START_SHARE)
    }
}
