//! Passive health checks of one upstream: when to eject it, for how long, and how it returns.

use std::time::Duration;

use clock::Moment;

use crate::upstream::Observation;

/// Settings of passive health checks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Consecutive failures that eject an upstream.
    pub consecutive_failures: u32,
    /// Consecutive timeouts that eject an upstream.
    pub consecutive_timeouts: u32,
    /// Length of a first ejection. It doubles with each ejection that follows soon.
    pub base_ejection_time: Duration,
    /// Maximum length of an ejection.
    pub max_ejection_time: Duration,
    /// Time after a return from which the next ejection counts as a first one again.
    pub reset_after: Duration,
    /// Largest fraction of a pool that may be ejected, from 0 to 1, rounded down.
    pub max_ejected_fraction: f64,
    /// An upstream is slow if its smoothed time to first byte exceeds its pool's median by this
    /// factor.
    pub slow_factor: f64,
    /// Times to first byte below this are never slow.
    pub slow_floor: Duration,
    /// Responses needed before an upstream can count as slow.
    pub slow_samples: u32,
    /// Time over which the share of work grows after an ejection or a first listing.
    pub slow_start: Duration,
    /// Share of work at the beginning of a slow start, from 0 to 1.
    pub slow_start_share: f64,
    /// Time between probes of an upstream whose ejection time is over.
    pub probe_interval: Duration,
    /// How long a gone upstream is kept, so that late responses still find it.
    pub forget_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            consecutive_failures: 5,
            consecutive_timeouts: 3,
            base_ejection_time: Duration::from_secs(5),
            max_ejection_time: Duration::from_secs(300),
            reset_after: Duration::from_secs(120),
            max_ejected_fraction: 0.34,
            slow_factor: 4.0,
            slow_floor: Duration::from_millis(500),
            slow_samples: 20,
            slow_start: Duration::from_secs(15),
            slow_start_share: 0.1,
            probe_interval: Duration::from_secs(1),
            forget_after: Duration::from_secs(60),
        }
    }
}

/// Weight of a new sample in the smoothed time to first byte.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Doublings after which every ejection has its maximum length.
const MAX_DOUBLINGS: u32 = 16;

/// Why an upstream should be ejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Too many consecutive failures.
    Failures,
    /// Too many consecutive timeouts.
    Timeouts,
    /// Much slower than the others of its pool.
    Slow,
}

/// Health of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Health {
    failures: u32,
    timeouts: u32,
    samples: u32,
    /// Smoothed time to first byte in seconds.
    ttfb: f64,
    ejection: Option<Ejection>,
    ejections: u32,
    returned_at: Option<Moment>,
    slow_start_from: Option<Moment>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Ejection {
    cause: Cause,
    until: Moment,
    next_probe: Moment,
}

impl Health {
    /// Whether the upstream is ejected.
    pub fn ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Cause and earliest end of the current ejection.
    pub fn ejection(&self) -> Option<(Cause, Moment)> {
        self.ejection
            .map(|ejection| (ejection.cause, ejection.until))
    }

    /// Smoothed time to first byte in seconds, once there are enough samples to compare it.
    pub fn smoothed_ttfb(&self, settings: &Settings) -> Option<f64> {
        (self.samples >= settings.slow_samples).then_some(self.ttfb)
    }

    /// Share of a healthy upstream's work that this one should get, from 0 to 1. It grows during
    /// the slow start, so that the whole pool's backlog does not hit a cold instance.
    pub fn share(&self, now: Moment, settings: &Settings) -> f64 {
        let Some(from) = self.slow_start_from else {
            return 1.0;
        };
        let age = now.saturating_sub(from).as_secs_f64();
        let slow_start = settings.slow_start.as_secs_f64();
        if slow_start <= 0.0 {
            return 1.0;
        }
        (age / slow_start).clamp(settings.slow_start_share, 1.0)
    }

    /// Begins the slow start of a newly listed upstream.
    pub(crate) fn begin_slow_start(&mut self, now: Moment) {
        self.slow_start_from = Some(now);
    }

    /// Records the result of an attempt.
    pub(crate) fn record_attempt(&mut self, observation: Observation) {
        match observation {
            Observation::Answered(time) => {
                self.failures = 0;
                self.timeouts = 0;
                self.record_ttfb(time.as_secs_f64());
            }
            Observation::Failed => self.failures += 1,
            Observation::TimedOut => self.timeouts += 1,
        }
    }

    /// Why it should be ejected, given its pool's median time to first byte.
    pub(crate) fn ejection_cause(&self, median: Option<f64>, settings: &Settings) -> Option<Cause> {
        if self.failures >= settings.consecutive_failures {
            return Some(Cause::Failures);
        }
        if self.timeouts >= settings.consecutive_timeouts {
            return Some(Cause::Timeouts);
        }
        let ttfb = self.smoothed_ttfb(settings)?;
        let limit = (median? * settings.slow_factor).max(settings.slow_floor.as_secs_f64());
        (ttfb > limit).then_some(Cause::Slow)
    }

    /// Ejects it, for twice as long each time while the fault recurs.
    pub(crate) fn eject(&mut self, now: Moment, cause: Cause, settings: &Settings) {
        let recovered = self
            .returned_at
            .is_some_and(|at| now.saturating_sub(at) >= settings.reset_after);
        if recovered {
            self.ejections = 0;
        }
        let factor = 1_u32 << self.ejections.min(MAX_DOUBLINGS);
        let period = settings
            .base_ejection_time
            .saturating_mul(factor)
            .min(settings.max_ejection_time);
        self.ejections += 1;
        self.ejection = Some(Ejection {
            cause,
            until: now + period,
            next_probe: now + period,
        });
        self.clear_counts();
    }

    /// Whether the ejection time is over and a probe is due; if so, schedules the next one.
    pub(crate) fn take_due_probe(&mut self, now: Moment, settings: &Settings) -> bool {
        let Some(ejection) = &mut self.ejection else {
            return false;
        };
        if now < ejection.next_probe {
            return false;
        }
        ejection.next_probe = now + settings.probe_interval;
        true
    }

    /// Records the result of a probe. Once the ejection time is over, a response ends the
    /// ejection and anything else extends it.
    pub(crate) fn record_probe(
        &mut self,
        now: Moment,
        observation: Observation,
        settings: &Settings,
    ) {
        let Some(ejection) = self.ejection else {
            return;
        };
        if now < ejection.until {
            return;
        }
        if matches!(observation, Observation::Answered(_)) {
            self.ejection = None;
            self.returned_at = Some(now);
            self.slow_start_from = Some(now);
            self.clear_counts();
        } else {
            self.eject(now, ejection.cause, settings);
        }
    }

    fn clear_counts(&mut self) {
        self.failures = 0;
        self.timeouts = 0;
        self.samples = 0;
    }

    fn record_ttfb(&mut self, seconds: f64) {
        self.ttfb = if self.samples == 0 {
            seconds
        } else {
            self.ttfb + SMOOTHING_FACTOR * (seconds - self.ttfb)
        };
        self.samples = self.samples.saturating_add(1);
    }
}
