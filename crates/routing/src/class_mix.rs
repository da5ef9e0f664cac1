//! What part of the work before upstreams goes before a class.

use std::time::Duration;

use clock::Moment;

use crate::{class::Class, rate::Rate};

/// Time over which the mix is smoothed.
const WINDOW: Duration = Duration::from_secs(5);

/// Prompt tokens sent lately by class.
///
/// Engines serve by priority, so that a request of a high class waits for a part of the backlog
/// only. Nobody tells the parts of the others' work; they are taken to be like our own.
#[derive(Clone, Debug)]
pub struct ClassMix {
    rates: [Rate; Class::COUNT],
}

impl ClassMix {
    /// Nothing was sent yet.
    pub fn new(now: Moment) -> Self {
        Self {
            rates: [Rate::new(now, WINDOW); Class::COUNT],
        }
    }

    /// Counts what was sent.
    pub fn record(&mut self, now: Moment, class: Class, tokens: f64) {
        self.rates[class.rank()].record(now, tokens);
    }

    /// Share of the work that is of this class or a higher one; all of it if nothing is known.
    pub fn share_ahead(&self, now: Moment, class: Class) -> f64 {
        let rates = self.rates.map(|rate| rate.per_second(now));
        let all: f64 = rates.iter().sum();
        if all <= 0.0 {
            return 1.0;
        }
        rates[..=class.rank()].iter().sum::<f64>() / all
    }
}
