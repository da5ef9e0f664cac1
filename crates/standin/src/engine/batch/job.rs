//! Jobs and their state in the batch.

use crate::engine::prefix::BlockHash;

/// Id of a job, chosen by the caller and unique.
pub type Id = u64;

/// A request to the batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Unique id.
    pub id: Id,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens to generate, at least 1.
    pub output_tokens: u32,
    /// Hashes of the full blocks of the prompt.
    pub blocks: Vec<BlockHash>,
    /// Whether the KV of the prompt was imported, so that no prefill is needed.
    pub prefilled: bool,
}

impl Job {
    /// Returns the KV memory needed at the end. It is reserved on admission, so that a running
    /// sequence never runs out of memory.
    pub fn kv_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}

/// A submitted job. Its produced tokens survive a preemption, its KV does not.
#[derive(Clone, Debug)]
pub(super) struct Sequence {
    pub(super) job: Job,
    /// Arrival order among jobs of the same priority.
    pub(super) arrival: u64,
    /// Tokens still to prefill.
    pub(super) prefill_left: u32,
    /// Tokens of the prompt that the prefix cache held.
    pub(super) cached: u32,
    /// Tokens generated.
    pub(super) produced: u32,
    /// Tokens prefilled in the current iteration.
    pub(super) chunk: u32,
}

impl Sequence {
    pub(super) fn new(job: Job, arrival: u64) -> Self {
        Self {
            job,
            arrival,
            prefill_left: 0,
            cached: 0,
            produced: 0,
            chunk: 0,
        }
    }

    /// Returns the sort key in the queue.
    pub(super) fn rank(&self) -> (u8, u64) {
        (self.job.priority, self.arrival)
    }

    /// Sets the tokens to prefill on admission, given the cached ones. The last token is always
    /// computed, since the first generated token derives from it.
    pub(super) fn admit(&mut self, cached: u32) {
        if self.job.prefilled && self.produced == 0 {
            self.cached = self.job.prompt_tokens;
            self.prefill_left = 0;
            return;
        }
        let tokens = self.job.prompt_tokens + self.produced;
        self.cached = cached.min(self.job.prompt_tokens.saturating_sub(1));
        self.prefill_left = tokens.saturating_sub(self.cached).max(1);
    }

    /// Ends an iteration; returns whether it generated a token.
    pub(super) fn advance(&mut self) -> bool {
        self.prefill_left -= self.chunk;
        self.chunk = 0;
        let generated = self.prefill_left == 0;
        if generated {
            self.produced += 1;
        }
        generated
    }

    pub(super) fn is_finished(&self) -> bool {
        self.produced >= self.job.output_tokens
    }
}
