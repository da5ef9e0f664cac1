//! A fake HTTP server that answers each connection's requests from a script.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What to do with the next request.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Answer with a status line's end, extra headers and a body.
    Answer(&'static str, &'static str, String),
    /// Take the whole request in and close the connection.
    Close,
    /// Take the whole request in and never answer.
    Silence,
}

/// A running fake.
pub(crate) struct Fake {
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl Fake {
    /// Starts a fake that gives the replies in turn; after the last one it closes.
    pub(crate) async fn start(script: Vec<Reply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let script = Arc::new(Mutex::new(script.into_iter()));
        let seen = requests.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(serve(stream, script.clone(), seen.clone()));
            }
        });
        Self { address, requests }
    }

    pub(crate) fn base(&self) -> String {
        format!("http://{}", self.address)
    }

    /// First lines of the requests taken in so far.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("no test panicked").clone()
    }
}

pub(crate) fn ok(body: &str) -> Reply {
    Reply::Answer("200 OK", "", body.to_owned())
}

async fn serve(
    mut stream: TcpStream,
    script: Arc<Mutex<std::vec::IntoIter<Reply>>>,
    seen: Arc<Mutex<Vec<String>>>,
) {
    while let Some(first_line) = read_request(&mut stream).await {
        seen.lock().expect("no test panicked").push(first_line);
        let reply = script
            .lock()
            .expect("no test panicked")
            .next()
            .unwrap_or(Reply::Close);
        match reply {
            Reply::Answer(status, headers, body) => {
                let length = body.len();
                let head =
                    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n");
                let whole = format!("{head}{body}");
                if stream.write_all(whole.as_bytes()).await.is_err() {
                    return;
                }
            }
            Reply::Close => return,
            Reply::Silence => std::future::pending().await,
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut taken = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&taken).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= content_length(head)
        {
            return head.lines().next().map(str::to_owned);
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => taken.extend_from_slice(&buffer[..count]),
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
