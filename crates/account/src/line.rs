//! One line of a gateway's log.

use std::time::Duration;

/// A line: when it was written, what it says and its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line<'a> {
    /// Time of day.
    pub at: Duration,
    /// What stands before the line, where several logs are in one file: the instance that wrote it.
    pub writer: Option<&'a str>,
    /// Text before the fields, with the module that wrote it.
    pub says: &'a str,
    fields: &'a str,
}

impl<'a> Line<'a> {
    /// Reads a line as `env_logger` writes it; what stands before its bracket does not matter. Gives none for other
    /// text.
    pub fn read(text: &'a str) -> Option<Self> {
        let (head, rest) = text.split_once("] ")?;
        let (before, head) = head.rsplit_once('[')?;
        let time = head.split(' ').next()?;
        let first = rest.find('=')?;
        let start = rest[..first].rfind(' ')?;
        Some(Self {
            at: time_of_day(time)?,
            writer: before.split_whitespace().next_back(),
            says: &rest[..start],
            fields: &rest[start + 1..],
        })
    }

    /// The value of a field. One with spaces in it ends at the first.
    pub fn field(&self, name: &str) -> Option<&'a str> {
        let mut words = self.fields.split(' ');
        words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
    }

    /// The value of a line's last field, with its spaces.
    pub fn last(&self, name: &str) -> Option<&'a str> {
        let at = self.fields.rfind(&format!("{name}="))?;
        Some(self.fields[at + name.len() + 1..].trim())
    }

    /// The value of a field that holds milliseconds.
    pub fn millis(&self, name: &str) -> Option<f64> {
        self.field(name)?.parse().ok()
    }
}

/// `2026-07-13T01:15:44.900Z`, without the day: an account is of minutes.
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
