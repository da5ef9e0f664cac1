//! One gateway process between stand-ins of the platform.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http1::{Client, Failure, Patience};
use platform_standin::configuration::{Duties, HOST, Route, Settings};
use platform_standin::request::{self, Header, ResponseSummary};
use platform_standin::{Engine, Store};
use serde_json::Value;
use tempfile::NamedTempFile;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpSocket;

/// Long, since these tests judge states and counts and no times.
const PATIENCE: Patience = Patience {
    connect: Duration::from_secs(20),
    acknowledge: Duration::from_secs(20),
    probe: Duration::from_secs(20),
    probes: 3,
};

/// Looks at a state before a test gives up on it, a pause apart.
const LOOKS: usize = 600;
const PAUSE: Duration = Duration::from_millis(50);

/// A gateway, its store and its engines.
pub(crate) struct World {
    pub(crate) store: Rc<Store>,
    pub(crate) duties: Option<Duties>,
    pub(crate) front: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) settings: NamedTempFile,
    log: NamedTempFile,
    child: RefCell<Child>,
    ids: Cell<usize>,
}

/// An answer as a caller sees it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Result<Bytes, Failure>,
    pub(crate) retry_after: Option<String>,
    pub(crate) signed: bool,
}

impl Answer {
    pub(crate) fn text(&self) -> &str {
        let body = self.body.as_ref().expect("the body is whole");
        std::str::from_utf8(body).expect("bodies are text")
    }
}

/// Rates of links, in megabits a second.
const FAST: u32 = 1_000;
const SLOW: u32 = 100;

/// Milliseconds that callers wait.
const DEADLINE: u32 = 20_000;

/// Held while a port is looked at and while a child starts.
///
/// Between its fork and its exec a child has copies of all sockets of this process, also of those by which another test
/// has just seen that a port is free. Its gateway then finds the port in use and ends, and the test says so; of ports that
/// were looked at while other threads started children one to three in a hundred could not be bound at once.
static STARTING: Mutex<()> = Mutex::new(());

/// Starts a child while no port is looked at.
pub(crate) fn spawn(command: &mut Command) -> io::Result<Child> {
    let _no_port_is_held = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// First port that tests use; the kernel gives connections none below 32,768.
const FIRST_PORT: u16 = 21_000;

/// A port that nothing listens on and that no other test of this process gets.
///
/// A port that the kernel chooses and gives back may be given to another test or connection before the
/// gateway binds it; the gateway then ends, and the test waits for its readiness in vain.
pub(crate) fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let _no_child_starts = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        let tcp = TcpListener::bind(("127.0.0.1", port));
        let udp = UdpSocket::bind(("127.0.0.1", port));
        if tcp.is_ok() && udp.is_ok() {
            return port;
        }
    }
}

/// Repeats beyond the ratio: more than any test needs.
const SLACK: u32 = 60_000;

/// A configuration with a route of each kind; `app` is the service of plain calls.
pub(crate) fn configuration(version: u64, app: &str) -> Value {
    let route = |prefix, kind, service, attempts, resumable| Route {
        prefix,
        kind,
        service,
        attempts,
        resumable,
    };
    let routes = [
        route("/safe/", "safe", app, 2, false),
        route("/once/", "unsafe", app, 1, false),
        route("/stream/", "streaming", "pool", 1, false),
        route("/resume/", "streaming", "pool", 2, true),
    ];
    platform_standin::configuration::configuration(version, &routes, &[app])
}

impl World {
    /// Starts a store and a gateway that knows nothing yet.
    pub(crate) async fn bare() -> Self {
        Self::with(Rc::new(Store::start().await), FAST, None)
    }

    /// Starts a store and a gateway that has duties.
    pub(crate) async fn with_duties(duties: Duties) -> Self {
        Self::with(Rc::new(Store::start().await), FAST, Some(duties))
    }

    /// Starts another gateway on the same store.
    pub(crate) fn beside(&self) -> Self {
        Self::with(self.store.clone(), FAST, self.duties)
    }

    /// Starts another gateway on the same store, whose slow link puts it last in the common order.
    pub(crate) fn slow_beside(&self) -> Self {
        Self::with(self.store.clone(), SLOW, self.duties)
    }

