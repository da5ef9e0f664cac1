//! One gateway freezes while streams are under way there. Meanwhile an engine of another software version
//! starts beside those that serve. Requesters abandon the silent streams and take them up elsewhere.

use std::cell::RefCell;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use platform_standin::{Engine, Store};
use review_standins::{
    BROKEN, COULD_NOT_RUN, Folder, Gateway, HELD, Log, Received, ask_configuration, ask_text,
    events, has_trouble, request, run_case, wait_until,
};
use tokio::time::{sleep, timeout};

/// Streams under way at the machine that freezes; the rule counts from twelve on.
const STREAMS: usize = 16;
const LEAST: usize = 12;
/// Events of a stream and the pause between two of them: 6 s in all.
const EVENTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(300);
/// Time budget of a requester, and time-out of the route.
const TIME_BUDGET: Duration = Duration::from_millis(8_000);
/// Gap after which a requester abandons a stream: the longest of two seconds, four times the objective
/// (500 ms) and eight times the pause that the sheet allows (300 ms).
const GAP: Duration = Duration::from_millis(2_400);
/// How long the machine stands still.
const FREEZE: Duration = Duration::from_millis(3_500);

/// A stream until it ends or has been silent for `GAP`, or, without the disruption, until `give_up`.
async fn begin(to: std::net::SocketAddr, id: &str, give_up: Option<Instant>) -> Received {
    use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
    let mut bytes = Vec::new();
    let text = ask_text(id, TIME_BUDGET, "");
    if let Ok(mut stream) = tokio::net::TcpStream::connect(to).await {
        let _ = stream.write_all(text.as_bytes()).await;
        let _ = stream.write_all(b"{}").await;
        loop {
            if review_standins::parse(&bytes).complete {
                break;
            }
            let left = give_up.map_or(GAP, |at| at.saturating_duration_since(Instant::now()));
            match timeout(left, stream.read_buf(&mut bytes)).await {
                Ok(Ok(1..)) => {}
                _ => break,
            }
        }
    }
    review_standins::parse(&bytes)
}

async fn add_engine(store: &Store, id: &str, software: &'static str) -> Engine {
    let engine = Engine::start(id).await;
    engine.set_software(software);
    engine.set_stream(EVENTS, PAUSE);
    engine.register(store, "llm", "ready", Some("decode"));
    engine
}

async fn run(folder: PathBuf) -> std::io::Result<i32> {
    let temporary = Folder::create("3")?;
    let log = RefCell::new(Log::create(&folder)?);
    let note = |text: &str| log.borrow_mut().line(text);
    let store = Store::start().await;
    store.put("keyed.op", "config", Some(&ask_configuration()));
    let mut engines = Vec::new();
    for id in ["i-old-1", "i-old-2", "i-old-3", "i-old-4"] {
        engines.push(add_engine(&store, id, "v1").await);
    }
    let mut gateways = Vec::new();
    for number in 1..=6 {
        let mut gateway = Gateway::new(&temporary.0, number, 3, store.address)?;
        gateway.start()?;
        gateways.push(gateway);
    }
    for gateway in &gateways {
        if !wait_until(Duration::from_secs(15), async || gateway.is_ready().await).await {
            note("a gateway does not get ready");
            return Ok(COULD_NOT_RUN);
        }
    }
    // Longer than `stable_window_ms`: all machines are in touch.
    sleep(Duration::from_secs(4)).await;
    note("6 gateways have been ready for 4 s; 4 engines of version v1 serve");

    let began = Instant::now();
    let first = gateways[0].front;
    let give_up = (!has_trouble()).then(|| began + Duration::from_millis(1_500) + GAP);
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let id = format!("{:016x}", 0x5eed_1000 + number);
        streams.push(actix_rt::spawn(async move {
            let received = begin(first, &id, give_up).await;
            (id, received)
        }));
    }
    sleep(Duration::from_millis(1_500)).await;
    note(&format!(
        "{STREAMS} streams are under way at {}",
        gateways[0].name
    ));
    if has_trouble() {
        gateways[0].signal("STOP");
        note("that machine freezes");
    }
    sleep(Duration::from_millis(1_000)).await;
    engines.push(add_engine(&store, "i-new-1", "v2").await);
    note("an engine of version v2 has started beside them");

    // Requesters notice the silence, and take their streams up at the other machines; as many new streams
    // begin there.
    let mut resumed = Vec::new();
    let mut fresh = Vec::new();
    let mut whole = 0;
    for (number, stream) in streams.into_iter().enumerate() {
        let (id, received) = stream.await.unwrap_or_default();
        let seen = events(&received);
        let last = seen.last().map_or(0, |(number, _)| *number);
        note(&format!(
            "{id}: status {}, {last} events, complete {}",
            received.status, received.complete
        ));
        whole += usize::from(received.complete);
        if last == 0 || received.complete {
            continue;
        }
        let to = gateways[1 + number % 5].front;
        let left = TIME_BUDGET.saturating_sub(began.elapsed());
        let more = format!("Last-Event-Id: {last}\r\nResumes: {id}\r\n");
        let again = ask_text(&format!("{id}-2"), left, &more);
        resumed.push(actix_rt::spawn(async move {
            (id, last, request(to, &again, b"{}", left).await)
        }));
        let new = format!("{:016x}", 0x5eed_2000 + number);
        let text = ask_text(&new, TIME_BUDGET, "");
        fresh.push(actix_rt::spawn(async move {
            (new, request(to, &text, b"{}", TIME_BUDGET).await)
        }));
    }
    let thaw = FREEZE.saturating_sub(began.elapsed().saturating_sub(Duration::from_millis(1_500)));
    let thawing = async {
        sleep(thaw).await;
        if has_trouble() {
            gateways[0].signal("CONT");
            note("the machine goes on");
        }
    };
    let collecting = async {
        let (mut taken_up, mut gone_on, mut new, mut begun) = (0, 0, 0, 0);
        for stream in resumed {
            let (id, last, received) = stream.await.unwrap_or_default();
            let seen = events(&received);
            let after = received
                .head
                .lines()
                .find(|line| line.starts_with("retry-after"));
            note(&format!(
                "{id}: taken up again after {last}: status {}, {} events, complete {} {}",
                received.status,
                seen.len(),
                received.complete,
                after.unwrap_or_default()
            ));
            taken_up += 1;
            gone_on += usize::from(!seen.is_empty());
        }
        for stream in fresh {
            let (id, received) = stream.await.unwrap_or_default();
            let seen = events(&received);
            note(&format!(
                "{id}: new: status {}, {} events, complete {}",
                received.status,
                seen.len(),
                received.complete
            ));
            new += 1;
            begun += usize::from(!seen.is_empty());
        }
        (taken_up, gone_on, new, begun)
    };
    let (_, (taken_up, gone_on, new, begun)) = tokio::join!(thawing, collecting);
    let serving = engines
        .iter()
        .filter(|engine| engine.id.starts_with("i-old"));
    note(&format!(
        "{} engines of version v1 serve, {} streams were whole",
        serving.filter(|engine| !engine.has_stopped()).count(),
        whole
    ));
    note(&format!(
        "of {taken_up} streams that were taken up again {gone_on} went on; of {new} new streams {begun} began"
    ));
    // Shares compared without division: gone_on / taken_up < (begun / new) / 2.
    Ok(if taken_up < LEAST || begun == 0 {
        COULD_NOT_RUN
    } else if 2 * gone_on * new < begun * taken_up {
        BROKEN
    } else {
        HELD
    })
}

fn main() {
    run_case(run);
}
