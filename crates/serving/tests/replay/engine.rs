//! A simulated engine of the replay.

use std::time::Duration;

use serving::{EngineId, Fleet, Stage, speed};

use crate::calls::{CHUNK_WORK, Call, MIN_STEP, Micros, STALL_FACTOR, STALL_TIME};
use crate::common::{MODEL, fleet, id};

pub(crate) struct QueuedPrompt {
    pub(crate) call: usize,
    pub(crate) at: Micros,
    pub(crate) rank: u8,
    pub(crate) work: f64,
    reads: bool,
    is_begun: bool,
}

/// A step of an engine: the calls whose prompts have been read at its end.
pub(crate) struct Step {
    pub(crate) read: Vec<usize>,
    pub(crate) until: Micros,
}

/// A simulated engine with its actual state.
pub(crate) struct SimEngine {
    pub(crate) rate: f64,
    /// Factor on its reading times.
    pub(crate) pace: f64,
    /// Times in which it is slower still.
    pub(crate) stalls: Vec<Micros>,
    /// Whether short prompts share the chunk of a step, as in engines with continuous batching.
    pub(crate) shares_chunks: bool,
    /// Number of prompts that it has read.
    pub(crate) read_count: usize,
    pub(crate) queue: Vec<QueuedPrompt>,
    pub(crate) free_at: Micros,
    pub(crate) cache: Fleet,
    pub(crate) id: EngineId,
}

impl SimEngine {
    pub(crate) fn new(name: &str, rate: f64) -> Self {
        Self {
            rate,
            pace: 1.0,
            stalls: Vec::new(),
            shares_chunks: false,
            read_count: 0,
            queue: Vec::new(),
            free_at: 0,
            cache: fleet(&[(name, Stage::Decode)]),
            id: id(name),
        }
    }

    pub(crate) fn enqueue(
        &mut self,
        number: usize,
        call: &Call,
        rank: u8,
        reads: bool,
        now: Micros,
    ) {
        let cached_tokens = self
            .cache
            .parts
            .cached_tokens(&self.id, &call.prompt)
            .min(call.tokens);
        let prefill_tokens = if reads {
            call.tokens - cached_tokens
        } else {
            0
        };
        let now_time = Duration::from_micros(now);
        self.cache
            .cache_parts(&self.id, &call.prompt, MODEL.kv_capacity_tokens, now_time);
        self.queue.push(QueuedPrompt {
            call: number,
            at: now,
            rank,
            work: f64::from(speed::work(prefill_tokens, call.tokens)),
            reads: prefill_tokens > 0,
            is_begun: false,
        });
    }

    fn stall(&self, now: Micros) -> f64 {
        let stalls = &self.stalls;
        let is_stalled = stalls
            .iter()
            .any(|at| (*at..at + STALL_TIME).contains(&now));
        if is_stalled { STALL_FACTOR } else { 1.0 }
    }

    /// Whether it stalls, or did so within the time of a few prompts.
    pub(crate) fn stalled_lately(&self, now: Micros) -> bool {
        let stalls = &self.stalls;
        stalls
            .iter()
            .any(|at| (*at..at + STALL_TIME + 400_000).contains(&now))
    }

    /// The next step, if the engine begins one by now.
    pub(crate) fn next(&mut self, now: Micros) -> Option<Step> {
        if self.free_at > now || self.queue.is_empty() {
            return None;
        }
        let step = if self.shares_chunks {
            self.next_chunk(now)
        } else {
            self.next_prompt()?
        };
        self.free_at = step.until;
        Some(step)
    }

    /// A step that reads one whole prompt.
    fn next_prompt(&mut self) -> Option<Step> {
        let step = (CHUNK_WORK / self.rate * 1_000.0) as Micros;
        let seen = self.free_at.saturating_sub(step);
        let prompts = self.queue.iter().enumerate();
        let chosen = prompts
            .clone()
            .filter(|(_, waiting)| waiting.at <= seen)
            .min_by_key(|(_, waiting)| (waiting.rank, waiting.at))
            .or_else(|| prompts.min_by_key(|(_, waiting)| (waiting.at, waiting.rank)));
        let (index, _) = chosen?;
        let waiting = self.queue.remove(index);
        let begin = self.free_at.max(waiting.at);
        self.read_count += usize::from(waiting.work > 0.0);
        let pace = self.pace * self.stall(begin);
        Some(Step {
            read: vec![waiting.call],
            until: begin + (waiting.work / self.rate * 1_000.0 * pace) as Micros,
        })
    }

    /// A step that reads one chunk of the prompts that wait: first the one that was begun, then the
    /// most urgent.
    fn next_chunk(&mut self, now: Micros) -> Step {
        self.queue
            .sort_by_key(|waiting| (!waiting.is_begun, waiting.rank, waiting.at));
        let (mut left, mut read) = (CHUNK_WORK, Vec::new());
        for waiting in &mut self.queue {
            if left <= 0.0 {
                break;
            }
            let part = waiting.work.min(left);
            waiting.work -= part;
            waiting.is_begun = true;
            left -= part;
            if waiting.work <= 0.0 {
                self.read_count += usize::from(waiting.reads);
                read.push(waiting.call);
            }
        }
        self.queue.retain(|waiting| waiting.work > 0.0);
        let pace = self.pace * self.stall(now);
        let took = ((CHUNK_WORK - left) / self.rate * 1_000.0 * pace) as Micros;
        Step {
            read,
            until: now + took.max(MIN_STEP),
        }
    }
}