    fn with(store: Rc<Store>, link_mbps: u32, duties: Option<Duties>) -> Self {
        let front = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let ready = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let metrics = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let settings = Settings {
            name: "front-a-1",
            store: store.address,
            front,
            ready,
            port: free_port(),
            grace_s: 8,
            retry_slack: SLACK,
            lease_ms: 0,
            duties,
        };
        let mut file = NamedTempFile::new().expect("a scratch file can be made");
        write!(
            file,
            "{}\n[limits]\nlink_mbps = {link_mbps}\n",
            settings.text()
        )
        .expect("a scratch file can be written");
        let log = NamedTempFile::new().expect("a scratch file can be made");
        let mut command = Command::new(env!("CARGO_BIN_EXE_tarragon-gateway"));
        command
            .args([
                "serve",
                "--metrics",
                &metrics.port().to_string(),
                "--settings",
            ])
            .arg(file.path())
            .env("RUST_LOG", "info")
            .stdout(log.reopen().expect("a scratch file can be opened"))
            .stderr(Stdio::inherit());
        let child = spawn(&mut command).expect("the gateway starts");
        Self {
            store,
            duties,
            front,
            ready,
            metrics,
            settings: file,
            log,
            child: RefCell::new(child),
            ids: Cell::new(0),
        }
    }

    /// Starts a store, a gateway, an engine of plain calls and one that generates, and waits until the
    /// gateway is ready.
    pub(crate) async fn start() -> (Self, Engine, Engine) {
        Self::bare().await.begin().await
    }

    /// As [`World::start`], with what is in the store already.
    pub(crate) async fn begin(self) -> (Self, Engine, Engine) {
        let world = self;
        let app = Engine::start("app-1").await;
        let pool = Engine::start("pool-1").await;
        app.register(&world.store, "app", "ready", None);
        pool.register(&world.store, "pool", "ready", Some("decode"));
        world.configure(1, "app");
        world.until_ready(true).await;
        (world, app, pool)
    }

    pub(crate) fn configure(&self, version: u64, app: &str) {
        let configuration = configuration(version, app);
        self.store.put("keyed.op", "config", Some(&configuration));
    }

    /// Registers an engine that has ended and whose record stands.
    pub(crate) fn lost_engine(&self, id: &str, service: &str) {
        let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
        platform_standin::engine::register(&self.store, id, address, service, "ready", None);
    }

    pub(crate) async fn until_ready(&self, ready: bool) {
        until(async || {
            let ended = self.child.borrow_mut().try_wait();
            assert!(
                matches!(ended, Ok(None)),
                "the gateway has ended: {ended:?}"
            );
            self.is_ready().await == ready
        })
        .await;
    }

    /// Lines of the process's log that say this.
    pub(crate) fn log_lines(&self, what: &str) -> usize {
        let log = std::fs::read_to_string(self.log.path());
        let log = log.expect("the log can be read");
        log.lines().filter(|line| line.contains(what)).count()
    }

    /// Lines of the process's log that say both.
    pub(crate) fn log_lines_with(&self, what: &str, field: &str) -> usize {
        let log = std::fs::read_to_string(self.log.path());
        let log = log.expect("the log can be read");
        let lines = log.lines().filter(|line| line.contains(what));
        lines.filter(|line| line.contains(field)).count()
    }

    /// The page of metrics.
    pub(crate) async fn page(&self) -> String {
        let client = Client::open(self.metrics, &PATIENCE, &http1::config()).await;
        let mut client = client.expect("metrics are served");
        let head = request::head("/metrics", &[]);
        let answer = client.send(head, &Bytes::new()).await;
        assert_eq!(answer.expect("the page comes").head.status.as_u16(), 200);
        let page = client.body(1 << 20).await.expect("the page is whole");
        String::from_utf8(page.to_vec()).expect("the page is text")
    }

    async fn is_ready(&self) -> bool {
        let Ok(mut client) = Client::open(self.ready, &PATIENCE, &http1::config()).await else {
            return false;
        };
        let answer = client
            .send(request::head("/readiness", &[]), &Bytes::new())
            .await;
        answer.is_ok_and(|answer| answer.head.status.as_u16() == 200)
    }

    /// A connection of a caller.
    pub(crate) async fn caller(&self) -> Client {
        let mut caller = Client::open(self.front, &PATIENCE, &http1::config()).await;
        for _ in 0..LOOKS {
            if caller.is_ok() {
                break;
            }
            tokio::time::sleep(PAUSE).await;
            caller = Client::open(self.front, &PATIENCE, &http1::config()).await;
        }
        caller.expect("the gateway listens")
    }

