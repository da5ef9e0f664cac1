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
use serving::forwarders::{ForwardResult, Forwarder, Forwarders, MAX_FORWARDERS};
use serving::reachability::{
    Attempt, Cause, Failure, Origin, Path, Reachability, Report, Verdict, WITNESSES,
};
use serving::{EngineId, Record, ServiceName};
use smallvec::SmallVec;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::forward::{self, PeerPool, Reach};
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
/// Time after which a connection that has not opened makes this instance draw witnesses, so that these
/// have answered by the time it fails.
const SLOW_CONNECT: Duration = Duration::from_millis(150);
/// Engines drawn first after a refused connection. Most often one of them opens, and the others can be
/// spared: a refusal costs no time.
const FIRST_WITNESSES: usize = 2;
/// Engines of other services that are drawn if the service itself has too few. They tell whether this
/// instance has any path.
const FOREIGN_WITNESSES: usize = 2;
/// Engines of a service that other instances are asked about. If a quarter of the service has terminated,
/// all of them have once in 256 times.
const MAX_DISPUTED: usize = 4;
/// Time after which other instances count as unable to tell whether engines are reached.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Engines assumed at least while this instance keeps only some records.
const MIN_ASSUMED_ENGINES: usize = 3;

/// This instance's paths to engines, and to instances that have others.
#[derive(Default)]
pub(crate) struct EngineLinks {
    state: RefCell<Reachability>,
    forwarders: RefCell<Forwarders>,
    /// Notified when connections that have not opened yet should be given up.
    given_up: Notify,
    /// Services from which this instance may be isolated, until other instances are asked.
    suspected: RefCell<BTreeSet<ServiceName>>,
    /// Notified when there are any.
    suspicion_due: Notify,
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

    /// Records what another instance did with a call to an engine.
    pub(crate) fn on_forwarder(
        &self,
        address: SocketAddr,
        engine: &EngineId,
        service: &ServiceName,
        result: ForwardResult,
        now: Moment,
    ) {
        let mut forwarders = self.forwarders.borrow_mut();
        forwarders.record(address, engine, service, result, now);
    }

    /// Forgets what is known of an instance that has restarted.
    pub(crate) fn on_restarted(&self, address: SocketAddr) {
        self.forwarders.borrow_mut().on_restarted(address);
    }

    /// Whether another instance lately declined to send to this engine alone.
    pub(crate) fn is_declined(&self, engine: &EngineId, now: Moment) -> bool {
        self.forwarders.borrow().is_declined(engine, now)
    }

    /// Records bytes of an engine on a connection of this instance.
    pub(crate) fn on_received(&self, service: &ServiceName, now: Moment) {
        self.state.borrow_mut().on_received(service, now);
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
    let mut connecting = pin!(connect(instance, engine, &ENGINE_PATIENCE, Origin::Choice));
    let mut slow = pin!(sleep(SLOW_CONNECT));
    let mut is_slow = false;
    loop {
        let given_up = instance.links.given_up.notified();
        tokio::select! {
            biased;
            opened = &mut connecting => return opened,
            () = given_up => {
                if instance.links.state().gives_up(&engine.service) {
                    return Err(http1::Failure::NotSent(io::ErrorKind::NetworkUnreachable.into()));
                }
            }
            () = &mut slow, if !is_slow => {
                is_slow = true;
                draw_witnesses(instance, engine, Failure::Silent);
            }
        }
    }
}

async fn connect(
    instance: &Rc<Instance>,
    engine: &Target,
    patience: &TcpTimeouts,
    origin: Origin,
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
            on_timed_out(instance, engine, begun, origin);
        }
        Err(_) => {
            let failure = Failure::Refused;
            let attempt = Attempt {
                begun,
                failure,
                origin,
            };
            on_failed(instance, engine, attempt);
        }
    }
    opened
}

