//! Drains of upstreams, requested by operators.

use crate::fields::Fields;
use crate::{Findings, RawEntity};

/// Keeps new work away from an upstream for as long as the entity exists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Id of the upstream in the instance list, which is also the name of the entity.
    pub name: String,
    /// Reason for the drain, shown to other operators.
    pub reason: String,
}

impl TryFrom<&RawEntity<'_>> for Drain {
    type Error = Findings;

    fn try_from(raw: &RawEntity<'_>) -> Result<Self, Findings> {
        let mut fields = Fields::open(raw)?;
        let reason = fields.required("reason").unwrap_or_default();
        fields.finish(Self {
            name: raw.name.to_owned(),
            reason,
        })
    }
}
