//! A request ends each engine that begins to run it, and is sent again and again. In the first part the
//! engines' machines go dark; in the second one their processes end between two events of answers that have
//! neither a length nor chunks.

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use platform_standin::Store;
use review_standins::engine::{End, Engine, Plan};
use review_standins::{
    BROKEN, COULD_NOT_RUN, Folder, Gateway, HELD, HOST, Log, events, has_trouble, request,
    run_case, wait_until,
};
use serde_json::json;
use tokio::time::sleep;

const ENGINES: usize = 8;
/// Events of a stream and the pause between two of them: 2 s in all.
const EVENTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(200);
/// Time budget of a requester, and time-out of the route.
const TIME_BUDGET: Duration = Duration::from_millis(4_000);
/// Requesters of sound streams.
const SOUND: usize = 10;
/// The request that ends engines: its path and its pause before it comes again.
const FATAL_PATH: &str = "/sort/report-17";
const FATAL_PAUSE: Duration = Duration::from_millis(1_000);
/// Time until an engine that has ended is back.
const DOWN: Duration = Duration::from_millis(4_000);
/// `stable_window_ms`.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Retries that may reach engines later than that after the third crash.
const ALLOWED: usize = 3;
/// How long requesters send.
const LENGTH: Duration = Duration::from_secs(30);

fn configuration() -> serde_json::Value {
    json!({
        "version": 7,
        "routes": [{
            "name": "sort", "host": HOST, "path_prefix": "/sort/", "kind": "streaming", "timeout_ms": 4000,
            "target_latency_ms": 600, "priority": 0, "service": "llm", "max_attempts": 1, "resumable": false,
            "gap_target_ms": 300,
        }],
        "services": [{ "name": "llm", "max_conns": 300, "engine": {
            "slots": 8, "kv_capacity": 441_967, "kv_token_bytes": 35_136, "link_mbps": 330_000.0, "handle_ttl_s": 5.0 } }],
        "limits": { "max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 5_000,
            "idle_timeout_ms": 15_000 },
    })
}

fn text(path: &str, id: &str, part: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel-Name: m\r\nToken-Count: 9190,7\r\n\
         Prompt-Prefix: 5c1e07a2:6300,{part}:2890\r\nRequest-Deadline: {}\r\nContent-Length: 2\r\n\r\n",
        TIME_BUDGET.as_millis()
    )
}

async fn run(folder: PathBuf) -> std::io::Result<i32> {
    let log = Rc::new(RefCell::new(Log::create(&folder)?));
    let mut is_broken = false;
    for (number, end, in_chunks) in [(1, End::Dark, true), (2, End::Crash, false)] {
        let end = if has_trouble() { end } else { End::Never };
        // For comparison: a process that ends with its answers in chunks, which is noticed.
        let in_chunks = in_chunks || std::env::var("CHUNKS").as_deref() == Ok("1");
        log.borrow_mut().line(&format!(
            "part {number}: {end:?}, answers in chunks: {in_chunks}"
        ));
        match part(number, end, in_chunks, &log).await? {
            BROKEN => is_broken = true,
            HELD => {}
            other => return Ok(other),
        }
    }
    Ok(if is_broken { BROKEN } else { HELD })
}

