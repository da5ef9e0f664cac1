//! Edits of the catalogue, and helpers for files and JSON.

use catalogue::Change;
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::args::Connection;
use crate::client::AdminClient;
use crate::failure::Failure;

/// Answer to an accepted edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Accepted {
    /// Revision of the edit.
    pub revision: u64,
}

/// An edit to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// Revision that the edit is based on.
    pub base_revision: u64,
    /// Reason for the edit, shown in the history.
    pub note: String,
    /// Changes of the edit.
    pub changes: Vec<Change>,
}

impl Edit {
    /// Sends the edit.
    ///
    /// # Errors
    /// If no operator is given, or the edit is refused, in conflict or not answered.
    pub async fn send(
        &self,
        admin: &AdminClient,
        connection: &Connection,
    ) -> Result<Accepted, Report<Failure>> {
        let body = json!({
            "base_revision": self.base_revision,
            "operator": operator(connection)?,
            "note": self.note,
            "changes": self.changes,
        });
        admin.post("catalogue/edits", &body).await
    }
}

/// Returns the operator name for the history. It is not derived from the user account, since with
/// a shared account all edits would appear to be by one operator.
fn operator(connection: &Connection) -> Result<&str, Report<Failure>> {
    let missing = "an edit needs a name: --operator or TARRAGON_OPERATOR";
    connection
        .operator
        .as_deref()
        .filter(|name| !name.trim().is_empty())
        .ok_or_else(|| Report::new(Failure::Usage(missing.to_owned())))
}

/// Reads a text file.
///
/// # Errors
/// If the file cannot be read.
pub fn read_file(path: &std::path::Path) -> Result<String, Report<Failure>> {
    std::fs::read_to_string(path)
        .change_context_lazy(|| Failure::Usage(format!("cannot read {}", path.display())))
}

/// Formats a value as JSON.
pub fn to_json(value: &Value) -> String {
    format!("{value:#}\n")
}
