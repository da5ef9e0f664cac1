//! Engines are replaced by ones of another software version, whose answers say that they also speak WebSocket.
//! Their answers must reach the callers whole.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::deployment::{
    BROKEN, Entry, Gateway, HELD, HOST, NOT_RUN, Place, Record, Registration, manifest,
    plain_route, plain_service, unix_ms,
};
use crate::engine;
use crate::http::{Connection, End, Head};
use crate::store::Store;

/// Engines of the service. Half of them are replaced, one at a time.
const ENGINES: usize = 4;
const REPLACED: usize = 2;
const REPLACEMENT_GAP: Duration = Duration::from_secs(1);
/// Time for which one that drains serves on, `drain_ms` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_500);
const CALLS: usize = 100;
const CALL_INTERVAL: Duration = Duration::from_millis(100);
const FIRST_REPLACEMENT: usize = 30;

/// Headers of an answer beside its length.
fn answer(connection: &mut Connection, id: &str, is_new: bool) -> bool {
    let signature = format!("s.{id}");
    let mut headers = vec![
        ("Request-Id", id),
        ("Response-Signature", signature.as_str()),
    ];
    if is_new {
        headers.extend([("Connection", "Upgrade"), ("Upgrade", "websocket")]);
    }
    connection
        .answer("200 OK", &headers, whole_body(id, is_new).as_bytes())
        .is_ok()
}

fn whole_body(id: &str, is_new: bool) -> String {
    format!("answer to {id} by {}", if is_new { "v2" } else { "v1" })
}

fn start(number: usize, is_new: bool, store: &Store) -> (Entry, Registration) {
    let behaviour =
        move |connection: &mut Connection, _: &Head, id: &str| answer(connection, id, is_new);
    let entry = Entry {
        id: format!("i-{}{number}", if is_new { "new" } else { "old" }),
        service: "app".to_owned(),
        address: engine::listen(Arc::new(behaviour)),
        born: unix_ms(),
        decodes: false,
        version: if is_new { "v2" } else { "v1" },
    };
    let registration = entry.register(store);
    (entry, registration)
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
    let routes = [plain_route("/auth/", "unsafe", "app", 1)];
    store.put(
        "keyed.op",
        "config",
        manifest(1, &routes, &[plain_service("app")]).as_bytes(),
    );
    let mut old: Vec<(Entry, Registration)> = (0..ENGINES)
        .map(|number| start(number, false, &store))
        .collect();
    let Ok(gateway) = Gateway::start(root, directory, &place) else {
        record.line("the gateway could not be started");
        return NOT_RUN;
    };
    if !gateway.wait_until_ready(Duration::from_secs(20)) {
        record.line("the gateway is not ready");
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(4));
    let release = trouble.then(|| {
        let (store, record) = (store.clone(), record.clone());
        let replaced: Vec<(Entry, Registration)> = old.drain(..REPLACED).collect();
        thread::spawn(move || {
            thread::sleep(CALL_INTERVAL * FIRST_REPLACEMENT as u32);
            let mut new = Vec::new();
            for (number, (entry, registration)) in replaced.into_iter().enumerate() {
                new.push(start(number, true, &store));
                record.line(&format!("engine i-new{number} of version v2 starts"));
                thread::sleep(REPLACEMENT_GAP);
                registration.stop();
                store.put(
                    "keyed.servers",
                    &entry.id,
                    entry.value("draining").as_bytes(),
                );
                record.line(&format!("engine {} of version v1 drains", entry.id));
                let store = store.clone();
                thread::spawn(move || {
                    thread::sleep(SERVES_ON);
                    store.put("keyed.servers", &entry.id, b"");
                });
            }
            new
        })
    });
    let (mut whole, mut cut, mut others) = (0, 0, 0);
    for number in 0..CALLS {
        let id = format!("{:016x}", 0x1b00_0000_0000_0000_u64 + number as u64);
        match call(&gateway, number, &id) {
            Some((200, signed, body)) => {
                let is_whole = [false, true]
                    .iter()
                    .any(|is_new| body == whole_body(&id, *is_new));
                if is_whole {
                    whole += 1;
                } else {
                    cut += 1;
                    record.line(&format!(
                        "caller: POST /auth/{number}: 200, {}, complete, {} bytes: {body:?}",
                        if signed { "signed" } else { "unsigned" },
                        body.len()
                    ));
                }
            }
            Some((status, _, _)) => {
                others += 1;
                record.line(&format!("caller: POST /auth/{number}: {status}"));
            }
            None => {
                others += 1;
                record.line(&format!("caller: POST /auth/{number}: no answer"));
            }
        }
        thread::sleep(CALL_INTERVAL);
    }
    if let Some(release) = release {
        let _ = release.join();
    }
    record.line(&format!(
        "of {CALLS} calls {whole} got the engine's whole body, {cut} a success with another body, {others} no success"
    ));
    if cut > 0 { BROKEN } else { HELD }
}

/// Status, whether signed, and body of a complete answer.
fn call(gateway: &Gateway, number: usize, id: &str) -> Option<(u16, bool, String)> {
    let mut connection = Connection::open(gateway.front, Duration::from_millis(3_000)).ok()?;
    let head = format!(
        "POST /auth/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nRequest-Deadline: 1500\r\nContent-Length: 0\r\n\r\n"
    );
    connection.write(head.as_bytes()).ok()?;
    let answer = connection.read_head().ok()??;
    let (body, end) = connection.read_body(&answer);
    let signed = answer.header("response-signature").is_some();
    (end == End::Complete).then(|| {
        (
            answer.status(),
            signed,
            String::from_utf8_lossy(&body).into_owned(),
        )
    })
}
