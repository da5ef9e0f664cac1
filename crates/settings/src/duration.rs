//! Durations in human-readable form: `250ms`, `3s`, `2m 30s`.

use std::time::Duration;

/// Parses a duration with its unit. A number without a unit is refused, since `5` is ambiguous
/// between seconds and milliseconds.
pub fn parse(text: &str) -> Option<Duration> {
    if text.trim() == "0" {
        return Some(Duration::ZERO);
    }
    humantime::parse_duration(text).ok()
}
