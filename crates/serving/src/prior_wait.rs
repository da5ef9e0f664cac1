//! Estimates how long a caller has already waited before its call arrives. After an outage or a
//! refusal callers come back together, among new ones whose patience differs. See
//! `docs/design/placement.md`.

use std::collections::HashMap;
use std::time::Duration;

use clock::Moment;

/// Age at which the longest time is forgotten if it was not seen again: callers may have been given
/// another timeout.
const LONGEST_MAX_AGE: Duration = Duration::from_secs(60);
/// Buckets for times up to the longest. A resolution of 1/80 of a caller's time is sufficient.
const BUCKETS: u16 = 80;
/// Decay of earlier callers with each new one: the last few hundred count, so that those who come
/// back after an outage remain the minority.
const RETAINED: f64 = 1.0 - 1.0 / 500.0;

/// What a caller waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Awaited {
    /// The first answer, since its first attempt.
    FirstAnswer,
    /// The next event of a stream that it resumes, since this attempt: the first event has come.
    NextEvent,
}

/// The remaining times of callers, by route.
#[derive(Clone, Debug, Default)]
pub struct PriorWaits {
    routes: HashMap<String, RouteWaits>,
}

/// The remaining times of callers of one route.
#[derive(Clone, Debug)]
struct RouteWaits {
    longest: Duration,
    /// When the longest was last seen.
    longest_seen_at: Moment,
    /// Weighted number of callers per bucket, as a share of the longest.
    counts: [f64; BUCKETS as usize],
}

impl PriorWaits {
    /// Records that a caller of a route still waits for `left`, and estimates how long it has
    /// waited already.
    ///
    /// A caller that comes back has a new id and nothing that links it to its first attempt, but it
    /// states how long it still waits. Treated as new, it would keep its rank although it cannot be
    /// on time any more, and make new calls late as well, long after an outage. On the other hand
    /// new callers may differ in patience; if shorter ones were treated as returning, most calls
    /// would yield from the start and ranks would mean nothing. So a caller has waited only if it
    /// waits less than new callers do.
    ///
    /// A caller that resumes a stream has waited for nothing yet. It states less time than new ones,
    /// which it has spent on the events before; taken for waiting, it would yield to all new calls and
    /// be refused in a peak, again and again, and what was written for it would be lost. It says
    /// nothing about the times of new callers.
    pub fn estimate(
        &mut self,
        route: &str,
        left: Duration,
        awaited: Awaited,
        now: Moment,
    ) -> Duration {
        if awaited == Awaited::NextEvent {
            return Duration::ZERO;
        }
        let Some(waits) = self.routes.get_mut(route) else {
            self.routes
                .insert(route.to_owned(), RouteWaits::new(left, now));
            return Duration::ZERO;
        };
        if left > waits.longest || now.saturating_sub(waits.longest_seen_at) > LONGEST_MAX_AGE {
            *waits = RouteWaits::new(left, now);
            return Duration::ZERO;
        }
        waits.estimate(left, now)
    }
}

impl RouteWaits {
    fn new(left: Duration, now: Moment) -> Self {
        let mut waits = Self {
            longest: left,
            longest_seen_at: now,
            counts: [0.0; BUCKETS as usize],
        };
        waits.count(left);
        waits
    }

    fn estimate(&mut self, left: Duration, now: Moment) -> Duration {
        if left == self.longest {
            self.longest_seen_at = now;
        }
        // Most callers are new, and their times are spread evenly up to the longest: the median of
        // all is theirs, and their least lies as far below it as the longest lies above.
        let median = self.median();
        let least = median.saturating_sub(self.longest.saturating_sub(median));
        self.count(left);
        if left.saturating_add(self.bucket_error()) >= least {
            return Duration::ZERO;
        }
        median.saturating_sub(left)
    }

    fn count(&mut self, left: Duration) {
        let share = left.as_secs_f64() / self.longest.as_secs_f64().max(1e-3);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let bucket = (share * f64::from(BUCKETS)) as usize;
        for count in &mut self.counts {
            *count *= RETAINED;
        }
        self.counts[bucket.min(self.counts.len() - 1)] += 1.0;
    }

    /// Possible error of the least time: the median is rounded up, and counts twice.
    fn bucket_error(&self) -> Duration {
        self.longest / u32::from(BUCKETS / 2)
    }

    /// Median of the remaining times, rounded up to a bucket.
    fn median(&self) -> Duration {
        let half = self.counts.iter().sum::<f64>() / 2.0;
        let mut above = 0.0;
        let buckets = (1..=BUCKETS).zip(&self.counts).rev();
        let mut reached = buckets.skip_while(|(_, count)| {
            above += **count;
            above < half
        });
        let bucket = reached.next().map_or(BUCKETS, |(bucket, _)| bucket);
        // Never longer than the longest, which a product of floating-point numbers may be.
        self.longest / u32::from(BUCKETS) * u32::from(bucket)
    }
}
