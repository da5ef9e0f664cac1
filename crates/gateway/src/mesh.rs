//! Messages between instances: calls at engines and parts in use go to the placers, and changes in
//! the store to all. Frames are datagrams that supersede each other, so that a lost one needs no
//! repair; instances find each other through the store.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::store::Store;
use clock::Moment;
use serving::Fleet;
use serving::fleet::WorkChange;
use serving::hash;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use wire::Message as _;
use wire::gateway::{Frame, OriginRequest, State};

use crate::frame::{add_changes, encode_age, encode_changing, encode_started, encode_work};
use crate::instance::Instance;
use crate::peers::{self, MAX_PARTS_PER_FRAME, Topic};
use crate::placement::server;
use crate::usage::REPORTERS;
use crate::{
    announcements, bootstrap, discovery, engine_links, eviction, forward, limits, quarantine_store,
    receive, registrar, shares, suspects, usage, version_records, warmup,
};

mod inbox;
mod updates;

use inbox::{Datagram, DatagramInbox};

/// Pause between frames while nothing is placed.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a placer batches calls into one frame. Other instances report to one placer per
/// call, which waits for it, so they do not batch.
///
/// Two placers that place calls within this time choose the same engine, and the second call waits
/// for the first one's prompt although the engine looked idle. A shorter time makes this rarer, but
/// each frame costs bytes between data centres.
const BATCH_TIME: Duration = Duration::from_millis(10);
/// Interval between frames with the whole state, and so the time for which a lost frame leaves
/// peers with wrong state.
const STATE_INTERVAL: Duration = Duration::from_millis(700);
/// The same for an instance that reads the store for the others, which rely on its updates.
const READER_STATE_INTERVAL: Duration = Duration::from_millis(450);
/// Interval between usage frames. When an instance is killed, what it has counted since the last
/// one is lost.
const USAGE_INTERVAL: Duration = Duration::from_millis(500);
/// Share of the instance's link for frames; changes beyond it are batched.
const LINK_SHARE: f64 = 0.15;
/// Header bytes of a datagram on the link.
const HEADER_BYTES: usize = 46;
/// An instance whose last read of the store is younger than this reads it for the others.
const MAX_READER_AGE_MS: u32 = 2_000;
/// Prompts sent within this time are repeated in every frame, so that the loss of one does not hide
/// them.
const RESEND_WINDOW: Duration = Duration::from_millis(250);
/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 48 * 1024;

/// Starts the tasks that send and receive.
pub(crate) async fn start(instance: &Rc<Instance>) -> io::Result<()> {
    let own = instance.address;
    let inbox = DatagramInbox::bind(own, instance.clock)?;
    let socket = inbox.socket.clone();
    let forwarding = http1::listen(own)?;
    instance.pending_placements.bind(socket.clone());
    actix_rt::spawn(forward::server::run(instance.clone(), forwarding));
    actix_rt::spawn(engine_links::run(instance.clone()));
    actix_rt::spawn(engine_links::resolve_suspicions(instance.clone()));
    actix_rt::spawn(listen(instance.clone(), inbox));
    actix_rt::spawn(send_loop(instance.clone(), socket.clone()));
    actix_rt::spawn(updates::send_departures(instance.clone(), socket.clone()));
    actix_rt::spawn(evict_members(instance.clone(), socket.clone()));
    actix_rt::spawn(registrar::run(instance.clone(), socket));
    actix_rt::spawn(warmup::run(instance.clone()));
    actix_rt::spawn(discovery::run(instance.clone()));
    actix_rt::spawn(quarantine_store::run(instance.clone()));
    actix_rt::spawn(record_versions(instance.clone()));
    Ok(())
}

async fn record_versions(instance: Rc<Instance>) {
    let store = Store::new(instance.settings.borrow().store, instance.codec.clone());
    let unrecorded = || instance.versions_to_record();
    let on_written = |record| {
        let mut versions = instance.origins.versions.borrow_mut();
        versions.on_recorded(record);
    };
    version_records::run(store, unrecorded, on_written).await;
}

async fn evict_members(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let store = Store::new(instance.settings.borrow().store, instance.codec.clone());
    let due = || instance.gone_members();
    let on_removed = |gone: &[SocketAddr]| {
        let frame = instance.on_members_removed(gone);
        broadcast(&socket, &frame, &instance.peers.borrow().addresses());
    };
    eviction::run(store, due, on_removed).await;
}

