//! The HTTP server that the three programs share: one handler for every request, the address told
//! on standard output, a stop on SIGTERM.

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

/// The whole answer to a request.
pub type HttpResponse = Response<BoxBody>;

/// Bodies above this size are refused, so that a runaway client cannot use up the memory.
const BODY_LIMIT: usize = 64 << 20;

/// Idle connections stay open this long: pooled connections of an entry should not be closed by
/// the stand-in in the middle of a trial.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// Where and how a stand-in listens.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct Listen {
    /// Address to listen on; port 0 takes a free one. It is told as `listening ADDRESS`.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,

    /// Threads that serve connections.
    #[arg(long, default_value_t = 1)]
    pub workers: usize,

    /// Seconds that open requests may still take after SIGTERM.
    #[arg(long, default_value_t = 2)]
    pub stop_s: u64,
}

/// A request with its whole body.
#[derive(Debug)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path without the query.
    pub path: String,
    /// The query without its question mark, empty if there is none.
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
            if body.len() + chunk.len() > BODY_LIMIT {
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

    /// A header as text, if it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A parameter of the query as it stands, not decoded.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// A whole number in the query; `None` if it is missing or no number.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query_parameter(name)?.parse().ok()
    }

    /// The segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect()
    }
}

/// Starts logging to standard error: `info` unless `RUST_LOG` says otherwise. The server's own
/// errors are left out, since it takes each connection that a fault drops for one.
pub fn init_logging() {
    let default = env_logger::Env::default().default_filter_or("info,actix_http=off");
    env_logger::init_from_env(default);
}

/// Binds and starts the server. It runs while the returned [`Server`] is polled, and must be
/// started within an actix system.
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
                        let answer = match HttpRequest::read(request).await {
                            Ok(call) => handler(call).await,
                            Err(refusal) => refusal,
                        };
                        Ok::<_, Infallible>(answer)
                    }
                })
                .tcp()
        })?
        .run();
    Ok((server, address))
}

/// Starts the server, tells its address on standard output and serves until SIGTERM.
///
/// # Errors
/// The address cannot be bound, or the server failed.
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
