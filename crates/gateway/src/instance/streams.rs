//! Streams that callers resume: what this instance tells others of them, asks others, and answers.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use serving::engine::Record;
use serving::origin::{self, Evidence, Key, Knowledge, Software, Unresolved};
use serving::version_history;
use serving::{ServiceName, hash, watch};
use wire::gateway::{Frame, OriginRequest, OriginResponse, StreamBatch};

use super::Instance;
use crate::origins::{self, CONFIRMATION_TIMEOUT, Outgoing, Question};
use crate::peers::Topic;

/// Mean time between two instances that read the same records after the same gap.
const READ_SPACING: Duration = Duration::from_millis(2);
/// Most placers that are asked at once to read the engines for an instance that does not know all.
const MAX_CONFIRMING: usize = 2;

/// What is known of the origin of a stream that a caller takes up.
pub(crate) struct Resolution {
    pub(crate) origin: Result<(Software, Evidence), Unresolved>,
    /// Other instances that were asked for it, and those that answered.
    pub(crate) asked: usize,
    pub(crate) answered: usize,
}

impl Instance {
    /// Records that an engine begins a stream, or goes on with it, before its first event is written.
    pub(crate) fn begin_stream(&self, key: Key, engine: &Record, time_left: Duration) {
        self.observe_versions();
        let (others, now) = (|| self.peers.borrow().addresses(), self.now());
        let software = engine.software.clone().unwrap_or_default();
        let service = &engine.service;
        let begun = self
            .origins
            .begin(key, service, &software, time_left, others, now);
        self.origins.on_engine(key, &engine.id, self.unix());
        self.send_all(begun);
    }

    /// The software version that may go on with a stream, from what this instance and others know. Nobody has a
    /// note of one whose caller does not name the attempt that began it (`is_named`).
    pub(crate) async fn resolve_stream(
        &self,
        key: Key,
        service: &ServiceName,
        is_named: bool,
    ) -> Resolution {
        let taken_up = self.now();
        let own = self.stream_knowledge(key, service, taken_up);
        if own.software.is_some() {
            return Resolution {
                origin: origin::resolve(&own, &[], false),
                asked: 0,
                answered: 0,
            };
        }
        let mut members = self.peers.borrow().addresses();
        members.push(self.address);
        let drawn = origin::holders(key, members.into_iter(), origin::ASKED);
        let mut others = drawn.clone();
        if self.is_caching.get() {
            // A placer knows all engines.
            let placers = self.placers.borrow();
            others.extend(placers.others.first().map(|(address, _)| *address));
        }
        others.retain(|other| *other != self.address);
        let answers = self.ask(key, service, &others, false).await;
        let has_answered = |member: SocketAddr| {
            member == self.address || answers.iter().any(|(from, _)| *from == member)
        };
        let is_complete = is_named && origin::is_complete(&drawn, has_answered);
        let (asked, answered) = (others.len(), answers.len());
        let mut known: Vec<Knowledge> = answers.into_iter().map(|(_, known)| known).collect();
        let mut origin = origin::resolve(&own, &known, is_complete);
        if matches!(origin, Err(Unresolved::Unknown)) {
            known.extend(self.confirm(key, service, taken_up).await);
            let own = self.stream_knowledge(key, service, taken_up);
            origin = origin::resolve(&own, &known, is_complete);
        }
        Resolution {
            origin,
            asked,
            answered,
        }
    }

    /// Has the engines read from the store, by placers if this instance does not keep all of them. Returns what
    /// the placers know then.
    async fn confirm(&self, key: Key, service: &ServiceName, since: Moment) -> Vec<Knowledge> {
        if !self.is_caching.get() {
            self.confirm_versions(since).await;
            return Vec::new();
        }
        let placers = self.placers.borrow().others.clone();
        let placers = placers.iter().map(|(address, _)| *address);
        let placers: Vec<SocketAddr> = placers.take(MAX_CONFIRMING).collect();
        let answers = self.ask(key, service, &placers, true).await;
        answers.into_iter().map(|(_, known)| known).collect()
    }

    /// Asks other instances for a stream.
    async fn ask(
        &self,
        key: Key,
        service: &ServiceName,
        others: &[SocketAddr],
        must_confirm: bool,
    ) -> Vec<(SocketAddr, Knowledge)> {
        let question = Question {
            key,
            service,
            must_confirm,
        };
        let send = |request: OriginRequest, to: SocketAddr| {
            let frame = Frame {
                origin_request: Some(request),
                ..self.frame()
            };
            self.pending_placements.send(&frame, to);
        };
        self.origins.ask(question, others, send).await
    }

    /// Time since the engines were read from the store, by this instance and by those that announce it.
    pub(crate) fn engines_ages(&self) -> [Option<Duration>; 2] {
        let now = self.now();
        let peers = self.peers.borrow();
        let readers = peers.reader_states(Topic::Engines);
        let announced = readers.filter_map(|reader| reader.read_at).max();
        [self.engines_confirmation.as_of(), announced].map(|read| Some(now.saturating_sub(read?)))
    }

