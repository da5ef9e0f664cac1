//! Opens connections to engines, tells this instance's own broken paths from engines that fail, and
//! finds out when the paths are back. [`serving::reachability`] decides.

use std::cell::{Ref, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::{fmt, io};

use clock::Moment;
use futures_util::future::join_all;
use http1::{Client, TcpTimeouts};
use rand::seq::IteratorRandom as _;
use serving::reachability::{
    Cause, Failure, ForwardResult, Forwarder, Forwarders, MAX_FORWARDERS, Path, Reachability,
};
use serving::{EngineId, Record, ServiceName};
use smallvec::SmallVec;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::forward::{self, PeerPool};
use crate::instance::Instance;

/// Time limits of connections to engines.
const ENGINE_PATIENCE: TcpTimeouts = TcpTimeouts {
    connect: Duration::from_millis(350),
    acknowledge: REPEATABLE_PATIENCE,
    probe_interval: Duration::from_millis(1_000),
    probe_count: 1,
};
/// Silence of an engine after which a call is repeated at another one, if it may be.
const REPEATABLE_PATIENCE: Duration = Duration::from_millis(1_000);
/// Silence of an engine after which a call that may not be repeated is given up. An engine may be
/// silent for a second or so and go on, and giving up before only loses the call.
const UNREPEATABLE_PATIENCE: Duration = Duration::from_millis(2_500);
/// For connections that only show whether a path works.
const PROBE_PATIENCE: TcpTimeouts = TcpTimeouts {
    connect: Duration::from_millis(200),
    ..ENGINE_PATIENCE
};
/// Interval between checks whether an engine is to be probed.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Engines probed at a time.
const MAX_PROBES: usize = 2;
/// Other engines that are connected to, to find out whose fault a failed connection is.
const WITNESSES: usize = 2;

/// This instance's paths to engines, and to instances that have others.
#[derive(Default)]
pub(crate) struct EngineLinks {
    state: RefCell<Reachability>,
    forwarders: RefCell<Forwarders>,
    /// Notified when this instance has become isolated.
    isolated: Notify,
    /// Services of which engines are being connected to as witnesses.
    asks_witnesses: RefCell<BTreeSet<ServiceName>>,
    /// Notified when they have answered.
    witnesses_asked: Notify,
    /// Idle connections to other instances.
    pub peers: PeerPool,
}

impl EngineLinks {
    pub(crate) fn state(&self) -> Ref<'_, Reachability> {
        self.state.borrow()
    }

    /// Records what another instance did with a call to a service.
    pub(crate) fn on_forwarder(
        &self,
        address: SocketAddr,
        service: &ServiceName,
        result: ForwardResult,
        now: Moment,
    ) {
        let mut forwarders = self.forwarders.borrow_mut();
        forwarders.record(address, service, result, now);
    }
}

/// An engine to connect to.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub id: EngineId,
    pub service: ServiceName,
    pub address: SocketAddr,
}

impl From<&Record> for Target {
    fn from(record: &Record) -> Self {
        Self {
            id: record.id.clone(),
            service: record.service.clone(),
            address: record.address,
        }
    }
}

/// The text by which instances name an engine to each other: address, service and id.
impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.address, self.service, self.id)
    }
}

impl TryFrom<&str> for Target {
    type Error = InvalidTarget;

    fn try_from(text: &str) -> Result<Self, InvalidTarget> {
        let mut words = text.splitn(3, ' ');
        let (Some(address), Some(service), Some(id)) = (words.next(), words.next(), words.next())
        else {
            return Err(InvalidTarget);
        };
        Ok(Self {
            id: EngineId::from(id),
            service: ServiceName::from(service),
            address: address.parse().map_err(|_| InvalidTarget)?,
        })
    }
}

/// A text that names no engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InvalidTarget;

/// A connection to an engine, for a call that may be repeated or not: an idle one, or a new one.
///
/// # Errors
///
/// If no connection opened. An isolated instance does not wait for the time-out.
pub(crate) async fn open(
    instance: &Rc<Instance>,
    engine: &Target,
    is_repeatable: bool,
) -> Result<Client, http1::Failure> {
    let idle = instance.pool.reuse(&engine.id, instance.now());
    let mut client = match idle {
        Some(client) => client,
        None => open_new(instance, engine).await?,
    };
    let patience = if is_repeatable {
        REPEATABLE_PATIENCE
    } else {
        UNREPEATABLE_PATIENCE
    };
    client
        .set_acknowledge_timeout(patience)
        .map_err(http1::Failure::NotSent)?;
    Ok(client)
}

