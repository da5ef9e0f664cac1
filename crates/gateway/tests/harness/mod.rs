//! A gateway process with simulated platform services and engines.
#![allow(dead_code)]

pub(crate) mod crowd;
pub(crate) mod kinds;
mod ports;
mod process;
pub(crate) mod streams;

use std::cell::{Cell, RefCell};
use std::fs::OpenOptions;
use std::io::{self, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http1::{Client, Failure, TcpTimeouts};
use platform_standin::configuration::{Duties, HOST, Route, Settings};
use platform_standin::request::{self, Header, ResponseSummary};
use platform_standin::{Cut, Engine, Store};
use serde_json::Value;
use tempfile::NamedTempFile;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpSocket;

pub(crate) use ports::free_port;

/// Long, since these tests check states and counts rather than times.
const PATIENCE: TcpTimeouts = TcpTimeouts {
    connect: Duration::from_secs(20),
    acknowledge: Duration::from_secs(20),
    probe_interval: Duration::from_secs(20),
    probe_count: 3,
};

/// Checks of a state, one per interval, before a test gives up.
const MAX_POLLS: usize = 600;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Lines of a gateway's log that are printed when a test fails.
const MAX_LOG_LINES: usize = 400;

/// A gateway process, and its store.
pub(crate) struct Gateway {
    pub(crate) store: Rc<Store>,
    pub(crate) duties: Option<Duties>,
    pub(crate) front: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
    /// Address that other gateways and engines see.
    pub(crate) mesh: SocketAddr,
    pub(crate) settings: NamedTempFile,
    log: NamedTempFile,
    child: RefCell<Child>,
    ids: Cell<usize>,
}

/// A response as a caller sees it.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: Result<Bytes, Failure>,
    pub(crate) retry_after: Option<String>,
    pub(crate) signed: bool,
}

impl Response {
    pub(crate) fn text(&self) -> &str {
        let body = self.body.as_ref().expect("the body is whole");
        std::str::from_utf8(body).expect("bodies are text")
    }
}

/// Rates of links, in megabits per second.
pub(crate) const FAST_LINK_MBPS: u32 = 1_000;
pub(crate) const SLOW_LINK_MBPS: u32 = 100;

/// What a machine allows its process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Machine {
    pub memory_mb: u64,
    pub max_descriptors: usize,
}

/// Deadline of a call.
const DEADLINE_MS: u64 = 20_000;

/// Held while a port is checked and while a child starts.
///
/// Between its fork and its exec a child has copies of all sockets of this process, including one
/// by which another test has just checked that a port is free. That test's gateway then finds the
/// port in use and ends; without the lock, one to three in a hundred ports that were checked while
/// other threads started children could not be bound at once.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Starts a child while no port is checked.
pub(crate) fn spawn(command: &mut Command) -> io::Result<Child> {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}

/// An address for frames between gateways, on a loopback address of its own, by which engines tell
/// gateways apart.
pub(crate) fn free_mesh_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    SocketAddr::from(([127, 1, high, low], free_port()))
}

/// Retries allowed beyond the ratio: more than any test needs.
const RETRY_SLACK: u32 = 60_000;

/// A configuration with a route of each kind; `app` is the service for plain calls.
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

impl Gateway {
    /// Starts a store and a gateway that has no configuration yet.
    pub(crate) async fn start_unconfigured() -> Self {
        let store = Rc::new(Store::start().await);
        let address = store.address;
        Self::start_with(store, address, &link(FAST_LINK_MBPS), None, false)
    }

    /// Starts a store and a gateway on such a machine, without a configuration.
    pub(crate) async fn start_on(machine: Machine) -> Self {
        let store = Rc::new(Store::start().await);
        let address = store.address;
        Self::start_with(store, address, &limits(machine), None, false)
    }

    /// Starts another gateway on the same store, on such a machine.
    pub(crate) fn start_another_on(&self, machine: Machine) -> Self {
        let store = self.store.clone();
        Self::start_with(store, self.store.address, &limits(machine), None, false)
    }

