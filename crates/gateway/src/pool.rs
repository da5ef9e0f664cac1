//! Pool of idle connections to engines.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use clock::Moment;
use http1::{Client, Failure, TcpTimeouts};
use serving::EngineId;
use serving::engine::Record;

use crate::instance::Instance;

/// A connection to an engine counts as dead after about a second without an acknowledgement. A
/// machine that only pauses, as for a garbage collection, is back sooner.
const ENGINE_PATIENCE: TcpTimeouts = TcpTimeouts {
    connect: Duration::from_millis(350),
    acknowledge: Duration::from_millis(1_000),
    probe_interval: Duration::from_millis(1_000),
    probe_count: 1,
};

/// Idle time after which a connection is not reused if the engine states none.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(2_500);
/// A connection is not reused this long before the engine would close it: a request that crosses
/// the close is lost.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);
/// Most idle connections to one engine; more are needed only in a burst.
const MAX_IDLE: usize = 8;
/// All instances together keep at most one in this many of the connections that an engine accepts,
/// so that idle ones do not block calls.
const KEPT_SHARE: usize = 2;

struct Idle {
    client: Client,
    until: Moment,
}

/// Idle connections by engine.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<EngineId, Vec<Idle>>>,
    /// How many of [`MAX_IDLE`] are not used.
    unused_slots: Cell<usize>,
}

impl Pool {
    /// An idle connection to an engine if one can be reused, or else a new one.
    pub(crate) async fn take(
        &self,
        instance: &Instance,
        engine: &Record,
    ) -> Result<Client, Failure> {
        if let Some(client) = self.reuse(&engine.id, instance.now()) {
            return Ok(client);
        }
        let opened = instance.connect(engine.address, &ENGINE_PATIENCE).await;
        instance.metrics.engine_connected(opened.as_ref().err());
        opened
    }

    /// Engines with an idle connection that stays usable for a while.
    pub(crate) fn connected(&self, now: Moment) -> Vec<EngineId> {
        let idle = self.idle.borrow();
        let usable = idle
            .iter()
            .filter(|(_, kept)| kept.iter().any(|idle| now < idle.until));
        usable.map(|(engine, _)| engine.clone()).collect()
    }

    /// The most recently used idle connection, which its engine will close last.
    fn reuse(&self, engine: &EngineId, now: Moment) -> Option<Client> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(engine)?;
        while let Some(mut last) = kept.pop() {
            if now < last.until && last.client.is_reusable() {
                return Some(last.client);
            }
        }
        None
    }

    /// Keeps a connection whose response was read completely.
    pub(crate) fn put(
        &self,
        engine: &EngineId,
        mut client: Client,
        keep_alive: Option<Duration>,
        now: Moment,
    ) {
        let time = keep_alive
            .unwrap_or(DEFAULT_IDLE_TIME)
            .saturating_sub(CLOSE_MARGIN);
        if time.is_zero() || !client.is_reusable() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(engine.clone()).or_default();
        while kept.len() + self.unused_slots.get() >= MAX_IDLE {
            kept.remove(0);
        }
        kept.push(Idle {
            client,
            until: now + time,
        });
    }

    /// Sets this instance's share, from the connections that one engine accepts and the number of
    /// instances.
    pub(crate) fn set_share(&self, connections: usize, instances: usize) {
        let share = connections / KEPT_SHARE / instances.max(1);
        self.unused_slots.set(MAX_IDLE - share.clamp(1, MAX_IDLE));
    }

    /// Closes expired connections, and those to engines that are gone.
    pub(crate) fn sweep(&self, now: Moment, lives: impl Fn(&EngineId) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|engine, kept| {
            kept.retain(|idle| now < idle.until);
            !kept.is_empty() && lives(engine)
        });
    }
}
