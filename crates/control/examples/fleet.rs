//! Measures the control of a fleet on loopback in one process: the time from an edit until it is in
//! force everywhere, the time without a holder after one is aborted, and appends and bytes a second
//! and processor time of each entry.
//!
//! `cargo run --release -p control --example fleet -- 6 12 24 48`

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use authority::lease::term::{Term, TermConfig};
use catalogue::Document;
use clap::Parser;
use control::options::Mesh;
use control::{Handle, Hooks, Options, Status};
use fleet::member::LocalMember;
use peer::issue::Authority;
use platform::{InstanceListClient, Kind, Registration};
use standin::engine::{self, Engine};
use standin::http;
use standin::platform::{Options as PlatformOptions, Platform};
use wire::peer::{Demand, Outstanding};

const CATALOGUE: &str = "
operator: bench
changes:
  - kind: pool
    name: llm
    value: {kind: engine, roles: {mixed: {min: 1, max: 18, initial: 18}}, planner: static}
  - {kind: model, name: talk, value: {versions: ['1'], pools: [llm]}}
";

/// Number of owners for which each entry broadcasts demand.
const OWNERS: usize = 6;

#[derive(Parser)]
struct Arguments {
    /// Numbers of entries, measured one after the other.
    #[arg(default_values_t = [6])]
    entries: Vec<usize>,
    /// Engines.
    #[arg(long, default_value_t = 18)]
    engines: usize,
    /// Edits.
    #[arg(long, default_value_t = 50)]
    edits: usize,
    /// Holders that end abruptly, one after the other.
    #[arg(long, default_value_t = 3)]
    kills: usize,
    /// Seconds over which the idle fleet is observed.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Engines that are listed besides, in other data centres, all at one address.
    #[arg(long, default_value_t = 0)]
    listed: usize,
    /// Term of the lease in milliseconds.
    #[arg(long, default_value_t = 3000)]
    lease_ms: u64,
}

struct Fleet {
    platform: SocketAddr,
    keys: Authority,
    clock: clock::System,
    lease: Duration,
}

impl Fleet {
    fn start(lease: Duration) -> Self {
        let options = PlatformOptions::parse_from(["standin-platform", "--append-rate", "400"]);
        let listen = options.listen.clone();
        let platform = Platform::new(options);
        let handler = move |call| platform.clone().handle(call);
        let (server, address) = http::start(&listen, handler).expect("a port is free");
        actix_rt::spawn(server);
        Self {
            platform: address,
            keys: Authority::new("bench").expect("keys can be made"),
            clock: clock::System::new(),
            lease,
        }
    }

    async fn register(&self, id: &str, kind: Kind, pool: &str, address: SocketAddr) {
        self.register_in("ate", id, kind, pool, address).await;
    }

    async fn register_in(
        &self,
        data_centre: &str,
        id: &str,
        kind: Kind,
        pool: &str,
        address: SocketAddr,
    ) {
        let registration = Registration {
            id: id.to_owned(),
            kind,
            pool: pool.to_owned(),
            data_centre: data_centre.to_owned(),
            address,
        };
        let base = format!("http://{}", self.platform);
        let instances = InstanceListClient::new(&platform::Options::new(base));
        let registered = instances.register(&registration).await;
        registered.expect("the list takes it");
    }

    async fn engine(&self, id: &str) {
        let options = engine::Options::parse_from([
            "standin-engine",
            "--engine",
            id,
            "--model",
            "talk@1",
            "--instant",
        ]);
        let listen = options.listen.clone();
        let engine = Engine::new(options);
        actix_rt::spawn(Arc::clone(&engine).run());
        let handler = move |call| engine::handle(engine.clone(), call);
        let (server, address) = http::start(&listen, handler).expect("a port is free");
        actix_rt::spawn(server);
        self.register(id, Kind::Engine, "llm", address).await;
    }

    async fn entry(&self, id: &str, engines: usize) -> Handle {
        let own = LocalMember {
            id: id.to_owned(),
            incarnation: 1,
            data_centre: "ate".to_owned(),
        };
        let figures = TermConfig {
            lease: self.lease,
            margin: Duration::from_millis(500),
            stagger: Duration::from_millis(200),
            retry: Duration::from_millis(500).min(self.lease / 6),
            ..TermConfig::default()
        };
        let term = Term::try_from(figures).expect("the figures are sound");
        let mut options = Options::new(own, self.platform, term);
        options.mesh = Some(Mesh {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            keys: self.keys.issue(id).expect("keys can be made"),
            reload: Duration::ZERO,
        });
        let handle = control::start(options, self.clock).expect("the control starts");
        handle.set_hooks(hooks(engines));
        let status = handle.status().await.expect("it runs");
        let address = status.peer_address.parse().expect("it has a mesh");
        self.register(id, Kind::Entry, "", address).await;
        handle
    }
}

