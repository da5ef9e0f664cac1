//! Share of the outstanding work that is served before a class.

use std::time::Duration;

use clock::Moment;

use crate::{class::Class, rate::Rate};

/// Smoothing window of the rates.
const WINDOW: Duration = Duration::from_secs(5);

/// Rate of prompt tokens sent, by class.
///
/// Engines serve by priority, so a request of a high class waits for part of the backlog only. The
/// class mix of other entries is not known and is assumed to equal this entry's.
#[derive(Clone, Debug)]
pub struct ClassMix {
    rates: [Rate; Class::COUNT],
}

impl ClassMix {
    /// A mix without any work.
    pub fn new(now: Moment) -> Self {
        Self {
            rates: [Rate::new(now, WINDOW); Class::COUNT],
        }
    }

    /// Counts prompt tokens that were sent.
    pub fn record(&mut self, now: Moment, class: Class, tokens: f64) {
        self.rates[class.rank()].record(now, tokens);
    }

    /// Share of the work that is of this or a higher class; 1 if nothing is known.
    pub fn share_ahead(&self, now: Moment, class: Class) -> f64 {
        let rates = self.rates.map(|rate| rate.per_second(now));
        let all: f64 = rates.iter().sum();
        if all <= 0.0 {
            return 1.0;
        }
        rates[..=class.rank()].iter().sum::<f64>() / all
    }
}
