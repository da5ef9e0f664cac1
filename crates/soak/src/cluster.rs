//! The processes, links and stand-ins of a run, and the injection of faults into them.

mod engines;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::Ipv4Addr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use platform_standin::cloud::{self, Cloud};
use platform_standin::configuration::{Duties, Route, configuration};
use platform_standin::engine::{Behaviour, BodyFraming};
use platform_standin::raw::RawAnswer;
use platform_standin::{Cut, Engine, Store, store};
use rustix::process::Signal;
use serde_json::json;
use tokio::time::Instant;

use crate::gateway::{Gateway, PortAllocator};
use crate::history::{EngineRequest, History};
use crate::plan::{self, FaultKind, LinkState, Plan, ProcessAction, UPGRADED};
use crate::proxy::Proxy;

/// An engine stand-in and the proxy in front of it.
#[derive(Debug)]
struct EngineNode {
    engine: Engine,
    link: Proxy,
    service: &'static str,
    stage: Option<&'static str>,
    /// Version of its software.
    software: &'static str,
    /// Whether it drains or has exited.
    has_left: bool,
    /// State in its newest record; `None` once the record has been removed.
    recorded_state: Option<&'static str>,
    /// Whether it was restarted under its name as another entry.
    is_replaced: bool,
}

/// A gateway process and the proxies on both sides of it.
#[derive(Debug)]
pub struct Instance {
    /// The process.
    pub gateway: RefCell<Gateway>,
    /// Proxy between callers and the gateway.
    pub callers: Proxy,
    store: Proxy,
}

/// All processes and stand-ins of a run.
#[derive(Debug)]
pub struct Cluster {
    store: Store,
    cloud: Cloud,
    /// Newest backup of the store.
    backup: RefCell<Option<store::Backup>>,
    /// When engines write records again that the backup lacked.
    register_again_at: Cell<Option<Instant>>,
    /// The gateways.
    pub instances: Vec<Instance>,
    engines: RefCell<Vec<EngineNode>>,
    /// Gateways that reach no engine.
    isolated: RefCell<Vec<(usize, Cut)>>,
    /// Engines that ended together.
    ended_together: RefCell<Vec<usize>>,
    /// Engines that a rollback replaces.
    rolled_back: RefCell<Vec<usize>>,
    version: RefCell<u64>,
    /// How engines frame the bodies of their answers.
    framing: Cell<BodyFraming>,
    /// Whether a caller sends the call that crashes engines.
    pub sends_fatal: Cell<bool>,
    /// Whether callers send prompts with the part that crashes engines, and sound ones beside them.
    pub sends_fatal_part: Cell<bool>,
    /// Whether callers send streams that may be resumed, and nothing else.
    pub sends_streams: Cell<bool>,
    /// When the callers started.
    pub callers_started: Cell<Instant>,
    /// Engines that crashed, with the time at which their records expire.
    expiring_records: RefCell<Vec<(Instant, usize)>>,
    /// Observations so far.
    pub history: RefCell<History>,
}

/// Software version of engines at the start.
const INITIAL_SOFTWARE: &str = "v1";
/// Path of the call that crashes engines.
pub const FATAL_PATH: &str = "/stream/fatal";
/// Part of prompts that crashes engines.
pub const FATAL_PART: &str = "fa7a1";
/// First part of the prompts of one caller, with the fatal part or without it.
pub const FIRST_PART: &str = "c0ffee";
/// Organisations of the callers.
pub const ORGANISATIONS: [&str; 2] = ["org-a", "org-b"];
/// Length of a window for usage reports, and time after its end when the report is due.
const USAGE_WINDOW_MS: u32 = 1_000;
const USAGE_REPORT_DUE_MS: u32 = 8_000;
/// Time until an engine renews its record.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Topic with the records of engines.
const ENGINE_TOPIC: &str = "keyed.servers";
/// Topics to compact.
const COMPACTED_TOPICS: [&str; 2] = [ENGINE_TOPIC, "keyed.op"];

