//! An HTTP server that answers requests from a script.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The action for the next request.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Respond with this status, extra header lines and body.
    Response(&'static str, &'static str, String),
    /// Read the whole request and close the connection.
    Close,
    /// Read the whole request and never respond.
    NoResponse,
}

/// A running server.
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl FakeServer {
    /// Starts a server that gives the replies in order; after the last one it closes connections.
    pub(crate) async fn start(script: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("address of a bound listener");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let script = Arc::new(Mutex::new(script.into_iter()));
        let received = requests.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(serve(stream, script.clone(), received.clone()));
            }
        });
        Self { address, requests }
    }

    pub(crate) fn base_url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Request lines of the requests received so far.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("lock is not poisoned").clone()
    }
}

pub(crate) fn ok(body: &str) -> Reply {
    Reply::Response("200 OK", "", body.to_owned())
}

async fn serve(
    mut stream: TcpStream,
    script: Arc<Mutex<std::vec::IntoIter<Reply>>>,
    received: Arc<Mutex<Vec<String>>>,
) {
    while let Some(request_line) = read_request(&mut stream).await {
        received
            .lock()
            .expect("lock is not poisoned")
            .push(request_line);
        let reply = script
            .lock()
            .expect("lock is not poisoned")
            .next()
            .unwrap_or(Reply::Close);
        match reply {
            Reply::Response(status, headers, body) => {
                let length = body.len();
                let head =
                    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n");
                let response = format!("{head}{body}");
                if stream.write_all(response.as_bytes()).await.is_err() {
                    return;
                }
            }
            Reply::Close => return,
            Reply::NoResponse => std::future::pending().await,
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= content_length(head)
        {
            return head.lines().next().map(str::to_owned);
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
        }
    }
}

fn content_length(head: &str) -> usize {
    let lower = head.to_ascii_lowercase();
    let value = lower
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    value
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}
