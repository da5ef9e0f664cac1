//! Client for the part of the administration API that a comparison needs: reading the catalogue and
//! editing pools. See [`docs/PLATFORM.md`](../../../docs/PLATFORM.md).

use awc::Client;
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::error::Error;

/// Operator name of a comparison's edits in the history.
const OPERATOR: &str = "tarragon-load";

/// Address and token of the administration API.
#[derive(Clone, Debug)]
pub struct Admin {
    /// URL root, without `/admin/v1`.
    pub url: String,
    /// Bearer token.
    pub token: String,
}

/// The catalogue in force.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Catalogue {
    /// Its revision.
    pub revision: u64,
    /// Its entities.
    pub entities: Vec<Entity>,
}

/// One entity of the catalogue.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Entity {
    /// Kind, such as `pool`.
    pub kind: String,
    /// Name within its kind.
    pub name: String,
    /// Its fields.
    pub value: Value,
}

/// Answer to an accepted edit.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct AcceptedEdit {
    revision: u64,
}

impl Admin {
    /// Reads the catalogue in force at this entry.
    ///
    /// # Errors
    /// There was no answer, or the request was refused.
    pub async fn catalogue(&self, client: &Client) -> Result<Catalogue, Report<Error>> {
        let url = self.endpoint("catalogue");
        let sent = client.get(&url).bearer_auth(&self.token).send().await;
        let mut answer = sent.map_err(|error| self.error(error.to_string()))?;
        let body = answer.body().limit(64 << 20).await;
        let body = body.map_err(|error| self.error(error.to_string()))?;
        self.parse(answer.status().is_success(), &body)
    }

    /// Merges fields into a pool and returns the new revision.
    ///
    /// # Errors
    /// The pool is unknown, or the edit was refused; the findings are attached.
    pub async fn set_pool(
        &self,
        client: &Client,
        pool: &str,
        fields: &Value,
    ) -> Result<u64, Report<Error>> {
        let catalogue = self.catalogue(client).await?;
        let mut value = catalogue
            .entities
            .into_iter()
            .find(|entity| entity.kind == "pool" && entity.name == pool)
            .ok_or_else(|| self.error(format!("no pool `{pool}` in the catalogue")))?
            .value;
        let before = value.clone();
        merge(&mut value, fields);
        if value == before {
            return Ok(catalogue.revision);
        }
        let edit = json!({
            "base_revision": catalogue.revision,
            "operator": OPERATOR,
            "note": "comparison",
            "changes": [{"kind": "pool", "name": pool, "value": value}],
        });
        let url = self.endpoint("catalogue/edits");
        let request = client.post(&url).bearer_auth(&self.token);
        let sent = request.send_json(&edit).await;
        let mut answer = sent.map_err(|error| self.error(error.to_string()))?;
        let body = answer.body().await;
        let body = body.map_err(|error| self.error(error.to_string()))?;
        let accepted: AcceptedEdit = self.parse(answer.status().is_success(), &body)?;
        Ok(accepted.revision)
    }

    fn endpoint(&self, path: &str) -> String {
        format!("{}/admin/v1/{path}", self.url.trim_end_matches('/'))
    }

    fn parse<T: DeserializeOwned>(&self, success: bool, body: &[u8]) -> Result<T, Report<Error>> {
        let text = || String::from_utf8_lossy(body).into_owned();
        if !success {
            return Err(self.error(text()));
        }
        serde_json::from_slice(body)
            .change_context_lazy(|| Error::Admin(self.url.clone()))
            .attach_with(text)
    }

    fn error(&self, detail: String) -> Report<Error> {
        Report::new(Error::Admin(self.url.clone())).attach(detail)
    }
}

/// Merges fields into a value; objects are merged, everything else is replaced.
pub fn merge(value: &mut Value, fields: &Value) {
    match (value, fields) {
        (Value::Object(old), Value::Object(new)) => {
            for (name, field) in new {
                merge(old.entry(name.clone()).or_insert(Value::Null), field);
            }
        }
        (old, new) => *old = new.clone(),
    }
}
