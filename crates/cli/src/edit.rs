//! Edits of the catalogue and how their result is told.

use catalogue::Change;
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::args::Connection;
use crate::client::AdminClient;
use crate::failure::Failure;

/// The answer to an accepted edit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Accepted {
    /// The revision that it made.
    pub revision: u64,
}

/// An edit about to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// The revision that it is based on.
    pub base_revision: u64,
    /// Why.
    pub note: String,
    /// The changes.
    pub changes: Vec<Change>,
}

impl Edit {
    /// Sends it.
    ///
    /// # Errors
    /// The findings, or who won against it.
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

/// The name under which edits stand in the history. It is never guessed from the account, since
/// shared accounts would make all edits look like one operator's.
fn operator(connection: &Connection) -> Result<&str, Report<Failure>> {
    let missing = "an edit needs a name: --operator or TARRAGON_OPERATOR";
    connection
        .operator
        .as_deref()
        .filter(|name| !name.trim().is_empty())
        .ok_or_else(|| Report::new(Failure::Usage(missing.to_owned())))
}

/// Reads a file whole.
///
/// # Errors
/// The file cannot be read.
pub fn read_file(path: &std::path::Path) -> Result<String, Report<Failure>> {
    std::fs::read_to_string(path)
        .change_context_lazy(|| Failure::Usage(format!("cannot read {}", path.display())))
}

/// Tells a value as JSON.
pub fn to_json(value: &Value) -> String {
    format!("{value:#}\n")
}
