//! Work that other placing instances report.

use std::collections::btree_map::Entry;
use std::time::Duration;

use clock::Moment;

use super::{Fleet, PeerId, WorkChange};
use crate::EngineId;
use crate::engine::{Job, Ticket, Work};
use crate::health::Outcome;

impl Fleet {
    /// Applies a frame of another instance: changes of its work and, in some frames, all of its
    /// work.
    ///
    /// Changes come first. A frame with all work also names calls that have ended, for their
    /// outcomes; applied afterwards they would be subtracted twice, and their engines would look
    /// idler than they are.
    pub fn apply_frame(
        &mut self,
        peer: PeerId,
        changes: &[WorkChange],
        works: Option<Vec<(EngineId, Work)>>,
        now: Moment,
    ) {
        for change in changes {
            self.apply_change(peer, change, now);
        }
        if let Some(works) = works {
            self.apply_all_work(peer, works, now);
        }
    }

    /// Replaces another instance's work at all engines. Engines that are not listed have none of
    /// it.
    pub fn apply_all_work(&mut self, peer: PeerId, works: Vec<(EngineId, Work)>, now: Moment) {
        self.peer_heard_at.insert(peer, now);
        self.clear_peer_work(peer, now);
        let mut engines = Vec::with_capacity(works.len());
        for (id, work) in works {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.peer_work.insert(peer, work);
                engine.update_reading(now);
                engines.push(id);
            }
        }
        self.peer_engines.insert(peer, engines);
    }

    /// Removes all work of another instance.
    fn clear_peer_work(&mut self, peer: PeerId, now: Moment) {
        for id in self.peer_engines.remove(&peer).unwrap_or_default() {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.peer_work.remove(&peer);
                engine.update_reading(now);
            }
        }
    }

    /// Applies one change of another instance's work.
    pub fn apply_change(&mut self, peer: PeerId, change: &WorkChange, now: Moment) {
        self.peer_heard_at.insert(peer, now);
        match change {
            WorkChange::Started(id, job) => self.started(peer, id, *job, now),
            WorkChange::Read(id, ticket, at) => self.read(peer, id, *ticket, *at, now),
            WorkChange::Ended(id, ticket, outcome) => self.ended(peer, id, *ticket, *outcome, now),
            WorkChange::EngineEnded(id) => {
                if let Some(engine) = self.engines.get_mut(id) {
                    engine.health.record(Outcome::Ended, now);
                }
            }
        }
    }

    fn started(&mut self, peer: PeerId, id: &EngineId, job: Job, now: Moment) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let work = match engine.peer_work.entry(peer) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(new) => {
                self.peer_engines.entry(peer).or_default().push(id.clone());
                new.insert(Work::default())
            }
        };
        // Starts are announced more than once.
        if work.jobs.iter().any(|known| known.ticket == job.ticket) {
            return;
        }
        work.calls += 1;
        if job.work > 0 {
            work.jobs.push(job);
            let service = engine.record.service.clone();
            self.work_rates
                .entry(service)
                .or_default()
                .add(job.work, now);
        }
        engine.update_reading(now);
    }

    fn read(&mut self, peer: PeerId, id: &EngineId, ticket: Ticket, at: Moment, now: Moment) {
        let Some(setup) = self.engines.get(id).map(|e| self.speed(e).setup_ms) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        if let Some(work) = engine.peer_work.get_mut(&peer) {
            work.jobs.retain(|job| job.ticket != ticket);
        }
        let setup = Duration::from_secs_f64(setup / 1_000.0);
        engine.last_read_at = engine.last_read_at.max(at.saturating_sub(setup));
        engine.update_reading(now);
    }

    fn ended(
        &mut self,
        peer: PeerId,
        id: &EngineId,
        ticket: Ticket,
        outcome: Option<Outcome>,
        now: Moment,
    ) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        if let Some(work) = engine.peer_work.get_mut(&peer) {
            work.calls = work.calls.saturating_sub(1);
            work.jobs.retain(|job| job.ticket != ticket);
        }
        if let Some(outcome) = outcome {
            engine.peer_reports.record(peer, outcome, now);
        }
        engine.update_reading(now);
    }

    /// Removes an instance that has ended, with its work and the calls placed for it.
    pub fn forget_peer(&mut self, peer: PeerId, now: Moment) {
        self.peer_heard_at.remove(&peer);
        self.clear_peer_work(peer, now);
        self.shares.forget(peer);
        self.end_remote_calls(peer, now);
    }
}
