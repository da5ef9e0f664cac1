//! One entry: the state machines of the crates without I/O, driven as in the daemon.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use authority::author::Author;
use authority::lease::term::TermConfig;
use authority::lease::{self, Lease, Term};
use authority::planner::{Bounds, Planner};
use claims::{Batcher, CallId, Holder};
use clock::Moment;
use fleet::member::{LocalMember, Progress};
use fleet::{Drain, Members, Upstreams, list};
use wire::record::record::Body;
use wire::record::{Record, Snapshot};

use crate::log::AppendOutcome;
use crate::{Line, Name, Offset};

mod control;
mod fold;
mod membership;

pub(crate) use control::EngineCall;

/// The scope that all processes contend for, and the pool of the engines.
pub(crate) const SCOPE: &str = "llm-pool";

/// The state machine that requested an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    Claims,
    Lease,
    Planner,
}

/// An append that has not been sent to the log yet.
#[derive(Debug)]
pub(crate) struct Append {
    pub(crate) source: Source,
    pub(crate) nonce: [u8; 16],
    pub(crate) record: Record,
}

/// A call that this process received.
#[derive(Clone, Debug)]
pub(crate) struct CallInfo {
    pub(crate) key: String,
    pub(crate) deadline: Moment,
}

/// A simulated entry process.
pub(crate) struct Process {
    pub(crate) name: Name,
    pub(crate) incarnation: u64,
    pub(crate) paused: bool,
    pub(crate) leaving: bool,
    pub(crate) catalogue: catalogue::State,
    pub(crate) batcher: Batcher,
    pub(crate) authority: authority::state::State,
    pub(crate) lease: Lease,
    pub(crate) planner: Planner,
    pub(crate) upstreams: Upstreams,
    pub(crate) members: Members,
    pub(crate) drain: Drain,
    pub(crate) listing: list::View,
    pub(crate) outbox: VecDeque<Append>,
    pub(crate) engine_calls: VecDeque<EngineCall>,
    pub(crate) append_outcomes: VecDeque<AppendOutcome>,
    /// Outcomes of the next appends of the lease.
    pub(crate) lease_append_outcomes: VecDeque<AppendOutcome>,
    pub(crate) calls: BTreeMap<CallId, CallInfo>,
    /// Calls that are cleared to run and whose first byte has not been sent.
    pub(crate) ready_calls: Vec<CallId>,
    /// Calls reported to callers as not run since the last check.
    pub(crate) reported_not_run: Vec<(CallId, String)>,
    /// Open streams of this process by upstream.
    pub(crate) open_streams: BTreeMap<Name, u32>,
    pub(crate) read_upto: Offset,
    pub(crate) last_call: CallId,
    pub(crate) log_status: claims::LogStatus,
    /// Whether its view is recent enough to send new work: set once it has folded the log to its
    /// end, and cleared when it detects that it was paused.
    pub(crate) view_is_current: bool,
    /// Whether it has begun to serve. The control plane checks this repeatedly during the start;
    /// here the first success is kept, so that processes send in more schedules than in the daemon.
    pub(crate) may_serve: bool,
    last_sequence: u64,
}

impl Process {
    pub(crate) fn new(name: &str, incarnation: u64, now: Moment) -> Self {
        let author = Author {
            instance: name.to_owned(),
            incarnation,
        };
        let holder = Holder {
            instance: name.to_owned(),
            incarnation,
        };
        let local = LocalMember {
            id: name.to_owned(),
            incarnation,
            data_centre: String::new(),
        };
        let seed = seed(name, incarnation);
        Self {
            name: name.to_owned(),
            incarnation,
            paused: false,
            leaving: false,
            catalogue: catalogue::State::default(),
            batcher: Batcher::new(holder, seed, claims::Limits::default()),
            authority: authority::state::State::new(),
            lease: Lease::new(SCOPE.to_owned(), author, lease_term(), seed + 1),
            planner: Planner::new(SCOPE.to_owned(), Bounds::default(), timing(), seed + 2),
            upstreams: Upstreams::new(fleet::health::Settings::default()),
            members: Members::new(local, fleet::member::Settings::default(), now),
            drain: Drain::new(fleet::drain::Settings::default()),
            listing: list::View::default(),
            outbox: VecDeque::new(),
            engine_calls: VecDeque::new(),
            append_outcomes: VecDeque::new(),
            lease_append_outcomes: VecDeque::new(),
            calls: BTreeMap::new(),
            ready_calls: Vec::new(),
            reported_not_run: Vec::new(),
            open_streams: BTreeMap::new(),
            read_upto: 0,
            last_call: 0,
            log_status: claims::LogStatus::Down,
            view_is_current: false,
            may_serve: false,
            last_sequence: 0,
        }
    }

    /// A record of this process.
    pub(crate) fn record(&self, nonce: [u8; 16], body: Body) -> Record {
        Record {
            nonce: nonce.to_vec(),
            rules: 1,
            author: Some((&self.author()).into()),
            body: Some(body),
        }
    }

    pub(crate) fn author(&self) -> Author {
        Author {
            instance: self.name.clone(),
            incarnation: self.incarnation,
        }
    }

    /// A snapshot of the folded state.
    pub(crate) fn snapshot(&self) -> Option<Snapshot> {
        let mut snapshot = self.catalogue.snapshot()?;
        self.authority.fill_snapshot(&mut snapshot);
        catalogue::seal(&mut snapshot);
        Some(snapshot)
    }

    /// The progress that heartbeats announce.
    pub(crate) fn progress(&self) -> Progress {
        Progress {
            folded: self.read_upto,
            revision: self.catalogue.revision(),
            leaving: self.leaving,
            rules: self.catalogue.rules().newest(),
        }
    }

    /// Releases the scope of a leaving process, but not during a change, so that the successor does
    /// not have to finish it.
    pub(crate) fn release_if_leaving(&mut self, now: Moment) -> Vec<Line> {
        if !self.leaving || !self.planner.is_idle() {
            return Vec::new();
        }
        let outputs = self.lease.step(now, &lease::Input::Leave);
        self.handle_lease(outputs)
    }

    fn line(&self, text: impl std::fmt::Display) -> Line {
        format!("{}: {text}", self.name)
    }
}

/// A seed that differs for each incarnation of each process.
fn seed(name: &str, incarnation: u64) -> u64 {
    let hash = name
        .bytes()
        .fold(0_u64, |sum, byte| sum * 31 + u64::from(byte));
    (hash << 20) + (incarnation << 8)
}

fn lease_term() -> Term {
    let config = TermConfig {
        lease: Duration::from_secs(9),
        margin: Duration::from_secs(1),
        drift_ppm: 0,
        stagger: Duration::from_millis(500),
        retry: Duration::from_secs(1),
    };
    Term::try_from(config).expect("the settings are in range")
}

fn timing() -> authority::change::Timing {
    authority::change::Timing::default()
}
