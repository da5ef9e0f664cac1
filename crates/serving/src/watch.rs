//! Decides which instances read the store: a few do and tell the others; the rest read only if too
//! few do.
//!
//! Calls to the store are paid for, and all instances read the same records. But an instance that
//! trusted a reader blindly would keep an old configuration if that reader is cut off, and handle
//! requests by a version replaced seconds ago. So each reader announces how long ago it last read;
//! an instance that does not hear of two fresh readers before itself, in an order common to all,
//! reads. Known records are compared by version and digest, so that lost news is detected.

use std::time::Duration;

use clock::Moment;

/// Instances that read while all is well. Two, so that the end of one leaves no gap.
const READERS: u32 = 2;
/// Age up to which a read is fresh: the longest time from one answer of the store to the next, and
/// on to the frame that announces it.
pub const FRESH_AGE: Duration = Duration::from_millis(1_600);
/// Age up to which a report counts. It spans a few frames.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_300);
/// Time after which a difference is not merely news in transit.
const DIFFERENCE_GRACE: Duration = Duration::from_millis(700);
/// Additional delay per preceding instance before an instance reads as well if too few readers are
/// fresh. The preceding ones may be reading now, or may be turned away as it would be.
const JOIN_STEP: Duration = Duration::from_millis(150);
/// Least interval between two reads because of a difference.
const REREAD_INTERVAL: Duration = Duration::from_millis(1_000);

/// Whether a read is to be announced at once, because its reader was not fresh before.
///
/// While the others hear of no fresh reader they assume that the store is away, and doubt that
/// engines whose records lapse have gone. If the store had only turned the readers away, engines
/// that left would get calls for seconds more.
pub fn is_resumption(before: Option<Moment>, now: Moment) -> bool {
    before.is_none_or(|before| now.saturating_sub(before) > FRESH_AGE)
}

/// Longest time of a slow answer.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(500);

/// When an instance announces that it has read, whose answer shows the records up to `as_of` and was handled now.
///
/// Readers read at intervals that begin with an answer, so a slow store must not make them seem late. But a process
/// that was stopped handles answers from before.
pub fn announced_read(as_of: Moment, now: Moment) -> Moment {
    now.min(as_of + MAX_ANSWER_TIME)
}

/// How far an instance knows the records of a topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TopicState {
    /// Offset of the newest record that changed something.
    pub upto: u64,
    /// Digest of all known records; equal digests mean equal knowledge.
    pub digest: u64,
}

/// What another instance reported about its reading of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderReport {
    /// Its position in the common order; lower ones read first.
    pub order: u64,
    /// When the report arrived.
    pub heard_at: Moment,
    /// When it last read the topic itself, by this instance's clock.
    pub read_at: Option<Moment>,
    /// What it knows.
    pub state: TopicState,
}

impl ReaderReport {
    /// Whether the instance is alive and has read the topic lately.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.has_read_within(FRESH_AGE, now)
    }

    fn has_read_within(&self, max_age: Duration, now: Moment) -> bool {
        let is_recent = |at: Moment, age| now.saturating_sub(at) <= age;
        is_recent(self.heard_at, MAX_REPORT_AGE)
            && self.read_at.is_some_and(|read| is_recent(read, max_age))
    }
}

/// Waits before an instance reads in the place of a silent reader.
///
/// A change that the readers miss is known to nobody until their reads are out of date, those that
/// come next have had their turns, which the store may not answer either, and one of them has read
/// and announced it. `docs/design/knowledge.md` adds these waits up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waits {
    /// Age up to which another instance's read is fresh.
    fresh_age: Duration,
    /// Additional delay per preceding instance.
    join_step: Duration,
}

/// Share of the bound for which a read stays fresh. It spans the interval between two reads, a slow
/// answer, and the interval between two announcements.
const FRESH_SHARE: f64 = 0.55;
/// Below this, a reader that reads on time would count as silent between two announcements.
const MIN_FRESH_AGE: Duration = Duration::from_millis(900);
/// Time for a check whether a read is due, the read, and an announcement that is lost and repeated.
const ANNOUNCE_TIME: Duration = Duration::from_millis(400);
/// Instances in a row that the store may leave without an answer. More would have to join within the
/// bound in a large fleet, each with a call that is paid for.
const MAX_UNANSWERED: u32 = 7;

impl Default for Waits {
    fn default() -> Self {
        Self {
            fresh_age: FRESH_AGE,
            join_step: JOIN_STEP,
        }
    }
}

impl Waits {
    /// Waits that leave time to read and announce a change within `bound`, though several instances
    /// in a row get no answer.
    pub fn within(bound: Duration) -> Self {
        let fresh_age = bound.mul_f64(FRESH_SHARE).clamp(MIN_FRESH_AGE, FRESH_AGE);
        let left = bound.saturating_sub(fresh_age + ANNOUNCE_TIME);
        Self {
            fresh_age,
            join_step: (left / MAX_UNANSWERED).min(JOIN_STEP),
        }
    }
}

/// Since when this instance has known no more than `upto` while a reader knows more.
#[derive(Clone, Copy, Debug)]
struct Behind {
    upto: u64,
    since: Moment,
}

