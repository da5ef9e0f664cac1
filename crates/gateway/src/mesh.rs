//! What instances tell each other: their calls at engines and the parts that engines use, to those that place calls, and what
//! changed in the store, to all. Frames are datagrams that replace each other, so that a lost one needs no
//! repair; instances find each other through the store.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clock::Moment;
use serving::Fleet;
use serving::fleet::WorkChange;
use serving::hash;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use wire::Message as _;
use wire::gateway::{Frame, State};

use crate::frame::{add_changes, age, packed, started, told_changing, told_work, unpacked};
use crate::instance::Instance;
use crate::peers::{self, PARTS, Topic};
use crate::placement::server;
use crate::usage::REPORTERS;
use crate::{bootstrap, discovery, limits, quarantine_store, receive, suspects, usage, warmup};

/// Pause between two frames while nothing is placed.
const PACE: Duration = Duration::from_millis(100);
/// Time for which calls are gathered into one frame of an instance that places them. Others report to one placer a call,
/// which waits for it, so that they gather nothing.
///
/// Two instances that place calls within the same moment choose the same engine, and the second
/// call waits for the first one's prompt. One notices it by calls that wait although their engine
/// looked idle. The shorter this time, the fewer they are; each frame costs some bytes between
/// data centres.
const GATHER: Duration = Duration::from_millis(10);
/// Pause between two frames that tell all. What a lost frame would have told is wrong for this long.
const STATE_PACE: Duration = Duration::from_millis(700);
/// The same where the sender reads the store for the others, which rely on news of it.
const READER_PACE: Duration = Duration::from_millis(450);
/// Pause between two tellings of what organisations use. What an instance counted since the last one goes with it when it is killed.
const USAGE_PACE: Duration = Duration::from_millis(500);
/// Share of the instance's link that frames may take; what is beyond it waits and is gathered.
const LINK_SHARE: f64 = 0.15;
/// Bytes of a datagram's headers on the link.
const HEADERS: usize = 46;
/// An instance whose last read of the store is younger, in milliseconds, reads it for the others.
const READER_AGE: u32 = 2_000;
/// A prompt that was sent less than this long ago is told in every frame, so that the loss of one
/// does not hide it.
const RECENT: Duration = Duration::from_millis(250);
/// Largest datagram.
const LARGEST: usize = 48 * 1024;

/// Starts telling and listening.
pub(crate) async fn start(instance: &Rc<Instance>) -> io::Result<()> {
    let own = instance.address;
    let socket = Rc::new(UdpSocket::bind(own).await?);
    instance.pending.bind(socket.clone());
    actix_rt::spawn(listen(instance.clone(), socket.clone()));
    actix_rt::spawn(tell(instance.clone(), socket));
    actix_rt::spawn(warmup::run(instance.clone()));
    actix_rt::spawn(discovery::run(instance.clone()));
    actix_rt::spawn(quarantine_store::run(instance.clone()));
    Ok(())
}

async fn listen(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; LARGEST];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((size, from)) => match Frame::decode(&buffer[..size]) {
                Ok(frame) => {
                    if !frame.pass_to.is_empty() {
                        pass_on(&socket, &frame);
                    }
                    if let Some(answer) = server::on_request(&instance, from, &frame) {
                        broadcast(&socket, &answer, &[from]);
                    }
                    let state = frame.state.as_ref();
                    let lacking = state.map(|state| bootstrap::transfer(&instance, state));
                    for told in lacking.into_iter().flatten() {
                        broadcast(&socket, &told, &[from]);
                    }
                    let differs =
                        state.and_then(|state| suspects::missing_suspects(&instance, from, state));
                    if let Some(told) = differs {
                        broadcast(&socket, &told, &[from]);
                    }
                    receive::on_frame(&instance, from, frame);
                }
                Err(error) => log::debug!(error:% = error; "a datagram is no frame"),
            },
            Err(error) => {
                log::debug!(error:% = error; "a datagram could not be received");
                sleep(PACE).await;
            }
        }
    }
}

