//! The process that holds a claim.

use wire::record::Author;

/// One run of one instance. A restarted instance is a different holder: it does not know what the
/// earlier run sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    /// Instance id from the settings.
    pub instance: String,
    /// Start time of the process in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

impl From<&Author> for Holder {
    fn from(author: &Author) -> Self {
        Self {
            instance: author.instance.clone(),
            incarnation: author.incarnation,
        }
    }
}

impl From<&Holder> for Author {
    fn from(holder: &Holder) -> Self {
        Self {
            instance: holder.instance.clone(),
            incarnation: holder.incarnation,
        }
    }
}
