//! One entry: the pure crates side by side, as the daemon drives them.

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

use crate::log::Fate;
use crate::{Line, Name, Offset};

mod control;
mod fold;
mod membership;

pub(crate) use control::EngineCall;

/// The scope that all processes contend for, and the pool of the engines.
pub(crate) const SCOPE: &str = "llm-pool";

/// Which state machine wants an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    Claims,
    Lease,
    Planner,
}

/// An append that was not handed to the log yet.
#[derive(Debug)]
pub(crate) struct Append {
    pub(crate) source: Source,
    pub(crate) nonce: [u8; 16],
    pub(crate) record: Record,
}

/// A call of a caller at this process.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub(crate) key: String,
    pub(crate) deadline: Moment,
}

/// The process.
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
    pub(crate) fates: VecDeque<Fate>,
    /// Fates of the appends of the lease.
    pub(crate) lease_fates: VecDeque<Fate>,
    pub(crate) asked: BTreeMap<CallId, Asked>,
    /// Calls that were told to run and whose first byte has not left.
    pub(crate) sending: Vec<CallId>,
    /// Calls whose callers were told since the last look that they did not run.
    pub(crate) told_not_run: Vec<(CallId, String)>,
    /// Streams that this process has open, by upstream.
    pub(crate) open: BTreeMap<Name, u32>,
    pub(crate) read_upto: Offset,
    pub(crate) tickets: CallId,
    pub(crate) reach: claims::LogStatus,
    /// Whether its view is good enough to send new work: set once it has folded the log to its
    /// end, and unset when it notices that it was paused.
    pub(crate) current: bool,
    /// Whether it has begun to serve. The control plane asks again and again during the start; here
    /// the first yes is kept, so that more runs send than would there.
    pub(crate) serves: bool,
    frames: u64,
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
        let own = LocalMember {
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
            lease: Lease::new(SCOPE.to_owned(), author, term(), seed + 1),
            planner: Planner::new(SCOPE.to_owned(), Bounds::default(), pace(), seed + 2),
            upstreams: Upstreams::new(fleet::health::Settings::default()),
            members: Members::new(own, fleet::member::Settings::default(), now),
            drain: Drain::new(fleet::drain::Settings::default()),
            listing: list::View::default(),
            outbox: VecDeque::new(),
            engine_calls: VecDeque::new(),
            fates: VecDeque::new(),
            lease_fates: VecDeque::new(),
            asked: BTreeMap::new(),
            sending: Vec::new(),
            told_not_run: Vec::new(),
            open: BTreeMap::new(),
            read_upto: 0,
            tickets: 0,
            reach: claims::LogStatus::Down,
            current: false,
            serves: false,
            frames: 0,
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

    /// All that was folded, as a snapshot.
    pub(crate) fn snapshot(&self) -> Option<Snapshot> {
        let mut snapshot = self.catalogue.snapshot()?;
        self.authority.fill_snapshot(&mut snapshot);
        catalogue::seal(&mut snapshot);
        Some(snapshot)
    }

    /// What heartbeats tell of this process.
    pub(crate) fn progress(&self) -> Progress {
        Progress {
            folded: self.read_upto,
            revision: self.catalogue.revision(),
            leaving: self.leaving,
            rules: self.catalogue.rules().newest(),
        }
    }

    /// The scope is given up only when no change is under way, so that the successor finds none
    /// half done.
    pub(crate) fn leave(&mut self, now: Moment) -> Vec<Line> {
        if !self.leaving || !self.planner.is_idle() {
            return Vec::new();
        }
        let outputs = self.lease.step(now, &lease::Input::Leave);
        self.take_lease(outputs)
    }

    fn say(&self, what: impl std::fmt::Display) -> Line {
        format!("{}: {what}", self.name)
    }
}

/// Differs for each start of each process, as a random seed does.
fn seed(name: &str, incarnation: u64) -> u64 {
    let letters = name
        .bytes()
        .fold(0_u64, |sum, byte| sum * 31 + u64::from(byte));
    (letters << 20) + (incarnation << 8)
}

fn term() -> Term {
    let figures = TermConfig {
        lease: Duration::from_secs(9),
        margin: Duration::from_secs(1),
        drift_ppm: 0,
        stagger: Duration::from_millis(500),
        retry: Duration::from_secs(1),
    };
    Term::try_from(figures).expect("the figures are in range")
}

fn pace() -> authority::change::Timing {
    authority::change::Timing::default()
}
