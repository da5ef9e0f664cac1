//! Owners and the limits that bound their load.

use smallvec::SmallVec;

use crate::fields::Fields;
use crate::{Findings, RawEntity};

/// Upper bounds of load over all entry instances together; `None` leaves a dimension unbounded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Requests a second.
    pub requests_per_second: Option<f64>,
    /// Prompt and generated tokens a second.
    pub tokens_per_second: Option<f64>,
    /// Requests in hand at the same time.
    pub concurrent: Option<u32>,
}

/// An organisation that calls, known by its bearer keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Owner {
    /// Name within the catalogue.
    pub name: String,
    /// blake3 digests of its bearer keys; several while a key is being rotated.
    pub keys: SmallVec<[[u8; 32]; 2]>,
    /// Bounds over all of its entries together.
    pub limits: Limits,
}

impl TryFrom<&RawEntity<'_>> for Owner {
    type Error = Findings;

    fn try_from(raw: &RawEntity<'_>) -> Result<Self, Findings> {
        let mut fields = Fields::open(raw)?;
        let keys = digests(&mut fields);
        let limits = limits(&mut fields);
        fields.finish(Self {
            name: raw.name.to_owned(),
            keys,
            limits,
        })
    }
}

fn digests(fields: &mut Fields<'_>) -> SmallVec<[[u8; 32]; 2]> {
    let words: Vec<String> = fields.required("keys").unwrap_or_default();
    let mut digests = SmallVec::new();
    for (position, word) in words.iter().enumerate() {
        let path = format!("keys[{position}]");
        match blake3::Hash::from_hex(word) {
            Ok(hash) if digests.contains(hash.as_bytes()) => {
                fields.report(&path, "stands twice");
            }
            Ok(hash) => digests.push(*hash.as_bytes()),
            Err(_) => fields.report(&path, "must be the blake3 digest of the key, 64 hex digits"),
        }
    }
    digests
}

/// Reads `limits`, which owners and entries share.
pub(crate) fn limits(fields: &mut Fields<'_>) -> Limits {
    fields
        .nested("limits", |node| Limits {
            requests_per_second: node.positive("requests_per_second"),
            tokens_per_second: node.positive("tokens_per_second"),
            concurrent: node.positive_integer("concurrent"),
        })
        .unwrap_or_default()
}
