//! Durations as people write them: `250ms`, `3s`, `2m 30s`.

use std::time::Duration;

/// Reads a duration with its unit; a number without a unit is refused, because `5` has been read
/// as seconds by one person and as milliseconds by the next.
pub fn parse(text: &str) -> Option<Duration> {
    if text.trim() == "0" {
        return Some(Duration::ZERO);
    }
    humantime::parse_duration(text).ok()
}
