//! What all threads of the data plane share, and what each has for itself.

use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use clock::{Clock as _, System};
use settings::Settings;

use crate::burn::Burn;
use crate::dispatch::Dispatch;
use crate::front::request_id;
use crate::hold::Answers;
use crate::keys::Keys;
use crate::metrics::Metrics;
use crate::process::phase::Life;
use crate::process::pulse::Pulse;
use crate::scene;
use crate::stream::token;
use crate::upstream::client::Client;
use crate::upstream::stream_guard;

/// Shared by all threads.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the process.
    pub settings: Settings,
    /// Clock of all moments.
    pub clock: System,
    /// The newest state of the world.
    pub scene: scene::Watch,
    /// Decisions.
    pub dispatch: Dispatch,
    /// Ids of requests and streams.
    pub ids: request_id::Mint,
    /// Event ids.
    pub tokens: token::Mint,
    /// Claims of `Idempotency-Key`s.
    pub keys: Keys,
    /// Held answers.
    pub held: Mutex<Answers>,
    /// Metrics.
    pub metrics: Metrics,
    /// Counts for the report on burn.
    pub burn: Burn,
    /// Phase of the process.
    pub life: Life,
    /// Whether the process was paused.
    pub pulse: Pulse,
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

    /// The newest state of the world.
    pub fn scene(&self) -> Arc<scene::Scene> {
        Arc::clone(&self.shared.scene.borrow())
    }

    /// What guards of streams need.
    pub fn guard_context(&self) -> stream_guard::Context {
        stream_guard::Context {
            client: self.client.clone(),
            life: self.shared.life.clone(),
            pulse: self.shared.pulse.clone(),
            clock: self.shared.clock,
        }
    }
}

/// Wall-clock time since the Unix epoch, for expiry times that other entries read.
pub fn wall(clock: &System) -> Duration {
    clock
        .wall()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}
