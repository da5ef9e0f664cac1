//! Confirmed drain: tracks which entries must confirm that they send no new work to an upstream,
//! and what still blocks an order. An order may act only once nothing blocks it.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::fmt;
use std::time::Duration;

use clock::Moment;
use wire::peer::{Confirm, Frame, frame};

use crate::member::Sender;
use crate::{Id, Incarnation, Offset};

/// Settings of a drain.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Settings {
    /// Minimum time between folding an order and acting on it. By then an entry that is not yet
    /// known, but reads the log, has folded the order too.
    pub settle: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            settle: Duration::from_secs(2),
        }
    }
}

/// Latest confirmation of one order by one entry.
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
        /// Time remaining.
        left: Duration,
    },
    /// The newest incarnation of an entry has not confirmed.
    Confirm {
        /// The entry.
        entry: Id,
    },
    /// An entry still has open requests at the upstream.
    Open {
        /// The entry.
        entry: Id,
        /// Number of open requests.
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

/// Status of one closing, for operators.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Status {
    /// Offset of the intent, or revision of the operator's drain.
    pub order: Offset,
    /// The closed upstream.
    pub upstream: Id,
    /// When this process folded the order.
    pub since: Moment,
    /// Entries that confirmed, with their open requests.
    pub confirmed: Vec<(Id, u32)>,
    /// What blocks the order; empty if it may act.
    pub blockers: Vec<Blocker>,
}

/// All closings in force.
///
/// [`Drain::begin`] and [`Drain::end`] follow the fold of the log. An entry that starts meanwhile
/// folds the closings before it serves, and must confirm like any other.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Drain {
    settings: Settings,
    closings: BTreeMap<Offset, Closing>,
}

impl Drain {
    /// Starts with no closing in force.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            closings: BTreeMap::new(),
        }
    }

    /// Starts the closing of an intent, or of an operator's drain, folded at this offset.
    /// Idempotent.
    pub fn begin(&mut self, now: Moment, order: Offset, upstream: &str) {
        self.closings.entry(order).or_insert_with(|| Closing {
            upstream: upstream.to_owned(),
            since: now,
            confirmed: BTreeMap::new(),
        });
    }

    /// Ends a closing, when the outcome of its order is folded or the drain is lifted.
    pub fn end(&mut self, order: Offset) {
        self.closings.remove(&order);
    }

    /// Records a peer's confirmation. Senders repeat it with each heartbeat while the order is in
    /// force, so one that arrives before its order, or is lost, does no harm.
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

    /// Records this process's own confirmation, which no frame carries. The newest always
    /// counts.
    pub fn confirm_local(&mut self, local: &crate::member::LocalMember, confirm: &Confirm) {
        let confirmation = Confirmation {
            incarnation: local.incarnation,
            sequence: u64::MAX,
            open: confirm.open,
        };
        self.record(&local.id, confirm, confirmation);
    }

    /// What blocks the order, given the entries that may still send; [`None`] if no such closing
    /// is in force. An order may act only on an empty list.
    pub fn blockers(&self, now: Moment, order: Offset, senders: &[Sender]) -> Option<Vec<Blocker>> {
        let closing = self.closings.get(&order)?;
        let settled = closing.since + self.settings.settle;
        let settle = (now < settled).then(|| Blocker::Settle {
            left: settled - now,
        });
        let entries = senders.iter().filter_map(|sender| closing.blocker(sender));
        Some(settle.into_iter().chain(entries).collect())
    }

    /// Orders that close the upstream to new work.
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

    /// Confirmations that this process must send with each heartbeat, given its open requests at
    /// an upstream.
    pub fn due_confirmations(&self, mut open: impl FnMut(&str) -> u32) -> Vec<Confirm> {
        let confirmation = |(order, closing): (&Offset, &Closing)| Confirm {
            order: *order,
            upstream: closing.upstream.clone(),
            open: open(&closing.upstream),
        };
        self.closings.iter().map(confirmation).collect()
    }

    fn record(&mut self, entry: &str, confirm: &Confirm, confirmation: Confirmation) {
        let Some(closing) = self.closings.get_mut(&confirm.order) else {
            return;
        };
        // Another software version may read the same record differently; a confirmation for
        // another upstream never counts.
        if closing.upstream != confirm.upstream {
            return;
        }
        match closing.confirmed.entry(entry.to_owned()) {
            Entry::Vacant(slot) => {
                slot.insert(confirmation);
            }
            Entry::Occupied(mut slot) => {
                if confirmation.supersedes(slot.get()) {
                    slot.insert(confirmation);
                }
            }
        }
    }
}

impl Confirmation {
    /// A delayed frame must not overwrite the open requests that a newer one reported.
    fn supersedes(&self, known: &Self) -> bool {
        (self.incarnation, self.sequence) >= (known.incarnation, known.sequence)
    }
}

impl Closing {
    fn blocker(&self, sender: &Sender) -> Option<Blocker> {
        let entry = sender.id.clone();
        let confirmation = self.confirmed.get(&sender.id).filter(|confirmation| {
            // A confirmation by the previous process of a restarted entry does not count.
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
