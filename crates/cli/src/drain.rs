//! `tarragonctl drain`. A drain is an entity of the catalogue, so it survives restarts of entries,
//! appears in the history and takes effect everywhere within seconds.

use catalogue::Change;
use error_stack::Report;
use serde_json::{Value, json};

use crate::args::{Connection, Drain};
use crate::client::AdminClient;
use crate::difference::Catalogue;
use crate::edit::Edit;
use crate::failure::Failure;
use crate::output::Output;

/// Kind of the catalogue entity.
const KIND: &str = "drain";

/// Runs the command.
///
/// # Errors
/// See [`Failure`].
pub async fn run(action: &Drain, connection: &Connection) -> Result<Output, Report<Failure>> {
    let admin = AdminClient::new(connection);
    let catalogue: Catalogue = admin.get("catalogue").await?;
    match action {
        Drain::On { upstream, reason } => {
            let value = json!({ "reason": reason });
            let note = format!("drain {upstream}: {reason}");
            set(&admin, connection, &catalogue, upstream, Some(value), note).await
        }
        Drain::Off { upstream } => {
            let known = |entity: &crate::difference::Entity| {
                entity.kind == KIND && entity.name == *upstream
            };
            if !catalogue.entities.iter().any(known) {
                let finding = format!("drain {upstream}: is not in force");
                return Err(Report::new(Failure::Refused(vec![finding])));
            }
            let note = format!("end of the drain of {upstream}");
            set(&admin, connection, &catalogue, upstream, None, note).await
        }
        Drain::List => Ok(list(&catalogue)),
    }
}

async fn set(
    admin: &AdminClient,
    connection: &Connection,
    catalogue: &Catalogue,
    upstream: &str,
    value: Option<Value>,
    note: String,
) -> Result<Output, Report<Failure>> {
    let edit = Edit {
        base_revision: catalogue.revision,
        note,
        changes: vec![Change {
            kind: KIND.to_owned(),
            name: upstream.to_owned(),
            value,
        }],
    };
    let accepted = edit.send(admin, connection).await?;
    Ok(Output::new(
        json!({ "revision": accepted.revision, "upstream": upstream }),
        format!("{upstream}: accepted as revision {}\n", accepted.revision),
    ))
}

fn list(catalogue: &Catalogue) -> Output {
    let drains = catalogue
        .entities
        .iter()
        .filter(|entity| entity.kind == KIND);
    let rows: Vec<_> = drains
        .map(|entity| {
            json!({
                "upstream": entity.name,
                "reason": entity.value["reason"],
                "operator": entity.operator,
                "revision": entity.revision,
            })
        })
        .collect();
    if rows.is_empty() {
        return Output::new(json!([]), "no drains\n".to_owned());
    }
    Output::from_value(Value::Array(rows))
}
