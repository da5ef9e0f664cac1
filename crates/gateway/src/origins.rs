//! Tells other instances which software version began a stream, and asks them; [`serving::origin`] and
//! [`serving::version_history`] decide.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use serving::backups::{Backups, Scope};
use serving::fleet::Restart;
use serving::origin::{self, Batch, Counts, Key, Knowledge, Note, Origins, Software};
use serving::usage::UnixTime;
use serving::version_history::VersionHistory;
use serving::{EngineId, Fleet, ServiceName};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::timeout;
use wire::gateway::{Frame, OriginRequest, OriginResponse, StreamBatch, StreamOrigin};

use crate::frame::to_millis;
use crate::tickets::Tickets;

/// Time for the answers of other instances. It is taken from the caller's time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(25);
/// Time for a read of the engines that confirms which versions a service has.
pub(crate) const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(400);
/// Most streams in one frame of notes.
const MAX_STREAMS_PER_FRAME: usize = 64;
/// Most streams in one frame of copies, which name their version once.
const MAX_STREAMS_PER_BATCH: usize = 256;

/// Streams that this instance remembers, and its questions for those of others.
#[derive(Default)]
pub(crate) struct StreamOrigins {
    pub(crate) versions: RefCell<VersionHistory>,
    streams: RefCell<Origins>,
    backups: RefCell<Backups>,
    waiting: RefCell<Waiting>,
    tickets: Tickets,
}

/// Questions that await answers, by ticket.
type Waiting = HashMap<u32, UnboundedSender<(SocketAddr, OriginResponse)>>;

/// Removes a question when dropped: its caller may disconnect meanwhile.
struct WaitingGuard<'a> {
    waiting: &'a RefCell<Waiting>,
    ticket: u32,
}

impl<'a> WaitingGuard<'a> {
    fn new(
        waiting: &'a RefCell<Waiting>,
        ticket: u32,
        sender: UnboundedSender<(SocketAddr, OriginResponse)>,
    ) -> Self {
        waiting.borrow_mut().insert(ticket, sender);
        Self { waiting, ticket }
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.waiting.borrow_mut().remove(&self.ticket);
    }
}

/// What other instances are asked for.
#[derive(Clone, Copy)]
pub(crate) struct Question<'a> {
    pub(crate) key: Key,
    pub(crate) service: &'a ServiceName,
    /// Whether they are to read the engines from the store before they answer.
    pub(crate) must_confirm: bool,
}

/// Frames to send, each to one instance.
pub(crate) type Outgoing = Vec<(SocketAddr, Frame)>;

impl StreamOrigins {
    pub(crate) fn new(versions: VersionHistory) -> Self {
        Self {
            versions: RefCell::new(versions),
            ..Self::default()
        }
    }

    /// Records a stream that an engine of this version begins or goes on with. Returns what to send before
    /// its first event is written.
    pub(crate) fn begin(
        &self,
        key: Key,
        service: &ServiceName,
        software: &Software,
        time_left: Duration,
        others: impl FnOnce() -> Vec<SocketAddr>,
        now: Moment,
    ) -> Outgoing {
        let is_settled = self.versions.borrow().is_settled(service, now);
        let mut streams = self.streams.borrow_mut();
        let note = streams.begin(key, service, software, time_left, is_settled, now);
        address_notes(note.as_slice(), others)
    }

    /// Records the versions of all services. Returns what to send of streams that began while there seemed
    /// to be one.
    pub(crate) fn observe(
        &self,
        fleet: &Fleet,
        others: impl FnOnce() -> Vec<SocketAddr>,
        now: Moment,
        unix: UnixTime,
    ) -> Outgoing {
        self.streams.borrow_mut().expire(now);
        let mut versions = self.versions.borrow_mut();
        let services = fleet.services();
        let unsettled = services
            .filter(|service| versions.observe(service, fleet.versions(service), now, unix));
        let unsettled: Vec<&ServiceName> = unsettled.collect();
        self.announce(&unsettled, others, now)
    }

    /// Records that a service has several versions, as another instance says. Returns the same as
    /// [`Self::observe`].
    pub(crate) fn on_several_versions(
        &self,
        service: &ServiceName,
        others: impl FnOnce() -> Vec<SocketAddr>,
        now: Moment,
    ) -> Outgoing {
        if self.versions.borrow_mut().on_several(service, now) {
            self.announce(&[service], others, now)
        } else {
            Outgoing::new()
        }
    }

    /// Records which engine began a stream, or goes on with it, and when.
    pub(crate) fn on_engine(&self, key: Key, engine: &EngineId, at: UnixTime) {
        self.streams.borrow_mut().on_engine(key, engine, at);
    }

