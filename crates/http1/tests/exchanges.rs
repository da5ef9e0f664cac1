//! What is certain of an exchange, against peers that answer as scripted.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{RequestHead, Response, StatusCode};
use assert_matches::assert_matches;
use bytes::Bytes;
use http1::{Client, Failure, Framing, Limits, RequestError, Server, TcpTimeouts};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const PATIENCE: TcpTimeouts = TcpTimeouts {
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

const MOST: usize = 1 << 20;

/// A peer that reads one request's head and writes `answer`, then closes if told to.
async fn peer(answer: &'static [u8], closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback works");
    let address = listener.local_addr().expect("loopback works");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("loopback works");
        let mut buffer = [0; 4_096];
        let _ = stream.read(&mut buffer).await.expect("loopback works");
        stream.write_all(answer).await.expect("loopback works");
        if closes {
            stream.shutdown().await.expect("loopback works");
        }
        std::future::pending::<()>().await;
    });
    address
}

async fn ask(address: SocketAddr) -> (Client, Result<http1::ResponseStart, Failure>) {
    let mut client = Client::open(address, &PATIENCE, &http1::config())
        .await
        .expect("loopback works");
    let answer = client.send(RequestHead::default(), &Bytes::new()).await;
    (client, answer)
}

#[actix_rt::test]
async fn a_whole_answer_leaves_the_connection_reusable() {
    let address = peer(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", false).await;
    let (mut client, answer) = ask(address).await;
    assert_eq!(answer.unwrap().framing, Framing::Delimited);
    assert_eq!(client.body(MOST).await.unwrap(), "abc");
    assert!(client.is_reusable());
}

/// Symptom: a caller gets half an answer that looks complete. Sequence: the engine breaks off within
/// a body of known length, in an orderly way. Cause: the end of a connection was taken for the
/// end of the body.
#[actix_rt::test]
async fn an_answer_that_ends_early_is_broken() {
    let address = peer(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc", true).await;
    let (mut client, answer) = ask(address).await;
    answer.unwrap();
    assert_matches!(client.body(MOST).await, Err(Failure::Broken(_)));
    assert!(!client.is_reusable());
}

#[actix_rt::test]
async fn chunks_without_a_last_one_are_broken() {
    let answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
    let (mut client, answer) = ask(peer(answer, true).await).await;
    answer.unwrap();
    assert_matches!(client.body(MOST).await, Err(Failure::Broken(_)));
}

/// Symptom: callers get empty bodies with the status of a success. Sequence: an engine answers
/// without a length and ends the body with its connection. Cause: the codec takes such an answer
/// for one without a body.
#[actix_rt::test]
async fn an_answer_without_a_length_goes_on_to_the_end_of_its_connection() {
    let (mut client, answer) = ask(peer(b"HTTP/1.1 200 OK\r\n\r\nabc", true).await).await;
    assert_eq!(answer.unwrap().framing, Framing::UntilClose);
    assert_eq!(client.body(MOST).await.unwrap(), "abc");
    assert!(!client.is_reusable());
}

/// Symptom: a request is answered with bytes of another one. Sequence: an engine sends an answer
/// twice; the second copy lies on the connection when the next request is sent. Cause: nobody
/// looked whether something was left over.
#[actix_rt::test]
async fn bytes_behind_an_answer_end_the_use_of_its_connection() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\n";
    let (mut client, answer) = ask(peer(answer, false).await).await;
    answer.unwrap();
    client.body(MOST).await.unwrap();
    assert!(!client.is_reusable());
}

#[actix_rt::test]
async fn bytes_that_are_no_answer_are_broken() {
    let (_, answer) = ask(peer(b"garbage\r\n\r\n", true).await).await;
    assert_matches!(answer, Err(Failure::Broken(_)));
}

#[actix_rt::test]
async fn a_close_before_the_answer_is_told_from_one_within_it() {
    let (_, answer) = ask(peer(b"", true).await).await;
    assert_matches!(answer, Err(Failure::Closed));
    let (_, answer) = ask(peer(b"HTTP/1.1 200 OK\r\ncont", true).await).await;
    assert_matches!(answer, Err(Failure::Broken(_)));
}

/// Symptom: some calls to engines never get a connection, although the engine listens. Sequence: the patience
/// of a connection has probes less than a second apart. Cause: the kernel takes whole seconds, and the
/// time was cut to zero, which it refuses.
#[actix_rt::test]
async fn a_connection_with_quick_probes_opens() {
    let address = peer(b"", false).await;
    let quick = TcpTimeouts {
        probe_interval: Duration::from_millis(400),
        ..PATIENCE
    };
    assert!(
        Client::open(address, &quick, &http1::config())
            .await
            .is_ok()
    );
}

#[actix_rt::test]
async fn a_connection_that_never_opened_sent_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let failure = Client::open(address, &PATIENCE, &http1::config()).await;
    assert!(failure.is_err_and(|failure| failure.not_sent()));
}