    /// Starts a store and gateways that are all started for the first time.
    pub(crate) async fn start_first(count: usize) -> Vec<Self> {
        let store = Rc::new(Store::start().await);
        let start = |_| {
            let limits = link(FAST_LINK_MBPS);
            Self::start_with(store.clone(), store.address, &limits, None, true)
        };
        (0..count).map(start).collect()
    }

    /// Starts a store and a gateway that performs duties.
    pub(crate) async fn with_duties(duties: Duties) -> Self {
        let store = Rc::new(Store::start().await);
        let address = store.address;
        Self::start_with(store, address, &link(FAST_LINK_MBPS), Some(duties), false)
    }

    /// Starts another gateway on the same store.
    pub(crate) fn start_another(&self) -> Self {
        self.start_another_at(self.store.address, FAST_LINK_MBPS)
    }

    /// Starts another gateway on the same store, whose slow link puts it last in the read order.
    pub(crate) fn start_another_on_slow_link(&self) -> Self {
        self.start_another_at(self.store.address, SLOW_LINK_MBPS)
    }

    /// Starts another gateway that reaches the same store at another address.
    pub(crate) fn start_another_at(&self, store: SocketAddr, link_mbps: u32) -> Self {
        Self::start_with(
            self.store.clone(),
            store,
            &link(link_mbps),
            self.duties,
            false,
        )
    }

    /// Starts a gateway that reaches the store at this address.
    pub(crate) fn start_unconfigured_at(store: Rc<Store>, address: SocketAddr) -> Self {
        Self::start_with(store, address, &link(FAST_LINK_MBPS), None, false)
    }

    fn start_with(
        store: Rc<Store>,
        store_address: SocketAddr,
        limits: &str,
        duties: Option<Duties>,
        is_first_start: bool,
    ) -> Self {
        let front = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let ready = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let mesh = free_mesh_address();
        let metrics = SocketAddr::new(mesh.ip(), free_port());
        let settings = Settings {
            name: "front-a-1",
            store: store_address,
            front,
            ready,
            mesh,
            grace_s: 8,
            retry_slack: RETRY_SLACK,
            lease_ms: 0,
            duties,
        };
        let mut file = NamedTempFile::new().expect("a scratch file can be created");
        write!(
            file,
            "bootstrap = {is_first_start}\n{}\n[limits]\n{limits}\n",
            settings.text()
        )
        .expect("a scratch file can be written");
        let log = NamedTempFile::new().expect("a scratch file can be created");
        let child = start_process(&file, metrics, &log);
        Self {
            store,
            duties,
            front,
            ready,
            metrics,
            mesh,
            settings: file,
            log,
            child: RefCell::new(child),
            ids: Cell::new(0),
        }
    }

    /// Kills the process and starts another one with the same settings, at the same addresses.
    pub(crate) async fn restart(&self) {
        self.signal("-KILL");
        self.wait_until_ended().await;
        *self.child.borrow_mut() = start_process(&self.settings, self.metrics, &self.log);
        self.wait_until_ready(true).await;
    }

    /// Starts a store, a gateway, an engine for plain calls and a decode engine, and waits until
    /// the gateway is ready.
    pub(crate) async fn start() -> (Self, Engine, Engine) {
        Self::start_unconfigured().await.add_engines().await
    }

    /// A gateway that reaches a decode engine only through another one, which is the second.
    pub(crate) async fn start_with_forwarding() -> (Self, Self, Engine) {
        let (isolated, _app, pool) = Self::start().await;
        let other = isolated.start_another();
        other.wait_until_ready(true).await;
        pool.cut_off(&[isolated.ip()], Cut::Silent);
        wait_until(async || {
            let answer = isolated.generate("/stream/a", &isolated.fresh_id()).await;
            let line = "no engine can be reached from here";
            answer.status == 200 && isolated.count_log_lines(line) > 0
        })
        .await;
        (isolated, other, pool)
    }

    /// As [`Gateway::start`], with records that are already in the store.
    pub(crate) async fn add_engines(self) -> (Self, Engine, Engine) {
        let gateway = self;
        let app = Engine::start("app-1").await;
        let pool = Engine::start("pool-1").await;
        app.register(&gateway.store, "app", "ready", None);
        pool.register(&gateway.store, "pool", "ready", Some("decode"));
        gateway.configure(1, "app");
        gateway.wait_until_ready(true).await;
        (gateway, app, pool)
    }

