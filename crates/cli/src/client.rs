//! The HTTP client of the administration API.

use awc::Client;
use awc::http::StatusCode;
use error_stack::Report;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::args::Connection;
use crate::failure::Failure;

/// Most bytes of an answer.
const LONGEST_ANSWER: usize = 256 << 20;

/// A client of one entry's administration API.
pub struct Admin {
    client: Client,
    root: String,
    token: String,
}

impl Admin {
    /// A client for this connection.
    pub fn new(connection: &Connection) -> Self {
        let address = connection.address.trim_end_matches('/');
        let root = if address.contains("://") {
            address.to_owned()
        } else {
            format!("http://{address}")
        };
        let client = Client::builder()
            .timeout(connection.timeout)
            .disable_redirects()
            .finish();
        Self {
            client,
            root: format!("{root}/admin/v1"),
            token: connection.token.clone(),
        }
    }

    /// Reads a resource.
    ///
    /// # Errors
    /// The failure that the answer, or its absence, tells.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Report<Failure>> {
        let request = self.client.get(format!("{}/{path}", self.root));
        let sent = request.bearer_auth(&self.token).send().await;
        let mut answer = sent.map_err(|error| self.unanswered(&error.to_string()))?;
        let body = answer.body().limit(LONGEST_ANSWER).await;
        let body = body.map_err(|error| self.unanswered(&error.to_string()))?;
        read(answer.status(), &body)
    }

    /// Sends a value to a resource.
    ///
    /// # Errors
    /// The failure that the answer, or its absence, tells.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &Value,
    ) -> Result<T, Report<Failure>> {
        let request = self.client.post(format!("{}/{path}", self.root));
        let sent = request.bearer_auth(&self.token).send_json(value).await;
        let mut answer = sent.map_err(|error| self.unanswered(&error.to_string()))?;
        let body = answer.body().limit(LONGEST_ANSWER).await;
        let body = body.map_err(|error| self.unanswered(&error.to_string()))?;
        read(answer.status(), &body)
    }

    fn unanswered(&self, detail: &str) -> Report<Failure> {
        Report::new(Failure::Unanswered(format!("{}: {detail}", self.root)))
    }
}

fn read<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, Report<Failure>> {
    if !status.is_success() {
        let text = || Value::String(String::from_utf8_lossy(body).into_owned());
        let value = serde_json::from_slice(body).unwrap_or_else(|_| text());
        return Err(Report::new(Failure::from_answer(status.as_u16(), &value)));
    }
    let body = if body.is_empty() { b"null" } else { body };
    serde_json::from_slice(body)
        .map_err(|error| Report::new(Failure::Misunderstood(error.to_string())))
}
