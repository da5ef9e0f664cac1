//! Parser for one line of a gateway's log.

use std::time::Duration;

/// A log line: its time, message and fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line<'a> {
    /// Time of day.
    pub logged_at: Duration,
    /// The instance that wrote the line, from the prefix that a file with several logs has.
    pub writer: Option<&'a str>,
    /// Text between the bracket and the first field.
    pub message: &'a str,
    fields: &'a str,
}

impl<'a> Line<'a> {
    /// Parses a line in the format of `env_logger`, with any prefix before its bracket. Returns
    /// `None` for other text.
    pub fn parse(text: &'a str) -> Option<Self> {
        let (head, rest) = text.split_once("] ")?;
        let (before, head) = head.rsplit_once('[')?;
        let time = head.split(' ').next()?;
        let first = rest.find('=')?;
        let start = rest[..first].rfind(' ')?;
        Some(Self {
            logged_at: time_of_day(time)?,
            writer: before.split_whitespace().next_back(),
            message: &rest[..start],
            fields: &rest[start + 1..],
        })
    }

    /// The value of a field, up to its first space.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        let mut words = self.fields.split(' ');
        words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
    }

    /// The value of the line's last field, including spaces.
    pub fn last_field(&self, name: &str) -> Option<&'a str> {
        let at = self.fields.rfind(&format!("{name}="))?;
        Some(self.fields[at + name.len() + 1..].trim())
    }

    /// The value of a field that holds milliseconds.
    pub fn millis(&self, name: &str) -> Option<f64> {
        self.field(name)?.parse().ok()
    }
}

/// Parses `2026-07-13T01:15:44.900Z` and drops the date, since a summary covers minutes.
fn time_of_day(text: &str) -> Option<Duration> {
    let (_, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut parts = time.split(':');
    let hours: u64 = parts.next()?.parse().ok()?;
    let minutes: u64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    if !(0.0..61.0).contains(&seconds) {
        return None;
    }
    Some(Duration::from_secs(hours * 3_600 + minutes * 60) + Duration::from_secs_f64(seconds))
}
