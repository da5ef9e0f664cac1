//! Per-thread HTTP client for upstreams that matches answers to requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::error::PayloadError;
use actix_http::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use actix_http::{BoxedPayloadStream, Method, Payload, StatusCode, Version};
use actix_rt::time::timeout;
use awc::{Client as Http, ClientResponse};
use bytes::Bytes;
use futures_util::{FutureExt as _, Stream, StreamExt as _};
use settings::sections::Upstream as Options;

use crate::body_buffer::{BodyBuffer, TooLarge};
use crate::front::body::content_length;
use crate::front::headers;
use crate::memory_budget::{MemoryBudget, ROOM_POLL_INTERVAL, Reservation, Shortage};
use crate::upstream::failure::Failure;

/// A request to an upstream.
#[derive(Debug)]
pub struct Call<'a> {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: &'a str,
    /// Headers, except the request id and those of the body.
    pub headers: HeaderMap,
    /// Request id, which the answer must echo.
    pub request: HeaderValue,
    /// Time limit until the head of the answer.
    pub timeout: Duration,
}

/// HTTP client of one thread. Clones share connections.
#[derive(Clone)]
pub struct Client {
    options: Rc<Options>,
    http: Rc<RefCell<Http>>,
}

impl Client {
    /// Creates a client; connections are opened on demand.
    pub fn new(options: &Options) -> Self {
        Self {
            http: Rc::new(RefCell::new(new_http_client(options))),
            options: Rc::new(options.clone()),
        }
    }

    /// Sends a call and returns its answer once the head has arrived. An answer with another
    /// request's id is an error; for one without an id see [`Answer::is_matched`].
    ///
    /// # Errors
    ///
    /// There is no usable answer; [`Failure::ran`] tells whether the call may have run.
    pub async fn send(&self, call: Call<'_>, body: Bytes) -> Result<Answer, Failure> {
        let bodiless = call.method == Method::HEAD;
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
        if !bodiless && answer.has_hidden_body() {
            // Its connection is back in the pool, with the body still to come.
            *self.http.borrow_mut() = new_http_client(&self.options);
            let why = "the answer has neither a length nor chunks";
            return Err(Failure::Lost(why.to_owned()));
        }
        let id = answer.headers().get(headers::REQUEST_ID);
        if id.is_none_or(|id| *id == request) {
            return Ok(answer);
        }
        // A mismatched answer means that requests and answers on this connection, and perhaps on
        // others to the same upstream, are out of sync, so that later answers would be wrong too.
        // Dropping the answer closes its connection, unless it had no body and the connection is
        // back in the pool already; so the idle connections are dropped as well.
        drop(answer);
        *self.http.borrow_mut() = new_http_client(&self.options);
        Err(Failure::Crossed)
    }

    /// Sends a small internal call, such as a cancellation, and reads its whole answer.
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

/// The head and the unread body of an answer. The connection is reused after the body was read to
/// its end and closed if the answer is dropped before.
pub struct Answer {
    response: ClientResponse<BoxedPayloadStream>,
    /// The body has ended and must not be polled again.
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

    /// HTTP status.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// HTTP headers.
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Whether the answer carries the id of the request.
    pub fn is_matched(&self, request: &HeaderValue) -> bool {
        self.headers().get(headers::REQUEST_ID) == Some(request)
    }

    /// Whether the body ends with the connection, which the HTTP library takes for an empty body.
    fn has_hidden_body(&self) -> bool {
        let status = self.status();
        let has_none = status.is_informational()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        let is_delimited = self.headers().contains_key(CONTENT_LENGTH)
            || self.headers().contains_key(TRANSFER_ENCODING);
        !has_none && !is_delimited && self.response.version() == Version::HTTP_11
    }

    /// Reads the next chunk of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// The connection broke before the end; no further chunk follows.
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

    /// The result of [`Self::chunk`] if it is available without waiting.
    pub fn ready_chunk(&mut self) -> Option<Result<Option<Bytes>, Failure>> {
        self.chunk().now_or_never()
    }

    /// Reads the rest of the body into memory.
    ///
    /// # Errors
    ///
    /// The connection broke, or the body exceeds `limit` bytes.
    pub async fn read_all(&mut self, limit: usize) -> Result<Bytes, Failure> {
        let mut body = BodyBuffer::new(limit);
        while let Some(chunk) = self.chunk().await? {
            body.push(chunk).map_err(|TooLarge| Failure::TooLarge)?;
        }
        Ok(body.finish())
    }

    /// As [`Answer::read_all`], for an answer that is passed on whole. Waits until there is memory for it;
    /// meanwhile it stays in the upstream's connection.
    ///
    /// # Errors
    ///
    /// As [`Answer::read_all`].
    pub async fn read_whole(
        &mut self,
        limit: usize,
        memory: &Arc<MemoryBudget>,
    ) -> Result<Bytes, Failure> {
        let mut memory = memory.open(ANSWER_COPIES);
        let announced = content_length(self.headers()).unwrap_or_default();
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        reserve(&mut memory, announced.min(limit)).await;
        let mut body = BodyBuffer::new(limit);
        while let Some(chunk) = self.chunk().await? {
            reserve(&mut memory, body.size() + chunk.len()).await;
            body.push(chunk).map_err(|TooLarge| Failure::TooLarge)?;
        }
        Ok(memory.attach(body.finish()))
    }
}

/// Copies of a whole answer: as it was received, and in the buffer of the caller's connection.
const ANSWER_COPIES: usize = 2;

async fn reserve(memory: &mut Reservation, size: usize) {
    while memory.grow(size) == Err(Shortage) {
        actix_rt::time::sleep(ROOM_POLL_INTERVAL).await;
    }
}

impl std::fmt::Debug for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answer")
            .field("status", &self.status())
            .finish_non_exhaustive()
    }
}

/// A numeric header value.
pub fn number_value(value: u64) -> HeaderValue {
    HeaderValue::from(value)
}

/// Builds a header map from pairs.
pub fn header_map<const N: usize>(pairs: [(HeaderName, HeaderValue); N]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(N);
    for (name, value) in pairs {
        map.insert(name, value);
    }
    map
}

/// Redirects are disabled because following one would send a call twice, and the limit on
/// connections because the router controls admission. Decompression is disabled for each request,
/// because bodies pass through unchanged.
fn new_http_client(options: &Options) -> Http {
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
