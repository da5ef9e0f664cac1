//! A requester loses its channel after the last event of a stream and before its end, and takes the stream up.
//! Its engine has nothing left and says so with 204. What follows on the requester's new channel must be answers.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::deployment::{
    BROKEN, Entry, Gateway, HELD, HOST, NOT_RUN, Place, Record, Registration, manifest,
    model_service, plain_route, plain_service, stream_route, unix_ms,
};
use crate::engine;
use crate::http::{Connection, End, Head};
use crate::store::Store;

const EVENTS: u64 = 4;
const EVENT_PAUSE: Duration = Duration::from_millis(60);
/// Streams, each of another requester.
const ROUNDS: usize = 5;
/// Of these, those whose channel is reset.
const RESETS: usize = 2;

/// A stream of four events, or what is left of it after `Last-Event-Id`.
fn stream(connection: &mut Connection, head: &Head, id: &str) -> bool {
    let after = head
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    if after >= EVENTS {
        let answer = format!(
            "HTTP/1.1 204 No Content\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\n\r\n"
        );
        return connection.write(answer.as_bytes()).is_ok();
    }
    if connection
        .write(engine::stream_head(id).as_bytes())
        .is_err()
    {
        return false;
    }
    for event in after + 1..=EVENTS {
        let bytes = engine::chunk(format!("id: {event}\ndata: {id} {event}\n\n").as_bytes());
        if connection.write(&bytes).is_err() {
            return false;
        }
        thread::sleep(EVENT_PAUSE);
    }
    connection.write(b"0\r\n\r\n").is_ok()
}

/// A way to the gateway that resets the channel once it has passed the last event on.
fn resetting_way(gateway: SocketAddr) -> Option<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").ok()?;
    let address = listener.local_addr().ok()?;
    thread::spawn(move || {
        let (Ok((caller, _)), Ok(way)) = (listener.accept(), TcpStream::connect(gateway)) else {
            return;
        };
        let (Ok(mut to_caller), Ok(mut from_caller)) = (caller.try_clone(), caller.try_clone())
        else {
            return;
        };
        let Ok(mut to_gateway) = way.try_clone() else {
            return;
        };
        thread::spawn(move || std::io::copy(&mut from_caller, &mut to_gateway));
        let mut way = Connection::new(way);
        let last = format!("id: {EVENTS}\n");
        while matches!(way.fill(), Ok(count) if count > 0) {
            let passed = std::io::Write::write_all(&mut to_caller, &way.received);
            let is_last = way
                .received
                .windows(last.len())
                .any(|part| part == last.as_bytes());
            way.received.clear();
            if is_last || passed.is_err() {
                break;
            }
        }
        thread::sleep(Duration::from_millis(10));
        let _ = caller.shutdown(std::net::Shutdown::Both);
        let _ = way.stream.shutdown(std::net::Shutdown::Both);
    });
    Some(address)
}

pub fn run(root: &Path, directory: &Path, record: &Record, trouble: bool) -> u8 {
    let store = Store::default();
    let place = Place {
        name: "front-ate-1",
        zone: "ate",
        store: store.listen(),
        bootstrap: true,
        cloud: None,
    };
    let routes = [
        stream_route("/ask/", "pool", 2, true),
        plain_route("/auth/", "unsafe", "app", 1),
    ];
    let services = [model_service("pool"), plain_service("app")];
    store.put(
        "keyed.op",
        "config",
        manifest(1, &routes, &services).as_bytes(),
    );
    let ran = Arc::new(AtomicU64::new(0));
    let mut registrations: Vec<Registration> = Vec::new();
    for number in 0..6 {
        let is_model = number < 3;
        let ran = ran.clone();
        let behaviour = move |connection: &mut Connection, head: &Head, id: &str| {
            if let Some(done) = engine::prefill_answer(connection, head, id) {
                return done;
            }
            if is_model {
                return stream(connection, head, id);
            }
            ran.fetch_add(1, Ordering::Relaxed);
            engine::answer(connection, id)
        };
        let entry = Entry {
            id: format!("i-{number}"),
            service: if is_model { "pool" } else { "app" }.to_owned(),
            address: engine::listen(Arc::new(behaviour)),
            born: unix_ms(),
            decodes: is_model,
            version: "v1",
        };
        registrations.push(entry.register(&store));
    }
    let Ok(gateway) = Gateway::start(root, directory, &place) else {
        record.line("the gateway could not be started");
        return NOT_RUN;
    };
    if !gateway.wait_until_ready(Duration::from_secs(20)) {
        record.line("the gateway is not ready");
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(4));
    let mut broken = 0;
    for round in 0..ROUNDS {
        let is_reset = trouble && round < RESETS;
        match requester(&gateway, round, is_reset, record) {
            Some(is_broken) => broken += usize::from(is_broken),
            None => return NOT_RUN,
        }
    }
    record.line(&format!(
        "engines ran {} unsafe calls; {broken} of {ROUNDS} channels brought bytes that are no answer",
        ran.load(Ordering::Relaxed)
    ));
    if broken > 0 { BROKEN } else { HELD }
}

