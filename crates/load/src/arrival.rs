//! Arrivals of one class as a Poisson process whose rate follows the plan. Arrivals never wait for
//! answers, as real callers do not: a load that slows down with the system would hide the queues
//! that it should show.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::plan::{Class, Plan};
use crate::swing::{self, Quantity};

/// Arrivals of one class at one worker, as times since the start of the run.
///
/// Thinning: candidates arrive at the maximum rate that the swings allow, and each is kept with the
/// probability of the rate at its time divided by the maximum.
#[derive(Debug)]
pub struct Arrivals<'a> {
    class: &'a Class,
    end: Duration,
    max_rate: f64,
    base_rate: f64,
    at: f64,
    random: StdRng,
}

impl<'a> Arrivals<'a> {
    /// Arrivals at one of `workers` workers; together they make up the rate of the class.
    pub fn new(plan: &Plan, class: &'a Class, seed: u64, workers: usize) -> Self {
        let base_rate = class.rate / workers as f64;
        Self {
            class,
            end: plan.duration,
            max_rate: base_rate * swing::max_factor(&class.swings, Quantity::Rate),
            base_rate,
            at: 0.0,
            random: StdRng::seed_from_u64(seed),
        }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        if self.max_rate <= 0.0 {
            return None;
        }
        loop {
            self.at += -(1.0 - self.random.random::<f64>()).ln() / self.max_rate;
            if self.at >= self.end.as_secs_f64() {
                return None;
            }
            let at = Duration::from_secs_f64(self.at);
            let rate = self.base_rate * swing::factor(&self.class.swings, Quantity::Rate, at);
            if self.random.random::<f64>() * self.max_rate < rate {
                return Some(at);
            }
        }
    }
}
