//! How often a service may be sent a call again, over all instances together.

use std::collections::HashMap;

use routing::retry::{Budget, Config};

use crate::ServiceName;

/// What all instances together may send beyond the first attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatLimit {
    /// Repeats per call.
    pub ratio: f64,
    /// Repeats beyond that, for all instances together.
    pub slack: f64,
}

/// Part of the ratio that is used. Instances do not see each other's calls in the same window.
const RATIO_USED: f64 = 0.7;
/// Part of the slack that is used, for the same reason and because an instance that was replaced
/// starts with a full share again.
const SLACK_USED: f64 = 0.5;

/// Repeats left to this instance, by service.
#[derive(Debug)]
pub struct RepeatBudgets {
    limit: RepeatLimit,
    instances: u32,
    services: HashMap<ServiceName, Budget>,
}

impl RepeatBudgets {
    /// Budgets of one of `instances` instances.
    pub fn new(limit: RepeatLimit, instances: u32) -> Self {
        Self {
            limit,
            instances: instances.max(1),
            services: HashMap::new(),
        }
    }

    /// Takes in a changed bound. What was earned under the one before is gone only if it changed.
    pub fn set_limit(&mut self, bound: RepeatLimit) {
        if self.limit != bound {
            self.limit = bound;
            self.services.clear();
        }
    }

    /// Takes in how many instances share the budgets. The share only ever shrinks: an instance that
    /// is not heard of may still send.
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

    /// Takes one repeat, if one is left.
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
