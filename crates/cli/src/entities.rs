//! `tarragonctl catalogue`.

use std::path::Path;

use catalogue::Document;
use error_stack::Report;
use serde_json::{Value, json};

use crate::args::{Apply, Catalogue, Connection};
use crate::client::AdminClient;
use crate::difference::{self, Difference};
use crate::edit::{Edit, read_file};
use crate::failure::Failure;
use crate::output::Output;

/// Runs the command.
///
/// # Errors
/// See [`Failure`].
pub async fn run(action: &Catalogue, connection: &Connection) -> Result<Output, Report<Failure>> {
    let admin = AdminClient::new(connection);
    match action {
        Catalogue::Check { file } => check(&admin, file).await,
        Catalogue::Apply(options) => apply(&admin, connection, options).await,
        Catalogue::Get { kind, name } => get(&admin, kind.as_deref(), name.as_deref()).await,
        Catalogue::History => Ok(Output::from_value(admin.get("catalogue/history").await?)),
    }
}

async fn check(admin: &AdminClient, file: &Path) -> Result<Output, Report<Failure>> {
    let document = parse(file)?;
    let body = json!({ "changes": document.changes });
    let answer: Value = admin.post("catalogue/check", &body).await?;
    let found = answer["findings"]
        .as_array()
        .is_some_and(|found| !found.is_empty());
    if found {
        let findings = crate::failure::findings(&answer);
        return Err(Report::new(Failure::Refused(findings)));
    }
    let count = document.changes.len();
    Ok(Output::new(
        json!({ "findings": [], "entities": count }),
        format!("{count} entities, no findings\n"),
    ))
}

async fn apply(
    admin: &AdminClient,
    connection: &Connection,
    options: &Apply,
) -> Result<Output, Report<Failure>> {
    let document = parse(&options.file)?;
    let in_force: difference::Catalogue = admin.get("catalogue").await?;
    let differences = difference::between(&document, &in_force, options.prune);
    let listing = listing(&differences);
    if differences.is_empty() || options.dry_run {
        let text = format!("{listing}nothing sent, revision {}\n", in_force.revision);
        let value = json!({ "revision": in_force.revision, "sent": false, "changes": differences });
        return Ok(Output::new(value, text));
    }
    let note = options
        .note
        .clone()
        .unwrap_or_else(|| document.note.clone());
    let edit = Edit {
        base_revision: in_force.revision,
        note,
        changes: differences
            .iter()
            .map(|entry| entry.change.clone())
            .collect(),
    };
    let accepted = edit.send(admin, connection).await?;
    let text = format!("{listing}accepted as revision {}\n", accepted.revision);
    let value = json!({ "revision": accepted.revision, "sent": true, "changes": differences });
    Ok(Output::new(value, text))
}

async fn get(
    admin: &AdminClient,
    kind: Option<&str>,
    name: Option<&str>,
) -> Result<Output, Report<Failure>> {
    let mut catalogue: difference::Catalogue = admin.get("catalogue").await?;
    catalogue.entities.retain(|entity| {
        kind.is_none_or(|kind| entity.kind == kind) && name.is_none_or(|name| entity.name == name)
    });
    if let (Some(kind), Some(name), true) = (kind, name, catalogue.entities.is_empty()) {
        let finding = format!("{kind} {name}: is not in the catalogue");
        return Err(Report::new(Failure::Refused(vec![finding])));
    }
    // JSON is valid YAML, so the output with one change per line can be edited and applied.
    let mut text = format!("# revision {}\nchanges:\n", catalogue.revision);
    for entity in &catalogue.entities {
        let change = json!({"kind": entity.kind, "name": entity.name, "value": entity.value});
        text.push_str(&format!("  - {change}\n"));
    }
    Ok(Output::new(json!(catalogue), text))
}

fn parse(file: &Path) -> Result<Document, Report<Failure>> {
    Document::parse(&read_file(file)?).map_err(|findings| {
        let lines = findings.iter().map(ToString::to_string).collect();
        Report::new(Failure::Refused(lines))
    })
}

fn listing(differences: &[Difference]) -> String {
    let line = |entry: &Difference| {
        let change = &entry.change;
        format!("{} {} {}\n", entry.act.sign(), change.kind, change.name)
    };
    differences.iter().map(line).collect()
}
