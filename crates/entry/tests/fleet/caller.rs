//! HTTP client of the tests.

use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_rt::time::timeout;
use awc::ClientRequest;
use awc::error::SendRequestError;
use futures_util::StreamExt as _;
use serde_json::{Value, json};

/// Time limit of a request.
const TIMEOUT: Duration = Duration::from_secs(40);

/// A caller of one owner at one address.
#[derive(Clone)]
pub(crate) struct Caller {
    client: awc::Client,
    pub(crate) base: String,
    key: String,
}

/// Keeps a connection open.
pub(crate) type OpenConnection = Box<dyn std::any::Any>;

/// A complete answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    /// The body as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// A header as text.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// The text of a whole completion.
    pub(crate) fn text(&self) -> String {
        self.json()["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// The `ran` member of an error.
    pub(crate) fn ran(&self) -> String {
        self.json()["ran"].as_str().unwrap_or_default().to_owned()
    }
}

/// The part of a stream that a caller has received.
#[derive(Clone, Debug, Default)]
pub(crate) struct Streamed {
    pub(crate) status: u16,
    /// Ids of the events.
    pub(crate) ids: Vec<String>,
    /// Text of the tokens received.
    pub(crate) text: String,
    /// Whether `[DONE]` was received.
    pub(crate) done: bool,
    /// The error, from an error event or an error answer.
    pub(crate) error: Option<Value>,
}

impl Streamed {
    /// Appends the next part.
    pub(crate) fn extend(&mut self, more: Self) {
        self.status = more.status;
        self.ids.extend(more.ids);
        self.text.push_str(&more.text);
        self.done = more.done;
        self.error = more.error;
    }

    fn event(&mut self, event: &str) {
        let mut failed = false;
        for line in event.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                self.ids.push(id.to_owned());
            } else if line == "event: error" {
                failed = true;
            } else if line == "data: [DONE]" {
                self.done = true;
            } else if let Some(data) = line.strip_prefix("data: ") {
                let value: Value = serde_json::from_str(data).unwrap();
                if failed {
                    self.error = Some(value["error"].clone());
                } else if let Some(text) = value["choices"][0]["text"].as_str() {
                    self.text.push_str(text);
                }
            }
        }
    }
}

impl Caller {
    pub(crate) fn new(address: &str, key: &str) -> Self {
        let connector = awc::Connector::new().limit(0);
        Self {
            client: awc::Client::builder()
                .connector(connector)
                .timeout(TIMEOUT)
                .finish(),
            base: format!("http://{address}"),
            key: key.to_owned(),
        }
    }

    /// The same caller at another address.
    pub(crate) fn at(&self, address: &str) -> Self {
        Self::new(address, &self.key)
    }

    pub(crate) fn request(&self, method: &str, path: &str) -> ClientRequest {
        let method = method.parse().unwrap();
        let request = self
            .client
            .request(method, format!("{}{path}", self.base))
            .no_decompress();
        match self.key.as_str() {
            "" => request,
            key => request.bearer_auth(key),
        }
    }

    pub(crate) async fn get(&self, path: &str) -> Result<Answer, SendRequestError> {
        self.send(self.request("GET", path), Vec::new()).await
    }

    pub(crate) async fn post(
        &self,
        path: &str,
        body: impl Into<Vec<u8>>,
    ) -> Result<Answer, SendRequestError> {
        self.send(self.request("POST", path), body.into()).await
    }

    /// A call with an idempotency key and, optionally, an attempt number.
    pub(crate) async fn keyed(
        &self,
        path: &str,
        key: &str,
        attempt: Option<u32>,
        body: &str,
    ) -> Result<Answer, SendRequestError> {
        let mut request = self
            .request("POST", path)
            .insert_header(("idempotency-key", key));
        if let Some(attempt) = attempt {
            request = request.insert_header(("idempotency-attempt", attempt.to_string()));
        }
        self.send(request, body.as_bytes().to_vec()).await
    }

    pub(crate) async fn send(
        &self,
        request: ClientRequest,
        body: Vec<u8>,
    ) -> Result<Answer, SendRequestError> {
        let mut answer = request.send_body(body).await?;
        let bytes = answer
            .body()
            .limit(64 << 20)
            .await
            .map_err(|_| SendRequestError::Timeout)?;
        Ok(Answer {
            status: answer.status().as_u16(),
            headers: answer.headers().clone(),
            body: bytes.to_vec(),
        })
    }

