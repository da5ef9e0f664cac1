//! Engines on threads of this process that answer as a case says.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use crate::http::{Connection, Head};

/// What an engine does with a request; `false` closes the connection.
pub type Behaviour = dyn Fn(&mut Connection, &Head, &str) -> bool + Send + Sync;

/// Listens on loopback and answers each request by `behaviour`.
pub fn listen(behaviour: Arc<Behaviour>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let behaviour = behaviour.clone();
            thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some((head, _))) = connection.read_request() {
                    let id = head.header("request-id").unwrap_or_default().to_owned();
                    if !behaviour(&mut connection, &head, &id) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A whole answer of a sound engine.
pub fn answer(connection: &mut Connection, id: &str) -> bool {
    let signature = format!("s.{id}");
    let headers = [
        ("Request-Id", id),
        ("Response-Signature", signature.as_str()),
    ];
    connection
        .answer("200 OK", &headers, format!("answer to {id}").as_bytes())
        .is_ok()
}

/// The head of a stream in chunks.
pub fn stream_head(id: &str) -> String {
    format!(
        concat!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: s.{}\r\n",
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        ),
        id, id
    )
}

/// One chunk.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// The answer to a request that only has the prompt read; `None` for others.
pub fn prefill_answer(connection: &mut Connection, head: &Head, id: &str) -> Option<bool> {
    head.header("serving-stage")?;
    let body = format!("{{\"kv_handle\":\"h{id}\",\"tokens\":1460,\"version\":1}}");
    let headers = [("Request-Id", id), ("Content-Type", "application/json")];
    Some(
        connection
            .answer("200 OK", &headers, body.as_bytes())
            .is_ok(),
    )
}
