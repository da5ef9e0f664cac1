//! Streams that callers take up without naming the attempt that began them.

mod harness;

use std::time::Duration;

use futures_util::future::join_all;
use harness::{Gateway, wait_until};
use platform_standin::Engine;
use platform_standin::configuration::HOST;
use platform_standin::request;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Time between two events.
const PAUSE: Duration = Duration::from_millis(10);

/// Status and body of a stream that goes on after its second event. Nothing names where it began.
async fn take_up(gateway: &Gateway, id: &str) -> String {
    let mut caller = TcpStream::connect(gateway.front)
        .await
        .expect("the gateway listens");
    let mut text = format!(
        "GET /resume/a HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\nrequest-id: {id}\r\n\
         request-deadline: 20000\r\nlast-event-id: 2\r\n"
    );
    let parts = format!("a{id}:80,b{id}:20");
    for (name, value) in request::generation_headers("100,20", &parts) {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let sent = caller.write_all(text.as_bytes()).await;
    sent.expect("a request can be sent");
    let mut answer = Vec::new();
    let read = caller.read_to_end(&mut answer).await;
    read.expect("an answer");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against taking all streams that callers do not name for one: the note of the first decides for the others,
/// though the service has several versions by then and nobody knows where they began.
#[actix_rt::test]
async fn a_stream_that_is_not_named_does_not_go_on_by_the_note_of_another_one() {
    let (gateway, _app, pool) = Gateway::start().await;
    pool.set_stream(4, PAUSE);
    let other_stream = take_up(&gateway, "first").await;
    assert!(other_stream.starts_with("HTTP/1.1 200"), "{other_stream}");
    let other = Engine::start("pool-2").await;
    other.set_software("v2");
    other.set_stream(4, PAUSE);
    other.register(&gateway.store, "pool", "ready", Some("decode"));
    let mut number = 0;
    wait_until(async || {
        number += 1;
        let ids: Vec<String> = (0..12).map(|each| format!("n{number}-{each}")).collect();
        join_all(ids.iter().map(|id| gateway.generate("/resume/a", id))).await;
        ids.iter().any(|id| other.run_count(id) > 0)
    })
    .await;
    let answer = take_up(&gateway, "second").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}