    /// Sends a call and reads its answer.
    pub(crate) async fn call(&self, path: &str, id: &str, headers: &[Header<'_>]) -> Answer {
        let mut caller = self.caller().await;
        ask(&mut caller, path, id, headers).await
    }

    /// Sends a generation of 100 tokens, whose parts no engine has read.
    pub(crate) async fn generate(&self, path: &str, id: &str) -> Answer {
        let prefix = format!("a{id}:80,b{id}:20");
        let headers = request::generation_headers("100,20", &prefix);
        self.call(path, id, &headers).await
    }

    /// Sends a generation that has the same prompt each time.
    pub(crate) async fn generate_same(&self, path: &str, id: &str) -> Answer {
        self.call(path, id, &generation()).await
    }

    /// As [`World::generate_same`], on a connection from another address of this machine. Gives the status and whether it says when
    /// to come back.
    pub(crate) async fn generate_same_from(
        &self,
        from: [u8; 4],
        path: &str,
        id: &str,
    ) -> (u16, bool) {
        let socket = TcpSocket::new_v4().expect("a socket can be had");
        let address = SocketAddr::from((from, 0));
        socket
            .bind(address)
            .expect("all of 127.0.0.0/8 is this machine's");
        let mut caller = socket
            .connect(self.front)
            .await
            .expect("the gateway listens");
        let mut text = format!("GET {path} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n");
        let ids = [("request-id", id), ("request-deadline", "20000")];
        for (name, value) in ids.into_iter().chain(generation()) {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        caller
            .write_all(text.as_bytes())
            .await
            .expect("a request can be sent");
        let mut answer = Vec::new();
        // A stream that its engine broke off ends without its end.
        drop(caller.read_to_end(&mut answer).await);
        let answer = String::from_utf8_lossy(&answer).to_ascii_lowercase();
        let status = answer
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        (
            status.expect("every call gets an answer"),
            answer.contains("retry-after:"),
        )
    }

    /// An id that no call has had.
    pub(crate) fn fresh_id(&self) -> String {
        self.ids.set(self.ids.get() + 1);
        format!("f{}", self.ids.get())
    }

    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.borrow().id().to_string();
        let kill = spawn(Command::new("kill").args([name, &pid]));
        let status = kill.expect("signals can be sent").wait();
        assert!(status.expect("signals can be sent").success());
    }

    /// Runs the program as an operator does, with this instance's settings. Gives what it prints.
    pub(crate) async fn operate(&self, command: &[&str]) -> String {
        let mut program = Command::new(env!("CARGO_BIN_EXE_tarragon-gateway"));
        program
            .args(command)
            .arg("--settings")
            .arg(self.settings.path());
        program.stdout(Stdio::piped());
        let child = spawn(&mut program).expect("the program starts");
        // The store that it asks runs on this thread.
        let ended = actix_rt::task::spawn_blocking(|| child.wait_with_output());
        let output = ended.await.expect("it can be waited for").expect("it ends");
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("it prints text")
    }

    /// Waits for the process to end. Says whether it ended well.
    pub(crate) async fn until_ended(&self) -> bool {
        for _ in 0..LOOKS {
            let ended = self.child.borrow_mut().try_wait();
            if let Some(status) = ended.expect("the process can be waited for") {
                return status.success();
            }
            tokio::time::sleep(PAUSE).await;
        }
        panic!("the gateway does not end");
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // It may have ended by itself.
        let mut child = self.child.borrow_mut();
        drop(child.kill());
        drop(child.wait());
    }
}

/// Headers of a generation.
pub(crate) fn generation() -> [Header<'static>; 3] {
    request::generation_headers("100,20", "aa:80,bb:20")
}

/// Sends a call on an open connection and reads its answer.
pub(crate) async fn ask(
    caller: &mut Client,
    path: &str,
    id: &str,
    headers: &[Header<'_>],
) -> Answer {
    ask_within(caller, path, id, DEADLINE, headers).await
}

/// As [`ask`], for a caller that waits for so many milliseconds.
pub(crate) async fn ask_within(
    caller: &mut Client,
    path: &str,
    id: &str,
    deadline: u32,
    headers: &[Header<'_>],
) -> Answer {
    let head = request::call(path, id, deadline, headers);
    let answer = caller.send(head, &Bytes::new()).await;
    let answer = answer.expect("every call gets an answer");
    let seen = ResponseSummary::from(&answer.head);
    Answer {
        status: seen.status,
        retry_after: seen.retry_after,
        signed: seen.signed,
        body: caller.body(1 << 20).await,
    }
}

/// Waits for a state.
pub(crate) async fn until(mut state: impl AsyncFnMut() -> bool) {
    for _ in 0..LOOKS {
        if state().await {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("the state does not come");
}
