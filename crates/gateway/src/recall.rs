//! Learns after a start which parts the engines hold.
//!
//! An instance that starts knows nothing of what engines have read, and its calls would have
//! prompts read again that some engine holds. One notices it by late answers in the seconds after all
//! instances were restarted, while engines are as they were. Where another instance has lived
//! on, it tells what it knows; else each instance asks its share of the engines once.

use std::rc::Rc;
use std::time::Duration;

use adapter::upstream;
use bytes::Bytes;
use http1::{Client, Patience};
use serving::EngineId;
use serving::engine::Record;
use serving::parts::Part;
use tokio::time::{sleep, timeout};

use crate::attempt::MOST;
use crate::instance::Instance;
use crate::limits;

/// Pause between two looks whether all is there that is needed.
const LOOK: Duration = Duration::from_millis(50);
/// Time after the engines are known in which another instance would have told.
const HEARSAY: Duration = Duration::from_millis(150);
/// Longest time for one engine's answer.
const ANSWER: Duration = Duration::from_millis(500);
/// As [`crate::pool`] has for calls, with little time since the answer is of use only soon.
const PATIENCE: Patience = Patience {
    connect: ANSWER,
    acknowledge: ANSWER,
    probe: ANSWER,
    probes: 1,
};

/// Learns what engines hold each time that this instance begins to place calls.
pub(crate) async fn run(instance: Rc<Instance>) {
    loop {
        while !(instance.is_placing() && instance.knows_all()) {
            sleep(LOOK).await;
        }
        sleep(HEARSAY).await;
        let is_told = instance.peers.borrow().is_told(instance.now());
        if !is_told {
            ask_share(&instance).await;
        }
        instance.peers.borrow_mut().knows = true;
        while instance.is_placing() {
            sleep(LOOK).await;
        }
        instance.peers.borrow_mut().knows = false;
    }
}

async fn ask_share(instance: &Rc<Instance>) {
    let engines: Vec<Record> = {
        let fleet = instance.fleet.borrow();
        let with_model = fleet.all().filter(|engine| engine.record.stage.is_some());
        let share = with_model.filter(|engine| instance.has_share(&engine.record.id));
        share.map(|engine| engine.record.clone()).collect()
    };
    let mut known = 0;
    for engine in &engines {
        // What an engine in need holds is learned from its calls.
        if !limits::try_charge(instance, &engine.id) {
            continue;
        }
        match timeout(ANSWER, ask(instance, engine)).await {
            Ok(Some(parts)) => {
                known += parts.len();
                learn(instance, &engine.id, &parts);
            }
            _ => log::info!(engine = &*engine.id; "an engine did not tell what it holds"),
        }
    }
    log::info!(engines = engines.len(), parts = known; "asked engines what they hold");
}

async fn ask(instance: &Instance, engine: &Record) -> Option<Vec<Part>> {
    let client = Client::open(engine.address, &PATIENCE, &instance.codec).await;
    let mut client = client.ok()?;
    let head = upstream::parts_request(engine.address);
    let answer = client.send(head, &Bytes::new()).await.ok()?;
    limits::note_announced(instance, &engine.id, upstream::limit(&answer.head));
    let body = client.body(MOST).await.ok()?;
    upstream::parts(&body, engine.born)
}

fn learn(instance: &Instance, engine: &EngineId, parts: &[Part]) {
    instance.note_parts(engine, parts);
    instance.peers.borrow_mut().uses(engine, parts);
}
