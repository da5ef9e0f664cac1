//! `tarragonctl report burn`; see `docs/BURN.md`.

use std::path::Path;

use error_stack::{Report, ResultExt};
use serde_json::Value;

use crate::args::{Connection, Reports};
use crate::client::AdminClient;
use crate::failure::Failure;
use crate::output::Output;

/// Runs the command.
///
/// # Errors
/// See [`Failure`].
pub async fn run(action: &Reports, connection: &Connection) -> Result<Output, Report<Failure>> {
    let admin = AdminClient::new(connection);
    let Reports::Burn { html, local } = action;
    let path = if *local { "burn" } else { "burn?merged=1" };
    let value: Value = admin.get(path).await?;
    let burn: report::Report = serde_json::from_value(value.clone())
        .map_err(|error| Report::new(Failure::UnexpectedAnswer(error.to_string())))?;
    if let Some(file) = html {
        write_page(file, &burn)?;
    }
    Ok(Output::new(value, burn.text()))
}

fn write_page(file: &Path, burn: &report::Report) -> Result<(), Report<Failure>> {
    let failed = || Failure::Usage(format!("cannot write {}", file.display()));
    std::fs::write(file, burn.html()).change_context_lazy(failed)
}
