//! The confirmed drain: which entries must confirm that they send no new work to an upstream,
//! and what is still waited for. An order may act only when nothing is.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::fmt;
use std::time::Duration;

use clock::Moment;
use wire::peer::{Confirm, Frame, frame};

use crate::member::Sender;
use crate::{Id, Incarnation, Offset};

/// Bounds of a closing.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Shortest time from folding the order to acting on it. An entry that nobody knows yet, but
    /// that reads the log, has folded the order by then.
    pub settle: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            settle: Duration::from_secs(2),
        }
    }
}

/// What one entry said last of one order.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Confirmation {
    incarnation: Incarnation,
    sequence: u64,
    open: u32,
}

/// An upstream that takes no new work because of an order or an operator's drain.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Closing {
    upstream: Id,
    since: Moment,
    confirmed: BTreeMap<Id, Confirmation>,
}

/// Why an order may not act yet.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Blocker {
    /// The closing is younger than [`Settings::settle`].
    Settle {
        /// Time left.
        left: Duration,
    },
    /// An entry has not confirmed with its newest incarnation.
    Confirm {
        /// The entry.
        entry: Id,
    },
    /// An entry still has work in hand there.
    Open {
        /// The entry.
        entry: Id,
        /// Requests that are open.
        open: u32,
    },
}

impl fmt::Display for Blocker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settle { left } => write!(f, "{} ms to settle", left.as_millis()),
            Self::Confirm { entry } => write!(f, "{entry} to confirm"),
            Self::Open { entry, open } => write!(f, "{entry} to finish {open}"),
        }
    }
}

/// Where one closing stands, for operators.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Status {
    /// Offset of the intent, or revision of the operator's drain.
    pub order: Offset,
    /// The upstream that is closed.
    pub upstream: Id,
    /// When this process folded the order.
    pub since: Moment,
    /// Entries that confirmed, with what they have open.
    pub confirmed: Vec<(Id, u32)>,
    /// What is waited for; empty means that the order may act.
    pub blockers: Vec<Blocker>,
}

/// All closings in force.
///
/// [`Drain::begin`] and [`Drain::end`] follow the fold of the log; an entry that starts meanwhile
/// folds them before it serves, and must confirm as every other.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Drain {
    settings: Settings,
    closings: BTreeMap<Offset, Closing>,
}

impl Drain {
    /// No closing in force.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            closings: BTreeMap::new(),
        }
    }

    /// An intent, or an operator's drain, at this offset was folded. Folding it twice changes
    /// nothing.
    pub fn begin(&mut self, now: Moment, order: Offset, upstream: &str) {
        self.closings.entry(order).or_insert_with(|| Closing {
            upstream: upstream.to_owned(),
            since: now,
            confirmed: BTreeMap::new(),
        });
    }

    /// The outcome of the order was folded, or the drain was lifted.
    pub fn end(&mut self, order: Offset) {
        self.closings.remove(&order);
    }

    /// Takes a confirmation in. A sender repeats it with each heartbeat while the order stands,
    /// so one that comes before its order, or gets lost, does no harm.
    pub fn confirm(&mut self, frame: &Frame) {
        let (Some(from), Some(frame::Body::Confirm(confirm))) = (&frame.from, &frame.body) else {
            return;
        };
        let confirmation = Confirmation {
            incarnation: from.incarnation,
            sequence: frame.sequence,
            open: confirm.open,
        };
        self.record(&from.instance, confirm, confirmation);
    }

    /// Takes this process's own confirmation in, which no frame carries. The newest always
    /// counts.
    pub fn confirm_local(&mut self, own: &crate::member::LocalMember, confirm: &Confirm) {
        let confirmation = Confirmation {
            incarnation: own.incarnation,
            sequence: u64::MAX,
            open: confirm.open,
        };
        self.record(&own.id, confirm, confirmation);
    }

    /// What the order waits for, given the entries that may still send; [`None`] if no such
    /// closing is in force. An order may act only on an empty list.
    pub fn blockers(&self, now: Moment, order: Offset, senders: &[Sender]) -> Option<Vec<Blocker>> {
        let closing = self.closings.get(&order)?;
        let settled = closing.since + self.settings.settle;
        let settle = (now < settled).then(|| Blocker::Settle {
            left: settled - now,
        });
        let entries = senders.iter().filter_map(|sender| closing.wait(sender));
        Some(settle.into_iter().chain(entries).collect())
    }

    /// Whether new work may not go to the upstream, and because of which orders.
    pub fn orders(&self, upstream: &str) -> impl Iterator<Item = Offset> {
        self.closings
            .iter()
            .filter(move |(_, closing)| closing.upstream == upstream)
            .map(|(order, _)| *order)
    }

    /// Every closing in force, as operators see it, oldest first.
    pub fn status(&self, now: Moment, senders: &[Sender]) -> Vec<Status> {
        let status = |(order, closing): (&Offset, &Closing)| Status {
            order: *order,
            upstream: closing.upstream.clone(),
            since: closing.since,
            confirmed: closing
                .confirmed
                .iter()
                .map(|(entry, confirmation)| (entry.clone(), confirmation.open))
                .collect(),
            blockers: self.blockers(now, *order, senders).unwrap_or_default(),
        };
        self.closings.iter().map(status).collect()
    }

    /// The confirmations that this process owes, given how much it has open at an upstream. They
    /// go out with each heartbeat.
    pub fn due_confirmations(&self, mut open: impl FnMut(&str) -> u32) -> Vec<Confirm> {
        let owed = |(order, closing): (&Offset, &Closing)| Confirm {
            order: *order,
            upstream: closing.upstream.clone(),
            open: open(&closing.upstream),
        };
        self.closings.iter().map(owed).collect()
    }

    fn record(&mut self, entry: &str, confirm: &Confirm, confirmation: Confirmation) {
        let Some(closing) = self.closings.get_mut(&confirm.order) else {
            return;
        };
        // A confirmation names its upstream, so that one for a record that another version of
        // the software reads differently never counts.
        if closing.upstream != confirm.upstream {
            return;
        }
        match closing.confirmed.entry(entry.to_owned()) {
            Entry::Vacant(slot) => {
                slot.insert(confirmation);
            }
            Entry::Occupied(mut slot) => {
                if confirmation.newer(slot.get()) {
                    slot.insert(confirmation);
                }
            }
        }
    }
}

impl Confirmation {
    /// A late frame must not take work in hand back that a newer one reported.
    fn newer(&self, known: &Self) -> bool {
        (self.incarnation, self.sequence) >= (known.incarnation, known.sequence)
    }
}

impl Closing {
    fn wait(&self, sender: &Sender) -> Option<Blocker> {
        let entry = sender.id.clone();
        let confirmation = self.confirmed.get(&sender.id).filter(|confirmation| {
            // A restarted entry has not confirmed by what its former process said.
            sender
                .incarnation
                .is_none_or(|newest| confirmation.incarnation >= newest)
        });
        match confirmation {
            None => Some(Blocker::Confirm { entry }),
            Some(Confirmation { open: 0, .. }) => None,
            Some(Confirmation { open, .. }) => Some(Blocker::Open { entry, open: *open }),
        }
    }
}
