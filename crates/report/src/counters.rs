//! Outcome counters of a process and how they are merged.

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

    /// Sum over a window, read from the finest tier that covers it.
    pub(crate) fn sum(&self, now: Epoch, seconds: u64) -> Counts {
        let covers = |series: &&Series| {
            let tier = series.tier();
            u64::from(tier.width) * (tier.retained as u64) >= seconds
        };
        let [.., coarsest] = &self.0;
        let series = self.0.iter().find(covers).unwrap_or(coarsest);
        series.sum(now, seconds)
    }

    /// The ten-minute tier, which the plot shows.
    pub(crate) fn ten_minutes(&self) -> &Series {
        &self.0[1]
    }
}

/// Counts of all catalogue entries.
///
/// Counters are held in memory only. A process that shuts down hands its counters over to one
/// other process, which adds them with [`Counters::merge_once`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    entries: BTreeMap<Entry, Tiers>,
    merged_processes: BTreeSet<(String, u64)>,
}

impl Counters {
    /// Creates empty counters.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts the outcome of a request.
    pub fn record(&mut self, at: Epoch, entry: &str, outcome: Outcome) {
        self.tiers(entry).record(at, &Counts::from(outcome));
    }

    /// Drops entries for which `keep` is false, that is, those removed from the catalogue; otherwise
    /// memory would grow with every name ever used.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.entries.retain(|entry, _| keep(entry));
    }

    /// Adds the counters of another process. The caller has to add each process only once.
    ///
    /// Buckets of a width that this version doesn't use are ignored.
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

    /// Adds the counters handed over by a process that shuts down, unless its incarnation has been
    /// added before; returns whether they were added.
    ///
    /// Without the check, a retransmitted hand-over would count the outcomes and the burn twice.
    pub fn merge_once(&mut self, from: &Author, burn: &Burn) -> bool {
        let added = self
            .merged_processes
            .insert((from.instance.clone(), from.incarnation));
        if added {
            self.merge(burn);
        }
        added
    }

    /// All buckets as a message for peers and the administration API.
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

    /// Memory of the counters in bytes, for metrics and `docs/CAPACITY.md`.
    pub fn bytes(&self) -> usize {
        let entry_bytes = |(entry, tiers): (&Entry, &Tiers)| {
            let buckets: usize = tiers.0.iter().map(Series::bytes).sum();
            entry.capacity() + size_of::<Entry>() + size_of::<Tiers>() + buckets
        };
        self.entries.iter().map(entry_bytes).sum()
    }

    pub(crate) fn get(&self, entry: &str) -> Option<&Tiers> {
        self.entries.get(entry)
    }

    /// Looks up twice, so that the name is not copied for every outcome.
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
