//! The processes, links and stand-ins of a run, and how faults begin and end there.

use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use platform_standin::cloud::{self, Cloud};
use platform_standin::configuration::{Duties, Route, configuration};
use platform_standin::engine::Behaviour;
use platform_standin::{Engine, Store, store};
use rustix::process::Signal;
use serde_json::json;
use tokio::time::Instant;

use crate::check;
use crate::gateway::{Gateway, PortAllocator};
use crate::history::{EngineRequest, History, RateLimit};
use crate::plan::{self, FaultKind, LinkState, Plan, ProcessAction};
use crate::proxy::Proxy;

/// An engine and the link to it.
#[derive(Debug)]
struct EngineNode {
    engine: Engine,
    link: Proxy,
    service: &'static str,
    stage: Option<&'static str>,
    /// Whether it has said that it leaves, or has ended.
    has_left: bool,
    /// What it wrote last of itself; nothing once its record is gone.
    recorded_state: Option<&'static str>,
    /// Whether another start of it has its name.
    is_replaced: bool,
}

/// A gateway process and the links at its two sides.
#[derive(Debug)]
pub struct Instance {
    /// The process.
    pub gateway: RefCell<Gateway>,
    /// Between callers and it.
    pub callers: Proxy,
    store: Proxy,
}

/// All of a run.
#[derive(Debug)]
pub struct Cluster {
    store: Store,
    cloud: Cloud,
    /// What the store held when it was last copied.
    backup: RefCell<Option<store::Backup>>,
    /// When engines write again what a copy lacks.
    register_again_at: Cell<Option<Instant>>,
    /// The gateways.
    pub instances: Vec<Instance>,
    engines: RefCell<Vec<EngineNode>>,
    version: RefCell<u64>,
    /// Whether a caller sends the call that ends engines.
    pub sends_fatal: Cell<bool>,
    /// When callers began.
    pub callers_started: Cell<Instant>,
    /// Records of engines that have ended, and when they lapse.
    expiring_records: RefCell<Vec<(Instant, usize)>>,
    /// What has been seen so far.
    pub history: RefCell<History>,
}

/// Pause between two events, so that streams are under way whenever something happens.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// Path of the call that ends engines.
pub const FATAL_PATH: &str = "/stream/fatal";
/// Organisations of callers.
pub const ORGANISATIONS: [&str; 2] = ["org-a", "org-b"];
/// Length of a window whose use is reported, and time after its end within which that is due, in milliseconds.
const USAGE_WINDOW_MS: u32 = 1_000;
const USAGE_REPORT_DUE_MS: u32 = 8_000;
/// Time until an engine writes its record again.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Time until the record of an engine that has ended lapses.
const RECORD_LIFETIME: Duration = Duration::from_millis(1_200);
/// Name of the topic with engines' records.
const ENGINE_TOPIC: &str = "keyed.servers";
/// Topics whose history is dropped.
const COMPACTED_TOPICS: [&str; 2] = [ENGINE_TOPIC, "keyed.op"];

impl Cluster {
    /// Starts everything.
    ///
    /// # Errors
    ///
    /// If a process cannot be started.
    pub async fn start(
        plan: &Plan,
        program: &Path,
        directory: &Path,
        ports: &mut PortAllocator,
    ) -> io::Result<Rc<Self>> {
        let store = Store::start().await;
        let cloud = Cloud::start().await;
        let duties = Duties {
            address: cloud.address,
            window_ms: USAGE_WINDOW_MS,
            late_ms: USAGE_REPORT_DUE_MS,
        };
        let mut instances = Vec::new();
        for number in 0..plan.gateways {
            let link = Proxy::start(store.address).await;
            let name = format!("gateway-{number}");
            let gateway = Gateway::new(program, directory, &name, link.address, duties, ports)?;
            let callers = Proxy::start(gateway.front).await;
            instances.push(Instance {
                gateway: RefCell::new(gateway),
                callers,
                store: link,
            });
        }
        let world = Self {
            store,
            cloud,
            backup: RefCell::default(),
            register_again_at: Cell::new(None),
            instances,
            engines: RefCell::default(),
            version: RefCell::new(0),
            sends_fatal: Cell::new(false),
            callers_started: Cell::new(Instant::now()),
            expiring_records: RefCell::default(),
            history: RefCell::default(),
        };
        for _ in 0..plan.services {
            world.add_engine("app", None).await;
        }
        for number in 0..plan.engines {
            // A third of them read, as on the users' deployments.
            let stage = if number % 3 == 1 { "prefill" } else { "decode" };
            world.add_engine("pool", Some(stage)).await;
        }
        world.configure();
        for instance in &world.instances {
            instance.gateway.borrow_mut().start()?;
        }
        Ok(Rc::new(world))
    }

