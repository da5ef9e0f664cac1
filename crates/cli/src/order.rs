//! `tarragonctl order`: planned changes of engines, carried out by the holder of the pool's lease.

use error_stack::Report;
use serde_json::{Value, json};

use crate::args::{Connection, Model, Order, Submit};
use crate::client::AdminClient;
use crate::failure::Failure;
use crate::output::Output;

/// Runs the command.
///
/// # Errors
/// See [`Failure`].
pub async fn run(action: &Order, connection: &Connection) -> Result<Output, Report<Failure>> {
    let admin = AdminClient::new(connection);
    match action {
        Order::List => Ok(Output::from_value(admin.get("orders").await?)),
        Order::Submit(change) => Ok(Output::from_value(
            admin.post("orders", &body(change)).await?,
        )),
    }
}

/// Builds the request body of a change.
pub fn body(change: &Submit) -> Value {
    match change {
        Submit::SetRole { upstream, role } => {
            json!({ "upstream": upstream, "kind": "set_role", "role": role })
        }
        Submit::LoadModel(model) => with_model("load_model", model),
        Submit::UnloadModel(model) => with_model("unload_model", model),
    }
}

fn with_model(kind: &str, model: &Model) -> Value {
    json!({
        "upstream": model.upstream,
        "kind": kind,
        "model": model.model,
        "version": model.version,
        "adapter": model.adapter,
    })
}