async fn listen(instance: Rc<Instance>, mut inbox: DatagramInbox) {
    let socket = inbox.socket.clone();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let on_empty = |at| instance.peers.borrow_mut().on_listened(at);
        match inbox.receive(&mut buffer, on_empty).await {
            Ok(Datagram {
                size,
                from,
                receipt,
            }) => match Frame::decode(&buffer[..size]) {
                Ok(frame) => {
                    if !frame.pass_to.is_empty() {
                        updates::forward(&socket, &frame);
                    }
                    if let Some(answer) = server::on_request(&instance, from, &frame) {
                        broadcast(&socket, &answer, &[from]);
                    }
                    if let Some(request) = &frame.origin_request {
                        answer_origin(&instance, &socket, from, request);
                    }
                    let state = frame.state.as_ref();
                    if let Some(state) = state {
                        bootstrap::serve(&instance, &socket, from, state);
                    }
                    let missing_suspects =
                        state.and_then(|state| suspects::missing_suspects(&instance, from, state));
                    if let Some(missing) = missing_suspects {
                        broadcast(&socket, &missing, &[from]);
                    }
                    receive::handle_frame(&instance, from, frame, receipt);
                }
                Err(error) => log::debug!(error:% = error; "a datagram cannot be decoded"),
            },
            Err(error) => {
                log::debug!(error:% = error; "a datagram could not be received");
                sleep(IDLE_INTERVAL).await;
            }
        }
    }
}

/// Answers a question for a stream, after a read of the engines if it asks for that.
fn answer_origin(
    instance: &Rc<Instance>,
    socket: &Rc<UdpSocket>,
    from: SocketAddr,
    request: &OriginRequest,
) {
    let since = instance.now();
    let answer = move |instance: &Instance, socket: &UdpSocket, request: &OriginRequest| {
        let answer = Frame {
            origin_response: Some(instance.answer_origin(request, since)),
            ..instance.frame()
        };
        broadcast(socket, &answer, &[from]);
    };
    if !request.confirm {
        answer(instance, socket, request);
        return;
    }
    let (instance, socket, request) = (instance.clone(), socket.clone(), request.clone());
    actix_rt::spawn(async move {
        instance.confirm_versions(since).await;
        answer(&instance, &socket, &request);
    });
}

async fn send_loop(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut next_send = Instant::now();
    let mut state_due = Instant::now();
    let mut usage_due = Instant::now();
    let mut shares_log_due = Instant::now();
    loop {
        let was_notified = timeout(IDLE_INTERVAL, instance.frame_due.notified())
            .await
            .is_ok();
        if was_notified && instance.is_placing() {
            sleep(BATCH_TIME).await;
        }
        sleep_until(next_send).await;
        let now = instance.now();
        instance.fleet.borrow_mut().expire(now);
        instance.observe_versions();
        instance.copy_streams();
        let is_greeting = instance.greeting_due.take() | instance.update_placers();
        updates::send_news(&instance, &socket, now);
        send_suspects(&instance, &socket);
        send_limits(&instance, &socket, now);
        let is_state_due = is_greeting || !instance.is_synced() || Instant::now() >= state_due;
        let mut reports = instance.reports.take_reports(now);
        if is_state_due {
            // Repairs the loss of a report.
            reports.extend(instance.reports.take_open(now));
        }
        let mut bytes = send_reports(&instance, &socket, reports);
        if Instant::now() >= usage_due {
            usage_due = Instant::now() + USAGE_INTERVAL;
            bytes += send_usage(&instance, &socket, now);
        }
        if is_state_due && Instant::now() >= shares_log_due && shares::log_contended(&instance, now)
        {
            shares_log_due = Instant::now() + shares::LOG_INTERVAL;
        }
        if let Some(frame) = next_frame(&instance, is_state_due, now) {
            if is_state_due {
                let reads = frame.state.as_ref().is_some_and(reads_store);
                state_due = Instant::now()
                    + if reads {
                        READER_STATE_INTERVAL
                    } else {
                        STATE_INTERVAL
                    };
            }
            bytes += send_frame(&instance, &socket, frame, is_greeting);
        }
        next_send = Instant::now() + instance.transmission_time(bytes).mul_f64(1.0 / LINK_SHARE);
        seed_new_placers(&instance, &socket);
    }
}

/// Reports the progress of calls to the placers that placed them.
fn send_reports(
    instance: &Instance,
    socket: &UdpSocket,
    reports: Vec<(SocketAddr, wire::gateway::Reports)>,
) -> usize {
    let sent_bytes = reports.into_iter().map(|(placer, reports)| {
        let frame = Frame {
            reports: Some(reports),
            ..instance.frame()
        };
        broadcast(socket, &frame, &[placer])
    });
    sent_bytes.sum()
}

