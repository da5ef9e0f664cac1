//! One thread's HTTP client towards upstreams, with answers matched to requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{BoxedPayloadStream, Method, Payload, StatusCode};
use actix_rt::time::timeout;
use awc::{Client as Http, ClientResponse};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use settings::sections::Upstream as Options;

use crate::front::headers;
use crate::upstream::failure::Failure;

/// The head and the open body of an answer.
pub type Answer = ClientResponse<BoxedPayloadStream>;

/// What to send where.
#[derive(Debug)]
pub struct Call<'a> {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path with its query.
    pub target: &'a str,
    /// Headers, complete but for the request id.
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
    /// [`is_matched`].
    ///
    /// # Errors
    ///
    /// No answer that may be used; [`Failure::ran`] says what is certain.
    pub async fn send<B>(&self, call: Call<'_>, body: B) -> Result<Answer, Failure>
    where
        B: MessageBody + 'static,
    {
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
        let sent = timeout(limit, builder.send_body(body)).await;
        let answer = sent
            .map_err(|_| Failure::TimedOut)?
            .map_err(|error| Failure::of_client(&error))?
            .map_body(|_, payload| boxed(payload));
        if !is_crossed(&answer, &request) {
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
    pub async fn ask(
        &self,
        call: Call<'_>,
        body: Bytes,
        limit: usize,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let time = call.timeout;
        let mut answer = self.send(call, body).await?;
        let status = answer.status();
        let body = timeout(time, read_whole(&mut answer, limit))
            .await
            .map_err(|_| Failure::TimedOut)??;
        Ok((status, body))
    }
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Client").finish_non_exhaustive()
    }
}

/// Reads the rest of an answer into memory.
///
/// # Errors
///
/// The connection broke, or the answer is larger than `limit` bytes.
pub async fn read_whole(answer: &mut Answer, limit: usize) -> Result<Bytes, Failure> {
    let first = match answer.next().await {
        None => return Ok(Bytes::new()),
        Some(chunk) => chunk.map_err(|error| Failure::Lost(error.to_string()))?,
    };
    let mut whole = BytesMut::new();
    let mut last = first;
    loop {
        if whole.len() + last.len() > limit {
            return Err(Failure::TooLarge);
        }
        match answer.next().await {
            None if whole.is_empty() => return Ok(last),
            None => {
                whole.extend_from_slice(&last);
                return Ok(whole.freeze());
            }
            Some(chunk) => {
                whole.extend_from_slice(&last);
                last = chunk.map_err(|error| Failure::Lost(error.to_string()))?;
            }
        }
    }
}

/// Whether an answer says that it belongs to the request.
pub fn is_matched(answer: &Answer, request: &HeaderValue) -> bool {
    answer.headers().get(headers::REQUEST_ID) == Some(request)
}

fn is_crossed(answer: &Answer, request: &HeaderValue) -> bool {
    let id = answer.headers().get(headers::REQUEST_ID);
    id.is_some_and(|id| id != request)
}

/// A header whose value is a number.
pub fn number(value: u64) -> HeaderValue {
    HeaderValue::from(value)
}

/// A header map from a few pairs.
pub fn map<const N: usize>(pairs: [(HeaderName, HeaderValue); N]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(N);
    for (name, value) in pairs {
        map.insert(name, value);
    }
    map
}

fn boxed<S>(payload: Payload<S>) -> Payload<BoxedPayloadStream>
where
    S: futures_util::Stream<Item = Result<Bytes, actix_http::error::PayloadError>> + 'static,
{
    Payload::Stream {
        payload: Box::pin(payload),
    }
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
