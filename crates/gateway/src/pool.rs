//! Pool of idle connections to engines.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use clock::Moment;
use http1::Client;
use serving::EngineId;

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
    /// Engines with an idle connection that stays usable for a while.
    pub(crate) fn connected(&self, now: Moment) -> Vec<EngineId> {
        let idle = self.idle.borrow();
        let usable = idle
            .iter()
            .filter(|(_, kept)| kept.iter().any(|idle| now < idle.until));
        usable.map(|(engine, _)| engine.clone()).collect()
    }

    /// The most recently used idle connection, which its engine will close last.
    pub(crate) fn reuse(&self, engine: &EngineId, now: Moment) -> Option<Client> {
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

    /// Closes the connections to an engine.
    pub(crate) fn remove(&self, engine: &EngineId) {
        self.idle.borrow_mut().remove(engine);
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
