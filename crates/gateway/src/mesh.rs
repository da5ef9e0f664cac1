//! What instances tell each other: their calls at engines, the parts that engines use, and what
//! changed in the store. Frames are datagrams that replace each other, so that a lost one needs no
//! repair; instances find each other through the store.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::store::{Keyed, Newest, Offset, Store, Trouble};
use bytes::Bytes;
use clock::Moment;
use serving::EngineId;
use serving::engine::{Job, Rank, Work};
use serving::hash;
use serving::parts::Part;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};
use wire::Message as _;
use wire::gateway::{Frame, News, Read};

use crate::instance::Instance;
use crate::peers::{self, READS, Topic};
use crate::{follow, recall};

/// Topic in which instances register.
const INSTANCES: &str = "keyed.instances";
/// Pause between two frames while nothing is placed.
const PACE: Duration = Duration::from_millis(100);
/// Time for which placed calls are gathered into one frame.
///
/// Two instances that place calls within the same moment choose the same engine, and the second
/// call waits for the first one's prompt. One notices it by calls that wait although their engine
/// looked idle. The shorter this time, the fewer they are; each frame costs some bytes between
/// data centres.
const GATHER: Duration = Duration::from_millis(10);
/// Frames without prompts in hand are this many times rarer.
const QUIET: u32 = 3;
/// Pause between two reads of the other instances.
const DISCOVERY: Duration = Duration::from_secs(10);
/// Pause after a read that failed.
const RETRY: Duration = Duration::from_millis(500);
/// Largest datagram.
const LARGEST: usize = 48 * 1024;

/// Starts telling and listening.
pub(crate) async fn start(instance: &Rc<Instance>) -> io::Result<()> {
    let own = instance.address;
    let socket = Rc::new(UdpSocket::bind(own).await?);
    actix_rt::spawn(listen(instance.clone(), socket.clone()));
    actix_rt::spawn(tell(instance.clone(), socket));
    actix_rt::spawn(recall::run(instance.clone()));
    actix_rt::spawn(discover(instance.clone()));
    Ok(())
}

async fn listen(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; LARGEST];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((size, from)) => match Frame::decode(&buffer[..size]) {
                Ok(frame) => take(&instance, from, frame),
                Err(error) => log::debug!(error:% = error; "a datagram is no frame"),
            },
            Err(error) => {
                log::debug!(error:% = error; "a datagram could not be received");
                sleep(PACE).await;
            }
        }
    }
}

fn take(instance: &Instance, from: SocketAddr, frame: Frame) {
    let now = instance.now();
    let replaced = instance.peers.borrow_mut().heard(from, &frame, now);
    let mut fleet = instance.fleet.borrow_mut();
    if let Some(replaced) = replaced {
        fleet.hear(replaced, &[], now);
    }
    if let Some(read) = peers::moment(frame.engines_age_ms, now) {
        instance.registry.borrow_mut().heard(read);
    }
    if !frame.partial {
        let works = frame.works.iter();
        let works = works.filter_map(|told| Some((fleet.by_short(told.engine)?, work(told, now))));
        let works: Vec<(EngineId, Work)> = works.collect();
        fleet.hear(frame.incarnation, &works, now);
    }
    let reads = frame.reads.iter();
    let reads = reads.filter_map(|read| Some((fleet.by_short(read.engine)?, part(read))));
    let reads: Vec<(EngineId, Part)> = reads.collect();
    drop(fleet);
    for (engine, part) in reads {
        instance.note_parts(&engine, &[part]);
    }
    for news in frame.news {
        let topic = if news.configuration {
            Topic::Configuration
        } else {
            Topic::Engines
        };
        let record = Keyed {
            offset: news.offset,
            key: news.key,
            value: news.value.map(Bytes::from),
        };
        follow::hear(instance, topic, &record);
    }
}

fn part(read: &Read) -> Part {
    Part {
        id: read.part,
        tokens: read.tokens,
    }
}

fn work(work: &wire::gateway::Work, now: Moment) -> Work {
    let jobs = work.jobs.iter().map(|job| Job {
        sent: now.saturating_sub(Duration::from_millis(u64::from(job.age_ms))),
        rank: Rank::try_from(job.rank).unwrap_or(Rank::MAX),
        work: job.work,
    });
    Work {
        calls: work.calls,
        jobs: jobs.collect(),
    }
}

fn told(engine: &EngineId, work: &Work, now: Moment) -> wire::gateway::Work {
    let jobs = work.jobs.iter().map(|job| wire::gateway::Job {
        work: job.work,
        rank: u32::from(job.rank),
        age_ms: u32::try_from(now.saturating_sub(job.sent).as_millis()).unwrap_or(u32::MAX),
    });
    wire::gateway::Work {
        engine: hash::short(engine),
        calls: work.calls,
        jobs: jobs.collect(),
    }
}

