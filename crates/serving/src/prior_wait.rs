//! How long a caller has waited before it came here. The load that this answers: callers that come back
//! together after an outage or a refusal, among new ones whose patience differs. See
//! `docs/design/placement.md`.

use std::collections::HashMap;
use std::time::Duration;

use clock::Moment;

/// A longest time that was not seen again for this long is forgotten: callers may have been given
/// another one.
const LONGEST_MAX_AGE: Duration = Duration::from_secs(60);
/// Parts into which times up to the longest are counted. Of 1/80 of a caller's time it matters little whether it
/// has passed.
const BUCKETS: usize = 80;
/// What is left of earlier callers with each new one: some hundred count, so that those who come back together after
/// an outage stay the fewer.
const RETAINED: f64 = 1.0 - 1.0 / 500.0;

/// The times that callers of each route wait.
#[derive(Clone, Debug, Default)]
pub struct PriorWaits {
    routes: HashMap<String, RouteWaits>,
}

/// The times that callers of one route wait.
#[derive(Clone, Debug)]
struct RouteWaits {
    longest: Duration,
    /// When the longest was last seen.
    longest_seen_at: Moment,
    /// Callers by their time, in parts of the longest.
    counts: [f64; BUCKETS],
}

impl PriorWaits {
    /// Takes in that a caller of a route waits for `left` more. Gives the time that it has waited
    /// before.
    ///
    /// A caller that comes back has a new id and nothing that names its first try, but says how long it still
    /// waits. Taken for a new one it would keep its rank although it cannot be on time any more, and
    /// make new calls late as well; one would notice it by late calls long after an outage. New ones differ, too, where each
    /// has a patience of its own: taken for ones that have waited, most would yield from the beginning, and one
    /// would notice it by ranks that say nothing. So a caller has waited only if it waits less than new ones do.
    pub fn estimate(&mut self, route: &str, left: Duration, now: Moment) -> Duration {
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
            counts: [0.0; BUCKETS],
        };
        waits.count(left);
        waits
    }

    fn estimate(&mut self, left: Duration, now: Moment) -> Duration {
        if left == self.longest {
            self.longest_seen_at = now;
        }
        // Most callers are new ones, and their times spread evenly up to the longest: their middle is the middle of all,
        // and their least lies as far below it as the longest above.
        let median = self.median();
        let least = median.saturating_sub(self.longest - median);
        self.count(left);
        if left + self.bucket_error() >= least {
            return Duration::ZERO;
        }
        median.saturating_sub(left)
    }

    fn count(&mut self, left: Duration) {
        let share = left.as_secs_f64() / self.longest.as_secs_f64().max(1e-3);
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let bucket = (share * BUCKETS as f64) as usize;
        for count in &mut self.counts {
            *count *= RETAINED;
        }
        self.counts[bucket.min(BUCKETS - 1)] += 1.0;
    }

    /// By how much the least time may be too long: the middle is rounded up, and counts twice.
    #[allow(clippy::cast_possible_truncation)]
    fn bucket_error(&self) -> Duration {
        self.longest / (BUCKETS / 2) as u32
    }

    /// The time that half of the callers exceed, rounded up to a step.
    fn median(&self) -> Duration {
        let half = self.counts.iter().sum::<f64>() / 2.0;
        let mut above = 0.0;
        let buckets = self.counts.iter().enumerate().rev();
        let mut reached = buckets.skip_while(|(_, count)| {
            above += **count;
            above < half
        });
        let bucket = reached.next().map_or(BUCKETS, |(step, _)| step + 1);
        #[allow(clippy::cast_precision_loss)]
        let share = bucket as f64 / BUCKETS as f64;
        self.longest.mul_f64(share)
    }
}
