//! All gateway processes are killed while the engines of a service are replaced by such of another
//! software version. Requesters take up their streams again.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use platform_standin::{Engine, Store};
use review_standins::{
    BROKEN, COULD_NOT_RUN, Folder, Gateway, HELD, Log, ask_configuration, ask_text, events,
    has_trouble, request, run_case, wait_until,
};
use tokio::time::sleep;

/// Streams that are under way when the processes are killed.
const STREAMS: usize = 10;
/// Events of a stream and the pause between two of them: 6 s in all.
const EVENTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(300);
/// Time budget of a requester, and time-out of the route.
const TIME_BUDGET: Duration = Duration::from_millis(8_000);
/// Time for which an engine serves after its report that it leaves: `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time between two replacements of a release.
const GAP: Duration = Duration::from_millis(1_000);
/// Time between the kill and the start of the processes.
const DOWN: Duration = Duration::from_millis(1_000);
/// More streams than this with events of two versions break the rule.
const ALLOWED: usize = 2;

async fn engine(store: &Store, id: &str, software: &'static str) -> Engine {
    let engine = Engine::start(id).await;
    engine.set_software(software);
    engine.set_stream(EVENTS, PAUSE);
    engine.register(store, "llm", "ready", Some("decode"));
    engine
}

/// Reports that it leaves, serves on for `DRAIN` and as long as a request runs there, and ends.
async fn leave(store: Store, engine: Engine, is_idle: impl Fn() -> bool, log: Rc<RefCell<Log>>) {
    engine.register(&store, "llm", "draining", Some("decode"));
    log.borrow_mut().line(&format!("{} leaves", engine.id));
    sleep(DRAIN).await;
    while !is_idle() {
        sleep(Duration::from_millis(20)).await;
    }
    engine.stop();
    store.put("keyed.servers", &engine.id, None);
    log.borrow_mut().line(&format!("{} has left", engine.id));
}

async fn run(folder: PathBuf) -> std::io::Result<i32> {
    let temporary = Folder::create("1")?;
    let log = Rc::new(RefCell::new(Log::create(&folder)?));
    let note = |text: &str| log.borrow_mut().line(text);
    let store = Store::start().await;
    store.put("keyed.op", "config", Some(&ask_configuration()));
    let old = [
        engine(&store, "i-old-1", "v1").await,
        engine(&store, "i-old-2", "v1").await,
    ];
    let mut gateways = Vec::new();
    for number in 1..=6 {
        let mut gateway = Gateway::new(&temporary.0, number, 1, store.address)?;
        gateway.start()?;
        gateways.push(gateway);
    }
    for gateway in &gateways {
        if !wait_until(Duration::from_secs(15), async || gateway.is_ready().await).await {
            note("a gateway does not get ready");
            return Ok(COULD_NOT_RUN);
        }
    }
    sleep(Duration::from_secs(2)).await;
    note("6 gateways are ready; 2 engines of version v1 serve");

    // Ten requesters begin a stream each.
    let began = Instant::now();
    let running = Rc::new(Cell::new(STREAMS));
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let (to, running) = (gateways[number % 6].front, running.clone());
        let id = format!("{:016x}", 0x5eed_0000 + number);
        streams.push(actix_rt::spawn(async move {
            let received = request(to, &ask_text(&id, TIME_BUDGET, ""), b"{}", TIME_BUDGET).await;
            running.set(running.get() - 1);
            (id, received)
        }));
    }
    sleep(Duration::from_millis(300)).await;

    // The release: the new engines start first, then the old ones leave, one after the other.
    let new = [
        engine(&store, "i-new-1", "v2").await,
        engine(&store, "i-new-2", "v2").await,
    ];
    note("2 engines of version v2 have started");
    sleep(Duration::from_millis(300)).await;
    let mut leaving = Vec::new();
    for engine in &old {
        let running = running.clone();
        let is_idle = move || running.get() == 0;
        leaving.push(actix_rt::spawn(leave(
            store.clone(),
            engine.clone(),
            is_idle,
            log.clone(),
        )));
        sleep(GAP).await;
    }

    // The disruption: all processes are killed, and started again a second later.
    sleep(Duration::from_millis(1_200)).await;
    if has_trouble() {
        for gateway in &mut gateways {
            gateway.kill();
        }
        note("all gateways are killed");
        sleep(DOWN).await;
        for gateway in &mut gateways {
            gateway.restart()?;
        }
        note("all gateways are started again");
    }

    let mut mixed = 0;
    let mut begun = 0;
    let mut resumed = Vec::new();
    for stream in streams {
        let (id, received) = stream.await.unwrap_or_default();
        let seen = events(&received);
        let last = seen.last().map_or(0, |(number, _)| *number);
        let versions: Vec<&str> = seen.iter().map(|(_, version)| version.as_str()).collect();
        log.borrow_mut().line(&format!(
            "{id}: status {}, events 1 to {last} of {versions:?}, complete {}",
            received.status, received.complete
        ));
        begun += usize::from(!seen.is_empty());
        if received.complete || seen.is_empty() {
            continue;
        }
        // The requester's one further try, at a node that is ready, within its time budget.
        let target = &gateways[resumed.len() % 6];
        let (front, ready) = (target.front, target.ready);
        let ready = Ready { ready };
        let versions: Vec<String> = versions.into_iter().map(str::to_owned).collect();
        resumed.push(actix_rt::spawn(async move {
            let is_ready = wait_until(Duration::from_secs(4), async || ready.asked().await).await;
            let left = TIME_BUDGET.saturating_sub(began.elapsed());
            if !is_ready || left.is_zero() {
                return (id, versions, None);
            }
            let more = format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
            let again = format!("{id}-2");
            let received = request(front, &ask_text(&again, left, &more), b"{}", left).await;
            (id, versions, Some(received))
        }));
    }
    for stream in resumed {
        let (id, mut versions, received) = stream.await.unwrap_or_default();
        let Some(received) = received else {
            note(&format!(
                "{id}: not taken up again, no node was ready in time"
            ));
            continue;
        };
        let seen = events(&received);
        let numbers: Vec<usize> = seen.iter().map(|(number, _)| *number).collect();
        let more: Vec<&str> = seen.iter().map(|(_, version)| version.as_str()).collect();
        note(&format!(
            "{id}: taken up again: status {}, events {numbers:?} of {more:?}, complete {}",
            received.status, received.complete
        ));
        versions.extend(more.into_iter().map(str::to_owned));
        let is_mixed = versions.iter().any(|version| *version != versions[0]);
        mixed += usize::from(is_mixed);
    }
    for engine in old.iter().chain(&new) {
        note(&format!(
            "{}: {} requests ran, {} orders",
            engine.id,
            engine
                .received()
                .iter()
                .filter(|request| request.ran)
                .count(),
            engine.orders().len()
        ));
    }
    for task in leaving {
        task.abort();
    }
    note(&format!(
        "{begun} streams began, {mixed} hold events of two software versions; {ALLOWED} are allowed"
    ));
    Ok(if begun < STREAMS {
        COULD_NOT_RUN
    } else if mixed > ALLOWED {
        BROKEN
    } else {
        HELD
    })
}

/// The readiness check of a node.
struct Ready {
    ready: std::net::SocketAddr,
}

impl Ready {
    async fn asked(&self) -> bool {
        let text = "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n";
        request(self.ready, text, b"", Duration::from_millis(500))
            .await
            .status
            == 200
    }
}

fn main() {
    run_case(run);
}