/// Sends organisations' usage to the instances that may report it.
fn send_usage(instance: &Instance, socket: &UdpSocket, now: Moment) -> usize {
    let mut ledger = instance.usage.borrow_mut();
    let Some(ledger) = ledger.as_mut() else {
        return 0;
    };
    let reporters = instance.peers.borrow().first_placers(REPORTERS, now);
    if reporters.is_empty() {
        return 0;
    }
    let frame = Frame {
        usage: Some(usage::encode(ledger.take_update(instance.unix()))),
        ..instance.frame()
    };
    broadcast(socket, &frame, &reporters)
}

/// Sends a frame to the peers that need it. A placer sends all other placers what it placed, and
/// the rest that it is alive; so does an instance that reads the store, also to silent ones: that
/// is how instances learn of each other. Any other instance tells the placers of its data centre
/// that it is alive, and all instances once after its start.
fn send_frame(instance: &Instance, socket: &UdpSocket, frame: Frame, is_greeting: bool) -> usize {
    let placers = instance.placers.borrow();
    let own = hash::hash32(&instance.zone);
    let mut recipients = placers.others.clone();
    if !placers.includes_self && !is_greeting {
        recipients.retain(|(_, place)| *place == own);
    }
    let recipients: Vec<SocketAddr> = recipients.into_iter().map(|(address, _)| address).collect();
    let bytes = broadcast(socket, &frame, &recipients);
    let is_for_all = |state: &State| state.placing || reads_store(state);
    let Some(state) = frame.state.filter(is_for_all) else {
        return bytes;
    };
    let frame = Frame {
        state: Some(State {
            works: Vec::new(),
            ..state
        }),
        gone: frame.gone,
        changing: frame.changing,
        rate_limits: frame.rate_limits,
        leaving: frame.leaving,
        ..instance.frame()
    };
    let mut rest = instance.peers.borrow().addresses();
    rest.retain(|address| !recipients.contains(address));
    bytes + broadcast(socket, &frame, &rest)
}

/// The next frame, if there is anything to send.
fn next_frame(instance: &Instance, is_state_due: bool, now: Moment) -> Option<Frame> {
    let mut fleet = instance.fleet.borrow_mut();
    let mut peers = instance.peers.borrow_mut();
    let mut frame = instance.frame();
    let mut changes = fleet.take_changes();
    if !instance.is_placing() {
        // The placers of its calls inform the others.
        if !is_state_due {
            return None;
        }
        changes.clear();
        peers.clear_parts();
    }
    let mut completed = Vec::new();
    if is_state_due {
        // A state contains everything but these.
        let others = changes.into_iter().filter(is_missing_from_state);
        add_changes(&mut frame, others.collect(), now);
        frame.state = Some(encode_state(instance, &fleet, peers.is_warm, now));
        if instance.is_placing() {
            frame.organisation_uses = shares::encode(fleet.shares.announce(now));
        }
        frame.rate_limits = limits::to_wire(fleet.throttles.to_repeat(), now);
        frame.leaving = announcements::leaving_to_repeat(&fleet);
    } else {
        let recent = fleet.recent_jobs(RESEND_WINDOW, now);
        let recent = recent
            .iter()
            .map(|(engine, job)| encode_started(engine, job, now));
        frame.started = recent.collect();
        completed = add_changes(&mut frame, changes, now);
    }
    frame.read = peers.take_completed_prefills(completed, now);
    frame.parts = peers.take_parts();
    frame.changing = fleet.own_stage_changes().map(encode_changing).collect();
    let is_empty = frame.state.is_none()
        && frame.started.is_empty()
        && frame.read.is_empty()
        && frame.ended.is_empty()
        && frame.gone.is_empty()
        && frame.parts.is_empty()
        && frame.changing.is_empty();
    (!is_empty).then_some(frame)
}

/// Whether a state does not contain this change.
fn is_missing_from_state(change: &WorkChange) -> bool {
    matches!(
        change,
        WorkChange::EngineEnded(_) | WorkChange::Ended(_, _, Some(_))
    )
}

/// A frame with this instance's state, without its calls.
pub(crate) fn own_state(instance: &Instance) -> Frame {
    let is_warm = instance.peers.borrow().is_warm;
    let state = encode_state(instance, &instance.fleet.borrow(), is_warm, instance.now());
    Frame {
        state: Some(State {
            works: Vec::new(),
            ..state
        }),
        ..instance.frame()
    }
}

