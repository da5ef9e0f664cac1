//! Takes in what other instances tell. What this one tells is in [`crate::mesh`].

use std::net::SocketAddr;

use adapter::store::{self, Keyed};
use bytes::Bytes;
use clock::Moment;
use serving::engine::{Changing, Stage};
use serving::fleet::Change;
use serving::parts::Part;
use wire::gateway::{Frame, News, State};

use crate::frame::{before, job, moment, outcome, work};
use crate::instance::Instance;
use crate::peers::Topic;
use crate::placement::{client, server};
use crate::{follow, limits, mesh, suspects, usage};

/// Takes in a frame.
pub(crate) fn take(instance: &Instance, from: SocketAddr, frame: Frame) {
    let now = instance.now();
    let peer = frame.incarnation;
    if let Some(reports) = &frame.reports {
        server::on_reports(instance, peer, reports);
    }
    if let Some(answer) = &frame.answer {
        client::on_answer(instance, from, answer);
    }
    if let Some(state) = &frame.state {
        take_state(instance, from, peer, state, now);
    }
    if let Some(told) = frame.usage.clone() {
        take_usage(instance, peer, told);
    }
    take_work(instance, &frame, now);
    for part in &frame.parts {
        let engine = instance.fleet.borrow().by_short(part.engine);
        if let Some(engine) = engine {
            let part = Part {
                id: part.part,
                tokens: part.tokens,
            };
            instance.note_parts(&engine, &[part]);
        }
    }
    take_changing(instance, &frame, now);
    for news in frame.news {
        take_news(instance, news);
    }
    for suspect in &frame.suspects {
        instance
            .suspects
            .hear(suspect, "instance", suspects::now(instance));
    }
    limits::receive(instance, &frame.rate_limits, now);
    note_all_engines(instance, frame.all_engines);
    if frame.read_configuration {
        instance.must_read.set(true);
    }
}

fn take_state(instance: &Instance, from: SocketAddr, peer: u64, state: &State, now: Moment) {
    let mut peers = instance.peers.borrow_mut();
    let replaced = peers.heard(from, peer, state, now);
    drop(peers);
    instance.claim_log.merge(state.claimed, &state.numbers, now);
    if let Some(ledger) = instance.usage.borrow_mut().as_mut() {
        for window in &state.reported {
            ledger.taken(*window);
        }
    }
    // A reader that has read nothing yet knows no era.
    if mesh::reads_store(state) && state.engines_upto > 0 {
        instance.heard_era(store::era(state.engines_upto));
    }
    // Others that are only told may lack what is missing here.
    if mesh::reads_store(state) {
        note_all_engines(instance, state.engines_digest);
    }
    if let Some(read) = moment(state.engines_age_ms, now) {
        instance.registry.borrow_mut().heard(read);
    }
    if let Some(replaced) = replaced {
        instance.fleet.borrow_mut().forget_peer(replaced, now);
    }
}

/// Takes in what another instance counted of the use by organisations.
fn take_usage(instance: &Instance, peer: u64, told: wire::gateway::Usage) {
    let mut ledger = instance.usage.borrow_mut();
    if let Some(ledger) = ledger.as_mut() {
        ledger.hear(peer, usage::heard(told), instance.unix());
    }
}

/// Takes in the digest of all engines, by which an instance that was told of them sees that none is missing.
fn note_all_engines(instance: &Instance, digest: u64) {
    // Looked at first: a digest is a sum over all engines, and most frames come when all are known.
    if digest == 0 || instance.engines_known.get() {
        return;
    }
    if instance.knows(Topic::Engines).digest == digest {
        instance.engines_known.set(true);
        log::info!("all engines known, from another instance");
    }
}

/// Takes in the work at engines that a frame tells.
fn take_work(instance: &Instance, frame: &Frame, now: Moment) {
    let mut fleet = instance.fleet.borrow_mut();
    let started = frame.started.iter().filter_map(|started| {
        let engine = fleet.by_short(started.engine)?;
        Some(Change::Started(engine, job(started.job.as_ref()?, now)))
    });
    let read = frame.read.iter().filter_map(|read| {
        let engine = fleet.by_short(read.engine)?;
        Some(Change::Read(engine, read.ticket, before(now, read.age_ms)))
    });
    let ended = frame.ended.iter().filter_map(|ended| {
        let engine = fleet.by_short(ended.engine)?;
        Some(Change::Ended(
            engine,
            ended.ticket,
            outcome(ended.outcome()),
        ))
    });
    let gone = frame.gone.iter();
    let gone = gone.filter_map(|gone| Some(Change::Gone(fleet.by_short(*gone)?)));
    let changes: Vec<Change> = started.chain(read).chain(ended).chain(gone).collect();
    let works = frame.state.as_ref().map(|state| {
        let works = state.works.iter();
        let works = works.filter_map(|told| Some((fleet.by_short(told.engine)?, work(told, now))));
        works.collect()
    });
    fleet.hear_frame(frame.incarnation, &changes, works, now);
}

fn take_changing(instance: &Instance, frame: &Frame, now: Moment) {
    let mut fleet = instance.fleet.borrow_mut();
    for told in &frame.changing {
        let Some(engine) = fleet.by_short(told.engine) else {
            continue;
        };
        let stage = if told.reads {
            Stage::Prefill
        } else {
            Stage::Decode
        };
        let changing = Changing {
            stage,
            since: now,
            own: false,
        };
        fleet.change(&engine, changing);
    }
}

fn take_news(instance: &Instance, news: News) {
    let topic = Topic::of(&news);
    let record = Keyed {
        offset: news.offset,
        key: news.key,
        value: news.value.map(Bytes::from),
    };
    follow::hear(instance, topic, &record);
}
