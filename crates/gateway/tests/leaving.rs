//! Engines that leave while the store answers only some of the instances.

mod harness;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use harness::kinds::{KINDS, Setup};
use harness::{FAST_LINK_MBPS, Gateway, wait_until};
use platform_standin::store::{Fault, Link};
use platform_standin::{Engine, Store, engine};

/// Interval between two records of an engine.
const HEARTBEAT: Duration = Duration::from_millis(100);

/// Time after which a leaving engine must get no more requests.
const DRAIN: Duration = Duration::from_secs(2);
/// Calls of each gateway after that.
const CALLS_PER_GATEWAY: usize = 5;
/// Records after which gateways know how often they are renewed.
const KNOWN_HEARTBEATS: usize = 80;

/// Engines that start at once.
const STARTED: usize = 600;
/// A link that takes the news of so many engines in a second or more.
const NARROW_LINK_MBPS: u32 = 3;

const READER_LOST_STORE: &str = "the store does not answer topic=keyed.servers";
const ALL_READ: &str = "all engines read";

/// Three gateways, of which the third does not read the store while the others do, and engines
/// that renew their records.
struct Fleet {
    gateways: [Gateway; 3],
    /// The store as each gateway reaches it.
    links: [Link; 3],
    /// Serves plain calls, and is to leave.
    app: Engine,
    /// Records that engines have written; they stop once this is dropped.
    heartbeats: Rc<Cell<usize>>,
}

impl Fleet {
    async fn start() -> Self {
        let store = Rc::new(Store::start().await);
        let links = [
            store.open_link().await,
            store.open_link().await,
            store.open_link().await,
        ];
        let first = Gateway::start_unconfigured_at(store.clone(), links[0].address);
        let (first, app, pool) = first.add_engines().await;
        let other = Engine::start("app-2").await;
        let heartbeats = Rc::new(Cell::new(0));
        let renewed = [(other.clone(), "app", None), (pool, "pool", Some("decode"))];
        for (engine, service, stage) in renewed {
            let (store, running) = (store.clone(), Rc::downgrade(&heartbeats));
            actix_rt::spawn(async move {
                while let Some(written) = running.upgrade() {
                    written.set(written.get() + 1);
                    engine.register(&store, service, "ready", stage);
                    tokio::time::sleep(HEARTBEAT).await;
                }
            });
        }
        let second = first.start_another_at(links[1].address, FAST_LINK_MBPS);
        let third = first.start_another_at(links[2].address, NARROW_LINK_MBPS);
        let gateways = [first, second, third];
        for gateway in &gateways {
            gateway.wait_until_ready(true).await;
            wait_until(async || knows_engines(gateway, 3).await).await;
        }
        // The gateways know how often records are renewed.
        wait_until(async || heartbeats.get() > KNOWN_HEARTBEATS).await;
        Self {
            gateways,
            links,
            app,
            heartbeats,
        }
    }

    /// Silences the store for the readers, and for the third gateway for good. `leave` happens
    /// meanwhile. Returns once the readers have read all engines again.
    async fn leave_unseen(&self, leave: impl FnOnce()) {
        let [first, second, _] = &self.gateways;
        let reads = [first, second].map(|reader| reader.count_log_lines(ALL_READ));
        for link in &self.links {
            link.fault(Fault::Silent);
        }
        wait_until(async || {
            [first, second]
                .iter()
                .all(|reader| reader.count_log_lines(READER_LOST_STORE) > 0)
        })
        .await;
        leave();
        for link in &self.links[..2] {
            link.fault(Fault::None);
        }
        wait_until(async || {
            let again = [first, second].map(|reader| reader.count_log_lines(ALL_READ));
            again[0] > reads[0] && again[1] > reads[1]
        })
        .await;
    }
}

async fn knows_engines(gateway: &Gateway, count: usize) -> bool {
    let page = gateway.metrics_page().await;
    page.lines()
        .any(|line| line == format!("tarragon_engines {count}"))
}

/// Sends calls that either engine may serve. Returns how many the leaving one received.
async fn calls_to_leaving(gateway: &Gateway, app: &Engine) -> usize {
    let before = app.received().len();
    for _ in 0..20 {
        let id = gateway.fresh_id();
        assert_eq!(gateway.call("/once/a", &id, &[]).await.status, 200);
    }
    app.received().len() - before
}

/// Guards against calls, for two seconds, to an engine whose record went while only the readers
/// could not reach the store: its absence was doubted as if no engine could have renewed its record.
#[actix_rt::test]
async fn an_engine_whose_record_went_unseen_while_others_renewed_theirs_gets_no_calls() {
    let fleet = Fleet::start().await;
    let store = fleet.gateways[0].store.clone();
    let id = fleet.app.id.clone();
    fleet
        .leave_unseen(|| store.put("keyed.servers", &id, None))
        .await;
    assert_eq!(calls_to_leaving(&fleet.gateways[0], &fleet.app).await, 0);
    drop(fleet.heartbeats);
}

/// Guards against calls to a leaving engine from instances that do not read the store: a reader
/// that had lost the store learned of the leaving from all records at once, and announced nothing.
#[actix_rt::test]
async fn a_leaving_that_a_reader_finds_in_all_records_reaches_the_other_instances() {
    let fleet = Fleet::start().await;
    let store = fleet.gateways[0].store.clone();
    fleet
        .leave_unseen(|| fleet.app.register(&store, "app", "draining", None))
        .await;
    let third = &fleet.gateways[2];
    wait_until(async || knows_engines(third, 2).await).await;
    assert_eq!(calls_to_leaving(third, &fleet.app).await, 0);
}

/// Guards against news of a leaving that waits behind other news: records of hundreds of engines
/// that start were sent in the order in which they came, some kilobytes at a time.
#[actix_rt::test]
async fn a_leaving_overtakes_news_of_engines_that_start() {
    let fleet = Fleet::start().await;
    let [first, _, third] = &fleet.gateways;
    for link in &fleet.links[1..] {
        link.fault(Fault::Silent);
    }
    for number in 0..STARTED {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let id = format!("start-{number}");
        engine::register(&first.store, &id, address, "new", "ready", None);
    }
    wait_until(async || knows_engines(first, 3 + STARTED).await).await;
    fleet.app.register(&first.store, "app", "draining", None);
    wait_until(async || {
        let of_record = third.count_log_lines_with("engine=app-1", "state=Draining");
        of_record + third.count_log_lines("engine leaves engine=app-1") > 0
    })
    .await;
    assert!(!knows_engines(third, 2 + STARTED).await);
}

/// Guards against requests to an engine that has announced in its answers that it leaves, by any
/// kind of request and from any instance: what an answer said of its engine ended with the answer,
/// and the store was away.
#[actix_rt::test]
async fn an_engine_that_announces_its_leaving_in_answers_gets_no_more_requests() {
    let mut broken = Vec::new();
    for kind in KINDS {
        let mut setup = Setup::start(kind).await;
        setup.engine.announce_leaving();
        for gateway in &setup.gateways {
            kind.call(gateway).await;
        }
        setup.replace_first().await;
        tokio::time::sleep(DRAIN).await;
        let before = setup.engine.received().len();
        for gateway in &setup.gateways {
            for _ in 0..CALLS_PER_GATEWAY {
                kind.call(gateway).await;
            }
        }
        let late = setup.engine.received().len() - before;
        if late > 0 {
            broken.push((kind, late));
        }
    }
    assert!(broken.is_empty(), "requests after the leaving: {broken:?}");
}
