//! What instances tell each other: their calls at engines, the parts that engines read, and the
//! version of their configuration. Frames are datagrams that replace each other, so that a lost
//! one needs no repair; instances find each other through the store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use adapter::store::{Offset, Store};
use clock::Moment;
use serving::EngineId;
use serving::engine::{Job, Rank, Work};
use serving::parts::{self, Part};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};
use wire::Message as _;
use wire::gateway::{Frame, Read};

use crate::instance::Instance;
use crate::recall;

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
/// Frames without work are this many times rarer.
const QUIET: u32 = 5;
/// Pause between two reads of the other instances.
const DISCOVERY: Duration = Duration::from_secs(5);
/// Pause after a read that failed.
const RETRY: Duration = Duration::from_millis(500);
/// An instance that was silent for this long is told of work only now and then.
const SILENT: Duration = Duration::from_secs(3);
/// Frames between two that go to silent instances.
const SILENT_PACE: u64 = 20;
/// Largest datagram.
const LARGEST: usize = 16 * 1024;
/// Times that a read part is told, since datagrams are lost.
const TELLINGS: u8 = 2;
/// Most parts in one frame.
const READS: usize = 128;

/// Another instance.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: u64,
    heard: Moment,
}

/// What is known of the other instances, and what is to be told.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_address: BTreeMap<SocketAddr, Option<Peer>>,
    reads: Vec<(EngineId, Part, u8)>,
    number: u64,
    /// Whether this instance knows what engines hold.
    knows: bool,
    /// Whether another instance that knew has been heard of.
    told: bool,
    /// Instances that have just started, to be told what engines hold.
    newcomers: Vec<SocketAddr>,
}

impl Peers {
    /// Notes the parts of a prompt that an engine is about to use. Those that it has read before
    /// count as well: others must know what was used last to know what yields next.
    pub(crate) fn reads(&mut self, engine: &EngineId, prompt: &[Part]) {
        let reads = prompt.iter().map(|part| (engine.clone(), *part, TELLINGS));
        self.reads.extend(reads);
    }

    fn take_reads(&mut self) -> Vec<Read> {
        let most = self.reads.len().min(READS);
        let told = self.reads[..most].iter().map(|(engine, part, _)| Read {
            engine: engine.to_string(),
            part: part.id,
            tokens: part.tokens,
        });
        let told = told.collect();
        for read in &mut self.reads[..most] {
            read.2 -= 1;
        }
        self.reads.retain(|read| read.2 > 0);
        told
    }

    /// Addresses that the next frame goes to.
    fn addressees(&self, now: Moment) -> Vec<SocketAddr> {
        let also_silent = self.number.is_multiple_of(SILENT_PACE);
        let is_due = |peer: &Option<Peer>| {
            let heard = peer.as_ref().map(|peer| peer.heard);
            also_silent || heard.is_some_and(|heard| now.saturating_sub(heard) < SILENT)
        };
        let due = self.by_address.iter().filter(|(_, peer)| is_due(peer));
        due.map(|(address, _)| *address).collect()
    }

    /// Takes in who sent a frame. Gives the incarnation that it replaces.
    fn heard(&mut self, from: SocketAddr, frame: &Frame, now: Moment) -> Option<u64> {
        let incarnation = frame.incarnation;
        let peer = Peer {
            incarnation,
            heard: now,
        };
        let before = self.by_address.insert(from, Some(peer)).flatten();
        let is_new = before
            .as_ref()
            .is_none_or(|before| before.incarnation != incarnation);
        self.told |= frame.knows;
        if is_new && !frame.knows && self.knows {
            self.newcomers.push(from);
        }
        let before = before.filter(|before| before.incarnation != incarnation)?;
        Some(before.incarnation)
    }

    /// Whether an instance that knows what engines hold has been heard of.
    pub(crate) fn is_told(&self) -> bool {
        self.told
    }

    /// Notes that this instance knows what engines hold.
    pub(crate) fn now_knows(&mut self) {
        self.knows = true;
    }

