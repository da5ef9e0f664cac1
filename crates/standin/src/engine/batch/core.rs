//! The state machine of the batch.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::job::{Id, Job, Sequence};
use super::settings::{Limits, Role, Settings};
use crate::engine::Moment;
use crate::engine::prefix::{Cache, Change};

/// An input of the batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// Only time has passed.
    Advance,
    /// Queue a job.
    Submit(Job),
    /// Cancel a job; an unknown one is ignored.
    Cancel(Id),
    /// Drop all jobs and the prefix cache, and set the role.
    Reset(Role),
    /// Set the tokens of the KV memory that exported and imported prompts occupy.
    SetHeldTokens(u32),
    /// Set the duration of following iterations, in thousandths of the normal one.
    SetSlowdown(u32),
}

/// An output of the batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// A job has generated a token.
    Progress {
        /// The job.
        id: Id,
        /// Tokens generated so far.
        produced: u32,
    },
    /// A job is complete.
    Finished {
        /// The job.
        id: Id,
        /// Tokens of its prompt that the prefix cache held.
        cached: u32,
    },
    /// The prefix cache changed.
    Cache(Change),
}

/// Outputs of a step, in order.
pub(super) type Outputs = SmallVec<[Output; 4]>;

/// Load of the batch, for load reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Running sequences.
    pub running: usize,
    /// Waiting jobs.
    pub waiting: usize,
    /// Prompt tokens still to prefill, of running and waiting jobs.
    pub prefill_tokens_waiting: u64,
    /// Tokens still to generate, of running and waiting jobs.
    pub decode_tokens_left: u64,
    /// KV memory in use, in tokens.
    pub kv_used: u32,
}

/// The batch of an engine with continuous batching.
#[derive(Clone, Debug)]
pub struct Batch {
    settings: Settings,
    limits: Limits,
    slowdown_permille: u32,
    waiting: BTreeMap<(u8, u64), Sequence>,
    /// Sorted by rank.
    running: Vec<Sequence>,
    cache: Cache,
    held_tokens: u32,
    reserved_tokens: u32,
    arrivals: u64,
    /// End of the current iteration.
    iteration_end: Option<Moment>,
}

/// Slowdown of an engine at normal speed, in thousandths.
const NORMAL_SLOWDOWN_PERMILLE: u32 = 1000;

impl Batch {
    /// Creates an empty batch.
    pub fn new(settings: Settings, role: Role) -> Self {
        Self {
            limits: settings.limits(role),
            cache: Cache::new(settings.block_tokens, settings.cache_tokens),
            settings,
            slowdown_permille: NORMAL_SLOWDOWN_PERMILLE,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            held_tokens: 0,
            reserved_tokens: 0,
            arrivals: 0,
            iteration_end: None,
        }
    }

    /// Advances to `now`, applies the input and returns the outputs.
    pub fn step(&mut self, now: Moment, input: Input) -> Outputs {
        let mut outputs = Outputs::new();
        self.advance(now, &mut outputs);
        match input {
            Input::Advance => {}
            Input::Submit(job) => {
                self.arrivals += 1;
                let sequence = Sequence::new(job, self.arrivals);
                self.waiting.insert(sequence.rank(), sequence);
            }
            Input::Cancel(id) => self.cancel(id),
            Input::Reset(role) => self.reset(role, &mut outputs),
            Input::SetHeldTokens(tokens) => self.held_tokens = tokens,
            Input::SetSlowdown(permille) => self.slowdown_permille = permille,
        }
        if self.iteration_end.is_none() {
            self.begin_iteration(now);
        }
        outputs
    }

    /// Returns when the next output is due without further input.
    pub fn next_output_at(&self) -> Option<Moment> {
        self.iteration_end
    }

