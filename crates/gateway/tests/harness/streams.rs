//! Streams of a route that may be resumed, as callers see them.

use std::time::{Duration, SystemTime};

use futures_util::future::join_all;
use platform_standin::configuration::HOST;
use platform_standin::{Engine, Store, request};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use wire::Message as _;
use wire::gateway::ServiceVersions;

use super::{Gateway, wait_until};

/// Time between two events, in which a caller can lose its connection.
pub(crate) const EVENT_PAUSE: Duration = Duration::from_millis(30);
/// Streams at a time; a placement that ignores versions mixes every second one that is resumed.
pub(crate) const STREAMS_PER_ROUND: usize = 12;

/// What a caller has of a stream.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) status: u16,
    /// Software version of each event, in order.
    pub(crate) versions: Vec<String>,
    pub(crate) is_complete: bool,
}

impl Received {
    fn parse(text: &str) -> Self {
        let status = text
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let versions = data.map(|data| data.split(' ').nth(2).unwrap_or("v1").to_owned());
        Self {
            status: status.unwrap_or_default(),
            versions: versions.collect(),
            is_complete: text.ends_with("\r\n0\r\n\r\n"),
        }
    }
}

/// Sends a stream of parts that no engine has cached, and reads it to its end or to `max_events`.
pub(crate) async fn stream(
    gateway: &Gateway,
    id: &str,
    headers: &[(&str, &str)],
    max_events: usize,
) -> Received {
    let mut caller = TcpStream::connect(gateway.front)
        .await
        .expect("the gateway listens");
    let parts = format!("a{id}:80,b{id}:20");
    let sizes = request::generation_headers("100,20", &parts);
    let mut text = format!("GET /resume/a HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n");
    let ids = [("request-id", id), ("request-deadline", "20000")];
    for (name, value) in ids.iter().chain(&sizes).chain(headers) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let sent = caller.write_all(text.as_bytes()).await;
    sent.expect("a request can be sent");
    let mut answer = Vec::new();
    loop {
        let received = Received::parse(&String::from_utf8_lossy(&answer));
        let is_over = !matches!(caller.read_buf(&mut answer).await, Ok(1..));
        if is_over || received.versions.len() >= max_events {
            return Received::parse(&String::from_utf8_lossy(&answer));
        }
    }
}

/// Resumes a stream after its second event.
pub(crate) async fn resume(gateway: &Gateway, id: &str, began_as: &str) -> Received {
    let headers = [("resumes", began_as), ("last-event-id", "2")];
    stream(gateway, id, &headers, usize::MAX).await
}

pub(crate) async fn add_engine(gateway: &Gateway, id: &str, software: &'static str) -> Engine {
    let engine = Engine::start(id).await;
    engine.set_software(software);
    engine.set_stream(4, EVENT_PAUSE);
    engine.register(&gateway.store, "pool", "ready", Some("decode"));
    engine
}

/// Sends as many streams as a round has at once, so that all engines get some of them. Reads each to
/// its end or to `max_events`. Returns them with their ids.
pub(crate) async fn round(
    gateway: &Gateway,
    name: &str,
    max_events: usize,
) -> Vec<(String, Received)> {
    let streams = (0..STREAMS_PER_ROUND).map(async |number| {
        let id = format!("{name}-{number}");
        let received = stream(gateway, &id, &[], max_events).await;
        (id, received)
    });
    join_all(streams).await
}

/// Waits until a gateway sends streams to engines of both versions.
pub(crate) async fn wait_until_mixed(gateway: &Gateway, name: &str) {
    let mut number = 0;
    wait_until(async || {
        number += 1;
        let streams = round(gateway, &format!("{name}{number}"), usize::MAX).await;
        let versions = streams.iter().flat_map(|(_, received)| &received.versions);
        ["v1", "v2"]
            .iter()
            .all(|version| versions.clone().any(|seen| seen == version))
    })
    .await;
}

/// Writes what an instance records when another version of the pool's engines has come and gone just now.
pub(crate) fn record_changed_versions(store: &Store) {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let versions = ServiceVersions {
        service: "pool".to_owned(),
        versions: vec!["v1".to_owned()],
        changed_unix_ms: now.map_or(0, |now| now.as_millis() as u64),
        era: 0,
    };
    let key = format!("versions/{:016x}", serving::hash::hash64("pool"));
    store.put_bytes("keyed.instances", &key, &versions.encode_to_vec());
}
