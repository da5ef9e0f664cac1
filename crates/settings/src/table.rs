//! The table of all settings, from which keys are checked, defaults are taken and
//! `docs/SETTINGS.md` is generated. A setting that is not listed cannot be read.

mod rows;

pub use rows::ROWS;

/// Type of the value of a setting.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueKind {
    /// A text that is not empty.
    Text,
    /// An IP address and port.
    Address,
    /// A duration with its unit.
    Duration,
    /// A size in bytes, with an optional binary unit.
    Size,
    /// An integer of at least 1.
    Count,
    /// A log level.
    Level,
}

impl ValueKind {
    /// Name of the type on the settings page.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Text => "text",
            Self::Address => "address",
            Self::Duration => "duration",
            Self::Size => "size",
            Self::Count => "count",
            Self::Level => "level",
        }
    }
}

/// One setting.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// Path of the key, such as `lease.term`.
    pub key: &'static str,
    /// Type of the value.
    pub kind: ValueKind,
    /// Default as it would be written in the file; `None` without `required` means "off".
    pub default: Option<&'static str>,
    /// Whether the process refuses to start without the setting.
    pub required: bool,
    /// Environment variable that also sets it; only secrets have one.
    pub environment: Option<&'static str>,
    /// Description in one or two sentences.
    pub meaning: &'static str,
}

/// Section with overrides of the routing policy, whose keys are checked by `entry`.
pub const POLICY: &str = "policy";

/// Finds the row of a key.
pub fn row(key: &str) -> Option<&'static Row> {
    ROWS.iter().find(|row| row.key == key)
}

/// Whether a key is accepted.
pub fn is_known(key: &str) -> bool {
    row(key).is_some() || policy_key(key).is_some()
}

/// Whether a path is a prefix of known keys.
pub fn is_section(path: &str) -> bool {
    path == POLICY
        || ROWS.iter().any(|row| {
            row.key
                .strip_prefix(path)
                .is_some_and(|rest| rest.starts_with('.'))
        })
}

fn policy_key(key: &str) -> Option<&str> {
    key.strip_prefix(POLICY)?.strip_prefix('.')
}
