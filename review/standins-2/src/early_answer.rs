//! An engine answers a long request before it has read it, without a length, and crashes within its answer.
//! The part of the answer that the caller gets must not look complete.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::TcpListener;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender};
use std::thread;
use std::time::Duration;

use crate::deployment::{
    BROKEN, Entry, Gateway, HELD, HOST, NOT_RUN, Place, Record, Registration, manifest,
    plain_route, plain_service, unix_ms,
};
use crate::http::{Connection, End};
use crate::store::Store;

/// Within `max_body_bytes` of the manifest, 4,194,304.
const REQUEST_BYTES: usize = 4_000_000;
/// Bytes of the engine's whole answer, and those sent before it crashes.
const ANSWER_BYTES: usize = 800;
const SENT_BYTES: usize = 300;
/// Engines of the service. One of them crashes at a time.
const ENGINES: usize = 7;
/// Crashes, each of another engine.
const ROUNDS: usize = 24;

fn whole_answer(id: &str) -> Vec<u8> {
    let line = format!("answer to {id}; ");
    line.bytes().cycle().take(ANSWER_BYTES).collect()
}

/// The engine, a process of its own. Prints its address, and a line once it has sent the first part of its
/// answer. With `crash` it waits there for its end, else it reads the rest of the request and sends the rest of
/// its answer.
pub fn engine(arguments: &[String]) {
    let crashes = arguments.first().is_some_and(|word| word == "crash");
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    println!(
        "{}",
        listener
            .local_addr()
            .expect("a bound socket has an address")
    );
    let _ = std::io::stdout().flush();
    for stream in listener.incoming().flatten() {
        thread::spawn(move || {
            let mut connection = Connection::new(stream);
            let Ok(Some(head)) = connection.read_head() else {
                return;
            };
            let id = head.header("request-id").unwrap_or_default().to_owned();
            let answer = whole_answer(&id);
            let start = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}\r\nConnection: close\r\n\r\n"
            );
            let mut bytes = start.into_bytes();
            bytes.extend_from_slice(&answer[..SENT_BYTES]);
            if connection.write(&bytes).is_err() {
                return;
            }
            println!("begun {id}");
            let _ = std::io::stdout().flush();
            if crashes {
                thread::sleep(Duration::from_secs(60));
                return;
            }
            let size = head
                .header("content-length")
                .and_then(|size| size.parse().ok());
            let read = connection.read_sized(size.unwrap_or(0));
            if read.is_ok() {
                let _ = connection.write(&answer[SENT_BYTES..]);
            }
        });
    }
}

/// An engine process with its entry in the store.
struct EngineProcess {
    child: Child,
    number: usize,
    _registration: Registration,
}

impl EngineProcess {
    /// Starts one. The id of each request that it begins to answer goes to `begun`, with its number.
    fn start(
        number: usize,
        crashes: bool,
        store: &Store,
        begun: &Sender<(usize, String)>,
    ) -> Option<Self> {
        let program = std::env::current_exe().ok()?;
        let mut child = Command::new(program)
            .args(["early-engine", if crashes { "crash" } else { "sound" }])
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let mut output = BufReader::new(child.stdout.take()?);
        let mut line = String::new();
        output.read_line(&mut line).ok()?;
        let entry = Entry {
            id: format!("i-{number}"),
            service: "app".to_owned(),
            address: line.trim().parse().ok()?,
            born: unix_ms(),
            decodes: false,
            version: "v1",
        };
        let begun = begun.clone();
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                let _ = begun.send((number, line));
            }
        });
        Some(Self {
            child,
            number,
            _registration: entry.register(store),
        })
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
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
    let Ok(gateway) = Gateway::start(root, directory, &place) else {
        record.line("the gateway could not be started");
        return NOT_RUN;
    };
    let (begun, begins) = std::sync::mpsc::channel();
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let Some(engine) = EngineProcess::start(number, trouble, &store, &begun) else {
            return NOT_RUN;
        };
        engines.push(engine);
    }
    let (mut broken, mut begun_answers) = (0, 0);
    for round in 0..ROUNDS {
        thread::sleep(Duration::from_millis(if round == 0 { 4_000 } else { 600 }));
        if !gateway.wait_until_ready(Duration::from_secs(20)) {
            record.line("the gateway is not ready");
            return NOT_RUN;
        }
        let Some((place, is_broken)) =
            call(&gateway, &mut engines, &begins, round, record, trouble)
        else {
            continue;
        };
        begun_answers += 1;
        broken += usize::from(is_broken);
        if trouble {
            // It is back as another engine.
            let Some(engine) = EngineProcess::start(ENGINES + round, trouble, &store, &begun)
            else {
                return NOT_RUN;
            };
            engines[place] = engine;
        }
    }
    record.line(&format!(
        "{broken} of {begun_answers} answers were cut and looked complete"
    ));
    match (broken, begun_answers) {
        (1.., _) => BROKEN,
        (0, answers) if answers >= ROUNDS / 2 => HELD,
        _ => NOT_RUN,
    }
}

/// One request. Returns the place of its engine, and whether the caller took a part of the answer for all of it;
/// nothing if no engine began to answer.
fn call(
    gateway: &Gateway,
    engines: &mut [EngineProcess],
    begins: &Receiver<(usize, String)>,
    round: usize,
    record: &Record,
    trouble: bool,
) -> Option<(usize, bool)> {
    let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + round as u64);
    let caller = Connection::open(gateway.front, Duration::from_secs(8)).ok()?;
    let mut reader = Connection::new(caller.stream.try_clone().ok()?);
    let head = format!(
        "POST /auth/{round} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nRequest-Deadline: 1500\r\nContent-Length: {REQUEST_BYTES}\r\n\r\n"
    );
    record.line(&format!(
        "caller: POST /auth/{round}, id {id}, {REQUEST_BYTES} bytes"
    ));
    let mut writer = caller;
    let sending = thread::spawn(move || {
        let _ = writer.write(head.as_bytes());
        let _ = writer.write(&vec![b'x'; REQUEST_BYTES]);
    });
    let Ok((number, line)) = begins.recv_timeout(Duration::from_secs(2)) else {
        let status = reader
            .read_head()
            .ok()
            .flatten()
            .map_or(0, |answer| answer.status());
        record.line(&format!(
            "caller: no engine has begun to answer; status {status}"
        ));
        return None;
    };
    let place = engines.iter().position(|engine| engine.number == number)?;
    record.line(&format!(
        "engine i-{number}: {line}: 200 with a signature, no length, {SENT_BYTES} of {ANSWER_BYTES} bytes sent, the request not read to its end"
    ));
    if trouble {
        thread::sleep(Duration::from_millis(200));
        let _ = engines[place].child.kill();
        let _ = engines[place].child.wait();
        record.line(&format!("engine i-{number}: killed"));
    }
    let answer = reader.read_head().ok()?;
    let _ = sending.join();
    let Some(answer) = answer else {
        record.line("caller: the channel ended without an answer");
        return Some((place, false));
    };
    let (body, end) = reader.read_body(&answer);
    let signature = answer.header("response-signature").unwrap_or("none");
    record.line(&format!(
        "caller: status {}, signature {signature}, content-length {}, {} bytes, {end:?}",
        answer.status(),
        answer.header("content-length").unwrap_or("none"),
        body.len()
    ));
    let is_success = (200..300).contains(&answer.status()) && end == End::Complete;
    Some((place, is_success && body != whole_answer(&id)))
}
