//! The last frames broadcast to the peers, so that unchanged ones are sent less often.

use std::time::Duration;

use clock::Moment;
use wire::peer::{Load, Shares};

/// Interval at which an unchanged frame is repeated. Peers ignore an entry's share of a limit after
/// 1.2 s of silence (docs/design/limits.md), so it has to stay well below that.
const REPEAT_PERIOD: Duration = Duration::from_millis(800);

/// The last frame of each kind.
#[derive(Debug, Default)]
pub(crate) struct LastBroadcasts {
    pub(crate) load: LastBroadcast<Load>,
    pub(crate) shares: LastBroadcast<Shares>,
}

/// The last frame of a kind and when it was sent.
#[derive(Debug, Default)]
pub(crate) struct LastBroadcast<T> {
    last: Option<(Moment, T)>,
}

impl<T: Clone + PartialEq> LastBroadcast<T> {
    /// Whether to send this frame, given the minimum time between frames that differ. If so, it is
    /// recorded as the last one.
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
