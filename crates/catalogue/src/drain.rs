//! Operators' drains of upstreams.

use crate::fields::Fields;
use crate::{Findings, RawEntity};

/// An upstream that gets no new work while this stands; its name is the id of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Id of the upstream in the instance list.
    pub name: String,
    /// Why, for the other operators.
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
