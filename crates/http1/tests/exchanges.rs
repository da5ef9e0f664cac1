//! What client and server connections report about exchanges with scripted peers.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::{RequestHead, Response, StatusCode};
use assert_matches::assert_matches;
use bytes::Bytes;
use http1::{Client, Failure, Framing, Limits, RequestError, Server, TcpTimeouts};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUTS: TcpTimeouts = TcpTimeouts {
    connect: Duration::from_secs(5),
    acknowledge: Duration::from_secs(5),
    probe_interval: Duration::from_secs(5),
    probe_count: 2,
};

const LIMITS: Limits = Limits {
    head: 1_024,
    body: 4_096,
    head_time: Duration::from_secs(5),
    idle: Duration::from_secs(5),
};

const MAX_BODY_BYTES: usize = 1 << 20;

/// Starts a peer that reads from one connection, writes `response`, and closes it if `closes`.
async fn peer(response: &'static [u8], closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback works");
    let address = listener.local_addr().expect("loopback works");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("loopback works");
        let mut buffer = [0; 4_096];
        let _ = stream.read(&mut buffer).await.expect("loopback works");
        stream.write_all(response).await.expect("loopback works");
        if closes {
            stream.shutdown().await.expect("loopback works");
        }
        std::future::pending::<()>().await;
    });
    address
}

async fn send_request(address: SocketAddr) -> (Client, Result<http1::ResponseStart, Failure>) {
    let mut client = Client::open(address, &TIMEOUTS, &http1::config())
        .await
        .expect("loopback works");
    let response = client.send(RequestHead::default(), &Bytes::new()).await;
    (client, response)
}

