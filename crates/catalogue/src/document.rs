//! Catalogue files and the bodies of the administration API, in YAML or JSON.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use wire::record;

use crate::finding::nearest;
use crate::{Findings, Kind, Revision};

/// One change in a catalogue file or an API request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Kind of the entity.
    pub kind: String,
    /// Name of the entity.
    pub name: String,
    /// Fields of the entity; `null` removes it.
    #[serde(default)]
    pub value: Option<Value>,
}

/// An edit in a catalogue file or an API request. Only `changes` is required in files.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Revision that the edit is based on.
    #[serde(default)]
    pub base_revision: Revision,
    /// Operator who makes the edit.
    #[serde(default)]
    pub operator: String,
    /// Reason for the edit, shown in the history.
    #[serde(default)]
    pub note: String,
    /// Changes of the edit.
    pub changes: Vec<Change>,
}

impl Document {
    /// Parses YAML, of which JSON is a subset.
    ///
    /// # Errors
    ///
    /// One finding with line and column if the text is not a valid document, and one for each
    /// change of unknown kind.
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

    /// Converts the changes to their form in log records.
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
