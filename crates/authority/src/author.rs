//! The process that wrote a record.

use crate::InstanceId;
use crate::authority_record::Malformed;
use wire::record;

/// One run of one instance. A restarted instance is a different author: it does not know what the
/// earlier run sent and must not continue under its claims.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Author {
    /// Instance id from the settings.
    pub instance: InstanceId,
    /// Start time of the process in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

impl TryFrom<Option<&record::Author>> for Author {
    type Error = Malformed;

    fn try_from(raw: Option<&record::Author>) -> Result<Self, Malformed> {
        let raw = raw.ok_or(Malformed { field: "author" })?;
        if raw.instance.is_empty() {
            return Err(Malformed {
                field: "author.instance",
            });
        }
        Ok(Self {
            instance: raw.instance.clone(),
            incarnation: raw.incarnation,
        })
    }
}

impl From<&Author> for record::Author {
    fn from(author: &Author) -> Self {
        Self {
            instance: author.instance.clone(),
            incarnation: author.incarnation,
        }
    }
}