#[actix_rt::test]
async fn complete_response_leaves_the_connection_reusable() {
    let address = peer(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", false).await;
    let (mut client, response) = send_request(address).await;
    assert_eq!(response.unwrap().framing, Framing::Delimited);
    assert_eq!(client.body(MAX_BODY_BYTES).await.unwrap(), "abc");
    assert!(client.is_reusable());
}

/// Symptom: a caller gets a truncated response that looks complete. Sequence: the engine closes the
/// connection in an orderly way within a body of known length. Cause: the end of the connection was
/// treated as the end of the body.
#[actix_rt::test]
async fn body_shorter_than_its_length_is_broken() {
    let address = peer(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc", true).await;
    let (mut client, response) = send_request(address).await;
    response.unwrap();
    assert_matches!(client.body(MAX_BODY_BYTES).await, Err(Failure::Broken(_)));
    assert!(!client.is_reusable());
}

#[actix_rt::test]
async fn missing_last_chunk_is_broken() {
    let bytes = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
    let (mut client, response) = send_request(peer(bytes, true).await).await;
    response.unwrap();
    assert_matches!(client.body(MAX_BODY_BYTES).await, Err(Failure::Broken(_)));
}

/// Symptom: callers get empty bodies with a success status. Sequence: an engine responds without a
/// length and ends the body by closing the connection. Cause: the codec treats such a response as
/// one without a body.
#[actix_rt::test]
async fn body_without_a_length_extends_to_the_end_of_the_connection() {
    let (mut client, response) =
        send_request(peer(b"HTTP/1.1 200 OK\r\n\r\nabc", true).await).await;
    assert_eq!(response.unwrap().framing, Framing::UntilClose);
    assert_eq!(client.body(MAX_BODY_BYTES).await.unwrap(), "abc");
    assert!(!client.is_reusable());
}

/// Symptom: a request gets the response to another one. Sequence: an engine sends a response twice;
/// the second copy is in the receive buffer when the next request is sent. Cause: the client
/// doesn't check for leftover bytes.
#[actix_rt::test]
async fn connection_with_leftover_bytes_is_not_reusable() {
    let bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\n";
    let (mut client, response) = send_request(peer(bytes, false).await).await;
    response.unwrap();
    client.body(MAX_BODY_BYTES).await.unwrap();
    assert!(!client.is_reusable());
}

#[actix_rt::test]
async fn malformed_response_is_broken() {
    let (_, response) = send_request(peer(b"garbage\r\n\r\n", true).await).await;
    assert_matches!(response, Err(Failure::Broken(_)));
}

#[actix_rt::test]
async fn close_before_the_response_differs_from_close_within_it() {
    let (_, response) = send_request(peer(b"", true).await).await;
    assert_matches!(response, Err(Failure::Closed));
    let (_, response) = send_request(peer(b"HTTP/1.1 200 OK\r\ncont", true).await).await;
    assert_matches!(response, Err(Failure::Broken(_)));
}

/// Symptom: some calls to engines never get a connection, although the engine listens. Sequence: the
/// probe interval of a connection is below one second. Cause: the kernel takes whole seconds, and
/// the interval was truncated to zero, which it rejects.
#[actix_rt::test]
async fn connection_with_a_probe_interval_below_one_second_opens() {
    let address = peer(b"", false).await;
    let timeouts = TcpTimeouts {
        probe_interval: Duration::from_millis(400),
        ..TIMEOUTS
    };
    assert!(
        Client::open(address, &timeouts, &http1::config())
            .await
            .is_ok()
    );
}

#[actix_rt::test]
async fn refused_connection_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let failure = Client::open(address, &TIMEOUTS, &http1::config()).await;
    assert!(failure.is_err_and(|failure| failure.not_sent()));
}

/// Symptom: a long request body is truncated, or contains bytes of another request. Sequence: an
/// engine responds before it has read the body, and reads on. Cause: the connection was reused for
/// the next request while the rest of the body was still unsent.
#[actix_rt::test]
async fn early_response_is_read_and_its_connection_is_not_reusable() {
    let address = peer(
        b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n",
        false,
    )
    .await;
    let mut client = Client::open(address, &TIMEOUTS, &http1::config())
        .await
        .unwrap();
    let body = Bytes::from(vec![b'x'; 64 << 20]);
    let mut head = RequestHead::default();
    head.method = actix_http::Method::POST;
    let response = client.send(head, &body).await.unwrap();
    assert_eq!(response.head.status, StatusCode::PAYLOAD_TOO_LARGE);
    client.body(MAX_BODY_BYTES).await.unwrap();
    assert!(!client.is_reusable());
}

/// A request body that the socket buffers do not hold, so that a part stays unsent.
const LARGE_BODY_BYTES: usize = 64 << 20;

/// How a peer ends the connection on which it responded before it had read the request.
#[derive(Clone, Copy, Debug)]
enum EarlyEnd {
    /// With a reset.
    Reset,
    /// In an orderly way; what the client still sends is answered with a reset.
    Close,
}

/// Reads the body of an early response whose connection ends while the client waits for more of it,
/// with a part of the request unsent.
async fn read_early_response(response: &'static [u8], end: EarlyEnd) -> Result<Bytes, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback works");
    let address = listener.local_addr().expect("loopback works");
    let mut client = Client::open(address, &TIMEOUTS, &http1::config())
        .await
        .expect("loopback works");
    let (mut stream, _) = listener.accept().await.expect("loopback works");
    let mut head = RequestHead::default();
    head.method = actix_http::Method::POST;
    let body = Bytes::from(vec![b'x'; LARGE_BODY_BYTES]);
    stream.write_all(response).await.expect("loopback works");
    client.send(head, &body).await.expect("loopback works");
    let end_connection = async {
        // Bytes that the peer has not read make its close a reset.
        if matches!(end, EarlyEnd::Close) {
            stream.shutdown().await.expect("loopback works");
        }
        drop(stream);
    };
    // The client is polled first, and waits on its socket when the connection ends.
    let (body, ()) = tokio::join!(client.body(MAX_BODY_BYTES), end_connection);
    assert!(!client.is_reusable());
    body
}

const EARLY_UNTIL_CLOSE: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nabc";

/// Guards against taking a part of a body for the whole one where the write of the rest of the request
/// consumes the error of a reset, and the read after it sees an orderly end.
#[actix_rt::test]
async fn early_response_without_a_length_that_a_reset_cuts_is_broken() {
    let body = read_early_response(EARLY_UNTIL_CLOSE, EarlyEnd::Reset).await;
    assert_matches!(body, Err(Failure::Broken(_)));
}

/// Guards against dropping the whole response of a peer that rejects a request before it has read it.
#[actix_rt::test]
async fn early_response_that_is_complete_survives_the_end_of_its_connection() {
    let body = read_early_response(EARLY_UNTIL_CLOSE, EarlyEnd::Close).await;
    assert_eq!(body.unwrap(), "abc");
    let with_length = b"HTTP/1.1 413 Too Large\r\ncontent-length: 3\r\n\r\nabc";
    for end in [EarlyEnd::Reset, EarlyEnd::Close] {
        let body = read_early_response(with_length, end).await;
        assert_eq!(body.unwrap(), "abc", "{end:?}");
    }
}

/// Size of responses and requests that should be given up long before their end.
const ENDLESS_BYTES: usize = 64 << 20;

/// Bytes that begin as given and go on with repetitions of `repeated`.
fn endless(begin: &str, repeated: &str) -> &'static [u8] {
    let bytes = begin.to_owned() + &repeated.repeat(ENDLESS_BYTES / repeated.len());
    bytes.leak().as_bytes()
}

