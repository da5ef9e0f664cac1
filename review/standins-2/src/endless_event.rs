//! One engine spoils one answer: its stream goes on with bytes that are no events. Calls of other callers at
//! other engines must be answered in time meanwhile.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{
    BROKEN, Entry, Gateway, HELD, HOST, NOT_RUN, Place, Record, Registration, manifest,
    model_service, plain_route, plain_service, stream_route, unix_ms,
};
use crate::engine;
use crate::http::{Connection, End};
use crate::store::Store;

/// Sound streams before the spoilt one, which is one of 61.
const SOUND_STREAMS: usize = 60;
/// Calls of other callers.
const CALLS: usize = 40;
const CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Of the route of these calls, in the manifest.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after it in which an answer must come.
const GRACE: Duration = Duration::from_millis(500);
/// Rate of the engine, 400 Mbit/s. The machine's link carries 1,000.
const BYTES_PER_SECOND: f64 = 50e6;
const SPOILT_TIME: Duration = Duration::from_secs(12);
const PIECE_BYTES: usize = 64 * 1024;

/// Sends the stream of the chosen request: pieces of 64 KB, as whole events if it is `sound`.
fn long_stream(connection: &mut Connection, id: &str, sound: bool, sent: &AtomicU64) -> bool {
    if connection
        .write(engine::stream_head(id).as_bytes())
        .is_err()
    {
        return false;
    }
    let begun = Instant::now();
    let mut event = 0;
    while begun.elapsed() < SPOILT_TIME {
        event += 1;
        let mut piece = vec![b'x'; PIECE_BYTES];
        if sound {
            let start = format!("id: {event}\ndata: ");
            piece[..start.len()].copy_from_slice(start.as_bytes());
            let end = piece.len() - 2;
            piece[end..].copy_from_slice(b"\n\n");
        }
        if connection.write(&engine::chunk(&piece)).is_err() {
            return false;
        }
        let total = sent.fetch_add(PIECE_BYTES as u64, Ordering::Relaxed) + PIECE_BYTES as u64;
        let due = Duration::from_secs_f64(total as f64 / BYTES_PER_SECOND);
        thread::sleep(due.saturating_sub(begun.elapsed()));
    }
    if sound {
        return connection.write(b"0\r\n\r\n").is_ok();
    }
    false
}

