//! Work that other placing instances report.

use clock::Moment;
use std::collections::btree_map::Entry;

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
        let mut former = self.clear_peer_work(peer, now);
        let mut engines = Vec::with_capacity(works.len());
        for (id, work) in works {
            if let Some(engine) = self.engines.get_mut(&id) {
                let is_open = |(at, job): &(EngineId, Job)| {
                    *at == id && work.jobs.iter().any(|open| open.ticket == job.ticket)
                };
                former.retain(|job| !is_open(job));
                engine.peer_work.insert(peer, work);
                engine.update_reading(now);
                engines.push(id);
            }
        }
        self.peer_engines.insert(peer, engines);
        // The reports of their ends are lost.
        self.lose_prompts(former);
    }

    /// Removes all work of another instance. Returns its unread prompts.
    fn clear_peer_work(&mut self, peer: PeerId, now: Moment) -> Vec<(EngineId, Job)> {
        let mut unread = Vec::new();
        for id in self.peer_engines.remove(&peer).unwrap_or_default() {
            if let Some(engine) = self.engines.get_mut(&id) {
                let work = engine.peer_work.remove(&peer).unwrap_or_default();
                unread.extend(work.jobs.into_iter().map(|job| (id.clone(), job)));
                engine.update_reading(now);
            }
        }
        unread
    }

    /// Records prompts whose ends remain unknown.
    fn lose_prompts(&mut self, prompts: Vec<(EngineId, Job)>) {
        for (id, _) in prompts {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.open_interval.lost_prompt = true;
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
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let work = engine.peer_work.get_mut(&peer);
        let job = work.and_then(|work| {
            let index = work.jobs.iter().position(|job| job.ticket == ticket)?;
            Some(work.jobs.remove(index))
        });
        engine.update_reading(now);
        if let Some(job) = job {
            self.observe_read(id, job, at.min(now));
        }
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
            let unread = work.jobs.len();
            work.jobs.retain(|job| job.ticket != ticket);
            engine.open_interval.lost_prompt |= work.jobs.len() < unread;
        }
        if let Some(outcome) = outcome {
            engine.peer_reports.record(peer, outcome, now);
        }
        engine.update_reading(now);
    }

    /// Removes an instance that has ended, with its work and the calls placed for it.
    pub fn forget_peer(&mut self, peer: PeerId, now: Moment) {
        self.peer_heard_at.remove(&peer);
        let unread = self.clear_peer_work(peer, now);
        self.lose_prompts(unread);
        self.end_remote_calls(peer, now);
    }
}
