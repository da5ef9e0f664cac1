//! Catalogue files and the bodies of the administration API, in YAML or JSON.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wire::record;

use crate::finding::nearest;
use crate::{Findings, Kind, Revision};

/// One change as operators write it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Kind of the entity.
    pub kind: String,
    /// Name of the entity.
    pub name: String,
    /// Its fields; `null` removes it.
    #[serde(default)]
    pub value: Option<Value>,
}

/// An edit as operators write it. In files all but the changes may be missing.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The revision that it is based on.
    #[serde(default)]
    pub base_revision: Revision,
    /// Who makes it.
    #[serde(default)]
    pub operator: String,
    /// Why.
    #[serde(default)]
    pub note: String,
    /// The changes.
    pub changes: Vec<Change>,
}

impl Document {
    /// Reads YAML or JSON, which is YAML as well.
    ///
    /// # Errors
    ///
    /// One finding with line and column if it is no YAML or not of this form, and one for each
    /// change whose kind is unknown.
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        let document: Self = match serde_saphyr::from_str(text) {
            Ok(document) => document,
            Err(error) => {
                findings.add_edit_finding("", error.to_string());
                return Err(findings);
            }
        };
        let kinds = Kind::ALL.map(Kind::label);
        for (position, change) in document.changes.iter().enumerate() {
            if Kind::from_label(&change.kind).is_none() {
                let near = nearest(&change.kind, &kinds).unwrap_or("entry");
                let problem = format!("`{}` is no kind, perhaps `{near}` was meant", change.kind);
                findings.add_edit_finding(&format!("changes[{position}].kind"), problem);
            }
        }
        if findings.is_empty() {
            Ok(document)
        } else {
            Err(findings)
        }
    }

    /// The changes as records carry them.
    pub fn changes(&self) -> Vec<record::Change> {
        let change = |change: &Change| record::Change {
            kind: change.kind.clone(),
            name: change.name.clone(),
            json: change
                .value
                .as_ref()
                .map(Value::to_string)
                .unwrap_or_default(),
        };
        self.changes.iter().map(change).collect()
    }
}

impl From<&Document> for record::Edit {
    fn from(document: &Document) -> Self {
        Self {
            base_revision: document.base_revision,
            operator: document.operator.clone(),
            note: document.note.clone(),
            changes: document.changes(),
        }
    }
}