async fn tell(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut quiet = 0;
    let mut had_jobs = false;
    loop {
        let stirred = timeout(PACE, instance.stirred.notified()).await.is_ok();
        if stirred {
            sleep(GATHER).await;
        }
        let now = instance.now();
        instance.fleet.borrow_mut().fade(now);
        let frame = frame(&instance, now);
        let has_jobs = frame.works.iter().any(|work| !work.jobs.is_empty());
        quiet += 1;
        if !stirred && !has_jobs && !had_jobs && quiet < QUIET {
            continue;
        }
        quiet = 0;
        had_jobs = has_jobs;
        let addressees = instance.peers.borrow().addressees(now);
        broadcast(&socket, &frame, &addressees);
        loop {
            let news = instance.peers.borrow_mut().take_news();
            if news.is_empty() {
                break;
            }
            broadcast(&socket, &partial(&instance, Vec::new(), news), &addressees);
        }
        greet(&instance, &socket);
    }
}

fn broadcast(socket: &UdpSocket, frame: &Frame, addressees: &[SocketAddr]) {
    let bytes = frame.encode_to_vec();
    for address in addressees {
        if let Err(error) = socket.try_send_to(&bytes, *address) {
            log::debug!(to:% = address, error:% = error; "a frame could not be sent");
        }
    }
}

fn frame(instance: &Instance, now: Moment) -> Frame {
    let mut peers = instance.peers.borrow_mut();
    peers.number += 1;
    let works = instance.fleet.borrow().own();
    let works = works.iter().map(|(engine, work)| told(engine, work, now));
    Frame {
        incarnation: instance.incarnation,
        configuration: instance.table().map_or(0, |table| table.version),
        works: works.collect(),
        reads: peers.take_reads(),
        number: peers.number,
        knows: peers.knows,
        partial: false,
        configuration_age_ms: peers::age(instance.configuration_read.get(), now),
        engines_age_ms: peers::age(instance.engines_read.get(), now),
        engines_digest: instance.registry.borrow().digest(),
        news: Vec::new(),
    }
}

fn partial(instance: &Instance, reads: Vec<Read>, news: Vec<News>) -> Frame {
    Frame {
        incarnation: instance.incarnation,
        reads,
        news,
        knows: true,
        partial: true,
        ..Frame::default()
    }
}

/// Tells instances that have just started what the engines of this instance's share hold.
fn greet(instance: &Instance, socket: &UdpSocket) {
    let newcomers = instance.peers.borrow_mut().take_newcomers();
    if newcomers.is_empty() {
        return;
    }
    let reads = share_of_parts(instance);
    for some in reads.chunks(READS) {
        let frame = partial(instance, some.to_vec(), Vec::new());
        broadcast(socket, &frame, &newcomers);
    }
    log::info!(newcomers = newcomers.len(), parts = reads.len(); "told new instances what engines hold");
}

fn share_of_parts(instance: &Instance) -> Vec<Read> {
    let fleet = instance.fleet.borrow();
    let peers = instance.peers.borrow();
    let ids = fleet.ids().into_iter();
    let share = ids.filter(|id| peers.is_share(instance.address, id));
    let reads = share.flat_map(|id| {
        let held = fleet.parts.held(&id);
        held.into_iter().map(move |part| peers::read(&id, part))
    });
    reads.collect()
}

/// Registers this instance and reads the others, now and then.
async fn discover(instance: Rc<Instance>) {
    let address = instance.settings.borrow().store;
    let mut store = Store::new(address, instance.codec.clone());
    let own = instance.address;
    let mut next: Option<Offset> = None;
    loop {
        let read = match next {
            None => register_and_read(&mut store, own).await,
            Some(from) => store
                .read(INSTANCES, from, Duration::ZERO)
                .await
                .map(|batch| (batch.records, batch.next)),
        };
        match read {
            Ok((records, end)) => {
                next = Some(end);
                add_all(&instance, &records);
                sleep(DISCOVERY).await;
            }
            Err(trouble) => {
                log::debug!(trouble:% = trouble; "the other instances cannot be read");
                if matches!(trouble, Trouble::Dropped(_)) {
                    next = None;
                }
                sleep(RETRY).await;
            }
        }
    }
}

fn add_all(instance: &Instance, records: &[Keyed]) {
    let mut peers = instance.peers.borrow_mut();
    let values = records.iter().filter_map(|record| record.value.as_ref());
    let texts = values.filter_map(|value| std::str::from_utf8(value).ok());
    for address in texts.filter_map(|text| text.parse().ok()) {
        if address != instance.address {
            peers.add(address);
        }
    }
}

async fn register_and_read(
    store: &mut Store,
    own: SocketAddr,
) -> Result<(Vec<Keyed>, Offset), Trouble> {
    let newest = store
        .newest(INSTANCES)
        .await
        .or_else(|trouble| match trouble {
            // The topic does not exist before its first record.
            Trouble::Refused(_) => Ok(Newest {
                records: Vec::new(),
                end: 0,
            }),
            other => Err(other),
        })?;
    let key = own.ip().to_string();
    let value = own.to_string();
    let is_own =
        |record: &Keyed| record.key == key && record.value.as_deref() == Some(value.as_bytes());
    if !newest.records.iter().any(is_own) {
        store
            .append(INSTANCES, &key, value.as_bytes(), None)
            .await?;
    }
    Ok((newest.records, newest.end))
}
