//! One thread's HTTP client towards upstreams, with answers matched to requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::error::PayloadError;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{BoxedPayloadStream, Method, Payload, StatusCode};
use actix_rt::time::timeout;
use awc::{Client as Http, ClientResponse};
use bytes::Bytes;
use futures_util::{FutureExt as _, Stream, StreamExt as _};
use settings::sections::Upstream as Options;

use crate::body_buffer::{BodyBuffer, TooLarge};
use crate::front::headers;
use crate::upstream::failure::Failure;

/// What to send where.
#[derive(Debug)]
pub struct Call<'a> {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub target: &'a str,
    /// Headers, complete but for the request id and those of the body.
    pub headers: HeaderMap,
    /// Request id, which the answer must carry.
    pub request: HeaderValue,
    /// Time until the head of the answer has to be there.
    pub timeout: Duration,
}

/// A client of one thread. Clones share connections.
#[derive(Clone)]
pub struct Client {
    options: Rc<Options>,
    http: Rc<RefCell<Http>>,
}

impl Client {
    /// A client without connections.
    pub fn new(options: &Options) -> Self {
        Self {
            http: Rc::new(RefCell::new(connections(options))),
            options: Rc::new(options.clone()),
        }
    }

    /// Sends a call and gives its answer once the head is there. An answer that carries another
    /// request's id is dropped here; one without an id is for the caller to judge, by
    /// [`Answer::is_matched`].
    ///
    /// # Errors
    ///
    /// No answer that may be used; [`Failure::ran`] says what is certain.
    pub async fn send(&self, call: Call<'_>, body: Bytes) -> Result<Answer, Failure> {
        let Call {
            address,
            method,
            target,
            headers: map,
            request,
            timeout: limit,
        } = call;
        let http = self.http.borrow().clone();
        let mut builder = http
            .request(method, format!("http://{address}{target}"))
            .no_decompress();
        *builder.headers_mut() = map;
        builder
            .headers_mut()
            .insert(headers::REQUEST_ID, request.clone());
        let response = timeout(limit, builder.send_body(body))
            .await
            .map_err(|_| Failure::TimedOut)?
            .map_err(|error| Failure::from_client_error(&error))?;
        let answer = Answer::new(response);
        let id = answer.headers().get(headers::REQUEST_ID);
        if id.is_none_or(|id| *id == request) {
            return Ok(answer);
        }
        // An answer that is not ours means that this connection, and perhaps others to the same
        // upstream, are out of step: the next answer would be wrong as well. Dropping the answer
        // closes its connection, unless it had no body and went back to the pool already; so the
        // idle connections go too.
        drop(answer);
        *self.http.borrow_mut() = connections(&self.options);
        Err(Failure::Crossed)
    }

    /// Sends a small call of the entry's own, such as a cancellation, and reads its answer.
    ///
    /// # Errors
    ///
    /// As for [`Self::send`].
    pub async fn send_and_read(
        &self,
        call: Call<'_>,
        body: Bytes,
        limit: usize,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let time = call.timeout;
        let mut answer = self.send(call, body).await?;
        let body = timeout(time, answer.read_all(limit))
            .await
            .map_err(|_| Failure::TimedOut)??;
        Ok((answer.status(), body))
    }
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").finish_non_exhaustive()
    }
}

/// The head and the open body of an answer. Its connection is used again when the body was read to
/// its end, and is closed when the answer is dropped before.
pub struct Answer {
    response: ClientResponse<BoxedPayloadStream>,
    /// Nothing more comes; the client must not be asked again then.
    ended: bool,
}

impl Answer {
    fn new<S>(response: ClientResponse<S>) -> Self
    where
        S: Stream<Item = Result<Bytes, PayloadError>> + 'static,
    {
        let response = response.map_body(|_, payload| Payload::Stream {
            payload: Box::pin(payload) as BoxedPayloadStream,
        });
        Self {
            response,
            ended: false,
        }
    }

    /// Its status.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Its headers.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Whether it says that it belongs to the request.
    pub fn is_matched(&self, request: &HeaderValue) -> bool {
        self.headers().get(headers::REQUEST_ID) == Some(request)
    }

    /// The next part of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The connection broke before the end. The answer is over then.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        if self.ended {
            return Ok(None);
        }
        let item = self.response.next().await;
        self.ended = !matches!(item, Some(Ok(_)));
        match item {
            None => Ok(None),
            Some(Ok(chunk)) => Ok(Some(chunk)),
            Some(Err(error)) => Err(Failure::Lost(error.to_string())),
        }
    }

    /// What [`Self::chunk`] gives if it need not wait.
    pub fn ready_chunk(&mut self) -> Option<Result<Option<Bytes>, Failure>> {
        self.chunk().now_or_never()
    }

    /// Reads the rest of the body into memory.
    ///
    /// # Errors
    ///
    /// The connection broke, or the body is larger than `limit` bytes.
    pub async fn read_all(&mut self, limit: usize) -> Result<Bytes, Failure> {
        let mut body = BodyBuffer::new(limit);
        while let Some(chunk) = self.chunk().await? {
            body.push(chunk).map_err(|TooLarge| Failure::TooLarge)?;
        }
        Ok(body.finish())
    }
}

impl std::fmt::Debug for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answer")
            .field("status", &self.status())
            .finish_non_exhaustive()
    }
}

/// A header whose value is a number.
pub fn number_value(value: u64) -> HeaderValue {
    HeaderValue::from(value)
}

/// A header map from a few pairs.
pub fn header_map<const N: usize>(pairs: [(HeaderName, HeaderValue); N]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(N);
    for (name, value) in pairs {
        map.insert(name, value);
    }
    map
}

/// Redirects are off because a followed one sends a call twice, decompression because bodies pass
/// through as they are, and the limit of connections because admission is the router's matter.
fn connections(options: &Options) -> Http {
    let connector = dial::connector()
        .timeout(options.connect)
        .handshake_timeout(options.connect)
        .conn_keep_alive(options.idle)
        .limit(0);
    Http::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}
