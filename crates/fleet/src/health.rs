//! Passive health of one upstream: when to eject it, for how long, and how it comes back.

use std::time::Duration;

use clock::Moment;

use crate::upstream::Observation;

/// Bounds of passive health.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Consecutive failures that eject an upstream.
    pub consecutive_failures: u32,
    /// Consecutive timeouts that eject an upstream.
    pub consecutive_timeouts: u32,
    /// First period of ejection. It doubles with each ejection that follows soon.
    pub base_ejection_time: Duration,
    /// Longest period of ejection.
    pub max_ejection_time: Duration,
    /// Time of good health after which the period starts anew.
    pub reset_after: Duration,
    /// Largest part of a pool that health may eject, from 0 to 1, rounded down.
    pub max_ejected_fraction: f64,
    /// An upstream is slow if its smoothed time to first byte is over this many times its pool's
    /// median.
    pub slow_factor: f64,
    /// Times to first byte below this are never slow.
    pub slow_floor: Duration,
    /// Answers needed before an upstream can be called slow.
    pub slow_samples: u32,
    /// How long the share of work grows after a return or a first listing.
    pub slow_start: Duration,
    /// Share of work at the start of the ramp, from 0 to 1.
    pub slow_start_share: f64,
    /// Time between probes of one whose ejection is over.
    pub probe_interval: Duration,
    /// How long one that is gone is kept, so that late answers find it.
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
const SMOOTHING: f64 = 0.1;

/// Doublings after which the period can't matter any more.
const MAX_DOUBLINGS: u32 = 16;

/// Why an upstream should be ejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// Too many failures one after the other.
    Failures,
    /// Too many timeouts one after the other.
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
    smoothed: f64,
    ejection: Option<Ejection>,
    ejections: u32,
    returned_at: Option<Moment>,
    ramp_from: Option<Moment>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Ejection {
    cause: Cause,
    until: Moment,
    next_probe: Moment,
}

impl Health {
    /// Whether it is ejected now.
    pub fn ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Why it is ejected, and until when at least.
    pub fn ejection(&self) -> Option<(Cause, Moment)> {
        self.ejection
            .map(|ejection| (ejection.cause, ejection.until))
    }

    /// Smoothed time to first byte, once there are enough samples to compare it.
    pub fn smoothed_ttfb(&self, settings: &Settings) -> Option<f64> {
        (self.samples >= settings.slow_samples).then_some(self.smoothed)
    }

    /// Share of the work of a healthy upstream that this one should get, from 0 to 1. It grows
    /// after a return, so that the whole pool's backlog does not fall on a cold instance.
    pub fn share(&self, now: Moment, settings: &Settings) -> f64 {
        let Some(from) = self.ramp_from else {
            return 1.0;
        };
        let age = now.saturating_sub(from).as_secs_f64();
        let ramp = settings.slow_start.as_secs_f64();
        if ramp <= 0.0 {
            return 1.0;
        }
        (age / ramp).clamp(settings.slow_start_share, 1.0)
    }

    /// Starts the ramp of an upstream that is new in the list.
    pub(crate) fn start(&mut self, now: Moment) {
        self.ramp_from = Some(now);
    }

    /// Takes the end of an attempt in.
    pub(crate) fn observe(&mut self, observation: Observation) {
        match observation {
            Observation::Answered(time) => {
                self.failures = 0;
                self.timeouts = 0;
                self.sample(time.as_secs_f64());
            }
            Observation::Failed => self.failures += 1,
            Observation::TimedOut => self.timeouts += 1,
        }
    }

    /// Why it should be ejected, given the median pace of its pool.
    pub(crate) fn fault(&self, median: Option<f64>, settings: &Settings) -> Option<Cause> {
        if self.failures >= settings.consecutive_failures {
            return Some(Cause::Failures);
        }
        if self.timeouts >= settings.consecutive_timeouts {
            return Some(Cause::Timeouts);
        }
        let pace = self.smoothed_ttfb(settings)?;
        let limit = (median? * settings.slow_factor).max(settings.slow_floor.as_secs_f64());
        (pace > limit).then_some(Cause::Slow)
    }

    /// Ejects it for a period that doubles while the fault comes back.
    pub(crate) fn eject(&mut self, now: Moment, cause: Cause, settings: &Settings) {
        let forgiven = self
            .returned_at
            .is_some_and(|at| now.saturating_sub(at) >= settings.reset_after);
        if forgiven {
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

    /// Whether the ejection is over and a probe is due, which then counts as asked for.
    pub(crate) fn take_probe(&mut self, now: Moment, settings: &Settings) -> bool {
        let Some(ejection) = &mut self.ejection else {
            return false;
        };
        if now < ejection.next_probe {
            return false;
        }
        ejection.next_probe = now + settings.probe_interval;
        true
    }

    /// Takes the end of a probe in: an answer ends an ejection whose time is over, anything else
    /// prolongs it.
    pub(crate) fn probed(&mut self, now: Moment, observation: Observation, settings: &Settings) {
        let Some(ejection) = self.ejection else {
            return;
        };
        if now < ejection.until {
            return;
        }
        if matches!(observation, Observation::Answered(_)) {
            self.ejection = None;
            self.returned_at = Some(now);
            self.ramp_from = Some(now);
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

    fn sample(&mut self, seconds: f64) {
        self.smoothed = if self.samples == 0 {
            seconds
        } else {
            self.smoothed + SMOOTHING * (seconds - self.smoothed)
        };
        self.samples = self.samples.saturating_add(1);
    }
}
