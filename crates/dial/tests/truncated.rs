//! Truncated and complete responses, read through the connector.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::thread::{JoinHandle, spawn};

use assert_matches::assert_matches;
use awc::Client;
use awc::error::PayloadError;

/// Answers one request with these bytes and closes the connection.
fn serve_once(response: &'static [u8]) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("binding to a free port");
    let address = listener.local_addr().expect("address of a bound listener");
    let server = spawn(move || {
        let (mut stream, _) = listener.accept().expect("accepting a connection");
        let mut request = [0; 1024];
        let read = stream.read(&mut request).expect("reading a request");
        assert!(read > 0, "an empty request");
        stream.write_all(response).expect("writing the response");
    });
    (address, server)
}

async fn read_body(response: &'static [u8]) -> Result<Vec<u8>, PayloadError> {
    let (address, server) = serve_once(response);
    let client = Client::builder().connector(dial::connector()).finish();
    let request = client.get(format!("http://{address}/")).send();
    let mut response = request.await.expect("receiving a response head");
    let body = response.body().await;
    server.join().expect("the server doesn't panic");
    body.map(|bytes| bytes.to_vec())
}

#[actix_rt::test]
async fn complete_bodies_are_read() {
    let sized = read_body(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc").await;
    assert_matches!(sized, Ok(body) if body == b"abc");
    let chunked =
        read_body(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
            .await;
    assert_matches!(chunked, Ok(body) if body == b"abc");
}

#[actix_rt::test]
async fn missing_last_chunk_is_an_error() {
    // Symptom: a caller gets the first part of a response with status 200 and treats it as complete.
    // Sequence: a service sends a chunk and dies before the last chunk.
    // Cause: the client treats EOF as the end of the body.
    let body =
        read_body(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n").await;
    assert_matches!(body, Err(_));
}

#[actix_rt::test]
async fn body_shorter_than_its_length_is_an_error() {
    // Symptom and cause as above. Sequence: `content-length` is 10, 3 bytes are sent, then EOF.
    let body = read_body(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc").await;
    assert_matches!(body, Err(_));
}