    /// Returns whether a job fits into the KV memory.
    pub fn fits(&self, job: &Job) -> bool {
        job.kv_tokens() <= self.settings.kv_tokens
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        let all = || self.running.iter().chain(self.waiting.values());
        let prefill_running = self
            .running
            .iter()
            .map(|sequence| u64::from(sequence.prefill_left));
        let prefill_waiting = self
            .waiting
            .values()
            .map(|sequence| match sequence.job.prefilled {
                true => 0,
                false => u64::from(sequence.job.prompt_tokens),
            });
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            prefill_tokens_waiting: prefill_running.chain(prefill_waiting).sum(),
            decode_tokens_left: all()
                .map(|sequence| u64::from(sequence.job.output_tokens - sequence.produced))
                .sum(),
            kv_used: self.kv_used(),
        }
    }

    fn kv_used(&self) -> u32 {
        self.reserved_tokens.saturating_add(self.held_tokens)
    }

    fn advance(&mut self, now: Moment, outputs: &mut Outputs) {
        while let Some(end) = self.iteration_end.filter(|end| *end <= now) {
            self.finish_iteration(outputs);
            self.begin_iteration(end);
        }
    }

    /// Ends the current iteration.
    fn finish_iteration(&mut self, outputs: &mut Outputs) {
        let mut changes = Vec::new();
        let (cache, reserved) = (&mut self.cache, &mut self.reserved_tokens);
        self.running.retain_mut(|sequence| {
            let prefilling = sequence.prefill_left > 0;
            if !sequence.advance() {
                return true;
            }
            if prefilling {
                cache.store(&sequence.job.blocks, &mut changes);
            }
            let id = sequence.job.id;
            let produced = sequence.produced;
            outputs.push(Output::Progress { id, produced });
            if !sequence.is_finished() {
                return true;
            }
            let cached = sequence.cached;
            outputs.push(Output::Finished { id, cached });
            *reserved -= sequence.job.kv_tokens();
            false
        });
        outputs.extend(changes.into_iter().map(Output::Cache));
    }

    /// Admits waiting jobs and begins an iteration, if there is anything to run.
    fn begin_iteration(&mut self, now: Moment) {
        self.admit();
        if self.running.is_empty() {
            self.iteration_end = None;
            return;
        }
        let prefilling = |sequence: &&mut Sequence| sequence.prefill_left > 0;
        let decoding = self
            .running
            .iter()
            .filter(|sequence| sequence.prefill_left == 0);
        let decoding = decoding.count() as u32;
        // At least one token, so that decoding never starves the prefill.
        let budget = self.limits.token_budget.saturating_sub(decoding).max(1);
        let mut left = budget;
        for sequence in self.running.iter_mut().filter(prefilling) {
            sequence.chunk = sequence.prefill_left.min(left);
            left -= sequence.chunk;
        }
        let duration = self.settings.iteration_duration(budget - left, decoding);
        self.iteration_end =
            Some(now + duration * self.slowdown_permille / NORMAL_SLOWDOWN_PERMILLE);
    }

    fn admit(&mut self) {
        while let Some((_, next)) = self.waiting.first_key_value() {
            let tokens = next.job.kv_tokens();
            if !self.has_room(tokens) && !self.preempt(next.job.priority, tokens) {
                break;
            }
            let Some((rank, mut sequence)) = self.waiting.pop_first() else {
                break;
            };
            let cached = self.cache.lookup(&sequence.job.blocks);
            sequence.admit(cached);
            self.reserved_tokens += tokens;
            let position = self
                .running
                .partition_point(|sequence| sequence.rank() < rank);
            self.running.insert(position, sequence);
        }
    }

    fn has_room(&self, tokens: u32) -> bool {
        let kv_left = self.settings.kv_tokens.saturating_sub(self.kv_used());
        self.running.len() < self.limits.max_running && tokens <= kv_left
    }

    /// Preempts running sequences of lower priority, last first, until there is room. Preempts none
    /// if that would not suffice.
    fn preempt(&mut self, priority: u8, tokens: u32) -> bool {
        if !self.settings.preempt {
            return false;
        }
        let lower = self
            .running
            .iter()
            .filter(|sequence| sequence.job.priority > priority);
        let freed = lower
            .clone()
            .map(|sequence| sequence.job.kv_tokens())
            .sum::<u32>();
        let kept = self.running.len() - lower.count();
        let kv_left = self
            .settings
            .kv_tokens
            .saturating_sub(self.kv_used() - freed);
        if kept >= self.limits.max_running || tokens > kv_left {
            return false;
        }
        while !self.has_room(tokens) {
            let Some(sequence) = self.running.pop() else {
                return false;
            };
            self.reserved_tokens -= sequence.job.kv_tokens();
            self.waiting.insert(sequence.rank(), sequence);
        }
        true
    }

    fn cancel(&mut self, id: Id) {
        self.waiting.retain(|_, sequence| sequence.job.id != id);
        if let Some(position) = self
            .running
            .iter()
            .position(|sequence| sequence.job.id == id)
        {
            self.reserved_tokens -= self.running.remove(position).job.kv_tokens();
        }
        if self.running.is_empty() {
            self.iteration_end = None;
        }
    }

    fn reset(&mut self, role: Role, outputs: &mut Outputs) {
        self.waiting.clear();
        self.running.clear();
        self.reserved_tokens = 0;
        self.iteration_end = None;
        self.limits = self.settings.limits(role);
        let mut changes = Vec::new();
        self.cache.clear(&mut changes);
        outputs.extend(changes.into_iter().map(Output::Cache));
    }
}
