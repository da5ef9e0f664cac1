//! The counters of one process, and their merging.

use std::collections::{BTreeMap, BTreeSet};

use wire::peer::{Bucket, Burn};
use wire::record::Author;

use crate::bucket::{Counts, Outcome, Series, TIERS};
use crate::{Entry, Epoch};

/// Counts of one catalogue entry in all tiers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Tiers([Series; 3]);

impl Tiers {
    fn new() -> Self {
        Self(TIERS.map(Series::new))
    }

    fn record(&mut self, at: Epoch, counts: &Counts) {
        for series in &mut self.0 {
            series.add(at, counts);
        }
    }

    /// Sum over a window, read from the finest tier that reaches so far back.
    pub(crate) fn sum(&self, now: Epoch, seconds: u64) -> Counts {
        let reaches = |series: &&Series| {
            let tier = series.tier();
            u64::from(tier.width) * (tier.kept as u64) >= seconds
        };
        let [.., coarsest] = &self.0;
        let series = self.0.iter().find(reaches).unwrap_or(coarsest);
        series.sum(now, seconds)
    }

    /// The buckets of the middle tier, which the plot shows.
    pub(crate) fn slow(&self) -> &Series {
        &self.0[1]
    }
}

/// Counts of all catalogue entries.
///
/// The counters of a process die with it; a process that leaves hands its own to one other, which
/// [`Counters::merge_once`]s them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    entries: BTreeMap<Entry, Tiers>,
    inherited: BTreeSet<(String, u64)>,
}

impl Counters {
    /// Nothing counted yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the end of a request.
    pub fn record(&mut self, at: Epoch, entry: &str, outcome: Outcome) {
        self.tiers(entry).record(at, &Counts::from(outcome));
    }

    /// Forgets the entries that the catalogue no longer has; without this the memory would grow
    /// with every name that was ever used.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.entries.retain(|entry, _| keep(entry));
    }

    /// Adds the counters of another process. The caller sees to it that each is added once.
    ///
    /// Buckets of a width that this version doesn't keep are left out.
    pub fn merge(&mut self, burn: &Burn) {
        for bucket in &burn.buckets {
            let tiers = self.tiers(&bucket.entry);
            let series = tiers
                .0
                .iter_mut()
                .find(|series| series.tier().width == bucket.width);
            if let Some(series) = series {
                series.add(bucket.start, &Counts::from(bucket));
            }
        }
    }

    /// Takes over the counters of a process that leaves, once for each process however often the
    /// frame comes; `false` if they were taken before.
    ///
    /// Symptom without the check: a hand-over that is sent again doubles the leaver's outcomes
    /// and with them the burn.
    pub fn merge_once(&mut self, from: &Author, burn: &Burn) -> bool {
        let fresh = self
            .inherited
            .insert((from.instance.clone(), from.incarnation));
        if fresh {
            self.merge(burn);
        }
        fresh
    }

    /// All buckets, as peers and the administration API get them.
    pub fn burn(&self) -> Burn {
        let mut burn = Burn::default();
        for (entry, tiers) in &self.entries {
            for series in &tiers.0 {
                let width = series.tier().width;
                let buckets = series.buckets();
                burn.buckets
                    .extend(buckets.map(|(start, counts)| bucket(entry, width, start, &counts)));
            }
        }
        burn
    }

    /// Bytes that the buckets take, for metrics and `docs/CAPACITY.md`.
    pub fn bytes(&self) -> usize {
        let of_entry = |(entry, tiers): (&Entry, &Tiers)| {
            let buckets: usize = tiers.0.iter().map(Series::bytes).sum();
            entry.capacity() + size_of::<Entry>() + size_of::<Tiers>() + buckets
        };
        self.entries.iter().map(of_entry).sum()
    }

    pub(crate) fn get(&self, entry: &str) -> Option<&Tiers> {
        self.entries.get(entry)
    }

    /// Looks twice rather than copy the name for every outcome.
    fn tiers(&mut self, entry: &str) -> &mut Tiers {
        if !self.entries.contains_key(entry) {
            self.entries.insert(entry.to_owned(), Tiers::new());
        }
        self.entries
            .get_mut(entry)
            .expect("an entry that was missing was put in")
    }
}

impl From<&Burn> for Counters {
    fn from(burn: &Burn) -> Self {
        let mut counters = Self::new();
        counters.merge(burn);
        counters
    }
}

impl From<&Bucket> for Counts {
    fn from(bucket: &Bucket) -> Self {
        Self {
            good: bucket.good,
            refused: bucket.refused,
            late: bucket.late,
            failed: bucket.failed,
            unknown: bucket.unknown,
        }
    }
}

fn bucket(entry: &str, width: u32, start: Epoch, counts: &Counts) -> Bucket {
    Bucket {
        entry: entry.to_owned(),
        start,
        good: counts.good,
        bad: counts.bad(),
        refused: counts.refused,
        late: counts.late,
        failed: counts.failed,
        unknown: counts.unknown,
        width,
    }
}
