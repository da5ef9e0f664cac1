//! Retry budgets per service, shared by all instances.

use std::collections::HashMap;

use routing::retry::{Budget, Config};

use crate::ServiceName;

/// The repeats that all instances together may send beyond first attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatLimit {
    /// Repeats per call.
    pub ratio: f64,
    /// Further repeats, independent of the number of calls.
    pub slack: f64,
}

/// Share of the ratio that is spent, because instances do not see each other's calls in the same
/// window.
const RATIO_USED: f64 = 0.7;
/// Share of the slack that is spent, for the same reason and because a replaced instance starts
/// with a full share again.
const SLACK_USED: f64 = 0.5;

/// Remaining repeats of this instance, by service.
#[derive(Debug)]
pub struct RepeatBudgets {
    limit: RepeatLimit,
    instances: u32,
    services: HashMap<ServiceName, Budget>,
}

impl RepeatBudgets {
    /// The budgets of one of `instances` instances.
    pub fn new(limit: RepeatLimit, instances: u32) -> Self {
        Self {
            limit,
            instances: instances.max(1),
            services: HashMap::new(),
        }
    }

    /// Sets the limit. Earned repeats are kept unless the limit changed.
    pub fn set_limit(&mut self, bound: RepeatLimit) {
        if self.limit != bound {
            self.limit = bound;
            self.services.clear();
        }
    }

    /// Sets how many instances share the budgets. The share only ever shrinks, because an instance
    /// that is not heard from may still send.
    pub fn set_instances(&mut self, instances: u32) {
        if instances > self.instances {
            self.instances = instances;
            self.services.clear();
        }
    }

    /// Counts a call's first attempt.
    pub fn record_first_attempt(&mut self, service: &ServiceName) {
        self.budget(service).deposit();
    }

    /// Takes one repeat from the service's budget. Returns false if none is left.
    pub fn take_repeat(&mut self, service: &ServiceName) -> bool {
        self.budget(service).withdraw(1)
    }

    fn budget(&mut self, service: &ServiceName) -> &mut Budget {
        let config = Config {
            ratio: self.limit.ratio * RATIO_USED,
            burst: (self.limit.slack * SLACK_USED / f64::from(self.instances)).max(1.0),
            max_attempts: u32::MAX,
            ..Config::default()
        };
        self.services
            .entry(service.clone())
            .or_insert_with(|| Budget::new(config))
    }
}