    /// The newest version of the configuration.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    async fn add_engine(&self, service: &'static str, stage: Option<&'static str>) {
        let id = format!("{service}-{}", self.engines.borrow().len());
        let engine = Engine::start(&id).await;
        self.register_engine(engine, service, stage).await;
    }

    /// Puts an engine behind a link of its own and registers it.
    async fn register_engine(
        &self,
        engine: Engine,
        service: &'static str,
        stage: Option<&'static str>,
    ) {
        engine.set_stream(check::STREAM_EVENTS, EVENT_INTERVAL);
        engine.end_on_path(FATAL_PATH);
        let link = Proxy::start(engine.address).await;
        engine.register_at(link.address, &self.store, service, "ready", stage);
        self.engines.borrow_mut().push(EngineNode {
            engine,
            link,
            service,
            stage,
            has_left: false,
            recorded_state: Some("ready"),
            is_replaced: false,
        });
    }

    /// Writes a configuration with one route more.
    fn configure(&self) {
        *self.version.borrow_mut() += 1;
        self.write_configuration();
    }

    fn write_configuration(&self) {
        let version = self.version.borrow();
        let added: Vec<String> = (1..=*version).map(|v| format!("/added-{v}/")).collect();
        let mut routes = vec![
            route("/safe/", "safe", "app", 2, false),
            route("/once/", "unsafe", "app", 1, false),
            route("/stream/", "streaming", "pool", 1, false),
            route("/resume/", "streaming", "pool", 2, true),
        ];
        routes.extend(
            added
                .iter()
                .map(|prefix| route(prefix, "safe", "app", 2, false)),
        );
        let mut value = configuration(*version, &routes, &["app"]);
        let organisations =
            ORGANISATIONS.map(|name| json!({ "name": name, "api_keys": [key(name)] }));
        value["tenants"] = json!(organisations);
        self.store.put("keyed.op", "config", Some(&value));
    }

    /// Begins a fault.
    pub async fn begin_fault(&self, kind: FaultKind) {
        match kind {
            FaultKind::Process(number, process) => self.signal(number, process_signal(process)),
            FaultKind::KillAll => {
                for number in 0..self.instances.len() {
                    self.signal(number, Signal::KILL);
                }
            }
            FaultKind::Callers(number, link) => self.instances[number].callers.set_state(link),
            FaultKind::StoreLink(number, link) => self.instances[number].store.set_state(link),
            FaultKind::Store(fault) => self.store.fault(store_fault(fault)),
            FaultKind::Compact => COMPACTED_TOPICS
                .iter()
                .for_each(|topic| self.store.compact(topic)),
            FaultKind::EngineLink(number, link) => {
                self.with_engine(number, |place| place.link.set_state(link));
            }
            FaultKind::Engine(number, trouble) => {
                self.with_engine(number, |p| {
                    p.engine.set_behaviour(engine_behaviour(trouble));
                });
            }
            FaultKind::Leave(number) => self.drain_engine(number).await,
            FaultKind::Crash(number) => self.crash_engine(number).await,
            FaultKind::Reborn(number) => self.restart_engine(number).await,
            FaultKind::Foreign(number) => self.write_foreign_records(number),
            FaultKind::Fatal => self.sends_fatal.set(true),
            FaultKind::Limit(number, taken) => self.announce_rate_limit(number, taken),
            FaultKind::Configure => self.configure(),
            FaultKind::GoesBack => drop(self.backup.replace(Some(self.store.backup()))),
            FaultKind::Cloud(fault) => self.cloud.fault(cloud_fault(fault)),
        }
    }

    /// Ends a fault that lasts.
    pub fn end_fault(&self, kind: FaultKind) {
        match kind {
            FaultKind::Process(number, ProcessAction::Pause) => self.signal(number, Signal::CONT),
            FaultKind::Callers(number, _) => {
                self.instances[number].callers.set_state(LinkState::Pass);
            }
            FaultKind::StoreLink(number, _) => {
                self.instances[number].store.set_state(LinkState::Pass);
            }
            FaultKind::Store(_) => self.store.fault(store::Fault::None),
            FaultKind::EngineLink(number, _) => self.with_engine(number, |place| {
                if !place.has_left {
                    place.link.set_state(LinkState::Pass);
                }
            }),
            FaultKind::Engine(number, _) => {
                self.with_engine(number, |place| place.engine.set_behaviour(Behaviour::Run));
            }
            FaultKind::Leave(number) => self.unregister(number),
            FaultKind::Crash(number) => self.unregister(number),
            FaultKind::Foreign(number) => self.write_engine_record(number),
            FaultKind::Fatal => self.sends_fatal.set(false),
            FaultKind::Limit(number, _) => self.withdraw_rate_limit(number),
            FaultKind::GoesBack => self.restore_store(),
            FaultKind::Cloud(_) => self.cloud.fault(cloud::Fault::None),
            FaultKind::Reborn(_)
            | FaultKind::Process(..)
            | FaultKind::KillAll
            | FaultKind::Compact
            | FaultKind::Configure => {}
        }
    }

    /// The store comes back from its copy. The operator writes at once again what it lacks, engines with their next heartbeats.
    fn restore_store(&self) {
        if let Some(copy) = self.backup.take() {
            self.store.restore(copy);
            self.write_configuration();
            self.register_again_at.set(Some(Instant::now() + HEARTBEAT));
        }
    }

    /// Lets engines write again what the store lacks, once that is due.
    pub fn register_again_if_due(&self) {
        if self
            .register_again_at
            .get()
            .is_none_or(|at| at > Instant::now())
        {
            return;
        }
        self.register_again_at.set(None);
        let places = self.engines.borrow();
        for place in places.iter().filter(|place| !place.is_replaced) {
            let Some(state) = place.recorded_state else {
                // Nothing renews what the copy has of it.
                self.store.put(ENGINE_TOPIC, &place.engine.id, None);
                continue;
            };
            let (address, service) = (place.link.address, place.service);
            place
                .engine
                .register_at(address, &self.store, service, state, place.stage);
        }
    }

    fn announce_rate_limit(&self, number: usize, taken: u32) {
        let from = self.callers_started.get().elapsed();
        self.with_engine(number, |place| {
            place
                .engine
                .announce_limit(Some(&(f64::from(taken) / 10.0).to_string()));
            self.history.borrow_mut().rate_limits.push(RateLimit {
                engine: place.engine.id.clone(),
                per_ten_seconds: taken,
                from,
                until: Duration::MAX,
            });
        });
    }

    fn withdraw_rate_limit(&self, number: usize) {
        let until = self.callers_started.get().elapsed();
        self.with_engine(number, |place| {
            place.engine.announce_limit(None);
            let mut history = self.history.borrow_mut();
            let limits = history.rate_limits.iter_mut();
            for limit in limits.filter(|limit| limit.engine == place.engine.id) {
                limit.until = limit.until.min(until);
            }
        });
    }

    fn signal(&self, number: usize, signal: Signal) {
        self.instances[number].gateway.borrow_mut().signal(signal);
    }

    fn with_engine(&self, number: usize, change: impl FnOnce(&mut EngineNode)) {
        change(&mut self.engines.borrow_mut()[number]);
    }

    /// Marks an engine as left. Gives its service and stage, unless it had left before.
    fn mark_left(&self, number: usize) -> Option<(&'static str, Option<&'static str>)> {
        let place = &mut self.engines.borrow_mut()[number];
        if std::mem::replace(&mut place.has_left, true) {
            return None;
        }
        Some((place.service, place.stage))
    }

    async fn drain_engine(&self, number: usize) {
        if let Some((service, stage)) = self.mark_left(number) {
            self.add_engine(service, stage).await;
            self.with_engine(number, |place| {
                let engine = &place.engine;
                engine.register_at(place.link.address, &self.store, service, "draining", stage);
                place.recorded_state = Some("draining");
            });
        }
    }

    async fn crash_engine(&self, number: usize) {
        if let Some((service, stage)) = self.mark_left(number) {
            self.with_engine(number, |place| place.link.set_state(LinkState::Reset));
            self.add_engine(service, stage).await;
        }
    }

    /// The engine ends and another start of it registers under its name, which is where the first one is told from
    /// it.
    async fn restart_engine(&self, number: usize) {
        let Some((service, stage)) = self.mark_left(number) else {
            return;
        };
        let id = self.engines.borrow()[number].engine.id.clone();
        self.with_engine(number, |place| {
            if !place.engine.has_stopped() {
                place.link.set_state(LinkState::Reset);
            }
        });
        // Its record is that of the new start from now on.
        self.engines.borrow_mut()[number].is_replaced = true;
        // One that starts again has a later place than the start before.
        let timestamp = self.engines.borrow().len() as u64;
        let engine = Engine::start_with_timestamp(&id, timestamp).await;
        self.register_engine(engine, service, stage).await;
    }

    /// Starts engines in the place of those that a call has ended: one half under their names, the other under new ones.
    pub async fn replace_ended_engines(&self) {
        let is_ended = |place: &EngineNode| place.engine.has_stopped() && !place.has_left;
        let ended: Vec<usize> = {
            let places = self.engines.borrow();
            let ended = places.iter().enumerate();
            let ended = ended.filter(|(_, place)| is_ended(place));
            ended.map(|(number, _)| number).collect()
        };
        for number in ended {
            let at = self.callers_started.get().elapsed();
            self.history.borrow_mut().engine_ends.push(at);
            self.with_engine(number, |place| place.link.set_state(LinkState::Refuse));
            if number.is_multiple_of(2) {
                self.restart_engine(number).await;
            } else if let Some((service, stage)) = self.mark_left(number) {
                self.add_engine(service, stage).await;
                let lapse = (Instant::now() + RECORD_LIFETIME, number);
                self.expiring_records.borrow_mut().push(lapse);
            }
        }
        let now = Instant::now();
        let (due, rest) = {
            let lapses = self.expiring_records.take();
            lapses.into_iter().partition(|(at, _)| *at <= now)
        };
        let due: Vec<(Instant, usize)> = due;
        self.expiring_records.replace(rest);
        for (_, number) in due {
            self.unregister(number);
        }
    }

    /// Writes what no engine writes, in a place of its own and over an engine's record.
    fn write_foreign_records(&self, number: usize) {
        let entry = json!({ "service": "app", "address": [10, 0, 0, 1], "state": "resting" });
        self.store.put(ENGINE_TOPIC, "foreign", Some(&entry));
        self.with_engine(number, |place| {
            if !place.has_left {
                self.store.put(ENGINE_TOPIC, &place.engine.id, Some(&entry));
            }
        });
    }

    /// An engine writes its record again, as it does with each heartbeat.
    fn write_engine_record(&self, number: usize) {
        self.with_engine(number, |place| {
            if !place.has_left {
                let address = place.link.address;
                place
                    .engine
                    .register_at(address, &self.store, place.service, "ready", place.stage);
            }
        });
    }

    fn unregister(&self, number: usize) {
        self.with_engine(number, |place| {
            place.recorded_state = None;
            self.store.put(ENGINE_TOPIC, &place.engine.id, None);
        });
    }

    /// Lets engines do what they were ordered last.
    fn apply_orders(&self) {
        for place in self
            .engines
            .borrow_mut()
            .iter_mut()
            .filter(|place| !place.has_left)
        {
            let Some(order) = place.engine.orders().pop() else {
                continue;
            };
            let stage = if order.stage == "prefill" {
                "prefill"
            } else {
                "decode"
            };
            if place.stage != Some(stage) {
                place.stage = Some(stage);
                let (address, service) = (place.link.address, place.service);
                place
                    .engine
                    .register_at(address, &self.store, service, "ready", place.stage);
            }
        }
    }

    /// Lets engines do what they were ordered, starts processes that have ended, and notes those that ended
    /// by themselves.
    ///
    /// # Errors
    ///
    /// If one cannot be started.
    pub fn apply_orders_and_restart(&self) -> io::Result<()> {
        self.apply_orders();
        for (number, instance) in self.instances.iter().enumerate() {
            let mut gateway = instance.gateway.borrow_mut();
            match gateway.has_exited() {
                Ok(false) => continue,
                Ok(true) => {}
                Err(status) => {
                    let exit = format!("gateway-{number} ended by itself: {status}");
                    self.history.borrow_mut().unexpected_exits.push(exit);
                }
            }
            gateway.start()?;
        }
        Ok(())
    }

    /// Takes what the engines and the platform saw into the history.
    pub fn collect_history(&self) {
        let mut history = self.history.borrow_mut();
        history.usage_reports = self.cloud.calls("/usage");
        for place in self.engines.borrow().iter() {
            let id = &place.engine.id;
            let orders = place.engine.orders();
            history
                .orders
                .extend(orders.into_iter().map(|order| (id.clone(), order)));
            let received = place.engine.received();
            history
                .engine_requests
                .extend(received.into_iter().map(|got| EngineRequest {
                    engine: id.clone(),
                    service: place.service,
                    received_at: got.at.saturating_duration_since(self.callers_started.get()),
                    executed: got.ran,
                    forged: got.has_forged_header() || got.header("key").is_some(),
                    organisation: got.header("tenant-id").unwrap_or_default().to_owned(),
                    id: got.id,
                }));
        }
    }
}

