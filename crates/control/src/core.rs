//! The control's one task: takes messages in one by one and carries out what the pure crates want.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use authority::author::Author;
use authority::nonce;
use claims::{Holder, LogStatus};
use clock::{Clock as _, Moment, System as Clock};
use error_stack::Report;
use platform::{Instances, Log, Tail};
use rand::RngExt as _;
use smallvec::SmallVec;
use tokio::sync::{mpsc, oneshot, watch};
use wire::peer::Confirm;
use wire::record;

use crate::Offset;
use crate::appends::{Appends, Ended, Source};
use crate::calls::Calls;
use crate::census::Census;
use crate::edits::Edits;
use crate::engines::{Answer, Engines};
use crate::handle::Shared;
use crate::keeper::Keeper;
use crate::ledger::Ledger;
use crate::mesh::Mesh;
use crate::message::{Message, Sender, send};
use crate::options::Options;
use crate::publisher::{Frames, Parts, Publisher};
use crate::reports::Reports;
use crate::roles::Roles;
use crate::scopes::{Around, Scopes};
use crate::told::Told;
use crate::view;

mod ask;
mod hands;
mod peers;
mod records;
mod show;
mod tick;

/// Time between two looks at everything that time alone moves.
const TICK: Duration = Duration::from_millis(100);

/// Messages that are taken in before the rest of the work gets its turn.
const BATCH: usize = 256;

/// What connects a control with its handles.
pub(crate) struct Wiring {
    pub(crate) sender: Sender,
    pub(crate) shared: Arc<Shared>,
    pub(crate) view: watch::Sender<Arc<view::View>>,
    pub(crate) clock: Clock,
}

/// The reader of the log as seen from here.
struct Reader {
    started: Moment,
    /// When the log last answered a read.
    heard: Option<Moment>,
    /// Whether the newest read failed.
    failing: bool,
    /// What the claims were told of it.
    reach: LogStatus,
}

/// What stands in the way of serving or of control, besides what follows from the parts.
#[derive(Default)]
struct Flags {
    /// A whole state was folded, or taken from a peer, since the start.
    caught_up: bool,
    /// When this process noticed that it had been paused.
    paused_at: Option<Moment>,
    superseded: bool,
    leaving_since: Option<Moment>,
    left: bool,
    aborted: bool,
    /// A read without a wait is under way.
    looking: bool,
    /// The view must be published without waiting for the tick.
    urgent: bool,
}

/// A stop that was asked for.
struct Stop {
    until: Moment,
    reply: oneshot::Sender<()>,
}

/// All state of the control.
pub(crate) struct Core {
    options: Options,
    clock: Clock,
    started: Moment,
    sender: Sender,
    shared: Arc<Shared>,
    publisher: Publisher,
    ledger: Ledger,
    census: Census,
    scopes: Scopes,
    calls: Calls,
    edits: Edits,
    keeper: Keeper,
    frames: Frames,
    reports: Reports,
    roles: Roles,
    planned: Moment,
    appends: Appends,
    engines: Engines,
    mesh: Mesh,
    nonces: nonce::NonceSource,
    reader: Reader,
    flags: Flags,
    next_tick: Moment,
    told: Told,
    confirms: (Moment, Vec<Confirm>),
    state_asked: Option<Moment>,
    stop: Option<Stop>,
}

