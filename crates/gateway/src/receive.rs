//! Dispatches frames received from peers. The sending side is [`crate::mesh`].

use std::net::SocketAddr;

use adapter::store::{self, KeyedRecord};
use bytes::Bytes;
use clock::Moment;
use serving::engine::{Stage, StageChange};
use serving::fleet::WorkChange;
use serving::parts::Part;
use serving::receipt::Receipt;
use wire::gateway::{Frame, News, State};

use crate::frame::{decode_job, decode_outcome, decode_work, moment_before, moment_from_age};
use crate::instance::Instance;
use crate::peers::Topic;
use crate::placement::{client, server};
use crate::{
    announcements, compression, engine_cache, engine_records, limits, mesh, registrar, shares,
    store_reader, suspects, usage,
};

/// Dispatches a frame to the handlers of its parts.
pub(crate) fn handle_frame(instance: &Instance, from: SocketAddr, frame: Frame, receipt: Receipt) {
    let now = receipt.handled;
    let peer = frame.incarnation;
    if let Some(reports) = &frame.reports {
        server::on_reports(instance, peer, reports);
    }
    if let Some(answer) = &frame.answer {
        client::on_answer(instance, from, answer);
    }
    instance.origins.on_notes(&frame.origins, now);
    if !frame.begun.is_empty() {
        instance.on_stream_copies(from, &frame.begun);
    }
    if frame.begun_received {
        instance.origins.on_copy_received(from, peer);
    }
    if let Some(response) = frame.origin_response.clone() {
        instance.origins.on_response(from, response);
    }
    if let Some(request) = &frame.register {
        registrar::on_request(instance, from, request);
    }
    if frame.registered {
        registrar::on_confirmed(instance);
    }
    for evicted in &frame.evicted {
        instance.on_evicted(*evicted);
    }
    if let Some(state) = &frame.state {
        on_state(instance, from, peer, state, receipt);
    }
    if let Some(usage) = frame.usage.clone() {
        on_usage(instance, peer, usage, receipt);
    }
    apply_work(instance, &frame, now);
    for part in &frame.parts {
        let engine = instance.fleet.borrow().by_hash(part.engine);
        if let Some(engine) = engine {
            let part = Part {
                id: part.part,
                tokens: part.tokens,
            };
            instance.note_parts(&engine, &[part]);
        }
    }
    apply_stage_changes(instance, &frame, now);
    announcements::merge_leaving_from_peer(instance, &frame.leaving);
    let chosen = frame.answer.is_some().then_some(receipt.arrived);
    for news in frame.news {
        on_news(instance, news, chosen);
    }
    for suspect in &frame.suspects {
        let (max_wait, now) = (receipt.max_wait(), suspects::now(instance));
        instance.suspects.merge(suspect, "instance", max_wait, now);
    }
    shares::merge_from_peer(instance, peer, &frame.organisation_uses, now);
    limits::merge_from_peer(instance, &frame.rate_limits, receipt);
    check_synced(instance, frame.all_engines);
    if frame.read_configuration {
        instance.must_read_configuration.set(true);
    }
}

fn on_state(instance: &Instance, from: SocketAddr, peer: u64, state: &State, receipt: Receipt) {
    let now = receipt.handled;
    let mut peers = instance.peers.borrow_mut();
    let replaced = peers.on_state(from, peer, state, receipt);
    drop(peers);
    if replaced.is_some() {
        instance.links.on_restarted(from);
    }
    instance.claim_log.merge(state.claimed, &state.numbers, now);
    if let Some(ledger) = instance.usage.borrow_mut().as_mut() {
        for window in &state.reported {
            ledger.mark_taken(*window);
        }
    }
    // A reader that has not read yet knows no era.
    if mesh::reads_store(state) && state.engines_upto > 0 {
        instance.on_era(store::era(state.engines_upto));
    }
    if state.placing && !instance.engines_known.get() {
        instance.update_engine_scope();
    }
    // Peers that do not read may lack the same records as this instance.
    if mesh::reads_store(state) {
        check_synced(instance, state.engines_digest);
    }
    if let Some(read) = moment_from_age(state.engines_age_ms, receipt.arrived) {
        let end = (state.engines_end > 0).then_some(state.engines_end);
        engine_records::on_store_answered(
            &mut instance.registry.borrow_mut(),
            end,
            read,
            "instance",
        );
    }
    if let Some(replaced) = replaced {
        instance.fleet.borrow_mut().forget_peer(replaced, now);
    }
}

