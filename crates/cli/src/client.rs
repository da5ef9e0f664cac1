//! HTTP client for the administration API.

use awc::Client;
use awc::http::StatusCode;
use error_stack::Report;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::args::Connection;
use crate::failure::Failure;

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Client for the administration API of one entry.
pub struct AdminClient {
    client: Client,
    root: String,
    token: String,
}

impl AdminClient {
    /// Creates a client for a connection.
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

    /// Gets a resource.
    ///
    /// # Errors
    /// If there is no answer, an error answer or an answer of unexpected form.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Report<Failure>> {
        let request = self.client.get(format!("{}/{path}", self.root));
        let sent = request.bearer_auth(&self.token).send().await;
        let mut answer = sent.map_err(|error| self.no_answer(&error.to_string()))?;
        let body = answer.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| self.no_answer(&error.to_string()))?;
        parse(answer.status(), &body)
    }

    /// Posts a value to a resource.
    ///
    /// # Errors
    /// If there is no answer, an error answer or an answer of unexpected form.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &Value,
    ) -> Result<T, Report<Failure>> {
        let request = self.client.post(format!("{}/{path}", self.root));
        let sent = request.bearer_auth(&self.token).send_json(value).await;
        let mut answer = sent.map_err(|error| self.no_answer(&error.to_string()))?;
        let body = answer.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| self.no_answer(&error.to_string()))?;
        parse(answer.status(), &body)
    }

    fn no_answer(&self, detail: &str) -> Report<Failure> {
        Report::new(Failure::NoAnswer(format!("{}: {detail}", self.root)))
    }
}

fn parse<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, Report<Failure>> {
    if !status.is_success() {
        let text = || Value::String(String::from_utf8_lossy(body).into_owned());
        let value = serde_json::from_slice(body).unwrap_or_else(|_| text());
        return Err(Report::new(Failure::from_answer(status.as_u16(), &value)));
    }
    let body = if body.is_empty() { b"null" } else { body };
    serde_json::from_slice(body)
        .map_err(|error| Report::new(Failure::UnexpectedAnswer(error.to_string())))
}