    /// Records that engines have started again. Returns what to send of streams that the new processes may have
    /// begun.
    pub(crate) fn on_restarts(
        &self,
        restarts: &[Restart],
        others: impl FnOnce() -> Vec<SocketAddr>,
        now: Moment,
    ) -> Outgoing {
        let mut streams = self.streams.borrow_mut();
        let notes = restarts
            .iter()
            .flat_map(|restart| streams.on_restart(restart, now));
        let notes: Vec<Note> = notes.collect();
        if !notes.is_empty() {
            log::info!(streams = notes.len(); "engines had started again before they began streams");
        }
        address_notes(&notes, others)
    }

    /// Whether the version of a stream's engine has turned out to be uncertain.
    pub(crate) fn is_uncertain(&self, key: Key) -> bool {
        self.streams.borrow().is_uncertain(key)
    }

    fn announce(
        &self,
        services: &[&ServiceName],
        others: impl FnOnce() -> Vec<SocketAddr>,
        now: Moment,
    ) -> Outgoing {
        let streams = self.streams.borrow();
        let notes = services
            .iter()
            .flat_map(|service| streams.unannounced(service, now));
        let notes: Vec<Note> = notes.collect();
        if !notes.is_empty() {
            log::info!(streams = notes.len(); "other instances are told where streams began");
        }
        address_notes(&notes, others)
    }

    /// Copies for the backups of this instance, whose address is `own`. Empty until they are due.
    pub(crate) fn copies(
        &self,
        own: SocketAddr,
        others: impl FnOnce() -> Vec<SocketAddr>,
        now: Moment,
    ) -> Outgoing {
        let mut backups = self.backups.borrow_mut();
        if !backups.is_due(now) {
            return Outgoing::new();
        }
        let recipients = backups.recipients(own, &others(), now);
        let mut streams = self.streams.borrow_mut();
        let new = encode_batches(&streams.take_uncopied(now));
        let mut copies = Outgoing::new();
        for (to, scope) in recipients {
            let batches = match scope {
                Scope::New => new.clone(),
                Scope::All => encode_batches(&streams.all_own(now)),
            };
            if !batches.is_empty() {
                backups.on_sent(to, now);
            }
            copies.extend(batches.into_iter().map(|batch| {
                let frame = Frame {
                    begun: vec![batch],
                    ..Frame::default()
                };
                (to, frame)
            }));
        }
        copies
    }

    /// Keeps copies of streams that another instance began. Returns what to send to the holders of those that
    /// need to be known already.
    pub(crate) fn on_copies(
        &self,
        batches: &[StreamBatch],
        others: impl FnOnce() -> Vec<SocketAddr>,
        now: Moment,
    ) -> Outgoing {
        let versions = self.versions.borrow();
        let mut streams = self.streams.borrow_mut();
        let notes = batches.iter().flat_map(|batch| {
            let batch = decode_batch(batch);
            let is_settled = versions.is_settled(&batch.service, now);
            streams.on_batch(&batch, is_settled, now)
        });
        let notes: Vec<Note> = notes.collect();
        address_notes(&notes, others)
    }

    /// Handles a backup's acknowledgement of a copy.
    pub(crate) fn on_copy_received(&self, from: SocketAddr, incarnation: u64) {
        let mut backups = self.backups.borrow_mut();
        backups.on_acknowledged(from, incarnation);
    }

    /// Numbers of streams that this instance remembers.
    pub(crate) fn counts(&self) -> Counts {
        self.streams.borrow().counts()
    }

    /// Whether a service has several versions, or had until lately.
    pub(crate) fn is_mixed(&self, service: &ServiceName, now: Moment) -> bool {
        self.versions.borrow().has_several(service, now)
    }

    /// What this instance knows of a stream. `knows_all` tells whether it knows all engines, `is_confirmed`
    /// whether it has read them since the stream was taken up.
    pub(crate) fn knowledge(
        &self,
        key: Key,
        service: &ServiceName,
        knows_all: bool,
        is_confirmed: bool,
        now: Moment,
    ) -> Knowledge {
        let versions = self.versions.borrow();
        let sole = versions.sole(service, now).filter(|_| knows_all);
        Knowledge {
            software: self.streams.borrow().find(key, now),
            is_mixed: versions.has_several(service, now),
            sole: sole.cloned(),
            is_confirmed,
        }
    }