    /// Answers another instance's question for a stream that arrived at `since`.
    pub(crate) fn answer_origin(&self, request: &OriginRequest, since: Moment) -> OriginResponse {
        let service = ServiceName::from(request.service.as_str());
        let known = self.stream_knowledge(request.stream, &service, since);
        origins::encode(request.ticket, &known)
    }

    /// Reads the engines from the store, so that what this instance knows of their versions is as new as
    /// `since`.
    pub(crate) async fn confirm_versions(&self, since: Moment) {
        if self.is_caching.get() {
            return;
        }
        let engines = &self.engines_confirmation;
        engines.wait_until(since, CONFIRMATION_TIMEOUT).await;
        self.observe_versions();
        if self.origins.versions.borrow().has_gap() {
            let records = &self.instances_confirmation;
            records.wait_until(self.now(), CONFIRMATION_TIMEOUT).await;
        }
    }

    /// Notes which software versions the engines of services have, and tells the holders of streams that
    /// began before.
    pub(crate) fn observe_versions(&self) {
        let (others, now) = (|| self.peers.borrow().addresses(), self.now());
        if let Some(as_of) = self.engines_as_of(now) {
            let mut versions = self.origins.versions.borrow_mut();
            versions.on_list_current(as_of, now);
            if versions.has_gap() && versions.records_due(self.records_delay(), now) {
                log::info!(
                    "engines may have come and gone unseen; the recorded software versions are read"
                );
                self.instances_confirmation.request();
            }
        }
        let restarts = self.fleet.borrow_mut().take_restarts();
        self.send_all(self.origins.on_restarts(&restarts, others, now));
        let fleet = self.fleet.borrow();
        let notes = self.origins.observe(&fleet, others, now, self.unix());
        self.send_all(notes);
    }

    /// Delay of a read that all instances make after the same gap, so that a store that returns is not read by
    /// all at once.
    fn records_delay(&self) -> Duration {
        let instances = u32::try_from(self.peers.borrow().count()).unwrap_or(u32::MAX);
        let number = u32::from(hash::hash32(&self.address.to_string()) as u16);
        READ_SPACING.saturating_mul(instances) * number / u32::from(u16::MAX)
    }

    /// The last moment at which the store was read by this instance or by one that announces what it reads.
    pub(crate) fn engines_as_of(&self, now: Moment) -> Option<Moment> {
        let peers = self.peers.borrow();
        let readers = peers.reader_states(Topic::Engines);
        let readers = readers.filter(|reader| reader.is_fresh(now));
        let announced = readers.filter_map(|reader| reader.read_at).max();
        announced.max(self.engines_confirmation.as_of())
    }

    /// Notes that a service has engines of several software versions, as a placer says.
    pub(crate) fn on_mixed_versions(&self, service: &ServiceName) {
        let (others, now) = (|| self.peers.borrow().addresses(), self.now());
        let notes = self.origins.on_several_versions(service, others, now);
        self.send_all(notes);
    }

    /// Records of software versions that this instance has to write: it is the first of those that read the
    /// engines from the store.
    pub(crate) fn versions_to_record(&self) -> Vec<version_history::Record> {
        let (now, order) = (self.now(), self.order());
        let read = self.engines_read.get().filter(|_| self.engines_known.get());
        let is_reader = read.is_some_and(|read| now.saturating_sub(read) <= watch::FRESH_AGE);
        let peers = self.peers.borrow();
        if is_reader && !peers.has_reader_before(order, Topic::Engines, now) {
            self.origins.versions.borrow().unrecorded(now)
        } else {
            Vec::new()
        }
    }

    fn stream_knowledge(&self, key: Key, service: &ServiceName, since: Moment) -> Knowledge {
        self.observe_versions();
        let knows_all = self.engines_known.get();
        let is_confirmed = self.engines_confirmation.covers(since);
        self.origins
            .knowledge(key, service, knows_all, is_confirmed, self.now())
    }

    /// Copies streams that this instance began to its backups, if that is due.
    pub(crate) fn copy_streams(&self) {
        let others = || self.peers.borrow().addresses();
        let copies = self.origins.copies(self.address, others, self.now());
        self.send_all(copies);
    }

    /// Keeps copies of streams that another instance began.
    pub(crate) fn on_stream_copies(&self, from: SocketAddr, batches: &[StreamBatch]) {
        let others = || self.peers.borrow().addresses();
        let notes = self.origins.on_copies(batches, others, self.now());
        self.send_all(notes);
        let received = Frame {
            begun_received: true,
            ..Frame::default()
        };
        self.send_all(vec![(from, received)]);
    }

    fn send_all(&self, outgoing: Outgoing) {
        for (to, frame) in outgoing {
            let frame = Frame {
                incarnation: self.incarnation,
                ..frame
            };
            self.pending_placements.send(&frame, to);
        }
    }
}
