//! The task of the control: handles messages one by one and carries out the outputs of the state
//! machines.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use authority::author::Author;
use authority::nonce;
use claims::{Holder, LogStatus};
use clock::{Clock as _, Moment, System as Clock};
use error_stack::Report;
use platform::{InstanceListClient, LogClient, Tail};
use rand::RngExt as _;
use smallvec::SmallVec;
use tokio::sync::{mpsc, oneshot, watch};
use wire::peer::Confirm;
use wire::record;

use crate::Offset;
use crate::appends::{Appends, CompletedAppend, Source};
use crate::broadcasts::LastBroadcasts;
use crate::calls::Calls;
use crate::edits::PendingEdits;
use crate::engines::{EngineReply, Engines};
use crate::fleet_state::FleetState;
use crate::handle::Shared;
use crate::mesh::Mesh;
use crate::message::{Message, Sender, send};
use crate::options::Options;
use crate::publisher::{PeerFrames, Publisher, ViewInputs};
use crate::replica::Replica;
use crate::report_schedule::ReportSchedule;
use crate::roles::RolePlanners;
use crate::scopes::{Context, Scopes};
use crate::snapshot_schedule::SnapshotSchedule;
use crate::view;

mod handover;
mod peers;
mod records;
mod requests;
mod status;
mod tick;

/// Interval between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of messages handled before other due work runs.
const MESSAGE_BATCH: usize = 256;

/// Connects a control with its handles.
pub(crate) struct Wiring {
    pub(crate) sender: Sender,
    pub(crate) shared: Arc<Shared>,
    pub(crate) view: watch::Sender<Arc<view::View>>,
    pub(crate) clock: Clock,
}

/// State of the log reader.
struct ReaderState {
    started: Moment,
    /// When the log last answered a read.
    last_answer: Option<Moment>,
    /// Whether the newest read failed.
    failing: bool,
    /// The status that was last passed to the claims.
    claims_status: LogStatus,
}

/// State that affects serving or control and is not part of a component.
#[derive(Default)]
struct Flags {
    /// The log was folded to its end, or the state taken from a peer, since the start.
    caught_up: bool,
    /// When this process noticed that it had been paused.
    paused_at: Option<Moment>,
    superseded: bool,
    leaving_since: Option<Moment>,
    scopes_released: bool,
    aborted: bool,
    /// A read without a long poll is under way.
    probing_log: bool,
    /// Publish the view without waiting for the next tick.
    publish_now: bool,
}

/// A requested stop.
struct Stop {
    deadline: Moment,
    reply: oneshot::Sender<()>,
}

/// State of the control.
pub(crate) struct Core {
    options: Options,
    clock: Clock,
    started: Moment,
    sender: Sender,
    shared: Arc<Shared>,
    publisher: Publisher,
    replica: Replica,
    fleet: FleetState,
    scopes: Scopes,
    calls: Calls,
    edits: PendingEdits,
    snapshots: SnapshotSchedule,
    peer_frames: PeerFrames,
    report_schedule: ReportSchedule,
    role_planners: RolePlanners,
    roles_planned_at: Moment,
    appends: Appends,
    engines: Engines,
    mesh: Mesh,
    nonces: nonce::NonceSource,
    reader: ReaderState,
    flags: Flags,
    next_tick: Moment,
    broadcasts: LastBroadcasts,
    last_confirms: (Moment, Vec<Confirm>),
    state_queried_at: Option<Moment>,
    stop: Option<Stop>,
}