/// One requester: a stream, taken up again if its channel is reset, and an unsafe call on the channel that it
/// has then. Returns whether that channel brought bytes that are no answer.
fn requester(gateway: &Gateway, round: usize, is_reset: bool, record: &Record) -> Option<bool> {
    let way = if is_reset {
        resetting_way(gateway.front)?
    } else {
        gateway.front
    };
    let mut channel = Connection::open(way, Duration::from_secs(4)).ok()?;
    let first = format!("5b{round:014x}");
    let (events, end) = ask(&mut channel, &first, "")?;
    record.line(&format!(
        "requester {round}: POST /ask/, id {first}: {events} events, then {end}"
    ));
    if is_reset {
        channel = Connection::open(gateway.front, Duration::from_secs(4)).ok()?;
        let again = format!("5c{round:014x}");
        let (events, end) = ask(
            &mut channel,
            &again,
            &format!("Last-Event-Id: {EVENTS}\r\nResumes: {first}\r\n"),
        )?;
        record.line(&format!(
            "requester {round}: takes it up on a new channel, Last-Event-Id {EVENTS}: {events} events, {end}"
        ));
    }
    thread::sleep(Duration::from_millis(200));
    let head = format!(
        "POST /auth/{round} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: a{round:015x}\r\nRequest-Deadline: 1500\r\nContent-Length: 0\r\n\r\n"
    );
    channel.write(head.as_bytes()).ok()?;
    while channel.received.len() < 16 {
        if !matches!(channel.fill(), Ok(count) if count > 0) {
            break;
        }
    }
    let begin =
        String::from_utf8_lossy(&channel.received[..channel.received.len().min(24)]).into_owned();
    let is_answer = channel.received.starts_with(b"HTTP/1.1 200 ");
    record.line(&format!("requester {round}: POST /auth/{round} on the same channel: what comes begins with {begin:?}"));
    Some(!is_answer)
}

/// Sends a stream's request. Returns the number of its events, and how it ended.
fn ask(channel: &mut Connection, id: &str, more: &str) -> Option<(usize, String)> {
    let head = format!(
        concat!(
            "POST /ask/{} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nModel-Name: m\r\nToken-Count: 1460,80\r\n",
            "Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,{}:250\r\nRequest-Deadline: 6000\r\n{}Content-Length: 0\r\n\r\n"
        ),
        id, HOST, id, id, more
    );
    channel.write(head.as_bytes()).ok()?;
    let answer = channel.read_head().ok()??;
    if answer.status() != 200 {
        // Neither 204 nor a failure without a length has a body.
        return Some((0, format!("status {}", answer.status())));
    }
    let (body, end) = channel.read_body(&answer);
    let events = body.windows(4).filter(|part| part == b"id: ").count();
    let end = match end {
        End::Complete => "the end of the stream",
        End::Broken => "the channel was reset",
    };
    Some((events, end.to_owned()))
}
