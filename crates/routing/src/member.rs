//! One upstream with what is believed about it.

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

/// Share of its speed at which a new upstream starts.
const MIN_SLOW_START_SHARE: f64 = 0.1;

/// One upstream and the belief about it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What the entry says of it.
    pub view: View,
    /// Work before it.
    pub ledger: Ledger,
    /// Its speed, from its reports where there are any.
    pub speed: Speed,
    /// Seed of its rendezvous weights.
    pub seed: u64,
    /// How much work may stand before it.
    pub window: Window,
    /// What this entry itself sees of it.
    pub passive_health: PassiveHealth,
    /// Share of its speed that it is taken to have; below 1 for one that is slower than its like.
    pub(crate) speed_factor: f64,
    /// Whether it is set aside because of what was observed.
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

    /// Whether new work may go there at all.
    pub fn accepts_work(&self) -> bool {
        self.view.open
            && self.view.health != Health::Down
            && !self.ledger.report().is_some_and(|report| report.draining)
    }

    /// Whether the model is loaded.
    pub fn serves(&self, model: Option<&Model>) -> bool {
        match model {
            None => true,
            Some(model) => self.view.models.is_empty() || self.view.models.contains(model),
        }
    }

    /// Its speed in its role. Reports tell the rate of the role; without one, a decode engine is
    /// taken to prefill in the room beside its decodes only.
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

    /// Share of its speed that is counted on at this moment (slow start).
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