impl Core {
    /// Starts the mesh and creates the initial state. Nothing is read yet.
    pub(crate) fn start(options: Options, wiring: Wiring) -> Result<Self, Report<peer::Error>> {
        let Wiring {
            sender,
            shared,
            view,
            clock,
        } = wiring;
        let now = clock.now();
        let author = record::Author {
            instance: options.local.id.clone(),
            incarnation: options.local.incarnation,
        };
        let local = Author {
            instance: options.local.id.clone(),
            incarnation: options.local.incarnation,
        };
        let mesh = Mesh::start(author.clone(), options.mesh.as_ref(), sender.clone())?;
        let rules = catalogue::Rules::default().newest();
        let log = LogClient::new(&options.log);
        let seed: Box<dyn FnMut() -> u64> = Box::new(|| rand::rng().random());
        let current = Rc::new(move || clock.now());
        Ok(Self {
            started: now,
            publisher: Publisher::new(view),
            replica: Replica::default(),
            fleet: FleetState::new(now, &options),
            scopes: Scopes::new(local, options.term, options.change_timing, seed),
            calls: Calls::new(Holder::from(&author), rand::rng().random(), options.claims),
            edits: PendingEdits::default(),
            snapshots: SnapshotSchedule::new(now, options.retention, &options.local.id),
            peer_frames: PeerFrames::default(),
            report_schedule: ReportSchedule::new(options.report_period),
            role_planners: RolePlanners::default(),
            roles_planned_at: now,
            appends: Appends::new(log, author, rules, sender.clone()),
            engines: Engines::new(
                options.change_timing.request_timeout,
                current,
                sender.clone(),
            ),
            mesh,
            nonces: nonce::NonceSource::new(rand::rng().random()),
            reader: ReaderState {
                started: now,
                last_answer: None,
                failing: false,
                claims_status: LogStatus::Down,
            },
            flags: Flags::default(),
            next_tick: now,
            broadcasts: LastBroadcasts::default(),
            last_confirms: (now, Vec::new()),
            state_queried_at: None,
            stop: None,
            options,
            clock,
            sender,
            shared,
        })
    }