/// Symptom: a long request is cut, or other bytes stand where the rest of its body is due. Sequence: an
/// engine answers before it has read the body, and reads on. Cause: the connection was used for
/// the next request while the rest was still to be sent.
#[actix_rt::test]
async fn an_early_answer_is_read_and_its_connection_not_reused() {
    let address = peer(
        b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n",
        false,
    )
    .await;
    let mut client = Client::open(address, &PATIENCE, &http1::config())
        .await
        .unwrap();
    let body = Bytes::from(vec![b'x'; 64 << 20]);
    let mut head = RequestHead::default();
    head.method = actix_http::Method::POST;
    let answer = client.send(head, &body).await.unwrap();
    assert_eq!(answer.head.status, StatusCode::PAYLOAD_TOO_LARGE);
    client.body(MOST).await.unwrap();
    assert!(!client.is_reusable());
}

/// A connection with a server's end, on loopback.
async fn pair() -> (TcpStream, Server) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback works");
    let caller = TcpStream::connect(listener.local_addr().expect("loopback works"))
        .await
        .expect("loopback works");
    let (stream, _) = listener.accept().await.expect("loopback works");
    let server = Server::new(stream, &PATIENCE, &http1::config()).expect("loopback works");
    (caller, server)
}

async fn request(bytes: &[u8]) -> Result<http1::IncomingRequest, RequestError> {
    let (mut caller, mut server) = pair().await;
    caller.write_all(bytes).await.expect("loopback works");
    caller.shutdown().await.expect("loopback works");
    server.read_request(&LIMITS).await
}

#[actix_rt::test]
async fn a_request_is_read_whole() {
    let arrival = request(b"POST /a?b=c HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc").await;
    let arrival = arrival.unwrap();
    assert_eq!(arrival.body, "abc");
    assert_eq!(arrival.head.uri.to_string(), "/a?b=c");
}

#[actix_rt::test]
async fn what_is_no_request_is_told_apart() {
    let both = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(request(both).await.unwrap_err(), RequestError::Malformed);
    let two = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd";
    assert_eq!(request(two).await.unwrap_err(), RequestError::Malformed);
    assert_eq!(
        request(b"no request\r\n\r\n").await.unwrap_err(),
        RequestError::Malformed
    );
    assert_eq!(
        request(b"GET / HTTP/1.1\r\nhos").await.unwrap_err(),
        RequestError::Disconnected
    );
    let long = format!(
        "GET / HTTP/1.1\r\nhost: h\r\nx: {}\r\n\r\n",
        "y".repeat(2_000)
    );
    assert_eq!(
        request(long.as_bytes()).await.unwrap_err(),
        RequestError::HeadTooLarge
    );
    let large = format!(
        "POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 5000\r\n\r\n{}",
        "y".repeat(5_000)
    );
    assert_eq!(
        request(large.as_bytes()).await.unwrap_err(),
        RequestError::BodyTooLarge
    );
}

#[actix_rt::test]
async fn a_callers_leaving_is_noticed_while_its_request_is_served() {
    let (mut caller, mut server) = pair().await;
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
async fn a_request_that_was_sent_ahead_is_kept() {
    let (mut caller, mut server) = pair().await;
    let request = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    caller.write_all(request).await.unwrap();
    server.read_request(&LIMITS).await.unwrap();
    caller.write_all(request).await.unwrap();
    let (reader, writer) = server.split();
    tokio::select! {
        () = reader.closed() => panic!("the caller is there"),
        written = writer.write_response(Response::with_body(StatusCode::OK, ()), Bytes::new()) => written.unwrap(),
    }
    server.read_request(&LIMITS).await.unwrap();
}
