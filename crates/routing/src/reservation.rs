//! Work that one attempt holds at upstreams, from its assignment to its end.

use clock::Moment;

use crate::{load::Load, scheduler::Scheduler, upstream::Id};

/// Work of an attempt. What is released in the end is exactly what is left of what was charged, so
/// that the ledgers return to zero.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// Upstream that answers.
    pub upstream: Id,
    /// What is left there.
    pub load: Load,
    /// Engine that prefills and what is left there, if it runs apart.
    pub prefill: Option<(Id, Load)>,
}

impl Reservation {
    /// Upstream that works on it at present.
    pub fn active_upstream(&self) -> &Id {
        self.prefill.as_ref().map_or(&self.upstream, |(id, _)| id)
    }

    /// Whether any of it is at an upstream.
    pub fn uses(&self, upstream: &str) -> bool {
        *self.upstream == *upstream
            || self
                .prefill
                .as_ref()
                .is_some_and(|(id, _)| **id == *upstream)
    }

    /// The prefill is done, wherever it ran.
    pub fn finish_prefill(&mut self, now: Moment, pool: &mut Scheduler) {
        if let Some((id, load)) = self.prefill.take() {
            pool.release(now, &id, load);
            return;
        }
        let done = Load {
            prefill: self.load.prefill,
            ..Load::default()
        };
        self.subtract(now, pool, done);
    }

    /// Answer tokens came. The first ones also mean that the prefill is done.
    pub fn record_tokens(&mut self, now: Moment, pool: &mut Scheduler, count: u32) {
        if self.prefill.is_some() || self.load.prefill > 0.0 {
            self.finish_prefill(now, pool);
        }
        let done = Load {
            decode: f64::from(count).min(self.load.decode),
            ..Load::default()
        };
        self.subtract(now, pool, done);
    }

    /// The KV transfer failed: the answering upstream prefills as well.
    pub fn move_prefill(&mut self, now: Moment, pool: &mut Scheduler, prompt: u32) {
        if let Some((id, load)) = self.prefill.take() {
            pool.release(now, &id, load);
        }
        let more = Load {
            prefill: f64::from(prompt) - self.load.prefill,
            ..Load::default()
        };
        pool.charge(now, &self.upstream, more);
        self.load += more;
    }

    /// Gives back everything.
    pub fn release(&self, now: Moment, pool: &mut Scheduler) {
        pool.release(now, &self.upstream, self.load);
        if let Some((id, load)) = &self.prefill {
            pool.release(now, id, *load);
        }
    }

    fn subtract(&mut self, now: Moment, pool: &mut Scheduler, done: Load) {
        pool.release(now, &self.upstream, done);
        self.load = (self.load - done).clamp_non_negative();
    }
}
