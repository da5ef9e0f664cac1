//! All state of an engine process, and the task that lets its batch run.

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
use super::stream::{Stream, Table};
use super::switches::Switches;
use super::time::Scale;
use super::{Moment, events, report};
use crate::fault::{FaultSwitches, lock};

/// Real time between samples of the load.
const SAMPLE_EVERY: Duration = Duration::from_millis(20);

/// What the batch and its outputs feed, changed together.
#[derive(Debug)]
pub(super) struct Core {
    batch: Batch,
    streams: HashMap<batch::Id, Arc<Stream>>,
    pub(super) role: Role,
    pub(super) events: events::EventLog,
    pub(super) reports: report::LoadHistory,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    pub(super) options: Options,
    pub(super) scale: Scale,
    pub(super) incarnation: u64,
    pub(super) panel: FaultSwitches<Switches>,
    pub(super) core: Mutex<Core>,
    pub(super) table: Mutex<Table>,
    pub(super) book: Mutex<OrderTable>,
    pub(super) models: Mutex<Vec<Model>>,
    pub(super) kv: Mutex<kv::Store>,
    /// The request before, for crossed answers.
    pub(super) previous: Mutex<Option<Arc<Stream>>>,
    /// The report that is seen while reports are frozen, with the moment of its sample.
    pub(super) frozen: Mutex<Option<(Moment, Load)>>,
    /// Streams that orders cut.
    pub(super) cut: AtomicU64,
    jobs: AtomicU64,
    wake: Notify,
}

impl Engine {
    /// An idle engine. It generates nothing before [`Engine::run`] runs.
    pub fn new(options: Options) -> Arc<Self> {
        let core = Core {
            batch: Batch::new(options.settings(), options.role),
            streams: HashMap::new(),
            role: options.role,
            events: events::EventLog::new(Duration::from_millis(options.event_delay_ms)),
            reports: report::LoadHistory::default(),
        };
        Arc::new(Self {
            scale: Scale::new(options.time_scale),
            incarnation: rand::random::<u32>().into(),
            panel: FaultSwitches::new(options.seed),
            core: Mutex::new(core),
            table: Mutex::new(Table::new(Duration::from_millis(options.keep_ms))),
            book: Mutex::new(OrderTable::new(!options.ignore_fence)),
            models: Mutex::new(options.models.clone()),
            kv: Mutex::default(),
            previous: Mutex::default(),
            frozen: Mutex::default(),
            cut: AtomicU64::new(0),
            jobs: AtomicU64::new(1),
            wake: Notify::new(),
            options,
        })
    }

    /// Lets the batch run in time, for as long as the process lives.
    pub async fn run(self: Arc<Self>) {
        let mut sampled = tokio::time::Instant::now();
        loop {
            let next = self.step(Input::Advance);
            if sampled.elapsed() >= SAMPLE_EVERY {
                sampled = tokio::time::Instant::now();
                self.sample();
            }
            let sample = sampled + SAMPLE_EVERY;
            let due = next.map_or(sample, |next| sample.min(self.scale.instant(next).into()));
            let wait = due.saturating_duration_since(tokio::time::Instant::now());
            // Whether time passed or something came in, the next step finds out what is due.
            let _ = timeout(wait, self.wake.notified()).await;
            if wait.is_zero() {
                // Many iterations fit into one turn of the timer at a high time scale. Others on
                // this thread have to run in between.
                sleep_until(tokio::time::Instant::now()).await;
            }
        }
    }

    /// A name for a new job.
    pub(super) fn new_job(&self) -> batch::Id {
        self.jobs.fetch_add(1, Ordering::Relaxed)
    }

    /// Work that was taken since the start of the process.
    pub(super) fn jobs(&self) -> u64 {
        self.jobs.load(Ordering::Relaxed) - 1
    }

    /// Whether the batch can ever run a job.
    pub(super) fn fits(&self, job: &Job) -> bool {
        lock(&self.core).batch.fits(job)
    }

    /// What is in the batch now.
    pub(super) fn load(&self) -> Load {
        lock(&self.core).batch.load()
    }

    /// Queues a job that feeds a stream.
    pub(super) fn submit(&self, job: Job, stream: Arc<Stream>) {
        lock(&self.core).streams.insert(job.id, stream);
        self.step(Input::Submit(job));
        self.wake.notify_one();
    }

    /// Cancels a stream.
    pub(super) fn cancel(&self, stream: &Stream) {
        lock(&self.core).streams.remove(&stream.job);
        self.step(Input::Cancel(stream.job));
        stream.cut();
    }

    /// Cuts all open streams and empties the batch, the cache and the KV handles.
    pub(super) fn reset(&self, role: Role) {
        let streams = std::mem::take(&mut lock(&self.core).streams);
        lock(&self.core).role = role;
        self.step(Input::Reset(role));
        self.cut.fetch_add(streams.len() as u64, Ordering::Relaxed);
        for stream in streams.into_values() {
            lock(&self.table).remove(&stream.id);
            stream.cut();
        }
        lock(&self.kv).clear();
        self.hold();
    }

    /// Tells the batch how much of its memory the KV handles take.
    pub(super) fn hold(&self) {
        let tokens = lock(&self.kv).tokens();
        self.step(Input::SetHeldTokens(tokens));
    }

    /// Sets the pace to that of the fault switches.
    pub(super) fn pace(&self) {
        let slow = self.panel.get().slow.max(1.0);
        self.step(Input::SetSlowdown((slow * 1000.0) as u32));
    }

    fn sample(&self) {
        let now = self.scale.now();
        let mut core = lock(&self.core);
        let load = core.batch.load();
        core.reports.push(now, load);
        drop(core);
        if lock(&self.kv).expire() {
            self.hold();
        }
    }

    /// Steps the batch, hands out what came of it and gives the moment of the next output.
    fn step(&self, input: Input) -> Option<Moment> {
        let now = self.scale.now();
        let mut core = lock(&self.core);
        let outputs = core.batch.step(now, input);
        for output in outputs {
            self.hand_out(&mut core, now, &output);
        }
        core.batch.next_output_at()
    }

    fn hand_out(&self, core: &mut Core, now: Moment, output: &Output) {
        match *output {
            Output::Progress { id, produced } => {
                if let Some(stream) = core.streams.get(&id) {
                    stream.produce(produced);
                }
            }
            Output::Finished { id, cached } => {
                if let Some(stream) = core.streams.remove(&id) {
                    stream.finish(cached);
                    lock(&self.table).end(&stream.id);
                }
            }
            Output::Cache(change) => {
                let gap = self.options.event_gap.max(self.panel.get().event_gap);
                let lost = self.panel.chance(gap);
                core.events.push(now, change, lost);
            }
        }
    }
}
