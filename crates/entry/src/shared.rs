//! State of the data plane, shared by all threads or local to one.

use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use clock::{Clock as _, System};
use control::{Handle, View};
use report::Counters;
use settings::Settings;

use crate::dispatcher::Dispatcher;
use crate::front::request_id;
use crate::held_answers::HeldAnswers;
use crate::memory_budget::MemoryBudget;
use crate::metrics::Metrics;
use crate::policy::Overrides;
use crate::process::pause_detector::PauseDetector;
use crate::process::phase::Lifecycle;
use crate::stream::event_id;
use crate::stream::resumed_streams::ResumedStreams;
use crate::token_estimator::TokenEstimator;
use crate::upstream::client::Client;
use crate::upstream::stream_guard;

/// State shared by all threads.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the process.
    pub settings: Settings,
    /// Overrides of the routing policy.
    pub policy: Overrides,
    /// Clock of all deadlines and timestamps.
    pub clock: System,
    /// Handle of the control thread.
    pub control: Handle,
    /// Sequence number of the router's view; no request is routed by an older one.
    pub applied: AtomicU64,
    /// Router and queued requests.
    pub dispatcher: Dispatcher,
    /// Generator of request and stream ids.
    pub id_generator: request_id::IdGenerator,
    /// Mints and verifies event ids.
    pub event_ids: event_id::Mint,
    /// Streams that were started at other entries.
    pub resumed: ResumedStreams,
    /// Answers held for repeated calls.
    pub held_answers: Mutex<HeldAnswers>,
    /// Memory for bodies of requests and whole answers.
    pub memory: Arc<MemoryBudget>,
    /// Estimates the bytes per token of prompts.
    pub token_estimator: TokenEstimator,
    /// Metrics.
    pub metrics: Metrics,
    /// Counters of the burn report.
    pub burn: Mutex<Counters>,
    /// Phase and running tasks of the process.
    pub lifecycle: Lifecycle,
    /// Detects pauses of the process.
    pub pause_detector: PauseDetector,
}

impl Shared {
    /// The current view of the control.
    pub fn view(&self) -> Arc<View> {
        self.control.view()
    }

    /// The counters of the burn report.
    pub fn burn(&self) -> MutexGuard<'_, Counters> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Drops the counters and estimates of entries that are no longer in the catalogue.
    pub fn retain_entries(&self, view: &View) {
        if let Some(catalogue) = view.catalogue.as_deref() {
            self.burn().retain(|entry| catalogue.entry(entry).is_some());
            self.token_estimator
                .retain(|entry| catalogue.entry(entry).is_some());
        }
    }
}

/// State of one thread.
#[derive(Clone, Debug)]
pub struct Worker {
    /// State shared by all threads.
    pub shared: Arc<Shared>,
    /// Connections of this thread to upstreams.
    pub client: Client,
}

impl Worker {
    /// Creates the worker of the current thread.
    pub fn new(shared: Arc<Shared>) -> Rc<Self> {
        let client = Client::new(&shared.settings.upstream);
        Rc::new(Self { shared, client })
    }

    /// The context for stream guards.
    pub fn guard_context(&self) -> stream_guard::GuardContext {
        stream_guard::GuardContext {
            client: self.client.clone(),
            lifecycle: self.shared.lifecycle.clone(),
            pause_detector: self.shared.pause_detector.clone(),
            clock: self.shared.clock,
        }
    }
}

/// Wall-clock time since the Unix epoch, for expiry times that other entries check.
pub fn unix_time(clock: &System) -> Duration {
    clock
        .wall_time()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}