/// Number of a service's engines that can be connected to. An instance that keeps only some records
/// assumes a few at least.
fn count_engines(instance: &Instance, service: &ServiceName) -> usize {
    let known = instance.fleet.borrow().ready(service).count();
    if instance.engines_known.get() {
        known
    } else {
        known.max(MIN_ASSUMED_ENGINES)
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

/// Notes an engine that was silent for too long. All time-outs of engines are recorded here.
fn on_timed_out(instance: &Instance, engine: &Target, begun: Moment, origin: Origin) {
    let failure = Failure::Silent;
    let attempt = Attempt {
        begun,
        failure,
        origin,
    };
    on_failed(instance, engine, attempt);
}

fn on_failed(instance: &Instance, engine: &Target, attempt: Attempt) {
    let Target { id, service, .. } = engine;
    let engines = count_engines(instance, service);
    let now = instance.now();
    let links = &instance.links;
    let mut state = links.state.borrow_mut();
    if state.on_failed(id, service, attempt, engines, now) {
        links.suspected.borrow_mut().insert(service.clone());
        links.suspicion_due.notify_one();
        if state.gives_up(service) {
            links.given_up.notify_waiters();
        }
    }
}

/// Sends the calls to a service through other instances from now on.
///
/// Idle connections are closed, since a call sent on one would be lost. What time-outs said of the
/// engines' health is forgotten, so that these get calls at once.
fn on_isolated(instance: &Instance, service: &ServiceName, failure: Failure, report: Report) {
    let state = instance.links.state();
    let failed: Vec<EngineId> = state.unreachable(service).cloned().collect();
    drop(state);
    let mut fleet = instance.fleet.borrow_mut();
    let names: Vec<&str> = failed.iter().map(|engine| &**engine).collect();
    log::warn!(
        service = &**service, failure:? = failure, engines = names.join(" "),
        known = fleet.ready(service).count(), others:? = report;
        "no engine can be reached from here"
    );
    instance.metrics.set_isolated(true);
    for engine in fleet.ready(service) {
        instance.pool.remove(&engine.record.id);
    }
    if failure == Failure::Silent {
        for engine in &failed {
            fleet.reset_health(engine);
        }
    }
    drop(fleet);
    instance.links.given_up.notify_waiters();
}

/// Notes a connection that was used at `sent_at` and gave no answer.
pub(crate) fn on_lost(
    instance: &Instance,
    engine: &Target,
    sent_at: Moment,
    failure: &http1::Failure,
) {
    match failure {
        http1::Failure::NoResponse(error) if error.kind() == io::ErrorKind::TimedOut => {
            if instance.own_load.explains_silence(sent_at) {
                return;
            }
            instance.pool.remove(&engine.id);
            on_timed_out(instance, engine, sent_at, Origin::Choice);
        }
        // The engine's host has sent a reset or a close, so the path worked until then.
        http1::Failure::NoResponse(_) | http1::Failure::Closed | http1::Failure::Broken(_) => {
            instance.links.on_received(&engine.service, instance.now());
        }
        http1::Failure::NotSent(_) => {}
    }
}

/// Whose fault it is that a connection begun at `begun` did not open. Unless it is known, engines of
/// the service are drawn and connected to.
pub(crate) async fn find_cause(instance: &Rc<Instance>, engine: &Target, begun: Moment) -> Cause {
    let links = &instance.links;
    let (id, service) = (&engine.id, &engine.service);
    let cause = links.state().cause(id, service, begun);
    if cause != Cause::Unclear {
        return cause;
    }
    let is_silent = links.state().is_silent(id);
    let failure = match is_silent {
        true => Failure::Silent,
        false => Failure::Refused,
    };
    draw_witnesses(instance, engine, failure);
    loop {
        let asked = links.witnesses_asked.notified();
        if !links.asks_witnesses.borrow().contains(service) {
            return links.state().cause(id, service, begun);
        }
        asked.await;
    }
}

/// Connects to engines drawn at random, unless the service's are being connected to already.
fn draw_witnesses(instance: &Rc<Instance>, engine: &Target, failure: Failure) {
    let mut asking = instance.links.asks_witnesses.borrow_mut();
    if !asking.insert(engine.service.clone()) {
        return;
    }
    // Callers come and go; the question is everyone's.
    let (instance, engine) = (instance.clone(), engine.clone());
    actix_rt::spawn(async move {
        ask_witnesses(&instance, &engine, failure).await;
        let links = &instance.links;
        links.asks_witnesses.borrow_mut().remove(&engine.service);
        links.witnesses_asked.notify_waiters();
    });
}

async fn ask_witnesses(instance: &Rc<Instance>, failed: &Target, failure: Failure) {
    let begun = instance.now();
    let counts: &[usize] = match failure {
        Failure::Refused => &[FIRST_WITNESSES, WITNESSES - FIRST_WITNESSES],
        Failure::Silent => &[WITNESSES],
    };
    for &count in counts {
        let witnesses = draw(instance, failed, count);
        connect_to_all(instance, &witnesses, Origin::Draw).await;
        let cause = instance
            .links
            .state()
            .cause(&failed.id, &failed.service, begun);
        if cause != Cause::Unclear {
            return;
        }
    }
}

/// Engines of the service that have not failed, drawn at random, and of others if there are too few.
fn draw(instance: &Instance, failed: &Target, count: usize) -> SmallVec<[Target; WITNESSES]> {
    let fleet = instance.fleet.borrow();
    let state = instance.links.state();
    let others = fleet
        .ready(&failed.service)
        .filter(|engine| engine.record.id != failed.id && !state.is_unreachable(&engine.record.id));
    let mut drawn = others.sample(&mut rand::rng(), count);
    if drawn.len() < count {
        let foreign = fleet.all().filter(|engine| {
            engine.takes_calls()
                && engine.record.service != failed.service
                && state.path(&engine.record.id, &engine.record.service) == Path::Direct
        });
        drawn.extend(foreign.sample(&mut rand::rng(), FOREIGN_WITNESSES));
    }
    drawn
        .into_iter()
        .map(|engine| Target::from(&engine.record))
        .collect()
}

/// Opens a connection to each of these engines, and keeps it for calls. Returns how many opened.
async fn connect_to_all(instance: &Rc<Instance>, engines: &[Target], origin: Origin) -> usize {
    let probes = engines.iter().map(async |engine| {
        let opened = connect(instance, engine, &PROBE_PATIENCE, origin).await;
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
    let engines = std::slice::from_ref(engine);
    let is_open = connect_to_all(instance, engines, Origin::Choice).await > 0;
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
    ask_others(instance, engine).await.unwrap_or(false)
}

/// Whether another instance reaches an engine; `None` if none can tell.
async fn ask_others(instance: &Instance, engine: &Target) -> Option<bool> {
    let links = &instance.links;
    let mut asked = BTreeSet::new();
    for _ in 0..MAX_ROUNDS {
        for peer in forwarders(instance, engine) {
            if !asked.insert(peer) {
                continue;
            }
            let connect =
                async |peer, patience: &TcpTimeouts| instance.connect(peer, patience).await;
            let answer =
                forward::reaches(&links.peers, connect, peer, engine, instance.now()).await;
            log::info!(engine = &*engine.id, instance:% = peer, answer:? = answer; "asked whether an engine is reached");
            let now = instance.now();
            let result = match answer {
                Reach::Reached => return Some(true),
                Reach::NotReached => return Some(false),
                Reach::Unknown => continue,
                Reach::Isolated => ForwardResult::Isolated,
                Reach::Silent => ForwardResult::Failed,
            };
            links.on_forwarder(peer, &engine.id, &engine.service, result, now);
        }
    }
    None
}

/// Asks other instances about services from which this one may be isolated, until the process ends.
pub(crate) async fn resolve_suspicions(instance: Rc<Instance>) {
    loop {
        instance.links.suspicion_due.notified().await;
        for service in instance.links.suspected.take() {
            actix_rt::spawn(resolve_suspicion(instance.clone(), service));
        }
    }
}

async fn resolve_suspicion(instance: Rc<Instance>, service: ServiceName) {
    let disputed: SmallVec<[Target; MAX_DISPUTED]> = {
        let fleet = instance.fleet.borrow();
        let state = instance.links.state();
        let disputed = state.disputed(&service).into_iter();
        let known = disputed.filter_map(|engine| Some(Target::from(&fleet.get(engine)?.record)));
        known.take(MAX_DISPUTED).collect()
    };
    let questions = disputed.iter().map(|engine| ask_others(&instance, engine));
    let answers = timeout(REPORT_TIMEOUT, join_all(questions)).await;
    let answers = answers.unwrap_or_default();
    let report = if answers.contains(&Some(true)) {
        Report::Reached
    } else if answers.contains(&Some(false)) {
        Report::NotReached
    } else {
        Report::Unknown
    };
    let mut state = instance.links.state.borrow_mut();
    let verdict = state.on_report(&service, report, instance.now());
    drop(state);
    match verdict {
        Verdict::Isolated(failure) => on_isolated(&instance, &service, failure, report),
        Verdict::Settled => {}
        Verdict::Engines => {
            let names: Vec<&str> = disputed.iter().map(|engine| &*engine.id).collect();
            log::info!(
                service = &*service, engines = names.join(" "), others:? = report;
                "engines fail while the paths from here work"
            );
        }
    }
    instance.metrics.path_suspected(report, verdict);
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
        connect_to_all(&instance, &due, Origin::Choice).await;
        let is_isolated = instance.links.state().is_isolated_from_any();
        instance.metrics.set_isolated(is_isolated);
        instance.links.peers.sweep(now);
        instance.links.forwarders.borrow_mut().expire(now);
    }
}

/// The instances to ask to send a call to an engine, in this order.
pub(crate) fn forwarders(
    instance: &Instance,
    engine: &Target,
) -> SmallVec<[SocketAddr; MAX_FORWARDERS]> {
    let now = instance.now();
    let candidates: Vec<Forwarder> = instance.peers.borrow().forwarders(&instance.zone, now);
    let forwarders = instance.links.forwarders.borrow();
    let (own, service) = (instance.address, &engine.service);
    forwarders.order(own, &engine.id, service, &candidates, now)
}