impl Core {
    /// Opens what has to be opened. Nothing is read yet.
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
        let me = Author {
            instance: options.local.id.clone(),
            incarnation: options.local.incarnation,
        };
        let mesh = Mesh::start(author.clone(), options.mesh.as_ref(), sender.clone())?;
        let rules = catalogue::Rules::default().newest();
        let log = Log::new(&options.log);
        let seed: Box<dyn FnMut() -> u64> = Box::new(|| rand::rng().random());
        let current = Rc::new(move || clock.now());
        Ok(Self {
            started: now,
            publisher: Publisher::new(view),
            ledger: Ledger::default(),
            census: Census::new(now, &options),
            scopes: Scopes::new(me, options.term, options.change_timing, seed),
            calls: Calls::new(Holder::from(&author), rand::rng().random(), options.claims),
            edits: Edits::default(),
            keeper: Keeper::new(now, options.retention, &options.local.id),
            frames: Frames::default(),
            reports: Reports::new(options.report_period),
            roles: Roles::default(),
            planned: now,
            appends: Appends::new(log, author, rules, sender.clone()),
            engines: Engines::new(
                options.change_timing.request_timeout,
                current,
                sender.clone(),
            ),
            mesh,
            nonces: nonce::NonceSource::new(rand::rng().random()),
            reader: Reader {
                started: now,
                heard: None,
                failing: false,
                reach: LogStatus::Down,
            },
            flags: Flags::default(),
            next_tick: now,
            told: Told::default(),
            confirms: (now, Vec::new()),
            state_asked: None,
            stop: None,
            options,
            clock,
            sender,
            shared,
        })
    }

    /// Runs until it is stopped.
    pub(crate) async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let poll = Instances::new(&self.options.instances).poll(self.options.list_period, jitter());
        actix_rt::spawn(forward(poll.listing(), self.sender.clone()));
        let mut tail = self.follow(1);
        while !self.is_done() {
            let wait = self.wait();
            tokio::select! {
                message = receiver.recv() => {
                    let Some(message) = message else { break };
                    self.take(message);
                }
                event = tail.next() => {
                    if let Some(from) = event.and_then(|event| self.log_event(event)) {
                        tail = self.follow(from);
                    }
                }
                () = actix_rt::time::sleep(wait) => (),
            }
            for _ in 0..BATCH {
                let Ok(message) = receiver.try_recv() else {
                    break;
                };
                self.take(message);
            }
            self.settle();
        }
        if self.flags.aborted {
            return;
        }
        self.mesh.close().await;
        if let Some(stop) = self.stop {
            let _gone = stop.reply.send(());
        }
    }

    fn follow(&self, from: Offset) -> Tail {
        let clock = self.clock;
        Tail::spawn(
            self.appends.log().clone(),
            from,
            self.options.log_poll_wait,
            jitter(),
            Box::new(move || clock.now()),
        )
    }

    fn wait(&self) -> Duration {
        let wake = self.calls.next_wake().unwrap_or(Moment::MAX);
        wake.min(self.next_tick).saturating_sub(self.clock.now())
    }

    fn take(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Listing(listing) => self.listing(now, &listing),
            Message::Peer(event) => self.peer(now, event),
            Message::Appended(ended) => self.appended(now, &ended),
            Message::Engine(answer) => self.engine(now, answer),
            Message::Looked { asked, next } => self.looked(now, asked, next),
            Message::State(snapshot) => self.offered(now, snapshot),
            Message::Run(job) => job(self),
        }
    }

    fn settle(&mut self) {
        let now = self.clock.now();
        if now >= self.next_tick {
            self.next_tick = now + TICK;
            self.tick(now);
        }
        if self.calls.next_wake().is_some_and(|wake| wake <= now) {
            self.calls.tick(now, &self.appends);
        }
        if std::mem::take(&mut self.flags.urgent) {
            self.publish(now);
        }
    }

    fn publish(&mut self, now: Moment) {
        let parts = Parts {
            now,
            ledger: &self.ledger,
            census: &self.census,
            frames: &self.frames,
            health: &self.options.health,
            log: self.log_state(now),
            reasons: self.reasons(now),
        };
        let sequence = self.publisher.publish(&parts);
        self.census.published(sequence);
        self.confirm(now);
    }

    fn listing(&mut self, now: Moment, listing: &platform::Listing) {
        let (members, upstreams) = self.census.read_list(now, listing);
        self.mesh.follow(&self.census.list);
        self.member_outputs(now, members);
        self.probe(&upstreams);
        self.flags.urgent = true;
    }

    fn appended(&mut self, now: Moment, ended: &Ended) {
        match &ended.source {
            Source::Lease(scope) => {
                let scope = scope.clone();
                let (scopes, around) = self.split(now);
                scopes.appended(&around, &scope, ended);
            }
            Source::Calls => self.calls.appended(now, ended, &self.appends),
            Source::Edit => self.edits.appended(ended),
            Source::Planner | Source::Snapshot => (),
        }
    }

    fn engine(&mut self, now: Moment, answer: Answer) {
        use authority::planner::Input;
        match answer {
            Answer::Change {
                scope,
                order,
                input,
            } => {
                let (scopes, around) = self.split(now);
                scopes.plan(&around, &scope, Input::Change(order, input));
            }
            Answer::Checked {
                scope,
                upstream,
                settled,
                reading,
            } => {
                let (scopes, around) = self.split(now);
                let input = Input::Checked {
                    upstream,
                    settled,
                    reading,
                };
                scopes.plan(&around, &scope, input);
            }
            Answer::Probed {
                upstream,
                observation,
            } => self.census.probed(now, &upstream, observation),
            Answer::Reported { upstream, report } => {
                self.reports.answered(&upstream);
                if let Some(report) = report {
                    self.census.reported(now, &upstream, report);
                }
            }
        }
    }

    /// The scopes, and all that they look at.
    fn split(&mut self, now: Moment) -> (&mut Scopes, Around<'_>) {
        let around = Around {
            now,
            state: self.ledger.authority(),
            census: &self.census,
            appends: &self.appends,
            engines: &self.engines,
        };
        (&mut self.scopes, around)
    }

    fn reasons(&self, now: Moment) -> SmallVec<[view::Reason; 2]> {
        use view::Reason;
        let flags = &self.flags;
        let empty = !flags.caught_up || self.ledger.catalogue().revision() == 0;
        let unknown = !self.mesh.is_alone() && !self.census.members.may_serve(now);
        let all = [
            (empty, Reason::NoCatalogue),
            (self.census.list.read_at().is_none(), Reason::NoInstances),
            (unknown, Reason::Unknown),
            (flags.paused_at.is_some(), Reason::Paused),
            (flags.superseded, Reason::Superseded),
            (flags.leaving_since.is_some(), Reason::Leaving),
            (
                self.ledger.catalogue().frozen().is_some(),
                Reason::FrozenRules,
            ),
            (self.ledger.has_gap(), Reason::Gap),
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
