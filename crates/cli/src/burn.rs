//! `tarragonctl report burn`.

use std::path::Path;

use error_stack::Report;
use serde_json::Value;

use crate::args::{Connection, Reports};
use crate::client::Admin;
use crate::failure::Failure;
use crate::told::Told;

/// Does what was asked.
///
/// # Errors
/// See [`Failure`].
pub async fn run(action: &Reports, connection: &Connection) -> Result<Told, Report<Failure>> {
    let admin = Admin::new(connection);
    let Reports::Burn { html, local } = action;
    let path = if *local { "burn" } else { "burn?merged=1" };
    let value: Value = admin.get(path).await?;
    if let Some(file) = html {
        write_page(file, &value)?;
    }
    Ok(Told::tree(value))
}

fn write_page(_file: &Path, _value: &Value) -> Result<(), Report<Failure>> {
    let detail = "the HTML page is not there yet";
    Err(Report::new(Failure::Usage(detail.to_owned())))
}
