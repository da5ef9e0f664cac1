//! Owners and their load limits.

use smallvec::SmallVec;

use crate::fields::Fields;
use crate::{Findings, RawEntity};

/// Load limits over all entry instances together; `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Requests per second.
    pub requests_per_second: Option<f64>,
    /// Prompt and generated tokens per second.
    pub tokens_per_second: Option<f64>,
    /// Concurrent requests.
    pub concurrent: Option<u32>,
}

/// An organisation that calls, identified by its bearer keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Owner {
    /// Name within the catalogue.
    pub name: String,
    /// BLAKE3 digests of its bearer keys; several during a key rotation.
    pub keys: SmallVec<[[u8; 32]; 2]>,
    /// Limits over all of its entries together.
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

/// Reads the `limits` of an owner or entry.
pub(crate) fn limits(fields: &mut Fields<'_>) -> Limits {
    fields
        .nested("limits", |node| Limits {
            requests_per_second: node.positive("requests_per_second"),
            tokens_per_second: node.positive("tokens_per_second"),
            concurrent: node.positive_integer("concurrent"),
        })
        .unwrap_or_default()
}
