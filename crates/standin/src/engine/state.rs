//! The state of an engine process, and the task that drives its batch.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_rt::time::{sleep_until, timeout};
use tokio::sync::Notify;

use super::batch::{self, Batch, Input, Job, Load, Output, Role};
use super::kv;
use super::options::Options;
use super::orders::{Model, OrderTable};
use super::stream::{Stream, StreamTable};
use super::switches::Switches;
use super::time::EmulatedClock;
use super::{Moment, events, report};
use crate::fault::{FaultSwitches, lock};

/// Real time between load samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// The batch and the state that its outputs update, under one lock.
#[derive(Debug)]
pub(super) struct BatchState {
    batch: Batch,
    streams: HashMap<batch::Id, Arc<Stream>>,
    pub(super) role: Role,
    pub(super) events: events::EventLog,
    pub(super) reports: report::LoadHistory,
}

/// An emulated model engine.
#[derive(Debug)]
pub struct Engine {
    pub(super) options: Options,
    pub(super) clock: EmulatedClock,
    pub(super) incarnation: u64,
    pub(super) faults: FaultSwitches<Switches>,
    pub(super) batch_state: Mutex<BatchState>,
    pub(super) streams: Mutex<StreamTable>,
    pub(super) orders: Mutex<OrderTable>,
    pub(super) models: Mutex<Vec<Model>>,
    pub(super) kv: Mutex<kv::KvStore>,
    /// Stream of the previous request, for the `crossed` fault.
    pub(super) previous: Mutex<Option<Arc<Stream>>>,
    /// The report returned while reports are frozen, with its sample time.
    pub(super) frozen_report: Mutex<Option<(Moment, Load)>>,
    /// Number of streams cut by orders.
    pub(super) streams_cut: AtomicU64,
    next_job: AtomicU64,
    wake: Notify,
}

impl Engine {
    /// Creates an idle engine. Its batch only advances while [`Engine::run`] runs.
    pub fn new(options: Options) -> Arc<Self> {
        let state = BatchState {
            batch: Batch::new(options.settings(), options.role),
            streams: HashMap::new(),
            role: options.role,
            events: events::EventLog::new(Duration::from_millis(options.event_delay_ms)),
            reports: report::LoadHistory::default(),
        };
        Arc::new(Self {
            clock: EmulatedClock::new(options.time_scale),
            incarnation: rand::random::<u32>().into(),
            faults: FaultSwitches::new(options.seed),
            batch_state: Mutex::new(state),
            streams: Mutex::new(StreamTable::new(Duration::from_millis(options.keep_ms))),
            orders: Mutex::new(OrderTable::new(!options.ignore_fence)),
            models: Mutex::new(options.models.clone()),
            kv: Mutex::default(),
            previous: Mutex::default(),
            frozen_report: Mutex::default(),
            streams_cut: AtomicU64::new(0),
            next_job: AtomicU64::new(1),
            wake: Notify::new(),
            options,
        })
    }

    /// Drives the batch for the lifetime of the process.
    pub async fn run(self: Arc<Self>) {
        let mut sampled = tokio::time::Instant::now();
        loop {
            let next = self.step(Input::Advance);
            if sampled.elapsed() >= SAMPLE_INTERVAL {
                sampled = tokio::time::Instant::now();
                self.sample();
            }
            let sample = sampled + SAMPLE_INTERVAL;
            let due = next.map_or(sample, |next| {
                sample.min(self.clock.real_instant(next).into())
            });
            let wait = due.saturating_duration_since(tokio::time::Instant::now());
            // After a timeout or a wake-up alike, the next step determines what is due.
            let _ = timeout(wait, self.wake.notified()).await;
            if wait.is_zero() {
                // At a high time scale many iterations fit into one timer tick. Yield, so that
                // other tasks on this thread can run in between.
                sleep_until(tokio::time::Instant::now()).await;
            }
        }
    }

    /// Returns an id for a new job.
    pub(super) fn new_job(&self) -> batch::Id {
        self.next_job.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the number of job ids given out since the start of the process.
    pub(super) fn jobs_created(&self) -> u64 {
        self.next_job.load(Ordering::Relaxed) - 1
    }

    /// Returns whether the batch can ever run a job.
    pub(super) fn fits(&self, job: &Job) -> bool {
        lock(&self.batch_state).batch.fits(job)
    }

    /// Returns the current load of the batch.
    pub(super) fn load(&self) -> Load {
        lock(&self.batch_state).batch.load()
    }

    /// Queues a job whose output goes to a stream.
    pub(super) fn submit(&self, job: Job, stream: Arc<Stream>) {
        lock(&self.batch_state).streams.insert(job.id, stream);
        self.step(Input::Submit(job));
        self.wake.notify_one();
    }

    /// Cancels a stream.
    pub(super) fn cancel(&self, stream: &Stream) {
        lock(&self.batch_state).streams.remove(&stream.job);
        self.step(Input::Cancel(stream.job));
        stream.cut();
    }

    /// Cuts all open streams and clears the batch, the prefix cache and the held KV.
    pub(super) fn reset(&self, role: Role) {
        let streams = std::mem::take(&mut lock(&self.batch_state).streams);
        lock(&self.batch_state).role = role;
        self.step(Input::Reset(role));
        self.streams_cut
            .fetch_add(streams.len() as u64, Ordering::Relaxed);
        for stream in streams.into_values() {
            lock(&self.streams).remove(&stream.id);
            stream.cut();
        }
        lock(&self.kv).clear();
        self.update_held_tokens();
    }

    /// Passes the memory that the held KV occupies to the batch.
    pub(super) fn update_held_tokens(&self) {
        let tokens = lock(&self.kv).tokens();
        self.step(Input::SetHeldTokens(tokens));
    }

    /// Applies the slowdown of the fault switches to the batch.
    pub(super) fn update_slowdown(&self) {
        let slow = self.faults.get().slow.max(1.0);
        self.step(Input::SetSlowdown((slow * 1000.0) as u32));
    }

    fn sample(&self) {
        let now = self.clock.now();
        let mut state = lock(&self.batch_state);
        let load = state.batch.load();
        state.reports.push(now, load);
        drop(state);
        if lock(&self.kv).expire() {
            self.update_held_tokens();
        }
    }

    /// Steps the batch, dispatches its outputs and returns when the next output is due.
    fn step(&self, input: Input) -> Option<Moment> {
        let now = self.clock.now();
        let mut state = lock(&self.batch_state);
        let outputs = state.batch.step(now, input);
        for output in outputs {
            self.dispatch_output(&mut state, now, &output);
        }
        state.batch.next_output_at()
    }

    fn dispatch_output(&self, state: &mut BatchState, now: Moment, output: &Output) {
        match *output {
            Output::Progress { id, produced } => {
                if let Some(stream) = state.streams.get(&id) {
                    stream.set_produced(produced);
                }
            }
            Output::Finished { id, cached } => {
                if let Some(stream) = state.streams.remove(&id) {
                    stream.finish(cached);
                    lock(&self.streams).end(&stream.id);
                }
            }
            Output::Cache(change) => {
                let gap = self.options.event_gap.max(self.faults.get().event_gap);
                let lost = self.faults.chance(gap);
                state.events.push(now, change, lost);
            }
        }
    }
}