/// The first failure of an exchange with a peer that writes these bytes.
async fn exchange_failure(bytes: &'static [u8]) -> Failure {
    let (mut client, response) = send_request(flooding_peer(bytes).await).await;
    match response {
        Err(failure) => failure,
        Ok(_) => loop {
            match client.chunk().await {
                Ok(Some(_)) => {}
                Ok(None) => panic!("the body has no end"),
                Err(failure) => return failure,
            }
        },
    }
}

/// A peer on a thread of its own, which writes until its connection ends.
async fn flooding_peer(bytes: &'static [u8]) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback works");
    let address = listener.local_addr().expect("loopback works");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("loopback works");
        // The client gives up before the end.
        drop(std::io::Write::write_all(&mut stream, bytes));
    });
    address
}

/// Guards against reading bytes that are no response for as long as a call waits.
#[actix_rt::test]
async fn responses_whose_framing_has_no_end_are_broken() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let heads = [
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        ("HTTP/1.1 200 OK\r\na: ", "b"),
        ("HTTP/1.1 200 ", "O"),
        ("", "\r\n"),
    ];
    let bodies = ["3;", "3\r\nabc\r\n3;", "0\r\na: "].map(|body| chunked.to_owned() + body);
    let bodies = bodies.iter().map(|begin| (begin.as_str(), "b"));
    for (begin, repeated) in heads.into_iter().chain(bodies) {
        let failure = exchange_failure(endless(begin, repeated)).await;
        assert_matches!(failure, Failure::Broken(detail) => {
            assert!(!detail.contains("ends within"), "{begin:?} {repeated:?}: {detail}");
        });
    }
}

/// Guards against taking what follows an interim response with a body for a head.
#[actix_rt::test]
async fn interim_responses_with_a_body_are_broken() {
    for interim in [
        "101 Switching Protocols\r\nupgrade: websocket\r\nconnection: upgrade",
        "100 Continue\r\ncontent-length: 3",
    ] {
        let bytes = format!("HTTP/1.1 {interim}\r\n\r\nabcHTTP/1.1 200 OK\r\n\r\n");
        let (_, response) = send_request(peer(bytes.leak().as_bytes(), true).await).await;
        assert_matches!(response, Err(Failure::Broken(_)), "{interim}");
    }
}

/// Guards against a body that always has bytes ready taking the turns of all other tasks.
#[actix_rt::test]
async fn other_tasks_get_a_turn_while_a_body_arrives() {
    let begin = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let bytes = begin.to_owned() + &"1\r\na\r\n".repeat(4_000);
    let (mut client, response) = send_request(peer(bytes.leak().as_bytes(), false).await).await;
    response.unwrap();
    let other = actix_rt::spawn(async {});
    for _ in 0..2_000 {
        assert_eq!(client.chunk().await.unwrap().unwrap(), "a");
    }
    assert!(other.is_finished());
}

/// Guards against reading a caller's bytes that belong to no body until its time is over.
#[actix_rt::test]
async fn requests_whose_framing_has_no_end_are_malformed() {
    let begin = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
    for begin in ["3;", "0\r\na: "].map(|body| begin.to_owned() + body) {
        let (mut caller, mut server) = connected_pair().await;
        let writing = caller.write_all(endless(&begin, "b"));
        tokio::select! {
            written = writing => panic!("the request was read to its end: {written:?}"),
            request = server.read_request(&LIMITS) => {
                assert_eq!(request.unwrap_err(), RequestError::Malformed);
            }
        }
    }
}

