//! Open connections to engines, kept for the next call.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use clock::Moment;
use http1::{Client, Failure, Patience};
use serving::EngineId;
use serving::engine::Record;

use crate::instance::Instance;

/// Connections to engines count as dead after about a second of silence of their machine. A
/// machine that only rests within a garbage collection or the like is back sooner.
const ENGINE: Patience = Patience {
    connect: Duration::from_millis(350),
    acknowledge: Duration::from_millis(1_000),
    probe: Duration::from_millis(1_000),
    probes: 1,
};

/// Idle time after which a connection is not used again where the engine names no time.
const IDLE: Duration = Duration::from_millis(2_500);
/// A connection is not used again this long before the engine would close it: a request that
/// crosses the close is lost.
const MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept to one engine at the most. More were needed at once only in a burst.
const KEPT: usize = 8;
/// All instances together keep at most one in this many of the connections that an engine takes, so that
/// those which are idle do not keep calls away.
const KEPT_SHARE: usize = 2;

struct Idle {
    client: Client,
    until: Moment,
}

/// Idle connections by engine.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<EngineId, Vec<Idle>>>,
    /// Connections that are not kept, of [`KEPT`].
    forgone: Cell<usize>,
}

impl Pool {
    /// A connection to an engine, an idle one where there is one that can still be used.
    pub(crate) async fn take(
        &self,
        instance: &Instance,
        engine: &Record,
    ) -> Result<Client, Failure> {
        if let Some(client) = self.reuse(&engine.id, instance.now()) {
            return Ok(client);
        }
        Client::open(engine.address, &ENGINE, &instance.codec).await
    }

    /// Engines to which a connection is idle that can be used for a while.
    pub(crate) fn connected(&self, now: Moment) -> Vec<EngineId> {
        let idle = self.idle.borrow();
        let usable = idle
            .iter()
            .filter(|(_, kept)| kept.iter().any(|idle| now < idle.until));
        usable.map(|(engine, _)| engine.clone()).collect()
    }

    /// The idle connection that was used last, which its engine will close last.
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

    /// Keeps a connection whose answer is whole.
    pub(crate) fn give(
        &self,
        engine: &EngineId,
        mut client: Client,
        keep_alive: Option<Duration>,
        now: Moment,
    ) {
        let time = keep_alive.unwrap_or(IDLE).saturating_sub(MARGIN);
        if time.is_zero() || !client.is_reusable() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(engine.clone()).or_default();
        while kept.len() + self.forgone.get() >= KEPT {
            kept.remove(0);
        }
        kept.push(Idle {
            client,
            until: now + time,
        });
    }

    /// Takes in how many connections one engine takes of how many instances.
    pub(crate) fn shared_by(&self, connections: usize, instances: usize) {
        let share = connections / KEPT_SHARE / instances.max(1);
        self.forgone.set(KEPT - share.clamp(1, KEPT));
    }

    /// Closes connections whose time is over, and those to engines that have gone.
    pub(crate) fn sweep(&self, now: Moment, lives: impl Fn(&EngineId) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|engine, kept| {
            kept.retain(|idle| now < idle.until);
            !kept.is_empty() && lives(engine)
        });
    }
}
