//! What the peers were told last, so that the same is not told again and again.

use std::time::Duration;

use clock::Moment;
use wire::peer::{Load, Shares};

/// Time after which a frame goes out again although it says the same. Peers take an entry's share
/// of a limit for silent after 1.2 s (docs/design/limits.md), and frames are weighed every 300 ms, so it has to stay well below that.
const SAME_PERIOD: Duration = Duration::from_millis(800);

/// The newest frames of each kind.
#[derive(Debug, Default)]
pub(crate) struct Told {
    pub(crate) load: Last<Load>,
    pub(crate) shares: Last<Shares>,
}

/// The newest frame of one kind and when it went out.
#[derive(Debug, Default)]
pub(crate) struct Last<T> {
    newest: Option<(Moment, T)>,
}

impl<T: Clone + PartialEq> Last<T> {
    /// Whether this frame has to go out; if so it counts as the newest.
    pub(crate) fn is_due(&mut self, now: Moment, frame: &T) -> bool {
        let same = self
            .newest
            .as_ref()
            .is_some_and(|(at, newest)| now < *at + SAME_PERIOD && newest == frame);
        if !same {
            self.newest = Some((now, frame.clone()));
        }
        !same
    }
}