impl Cluster {
    /// Starts all processes and stand-ins.
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
        for number in 0..u8::try_from(plan.gateways).map_err(io::Error::other)? {
            let link = Proxy::start(store.address).await;
            let gateway = Gateway::new(program, directory, number, link.address, duties, ports)?;
            let callers = Proxy::start(gateway.front).await;
            instances.push(Instance {
                gateway: RefCell::new(gateway),
                callers,
                store: link,
            });
        }
        let cluster = Self {
            store,
            cloud,
            backup: RefCell::default(),
            register_again_at: Cell::new(None),
            instances,
            engines: RefCell::default(),
            isolated: RefCell::default(),
            ended_together: RefCell::default(),
            rolled_back: RefCell::default(),
            version: RefCell::new(0),
            framing: Cell::default(),
            sends_fatal: Cell::new(false),
            sends_fatal_part: Cell::new(false),
            sends_streams: Cell::new(false),
            callers_started: Cell::new(Instant::now()),
            expiring_records: RefCell::default(),
            history: RefCell::default(),
        };
        for _ in 0..plan.services {
            cluster.add_engine("app", None, INITIAL_SOFTWARE).await;
        }
        for number in 0..plan.engines {
            // A third of them do prefill, as in the users' deployments.
            let stage = if number % 3 == 1 { "prefill" } else { "decode" };
            let stage = Some(stage);
            cluster.add_engine("pool", stage, INITIAL_SOFTWARE).await;
        }
        cluster.configure();
        for instance in &cluster.instances {
            instance.gateway.borrow_mut().start()?;
        }
        Ok(Rc::new(cluster))
    }

    /// Newest version of the configuration.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    fn set_framing(&self, framing: BodyFraming) {
        self.framing.set(framing);
        for node in self.engines.borrow().iter() {
            node.engine.set_framing(framing);
        }
    }

    /// Cuts the paths from isolated gateways to an engine.
    fn cut_off(&self, engine: &Proxy) {
        let isolated = self.isolated.borrow();
        let sources: Vec<Ipv4Addr> = isolated
            .iter()
            .map(|(number, _)| self.instances[*number].gateway.borrow().ip)
            .collect();
        let cut = isolated.first().map_or(Cut::Silent, |(_, cut)| *cut);
        engine.cut_off(&sources, cut);
    }

    fn change_isolation(&self, change: impl FnOnce(&mut Vec<(usize, Cut)>)) {
        change(&mut self.isolated.borrow_mut());
        for node in self.engines.borrow().iter() {
            self.cut_off(&node.link);
        }
    }

    /// Writes a configuration with an additional route.
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
            FaultKind::Callers(number, link) => self.instances[number].callers.set(link),
            FaultKind::StoreLink(number, link) => self.instances[number].store.set(link),
            FaultKind::Store(fault) => self.store.fault(store_fault(fault)),
            FaultKind::Compact => COMPACTED_TOPICS
                .iter()
                .for_each(|topic| self.store.compact(topic)),
            FaultKind::EngineLink(number, link) => self.with_engine(number, |e| e.link.set(link)),
            FaultKind::Engine(number, failure) => {
                self.with_engine(number, |e| e.engine.set_behaviour(behaviour(failure)));
            }
            FaultKind::Leave(number) => self.drain_engine(number, None).await,
            FaultKind::Upgrade(number) => self.drain_engine(number, Some(UPGRADED)).await,
            FaultKind::Crash(number) => self.crash_engine(number).await,
            FaultKind::Reborn(number) => self.restart_engine(number).await,
            FaultKind::Foreign(number) => self.write_foreign_records(number),
            FaultKind::Fatal => self.sends_fatal.set(true),
            FaultKind::FatalPart => self.sends_fatal_part.set(true),
            FaultKind::Streams => self.sends_streams.set(true),
            FaultKind::Limit(number, rate) => self.announce_rate_limit(number, rate),
            FaultKind::Pause(number) => self.ask_for_pauses(number),
            FaultKind::Configure => self.configure(),
            FaultKind::GoesBack => drop(self.backup.replace(Some(self.store.backup()))),
            FaultKind::Cloud(fault) => self.cloud.fault(cloud_fault(fault)),
            FaultKind::Unframed => self.set_framing(BodyFraming::UntilClose),
            FaultKind::Isolation(number, cut) => {
                self.change_isolation(|isolated| isolated.push((number, cut)));
            }
            FaultKind::EndTogether => self.end_together().await,
            FaultKind::Rollback => self.roll_back().await,
        }
    }

    /// Ends a fault, if its kind has an end.
    pub fn end_fault(&self, kind: FaultKind) {
        match kind {
            FaultKind::Process(number, ProcessAction::Pause) => self.signal(number, Signal::CONT),
            FaultKind::Callers(number, _) => self.instances[number].callers.set(LinkState::Pass),
            FaultKind::StoreLink(number, _) => self.instances[number].store.set(LinkState::Pass),
            FaultKind::Store(_) => self.store.fault(store::Fault::None),
            FaultKind::EngineLink(number, _) => self.with_engine(number, |node| {
                if !node.has_left {
                    node.link.set(LinkState::Pass);
                }
            }),
            FaultKind::Engine(number, _) => {
                self.with_engine(number, |node| node.engine.set_behaviour(Behaviour::Run));
            }
            FaultKind::Leave(number) | FaultKind::Upgrade(number) => self.unregister(number),
            FaultKind::Crash(number) => self.unregister(number),
            FaultKind::Foreign(number) => self.write_engine_record(number),
            FaultKind::Fatal => self.sends_fatal.set(false),
            FaultKind::FatalPart => self.sends_fatal_part.set(false),
            FaultKind::Streams => self.sends_streams.set(false),
            FaultKind::Limit(number, _) => self.withdraw_rate_limit(number),
            FaultKind::Pause(number) => self.end_pauses(number),
            FaultKind::GoesBack => self.restore_store(),
            FaultKind::Cloud(_) => self.cloud.fault(cloud::Fault::None),
            FaultKind::Unframed => self.set_framing(BodyFraming::Delimited),
            FaultKind::Isolation(number, _) => {
                self.change_isolation(|isolated| isolated.retain(|(other, _)| *other != number));
            }
            FaultKind::EndTogether => {
                for number in self.ended_together.take() {
                    self.unregister(number);
                }
            }
            FaultKind::Rollback => {
                for number in self.rolled_back.take() {
                    self.unregister(number);
                }
            }
            FaultKind::Reborn(_)
            | FaultKind::Process(..)
            | FaultKind::KillAll
            | FaultKind::Compact
            | FaultKind::Configure => {}
        }
    }

    /// Restores the store from its backup. The operator writes what it lacks at once, engines with
    /// their next heartbeats.
    fn restore_store(&self) {
        if let Some(copy) = self.backup.take() {
            self.store.restore(copy);
            self.write_configuration();
            self.register_again_at.set(Some(Instant::now() + HEARTBEAT));
        }
    }

    /// Makes engines write records again that the restored store lacks, once that is due.
    pub fn register_again_if_due(&self) {
        if self
            .register_again_at
            .get()
            .is_none_or(|at| at > Instant::now())
        {
            return;
        }
        self.register_again_at.set(None);
        let nodes = self.engines.borrow();
        for node in nodes.iter().filter(|node| !node.is_replaced) {
            let Some(state) = node.recorded_state else {
                // Nobody renews its record in the backup.
                self.store.put(ENGINE_TOPIC, &node.engine.id, None);
                continue;
            };
            let (address, service) = (node.link.address, node.service);
            node.engine
                .register_at(address, &self.store, service, state, node.stage);
        }
    }

    fn signal(&self, number: usize, signal: Signal) {
        self.instances[number].gateway.borrow_mut().signal(signal);
    }

    /// Makes engines follow their orders, restarts processes that have exited, and records
    /// unexpected exits.
    ///
    /// # Errors
    ///
    /// If a process cannot be started.
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

    /// Adds the requests that engines and the platform received to the history.
    pub fn collect_history(&self) {
        let mut history = self.history.borrow_mut();
        history.usage_reports = self.cloud.calls("/usage");
        for node in self.engines.borrow().iter() {
            let id = &node.engine.id;
            let orders = node.engine.orders();
            history
                .orders
                .extend(orders.into_iter().map(|order| (id.clone(), order)));
            let received = node.engine.received();
            history
                .engine_requests
                .extend(received.into_iter().map(|request| {
                    EngineRequest {
                        engine: id.clone(),
                        service: node.service,
                        received_at: request
                            .at
                            .saturating_duration_since(self.callers_started.get()),
                        executed: request.ran,
                        forged: request.has_forged_header() || request.header("key").is_some(),
                        organisation: request.header("tenant-id").unwrap_or_default().to_owned(),
                        id: request.id,
                    }
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

/// The API key of an organisation.
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

fn behaviour(failure: plan::EngineFailure) -> Behaviour {
    match failure {
        plan::EngineFailure::Full => Behaviour::Full,
        plan::EngineFailure::LosesAnswers => Behaviour::CloseUnanswered,
        plan::EngineFailure::Cuts => Behaviour::CutAfter(2),
        plan::EngineFailure::CutsAtByte(bytes, ending) => Behaviour::CutAtByte(bytes, ending),
        plan::EngineFailure::AnswersTwice(pause) => Behaviour::AnswerTwice(pause),
        plan::EngineFailure::Crosses => Behaviour::AnswerOther,
        plan::EngineFailure::Fails => Behaviour::Fail(500),
        plan::EngineFailure::Hangs => Behaviour::Hang,
        plan::EngineFailure::EndsWithinHead(bytes) => Behaviour::Raw(RawAnswer::cut_head(bytes)),
    }
}
