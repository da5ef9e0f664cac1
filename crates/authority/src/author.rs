//! The process that wrote a record.

use crate::InstanceId;
use crate::statement::Malformed;
use wire::record;

/// One run of one instance. A restarted instance is another author: it does not know what its
/// predecessor sent, so it may not go on in its name.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Author {
    /// Instance id from the settings.
    pub instance: InstanceId,
    /// Milliseconds since the Unix epoch at which the process started.
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