    pub(crate) fn configure(&self, version: u64, app: &str) {
        let configuration = configuration(version, app);
        self.store.put("keyed.op", "config", Some(&configuration));
    }

    /// Registers an engine that has already ended.
    pub(crate) fn register_ended_engine(&self, id: &str, service: &str) {
        let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
        platform_standin::engine::register(&self.store, id, address, service, "ready", None);
    }

    pub(crate) async fn wait_until_ready(&self, ready: bool) {
        wait_until(async || {
            let ended = self.child.borrow_mut().try_wait();
            assert!(
                matches!(ended, Ok(None)),
                "the gateway has ended: {ended:?}"
            );
            self.is_ready().await == ready
        })
        .await;
    }

    /// Log lines that contain `text`.
    pub(crate) fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.log.path());
        let log = log.expect("the log can be read");
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }

    /// Number of log lines that contain `text`.
    pub(crate) fn count_log_lines(&self, text: &str) -> usize {
        self.log_lines(text).len()
    }

    /// Number of log lines that contain both texts.
    pub(crate) fn count_log_lines_with(&self, text: &str, field: &str) -> usize {
        let log = std::fs::read_to_string(self.log.path());
        let log = log.expect("the log can be read");
        let lines = log.lines().filter(|line| line.contains(text));
        lines.filter(|line| line.contains(field)).count()
    }

    /// The metrics page.
    pub(crate) async fn metrics_page(&self) -> String {
        let client = Client::open(self.metrics, &PATIENCE, &http1::config()).await;
        let mut client = client.expect("metrics are served");
        let head = request::head("/metrics", &[]);
        let answer = client.send(head, &Bytes::new()).await;
        assert_eq!(
            answer
                .expect("the metrics page is served")
                .head
                .status
                .as_u16(),
            200
        );
        let page = client.body(1 << 20).await.expect("the page is whole");
        String::from_utf8(page.to_vec()).expect("the page is text")
    }

    /// Whether it answers a new connection that it is ready.
    pub(crate) async fn is_ready(&self) -> bool {
        let Ok(mut client) = Client::open(self.ready, &PATIENCE, &http1::config()).await else {
            return false;
        };
        let answer = client
            .send(request::head("/readiness", &[]), &Bytes::new())
            .await;
        answer.is_ok_and(|answer| answer.head.status.as_u16() == 200)
    }

    /// The address that engines see.
    pub(crate) fn ip(&self) -> Ipv4Addr {
        match self.mesh.ip() {
            IpAddr::V4(ip) => ip,
            IpAddr::V6(ip) => panic!("{ip} is no IPv4 address"),
        }
    }

    /// Opens a connection as a caller, unless it is refused.
    pub(crate) async fn try_connect(&self) -> Option<Client> {
        let caller = Client::open(self.front, &PATIENCE, &http1::config()).await;
        caller.ok()
    }

    /// Opens a connection as a caller.
    pub(crate) async fn connect(&self) -> Client {
        let mut caller = Client::open(self.front, &PATIENCE, &http1::config()).await;
        for _ in 0..MAX_POLLS {
            if caller.is_ok() {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            caller = Client::open(self.front, &PATIENCE, &http1::config()).await;
        }
        caller.expect("the gateway listens")
    }

    /// Sends a call and reads its response.
    pub(crate) async fn call(&self, path: &str, id: &str, headers: &[Header<'_>]) -> Response {
        let mut caller = self.connect().await;
        send_call(&mut caller, path, id, headers).await
    }

    /// Sends a generation of 100 tokens, whose parts no engine has cached.
    pub(crate) async fn generate(&self, path: &str, id: &str) -> Response {
        let prefix = format!("a{id}:80,b{id}:20");
        let headers = request::generation_headers("100,20", &prefix);
        self.call(path, id, &headers).await
    }

    /// Sends a generation whose prompt is always the same.
    pub(crate) async fn generate_same_prompt(&self, path: &str, id: &str) -> Response {
        self.call(path, id, &generation()).await
    }

    /// As [`Gateway::generate_same_prompt`], on a connection from another address of this machine.
    /// Returns the status and whether there was a retry-after.
    pub(crate) async fn generate_same_prompt_from(
        &self,
        from: [u8; 4],
        path: &str,
        id: &str,
    ) -> (u16, bool) {
        let socket = TcpSocket::new_v4().expect("a socket can be created");
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
        // The stream may be truncated.
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

    /// Runs an operator's command with this instance's settings. Returns what it prints.
    pub(crate) async fn run_command(&self, command: &[&str]) -> String {
        let mut program = Command::new(env!("CARGO_BIN_EXE_tarragon-gateway"));
        program
            .args(command)
            .arg("--settings")
            .arg(self.settings.path());
        program.stdout(Stdio::piped());
        let child = spawn(&mut program).expect("the program starts");
        // The store that it reads runs on this thread.
        let ended = actix_rt::task::spawn_blocking(|| child.wait_with_output());
        let output = ended
            .await
            .expect("the task completes")
            .expect("the program ends");
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("the output is UTF-8")
    }

    /// Waits for the process to end. Returns whether it succeeded.
    pub(crate) async fn wait_until_ended(&self) -> bool {
        for _ in 0..MAX_POLLS {
            let ended = self.child.borrow_mut().try_wait();
            if let Some(status) = ended.expect("the process can be waited for") {
                return status.success();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the gateway does not end");
    }
}

/// Lines of settings for a machine's link.
fn link(mbps: u32) -> String {
    format!("link_mbps = {mbps}")
}

/// Lines of settings for a machine with a fast link.
fn limits(machine: Machine) -> String {
    let Machine {
        memory_mb,
        max_descriptors,
    } = machine;
    let link = link(FAST_LINK_MBPS);
    format!("{link}\nmemory_mb = {memory_mb}\nmax_fds = {max_descriptors}")
}

/// Starts the program, which appends to the log.
fn start_process(settings: &NamedTempFile, metrics: SocketAddr, log: &NamedTempFile) -> Child {
    let mut appending = OpenOptions::new();
    let log = appending.append(true).open(log.path());
    let mut command = Command::new(env!("CARGO_BIN_EXE_tarragon-gateway"));
    command
        .args([
            "serve",
            "--metrics",
            &metrics.port().to_string(),
            "--settings",
        ])
        .arg(settings.path())
        .env("RUST_LOG", "info")
        .stdout(log.expect("a scratch file can be opened"))
        .stderr(Stdio::inherit());
    spawn(&mut command).expect("the gateway starts")
}

impl Gateway {
    /// Prints the last lines of the log beside a failure.
    fn print_log(&self) {
        let log = std::fs::read_to_string(self.log.path()).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let first = lines.len().saturating_sub(MAX_LOG_LINES);
        eprintln!("last lines of the log of the gateway at {}:", self.mesh);
        for line in &lines[first..] {
            eprintln!("{line}");
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have ended already.
        let mut child = self.child.borrow_mut();
        drop(child.kill());
        drop(child.wait());
        if std::thread::panicking() {
            self.print_log();
        }
    }
}

/// Headers of a generation.
pub(crate) fn generation() -> [Header<'static>; 3] {
    request::generation_headers("100,20", "aa:80,bb:20")
}

/// Sends a call on an open connection and reads its response.
pub(crate) async fn send_call(
    caller: &mut Client,
    path: &str,
    id: &str,
    headers: &[Header<'_>],
) -> Response {
    send_call_within(caller, path, id, DEADLINE_MS, headers).await
}

/// As [`send_call`], with a deadline in milliseconds.
pub(crate) async fn send_call_within(
    caller: &mut Client,
    path: &str,
    id: &str,
    deadline: u64,
    headers: &[Header<'_>],
) -> Response {
    let head = request::call(path, id, deadline, headers);
    let answer = caller.send(head, &Bytes::new()).await;
    let answer = answer.expect("every call gets an answer");
    let observed = ResponseSummary::from(&answer.head);
    Response {
        status: observed.status,
        retry_after: observed.retry_after,
        signed: observed.signed,
        body: caller.body(1 << 20).await,
    }
}

/// Polls until the state is reached; panics if it is not.
pub(crate) async fn wait_until(mut state: impl AsyncFnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if state().await {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the state was not reached in time");
}
