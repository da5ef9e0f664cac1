//! How long a caller has waited before it came here. The load that this answers: callers that come back
//! together after an outage or a refusal, among new ones. See `docs/design/placement.md`.

use std::collections::HashMap;
use std::time::Duration;

use clock::Moment;

/// A longest time that was not seen again for this long is forgotten: callers may have been given
/// another one.
const AGE: Duration = Duration::from_secs(60);

/// The longest time that callers of each route wait.
#[derive(Clone, Debug, Default)]
pub struct Usual {
    longest: HashMap<String, (Duration, Moment)>,
}

impl Usual {
    /// Takes in that a caller of a route waits for `left` more. Gives the time that it has waited
    /// before, which is what it waits less than the most patient caller of late.
    ///
    /// A caller that comes back has a new id and nothing that names its first try, but says how long it still
    /// waits. Taken for a new one it would keep its rank although it cannot be on time any more, and
    /// make new calls late as well; one would notice it by late calls long after an outage.
    pub fn waited(&mut self, route: &str, left: Duration, now: Moment) -> Duration {
        let Some((longest, seen)) = self.longest.get_mut(route) else {
            self.longest.insert(route.to_owned(), (left, now));
            return Duration::ZERO;
        };
        if left >= *longest || now.saturating_sub(*seen) > AGE {
            (*longest, *seen) = (left, now);
        }
        longest.saturating_sub(left)
    }
}
