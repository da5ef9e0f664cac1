//! Outcome counts in time buckets.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::Epoch;

/// How a request ended, as counted against its service-level objective.
///
/// A request rejected by its owner's own limit is not recorded, since the contract does not cover
/// it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Outcome {
    /// Answered completely and in time.
    Good,
    /// Rejected for lack of capacity although within the owner's limits.
    Refused,
    /// Answered completely, but after its deadline or contracted time.
    Late,
    /// Answered with an error, or incompletely.
    Failed,
    /// Not answered, but may have run.
    Unknown,
}

/// Number of outcomes by kind.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Counts {
    /// Answered completely and in time.
    pub good: u64,
    /// Rejected for lack of capacity.
    pub refused: u64,
    /// Answered completely, but late.
    pub late: u64,
    /// Answered with an error, or incompletely.
    pub failed: u64,
    /// Not answered, but may have run.
    pub unknown: u64,
}

impl Counts {
    /// Outcomes that miss the objective.
    pub fn bad(&self) -> u64 {
        self.refused + self.late + self.failed + self.unknown
    }

    /// All outcomes.
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

/// Resolution and retention of one series of buckets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Tier {
    /// Seconds that a bucket spans.
    pub(crate) width: u32,
    /// Number of newest buckets that are retained.
    pub(crate) retained: usize,
}

/// Every outcome is counted once in each tier, so that a window reads a single tier: minutes for
/// the fast pair (just over an hour), ten minutes for the slow pair (just over six hours), and six
/// hours for the thirty-day budget. One-minute buckets alone would take 43,200 of them.
pub(crate) const TIERS: [Tier; 3] = [
    Tier {
        width: 60,
        retained: 62,
    },
    Tier {
        width: 600,
        retained: 38,
    },
    Tier {
        width: 21_600,
        retained: 121,
    },
];

/// One bucket in memory, 24 bytes. 32-bit counts suffice: 14,000 outcomes a second, the load of
/// the largest fleet, on a single entry add up to 302 million in six hours.
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

/// The non-empty buckets of one tier, oldest first.
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

    /// Adds counts to the bucket that contains `at`, unless it is older than the retained ones.
    pub(crate) fn add(&mut self, at: Epoch, counts: &Counts) {
        let index = self.index(at);
        // Nearly always the last slot or a new one after it.
        let position = self.slots.partition_point(|slot| slot.index < index);
        match self.slots.get_mut(position) {
            Some(slot) if slot.index == index => slot.add(counts),
            _ => {
                let mut slot = Slot {
                    index,
                    counts: [0; 5],
                };
                slot.add(counts);
                self.slots.insert(position, slot);
            }
        }
        self.prune();
    }

    /// Sum over the window of `seconds` that ends with the current bucket, in whole buckets.
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

    /// The non-empty buckets with their start times.
    pub(crate) fn buckets(&self) -> impl Iterator<Item = (Epoch, Counts)> {
        let width = u64::from(self.tier.width);
        self.slots
            .iter()
            .map(move |slot| (u64::from(slot.index) * width, slot.counts()))
    }

    /// Heap memory of the buckets in bytes.
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
        let retained = u32::try_from(self.tier.retained).unwrap_or(u32::MAX);
        while self
            .slots
            .front()
            .is_some_and(|slot| newest - slot.index >= retained)
        {
            self.slots.pop_front();
        }
    }
}
