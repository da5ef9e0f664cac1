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
use crate::gateway::{Gateway, Ports};
use crate::history::{History, Limit, Run};
use crate::plan::{self, Kind, Link, Plan, Process};
use crate::proxy::Proxy;

/// An engine and the link to it.
#[derive(Debug)]
struct Place {
    engine: Engine,
    link: Proxy,
    service: &'static str,
    stage: Option<&'static str>,
    /// Whether it has said that it leaves, or has ended.
    left: bool,
    /// What it wrote last of itself; nothing once its record is gone.
    wrote: Option<&'static str>,
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
pub struct World {
    store: Store,
    cloud: Cloud,
    /// What the store held when it was last copied.
    copy: RefCell<Option<store::Backup>>,
    /// When engines write again what a copy lacks.
    rewrite: Cell<Option<Instant>>,
    /// The gateways.
    pub instances: Vec<Instance>,
    places: RefCell<Vec<Place>>,
    version: RefCell<u64>,
    /// Whether a caller sends the call that ends engines.
    pub is_fatal: Cell<bool>,
    /// When callers began.
    pub begun: Cell<Instant>,
    /// Records of engines that have ended, and when they lapse.
    lapses: RefCell<Vec<(Instant, usize)>>,
    /// What has been seen so far.
    pub history: RefCell<History>,
}

/// Pause between two events, so that streams are under way whenever something happens.
const PAUSE: Duration = Duration::from_millis(50);
/// Path of the call that ends engines.
pub const FATAL: &str = "/stream/fatal";
/// Organisations of callers.
pub const ORGANISATIONS: [&str; 2] = ["org-a", "org-b"];
/// Length of a window whose use is reported, and time after its end within which that is due, in milliseconds.
const WINDOW: u32 = 1_000;
const LATE: u32 = 8_000;
/// Time until an engine writes its record again.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Time until the record of an engine that has ended lapses.
const LAPSE: Duration = Duration::from_millis(1_200);
/// Name of the topic with engines' records.
const ENGINES: &str = "keyed.servers";
/// Topics whose history is dropped.
const TOPICS: [&str; 2] = [ENGINES, "keyed.op"];

impl World {
    /// Starts everything.
    ///
    /// # Errors
    ///
    /// If a process cannot be started.
    pub async fn start(
        plan: &Plan,
        program: &Path,
        directory: &Path,
        ports: &mut Ports,
    ) -> io::Result<Rc<Self>> {
        let store = Store::start().await;
        let cloud = Cloud::start().await;
        let duties = Duties {
            address: cloud.address,
            window_ms: WINDOW,
            late_ms: LATE,
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
            copy: RefCell::default(),
            rewrite: Cell::new(None),
            instances,
            places: RefCell::default(),
            version: RefCell::new(0),
            is_fatal: Cell::new(false),
            begun: Cell::new(Instant::now()),
            lapses: RefCell::default(),
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
        let id = format!("{service}-{}", self.places.borrow().len());
        let engine = Engine::start(&id).await;
        self.add(engine, service, stage).await;
    }

    /// Puts an engine behind a link of its own and registers it.
    async fn add(&self, engine: Engine, service: &'static str, stage: Option<&'static str>) {
        engine.set_stream(check::EVENTS, PAUSE);
        engine.end_on_path(FATAL);
        let link = Proxy::start(engine.address).await;
        engine.register_at(link.address, &self.store, service, "ready", stage);
        self.places.borrow_mut().push(Place {
            engine,
            link,
            service,
            stage,
            left: false,
            wrote: Some("ready"),
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
    pub async fn begin(&self, kind: Kind) {
        match kind {
            Kind::Process(number, process) => self.signal(number, begin_signal(process)),
            Kind::KillAll => {
                for number in 0..self.instances.len() {
                    self.signal(number, Signal::KILL);
                }
            }
            Kind::Callers(number, link) => self.instances[number].callers.set(link),
            Kind::StoreLink(number, link) => self.instances[number].store.set(link),
            Kind::Store(fault) => self.store.fault(store_fault(fault)),
            Kind::Compact => TOPICS.iter().for_each(|topic| self.store.compact(topic)),
            Kind::EngineLink(number, link) => self.place(number, |place| place.link.set(link)),
            Kind::Engine(number, trouble) => {
                self.place(number, |p| p.engine.set_behaviour(act(trouble)));
            }
            Kind::Leave(number) => self.leave(number).await,
            Kind::Crash(number) => self.crash(number).await,
            Kind::Reborn(number) => self.reborn(number).await,
            Kind::Foreign(number) => self.write_foreign(number),
            Kind::Fatal => self.is_fatal.set(true),
            Kind::Limit(number, taken) => self.limit(number, taken),
            Kind::Configure => self.configure(),
            Kind::GoesBack => drop(self.copy.replace(Some(self.store.backup()))),
            Kind::Cloud(fault) => self.cloud.fault(cloud_fault(fault)),
        }
    }

    /// Ends a fault that lasts.
    pub fn end(&self, kind: Kind) {
        match kind {
            Kind::Process(number, Process::Pause) => self.signal(number, Signal::CONT),
            Kind::Callers(number, _) => self.instances[number].callers.set(Link::Pass),
            Kind::StoreLink(number, _) => self.instances[number].store.set(Link::Pass),
            Kind::Store(_) => self.store.fault(store::Fault::None),
            Kind::EngineLink(number, _) => self.place(number, |place| {
                if !place.left {
                    place.link.set(Link::Pass);
                }
            }),
            Kind::Engine(number, _) => {
                self.place(number, |place| place.engine.set_behaviour(Behaviour::Run));
            }
            Kind::Leave(number) => self.unregister(number),
            Kind::Crash(number) => self.unregister(number),
            Kind::Foreign(number) => self.write_own(number),
            Kind::Fatal => self.is_fatal.set(false),
            Kind::Limit(number, _) => self.lift_limit(number),
            Kind::GoesBack => self.go_back(),
            Kind::Cloud(_) => self.cloud.fault(cloud::Fault::None),
            Kind::Reborn(_)
            | Kind::Process(..)
            | Kind::KillAll
            | Kind::Compact
            | Kind::Configure => {}
        }
    }

    /// The store comes back from its copy. The operator writes at once again what it lacks, engines with their next heartbeats.
    fn go_back(&self) {
        if let Some(copy) = self.copy.take() {
            self.store.restore(copy);
            self.write_configuration();
            self.rewrite.set(Some(Instant::now() + HEARTBEAT));
        }
    }

    /// Lets engines write again what the store lacks, once that is due.
    pub fn rewrite_due(&self) {
        if self.rewrite.get().is_none_or(|at| at > Instant::now()) {
            return;
        }
        self.rewrite.set(None);
        let places = self.places.borrow();
        for place in places.iter().filter(|place| !place.is_replaced) {
            let Some(state) = place.wrote else {
                // Nothing renews what the copy has of it.
                self.store.put(ENGINES, &place.engine.id, None);
                continue;
            };
            let (address, service) = (place.link.address, place.service);
            place
                .engine
                .register_at(address, &self.store, service, state, place.stage);
        }
    }

    fn limit(&self, number: usize, taken: u32) {
        let from = self.begun.get().elapsed();
        self.place(number, |place| {
            place
                .engine
                .announce_limit(Some(&(f64::from(taken) / 10.0).to_string()));
            self.history.borrow_mut().limits.push(Limit {
                engine: place.engine.id.clone(),
                taken,
                from,
                until: Duration::MAX,
            });
        });
    }

    fn lift_limit(&self, number: usize) {
        let until = self.begun.get().elapsed();
        self.place(number, |place| {
            place.engine.announce_limit(None);
            let mut history = self.history.borrow_mut();
            let limits = history.limits.iter_mut();
            for limit in limits.filter(|limit| limit.engine == place.engine.id) {
                limit.until = limit.until.min(until);
            }
        });
    }

    fn signal(&self, number: usize, signal: Signal) {
        self.instances[number].gateway.borrow_mut().signal(signal);
    }

    fn place(&self, number: usize, change: impl FnOnce(&mut Place)) {
        change(&mut self.places.borrow_mut()[number]);
    }

    /// Marks an engine as left. Gives its service and stage, unless it had left before.
    fn mark_left(&self, number: usize) -> Option<(&'static str, Option<&'static str>)> {
        let place = &mut self.places.borrow_mut()[number];
        if std::mem::replace(&mut place.left, true) {
            return None;
        }
        Some((place.service, place.stage))
    }

    async fn leave(&self, number: usize) {
        if let Some((service, stage)) = self.mark_left(number) {
            self.add_engine(service, stage).await;
            self.place(number, |place| {
                let engine = &place.engine;
                engine.register_at(place.link.address, &self.store, service, "draining", stage);
                place.wrote = Some("draining");
            });
        }
    }

    async fn crash(&self, number: usize) {
        if let Some((service, stage)) = self.mark_left(number) {
            self.place(number, |place| place.link.set(Link::Reset));
            self.add_engine(service, stage).await;
        }
    }

    /// The engine ends and another start of it registers under its name, which is where the first one is told from
    /// it.
    async fn reborn(&self, number: usize) {
        let Some((service, stage)) = self.mark_left(number) else {
            return;
        };
        let id = self.places.borrow()[number].engine.id.clone();
        self.place(number, |place| {
            if !place.engine.has_stopped() {
                place.link.set(Link::Reset);
            }
        });
        // Its record is that of the new start from now on.
        self.places.borrow_mut()[number].is_replaced = true;
        // One that starts again has a later place than the start before.
        let born = self.places.borrow().len() as u64;
        let engine = Engine::start_with_timestamp(&id, born).await;
        self.add(engine, service, stage).await;
    }

    /// Starts engines in the place of those that a call has ended: one half under their names, the other under new ones.
    pub async fn replace_ended(&self) {
        let is_ended = |place: &Place| place.engine.has_stopped() && !place.left;
        let ended: Vec<usize> = {
            let places = self.places.borrow();
            let ended = places.iter().enumerate();
            let ended = ended.filter(|(_, place)| is_ended(place));
            ended.map(|(number, _)| number).collect()
        };
        for number in ended {
            let at = self.begun.get().elapsed();
            self.history.borrow_mut().ends.push(at);
            self.place(number, |place| place.link.set(Link::Refuse));
            if number.is_multiple_of(2) {
                self.reborn(number).await;
            } else if let Some((service, stage)) = self.mark_left(number) {
                self.add_engine(service, stage).await;
                let lapse = (Instant::now() + LAPSE, number);
                self.lapses.borrow_mut().push(lapse);
            }
        }
        let now = Instant::now();
        let (due, rest) = {
            let lapses = self.lapses.take();
            lapses.into_iter().partition(|(at, _)| *at <= now)
        };
        let due: Vec<(Instant, usize)> = due;
        self.lapses.replace(rest);
        for (_, number) in due {
            self.unregister(number);
        }
    }

    /// Writes what no engine writes, in a place of its own and over an engine's record.
    fn write_foreign(&self, number: usize) {
        let entry = json!({ "service": "app", "address": [10, 0, 0, 1], "state": "resting" });
        self.store.put(ENGINES, "foreign", Some(&entry));
        self.place(number, |place| {
            if !place.left {
                self.store.put(ENGINES, &place.engine.id, Some(&entry));
            }
        });
    }

    /// An engine writes its record again, as it does with each heartbeat.
    fn write_own(&self, number: usize) {
        self.place(number, |place| {
            if !place.left {
                let address = place.link.address;
                place
                    .engine
                    .register_at(address, &self.store, place.service, "ready", place.stage);
            }
        });
    }

    fn unregister(&self, number: usize) {
        self.place(number, |place| {
            place.wrote = None;
            self.store.put(ENGINES, &place.engine.id, None);
        });
    }

    /// Lets engines do what they were ordered last.
    fn carry_out_orders(&self) {
        for place in self
            .places
            .borrow_mut()
            .iter_mut()
            .filter(|place| !place.left)
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
    pub fn restart(&self) -> io::Result<()> {
        self.carry_out_orders();
        for (number, instance) in self.instances.iter().enumerate() {
            let mut gateway = instance.gateway.borrow_mut();
            match gateway.has_ended() {
                Ok(false) => continue,
                Ok(true) => {}
                Err(status) => {
                    let exit = format!("gateway-{number} ended by itself: {status}");
                    self.history.borrow_mut().exits.push(exit);
                }
            }
            gateway.start()?;
        }
        Ok(())
    }

    /// Takes what the engines and the platform saw into the history.
    pub fn collect(&self) {
        let mut history = self.history.borrow_mut();
        history.duties = self.cloud.calls("/usage");
        for place in self.places.borrow().iter() {
            let id = &place.engine.id;
            let orders = place.engine.orders();
            history
                .orders
                .extend(orders.into_iter().map(|order| (id.clone(), order)));
            let got = place.engine.received();
            history.runs.extend(got.into_iter().map(|got| Run {
                engine: id.clone(),
                service: place.service,
                at: got.at.saturating_duration_since(self.begun.get()),
                ran: got.ran,
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

fn cloud_fault(fault: plan::Cloud) -> cloud::Fault {
    match fault {
        plan::Cloud::Silent => cloud::Fault::Silent,
        plan::Cloud::Busy => cloud::Fault::Busy,
    }
}

fn begin_signal(process: Process) -> Signal {
    match process {
        Process::Pause => Signal::STOP,
        Process::Kill => Signal::KILL,
        Process::Stop => Signal::TERM,
        Process::Reload => Signal::HUP,
    }
}

fn store_fault(fault: plan::Store) -> store::Fault {
    match fault {
        plan::Store::Silent => store::Fault::Silent,
        plan::Store::Busy => store::Fault::Busy,
        plan::Store::Reset => store::Fault::Reset,
    }
}

fn act(trouble: plan::Engine) -> Behaviour {
    match trouble {
        plan::Engine::Full => Behaviour::Full,
        plan::Engine::LosesAnswers => Behaviour::CloseUnanswered,
        plan::Engine::Cuts => Behaviour::CutAfter(2),
        plan::Engine::Crosses => Behaviour::AnswerOther,
        plan::Engine::Fails => Behaviour::Fail(500),
        plan::Engine::Hangs => Behaviour::Hang,
    }
}