    /// Whether an engine is in the share of the instance at `own`. Each engine is in the share of one
    /// instance, which all compute alike from the instances that they know.
    pub(crate) fn is_share(&self, own: SocketAddr, engine: &EngineId) -> bool {
        let weight = |address: SocketAddr| parts::number(&format!("{address} {engine}"));
        let mut others = self.by_address.keys();
        others.all(|other| weight(*other) <= weight(own))
    }
}

/// Starts telling and listening.
pub(crate) async fn start(instance: &Rc<Instance>) -> io::Result<()> {
    let own = {
        let settings = instance.settings.borrow();
        SocketAddr::new(settings.ip, settings.ports.0)
    };
    let socket = Rc::new(UdpSocket::bind(own).await?);
    actix_rt::spawn(listen(instance.clone(), socket.clone()));
    actix_rt::spawn(tell(instance.clone(), socket, own));
    actix_rt::spawn(recall::run(instance.clone(), own));
    actix_rt::spawn(discover(instance.clone(), own));
    Ok(())
}

/// Tells the others that this instance is about to end.
pub(crate) fn leave(instance: &Instance) {
    log::debug!(incarnation = instance.incarnation; "telling the others of the end");
}

async fn listen(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; LARGEST];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((size, from)) => match Frame::decode(&buffer[..size]) {
                Ok(frame) => take(&instance, from, &frame),
                Err(error) => log::debug!(error:% = error; "a datagram is no frame"),
            },
            Err(error) => {
                log::debug!(error:% = error; "a datagram could not be received");
                sleep(PACE).await;
            }
        }
    }
}

fn take(instance: &Instance, from: SocketAddr, frame: &Frame) {
    let now = instance.now();
    let replaced = instance.peers.borrow_mut().heard(from, frame, now);
    let mut fleet = instance.fleet.borrow_mut();
    if let Some(replaced) = replaced {
        fleet.hear(replaced, &[], now);
    }
    if !frame.only_reads {
        let works: Vec<(EngineId, Work)> = frame.works.iter().map(|told| work(told, now)).collect();
        fleet.hear(frame.incarnation, &works, now);
    }
    drop(fleet);
    for read in &frame.reads {
        let part = Part {
            id: read.part,
            tokens: read.tokens,
        };
        instance.note_parts(&EngineId::from(read.engine.as_str()), &[part]);
    }
}

fn work(work: &wire::gateway::Work, now: Moment) -> (EngineId, Work) {
    let jobs = work.jobs.iter().map(|job| Job {
        sent: now.saturating_sub(Duration::from_millis(u64::from(job.age_ms))),
        rank: Rank::try_from(job.rank).unwrap_or(Rank::MAX),
        work: job.work,
    });
    let taken = Work {
        calls: work.calls,
        jobs: jobs.collect(),
    };
    (EngineId::from(work.engine.as_str()), taken)
}

fn told(engine: &EngineId, work: &Work, now: Moment) -> wire::gateway::Work {
    let jobs = work.jobs.iter().map(|job| wire::gateway::Job {
        work: job.work,
        rank: u32::from(job.rank),
        age_ms: u32::try_from(now.saturating_sub(job.sent).as_millis()).unwrap_or(u32::MAX),
    });
    wire::gateway::Work {
        engine: engine.to_string(),
        calls: work.calls,
        jobs: jobs.collect(),
    }
}

async fn tell(instance: Rc<Instance>, socket: Rc<UdpSocket>, own: SocketAddr) {
    let mut quiet = 0;
    let mut had_work = false;
    loop {
        if timeout(PACE, instance.placed.notified()).await.is_ok() {
            sleep(GATHER).await;
        }
        let now = instance.now();
        instance.fleet.borrow_mut().fade(now);
        let frame = frame(&instance);
        let has_work = !frame.works.is_empty() || !frame.reads.is_empty();
        quiet += 1;
        if !has_work && !had_work && quiet < QUIET {
            continue;
        }
        quiet = 0;
        had_work = has_work;
        let bytes = frame.encode_to_vec();
        let addressees = instance.peers.borrow().addressees(now);
        for address in addressees {
            send(&socket, &bytes, address);
        }
        greet(&instance, &socket, own);
    }
}