    /// A whole completion.
    pub(crate) async fn complete(
        &self,
        model: &str,
        prompt: &str,
        tokens: u32,
    ) -> Result<Answer, SendRequestError> {
        let body = json!({ "model": model, "prompt": prompt, "max_tokens": tokens });
        self.post("/v1/completions", body.to_string()).await
    }

    /// A streamed completion, read to its end or until `most` events were received.
    pub(crate) async fn stream(
        &self,
        model: &str,
        prompt: &str,
        tokens: u32,
        most: usize,
    ) -> Streamed {
        let body = json!({
            "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        self.read(
            self.request("POST", "/v1/completions"),
            body.to_string(),
            most,
        )
        .await
    }

    /// A streamed completion of which `most` events are read. The connection stays open until the
    /// second value is dropped, which cancels the stream.
    pub(crate) async fn begin(
        &self,
        prompt: &str,
        tokens: u32,
        most: usize,
    ) -> (Streamed, OpenConnection) {
        let body = json!({
            "model": "kiosk", "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let request = self.request("POST", "/v1/completions");
        let mut answer = request.send_body(body.to_string()).await.unwrap();
        let streamed = collect(&mut answer, most).await;
        (streamed, Box::new(answer))
    }

    /// Like [`Self::stream`], abandoned after a time without data.
    pub(crate) async fn stream_until_silent(
        &self,
        prompt: &str,
        tokens: u32,
        silence: Duration,
    ) -> Streamed {
        let body = json!({
            "model": "kiosk", "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let request = self.request("POST", "/v1/completions");
        read_until_silent(request, body.to_string(), silence).await
    }

    /// Like [`Self::resume`], abandoned after a time without data.
    pub(crate) async fn resume_until_silent(&self, last: &str, silence: Duration) -> Streamed {
        let request = self
            .request("GET", "/v1/completions")
            .insert_header(("last-event-id", last));
        read_until_silent(request, String::new(), silence).await
    }

    /// The rest of a stream after the last event received.
    pub(crate) async fn resume(&self, last: &str) -> Streamed {
        let request = self
            .request("GET", "/v1/completions")
            .insert_header(("last-event-id", last));
        self.read(request, String::new(), usize::MAX).await
    }

    async fn read(&self, request: ClientRequest, body: String, most: usize) -> Streamed {
        let mut streamed = Streamed::default();
        let Ok(mut answer) = request.send_body(body).await else {
            return streamed;
        };
        streamed.status = answer.status().as_u16();
        if streamed.status != 200 {
            let body = answer.body().await.unwrap_or_default();
            streamed.error = serde_json::from_slice(&body).ok();
            return streamed;
        }
        collect(&mut answer, most).await
    }
}

async fn read_until_silent(request: ClientRequest, body: String, silence: Duration) -> Streamed {
    let mut streamed = Streamed::default();
    let sent = timeout(silence, request.send_body(body)).await;
    let Ok(Ok(mut answer)) = sent else {
        return streamed;
    };
    streamed.status = answer.status().as_u16();
    if streamed.status != 200 {
        let body = answer.body().await.unwrap_or_default();
        streamed.error = serde_json::from_slice(&body).ok();
        return streamed;
    }
    let mut rest = String::new();
    while let Ok(Some(Ok(chunk))) = timeout(silence, answer.next()).await {
        rest.push_str(std::str::from_utf8(&chunk).unwrap());
        while let Some(end) = rest.find("\n\n") {
            let event: String = rest.drain(..end + 2).collect();
            streamed.event(&event);
        }
    }
    streamed
}

async fn collect<S>(answer: &mut awc::ClientResponse<S>, most: usize) -> Streamed
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut streamed = Streamed {
        status: answer.status().as_u16(),
        ..Streamed::default()
    };
    let mut rest = String::new();
    while let Some(Ok(chunk)) = answer.next().await {
        rest.push_str(std::str::from_utf8(&chunk).unwrap());
        while let Some(end) = rest.find("\n\n") {
            let event: String = rest.drain(..end + 2).collect();
            streamed.event(&event);
            if streamed.ids.len() >= most {
                return streamed;
            }
        }
    }
    streamed
}