async fn open_new(instance: &Rc<Instance>, engine: &Target) -> Result<Client, http1::Failure> {
    let mut connecting = pin!(connect(instance, engine, &ENGINE_PATIENCE));
    loop {
        let isolated = instance.links.isolated.notified();
        tokio::select! {
            biased;
            opened = &mut connecting => return opened,
            () = isolated => {
                if instance.links.state().is_isolated(&engine.service) {
                    return Err(http1::Failure::NotSent(io::ErrorKind::NetworkUnreachable.into()));
                }
            }
        }
    }
}

async fn connect(
    instance: &Rc<Instance>,
    engine: &Target,
    patience: &TcpTimeouts,
) -> Result<Client, http1::Failure> {
    let begun = instance.now();
    let opened = instance.connect(engine.address, patience).await;
    instance.metrics.engine_connected(opened.as_ref().err());
    let is_time_out = opened.as_ref().is_err_and(http1::Failure::is_time_out);
    if !is_time_out {
        instance.own_load.on_round_trip(engine.address, begun);
    } else if instance.own_load.explains_silence(begun) {
        return opened;
    }
    match &opened {
        Ok(_) => on_opened(instance, engine),
        Err(http1::Failure::NotSent(error)) if error.kind() == io::ErrorKind::TimedOut => {
            on_failed(instance, engine, begun, Failure::Silent);
        }
        Err(_) => on_failed(instance, engine, begun, Failure::Refused),
    }
    opened
}

/// Number of a service's engines. An instance that keeps only some records assumes many.
fn count_engines(instance: &Instance, service: &ServiceName) -> usize {
    if instance.engines_known.get() {
        instance.fleet.borrow().ready(service).count()
    } else {
        usize::MAX
    }
}

fn on_opened(instance: &Instance, engine: &Target) {
    let engines = count_engines(instance, &engine.service);
    let now = instance.now();
    let mut state = instance.links.state.borrow_mut();
    let Some(since) = state.on_opened(&engine.id, &engine.service, engines, now) else {
        return;
    };
    log::warn!(service = &*engine.service, after_ms:% = now.saturating_sub(since).as_millis(); "engines can be reached again");
    instance.metrics.set_isolated(state.is_isolated_from_any());
}

fn on_failed(instance: &Instance, engine: &Target, begun: Moment, failure: Failure) {
    let Target { id, service, .. } = engine;
    let engines = count_engines(instance, service);
    let now = instance.now();
    let mut state = instance.links.state.borrow_mut();
    if state.on_failed(id, service, begun, failure, engines, now) {
        let failed: Vec<EngineId> = state.unreachable(service).cloned().collect();
        drop(state);
        on_isolated(instance, service, failure, &failed);
    }
}

/// Sends the calls to a service through other instances from now on.
///
/// Idle connections are closed, since a call sent on one would be lost. What time-outs said of the
/// engines' health is forgotten, so that these get calls at once.
fn on_isolated(instance: &Instance, service: &ServiceName, failure: Failure, failed: &[EngineId]) {
    let mut fleet = instance.fleet.borrow_mut();
    let names: Vec<&str> = failed.iter().map(|engine| &**engine).collect();
    log::warn!(
        service = &**service, failure:? = failure, engines = names.join(" "),
        known = fleet.ready(service).count();
        "no engine can be reached from here"
    );
    instance.metrics.set_isolated(true);
    for engine in fleet.ready(service) {
        instance.pool.remove(&engine.record.id);
    }
    if failure == Failure::Silent {
        for engine in failed {
            fleet.reset_health(engine);
        }
    }
    drop(fleet);
    instance.links.isolated.notify_waiters();
}

/// Notes a connection that was used at `sent_at` and gave no answer.
pub(crate) fn on_lost(
    instance: &Instance,
    engine: &Target,
    sent_at: Moment,
    failure: &http1::Failure,
) {
    let http1::Failure::NoResponse(error) = failure else {
        return;
    };
    // An engine that ends resets its connections; only silence says something of the path.
    if error.kind() == io::ErrorKind::TimedOut && !instance.own_load.explains_silence(sent_at) {
        instance.pool.remove(&engine.id);
        on_failed(instance, engine, sent_at, Failure::Silent);
    }
}