/// Merges a peer's usage counts. Those that waited may lack what the peer has counted since.
fn on_usage(instance: &Instance, peer: u64, usage: wire::gateway::Usage, receipt: Receipt) {
    let arrived = instance.unix().saturating_sub(receipt.max_wait());
    let mut ledger = instance.usage.borrow_mut();
    if let Some(ledger) = ledger.as_mut() {
        ledger.merge(peer, usage::decode(usage), arrived);
    }
}

/// Marks this instance as synced once its engines match the digest of an instance that knows all.
fn check_synced(instance: &Instance, digest: u64) {
    // Checked first, since computing the own digest visits all engines.
    if digest == 0 || !instance.wants_engines.get() {
        return;
    }
    if instance.known(Topic::Engines).digest == digest {
        instance.engines_known.set(true);
        instance.update_engine_scope();
        log::info!("all engines known, from another instance");
    }
}

/// Applies a frame's changes of work at engines.
fn apply_work(instance: &Instance, frame: &Frame, now: Moment) {
    let mut fleet = instance.fleet.borrow_mut();
    let started = frame.started.iter().filter_map(|started| {
        let engine = fleet.by_hash(started.engine)?;
        Some(WorkChange::Started(
            engine,
            decode_job(started.job.as_ref()?, now),
        ))
    });
    let read = frame.read.iter().filter_map(|read| {
        let engine = fleet.by_hash(read.engine)?;
        Some(WorkChange::Read(
            engine,
            read.ticket,
            moment_before(now, read.age_ms),
        ))
    });
    let ended = frame.ended.iter().filter_map(|ended| {
        let engine = fleet.by_hash(ended.engine)?;
        Some(WorkChange::Ended(
            engine,
            ended.ticket,
            decode_outcome(ended.outcome()),
        ))
    });
    let gone = frame.gone.iter();
    let gone = gone.filter_map(|gone| Some(WorkChange::EngineEnded(fleet.by_hash(*gone)?)));
    let changes: Vec<WorkChange> = started.chain(read).chain(ended).chain(gone).collect();
    let works = frame.state.as_ref().map(|state| {
        let works = state.works.iter();
        let works = works.filter_map(|work_at| {
            Some((fleet.by_hash(work_at.engine)?, decode_work(work_at, now)))
        });
        works.collect()
    });
    fleet.apply_frame(frame.incarnation, &changes, works, now);
}

fn apply_stage_changes(instance: &Instance, frame: &Frame, now: Moment) {
    let mut fleet = instance.fleet.borrow_mut();
    for change in &frame.changing {
        let Some(engine) = fleet.by_hash(change.engine) else {
            continue;
        };
        let stage = if change.reads {
            Stage::Prefill
        } else {
            Stage::Decode
        };
        let changing = StageChange {
            stage,
            since: now,
            own: false,
        };
        fleet.begin_stage_change(&engine, changing);
    }
}

/// Applies a record that another instance sent; `chosen` is when it arrived if it is of an engine that a placer
/// chose for a call of this instance.
fn on_news(instance: &Instance, news: News, chosen: Option<Moment>) {
    let topic = Topic::of(&news);
    let value = match news.value {
        Some(value) if news.compressed => match compression::decompress(&value) {
            Ok(value) => Some(value),
            Err(error) => {
                log::error!(offset = news.offset, error:% = error; "a record from another instance cannot be decompressed");
                return;
            }
        },
        value => value,
    };
    let record = KeyedRecord {
        offset: news.offset,
        key: news.key,
        value: value.map(Bytes::from),
    };
    if let Some(arrived) = chosen.filter(|_| instance.is_caching.get()) {
        engine_cache::on_chosen(instance, &record, arrived);
    } else if engine_cache::accepts(instance, topic, &record) {
        store_reader::apply_update(instance, topic, &record);
    }
}
