//! Answers that break off, and whole ones, read through the connector.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::thread::{JoinHandle, spawn};

use assert_matches::assert_matches;
use awc::Client;
use awc::error::PayloadError;

/// Answers one call with these bytes and closes the connection.
fn serve_once(answer: &'static [u8]) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let server = spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let read = stream.read(&mut request).expect("a request");
        assert!(read > 0, "an empty request");
        stream.write_all(answer).expect("an answer written");
    });
    (address, server)
}

async fn read(answer: &'static [u8]) -> Result<Vec<u8>, PayloadError> {
    let (address, server) = serve_once(answer);
    let client = Client::builder().connector(dial::connector()).finish();
    let call = client.get(format!("http://{address}/")).send();
    let mut head = call.await.expect("the head of an answer");
    let body = head.body().await;
    server.join().expect("a server that ends");
    body.map(|bytes| bytes.to_vec())
}

#[actix_rt::test]
async fn whole_answers_are_read() {
    let length = read(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc").await;
    assert_matches!(length, Ok(body) if body == b"abc");
    let chunks =
        read(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n").await;
    assert_matches!(chunks, Ok(body) if body == b"abc");
}

#[actix_rt::test]
async fn missing_last_chunk_is_an_error() {
    // Symptom: a caller gets the first part of an answer with status 200 and takes it for all.
    // Sequence: a service sends a chunk and dies before the last chunk.
    // Cause: the client takes the end of the connection for the end of the body.
    let body = read(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n").await;
    assert_matches!(body, Err(_));
}

#[actix_rt::test]
async fn missing_bytes_of_a_length_are_an_error() {
    // Symptom and cause as above. Sequence: 10 bytes are announced, 3 sent, then the end.
    let body = read(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc").await;
    assert_matches!(body, Err(_));
}
