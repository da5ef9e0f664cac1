//! Warms up the prefix cache index after a start.
//!
//! An instance that has just started does not know which prompt parts engines have cached, so
//! prompts would be prefilled again at other engines. A live peer announces what it knows; without
//! one, each instance queries its share of the engines once.

use std::rc::Rc;
use std::time::Duration;

use adapter::upstream;
use bytes::Bytes;
use http1::TcpTimeouts;
use serving::EngineId;
use serving::engine::Record;
use serving::parts::Part;
use tokio::time::{sleep, timeout};

use crate::attempt::MAX_BODY_BYTES;
use crate::instance::Instance;
use crate::{announcements, limits};

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time that peers get to announce what they know, once the engines are known.
const PEER_GRACE: Duration = Duration::from_millis(150);
/// For each engine.
const HELD_PARTS_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Shorter than for calls: a late response is of no use.
const PATIENCE: TcpTimeouts = TcpTimeouts::within(HELD_PARTS_RESPONSE_TIMEOUT);

/// Warms up each time this instance becomes a placer.
pub(crate) async fn run(instance: Rc<Instance>) {
    loop {
        while !(instance.is_placing() && instance.is_synced()) {
            sleep(POLL_INTERVAL).await;
        }
        sleep(PEER_GRACE).await;
        let has_warm_peer = instance.peers.borrow().has_warm_peer(instance.now());
        if !has_warm_peer {
            query_share(&instance).await;
        }
        instance.peers.borrow_mut().is_warm = true;
        while instance.is_placing() {
            sleep(POLL_INTERVAL).await;
        }
        instance.peers.borrow_mut().is_warm = false;
    }
}

async fn query_share(instance: &Rc<Instance>) {
    let engines: Vec<Record> = {
        let fleet = instance.fleet.borrow();
        let with_model = fleet.all().filter(|engine| engine.record.stage.is_some());
        let share = with_model.filter(|engine| instance.is_in_share(&engine.record.id));
        share.map(|engine| engine.record.clone()).collect()
    };
    let mut known = 0;
    for engine in &engines {
        // The parts of an engine without tokens left are learned from its calls.
        if !limits::try_charge(instance, &engine.id) {
            continue;
        }
        match timeout(HELD_PARTS_RESPONSE_TIMEOUT, query(instance, engine)).await {
            Ok(Some(parts)) => {
                known += parts.len();
                record(instance, &engine.id, &parts);
            }
            _ => log::info!(engine = &*engine.id; "an engine did not tell what it holds"),
        }
    }
    log::info!(engines = engines.len(), parts = known; "asked engines what they hold");
}

async fn query(instance: &Instance, engine: &Record) -> Option<Vec<Part>> {
    let client = instance.connect(engine.address, &PATIENCE).await;
    let mut client = client.ok()?;
    let head = upstream::held_parts_request(engine.address);
    let response = client.send(head, &Bytes::new()).await.ok()?;
    announcements::observe_own(instance, &engine.id, &response.head);
    let body = client.body(MAX_BODY_BYTES).await.ok()?;
    upstream::parse_held_parts(&body, engine.started_ms)
}

fn record(instance: &Instance, engine: &EngineId, parts: &[Part]) {
    instance.note_parts(engine, parts);
    instance.peers.borrow_mut().queue_parts(engine, parts);
}
