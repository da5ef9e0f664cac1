//! Engine model for the examples: a queue of prompts that are processed one at a time in order of
//! priority, and requests that decode concurrently. It does not simulate a cluster.

// Each example uses part of the module.
#![allow(dead_code)]

use std::time::Duration;

use clock::Moment;
use routing::{load::Load, pool::Speed};

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Id assigned by its sender.
    pub(crate) id: u64,
    /// Index of its sender.
    pub(crate) router: usize,
    pub(crate) priority: u8,
    pub(crate) prompt: f64,
    pub(crate) output: f64,
    pub(crate) sent: Moment,
    prompt_left: f64,
    output_left: f64,
}

impl Job {
    pub(crate) fn new(id: u64, router: usize, priority: u8, load: Load, sent: Moment) -> Self {
        Self {
            id,
            router,
            priority,
            prompt: load.prefill,
            output: load.decode,
            sent,
            prompt_left: load.prefill,
            output_left: load.decode,
        }
    }

    fn left(&self) -> Load {
        Load {
            requests: 1.0,
            prefill: self.prompt_left,
            decode: self.output_left,
        }
    }
}

/// Event reported by an engine.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The prompt is processed.
    Prefilled(Job),
    /// The answer is complete.
    Finished(Job),
}

/// One engine.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    queue: Vec<Job>,
    decoding: Vec<Job>,
}

impl Engine {
    /// Queues a request.
    pub(crate) fn push(&mut self, job: Job) {
        let position = self
            .queue
            .partition_point(|other| other.priority <= job.priority);
        self.queue.insert(position, job);
    }

    /// Requests beyond the slots.
    pub(crate) fn waiting(&self, slots: u32) -> usize {
        (self.queue.len() + self.decoding.len()).saturating_sub(slots as usize)
    }

    /// All remaining work.
    pub(crate) fn load(&self) -> Load {
        self.jobs()
            .fold(Load::default(), |sum, job| sum + job.left())
    }

    /// Remaining work of one sender.
    pub(crate) fn load_of(&self, router: usize) -> Load {
        self.jobs()
            .filter(|job| job.router == router)
            .fold(Load::default(), |sum, job| sum + job.left())
    }

    /// Advances by one time step.
    pub(crate) fn step(&mut self, speed: Speed, step: Duration) -> Vec<Event> {
        let mut events = Vec::new();
        let mut budget = speed.prefill_rate * step.as_secs_f64();
        while budget > 0.0 && self.decoding.len() < speed.slots as usize {
            let Some(job) = self.queue.first_mut() else {
                break;
            };
            let part = budget.min(job.prompt_left);
            job.prompt_left -= part;
            budget -= part;
            if job.prompt_left > 0.0 {
                break;
            }
            let job = self.queue.remove(0);
            events.push(Event::Prefilled(job.clone()));
            self.decoding.push(job);
        }
        let tokens = speed.decode_rate * step.as_secs_f64();
        for job in &mut self.decoding {
            job.output_left -= tokens;
        }
        let (finished, going) = std::mem::take(&mut self.decoding)
            .into_iter()
            .partition(|job| job.output_left <= 0.0);
        self.decoding = going;
        events.extend(Vec::into_iter(finished).map(Event::Finished));
        events
    }

    fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.queue.iter().chain(&self.decoding)
    }
}