async fn tell(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut earliest = Instant::now();
    let mut state_due = Instant::now();
    let mut usage_due = Instant::now();
    loop {
        let stirred = timeout(PACE, instance.stirred.notified()).await.is_ok();
        if stirred && instance.is_placing() {
            sleep(GATHER).await;
        }
        sleep_until(earliest).await;
        let now = instance.now();
        instance.fleet.borrow_mut().expire(now);
        let is_greeting = instance.greeting_due.take() | instance.elect();
        tell_news(&instance, &socket, now);
        tell_suspects(&instance, &socket);
        announce_limits(&instance, &socket, now);
        let is_state_due = is_greeting || !instance.knows_all() || Instant::now() >= state_due;
        let mut reports = instance.reports.take_reports(now);
        if is_state_due {
            // Makes the loss of a report good.
            reports.extend(instance.reports.take_open(now));
        }
        let mut bytes = tell_reports(&instance, &socket, reports);
        if Instant::now() >= usage_due {
            usage_due = Instant::now() + USAGE_PACE;
            bytes += tell_usage(&instance, &socket, now);
        }
        if let Some(frame) = next_frame(&instance, is_state_due, now) {
            if is_state_due {
                let reads = frame.state.as_ref().is_some_and(reads_store);
                state_due = Instant::now() + if reads { READER_PACE } else { STATE_PACE };
            }
            bytes += send(&instance, &socket, frame, is_greeting);
        }
        earliest = Instant::now() + instance.sending(bytes).mul_f64(1.0 / LINK_SHARE);
        greet(&instance, &socket);
    }
}

/// Tells those that placed calls what became of them.
fn tell_reports(
    instance: &Instance,
    socket: &UdpSocket,
    reports: Vec<(SocketAddr, wire::gateway::Reports)>,
) -> usize {
    let told = reports.into_iter().map(|(placer, reports)| {
        let frame = Frame {
            reports: Some(reports),
            ..instance.frame()
        };
        broadcast(socket, &frame, &[placer])
    });
    told.sum()
}

/// Tells those that may report it what organisations use.
fn tell_usage(instance: &Instance, socket: &UdpSocket, now: Moment) -> usize {
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

/// Sends a frame to those that should know. An instance that places calls tells all others that do of all that it placed, and the
/// rest that it lives; so does one that reads the store, also to those that are silent: that is how instances hear of each
/// other. Any other instance tells the placers of its data centre that it lives, and all once it has started.
fn send(instance: &Instance, socket: &UdpSocket, frame: Frame, is_greeting: bool) -> usize {
    let placers = instance.placers.borrow();
    let own = hash::hash32(&instance.zone);
    let mut told = placers.others.clone();
    if !placers.includes_self && !is_greeting {
        told.retain(|(_, place)| *place == own);
    }
    let told: Vec<SocketAddr> = told.into_iter().map(|(address, _)| address).collect();
    let bytes = broadcast(socket, &frame, &told);
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
        ..instance.frame()
    };
    let mut rest = instance.peers.borrow().all();
    rest.retain(|address| !told.contains(address));
    bytes + broadcast(socket, &frame, &rest)
}

/// What is to be told now, if anything.
fn next_frame(instance: &Instance, is_state_due: bool, now: Moment) -> Option<Frame> {
    let mut fleet = instance.fleet.borrow_mut();
    let mut peers = instance.peers.borrow_mut();
    let mut frame = instance.frame();
    let mut changes = fleet.take_changes();
    if !instance.is_placing() {
        // Those that placed its calls tell the others.
        if !is_state_due {
            return None;
        }
        changes.clear();
        peers.forget_parts();
    }
    let mut reads = Vec::new();
    if is_state_due {
        // A state says all but this.
        let besides = changes.into_iter().filter(is_told_besides);
        add_changes(&mut frame, besides.collect(), now);
        frame.state = Some(state(instance, &fleet, peers.knows, now));
        frame.rate_limits = limits::to_wire(fleet.throttles.to_repeat(), now);
    } else {
        let recent = fleet.recent_jobs(RECENT, now);
        let recent = recent.iter().map(|(engine, job)| started(engine, job, now));
        frame.started = recent.collect();
        reads = add_changes(&mut frame, changes, now);
    }
    frame.read = peers.take_read(reads, now);
    frame.parts = peers.take_parts();
    frame.changing = fleet.own_stage_changes().map(told_changing).collect();
    let is_empty = frame.state.is_none()
        && frame.started.is_empty()
        && frame.read.is_empty()
        && frame.ended.is_empty()
        && frame.gone.is_empty()
        && frame.parts.is_empty()
        && frame.changing.is_empty();
    (!is_empty).then_some(frame)
}

/// Whether a state does not say this.
fn is_told_besides(change: &WorkChange) -> bool {
    matches!(
        change,
        WorkChange::EngineEnded(_) | WorkChange::Ended(_, _, Some(_))
    )
}

