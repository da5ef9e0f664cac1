//! Counts in buckets of time.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::Epoch;

/// How a request ended, as its service level sees it.
///
/// A request that its owner's own limit turns away is none of these: the contract does not cover
/// it, so it is not recorded.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// Answered whole and in time.
    Good,
    /// Turned away for lack of room within the owner's limits.
    Refused,
    /// Answered whole, after its deadline or contracted time.
    Late,
    /// Answered with an error, or cut short.
    Failed,
    /// It may have run and was not answered.
    Unknown,
}

/// Number of outcomes by kind.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Answered whole and in time.
    pub good: u64,
    /// Turned away for lack of room.
    pub refused: u64,
    /// Answered late.
    pub late: u64,
    /// Answered with an error, or cut short.
    pub failed: u64,
    /// May have run, not answered.
    pub unknown: u64,
}

impl Counts {
    /// All that miss the objective.
    pub fn bad(&self) -> u64 {
        self.refused + self.late + self.failed + self.unknown
    }

    /// All.
    pub fn total(&self) -> u64 {
        self.good + self.bad()
    }

    pub(crate) fn add(&mut self, other: &Counts) {
        self.good = self.good.saturating_add(other.good);
        self.refused = self.refused.saturating_add(other.refused);
        self.late = self.late.saturating_add(other.late);
        self.failed = self.failed.saturating_add(other.failed);
        self.unknown = self.unknown.saturating_add(other.unknown);
    }
}

impl From<Outcome> for Counts {
    fn from(outcome: Outcome) -> Self {
        let mut counts = Self::default();
        match outcome {
            Outcome::Good => counts.good = 1,
            Outcome::Refused => counts.refused = 1,
            Outcome::Late => counts.late = 1,
            Outcome::Failed => counts.failed = 1,
            Outcome::Unknown => counts.unknown = 1,
        }
        counts
    }
}

/// Width and reach of one series of buckets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Tier {
    /// Seconds that a bucket spans.
    pub(crate) width: u32,
    /// Buckets kept.
    pub(crate) kept: usize,
}

/// Every outcome is counted once in each tier, so that a window reads one tier only: minutes for
/// the fast pair (an hour and a bit), ten minutes for the slow pair (six hours and a bit), six
/// hours for the period of thirty days. One series of minutes for all would take 43,200 buckets.
pub(crate) const TIERS: [Tier; 3] = [
    Tier {
        width: 60,
        kept: 62,
    },
    Tier {
        width: 600,
        kept: 38,
    },
    Tier {
        width: 21_600,
        kept: 121,
    },
];

/// One bucket in memory: 24 bytes. Were all 14,000 outcomes a second of the largest fleet on one
/// entry, a bucket of six hours would hold 302 million, which fits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Slot {
    index: u32,
    counts: [u32; 5],
}

impl Slot {
    fn counts(&self) -> Counts {
        let [good, refused, late, failed, unknown] = self.counts.map(u64::from);
        Counts {
            good,
            refused,
            late,
            failed,
            unknown,
        }
    }

    fn add(&mut self, counts: &Counts) {
        let added = [
            counts.good,
            counts.refused,
            counts.late,
            counts.failed,
            counts.unknown,
        ];
        for (count, added) in self.counts.iter_mut().zip(added) {
            let added = u32::try_from(added).unwrap_or(u32::MAX);
            *count = count.saturating_add(added);
        }
    }
}

/// The buckets of one tier that hold anything, oldest first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Series {
    tier: Tier,
    slots: VecDeque<Slot>,
}

impl Series {
    pub(crate) fn new(tier: Tier) -> Self {
        Self {
            tier,
            slots: VecDeque::new(),
        }
    }

    pub(crate) fn tier(&self) -> Tier {
        self.tier
    }

    /// Adds counts to the bucket of this time, unless it is older than all that is kept.
    pub(crate) fn add(&mut self, at: Epoch, counts: &Counts) {
        let index = self.index(at);
        // Nearly always the last slot or a new one behind it.
        let place = self.slots.partition_point(|slot| slot.index < index);
        match self.slots.get_mut(place) {
            Some(slot) if slot.index == index => slot.add(counts),
            _ => {
                let mut slot = Slot {
                    index,
                    counts: [0; 5],
                };
                slot.add(counts);
                self.slots.insert(place, slot);
            }
        }
        self.prune();
    }

    /// Sum of the buckets that begin within so many seconds before `now`, the current one
    /// included.
    pub(crate) fn sum(&self, now: Epoch, seconds: u64) -> Counts {
        let last = self.index(now);
        let span = u32::try_from(seconds / u64::from(self.tier.width)).unwrap_or(u32::MAX);
        let first = last.saturating_sub(span.saturating_sub(1));
        let mut sum = Counts::default();
        for slot in &self.slots {
            if (first..=last).contains(&slot.index) {
                sum.add(&slot.counts());
            }
        }
        sum
    }

    /// The buckets that hold anything, by the time at which they start.
    pub(crate) fn buckets(&self) -> impl Iterator<Item = (Epoch, Counts)> {
        let width = u64::from(self.tier.width);
        self.slots
            .iter()
            .map(move |slot| (u64::from(slot.index) * width, slot.counts()))
    }

    /// Bytes that the buckets take.
    pub(crate) fn bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Slot>()
    }

    fn index(&self, at: Epoch) -> u32 {
        u32::try_from(at / u64::from(self.tier.width)).unwrap_or(u32::MAX)
    }

    fn prune(&mut self) {
        let Some(newest) = self.slots.back().map(|slot| slot.index) else {
            return;
        };
        let kept = u32::try_from(self.tier.kept).unwrap_or(u32::MAX);
        while self
            .slots
            .front()
            .is_some_and(|slot| newest - slot.index >= kept)
        {
            self.slots.pop_front();
        }
    }
}
