//! All engines, the work at each, and the parts that each has read.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use clock::Moment;

use crate::engine::{Engine, Job, Pending, Rank, Record, Stage, State, Ticket, Work};
use crate::health::Outcome;
use crate::parts::{Part, Parts};
use crate::speed::Speed;
use crate::{EngineId, ServiceName, hash};

/// Id of another instance.
pub type PeerId = u64;

/// What other instances said longer ago than this no longer counts. Three frames may be lost.
const PEER_WORK_AGE: Duration = Duration::from_millis(1_000);

/// A call that was sent to an engine, in the books.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Where it went.
    pub engine: EngineId,
    ticket: Ticket,
}

/// The engines as this instance sees them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    engines: BTreeMap<EngineId, Engine>,
    by_short: HashMap<u32, EngineId>,
    /// Which engine has read what.
    pub parts: Parts,
    next_ticket: Ticket,
    speeds: HashMap<(ServiceName, Stage), Speed>,
}

impl Fleet {
    /// How fast engines of a stage read, as far as is known.
    pub fn speed(&self, engine: &Engine) -> Speed {
        let stage = engine.record.stage.unwrap_or(Stage::Decode);
        let key = (engine.record.service.clone(), stage);
        let known = self.speeds.get(&key).copied();
        known.unwrap_or_else(|| Speed::new(stage))
    }

    /// Takes in an engine's record. Says whether it changed something.
    pub fn put(&mut self, record: Record) -> bool {
        match self.engines.get_mut(&record.id) {
            Some(engine) => {
                let changed = engine.gone || engine.record != record;
                engine.gone = false;
                engine.record = record;
                changed
            }
            None => {
                self.by_short
                    .insert(hash::short(&record.id), record.id.clone());
                self.engines.insert(record.id.clone(), Engine::new(record));
                true
            }
        }
    }

    /// Takes in that an engine's record is gone. Says whether it changed something.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(engine) = self.engines.get_mut(id) else {
            return false;
        };
        let changed = !engine.gone;
        engine.gone = true;
        self.sweep();
        changed
    }

    /// Ids of all engines whose records stand.
    pub fn ids(&self) -> Vec<EngineId> {
        let standing = self.engines.values().filter(|engine| !engine.gone);
        standing.map(|engine| engine.record.id.clone()).collect()
    }

    /// An engine by id, also one whose record is gone and that still has calls.
    pub fn get(&self, id: &str) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// The engine whose id has this short number.
    pub fn by_short(&self, short: u32) -> Option<EngineId> {
        self.by_short.get(&short).cloned()
    }

    /// Engines of a service that take new calls by their record.
    pub fn ready<'a>(&'a self, service: &'a ServiceName) -> impl Iterator<Item = &'a Engine> {
        self.engines.values().filter(move |engine| {
            !engine.gone && engine.record.state == State::Ready && engine.record.service == *service
        })
    }

    /// All engines.
    pub fn all(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// Enters a call that is about to be sent, with the work that its prompt is there.
    pub fn begin(&mut self, id: &EngineId, work: u32, rank: Rank, now: Moment) -> Sent {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let job = Job {
            sent: now,
            rank,
            work,
        };
        let rate = self.engines.get(id).map_or(1.0, |e| self.speed(e).rate);
        if let Some(engine) = self.engines.get_mut(id) {
            let pace = std::mem::replace(&mut engine.pace, 1.0);
            let expected = engine.read_in(job, rate);
            engine.pace = pace;
            let alone = engine.jobs().is_empty();
            engine.calls += 1;
            engine.pending.push(Pending {
                ticket,
                job,
                expected,
                alone,
            });
        }
        Sent {
            engine: id.clone(),
            ticket,
        }
    }

    /// Takes in that the first answer of a call is there, so that its prompt has been read.
    pub fn first(&mut self, sent: &Sent, now: Moment) {
        let Some(engine) = self.engines.get_mut(&sent.engine) else {
            return;
        };
        let at = engine.pending.iter().position(|p| p.ticket == sent.ticket);
        let Some(pending) = at.map(|at| engine.pending.remove(at)) else {
            return;
        };
        if pending.job.work == 0 {
            return;
        }
        let took = now.saturating_sub(pending.job.sent);
        let stage = engine.record.stage.unwrap_or(Stage::Decode);
        let key = (engine.record.service.clone(), stage);
        let speed = self.speeds.entry(key).or_insert_with(|| Speed::new(stage));
        if pending.alone {
            speed.observe(pending.job.work, took);
        }
        let setup = Duration::from_secs_f64(speed.setup / 1_000.0);
        engine.freed = engine.freed.max(now.saturating_sub(setup));
        let expected = pending.expected + setup;
        engine.observe(expected.as_secs_f64(), took.as_secs_f64(), pending.alone);
    }

    /// Takes in that a call has ended.
    pub fn end(&mut self, sent: &Sent, outcome: Option<Outcome>, now: Moment) {
        if let Some(engine) = self.engines.get_mut(&sent.engine) {
            engine.pending.retain(|p| p.ticket != sent.ticket);
            engine.calls = engine.calls.saturating_sub(1);
            if let Some(outcome) = outcome {
                engine.health.note(outcome, now);
            }
        }
        self.sweep();
    }

    /// Takes in what another instance has at the engines. Engines that it does not name have none
    /// of its work.
    pub fn hear(&mut self, peer: PeerId, works: &[(EngineId, Work)], now: Moment) {
        let mut before: BTreeMap<EngineId, Work> = BTreeMap::new();
        for (id, engine) in &mut self.engines {
            if let Some((_, work)) = engine.others.remove(&peer) {
                before.insert(id.clone(), work);
            }
        }
        for (id, work) in works {
            let Some(setup) = self.engines.get(id).map(|e| self.speed(e).setup) else {
                continue;
            };
            if let Some(engine) = self.engines.get_mut(id) {
                // One prompt less means that one was read, a setup's time ago.
                if before
                    .get(id)
                    .is_some_and(|before| before.jobs.len() > work.jobs.len())
                {
                    let setup = Duration::from_secs_f64(setup / 1_000.0);
                    engine.freed = engine.freed.max(now.saturating_sub(setup));
                }
                engine.others.insert(peer, (now, work.clone()));
            }
        }
    }

    /// Drops what silent instances said.
    pub fn fade(&mut self, now: Moment) {
        for engine in self.engines.values_mut() {
            engine
                .others
                .retain(|_, (heard, _)| now.saturating_sub(*heard) <= PEER_WORK_AGE);
        }
    }

    /// What this instance has at the engines, for the others.
    pub fn own(&self) -> Vec<(EngineId, Work)> {
        let with_work = self.engines.values().filter(|engine| engine.calls > 0);
        with_work
            .map(|engine| (engine.record.id.clone(), engine.own()))
            .collect()
    }

    /// Takes in that an engine reads these parts.
    pub fn reads(&mut self, id: &EngineId, prompt: &[Part], memory_tokens: u64, now: Moment) {
        if self.engines.contains_key(id) {
            self.parts.read(id, prompt, memory_tokens, now);
        }
    }

    /// How many engines of a service are ready, by stage.
    pub fn count(&self, service: &ServiceName, stage: Stage) -> usize {
        self.ready(service)
            .filter(|engine| engine.record.stage == Some(stage))
            .count()
    }

    fn sweep(&mut self) {
        let parts = &mut self.parts;
        let by_short = &mut self.by_short;
        self.engines.retain(|id, engine| {
            let keep = !engine.gone || engine.calls > 0;
            if !keep {
                parts.forget(id);
                by_short.remove(&hash::short(id));
            }
            keep
        });
    }
}
