//! Starts stand-ins, in the test's process or as child processes, and sends them requests.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;

use actix_http::Method;
use clap::Parser;
use serde_json::Value;
use standin::engine::{self, Engine};
use standin::http;
use standin::platform::{self, Platform};
use standin::service::{self, Service};

/// The end of a complete event stream.
const LAST_EVENT: &str = "data: [DONE]\n\n";

/// A response with its body as text.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) request_id: String,
    pub(crate) text: String,
}

impl Reply {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap()
    }
}

/// Starts a platform with the given options.
pub(crate) fn platform(options: &[&str]) -> SocketAddr {
    let options = platform::Options::parse_from(["standin-platform"].iter().chain(options));
    let listen = options.listen.clone();
    let platform = Platform::new(options);
    let handler = move |call| platform.clone().handle(call);
    let (server, address) = http::start(&listen, handler).unwrap();
    actix_rt::spawn(server);
    address
}

/// Starts a service.
pub(crate) fn service() -> SocketAddr {
    let options = service::Options::parse_from(["standin-service"]);
    let listen = options.listen.clone();
    let service = Service::new(options);
    let handler = move |call| service.clone().handle(call);
    let (server, address) = http::start(&listen, handler).unwrap();
    actix_rt::spawn(server);
    address
}

/// Starts an engine with the given options.
pub(crate) fn engine(options: &[&str]) -> SocketAddr {
    let options = engine::Options::parse_from(["standin-engine"].iter().chain(options));
    let listen = options.listen.clone();
    let engine = Engine::new(options);
    actix_rt::spawn(Arc::clone(&engine).run());
    let handler = move |call| engine::handle(engine.clone(), call);
    let (server, address) = http::start(&listen, handler).unwrap();
    actix_rt::spawn(server);
    address
}

/// Starts a program as a child process and reads its address.
pub(crate) fn spawn(program: &str) -> (Child, SocketAddr) {
    let mut child = Command::new(program)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let out = child.stdout.take().unwrap();
    BufReader::new(out).read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("listening ").unwrap();
    (child, address.parse().unwrap())
}

/// Sends a request. Without a complete response, the error is the reason or the partial text.
pub(crate) async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Result<Reply, String> {
    let mut request = awc::Client::default().request(method, format!("http://{address}{path}"));
    for header in headers {
        request = request.insert_header(*header);
    }
    let mut reply = request
        .send_body(body)
        .await
        .map_err(|error| error.to_string())?;
    let body = reply
        .body()
        .limit(usize::MAX)
        .await
        .map_err(|error| error.to_string())?;
    let text = String::from_utf8(body.to_vec()).unwrap();
    // The client treats the end of the connection as the end of the body, so only the last event
    // distinguishes a complete stream from a broken one.
    let kind = reply.headers().get("content-type");
    if kind.is_some_and(|kind| kind == "text/event-stream") && !text.ends_with(LAST_EVENT) {
        return Err(text);
    }
    let request_id = reply.headers().get("x-request-id");
    Ok(Reply {
        status: reply.status().as_u16(),
        request_id: request_id
            .map(|id| id.to_str().unwrap().to_owned())
            .unwrap_or_default(),
        text,
    })
}

/// Gets a resource.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Reply {
    let reply = send(Method::GET, address, path, &[], String::new()).await;
    reply.unwrap()
}

/// Posts JSON.
pub(crate) async fn post(address: SocketAddr, path: &str, body: Value) -> Reply {
    let reply = send(Method::POST, address, path, &[], body.to_string()).await;
    reply.unwrap()
}

/// Sets fault switches.
pub(crate) async fn fault(address: SocketAddr, switches: Value) {
    assert_eq!(post(address, "/fault", switches).await.status, 200);
}
