//! Who reads the store: a few instances do and tell the others, all others only if too few do.
//!
//! Calls to the store are paid for, and all instances read the same. But an instance that trusted
//! another one blindly would keep an old configuration when that one is cut off. One would notice it
//! by requests that are handled by a version that was replaced seconds ago. So each instance
//! that reads says how long ago it last did so itself; whoever does not hear of two that are fresh and
//! come before itself in one order that all share, reads. What two instances know is
//! compared by version and digest, so that lost news is noticed.

use std::time::Duration;

use clock::Moment;

/// Instances that read although all is well. Two, so that the end of one leaves no gap.
const READERS: u32 = 2;
/// A reader that has read within this time is fresh. It is the longest time from one answer of the
/// store to the next and on to the frame that tells of it.
pub const FRESH_AGE: Duration = Duration::from_millis(1_600);
/// What an instance said longer ago than this says nothing of now. It spans a few frames.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_300);
/// A difference in what is known that lasts for this long is not on its way to be told.
const DIFFERENCE_GRACE: Duration = Duration::from_millis(700);
/// How much longer than the one before it an instance waits before it reads as well, where too few are fresh. Others that
/// live and come before it may be reading now, or are turned away as it would be.
const JOIN_STEP: Duration = Duration::from_millis(150);
/// Pause between two reads for a difference.
const REREAD_INTERVAL: Duration = Duration::from_millis(1_000);

/// Whether a read is to be told at once, since its reader was not fresh before.
///
/// As long as the others hear of no fresh reader they take the store for away, and doubt that an engine has gone whose record lapses.
/// Where it only turned the readers away, engines that left would get calls for seconds more.
pub fn is_resumption(before: Option<Moment>, now: Moment) -> bool {
    before.is_none_or(|before| now.saturating_sub(before) > FRESH_AGE)
}

/// How far an instance knows a topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TopicState {
    /// The newest record that changed something.
    pub upto: u64,
    /// Of all that it knows; equal ones know the same.
    pub digest: u64,
}

/// What another instance said of its reading of one topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderReport {
    /// Its place in the order; lower ones read first.
    pub order: u64,
    /// When it was heard.
    pub heard_at: Moment,
    /// When it last read the topic itself, on this instance's clock.
    pub read_at: Option<Moment>,
    /// What it knows.
    pub state: TopicState,
}

impl ReaderReport {
    /// Whether it lives and has read the topic just now.
    pub fn is_fresh(&self, now: Moment) -> bool {
        let is_recent = |at: Moment, age| now.saturating_sub(at) <= age;
        is_recent(self.heard_at, MAX_REPORT_AGE)
            && self.read_at.is_some_and(|read| is_recent(read, FRESH_AGE))
    }
}

/// Since when an instance has known no more than this, while a reader knows more.
#[derive(Clone, Copy, Debug)]
struct Behind {
    upto: u64,
    since: Moment,
}

/// Whether this instance reads one topic itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watch {
    short_of_readers_since: Option<Moment>,
    behind: Option<Behind>,
    mismatch_since: Option<Moment>,
    last_reread: Option<Moment>,
}

impl Watch {
    /// Whether the topic is to be read now. `rank` is how many instances come before this one and may live, `own` is what this
    /// one knows.
    ///
    /// A store that is away makes all readers stale at once. If all instances read then, a large fleet would send
    /// hundreds of calls a second to a store that comes back, each of them paid for. So one after the other joins, and
    /// the first whose read succeeds tells all.
    pub fn is_due(
        &mut self,
        own_order: u64,
        rank: u32,
        others: impl Iterator<Item = ReaderReport>,
        own: TopicState,
        now: Moment,
    ) -> bool {
        let fresh = others.filter(|report| report.is_fresh(now) && report.order < own_order);
        let mut readers = 0;
        let mut newest: Option<TopicState> = None;
        for report in fresh {
            readers += 1;
            let is_newer = newest.is_none_or(|newest| report.state.upto > newest.upto);
            newest = if is_newer { Some(report.state) } else { newest };
        }
        self.compare(own, newest, now);
        self.is_short_of_readers(readers, rank, now) || self.is_reread_due(now)
    }

    fn is_short_of_readers(&mut self, covered: u32, rank: u32, now: Moment) -> bool {
        if covered >= READERS {
            self.short_of_readers_since = None;
            return false;
        }
        let since = *self.short_of_readers_since.get_or_insert(now);
        // Those that come first read anyway, and are among the ones before.
        let preceding = rank.saturating_sub(READERS - 1);
        now.saturating_sub(since) >= JOIN_STEP.saturating_mul(preceding)
    }

    /// Compares with the reader that knows most. Two that read at different moments differ all the time while engines come and
    /// go, and so does whoever has had news of the one and a state of the other: what is on its way is no difference.
    fn compare(&mut self, own: TopicState, newest: Option<TopicState>, now: Moment) {
        let Some(newest) = newest.filter(|newest| newest.digest != own.digest) else {
            self.behind = None;
            self.mismatch_since = None;
            return;
        };
        if newest.upto <= own.upto {
            self.behind = None;
        } else if self.behind.is_none_or(|behind| behind.upto != own.upto) {
            // As long as more comes, the rest is on its way.
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

/// Time after which a reader tells what the one before it does not know yet. Readers read more often than this, and
/// tell how far they know in the same time.
const DEFER_TIME: Duration = Duration::from_millis(450);

/// What a reader leaves to the one before it to tell, which may lose the store before it has read it.
///
/// Then none would tell: every other instance would find itself behind, and read. One would notice it by a call to the
/// store of each instance in the second in which a reader is cut off.
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
    /// Leaves something to the reader before. Whoever has read it knows the topic up to `upto`.
    pub fn defer(&mut self, what: T, upto: u64, now: Moment) {
        self.0.push(DeferredItem {
            item: what,
            upto,
            since: now,
        });
    }

    /// What is to be told after all, since none of the readers before has read it in time. `knows` says how far the one of them
    /// that is fresh and knows most knows the topic of something.
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