fn route<'a>(
    prefix: &'a str,
    kind: &'a str,
    service: &'a str,
    attempts: u32,
    resumable: bool,
) -> Route<'a> {
    Route {
        prefix,
        kind,
        service,
        attempts,
        resumable,
    }
}

/// The key of an organisation.
pub fn key(organisation: &str) -> String {
    format!("key-of-{organisation}")
}

fn cloud_fault(fault: plan::CloudFailure) -> cloud::Fault {
    match fault {
        plan::CloudFailure::Silent => cloud::Fault::Silent,
        plan::CloudFailure::Busy => cloud::Fault::Busy,
    }
}

fn process_signal(process: ProcessAction) -> Signal {
    match process {
        ProcessAction::Pause => Signal::STOP,
        ProcessAction::Kill => Signal::KILL,
        ProcessAction::Stop => Signal::TERM,
        ProcessAction::Reload => Signal::HUP,
    }
}

fn store_fault(fault: plan::StoreFailure) -> store::Fault {
    match fault {
        plan::StoreFailure::Silent => store::Fault::Silent,
        plan::StoreFailure::Busy => store::Fault::Busy,
        plan::StoreFailure::Reset => store::Fault::Reset,
    }
}

fn engine_behaviour(failure: plan::EngineFailure) -> Behaviour {
    match failure {
        plan::EngineFailure::Full => Behaviour::Full,
        plan::EngineFailure::LosesAnswers => Behaviour::CloseUnanswered,
        plan::EngineFailure::Cuts => Behaviour::CutAfter(2),
        plan::EngineFailure::Crosses => Behaviour::AnswerOther,
        plan::EngineFailure::Fails => Behaviour::Fail(500),
        plan::EngineFailure::Hangs => Behaviour::Hang,
    }
}