/// A caller's stream and the server connection that accepted it, on loopback.
async fn connected_pair() -> (TcpStream, Server) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback works");
    let caller = TcpStream::connect(listener.local_addr().expect("loopback works"))
        .await
        .expect("loopback works");
    let (stream, _) = listener.accept().await.expect("loopback works");
    let server = Server::new(stream, &TIMEOUTS, &http1::config()).expect("loopback works");
    (caller, server)
}

async fn receive(bytes: &[u8]) -> Result<http1::IncomingRequest, RequestError> {
    let (mut caller, mut server) = connected_pair().await;
    caller.write_all(bytes).await.expect("loopback works");
    caller.shutdown().await.expect("loopback works");
    server.read_request(&LIMITS).await
}

#[actix_rt::test]
async fn request_with_a_body_is_read() {
    let request = receive(b"POST /a?b=c HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc").await;
    let request = request.unwrap();
    assert_eq!(request.body, "abc");
    assert_eq!(request.head.uri.to_string(), "/a?b=c");
}

/// Guards against waiting for the end of a connection where a request offers to change its protocol.
#[actix_rt::test]
async fn request_that_names_another_protocol_is_read_and_its_connection_closed() {
    let upgrade = "host: h\r\nconnection: upgrade\r\nupgrade: websocket\r\n";
    for (request, body) in [
        (format!("GET /a HTTP/1.1\r\n{upgrade}\r\n"), ""),
        (
            format!("POST /a HTTP/1.1\r\n{upgrade}content-length: 3\r\n\r\nabcde"),
            "abc",
        ),
        (
            format!(
                "POST /a HTTP/1.1\r\n{upgrade}transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
            ),
            "abc",
        ),
    ] {
        let (mut caller, mut server) = connected_pair().await;
        let sent = caller.write_all(request.as_bytes()).await;
        sent.expect("loopback works");
        let read = server.read_request(&LIMITS).await;
        assert_eq!(read.expect("it is whole").body, body, "{request}");
        let (_, writer) = server.split();
        let head = Response::with_body(StatusCode::OK, ());
        let written = writer.write_response(head, Bytes::new()).await;
        written.expect("loopback works");
        assert!(!writer.keep_alive(), "{request}");
        drop(server);
        let mut received = Vec::new();
        let read = caller.read_to_end(&mut received).await;
        read.expect("the connection closes in an orderly way");
        let received = String::from_utf8_lossy(&received).to_ascii_lowercase();
        assert!(received.contains("connection: close"), "{received}");
    }
    let too_large = format!("POST /a HTTP/1.1\r\n{upgrade}content-length: 4097\r\n\r\n");
    let refused = receive(too_large.as_bytes()).await;
    assert_eq!(refused.unwrap_err(), RequestError::BodyTooLarge);
}

/// Guards against reading framing without end, as long as a byte of the body comes now and then.
#[actix_rt::test]
async fn a_body_with_much_more_framing_than_content_is_refused() {
    let head = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunks = |extension: usize| {
        let chunk = format!("1;{}\r\nx\r\n", "e".repeat(extension));
        format!("{head}{}0\r\n\r\n", chunk.repeat(1_000))
    };
    let read = receive(chunks(1).as_bytes()).await;
    assert_eq!(read.expect("it is whole").body.len(), 1_000);
    let refused = receive(chunks(100).as_bytes()).await;
    assert_eq!(refused.unwrap_err(), RequestError::Malformed);
}