fn short_stream(connection: &mut Connection, id: &str) -> bool {
    let mut bytes = engine::stream_head(id).into_bytes();
    for event in 1..=4 {
        bytes.extend(engine::chunk(
            format!("id: {event}\ndata: {id} {event}\n\n").as_bytes(),
        ));
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    connection.write(&bytes).is_ok()
}

const CHOSEN: &str = "5b01170000000000";

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
        stream_route("/ask/", "pool", 1, false),
        plain_route("/auth/", "unsafe", "app", 1),
    ];
    let services = [model_service("pool"), plain_service("app")];
    store.put(
        "keyed.op",
        "config",
        manifest(1, &routes, &services).as_bytes(),
    );
    let sent = Arc::new(AtomicU64::new(0));
    let ran = Arc::new(AtomicU64::new(0));
    let mut registrations: Vec<Registration> = Vec::new();
    for number in 0..10 {
        let is_model = number < 7;
        let (sent, ran) = (sent.clone(), ran.clone());
        let behaviour = move |connection: &mut Connection, head: &crate::http::Head, id: &str| {
            if let Some(done) = engine::prefill_answer(connection, head, id) {
                return done;
            }
            if !is_model {
                ran.fetch_add(1, Ordering::Relaxed);
                return engine::answer(connection, id);
            }
            if id == CHOSEN {
                return long_stream(connection, id, !trouble, &sent);
            }
            short_stream(connection, id)
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
    let whole = (0..SOUND_STREAMS).filter(|number| {
        let mut connection = ask(&gateway, &format!("{number:016x}"));
        connection.as_mut().is_some_and(|connection| {
            let head = connection.read_head().ok().flatten();
            head.is_some_and(|head| {
                head.status() == 200 && connection.read_body(&head).1 == End::Complete
            })
        })
    });
    record.line(&format!(
        "callers: {} of {SOUND_STREAMS} sound streams came whole",
        whole.count()
    ));
    let Some(mut stream) = ask(&gateway, CHOSEN) else {
        return NOT_RUN;
    };
    // Its caller reads what comes.
    thread::spawn(move || {
        while matches!(stream.fill(), Ok(count) if count > 0) {
            stream.received.clear()
        }
    });
    record.line(&format!(
        "caller: POST /ask/, id {CHOSEN}; its engine answers with {}",
        if trouble {
            "bytes that are no events"
        } else {
            "long events"
        }
    ));
    thread::sleep(Duration::from_secs(1));
    let verdict = judge(&gateway, record);
    let ready = gateway.is_ready();
    record.line(&format!(
        "engine: {} bytes of the stream sent; balancer: readiness {}; other engines ran {} calls",
        sent.load(Ordering::Relaxed),
        if ready {
            "200"
        } else {
            "no answer within 0.5 s"
        },
        ran.load(Ordering::Relaxed)
    ));
    verdict
}

fn ask(gateway: &Gateway, id: &str) -> Option<Connection> {
    let mut connection = Connection::open(gateway.front, Duration::from_secs(8)).ok()?;
    let head = format!(
        concat!(
            "POST /ask/{} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nModel-Name: m\r\nToken-Count: 1460,80\r\n",
            "Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,{}:250\r\nRequest-Deadline: 6000\r\nContent-Length: 0\r\n\r\n"
        ),
        id, HOST, id, id
    );
    connection.write(head.as_bytes()).ok()?;
    Some(connection)
}

/// Sends the other callers' calls, and judges when they were answered.
fn judge(gateway: &Gateway, record: &Record) -> u8 {
    let times: Arc<Mutex<Vec<(usize, u16, Duration)>>> = Arc::default();
    let mut callers = Vec::new();
    for number in 0..CALLS {
        let (front, times) = (gateway.front, times.clone());
        callers.push(thread::spawn(move || {
            let begun = Instant::now();
            let status = call(front, number).unwrap_or(0);
            let mut times = times
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            times.push((number, status, begun.elapsed()));
        }));
        thread::sleep(CALL_INTERVAL);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let times = times
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    for (number, status, took) in times.iter() {
        let answer = match status {
            0 => "no answer".to_owned(),
            status => format!("status {status}"),
        };
        record.line(&format!(
            "caller: POST /auth/{number}: {answer} after {:.2} s",
            took.as_secs_f64()
        ));
    }
    let open = times
        .iter()
        .filter(|(_, status, took)| *status == 0 || *took > ROUTE_TIMEOUT);
    let open: Vec<_> = open.collect();
    let late = open
        .iter()
        .filter(|(_, status, took)| *status == 0 || *took > ROUTE_TIMEOUT + GRACE)
        .count();
    record.line(&format!(
        "{} of {CALLS} calls were unanswered at their route's timeout_ms, {late} of these half a second later",
        open.len()
    ));
    if open.len() >= 8 && 2 * late > open.len() {
        BROKEN
    } else {
        HELD
    }
}

/// A call that waits for 4 s. Returns the status of its answer.
fn call(front: std::net::SocketAddr, number: usize) -> Option<u16> {
    let mut connection = Connection::open(front, Duration::from_millis(4_000)).ok()?;
    let head = format!(
        "POST /auth/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: a{number:015x}\r\nRequest-Deadline: 4000\r\nContent-Length: 0\r\n\r\n"
    );
    connection.write(head.as_bytes()).ok()?;
    let answer = connection.read_head().ok()??;
    let (_, end) = connection.read_body(&answer);
    (end == End::Complete).then(|| answer.status())
}
