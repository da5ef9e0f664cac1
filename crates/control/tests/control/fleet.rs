//! A fleet for the tests: controls, and the stand-ins of the platform and of engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use authority::lease::term::{Term, TermConfig};
use catalogue::Document;
use clap::Parser as _;
use control::options::Mesh;
use control::{Handle, Options, View};
use fleet::member::LocalMember;
use peer::issue::Authority;
use platform::{InstanceListClient, Kind, Registration};
use standin::engine::{self, Engine};
use standin::http;
use standin::platform::{Options as PlatformOptions, Platform};
use wire::Message as _;
use wire::record::Record;
use wire::record::record::Body;

/// Much longer than any wait in these tests; exceeding it fails the test.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which an awaited state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The initial catalogue of most tests.
pub(crate) const CATALOGUE: &str = "
operator: ana
changes:
  - {kind: owner, name: desk, value: {keys: [4db41d43b2d0d87dcf5270f0e53a543e18232ad5c7be79a53430ccc9649be70e]}}
  - kind: pool
    name: llm
    value: {kind: engine, roles: {mixed: {min: 1, max: 3, initial: 2}, decode: {min: 0, max: 2, initial: 0}}, planner: static}
  - {kind: model, name: talk, value: {versions: ['1', '2'], pools: [llm]}}
";

pub(crate) fn document(text: &str) -> Document {
    Document::parse(text).expect("the test's document is well-formed")
}

/// The platform, keys and clock of a fleet.
pub(crate) struct Fleet {
    pub(crate) platform: SocketAddr,
    authority: Authority,
    clock: clock::System,
}

impl Fleet {
    pub(crate) async fn start(options: &[&str]) -> Self {
        let options = PlatformOptions::parse_from(["standin-platform"].iter().chain(options));
        let listen = options.listen.clone();
        let platform = Platform::new(options);
        let handler = move |call| platform.clone().handle(call);
        let (server, address) = http::start(&listen, handler).expect("a port is free");
        actix_rt::spawn(server);
        let fleet = Self {
            platform: address,
            authority: Authority::new("test").expect("keys can be made"),
            clock: clock::System::new(),
        };
        // An empty instance list would be rejected.
        fleet
            .register("service-0", Kind::Service, "kiosk", address)
            .await;
        fleet
    }

    /// Options with short times, so that tests are fast. The times keep the order that correctness
    /// depends on.
    pub(crate) fn options(&self, id: &str) -> Options {
        let figures = TermConfig {
            lease: Duration::from_millis(900),
            margin: Duration::from_millis(300),
            stagger: Duration::from_millis(50),
            retry: Duration::from_millis(100),
            ..TermConfig::default()
        };
        let own = LocalMember {
            id: id.to_owned(),
            incarnation: 1,
            data_centre: "ate".to_owned(),
        };
        let term = Term::try_from(figures).expect("the figures are sound");
        let mut options = Options::new(own, self.platform, term);
        options.log_poll_wait = Duration::from_millis(200);
        options.log_down_after = Duration::from_millis(300);
        options.list_period = Duration::from_millis(50);
        options.report_period = Duration::from_millis(200);
        options.members.heartbeat_interval = Duration::from_millis(100);
        options.members.suspect_after = Duration::from_millis(600);
        options.members.gone_after = Duration::from_millis(1500);
        options.members.list_lag = Duration::from_millis(500);
        options.members.pause_threshold = Duration::from_secs(5);
        options.drain.settle = Duration::from_millis(100);
        options.change_timing.poll_interval = Duration::from_millis(50);
        options.change_timing.request_timeout = Duration::from_millis(200);
        options.change_timing.max_order_delay = Duration::from_millis(200);
        options
    }

    /// Options of an entry with a mesh.
    pub(crate) fn member(&self, id: &str) -> Options {
        let mut options = self.options(id);
        options.mesh = Some(Mesh {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            keys: self.authority.issue(id).expect("keys can be made"),
            reload: Duration::ZERO,
        });
        options
    }

    pub(crate) fn control(&self, options: Options) -> Handle {
        control::start(options, self.clock).expect("the control starts")
    }