/// Tracks whether this instance reads one topic itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watch {
    waits: Waits,
    short_of_readers_since: Option<Moment>,
    behind: Option<Behind>,
    mismatch_since: Option<Moment>,
    last_reread: Option<Moment>,
    /// Whether the last read was due because too few others read.
    is_short: bool,
}

impl Watch {
    /// A watch with these waits.
    pub fn new(waits: Waits) -> Self {
        Self {
            waits,
            ..Self::default()
        }
    }

    /// Whether the topic is to be read now. `rank` is the number of preceding instances that may be
    /// alive, `own` is what this instance knows, or [`None`] if it need not know all.
    ///
    /// A store that is away makes all readers stale at once. If all instances read then, a large
    /// fleet would send hundreds of calls per second to a returning store, each of them paid for.
    /// So one after the other joins, and the first whose read succeeds tells all.
    pub fn is_due(
        &mut self,
        own_order: u64,
        rank: u32,
        others: impl Iterator<Item = ReaderReport>,
        own: Option<TopicState>,
        now: Moment,
    ) -> bool {
        let max_age = self.waits.fresh_age;
        let fresh = others
            .filter(|report| report.has_read_within(max_age, now) && report.order < own_order);
        let mut readers = 0;
        let mut newest: Option<TopicState> = None;
        for report in fresh {
            readers += 1;
            let is_newer = newest.is_none_or(|newest| report.state.upto > newest.upto);
            newest = if is_newer { Some(report.state) } else { newest };
        }
        if let Some(own) = own {
            self.compare(own, newest, now);
        }
        self.is_short = self.is_short_of_readers(readers, rank, now);
        self.is_short || self.is_reread_due(now)
    }

    /// Whether the last read was due only because this instance knows less than the readers, which
    /// another instance can make up for.
    pub fn lacks_records_only(&self) -> bool {
        !self.is_short
    }

    fn is_short_of_readers(&mut self, covered: u32, rank: u32, now: Moment) -> bool {
        if covered >= READERS {
            self.short_of_readers_since = None;
            return false;
        }
        let since = *self.short_of_readers_since.get_or_insert(now);
        // The first of them read in any case, and are among the preceding ones.
        let preceding = rank.saturating_sub(READERS - 1);
        now.saturating_sub(since) >= self.waits.join_step.saturating_mul(preceding)
    }

    /// Compares with the reader that knows most. Readers that read at different moments differ all
    /// the time while engines come and go, and so does an instance that has news of one and a
    /// snapshot of the other; news in transit is not a difference.
    fn compare(&mut self, own: TopicState, newest: Option<TopicState>, now: Moment) {
        let Some(newest) = newest.filter(|newest| newest.digest != own.digest) else {
            self.behind = None;
            self.mismatch_since = None;
            return;
        };
        if newest.upto <= own.upto {
            self.behind = None;
        } else if self.behind.is_none_or(|behind| behind.upto != own.upto) {
            // As long as more arrives, the rest is in transit.
            self.behind = Some(Behind {
                upto: own.upto,
                since: now,
            });
        }
        if newest.upto == own.upto {
            self.mismatch_since.get_or_insert(now);
        }
    }

    fn is_reread_due(&mut self, now: Moment) -> bool {
        let since = self
            .behind
            .map(|behind| behind.since)
            .or(self.mismatch_since);
        let is_lasting = since.is_some_and(|since| now.saturating_sub(since) >= DIFFERENCE_GRACE);
        let may_reread = self
            .last_reread
            .is_none_or(|at| now.saturating_sub(at) >= REREAD_INTERVAL);
        if is_lasting && may_reread {
            self.last_reread = Some(now);
            return true;
        }
        false
    }
}

/// Time after which a reader tells what the preceding one does not know yet. Readers read more
/// often than this, and announce how far they know within the same time.
const DEFER_TIME: Duration = Duration::from_millis(450);

/// News that a reader leaves to the preceding reader to tell.
///
/// The preceding reader may lose the store before it reads the news. Then nobody would tell it, and
/// every other instance would find itself behind and read, all in the second in which a reader is
/// cut off.
#[derive(Clone, Debug)]
pub struct Deferred<T>(Vec<DeferredItem<T>>);

#[derive(Clone, Debug)]
struct DeferredItem<T> {
    item: T,
    upto: u64,
    since: Moment,
}

impl<T> Default for Deferred<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<T> Deferred<T> {
    /// Leaves an item to the preceding reader, which has read it once it knows the topic up to
    /// `upto`.
    pub fn defer(&mut self, what: T, upto: u64, now: Moment) {
        self.0.push(DeferredItem {
            item: what,
            upto,
            since: now,
        });
    }

    /// Takes the items to tell after all, because no preceding reader has read them in time.
    /// `knows` returns how far the fresh preceding reader that knows most knows the topic of an
    /// item.
    pub fn take_due(&mut self, knows: impl Fn(&T) -> Option<u64>, now: Moment) -> Vec<T> {
        let mut due = Vec::new();
        for deferred in std::mem::take(&mut self.0) {
            if now.saturating_sub(deferred.since) < DEFER_TIME {
                self.0.push(deferred);
            } else if knows(&deferred.item).is_none_or(|upto| upto < deferred.upto) {
                due.push(deferred.item);
            }
        }
        due
    }
}
