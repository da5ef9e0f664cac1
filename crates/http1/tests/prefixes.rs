//! Responses that end early, at each of their bytes.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::RequestHead;
use bytes::Bytes;
use http1::{Client, Failure, TcpTimeouts};
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

const TIMEOUTS: TcpTimeouts = TcpTimeouts {
    connect: Duration::from_secs(5),
    acknowledge: Duration::from_secs(5),
    probe_interval: Duration::from_secs(5),
    probe_count: 2,
};

const MAX_BODY_BYTES: usize = 1 << 20;

/// How a peer ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Starts a peer that reads a request on each connection, writes the response and ends the connection.
async fn peer(response: Bytes, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback works");
    let address = listener.local_addr().expect("loopback works");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("loopback works");
        let mut buffer = [0; 4_096];
        let _ = stream.read(&mut buffer).await.expect("loopback works");
        stream.write_all(&response).await.expect("loopback works");
        if end == End::Reset {
            let socket = SockRef::from(&stream);
            let set = socket.set_linger(Some(Duration::ZERO));
            set.expect("the connection is open");
        }
    });
    address
}

async fn receive(response: &str, end: End) -> Result<Bytes, Failure> {
    let address = peer(Bytes::from(response.to_owned()), end).await;
    let mut client = Client::open(address, &TIMEOUTS, &http1::config()).await?;
    client.send(RequestHead::default(), &Bytes::new()).await?;
    let body = client.body(MAX_BODY_BYTES).await;
    assert!(!client.is_reusable());
    body
}

/// Responses by their framing, each with the body "abc".
const RESPONSES: [&str; 7] = [
    "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 3\r\n\r\nabc",
    "HTTP/1.0 200 OK\r\nRequest-Id: r\r\nContent-Length: 3\r\n\r\nabc",
    "HTTP/1.1 200 OK\nRequest-Id: r\nContent-Length: 3\n\nabc",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;e=x\r\na\r\n02\r\nbc\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nTrailer: t\r\nOther: o\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nContent-Length: 3\r\n\r\nabc",
];

/// Guards against taking a response for whole that ends before its last byte.
#[actix_rt::test]
async fn no_prefix_of_a_response_is_whole() {
    let mut taken = Vec::new();
    for response in RESPONSES {
        for end in [End::Close, End::Reset] {
            for at in 0..response.len() {
                if let Ok(body) = receive(&response[..at], end).await {
                    taken.push((&response[..at], end, body));
                }
            }
        }
        let body = receive(response, End::Close).await;
        assert_eq!(body.expect(response), "abc");
    }
    assert_eq!(taken, []);
}

/// Framings of the body "abc" that name something the codec does not know.
const UNUSUAL: [&str; 6] = [
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: identity\r\nContent-Length: 3\r\n",
    "Upgrade: websocket\r\n",
    "Upgrade: websocket\r\nContent-Length: 3\r\n",
    "Connection: Upgrade\r\nUpgrade: websocket\r\nContent-Length: 3\r\n",
    "Content-Length : 3\r\n",
];

/// Guards against an empty body, framed as whole, where the codec expects none although there is one.
#[actix_rt::test]
async fn bodies_are_read_whatever_else_their_heads_name() {
    for headers in UNUSUAL {
        let response = format!("HTTP/1.1 200 OK\r\n{headers}\r\nabc");
        let body = receive(&response, End::Close).await;
        assert_eq!(body.expect(headers), "abc", "{headers}");
        let is_sized = headers.contains("Content-Length");
        let body = receive(&response[..response.len() - 1], End::Close).await;
        assert_eq!(body.is_err(), is_sized, "{headers}");
    }
}

/// Responses whose end is not certain.
const UNCERTAIN: [&str; 7] = [
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: \r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Length: 3\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nContent-Length: 3, 3\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nContent-Length:\r\n 3\r\n\r\nabc",
];

/// Guards against choosing one of several ends of a body.
#[actix_rt::test]
async fn responses_of_uncertain_length_are_broken() {
    for response in UNCERTAIN {
        let body = receive(response, End::Close).await;
        assert!(
            matches!(body, Err(Failure::Broken(_))),
            "{response:?} {body:?}"
        );
    }
}

/// Guards against a failure where a head of HTTP/1.0 says that there is no body.
#[actix_rt::test]
async fn an_empty_body_of_http_1_0_is_whole() {
    let response = "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n";
    let body = receive(response, End::Close).await;
    assert_eq!(body.expect("the body is empty"), "");
}