fn state(instance: &Instance, fleet: &Fleet, knows: bool, now: Moment) -> State {
    let engines = instance.knows(Topic::Engines);
    let placing = instance.is_placing();
    let (claimed, numbers) = instance.claim_log.snapshot();
    let works = if placing {
        fleet.own_work()
    } else {
        Vec::new()
    };
    let works = works
        .iter()
        .map(|(engine, work)| told_work(engine, work, now));
    State {
        works: works.collect(),
        configuration: instance.table().map_or(0, |table| table.version),
        engines_digest: engines.digest,
        engines_upto: engines.upto,
        lacks_engines: !instance.has(Topic::Engines),
        configuration_age_ms: age(instance.configuration_read.get(), now),
        engines_age_ms: age(instance.engines_read.get(), now),
        knows,
        zone: hash::hash32(&instance.zone),
        order: instance.order(),
        leaving: instance.phase.is_leaving(),
        placing,
        suspects_digest: instance.suspects.digest(),
        claimed,
        reported: instance.reported(),
        numbers,
    }
}

/// Whether an instance reads the store for the others.
pub(crate) fn reads_store(state: &State) -> bool {
    let is_recent = |age: u32| age > 0 && age < READER_AGE;
    is_recent(state.configuration_age_ms) || is_recent(state.engines_age_ms)
}

fn tell_news(instance: &Instance, socket: &UdpSocket, now: Moment) {
    let order = instance.order();
    let news = {
        let mut peers = instance.peers.borrow_mut();
        peers.take_over(order, now);
        peers.take_news(now)
    };
    if news.is_empty() {
        return;
    }
    let all = instance.peers.borrow().all();
    for (first, rest) in peers::groups(&all) {
        let pass_to = rest.iter().filter_map(|address| packed(*address));
        let frame = Frame {
            news: news.clone(),
            pass_to: pass_to.collect(),
            ..instance.frame()
        };
        broadcast(socket, &frame, &[first]);
    }
}

/// Tells all others what is new of calls that end engines.
fn tell_suspects(instance: &Instance, socket: &UdpSocket) {
    let suspects = instance.suspects.take_news(suspects::now(instance));
    if suspects.is_empty() {
        return;
    }
    let frame = Frame {
        suspects,
        ..instance.frame()
    };
    broadcast(socket, &frame, &instance.peers.borrow().all());
}

/// Announces to those that place calls which limits of engines have changed.
fn announce_limits(instance: &Instance, socket: &UdpSocket, now: Moment) {
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

/// Passes news on to the rest of this instance's group.
fn pass_on(socket: &UdpSocket, frame: &Frame) {
    let rest: Vec<SocketAddr> = frame
        .pass_to
        .iter()
        .map(|packed| unpacked(*packed))
        .collect();
    let frame = Frame {
        incarnation: frame.incarnation,
        news: frame.news.clone(),
        ..Frame::default()
    };
    broadcast(socket, &frame, &rest);
}

/// Sends a frame to several instances. Gives the bytes that this put on the link.
fn broadcast(socket: &UdpSocket, frame: &Frame, addressees: &[SocketAddr]) -> usize {
    let bytes = frame.encode_to_vec();
    for address in addressees {
        if let Err(error) = socket.try_send_to(&bytes, *address) {
            log::debug!(to:% = address, error:% = error; "a frame could not be sent");
        }
    }
    (bytes.len() + HEADERS) * addressees.len()
}

/// Tells instances that have begun to place calls what the engines of this instance's share hold.
fn greet(instance: &Instance, socket: &UdpSocket) {
    let placers = instance.peers.borrow_mut().take_new_placers();
    if placers.is_empty() {
        return;
    }
    let reads = share_of_parts(instance);
    for some in reads.chunks(PARTS) {
        let frame = Frame {
            parts: some.to_vec(),
            ..instance.frame()
        };
        broadcast(socket, &frame, &placers);
    }
    log::info!(placers = placers.len(), parts = reads.len(); "told new placers what engines hold");
}

fn share_of_parts(instance: &Instance) -> Vec<wire::gateway::Part> {
    let fleet = instance.fleet.borrow();
    let share = fleet
        .all()
        .filter(|engine| instance.has_share(&engine.record.id));
    let reads = share.flat_map(|engine| {
        let id = &engine.record.id;
        let held = fleet.parts.cached_parts(id);
        held.into_iter().map(move |part| peers::told_part(id, part))
    });
    reads.collect()
}