/// Whose fault it is that a connection begun at `begun` did not open. Unless it is known, other
/// engines of the service are connected to.
pub(crate) async fn find_cause(instance: &Rc<Instance>, engine: &Target, begun: Moment) -> Cause {
    let cause = instance.links.state().cause(&engine.service, begun);
    if cause != Cause::Unclear {
        return cause;
    }
    let links = &instance.links;
    let asked = links.witnesses_asked.notified();
    if links
        .asks_witnesses
        .borrow_mut()
        .insert(engine.service.clone())
    {
        // Callers come and go; the question is everyone's.
        let (instance, engine) = (instance.clone(), engine.clone());
        actix_rt::spawn(async move {
            ask_witnesses(&instance, &engine).await;
            let links = &instance.links;
            links.asks_witnesses.borrow_mut().remove(&engine.service);
            links.witnesses_asked.notify_waiters();
        });
    }
    asked.await;
    instance.links.state().cause(&engine.service, begun)
}

async fn ask_witnesses(instance: &Rc<Instance>, failed: &Target) {
    let witnesses: SmallVec<[Target; WITNESSES]> = {
        let fleet = instance.fleet.borrow();
        let state = instance.links.state.borrow();
        let lost: Vec<&EngineId> = state.unreachable(&failed.service).collect();
        let others = fleet
            .ready(&failed.service)
            .filter(|engine| !lost.contains(&&engine.record.id));
        let drawn = others.sample(&mut rand::rng(), WITNESSES);
        drawn
            .into_iter()
            .map(|engine| Target::from(&engine.record))
            .collect()
    };
    probe(instance, &witnesses).await;
}

/// Opens a connection to each of these engines, and keeps it for calls. Returns how many opened.
async fn probe(instance: &Rc<Instance>, engines: &[Target]) -> usize {
    let probes = engines.iter().map(async |engine| {
        let opened = connect(instance, engine, &PROBE_PATIENCE).await;
        let is_open = opened.is_ok();
        if let Ok(client) = opened {
            instance.pool.put(&engine.id, client, None, instance.now());
        }
        usize::from(is_open)
    });
    join_all(probes).await.into_iter().sum()
}

/// Whether a new connection to an engine opens; `None` if it does not, and it may be this instance's own
/// fault.
pub(crate) async fn reaches(instance: &Rc<Instance>, engine: &Target) -> Option<bool> {
    let begun = instance.now();
    let is_open = probe(instance, std::slice::from_ref(engine)).await > 0;
    if !is_open && instance.own_load.explains_silence(begun) {
        return None;
    }
    if instance.links.state().path(&engine.id, &engine.service) == Path::Direct {
        return Some(true);
    }
    let cause = find_cause(instance, engine, begun).await;
    (cause == Cause::Engine).then_some(false)
}

/// Times that a few instances are asked whether an engine that refuses connections has ended.
const MAX_ROUNDS: usize = 2;

/// Whether another instance reaches an engine that refuses this one. The first answer of an instance
/// that has no fault of its own counts.
pub(crate) async fn is_reached_by_others(instance: &Instance, engine: &Target) -> bool {
    let links = &instance.links;
    for _ in 0..MAX_ROUNDS {
        for peer in forwarders(instance, &engine.service) {
            let connect =
                async |peer, patience: &TcpTimeouts| instance.connect(peer, patience).await;
            let answer =
                forward::reaches(&links.peers, connect, peer, engine, instance.now()).await;
            log::info!(engine = &*engine.id, instance:% = peer, reached:? = answer; "asked whether an engine is reached");
            if let Some(is_reached) = answer {
                return is_reached;
            }
            let now = instance.now();
            links.on_forwarder(peer, &engine.service, ForwardResult::Isolated, now);
        }
    }
    false
}

/// Probes engines that could not be reached, until the process ends.
pub(crate) async fn run(instance: Rc<Instance>) {
    loop {
        sleep(PROBE_POLL_INTERVAL).await;
        let now = instance.now();
        let due: Vec<Target> = {
            let fleet = instance.fleet.borrow();
            let mut state = instance.links.state.borrow_mut();
            state.retain(|engine| fleet.get(engine).is_some());
            let due = state.due_probes(MAX_PROBES, now).into_iter();
            due.filter_map(|engine| Some(Target::from(&fleet.get(&engine)?.record)))
                .collect()
        };
        probe(&instance, &due).await;
        let is_isolated = instance.links.state().is_isolated_from_any();
        instance.metrics.set_isolated(is_isolated);
        instance.links.peers.sweep(now);
        instance.links.forwarders.borrow_mut().expire(now);
    }
}

/// The instances to ask to send a call to a service, in this order.
pub(crate) fn forwarders(
    instance: &Instance,
    service: &ServiceName,
) -> SmallVec<[SocketAddr; MAX_FORWARDERS]> {
    let now = instance.now();
    let candidates: Vec<Forwarder> = instance.peers.borrow().forwarders(&instance.zone, now);
    let forwarders = instance.links.forwarders.borrow();
    forwarders.order(instance.address, service, &candidates, now)
}