fn frame(instance: &Instance) -> Frame {
    let mut peers = instance.peers.borrow_mut();
    peers.number += 1;
    let works = instance.fleet.borrow().own();
    let now = instance.now();
    let works = works.iter().map(|(engine, work)| told(engine, work, now));
    Frame {
        instance: instance.settings.borrow().instance.clone(),
        incarnation: instance.incarnation,
        configuration: instance.table().map_or(0, |table| table.version),
        works: works.collect(),
        reads: peers.take_reads(),
        leaving: instance.phase.is_leaving(),
        number: peers.number,
        knows: peers.knows,
        only_reads: false,
    }
}

/// Tells instances that have just started what the engines of this instance's share hold.
fn greet(instance: &Instance, socket: &UdpSocket, own: SocketAddr) {
    let newcomers = std::mem::take(&mut instance.peers.borrow_mut().newcomers);
    if newcomers.is_empty() {
        return;
    }
    let reads = share_of_parts(instance, own);
    for some in reads.chunks(READS) {
        let frame = Frame {
            instance: instance.settings.borrow().instance.clone(),
            incarnation: instance.incarnation,
            reads: some.to_vec(),
            only_reads: true,
            knows: true,
            ..Frame::default()
        };
        let bytes = frame.encode_to_vec();
        for address in &newcomers {
            send(socket, &bytes, *address);
        }
    }
    log::info!(newcomers = newcomers.len(), parts = reads.len(); "told new instances what engines hold");
}

fn share_of_parts(instance: &Instance, own: SocketAddr) -> Vec<Read> {
    let fleet = instance.fleet.borrow();
    let peers = instance.peers.borrow();
    let ids = fleet.ids().into_iter().filter(|id| peers.is_share(own, id));
    let reads = ids.flat_map(|id| {
        let engine = id.to_string();
        let held = fleet.parts.held(&id);
        held.into_iter().map(move |part| Read {
            engine: engine.clone(),
            part: part.id,
            tokens: part.tokens,
        })
    });
    reads.collect()
}

fn send(socket: &UdpSocket, bytes: &[u8], address: SocketAddr) {
    if let Err(error) = socket.try_send_to(bytes, address) {
        log::debug!(to:% = address, error:% = error; "a frame could not be sent");
    }
}

/// Registers this instance and reads the others, now and then.
async fn discover(instance: Rc<Instance>, own: SocketAddr) {
    let address = instance.settings.borrow().store;
    let mut store = Store::new(address, instance.codec.clone());
    let key = own.ip().to_string();
    let value = own.to_string();
    let mut next: Option<Offset> = None;
    loop {
        let read = match next {
            None => register_and_read(&mut store, &key, &value).await,
            Some(from) => store
                .read(INSTANCES, from, Duration::ZERO)
                .await
                .map(|batch| (batch.records, batch.next)),
        };
        match read {
            Ok((records, end)) => {
                next = Some(end);
                let mut peers = instance.peers.borrow_mut();
                let values = records.iter().filter_map(|record| record.value.as_ref());
                let texts = values.filter_map(|value| std::str::from_utf8(value).ok());
                for address in texts.filter_map(|text| text.parse().ok()) {
                    if address != own {
                        peers.by_address.entry(address).or_default();
                    }
                }
            }
            Err(trouble) => {
                log::debug!(trouble:% = trouble; "the other instances cannot be read");
                if matches!(trouble, adapter::store::Trouble::Dropped(_)) {
                    next = None;
                }
                sleep(RETRY).await;
                continue;
            }
        }
        sleep(DISCOVERY).await;
    }
}

async fn register_and_read(
    store: &mut Store,
    key: &str,
    value: &str,
) -> Result<(Vec<adapter::store::Keyed>, Offset), adapter::store::Trouble> {
    let newest = store
        .newest(INSTANCES)
        .await
        .or_else(|trouble| match trouble {
            // The topic does not exist before its first record.
            adapter::store::Trouble::Refused(_) => Ok(adapter::store::Newest {
                records: Vec::new(),
                end: 0,
            }),
            other => Err(other),
        })?;
    let known = newest
        .records
        .iter()
        .any(|record| record.key == key && record.value.as_deref() == Some(value.as_bytes()));
    if !known {
        store.append(INSTANCES, key, value.as_bytes(), None).await?;
    }
    Ok((newest.records, newest.end))
}
