//! What the data plane sees: one immutable value that is replaced as a whole.

use std::sync::Arc;
use std::time::Duration;

use clock::Moment;
use fleet::list::Kind;
use smallvec::SmallVec;
use wire::peer::{Demand, Outstanding};

use crate::Offset;

pub use fleet::upstream::State;
pub use platform::{Model, Role};

/// Whether the log answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Log {
    /// It does.
    Up,
    /// It has not since this moment.
    DownSince(Moment),
}

/// Why this entry must not take new work, or why something stands still.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No accepted catalogue is known, neither from the log nor from a peer.
    NoCatalogue,
    /// The instance list was never read.
    NoInstances,
    /// The other entries do not know this one yet, so that their drains would not wait for it.
    Unknown,
    /// This process was paused and has not heard since whether its view still holds.
    Paused,
    /// A newer process runs under the same instance id.
    Superseded,
    /// This process is leaving.
    Leaving,
    /// The log's rules are newer than this software: the catalogue stands still.
    FrozenRules,
    /// Records are missing between what was folded and what the log retains, and no snapshot
    /// covers them: the catalogue stands still.
    Gap,
}

impl Reason {
    /// Whether new work must be refused because of it. The others freeze the catalogue only.
    pub fn blocks_new_work(self) -> bool {
        !matches!(self, Self::FrozenRules | Self::Gap | Self::Leaving)
    }
}

/// The newest load report of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// When its numbers were true, on this process's clock: arrival less the age that it states.
    pub measured_at: Moment,
    /// What it says.
    pub content: Arc<platform::EngineReport>,
}

impl Report {
    /// Its age.
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.measured_at)
    }
}

/// One upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Instance id.
    pub id: Arc<str>,
    /// Pool that it serves.
    pub pool: Arc<str>,
    /// Engine or plain service.
    pub kind: Kind,
    /// Data centre in which it stands.
    pub data_centre: Arc<str>,
    /// `ip:port`.
    pub address: Arc<str>,
    /// Why it gets new work or does not.
    pub state: State,
    /// Role, from the newest report or order; `None` if neither is known, and for plain services.
    pub role: Option<Role>,
    /// Loaded models, from the newest report.
    pub models: SmallVec<[Model; 2]>,
    /// Whether new work may go there.
    pub takes_work: bool,
    /// Share of the work of a healthy upstream that it should get, from 0 to 1.
    pub weight: f64,
    /// Since when it takes new work without a break; the start of its slow start.
    pub up_since: Moment,
    /// Its newest load report.
    pub report: Option<Report>,
}

/// What is known of another entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Instance id.
    pub id: String,
    /// Whether it was heard lately.
    pub alive: bool,
    /// Data centre in which it stands.
    pub data_centre: String,
    /// Its outstanding work, with the moment of arrival.
    pub load: Option<(Moment, Arc<[Outstanding]>)>,
    /// Its demand by owner, with the moment of arrival.
    pub demand: Option<(Moment, Arc<[Demand]>)>,
}

/// One state of the world.
#[derive(Clone, Debug)]
pub struct View {
    /// Grows with each view of this process.
    pub sequence: u64,
    /// Whether new work may be taken.
    pub ready: bool,
    /// Why not, or what stands still.
    pub reasons: SmallVec<[Reason; 2]>,
    /// Revision of the catalogue in force; 0 for none.
    pub revision: Offset,
    /// Highest folded offset.
    pub folded: Offset,
    /// The catalogue in force with its lookups; `None` before the first accepted edit.
    pub catalogue: Option<Arc<catalogue::View>>,
    /// All known upstreams by id, also those that get no new work.
    pub upstreams: Arc<[Upstream]>,
    /// Whether the log answers.
    pub log: Log,
    /// The other entries by id.
    pub peers: Arc<[Peer]>,
}

impl PartialEq for View {
    /// The revision stands for the catalogue: comparing thousands of entities ten times a second
    /// would cost more than all else.
    fn eq(&self, other: &Self) -> bool {
        let known = |view: &Self| view.catalogue.is_some();
        (
            self.sequence,
            self.ready,
            self.revision,
            self.folded,
            self.log,
        ) == (
            other.sequence,
            other.ready,
            other.revision,
            other.folded,
            other.log,
        ) && known(self) == known(other)
            && self.reasons == other.reasons
            && self.upstreams == other.upstreams
            && self.peers == other.peers
    }
}

impl View {
    /// The view before anything is known.
    pub fn empty() -> Self {
        Self {
            sequence: 0,
            ready: false,
            reasons: SmallVec::from_slice(&[Reason::NoCatalogue, Reason::NoInstances]),
            revision: 0,
            folded: 0,
            catalogue: None,
            upstreams: Arc::new([]),
            log: Log::DownSince(Moment::ZERO),
            peers: Arc::new([]),
        }
    }

    /// The upstream with this id.
    pub fn upstream(&self, id: &str) -> Option<&Upstream> {
        let found = self.upstreams.binary_search_by(|one| (*one.id).cmp(id));
        self.upstreams.get(found.ok()?)
    }
}
