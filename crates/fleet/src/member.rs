//! Types of the membership of entries; [`crate::Members`] implements the rules.

use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;
use wire::peer::{Frame, Heartbeat};

use crate::list::{Mark, View};
use crate::presence::SEQUENCE_SLOTS;
use crate::{Id, Incarnation, Offset};

/// State of another entry as this process sees it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum State {
    /// Heard from recently.
    Alive,
    /// Listed, or heard from not long ago, but silent now. It may still serve.
    Suspect,
    /// Finishing its open requests before it stops.
    Leaving,
    /// Off the list and silent for [`Settings::gone_after`]. It can't send any more.
    Gone,
}

/// Whether a peer receives what this process sends.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Hearing {
    /// Not known, for want of recent heartbeats.
    Unknown,
    /// It echoed a recent heartbeat of this incarnation.
    Hears,
    /// Its heartbeats arrive but echo nothing recent: a one-way partition.
    Deaf,
}

/// Settings of the membership.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Time between two heartbeats to the same peer.
    pub heartbeat_interval: Duration,
    /// Silence after which a peer is suspect, and age of an echo at which it counts as deaf.
    pub suspect_after: Duration,
    /// Silence after which a peer that is off the list is gone. It must be longer than
    /// [`Settings::pause_threshold`], so that a paused entry refuses new work before others stop
    /// waiting for it.
    pub gone_after: Duration,
    /// How long the incarnation of a gone peer is remembered, to refuse its late frames.
    pub forget_after: Duration,
    /// Maximum lag of the instance list. A new entry waits this long unless all peers heard it.
    pub list_lag: Duration,
    /// Gap between two inputs from which this process concludes that it was paused.
    pub pause_threshold: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_secs(1),
            suspect_after: Duration::from_secs(4),
            gone_after: Duration::from_secs(15),
            forget_after: Duration::from_secs(600),
            list_lag: Duration::from_secs(10),
            pause_threshold: Duration::from_secs(3),
        }
    }
}

/// This process as its peers know it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LocalMember {
    /// Instance id from the settings.
    pub id: Id,
    /// Start of this process.
    pub incarnation: Incarnation,
    /// Data centre from the settings.
    pub data_centre: String,
}

/// The sender's progress as reported by a heartbeat.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Progress {
    /// Highest log offset folded.
    pub folded: Offset,
    /// Revision of the catalogue in force.
    pub revision: Offset,
    /// Whether the process takes no new work and finishes its open requests.
    pub leaving: bool,
    /// Version of the acceptance rules that it understands.
    pub rules: u32,
}

impl From<&Heartbeat> for Progress {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self {
            folded: heartbeat.folded,
            revision: heartbeat.revision,
            leaving: heartbeat.leaving,
            rules: heartbeat.rules,
        }
    }
}

/// Everything known about one other entry.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Member {
    /// Instance id.
    pub id: Id,
    /// Newest incarnation heard; [`None`] if the entry is only listed.
    pub incarnation: Option<Incarnation>,
    /// State as of the last step.
    pub state: State,
    /// Whether it receives this process's frames.
    pub hearing: Hearing,
    /// Mark in the list; [`None`] if it is off the list.
    pub listed: Option<Mark>,
    /// Peer address from the list; empty if it was never listed.
    pub address: String,
    /// Data centre from the list or its heartbeat.
    pub data_centre: String,
    /// When this process first learned of it.
    pub known_since: Moment,
    /// When a frame of the newest incarnation last arrived.
    pub heard_at: Option<Moment>,
    /// When this process first heard the newest incarnation.
    pub incarnation_since: Option<Moment>,
    /// Progress reported by its last heartbeat.
    pub progress: Progress,
    /// When it was last heard or listed.
    pub(crate) present_at: Moment,
    /// `sent_ms` of its newest heartbeat, to be echoed.
    pub(crate) sent_ms: u64,
    /// Send time of the newest local heartbeat that it echoed.
    pub(crate) echoed_at: Option<Moment>,
    /// Newest sequence number by kind of frame.
    pub(crate) sequences: [u64; SEQUENCE_SLOTS],
}

/// An entry that may still send to an upstream.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Sender {
    /// Instance id.
    pub id: Id,
    /// Newest incarnation known; confirmations of older ones don't count.
    pub incarnation: Option<Incarnation>,
}

/// Inputs of [`crate::Members`].
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// The instance list was read.
    List(&'a View),
    /// A frame arrived from a peer whose certificate names the instance in `from`.
    Frame(&'a Frame),
    /// Time passed; expected at least twice per [`Settings::heartbeat_interval`].
    Tick(Progress),
}

/// Outputs of [`crate::Members`].
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this heartbeat.
    SendHeartbeat {
        /// Recipient.
        to: Id,
        /// Body of the frame.
        heartbeat: Heartbeat,
    },
    /// The state of a member changed.
    Changed {
        /// The member.
        id: Id,
        /// Previous state; [`None`] for a new member.
        was: Option<State>,
        /// New state.
        state: State,
    },
    /// The same incarnation is heard again after it was suspect or gone: it was paused or cut
    /// off, and acts on an outdated view until it has folded the log.
    Returned {
        /// The member.
        id: Id,
        /// Length of the silence.
        silent: Duration,
    },
    /// A newer incarnation is heard: the previous process is dead, with all its open requests.
    Restarted {
        /// The member.
        id: Id,
        /// The newer incarnation.
        incarnation: Incarnation,
    },
    /// Whether a member receives this process's frames changed.
    HearingChanged {
        /// The member.
        id: Id,
        /// Whether it receives this process's frames.
        hearing: Hearing,
    },
    /// The frame was rejected and must not be processed further.
    Refused(Refusal),
    /// This process was paused for this long. Its view is outdated: it must not send new work until
    /// it has folded the log to its end, or knows from [`crate::Members::with_fresh_heartbeat`]
    /// that there is nothing newer.
    Paused(Duration),
    /// A peer knows a newer incarnation of this instance: this process was replaced and must stop.
    Superseded(Incarnation),
}

/// Why a frame was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Its sender's incarnation was replaced.
    OlderIncarnation,
    /// A newer frame of its kind has already arrived.
    OlderSequence,
    /// It names no sender, or this process as its sender.
    NoSender,
}

/// Outputs of one step.
pub type Outputs = SmallVec<[Output; 4]>;