    /// Starts an entry with a mesh and registers it with the platform.
    pub(crate) async fn entry(&self, options: Options) -> Handle {
        let id = options.local.id.clone();
        let handle = self.control(options);
        let status = handle.status().await.expect("it runs");
        let address = status.peer_address.parse().expect("it has a mesh");
        self.register(&id, Kind::Entry, "", address).await;
        handle
    }

    pub(crate) async fn register(&self, id: &str, kind: Kind, pool: &str, address: SocketAddr) {
        let registration = Registration {
            id: id.to_owned(),
            kind,
            pool: pool.to_owned(),
            data_centre: "ate".to_owned(),
            address,
        };
        let registered = self.instances().register(&registration).await;
        registered.expect("the list takes it");
    }

    pub(crate) fn instances(&self) -> InstanceListClient {
        let base = format!("http://{}", self.platform);
        InstanceListClient::new(&platform::Options::new(base))
    }

    /// Starts an engine and registers it.
    pub(crate) async fn engine(&self, id: &str, options: &[&str]) -> SocketAddr {
        let fixed = [
            "standin-engine",
            "--engine",
            id,
            "--time-scale",
            "50",
            "--model",
            "talk@1",
        ];
        let options = engine::Options::parse_from(fixed.iter().chain(options));
        let listen = options.listen.clone();
        let engine = Engine::new(options);
        actix_rt::spawn(Arc::clone(&engine).run());
        let handler = move |call| engine::handle(engine.clone(), call);
        let (server, address) = http::start(&listen, handler).expect("a port is free");
        actix_rt::spawn(server);
        self.register(id, Kind::Engine, "llm", address).await;
        address
    }

    /// The clock that all controls use.
    pub(crate) fn clock(&self) -> clock::System {
        self.clock
    }

    /// Appends a record that no control has written.
    pub(crate) async fn append(&self, body: Body) {
        let log =
            platform::LogClient::new(&platform::Options::new(format!("http://{}", self.platform)));
        let record = Record {
            body: Some(body),
            ..Record::default()
        };
        let appended = log.append(record.encode_to_vec().into()).await;
        appended.expect("the log takes it");
    }

    /// All records of the log.
    pub(crate) async fn log(&self) -> Vec<Body> {
        let log =
            platform::LogClient::new(&platform::Options::new(format!("http://{}", self.platform)));
        let chunk = log
            .read(1, 1000, Duration::ZERO)
            .await
            .expect("the log answers");
        let bodies = chunk.records.into_iter().filter_map(|entry| {
            let record = Record::decode(entry.data).expect("only records are in it");
            record.body
        });
        bodies.collect()
    }

    /// Sets fault switches of the platform's stand-in.
    pub(crate) async fn fault(&self, switches: &str) {
        fault(self.platform, switches).await;
    }
}

/// Sets fault switches of a stand-in.
pub(crate) async fn fault(address: SocketAddr, switches: &str) {
    let url = format!("http://{address}/fault");
    let request = awc::Client::default().post(url);
    let answer = request.send_body(switches.to_owned()).await;
    let answer = answer.expect("the stand-in answers");
    assert!(answer.status().is_success(), "{switches}");
}

/// Waits until the view meets the condition.
pub(crate) async fn view(handle: &Handle, mut wanted: impl FnMut(&View) -> bool) -> Arc<View> {
    let mut watch = handle.watch();
    let waited = actix_rt::time::timeout(TEST_TIMEOUT, watch.wait_for(|view| wanted(view))).await;
    match waited {
        Ok(view) => Arc::clone(&view.expect("the control runs")),
        Err(_) => panic!("timed out, last view {:?}", handle.view()),
    }
}

/// Waits until the status meets the condition.
pub(crate) async fn status(
    handle: &Handle,
    mut wanted: impl FnMut(&control::Status) -> bool,
) -> control::Status {
    let begun = std::time::Instant::now();
    loop {
        let status = handle.status().await.expect("the control runs");
        if wanted(&status) {
            return status;
        }
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "timed out, last {status:#?}"
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}
