//! Load that one attempt has reserved at upstreams, from when it is sent to its end.

use clock::Moment;

use crate::{load::Load, scheduler::Scheduler, upstream::Id};

/// Load reserved by an attempt. What is released at the end is exactly what is left of the
/// reservation, so that the ledgers return to zero.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// Upstream that produces the answer.
    pub upstream: Id,
    /// Load left there.
    pub load: Load,
    /// Engine that runs a separate prefill, and the load left there.
    pub prefill: Option<(Id, Load)>,
}

impl Reservation {
    /// Upstream that is currently processing the request.
    pub fn active_upstream(&self) -> &Id {
        self.prefill.as_ref().map_or(&self.upstream, |(id, _)| id)
    }

    /// Whether any load is reserved at `upstream`.
    pub fn uses(&self, upstream: &str) -> bool {
        *self.upstream == *upstream
            || self
                .prefill
                .as_ref()
                .is_some_and(|(id, _)| **id == *upstream)
    }

    /// Releases the prefill when it is done, wherever it ran.
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

    /// Releases generated answer tokens. The first ones also imply that the prefill is done.
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

    /// Moves the prefill to the answering upstream after a failed KV transfer.
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

    /// Releases everything that is left.
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
