//! What all threads of the data plane share, and what each has for itself.

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
use crate::metrics::Metrics;
use crate::policy::Overrides;
use crate::process::pause_detector::PauseDetector;
use crate::process::phase::Lifecycle;
use crate::stream::event_id;
use crate::stream::resumed_streams::ResumedStreams;
use crate::token_estimator::TokenEstimator;
use crate::upstream::client::Client;
use crate::upstream::stream_guard;

/// Shared by all threads.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the process.
    pub settings: Settings,
    /// Overrides of the routing policy.
    pub policy: Overrides,
    /// Clock of all moments.
    pub clock: System,
    /// The control of this process.
    pub control: Handle,
    /// Sequence of the oldest view by which an upstream may still be chosen.
    pub applied: AtomicU64,
    /// Decisions.
    pub dispatcher: Dispatcher,
    /// Ids of requests and streams.
    pub id_generator: request_id::IdGenerator,
    /// Event ids.
    pub event_ids: event_id::Mint,
    /// Streams that were begun at other entries.
    pub resumed: ResumedStreams,
    /// Held answers.
    pub held_answers: Mutex<HeldAnswers>,
    /// Bytes of prompts per token.
    pub token_estimator: TokenEstimator,
    /// Metrics.
    pub metrics: Metrics,
    /// Counters of the report on burn.
    pub burn: Mutex<Counters>,
    /// Phase of the process.
    pub lifecycle: Lifecycle,
    /// Whether the process was paused.
    pub pause_detector: PauseDetector,
}

impl Shared {
    /// The newest view of the world.
    pub fn view(&self) -> Arc<View> {
        self.control.view()
    }

    /// The counters of the report on burn.
    pub fn burn(&self) -> MutexGuard<'_, Counters> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets the counters of entries that the catalogue has no more.
    pub fn retain_entries(&self, view: &View) {
        if let Some(catalogue) = view.catalogue.as_deref() {
            self.burn().retain(|entry| catalogue.entry(entry).is_some());
            self.token_estimator
                .retain(|entry| catalogue.entry(entry).is_some());
        }
    }
}

/// What one thread has.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Shared by all threads.
    pub shared: Arc<Shared>,
    /// Connections of this thread to upstreams.
    pub client: Client,
}

impl Worker {
    /// A worker of the current thread.
    pub fn new(shared: Arc<Shared>) -> Rc<Self> {
        let client = Client::new(&shared.settings.upstream);
        Rc::new(Self { shared, client })
    }

    /// What guards of streams need.
    pub fn guard_context(&self) -> stream_guard::GuardContext {
        stream_guard::GuardContext {
            client: self.client.clone(),
            lifecycle: self.shared.lifecycle.clone(),
            pause_detector: self.shared.pause_detector.clone(),
            clock: self.shared.clock,
        }
    }
}

/// Wall-clock time since the Unix epoch, for expiry times that other entries read.
pub fn unix_time(clock: &System) -> Duration {
    clock
        .wall_time()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}
