//! Other instances that send calls to engines which this instance does not reach: whom to ask, and in
//! which order. See `docs/design/engine-links.md`.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::{EngineId, ServiceName, hash};

/// Instances that are asked to send one call before it is refused.
pub const MAX_FORWARDERS: usize = 4;
/// Of these, how many of the instance's own data centre, as long as none is known to reach engines. The
/// whole data centre may be cut off.
const MAX_UNPROVEN_NEAR: usize = 2;
/// Time for which an instance that could not send a call is not asked again.
const FORWARDER_BACKOFF: Duration = Duration::from_secs(2);
/// Time for which an instance that refused at once is not asked again. It may be restarting, and nobody
/// else may have paths.
const BUSY_BACKOFF: Duration = Duration::from_millis(250);
/// Time for which an instance that does not reach an engine is not asked for this engine again.
const ENGINE_BACKOFF: Duration = Duration::from_secs(1);
/// Time for which one that sent a call is preferred.
const PROVEN_TIME: Duration = Duration::from_secs(5);

/// Another instance that may send calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forwarder {
    /// Its address.
    pub address: SocketAddr,
    /// Whether it is in the same data centre.
    pub near: bool,
    /// Whether it is about to end. It is asked last.
    pub leaving: bool,
}

/// What an instance that was asked to send a call did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardResult {
    /// It sent the call.
    Sent,
    /// It reaches no engine of the service.
    Isolated,
    /// It does not reach this engine, and may reach others.
    EngineUnreachable,
    /// It does not send to this engine now, or the engine gave it no answer.
    EngineUnavailable,
    /// It sends no calls now, and said so at once or accepts no connections.
    Busy,
    /// It did not answer.
    Failed,
}

/// What is known of the instances that were asked to send calls. Which engines one reaches may differ
/// by service.
#[derive(Clone, Debug, Default)]
pub struct Forwarders {
    sent: HashMap<(SocketAddr, ServiceName), Moment>,
    isolated: HashMap<(SocketAddr, ServiceName), Moment>,
    /// By engine, the instances that do not reach it.
    declined: BTreeMap<EngineId, HashMap<SocketAddr, Moment>>,
    busy: HashMap<SocketAddr, Moment>,
    failed: HashMap<SocketAddr, Moment>,
}

/// Place of an instance among those to ask; the lowest comes first.
type ForwarderRank = (bool, bool, bool, u64);

impl Forwarders {
    /// The instances to ask for an engine of a service, in this order. Each instance has an order of
    /// its own, which spreads the calls of many over all.
    pub fn order(
        &self,
        own: SocketAddr,
        engine: &str,
        service: &ServiceName,
        candidates: &[Forwarder],
        now: Moment,
    ) -> SmallVec<[SocketAddr; MAX_FORWARDERS]> {
        let mut ranked: Vec<(ForwarderRank, SocketAddr)> = candidates
            .iter()
            .filter(|other| !self.is_avoided(other.address, service, now))
            .filter(|other| !self.has_declined(other.address, engine, now))
            .map(|other| (self.rank(own, service, other, now), other.address))
            .collect();
        ranked.sort_unstable();
        let mut unproven_near = 0;
        let is_surplus = |((_, is_unproven, is_far, _), _): &(ForwarderRank, SocketAddr)| {
            let counts = *is_unproven && !*is_far;
            unproven_near += usize::from(counts);
            counts && unproven_near > MAX_UNPROVEN_NEAR
        };
        // Those beyond the limit come last: there may be nobody else.
        let (last, first): (Vec<_>, Vec<_>) = ranked.into_iter().partition(is_surplus);
        let all = first.into_iter().chain(last);
        all.take(MAX_FORWARDERS)
            .map(|(_, address)| address)
            .collect()
    }

    fn rank(
        &self,
        own: SocketAddr,
        service: &ServiceName,
        other: &Forwarder,
        now: Moment,
    ) -> ForwarderRank {
        let key = (other.address, service.clone());
        let sent = self.sent.get(&key);
        let is_proven = sent.is_some_and(|at| now.saturating_sub(*at) < PROVEN_TIME);
        let place = hash::hash64(&format!("{own} {}", other.address));
        (other.leaving, !is_proven, !other.near, place)
    }

    fn has_declined(&self, address: SocketAddr, engine: &str, now: Moment) -> bool {
        let declined = self.declined.get(engine);
        let at = declined.and_then(|declined| declined.get(&address));
        at.is_some_and(|at| now.saturating_sub(*at) < ENGINE_BACKOFF)
    }

    /// Whether any instance lately said that it does not reach this engine, but may reach others.
    pub fn is_declined(&self, engine: &str, now: Moment) -> bool {
        let declined = self.declined.get(engine);
        let mut times = declined.into_iter().flat_map(HashMap::values);
        times.any(|at| now.saturating_sub(*at) < ENGINE_BACKOFF)
    }

    fn is_avoided(&self, address: SocketAddr, service: &ServiceName, now: Moment) -> bool {
        let is_recent = |at: &Moment| now.saturating_sub(*at) < FORWARDER_BACKOFF;
        let busy = self.busy.get(&address);
        if busy.is_some_and(|at| now.saturating_sub(*at) < BUSY_BACKOFF) {
            return true;
        }
        let isolated = self.isolated.get(&(address, service.clone()));
        self.failed.get(&address).is_some_and(is_recent) || isolated.is_some_and(is_recent)
    }

    /// Records what an instance did with a call to an engine of a service.
    pub fn record(
        &mut self,
        address: SocketAddr,
        engine: &EngineId,
        service: &ServiceName,
        result: ForwardResult,
        now: Moment,
    ) {
        let key = (address, service.clone());
        match result {
            ForwardResult::Sent => {
                self.failed.remove(&address);
                self.isolated.remove(&key);
                self.sent.insert(key, now);
            }
            ForwardResult::EngineUnreachable => {
                let declined = self.declined.entry(engine.clone()).or_default();
                declined.insert(address, now);
            }
            ForwardResult::EngineUnavailable => {}
            ForwardResult::Isolated => {
                self.sent.remove(&key);
                self.isolated.insert(key, now);
            }
            ForwardResult::Busy => {
                self.sent.remove(&key);
                self.busy.insert(address, now);
            }
            ForwardResult::Failed => {
                self.sent.remove(&key);
                self.failed.insert(address, now);
            }
        }
    }

    /// Forgets what is known of an instance that has restarted.
    pub fn on_restarted(&mut self, address: SocketAddr) {
        self.busy.remove(&address);
        self.failed.remove(&address);
        self.isolated.retain(|(other, _), _| *other != address);
        for declined in self.declined.values_mut() {
            declined.remove(&address);
        }
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Moment) {
        let age = |at: &Moment| now.saturating_sub(*at);
        self.sent.retain(|_, at| age(at) < PROVEN_TIME);
        self.isolated.retain(|_, at| age(at) < FORWARDER_BACKOFF);
        self.failed.retain(|_, at| age(at) < FORWARDER_BACKOFF);
        self.busy.retain(|_, at| age(at) < BUSY_BACKOFF);
        self.declined.retain(|_, declined| {
            declined.retain(|_, at| age(at) < ENGINE_BACKOFF);
            !declined.is_empty()
        });
    }
}
