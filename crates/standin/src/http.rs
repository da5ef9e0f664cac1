//! The HTTP server of the three programs: one handler for all requests, the address printed on
//! standard output, shutdown on SIGTERM.

use std::convert::Infallible;
use std::future::Future;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::{HttpService, Method, Request, Response, StatusCode};
use actix_server::Server;
use bytes::{Bytes, BytesMut};
use clap::Args;
use futures_util::StreamExt;

use crate::response;

/// A response with its body.
pub type HttpResponse = Response<BoxBody>;

/// Larger request bodies are rejected, so that a faulty client cannot exhaust memory.
const MAX_BODY_BYTES: usize = 64 << 20;

/// How long idle connections stay open: long enough that a stand-in does not close an entry's
/// pooled connections during a test run.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Listener options.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct Listen {
    /// Address to listen on; port 0 takes a free one. Printed as `listening ADDRESS`.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,

    /// Threads that serve connections.
    #[arg(long, default_value_t = 1)]
    pub workers: usize,

    /// Seconds that open requests have to finish after SIGTERM.
    #[arg(long, default_value_t = 2)]
    pub stop_s: u64,
}

/// A request with its complete body.
#[derive(Debug)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query without the question mark; empty if absent.
    pub query: String,
    /// All header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpRequest {
    async fn read(mut request: Request) -> Result<Self, HttpResponse> {
        let mut payload = request.take_payload();
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|error| response::bad_request(&error.to_string()))?;
            if body.len() + chunk.len() > MAX_BODY_BYTES {
                return Err(response::error(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "body too large",
                ));
            }
            body.extend_from_slice(&chunk);
        }
        let head = request.head_mut();
        Ok(Self {
            method: head.method.clone(),
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: std::mem::replace(&mut head.headers, HeaderMap::new()),
            body: body.freeze(),
        })
    }

    /// Returns a header, if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns a query parameter without percent-decoding it.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Returns an integer query parameter; `None` if missing or invalid.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query_parameter(name)?.parse().ok()
    }

    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect()
    }
}

/// Starts logging to standard error, at `info` unless `RUST_LOG` is set. The server's own log is
/// off, since it reports each connection dropped by a fault as an error.
pub fn init_logging() {
    let default = env_logger::Env::default().default_filter_or("info,actix_http=off");
    env_logger::init_from_env(default);
}

/// Binds and starts the server within an actix system. It runs while the returned [`Server`] is
/// polled.
///
/// # Errors
/// The address cannot be bound.
pub fn start<H, F>(listen: &Listen, handler: H) -> io::Result<(Server, SocketAddr)>
where
    H: Fn(HttpRequest) -> F + Clone + Send + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let listener = TcpListener::bind(listen.listen)?;
    let address = listener.local_addr()?;
    let server = Server::build()
        .workers(listen.workers)
        .shutdown_timeout(listen.stop_s)
        .listen("standin", listener, move || {
            let handler = handler.clone();
            HttpService::build()
                .keep_alive(KEEP_ALIVE)
                .tcp_nodelay(true)
                .finish(move |request: Request| {
                    let handler = handler.clone();
                    async move {
                        let response = match HttpRequest::read(request).await {
                            Ok(call) => handler(call).await,
                            Err(rejection) => rejection,
                        };
                        Ok::<_, Infallible>(response)
                    }
                })
                .tcp()
        })?
        .run();
    Ok((server, address))
}

/// Starts the server, prints its address on standard output and serves until SIGTERM.
///
/// # Errors
/// The address cannot be bound, or the server fails.
pub async fn serve<H, F>(listen: &Listen, handler: H) -> io::Result<()>
where
    H: Fn(HttpRequest) -> F + Clone + Send + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let (server, address) = start(listen, handler)?;
    let mut out = io::stdout();
    writeln!(out, "listening {address}")?;
    out.flush()?;
    server.await
}