    /// Asks other instances for a stream. Returns their answers once one knows it, all have answered, or the
    /// time is over.
    pub(crate) async fn ask(
        &self,
        question: Question<'_>,
        others: &[SocketAddr],
        send: impl Fn(OriginRequest, SocketAddr),
    ) -> Vec<(SocketAddr, Knowledge)> {
        let ticket = self.tickets.next();
        let (sender, mut receiver) = unbounded_channel();
        let _open = WaitingGuard::new(&self.waiting, ticket, sender);
        for other in others {
            let request = OriginRequest {
                ticket,
                stream: question.key,
                service: question.service.to_string(),
                confirm: question.must_confirm,
            };
            send(request, *other);
        }
        let mut known = Vec::new();
        let answers = async {
            while known.len() < others.len() {
                let Some((from, response)) = receiver.recv().await else {
                    return;
                };
                let is_confirmed = response.confirmed && response.sole.is_some();
                let is_answer = response.software.is_some() || is_confirmed;
                known.push((from, decode(response)));
                if is_answer {
                    return;
                }
            }
        };
        let time = match question.must_confirm {
            true => CONFIRMATION_TIMEOUT + RESPONSE_TIMEOUT,
            false => RESPONSE_TIMEOUT,
        };
        let is_silent = timeout(time, answers).await.is_err();
        if is_silent {
            log::info!(asked = others.len(), answered = known.len(); "instances do not say where a stream began");
        }
        known
    }

    /// Handles streams that another instance began.
    pub(crate) fn on_notes(&self, notes: &[StreamOrigin], now: Moment) {
        let mut streams = self.streams.borrow_mut();
        for note in notes {
            let note = Note {
                key: note.stream,
                software: Software::from(note.software.as_str()),
                lifetime: Duration::from_millis(note.lifetime_ms.into()),
            };
            streams.on_note(&note, now);
        }
    }

    /// Handles the answer to a question.
    pub(crate) fn on_response(&self, from: SocketAddr, response: OriginResponse) {
        let waiting = self.waiting.borrow();
        let sender = waiting.get(&response.ticket);
        if sender.is_none_or(|sender| sender.send((from, response)).is_err()) {
            log::debug!("the origin of a stream came too late");
        }
    }
}

/// Encodes what this instance knows, in answer to a question.
pub(crate) fn encode(ticket: u32, known: &Knowledge) -> OriginResponse {
    OriginResponse {
        ticket,
        software: known.software.as_deref().map(str::to_owned),
        mixed: known.is_mixed,
        sole: known.sole.as_deref().map(str::to_owned),
        confirmed: known.is_confirmed,
    }
}

fn decode(response: OriginResponse) -> Knowledge {
    Knowledge {
        software: response.software.map(Software::from),
        is_mixed: response.mixed,
        sole: response.sole.map(Software::from),
        is_confirmed: response.confirmed,
    }
}

/// Encodes batches, none too large for a frame.
fn encode_batches(batches: &[Batch]) -> Vec<StreamBatch> {
    let encoded = batches.iter().flat_map(|batch| {
        let chunks = batch.streams.chunks(MAX_STREAMS_PER_BATCH);
        chunks.map(|streams| StreamBatch {
            service: batch.service.to_string(),
            software: batch.software.to_string(),
            streams: streams.iter().map(|(key, _)| *key).collect(),
            lifetimes_ms: streams.iter().map(|(_, left)| to_millis(*left)).collect(),
        })
    });
    encoded.collect()
}

fn decode_batch(batch: &StreamBatch) -> Batch {
    let lifetimes = batch.lifetimes_ms.iter();
    let lifetimes = lifetimes.map(|ms| Duration::from_millis((*ms).into()));
    Batch {
        service: ServiceName::from(batch.service.as_str()),
        software: Software::from(batch.software.as_str()),
        streams: batch.streams.iter().copied().zip(lifetimes).collect(),
    }
}

/// Addresses notes to the holders of their streams among the other instances.
fn address_notes(notes: &[Note], others: impl FnOnce() -> Vec<SocketAddr>) -> Outgoing {
    if notes.is_empty() {
        return Outgoing::new();
    }
    let others = others();
    let mut by_holder: HashMap<SocketAddr, Vec<StreamOrigin>> = HashMap::new();
    for note in notes {
        for holder in origin::holders(note.key, others.iter().copied(), origin::HOLDERS) {
            by_holder.entry(holder).or_default().push(StreamOrigin {
                stream: note.key,
                software: note.software.to_string(),
                lifetime_ms: to_millis(note.lifetime),
            });
        }
    }
    let frames = by_holder.into_iter().flat_map(|(holder, notes)| {
        let chunks = notes.chunks(MAX_STREAMS_PER_FRAME);
        let frames = chunks.map(|notes| Frame {
            origins: notes.to_vec(),
            ..Frame::default()
        });
        frames.map(|frame| (holder, frame)).collect::<Vec<_>>()
    });
    frames.collect()
}