/// Plays one part with gateways, a store and engines of its own.
async fn part(
    number: u8,
    end: End,
    in_chunks: bool,
    log: &Rc<RefCell<Log>>,
) -> std::io::Result<i32> {
    let temporary = Folder::create(&format!("2-{number}"))?;
    let note = |text: &str| log.borrow_mut().line(text);
    let store = Store::start().await;
    store.put("keyed.op", "config", Some(&configuration()));
    let mut gateways = Vec::new();
    for machine in 1..=3 {
        gateways.push(Gateway::new(
            &temporary.0,
            machine,
            20 + number,
            store.address,
        )?);
    }
    let ip = |gateway: &Gateway| match gateway.front.ip() {
        std::net::IpAddr::V4(ip) => ip,
        std::net::IpAddr::V6(_) => std::net::Ipv4Addr::LOCALHOST,
    };
    let plan = Rc::new(Plan {
        store: store.clone(),
        service: "llm",
        events: EVENTS,
        pause: PAUSE,
        fatal_path: FATAL_PATH,
        end,
        in_chunks,
        down: DOWN,
        gateways: gateways.iter().map(ip).collect(),
    });
    let mut engines = Vec::new();
    for number in 1..=ENGINES {
        engines.push(Engine::start(&plan, &format!("i-{number}")).await?);
    }
    for gateway in &mut gateways {
        gateway.start()?;
    }
    for gateway in &gateways {
        if !wait_until(Duration::from_secs(15), async || gateway.is_ready().await).await {
            note("a gateway does not get ready");
            return Ok(COULD_NOT_RUN);
        }
    }
    sleep(Duration::from_secs(4)).await;
    note(&format!(
        "3 gateways have been ready for 4 s; {ENGINES} engines serve; {end:?}"
    ));

    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let is_over = Rc::new(Cell::new(false));
    // Requesters of sound streams, no two alike.
    let mut sound = Vec::new();
    for number in 0..SOUND {
        let (fronts, is_over) = (fronts.clone(), is_over.clone());
        sound.push(actix_rt::spawn(async move {
            let mut outcomes = Vec::new();
            while !is_over.get() {
                let id = format!("{:016x}", 0x5000_0000 + number * 4096 + outcomes.len());
                let to = fronts[(number + outcomes.len()) % fronts.len()];
                let path = format!("/sort/{id}");
                let received = request(to, &text(&path, &id, &id), b"{}", TIME_BUDGET).await;
                let seen = events(&received).len();
                outcomes.push((id, seen));
                sleep(Duration::from_millis(100)).await;
            }
            outcomes
        }));
    }
    // The fatal request comes again a second after it got no whole answer, at the next machine.
    let began = Instant::now();
    let mut sent = Vec::new();
    while began.elapsed() < LENGTH {
        let id = format!("{:016x}", 0xfa7a_0000_u64 + sent.len() as u64);
        let at = Instant::now();
        let to = fronts[sent.len() % fronts.len()];
        let received = request(to, &text(FATAL_PATH, &id, "0badf00d"), b"{}", TIME_BUDGET).await;
        note(&format!(
            "fatal {id}: sent at {:.3} to {to}, status {}, {} bytes, after {:.3} s",
            (at - began).as_secs_f64(),
            received.status,
            received.body.len(),
            at.elapsed().as_secs_f64()
        ));
        sent.push((id, at));
        sleep(FATAL_PAUSE).await;
    }
    is_over.set(true);
    let mut outcomes = Vec::new();
    for requester in sound {
        outcomes.extend(requester.await.unwrap_or_default());
    }

    let mut crashes = Vec::new();
    for engine in &engines {
        for run in engine.runs.borrow().iter().filter(|run| run.is_fatal) {
            crashes.push((run.at, engine.id.clone(), run.id.clone()));
        }
    }
    crashes.sort();
    for (at, engine, id) in &crashes {
        note(&format!(
            "{engine} ended at {:.3} under {id}",
            (*at - began).as_secs_f64()
        ));
    }
    let cut: Vec<String> = engines
        .iter()
        .flat_map(|engine| engine.cut.borrow().clone())
        .collect();
    let lost = outcomes
        .iter()
        .filter(|(id, events)| cut.contains(id) && *events < EVENTS);
    let lost = lost.count();
    let whole = outcomes.iter().filter(|(_, events)| *events == EVENTS);
    note(&format!(
        "{} sound streams, {} with all events; {lost} were running at engines that ended, and were cut",
        outcomes.len(),
        whole.count()
    ));
    let third = crashes.get(2).map(|(at, ..)| *at);
    let is_late = |at: Instant| third.is_some_and(|third| at > third + STABLE_WINDOW);
    let late = sent
        .iter()
        .filter(|(id, at)| is_late(*at) && crashes.iter().any(|(_, _, ran)| ran == id));
    let late = late.count();
    note(&format!(
        "{} engines ended; {late} retries reached engines later than 3 s after the third, {ALLOWED} are allowed",
        crashes.len()
    ));
    Ok(if late > ALLOWED { BROKEN } else { HELD })
}

fn main() {
    run_case(run);
}
