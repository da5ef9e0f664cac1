//! Types of the membership of entries; [`crate::Members`] holds the rules.

use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;
use wire::peer::{Frame, Heartbeat};

use crate::list::{Mark, View};
use crate::presence::KINDS;
use crate::{Id, Incarnation, Offset};

/// What this process knows of another entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum State {
    /// Heard lately.
    Alive,
    /// Listed or heard not long ago, but silent now. It may still serve.
    Suspect,
    /// It finishes its work in hand and will stop.
    Leaving,
    /// Off the list and silent for [`Settings::gone_after`]. It can't send any more.
    Gone,
}

/// Whether a peer receives what this process sends.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Hearing {
    /// Nothing was heard from it that would tell.
    Unknown,
    /// It echoed a recent heartbeat of this incarnation.
    Hears,
    /// Its heartbeats arrive and echo nothing recent: a partition in one direction.
    Deaf,
}

/// Bounds of the membership.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Time between two heartbeats to the same peer.
    pub heartbeat_interval: Duration,
    /// Silence after which a peer is suspect, and age of an echo at which it counts as deaf.
    pub suspect_after: Duration,
    /// Silence after which a peer that is off the list is gone. It must be longer than
    /// [`Settings::pause_threshold`], so that a paused entry refuses new work before others stop waiting.
    pub gone_after: Duration,
    /// How long the incarnation of one that is gone is remembered, to refuse its late frames.
    pub forget_after: Duration,
    /// Longest lag of the instance list. A new entry waits for it, unless all peers heard it.
    pub list_lag: Duration,
    /// Time between two ticks from which this process knows that it was paused.
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

/// This process as others know it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LocalMember {
    /// Instance id from the settings.
    pub id: Id,
    /// Start of this process.
    pub incarnation: Incarnation,
    /// Data centre from the settings.
    pub data_centre: String,
}

/// What a heartbeat says of the sender's progress.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Progress {
    /// Highest log offset folded.
    pub folded: Offset,
    /// Revision of the catalogue in force.
    pub revision: Offset,
    /// Whether the process finishes its work in hand and takes no new.
    pub leaving: bool,
    /// Version of the acceptance rules that it understands.
    pub rules: u32,
}

impl From<&Heartbeat> for Progress {
    fn from(beat: &Heartbeat) -> Self {
        Self {
            folded: beat.folded,
            revision: beat.revision,
            leaving: beat.leaving,
            rules: beat.rules,
        }
    }
}

/// All that is known of one other entry.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Member {
    /// Instance id.
    pub id: Id,
    /// Newest incarnation heard; [`None`] for one that is only listed.
    pub incarnation: Option<Incarnation>,
    /// Its state as of the last step.
    pub state: State,
    /// Whether it hears this process.
    pub hearing: Hearing,
    /// How the list marks it; [`None`] if the list leaves it out.
    pub listed: Option<Mark>,
    /// Peer address from the list; empty if it was never listed.
    pub address: String,
    /// Data centre from the list or its heartbeat.
    pub data_centre: String,
    /// When this process first knew of it.
    pub known_since: Moment,
    /// When a frame of the newest incarnation last arrived.
    pub heard_at: Option<Moment>,
    /// When this process first heard the newest incarnation.
    pub incarnation_since: Option<Moment>,
    /// What its last heartbeat said.
    pub progress: Progress,
    /// Last moment at which it was heard or listed.
    pub(crate) present_at: Moment,
    /// `sent_ms` of its newest heartbeat, to be echoed.
    pub(crate) sent_ms: u64,
    /// Newest own heartbeat that it echoed.
    pub(crate) echoed_at: Option<Moment>,
    /// Newest sequence by kind of frame.
    pub(crate) sequences: [u64; KINDS],
}

/// An entry that may still send to an upstream.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Sender {
    /// Instance id.
    pub id: Id,
    /// Newest incarnation known; confirmations of older ones don't count.
    pub incarnation: Option<Incarnation>,
}

/// What drives [`crate::Members`].
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// The instance list was read.
    List(&'a View),
    /// A frame arrived from a peer whose certificate bears the name in `from`.
    Frame(&'a Frame),
    /// Time passed; to be given at least twice in [`Settings::heartbeat_interval`].
    Tick(Progress),
}

/// What [`crate::Members`] wants done or known.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this heartbeat.
    SendHeartbeat {
        /// Addressee.
        to: Id,
        /// Body of the frame.
        heartbeat: Heartbeat,
    },
    /// The state of a member changed.
    Changed {
        /// The member.
        id: Id,
        /// State before; [`None`] for one that was unknown.
        was: Option<State>,
        /// State now.
        state: State,
    },
    /// The same incarnation is heard again after it was suspect or gone: it was paused or cut
    /// off, and acts on an old view until it has folded the log.
    Returned {
        /// The member.
        id: Id,
        /// For how long it was silent.
        silent: Duration,
    },
    /// A newer incarnation is heard: the former process is dead, with all it had open.
    Restarted {
        /// The member.
        id: Id,
        /// The newer incarnation.
        incarnation: Incarnation,
    },
    /// Whether a member hears this process changed.
    HearingChanged {
        /// The member.
        id: Id,
        /// Whether it hears this process.
        hearing: Hearing,
    },
    /// The frame must not be handled further.
    Refused(Refusal),
    /// This process was paused for so long. Its view is old: it must not send new work until it
    /// has folded the log up to its end, or knows of nothing newer from [`crate::Members::with_fresh_heartbeat`].
    Paused(Duration),
    /// A peer knows a newer incarnation of this instance: this process was replaced and must stop.
    Superseded(Incarnation),
}

/// Why a frame was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It comes from an incarnation that was replaced.
    OlderIncarnation,
    /// A newer frame of its kind arrived before.
    OlderSequence,
    /// It names no sender, or this process as its sender.
    NoSender,
}

/// Outputs of one step.
pub type Outputs = SmallVec<[Output; 4]>;
