//! The one table of all settings: what `check` knows, what `docs/SETTINGS.md` says and which
//! defaults apply. A setting that is not here cannot be read.

mod rows;

pub use rows::ROWS;

/// The kind of value that a setting takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ValueKind {
    /// Any text that is not empty.
    Text,
    /// IP number and port.
    Address,
    /// A duration with its unit.
    Duration,
    /// A size in bytes, with an optional binary unit.
    Size,
    /// A whole number of at least one.
    Count,
    /// A level of logging.
    Level,
}

impl ValueKind {
    /// The kind in words, for the page.
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
    /// Path of the key.
    pub key: &'static str,
    /// Kind of its value.
    pub kind: ValueKind,
    /// Default as it would be written; `None` with `required` unset means "off".
    pub default: Option<&'static str>,
    /// Whether the process refuses to start without it.
    pub required: bool,
    /// Variable of the environment that sets it too; only secrets have one.
    pub environment: Option<&'static str>,
    /// What it does, in one or two sentences.
    pub meaning: &'static str,
}

/// Section whose keys belong to the routing policy and are checked by it.
pub const POLICY: &str = "policy";

/// The row of a key.
pub fn row(key: &str) -> Option<&'static Row> {
    ROWS.iter().find(|row| row.key == key)
}

/// Whether a key can be given.
pub fn is_known(key: &str) -> bool {
    row(key).is_some() || policy_key(key).is_some()
}

/// Whether a path is the head of known keys.
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
