//! The platform's store, as far as the gateways use it: topics that keep the newest record of each key.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

#[derive(Default)]
struct Topic {
    /// All records, the key and the value; an empty value deletes the key.
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (usize, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
}

/// A store that runs on threads of this process.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Listens on another loopback address.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        address
    }

    /// Writes a record as the operator or an engine does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .topics
            .entry(topic.to_owned())
            .or_default()
            .append(key, value);
        self.state.1.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some((head, body))) = connection.read_request() {
            let target = head.target().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: BTreeMap<&str, &str> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .collect();
            let topic = query.get("topic").copied().unwrap_or_default();
            let number = |name: &str| {
                query
                    .get(name)
                    .and_then(|value| value.parse::<usize>().ok())
            };
            let (status, body) = match path {
                "/log-append" => self.append(topic, number("at"), &body),
                "/log-newest" => self.newest(topic, query.get("after").copied()),
                "/log-read" => {
                    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
                    self.read(topic, number("from").unwrap_or(0), wait)
                }
                _ => ("404 Not Found", Vec::new()),
            };
            if connection
                .answer(status, &[("Store-Era", "1")], &body)
                .is_err()
            {
                return;
            }
        }
    }

    fn append(&self, topic: &str, at: Option<usize>, mut body: &[u8]) -> (&'static str, Vec<u8>) {
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len();
        if at.is_some_and(|at| at != offset) {
            return (
                "412 Precondition Failed",
                format!("{{\"end\":{offset}}}").into_bytes(),
            );
        }
        while body.len() > 4 {
            let size = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let record = &body[4..4 + size];
            let key_size = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=key_size]).into_owned();
            topic.append(&key, &record[1 + key_size..]);
            body = &body[4 + size..];
        }
        let end = topic.records.len();
        self.state.1.notify_all();
        (
            "200 OK",
            format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
        )
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> (&'static str, Vec<u8>) {
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let later = topic
            .newest
            .iter()
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let items: Vec<String> = later
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        let end = topic.records.len();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":false,\"end\":{end}}}",
            items.join(",")
        );
        ("200 OK", body.into_bytes())
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> (&'static str, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let known = state.topics.entry(topic.to_owned()).or_default();
            let end = known.records.len();
            if from > end {
                return ("410 Gone", b"{\"first\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = Vec::new();
                body.extend_from_slice(&(end as u64).to_be_bytes());
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in &known.records[from..] {
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return ("200 OK", body);
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Topic {
    fn append(&mut self, key: &str, value: &[u8]) {
        let offset = self.records.len();
        if value.is_empty() {
            self.newest.remove(key);
        } else {
            self.newest.insert(key.to_owned(), (offset, value.to_vec()));
        }
        self.records.push((key.to_owned(), value.to_vec()));
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                let digit = bits >> (18 - 6 * place) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