#[actix_rt::test]
async fn invalid_requests_are_rejected_with_their_reason() {
    let length_and_chunked = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(
        receive(length_and_chunked).await.unwrap_err(),
        RequestError::Malformed
    );
    let two_lengths =
        b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd";
    assert_eq!(
        receive(two_lengths).await.unwrap_err(),
        RequestError::Malformed
    );
    assert_eq!(
        receive(b"no request\r\n\r\n").await.unwrap_err(),
        RequestError::Malformed
    );
    assert_eq!(
        receive(b"GET / HTTP/1.1\r\nhos").await.unwrap_err(),
        RequestError::Disconnected
    );
    let long_head = format!(
        "GET / HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n",
        "y".repeat(2_000)
    );
    assert_eq!(
        receive(long_head.as_bytes()).await.unwrap_err(),
        RequestError::HeadTooLarge
    );
    let large_body = format!(
        "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 5000\r\n\r\n{}",
        "y".repeat(5_000)
    );
    assert_eq!(
        receive(large_body.as_bytes()).await.unwrap_err(),
        RequestError::BodyTooLarge
    );
}

#[actix_rt::test]
async fn disconnect_is_detected_while_a_request_is_served() {
    let (mut caller, mut server) = connected_pair().await;
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        .await
        .unwrap();
    server.read_request(&LIMITS).await.unwrap();
    drop(caller);
    let (reader, _) = server.split();
    reader.closed().await;
}

#[actix_rt::test]
async fn pipelined_request_is_buffered() {
    let (mut caller, mut server) = connected_pair().await;
    let request = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    caller.write_all(request).await.unwrap();
    server.read_request(&LIMITS).await.unwrap();
    caller.write_all(request).await.unwrap();
    let (reader, writer) = server.split();
    tokio::select! {
        () = reader.closed() => panic!("the caller is still connected"),
        result = writer.write_response(Response::with_body(StatusCode::OK, ()), Bytes::new()) => result.unwrap(),
    }
    server.read_request(&LIMITS).await.unwrap();
}

/// What a caller receives when a handler writes this response, with a body of unknown size or in one
/// piece.
async fn written(request: &str, status: StatusCode, in_pieces: bool) -> String {
    let (mut caller, mut server) = connected_pair().await;
    let sent = caller.write_all(request.as_bytes()).await;
    sent.expect("loopback works");
    server.read_request(&LIMITS).await.expect("it is whole");
    let (_, writer) = server.split();
    let head = Response::with_body(status, ());
    let body = Bytes::from_static(b"abc");
    let done = if in_pieces {
        let begun = writer.write_head(head, BodySize::Stream).await;
        begun.expect("loopback works");
        writer.write_chunk(body).await.expect("loopback works");
        writer.finish().await
    } else {
        writer.write_response(head, body).await
    };
    done.expect("loopback works");
    drop(server);
    let mut received = String::new();
    let read = caller.read_to_string(&mut received).await;
    read.expect("the connection closes in an orderly way");
    received
}

/// Guards against bytes behind a response without a body, which a caller takes for its next response.
#[actix_rt::test]
async fn responses_that_have_no_body_end_with_their_head() {
    let get = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    let old = "GET / HTTP/1.0\r\nhost: h\r\n\r\n";
    let head = "HEAD / HTTP/1.1\r\nhost: h\r\n\r\n";
    let cases = [
        (get, StatusCode::NO_CONTENT),
        (get, StatusCode::NOT_MODIFIED),
        (old, StatusCode::NO_CONTENT),
        (head, StatusCode::OK),
        (head, StatusCode::BAD_GATEWAY),
    ];
    for (request, status) in cases {
        for in_pieces in [true, false] {
            let received = written(request, status, in_pieces).await;
            let (_, rest) = received.split_once("\r\n\r\n").expect("a whole head");
            assert_eq!(rest, "", "{request:?} {status} {in_pieces}");
        }
    }
    for in_pieces in [true, false] {
        let received = written(get, StatusCode::OK, in_pieces).await;
        assert!(received.contains("abc"), "{received}");
    }
}

/// Guards against the next head being read as the body of a response that has none but names its length.
#[actix_rt::test]
async fn connection_whose_bodiless_response_names_a_body_is_not_reusable() {
    let address = peer(
        b"HTTP/1.1 204 No Content\r\ncontent-length: 3\r\n\r\n",
        false,
    )
    .await;
    let (mut client, response) = send_request(address).await;
    assert_eq!(response.unwrap().framing, Framing::Empty);
    assert_eq!(client.body(MAX_BODY_BYTES).await.unwrap(), "");
    assert!(!client.is_reusable());
}