    /// Runs until stopped or aborted.
    pub(crate) async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let poll = InstanceListClient::new(&self.options.instances)
            .poll(self.options.list_period, jitter());
        actix_rt::spawn(forward(poll.listing(), self.sender.clone()));
        let mut tail = self.tail_log(1);
        while !self.is_done() {
            let wait = self.time_to_wake();
            tokio::select! {
                message = receiver.recv() => {
                    let Some(message) = message else { break };
                    self.handle(message);
                }
                event = tail.next() => {
                    if let Some(from) = event.and_then(|event| self.handle_log_event(event)) {
                        tail = self.tail_log(from);
                    }
                }
                () = actix_rt::time::sleep(wait) => (),
            }
            for _ in 0..MESSAGE_BATCH {
                let Ok(message) = receiver.try_recv() else {
                    break;
                };
                self.handle(message);
            }
            self.run_due_work();
        }
        if self.flags.aborted {
            return;
        }
        self.mesh.close().await;
        if let Some(stop) = self.stop {
            let _gone = stop.reply.send(());
        }
    }

    fn tail_log(&self, from: Offset) -> Tail {
        let clock = self.clock;
        Tail::spawn(
            self.appends.log().clone(),
            from,
            self.options.log_poll_wait,
            jitter(),
            Box::new(move || clock.now()),
        )
    }

    fn time_to_wake(&self) -> Duration {
        let wake = self.calls.next_wake().unwrap_or(Moment::MAX);
        wake.min(self.next_tick).saturating_sub(self.clock.now())
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Listing(listing) => self.handle_listing(now, &listing),
            Message::Peer(event) => self.handle_peer_event(now, event),
            Message::Appended(append) => self.handle_appended(now, &append),
            Message::Engine(reply) => self.handle_engine(now, reply),
            Message::LogProbed { sent_at, next } => self.log_probed(now, sent_at, next),
            Message::PeerState(snapshot) => self.handle_peer_state(now, snapshot),
            Message::Run(job) => job(self),
        }
    }

    fn run_due_work(&mut self) {
        let now = self.clock.now();
        if now >= self.next_tick {
            self.next_tick = now + TICK_INTERVAL;
            self.tick(now);
        }
        if self.calls.next_wake().is_some_and(|wake| wake <= now) {
            self.calls.tick(now, &self.appends);
        }
        if std::mem::take(&mut self.flags.publish_now) {
            self.publish(now);
        }
    }

    fn publish(&mut self, now: Moment) {
        let parts = ViewInputs {
            now,
            replica: &self.replica,
            fleet: &self.fleet,
            frames: &self.peer_frames,
            health: &self.options.health,
            log: self.log_state(now),
            reasons: self.reasons(now),
        };
        let sequence = self.publisher.publish(&parts);
        self.fleet.record_published(sequence);
        self.broadcast_confirms(now);
    }

    fn handle_listing(&mut self, now: Moment, listing: &platform::Listing) {
        let (members, upstreams) = self.fleet.read_list(now, listing);
        self.mesh.set_members(&self.fleet.list);
        self.member_outputs(now, members);
        self.probe(&upstreams);
        self.flags.publish_now = true;
    }

    fn handle_appended(&mut self, now: Moment, append: &CompletedAppend) {
        match &append.source {
            Source::Lease(scope) => {
                let scope = scope.clone();
                let (scopes, context) = self.scopes_and_context(now);
                scopes.appended(&context, &scope, append);
            }
            Source::Calls => self.calls.appended(now, append, &self.appends),
            Source::Edit => self.edits.appended(append),
            Source::Planner | Source::Snapshot => (),
        }
    }

    fn handle_engine(&mut self, now: Moment, reply: EngineReply) {
        use authority::planner::Input;
        match reply {
            EngineReply::Change {
                scope,
                order,
                input,
            } => {
                let (scopes, context) = self.scopes_and_context(now);
                scopes.step_planner(&context, &scope, Input::Change(order, input));
            }
            EngineReply::Checked {
                scope,
                upstream,
                settled,
                reading,
            } => {
                let (scopes, context) = self.scopes_and_context(now);
                let input = Input::Checked {
                    upstream,
                    settled,
                    reading,
                };
                scopes.step_planner(&context, &scope, input);
            }
            EngineReply::Probed {
                upstream,
                observation,
            } => self.fleet.record_probe(now, &upstream, observation),
            EngineReply::Reported { upstream, report } => {
                self.report_schedule.read_ended(&upstream);
                if let Some(report) = report {
                    self.fleet.record_report(now, &upstream, report);
                }
            }
        }
    }

    /// The scopes and the context for their steps.
    fn scopes_and_context(&mut self, now: Moment) -> (&mut Scopes, Context<'_>) {
        let context = Context {
            now,
            state: self.replica.authority(),
            fleet: &self.fleet,
            appends: &self.appends,
            engines: &self.engines,
        };
        (&mut self.scopes, context)
    }

    fn reasons(&self, now: Moment) -> SmallVec<[view::Reason; 2]> {
        use view::Reason;
        let flags = &self.flags;
        let empty = !flags.caught_up || self.replica.catalogue().revision() == 0;
        let unknown = !self.mesh.is_disabled() && !self.fleet.members.may_serve(now);
        let all = [
            (empty, Reason::NoCatalogue),
            (self.fleet.list.read_at().is_none(), Reason::NoInstances),
            (unknown, Reason::Unknown),
            (flags.paused_at.is_some(), Reason::Paused),
            (flags.superseded, Reason::Superseded),
            (flags.leaving_since.is_some(), Reason::Leaving),
            (
                self.replica.catalogue().frozen().is_some(),
                Reason::FrozenRules,
            ),
            (self.replica.has_gap(), Reason::Gap),
        ];
        let holding = all.into_iter().filter(|(holds, _)| *holds);
        holding.map(|(_, reason)| reason).collect()
    }
}

fn jitter() -> platform::Jitter {
    Box::new(|| rand::rng().random())
}

async fn forward(mut listing: watch::Receiver<Option<Arc<platform::Listing>>>, sender: Sender) {
    while listing.changed().await.is_ok() {
        let current = listing.borrow_and_update().clone();
        if let Some(listing) = current {
            send(&sender, Message::Listing(listing));
        }
    }
}
