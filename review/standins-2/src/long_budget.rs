//! One requester is ready to wait for a year. Requests of others on its route must be served as before.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::deployment::{
    BROKEN, Entry, Gateway, HELD, HOST, NOT_RUN, Place, Record, Registration, manifest,
    plain_route, plain_service, unix_ms,
};
use crate::engine;
use crate::http::{Connection, End};
use crate::store::Store;

/// A year, less what the requester has used of it.
const LONG_BUDGET_MS: u64 = 31_535_999_975;
const USUAL_BUDGET_MS: u64 = 1_500;
/// Requests of others on each route.
const REQUESTS: usize = 30;

pub fn run(root: &Path, directory: &Path, record: &Record, trouble: bool) -> u8 {
    let store = Store::default();
    let place = Place {
        name: "front-ate-1",
        zone: "ate",
        store: store.listen(),
        bootstrap: true,
        cloud: None,
    };
    let first = plain_route("/auth/", "unsafe", "app", 1);
    let later = plain_route("/ping/", "safe", "app", 2);
    let services = [plain_service("app")];
    store.put(
        "keyed.op",
        "config",
        manifest(1, &[first.clone()], &services).as_bytes(),
    );
    let mut registrations: Vec<Registration> = Vec::new();
    for number in 0..3 {
        let behaviour = |connection: &mut Connection, _: &crate::http::Head, id: &str| {
            engine::answer(connection, id)
        };
        let entry = Entry {
            id: format!("i-{number}"),
            service: "app".to_owned(),
            address: engine::listen(Arc::new(behaviour)),
            born: unix_ms(),
            decodes: false,
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
    store.put(
        "keyed.op",
        "config",
        manifest(2, &[first, later], &services).as_bytes(),
    );
    record.line("operator: manifest 2 adds the route /ping/");
    thread::sleep(Duration::from_secs(5));
    let budget = if trouble {
        LONG_BUDGET_MS
    } else {
        USUAL_BUDGET_MS
    };
    let answer = call(&gateway, "/ping/", 0xffff, budget);
    record.line(&format!(
        "requester 1: POST /ping/ with Request-Deadline {budget}: {}",
        describe(answer)
    ));
    let mut served = [0, 0];
    for number in 0..REQUESTS {
        for (place, route) in ["/auth/", "/ping/"].into_iter().enumerate() {
            let answer = call(&gateway, route, number, USUAL_BUDGET_MS);
            served[place] += usize::from(answer == Some(200));
            record.line(&format!(
                "requester 2: POST {route}{number} with {USUAL_BUDGET_MS}: {}",
                describe(answer)
            ));
        }
        thread::sleep(Duration::from_millis(100));
    }
    let [on_first, on_later] = served;
    record.line(&format!("served: {on_first} of {REQUESTS} on the first route, {on_later} of {REQUESTS} on the later one"));
    if 4 * on_later < on_first {
        BROKEN
    } else {
        HELD
    }
}

fn describe(answer: Option<u16>) -> String {
    answer.map_or(
        "the channel was closed without an answer".to_owned(),
        |status| format!("status {status}"),
    )
}

fn call(gateway: &Gateway, route: &str, number: usize, budget: u64) -> Option<u16> {
    let mut connection = Connection::open(gateway.front, Duration::from_millis(4_000)).ok()?;
    let id = format!("{:x}{number:012x}", u16::from(route.as_bytes()[1]));
    let head = format!(
        "POST {route}{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nRequest-Deadline: {budget}\r\nContent-Length: 0\r\n\r\n"
    );
    connection.write(head.as_bytes()).ok()?;
    let answer = connection.read_head().ok()??;
    let (_, end) = connection.read_body(&answer);
    (end == End::Complete).then(|| answer.status())
}
