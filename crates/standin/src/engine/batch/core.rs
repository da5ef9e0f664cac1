//! The batch itself.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::job::{Id, Job, Sequence};
use super::settings::{Limits, Role, Settings};
use crate::engine::Moment;
use crate::engine::prefix::{Cache, Change};

/// What happens to the batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// Nothing but that time has passed.
    Advance,
    /// A job is queued.
    Submit(Job),
    /// A job is no longer wanted; an unknown one is ignored.
    Cancel(Id),
    /// All jobs and the prefix cache are dropped and the role is set.
    Reset(Role),
    /// So many tokens of the KV memory are taken by exported and imported prompts.
    SetHeldTokens(u32),
    /// Iterations take so many thousandths of their time from now on.
    SetSlowdown(u32),
}

/// What comes out of the batch, in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Output {
    /// A job has produced so many tokens.
    Progress {
        /// The job.
        id: Id,
        /// Its tokens so far.
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

/// Outputs of a step.
pub(super) type Outputs = SmallVec<[Output; 4]>;

/// What is in the batch, for load reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Sequences that run.
    pub running: usize,
    /// Jobs that wait.
    pub waiting: usize,
    /// Prompt tokens still to prefill, running and waiting.
    pub prefill_tokens_waiting: u64,
    /// Tokens still to generate, running and waiting.
    pub decode_tokens_left: u64,
    /// KV memory in use, in tokens.
    pub kv_used: u32,
}

/// A continuously batching engine.
#[derive(Clone, Debug)]
pub struct Batch {
    settings: Settings,
    limits: Limits,
    pace: u32,
    waiting: BTreeMap<(u8, u64), Sequence>,
    /// Sorted by rank.
    running: Vec<Sequence>,
    cache: Cache,
    held: u32,
    reserved: u32,
    arrivals: u64,
    /// End of the present iteration.
    end: Option<Moment>,
}

/// The pace of an engine that is not slowed.
const FULL_PACE: u32 = 1000;

impl Batch {
    /// An idle engine of a role.
    pub fn new(settings: Settings, role: Role) -> Self {
        Self {
            limits: settings.limits(role),
            cache: Cache::new(settings.block_tokens, settings.cache_tokens),
            settings,
            pace: FULL_PACE,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            held: 0,
            reserved: 0,
            arrivals: 0,
            end: None,
        }
    }

    /// Lets time pass up to `now`, takes the input and gives what came out.
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
            Input::SetHeldTokens(tokens) => self.held = tokens,
            Input::SetSlowdown(pace) => self.pace = pace,
        }
        if self.end.is_none() {
            self.begin(now);
        }
        outputs
    }

    /// When the next output is due, if nothing else happens.
    pub fn next_output_at(&self) -> Option<Moment> {
        self.end
    }

    /// Whether a job can ever run.
    pub fn fits(&self, job: &Job) -> bool {
        job.kv_tokens() <= self.settings.kv_tokens
    }

    /// What is in the batch now.
    pub fn load(&self) -> Load {
        let all = || self.running.iter().chain(self.waiting.values());
        let prefill_running = self.running.iter().map(|one| u64::from(one.prefill_left));
        let prefill_waiting = self.waiting.values().map(|one| match one.job.prefilled {
            true => 0,
            false => u64::from(one.job.prompt_tokens),
        });
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            prefill_tokens_waiting: prefill_running.chain(prefill_waiting).sum(),
            decode_tokens_left: all()
                .map(|one| u64::from(one.job.output_tokens - one.produced))
                .sum(),
            kv_used: self.kv_used(),
        }
    }

    fn kv_used(&self) -> u32 {
        self.reserved.saturating_add(self.held)
    }

    fn advance(&mut self, now: Moment, outputs: &mut Outputs) {
        while let Some(end) = self.end.filter(|end| *end <= now) {
            self.finish(outputs);
            self.begin(end);
        }
    }

    /// Ends the present iteration.
    fn finish(&mut self, outputs: &mut Outputs) {
        let mut changes = Vec::new();
        let (cache, reserved) = (&mut self.cache, &mut self.reserved);
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

    /// Begins an iteration with what can run now; none if nothing can.
    fn begin(&mut self, now: Moment) {
        self.admit();
        if self.running.is_empty() {
            self.end = None;
            return;
        }
        let prefilling = |one: &&mut Sequence| one.prefill_left > 0;
        let decoding = self.running.iter().filter(|one| one.prefill_left == 0);
        let decoding = decoding.count() as u32;
        // At least one token, so that a budget full of decoding never starves the prefill.
        let budget = self.limits.token_budget.saturating_sub(decoding).max(1);
        let mut left = budget;
        for sequence in self.running.iter_mut().filter(prefilling) {
            sequence.chunk = sequence.prefill_left.min(left);
            left -= sequence.chunk;
        }
        let duration = self.settings.iteration_duration(budget - left, decoding);
        self.end = Some(now + duration * self.pace / FULL_PACE);
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
            self.reserved += tokens;
            let place = self.running.partition_point(|one| one.rank() < rank);
            self.running.insert(place, sequence);
        }
    }

    fn has_room(&self, tokens: u32) -> bool {
        let kv_left = self.settings.kv_tokens.saturating_sub(self.kv_used());
        self.running.len() < self.limits.max_running && tokens <= kv_left
    }

    /// Pushes back the running sequences of lower priority, last first, until there is room; none
    /// if that would not be enough.
    fn preempt(&mut self, priority: u8, tokens: u32) -> bool {
        if !self.settings.preempt {
            return false;
        }
        let lower = self
            .running
            .iter()
            .filter(|one| one.job.priority > priority);
        let freed = lower.clone().map(|one| one.job.kv_tokens()).sum::<u32>();
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
            self.reserved -= sequence.job.kv_tokens();
            self.waiting.insert(sequence.rank(), sequence);
        }
        true
    }

    fn cancel(&mut self, id: Id) {
        self.waiting.retain(|_, one| one.job.id != id);
        if let Some(place) = self.running.iter().position(|one| one.job.id == id) {
            self.reserved -= self.running.remove(place).job.kv_tokens();
        }
        if self.running.is_empty() {
            self.end = None;
        }
    }

    fn reset(&mut self, role: Role, outputs: &mut Outputs) {
        self.waiting.clear();
        self.running.clear();
        self.reserved = 0;
        self.end = None;
        self.limits = self.settings.limits(role);
        let mut changes = Vec::new();
        self.cache.clear(&mut changes);
        outputs.extend(changes.into_iter().map(Output::Cache));
    }
}
