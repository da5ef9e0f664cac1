//! Streams that callers resume: what this instance tells others of them, asks others, and answers.

use std::net::SocketAddr;
use std::time::Duration;

use serving::origin::{self, Evidence, Key, Knowledge, Software, Unresolved};
use serving::version_history::Record;
use serving::{ServiceName, watch};
use wire::gateway::{Frame, OriginRequest, OriginResponse, StreamBatch};

use super::Instance;
use crate::origins::{self, Outgoing};
use crate::peers::Topic;

/// What is known of the origin of a stream that a caller takes up.
pub(crate) struct Resolution {
    pub(crate) origin: Result<(Software, Evidence), Unresolved>,
    /// Other instances that were asked for it, and those that answered.
    pub(crate) asked: usize,
    pub(crate) answered: usize,
}

impl Instance {
    /// Records that an engine of this software version begins a stream, or goes on with it, before its first
    /// event is written.
    pub(crate) fn begin_stream(
        &self,
        key: Key,
        service: &ServiceName,
        software: &Software,
        time_left: Duration,
    ) {
        self.observe_versions();
        let (others, now) = (|| self.peers.borrow().addresses(), self.now());
        let begun = self
            .origins
            .begin(key, service, software, time_left, others, now);
        self.send_all(begun);
    }

    /// The software version that may go on with a stream, from what this instance and others know.
    pub(crate) async fn resolve_stream(&self, key: Key, service: &ServiceName) -> Resolution {
        let own = self.stream_knowledge(key, service);
        if let Some(software) = own.software {
            return Resolution {
                origin: Ok((software, Evidence::Note)),
                asked: 0,
                answered: 0,
            };
        }
        let mut members = self.peers.borrow().addresses();
        members.push(self.address);
        let mut others = origin::holders(key, members.into_iter(), origin::ASKED);
        if self.is_caching.get() {
            // A placer knows all engines.
            let placers = self.placers.borrow();
            others.extend(placers.others.first().map(|(address, _)| *address));
        }
        others.retain(|other| *other != self.address);
        let send = |request: OriginRequest, to: SocketAddr| {
            let frame = Frame {
                origin_request: Some(request),
                ..self.frame()
            };
            self.pending_placements.send(&frame, to);
        };
        let known = self.origins.ask(key, service, &others, send).await;
        Resolution {
            origin: origin::resolve(&own, &known, self.is_current(Topic::Engines)),
            asked: others.len(),
            answered: known.len(),
        }
    }

    /// Time since the engines were read from the store, by this instance and by those that announce it.
    pub(crate) fn engines_ages(&self) -> [Option<Duration>; 2] {
        let now = self.now();
        let peers = self.peers.borrow();
        let readers = peers.reader_states(Topic::Engines);
        let announced = readers.filter_map(|reader| reader.read_at).max();
        [self.engines_read.get(), announced].map(|read| Some(now.saturating_sub(read?)))
    }

    /// Answers another instance's question for a stream.
    pub(crate) fn answer_origin(&self, request: &OriginRequest) -> OriginResponse {
        let service = ServiceName::from(request.service.as_str());
        let known = self.stream_knowledge(request.stream, &service);
        origins::encode(request.ticket, &known)
    }

    /// Notes which software versions the engines of services have, and tells the holders of streams that
    /// began before.
    pub(crate) fn observe_versions(&self) {
        let others = || self.peers.borrow().addresses();
        let (fleet, now) = (self.fleet.borrow(), self.now());
        let notes = self.origins.observe(&fleet, others, now, self.unix());
        self.send_all(notes);
    }

    /// Notes that a service has engines of several software versions, as a placer says.
    pub(crate) fn on_mixed_versions(&self, service: &ServiceName) {
        let (others, now) = (|| self.peers.borrow().addresses(), self.now());
        let notes = self.origins.on_several_versions(service, others, now);
        self.send_all(notes);
    }

    /// Records of software versions that this instance has to write: it is the first of those that read the
    /// engines from the store.
    pub(crate) fn versions_to_record(&self) -> Vec<Record> {
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

    fn stream_knowledge(&self, key: Key, service: &ServiceName) -> Knowledge {
        self.observe_versions();
        let knows_all = self.engines_known.get();
        self.origins.knowledge(key, service, knows_all, self.now())
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
