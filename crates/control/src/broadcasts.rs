//! What the peers were told last, so that the same is not told again and again.

use std::time::Duration;

use clock::Moment;
use wire::peer::{Load, Shares};

/// Time after which a frame goes out again although it says the same. Peers take an entry's share
/// of a limit for silent after 1.2 s (docs/design/limits.md), so it has to stay well below that.
const REPEAT_PERIOD: Duration = Duration::from_millis(800);

/// The newest frames of each kind.
#[derive(Debug, Default)]
pub(crate) struct LastBroadcasts {
    pub(crate) load: LastBroadcast<Load>,
    pub(crate) shares: LastBroadcast<Shares>,
}

/// The newest frame of one kind and when it went out.
#[derive(Debug, Default)]
pub(crate) struct LastBroadcast<T> {
    last: Option<(Moment, T)>,
}

impl<T: Clone + PartialEq> LastBroadcast<T> {
    /// Whether this frame has to go out, given the least time between two that differ; if so it
    /// counts as the newest.
    pub(crate) fn is_due(&mut self, now: Moment, spacing: Duration, frame: &T) -> bool {
        let due = match &self.last {
            Some((at, newest)) if newest == frame => now >= *at + REPEAT_PERIOD.max(spacing),
            Some((at, _)) => now >= *at + spacing,
            None => true,
        };
        if due {
            self.last = Some((now, frame.clone()));
        }
        due
    }
}