/// A data plane with work at each engine and demand of each owner that changes with each query.
fn hooks(engines: usize) -> Hooks {
    let (work, demand) = (AtomicU32::new(0), AtomicU32::new(0));
    Hooks {
        outstanding: Box::new(move || {
            let changed = work.fetch_add(1, Ordering::Relaxed) % 100;
            let work = (0..engines).map(|engine| Outstanding {
                upstream: format!("engine-{engine}"),
                requests: 3 + changed % 2,
                prefill_tokens: 2000,
                decode_tokens: 700,
            });
            work.collect()
        }),
        demand: Box::new(move || {
            let changed = demand.fetch_add(1, Ordering::Relaxed) % 100;
            let demand = (0..OWNERS).map(|owner| Demand {
                owner: format!("owner-{owner}"),
                requests: 7.5 + changed as f32 / 10.0,
                tokens: 900.0,
                open: 12,
            });
            demand.collect()
        }),
        ..Hooks::default()
    }
}

async fn statuses(entries: &BTreeMap<String, Handle>) -> Vec<Status> {
    let mut all = Vec::new();
    for handle in entries.values() {
        all.extend(handle.status().await);
    }
    all
}

async fn until(what: &str, entries: &BTreeMap<String, Handle>, wanted: impl Fn(&Status) -> bool) {
    let begun = Instant::now();
    while !statuses(entries).await.iter().all(&wanted) {
        assert!(
            begun.elapsed() < Duration::from_secs(60),
            "timed out waiting: {what}"
        );
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Processor time of all threads of controls, in clock ticks of 10 ms.
fn control_ticks() -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").expect("this is Linux");
    let ticks = tasks.filter_map(|task| {
        let stat = std::fs::read_to_string(task.ok()?.path().join("stat")).ok()?;
        let (head, rest) = stat.rsplit_once(") ")?;
        let fields: Vec<&str> = rest.split(' ').collect();
        let used = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        head.ends_with("(control").then_some(used)
    });
    ticks.sum()
}

/// Milliseconds from the submission of an edit until its revision is in a view: of each entry, and
/// of the last entry for each edit.
async fn edits(entries: &BTreeMap<String, Handle>, count: usize) -> (Vec<f64>, Vec<f64>) {
    let first = entries.values().next().expect("there are entries");
    let (mut each, mut last) = (Vec::new(), Vec::new());
    for number in 0..count {
        let mut edit = Document::parse(
            "{operator: bench, changes: [{kind: drain, name: engine-0, value: {reason: trial}}]}",
        )
        .expect("it is well-formed");
        edit.note = format!("edit {number}");
        edit.base_revision = first.view().revision;
        let begun = Instant::now();
        let watched = entries.values().map(|handle| {
            let mut watch = handle.watch();
            let base = edit.base_revision;
            async move {
                let changed = watch.wait_for(|view| view.revision > base).await;
                drop(changed.expect("the control runs"));
                begun.elapsed().as_secs_f64() * 1000.0
            }
        });
        let watched = futures_util::future::join_all(watched);
        let (accepted, times) = futures_util::join!(first.submit_edit(&edit), watched);
        accepted.expect("nobody else edits");
        last.push(times.iter().copied().fold(0.0, f64::max));
        each.extend(times);
        actix_rt::time::sleep(Duration::from_millis(37)).await;
    }
    (each, last)
}

fn quantiles(mut times: Vec<f64>) -> String {
    times.sort_by(f64::total_cmp);
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
    format!(
        "p50 {:.1} p90 {:.1} p99 {:.1} max {:.1} ms",
        at(0.5),
        at(0.9),
        at(0.99),
        at(1.0)
    )
}

/// Aborts the holder; returns the seconds until another process may act.
async fn kill(entries: &mut BTreeMap<String, Handle>) -> f64 {
    let all = statuses(entries).await;
    let holder = all
        .iter()
        .find(|status| status.scopes.iter().any(|scope| scope.own));
    let holder = holder.expect("the scope has a holder").instance.clone();
    let handle = entries.remove(&holder).expect("it is one of them");
    handle.abort();
    let begun = Instant::now();
    loop {
        let all = statuses(entries).await;
        let acts = |status: &Status| status.scopes.iter().any(|scope| scope.lease_ms > 0);
        if all.iter().any(acts) {
            return begun.elapsed().as_secs_f64();
        }
        assert!(
            begun.elapsed() < Duration::from_secs(60),
            "no entry took over"
        );
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn idle(entries: &BTreeMap<String, Handle>, seconds: u64) {
    let (before, ticks, begun) = (statuses(entries).await, control_ticks(), Instant::now());
    actix_rt::time::sleep(Duration::from_secs(seconds)).await;
    let (after, used) = (statuses(entries).await, control_ticks() - ticks);
    let time = begun.elapsed().as_secs_f64();
    let nodes = entries.len() as f64;
    let rate = |pick: fn(&Status) -> u64| {
        let sum = |all: &[Status]| all.iter().map(pick).sum::<u64>();
        (sum(&after) - sum(&before)) as f64 / time / nodes
    };
    println!(
        "  idle, each entry: {:.2} appends/s of {:.0} bytes/s, {:.0} bytes/s read from the log, \
         mesh {:.0} bytes/s out and {:.0} in (UDP payload), {:.2} % of a core",
        rate(|status| status.log.appends),
        rate(|status| status.log.appended_bytes),
        rate(|status| status.log.read_bytes),
        rate(|status| status.udp.sent_bytes),
        rate(|status| status.udp.received_bytes),
        used as f64 / time / nodes,
    );
    let mut kinds: BTreeMap<&str, u64> = BTreeMap::new();
    for (all, sign) in [(&after, true), (&before, false)] {
        for traffic in all.iter().flat_map(|status| &status.traffic) {
            let sum = kinds.entry(&traffic.kind).or_default();
            *sum = match sign {
                true => *sum + traffic.sent_bytes,
                false => sum.saturating_sub(traffic.sent_bytes),
            };
        }
    }
    for (kind, bytes) in kinds {
        println!(
            "    {kind}: {:.0} bytes/s sent",
            bytes as f64 / time / nodes
        );
    }
}

async fn measure(arguments: &Arguments, count: usize) {
    let fleet = Fleet::start(Duration::from_millis(arguments.lease_ms));
    for engine in 0..arguments.engines {
        fleet.engine(&format!("engine-{engine}")).await;
    }
    for number in 0..arguments.listed {
        let (centre, id) = (format!("centre-{}", number % 20), format!("far-{number}"));
        let (kind, address) = (Kind::Engine, fleet.platform);
        fleet.register_in(&centre, &id, kind, "llm", address).await;
    }
    let mut entries = BTreeMap::new();
    for entry in 0..count {
        let id = format!("entry-{entry:02}");
        let handle = fleet.entry(&id, arguments.engines).await;
        entries.insert(id, handle);
    }
    let first = entries.values().next().expect("there are entries");
    let catalogue = Document::parse(CATALOGUE).expect("it is well-formed");
    first.submit_edit(&catalogue).await.expect("it is valid");
    let peers = count - 1;
    until("all hear all", &entries, |status| {
        let hearing = status.peers.iter().filter(|peer| peer.hearing == "hears");
        status.ready && hearing.count() == peers
    })
    .await;
    println!(
        "{count} entries, {} engines and {} more listed, lease {} ms",
        arguments.engines, arguments.listed, arguments.lease_ms
    );
    idle(&entries, arguments.seconds).await;
    let (each, last) = edits(&entries, arguments.edits).await;
    println!("  edit to in force, each entry: {}", quantiles(each));
    println!("  edit to in force, last entry: {}", quantiles(last));
    let mut gaps = Vec::new();
    for _ in 0..arguments.kills.min(count.saturating_sub(1)) {
        gaps.push(format!("{:.2}", kill(&mut entries).await));
        actix_rt::time::sleep(Duration::from_secs(1)).await;
    }
    println!("  without a holder after a kill: {} s", gaps.join(", "));
    for handle in entries.values() {
        handle.abort();
    }
}

#[actix_rt::main]
async fn main() {
    let arguments = Arguments::parse();
    for count in &arguments.entries {
        measure(&arguments, *count).await;
    }
}
