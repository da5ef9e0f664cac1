//! The view that the data plane works by: an immutable value that is replaced as a whole.

use std::sync::Arc;
use std::time::Duration;

use clock::Moment;
use fleet::list::Kind;
use smallvec::SmallVec;
use wire::peer::{Demand, Outstanding};

use crate::Offset;

pub use fleet::upstream::State;
pub use platform::{Model, Role};

/// Whether the log is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Log {
    /// It answers.
    Up,
    /// It has not answered since this moment.
    DownSince(Moment),
}

/// Why this entry refuses new work, or why the catalogue is not updated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No accepted catalogue is known from the log or a peer.
    NoCatalogue,
    /// The instance list has not been read.
    NoInstances,
    /// The other entries do not know this one yet, so their drains would not wait for it.
    Unknown,
    /// This process was paused and has not yet confirmed that its view is current.
    Paused,
    /// A newer process uses the same instance id.
    Superseded,
    /// This process is shutting down.
    Leaving,
    /// The rules in the log are newer than this software, so the catalogue is frozen.
    FrozenRules,
    /// Records between the folded ones and those that the log retains are missing, and no snapshot
    /// covers them, so the catalogue is not updated.
    Gap,
}

impl Reason {
    /// Whether new work must be refused for this reason.
    pub fn blocks_new_work(self) -> bool {
        !matches!(self, Self::FrozenRules | Self::Gap | Self::Leaving)
    }
}

/// A load report of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// When it was measured, on the clock of this process: its arrival less its stated age.
    pub measured_at: Moment,
    /// The report.
    pub content: Arc<platform::EngineReport>,
}

impl Report {
    /// Age of the measurement.
    pub fn age(&self, now: Moment) -> Duration {
        now.saturating_sub(self.measured_at)
    }
}

/// An upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Instance id.
    pub id: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// Engine or plain service.
    pub kind: Kind,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// `ip:port`.
    pub address: Arc<str>,
    /// State, which determines whether it gets new work.
    pub state: State,
    /// Role by the newest report, else by the last settled order; `None` if unknown, and for plain
    /// services.
    pub role: Option<Role>,
    /// Loaded models by the newest report.
    pub models: SmallVec<[Model; 2]>,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Its share of work relative to a healthy upstream, from 0 to 1.
    pub weight: f64,
    /// When it last became live, which starts its slow start.
    pub up_since: Moment,
    /// Newest load report.
    pub report: Option<Report>,
}

/// State of another entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Instance id.
    pub id: String,
    /// Whether it is alive in the membership.
    pub alive: bool,
    /// Its data centre.
    pub data_centre: String,
    /// Its outstanding work, with the time of arrival.
    pub load: Option<(Moment, Arc<[Outstanding]>)>,
    /// Its demand by owner, with the time of arrival.
    pub demand: Option<(Moment, Arc<[Demand]>)>,
}

/// A consistent view of the catalogue, the fleet and the log.
#[derive(Clone, Debug)]
pub struct View {
    /// Incremented with each published view of this process.
    pub sequence: u64,
    /// Whether this entry takes new work.
    pub ready: bool,
    /// Reasons for refusing new work or for a catalogue that is not updated.
    pub reasons: SmallVec<[Reason; 2]>,
    /// Revision of the catalogue in force, or 0.
    pub revision: Offset,
    /// Highest folded offset.
    pub folded: Offset,
    /// The catalogue in force; `None` before the first accepted edit.
    pub catalogue: Option<Arc<catalogue::View>>,
    /// All known upstreams sorted by id, including those that get no new work.
    pub upstreams: Arc<[Upstream]>,
    /// Whether the log is available.
    pub log: Log,
    /// The other entries, sorted by id.
    pub peers: Arc<[Peer]>,
}

impl PartialEq for View {
    /// Compares catalogues by revision: comparing thousands of entities ten times a second would
    /// cost more than everything else.
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
    /// The initial view.
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