fn encode_state(instance: &Instance, fleet: &Fleet, is_warm: bool, now: Moment) -> State {
    let engines = instance.known(Topic::Engines);
    let placing = instance.is_placing();
    let (claimed, numbers) = instance.claim_log.snapshot();
    let works = if placing {
        fleet.own_work()
    } else {
        Vec::new()
    };
    let works = works
        .iter()
        .map(|(engine, work)| encode_work(engine, work, now));
    State {
        works: works.collect(),
        configuration: instance.table().map_or(0, |table| table.version),
        engines_digest: engines.digest,
        engines_upto: engines.upto,
        engines_end: instance.engines_end.get(),
        lacks_engines: instance.wants_engines.get()
            || instance
                .transfer_awaited_until
                .get()
                .is_some_and(|until| now < until),
        configuration_age_ms: encode_age(instance.configuration_read.get(), now),
        engines_age_ms: encode_age(instance.engines_read.get(), now),
        knows: is_warm,
        zone: hash::hash32(&instance.zone),
        order: instance.order(),
        leaving: instance.lifecycle.is_leaving(),
        placing,
        suspects_digest: instance.suspects.digest(),
        claimed,
        reported: instance.reported_windows(),
        numbers,
        knows_placers: instance.knows_placers.get(),
        engine_count: if instance.engines_known.get() {
            u32::try_from(instance.registry.borrow().count()).unwrap_or(u32::MAX)
        } else {
            0
        },
    }
}

/// Whether an instance reads the store for the others.
pub(crate) fn reads_store(state: &State) -> bool {
    let is_recent = |age: u32| age > 0 && age < MAX_READER_AGE_MS;
    is_recent(state.configuration_age_ms) || is_recent(state.engines_age_ms)
}

/// Sends changes of calls that crash engines to all others.
fn send_suspects(instance: &Instance, socket: &UdpSocket) {
    let suspects = instance.suspects.take_news(suspects::now(instance));
    if suspects.is_empty() {
        return;
    }
    let frame = Frame {
        suspects,
        ..instance.frame()
    };
    broadcast(socket, &frame, &instance.peers.borrow().addresses());
}

/// Announces changed limits of engines to the placers.
fn send_limits(instance: &Instance, socket: &UdpSocket, now: Moment) {
    let changed = instance.fleet.borrow_mut().throttles.take_changed();
    if changed.is_empty() {
        return;
    }
    let frame = Frame {
        rate_limits: limits::to_wire(changed, now),
        ..instance.frame()
    };
    let placers = instance.placers.borrow();
    let placers: Vec<SocketAddr> = placers.others.iter().map(|(address, _)| *address).collect();
    broadcast(socket, &frame, &placers);
}

/// Sends a frame to several instances. Returns the bytes put on the link.
pub(crate) fn broadcast(socket: &UdpSocket, frame: &Frame, recipients: &[SocketAddr]) -> usize {
    let bytes = frame.encode_to_vec();
    for address in recipients {
        if let Err(error) = socket.try_send_to(&bytes, *address) {
            log::debug!(to:% = address, error:% = error; "a frame could not be sent");
        }
    }
    (bytes.len() + HEADER_BYTES) * recipients.len()
}

/// Sends new placers the cached parts of the engines in this instance's share.
fn seed_new_placers(instance: &Instance, socket: &UdpSocket) {
    let placers = instance.peers.borrow_mut().take_new_placers();
    if placers.is_empty() {
        return;
    }
    let parts = parts_of_share(instance);
    for chunk in parts.chunks(MAX_PARTS_PER_FRAME) {
        let frame = Frame {
            parts: chunk.to_vec(),
            ..instance.frame()
        };
        broadcast(socket, &frame, &placers);
    }
    log::info!(placers = placers.len(), parts = parts.len(); "sent new placers the cached parts of engines");
}

fn parts_of_share(instance: &Instance) -> Vec<wire::gateway::Part> {
    let fleet = instance.fleet.borrow();
    let share = fleet
        .all()
        .filter(|engine| instance.is_in_share(&engine.record.id));
    let parts = share.flat_map(|engine| {
        let id = &engine.record.id;
        let held = fleet.parts.cached_parts(id);
        held.into_iter()
            .map(move |part| peers::encode_engine_part(id, part))
    });
    parts.collect()
}
