//! All engines, the work at each, and the parts that each has read.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;

use crate::engine::{self, Engine, Pending, Record, Stage, State, Ticket, Work};
use crate::health::Outcome;
use crate::parts::{Part, Parts};
use crate::{EngineId, ServiceName};

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
    /// Which engine has read what.
    pub parts: Parts,
    next_ticket: Ticket,
}

impl Fleet {
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

    /// Enters a call that is about to be sent, with the prompt tokens that the engine must read
    /// and the time in which its first answer is expected.
    pub fn begin(
        &mut self,
        id: &EngineId,
        unread: u32,
        priority: u8,
        expected: Duration,
        now: Moment,
    ) -> Sent {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if let Some(engine) = self.engines.get_mut(id) {
            engine.calls += 1;
            if engine.pending.is_empty() {
                engine.progress = now;
            }
            engine.pending.push(Pending {
                ticket,
                tokens: unread,
                level: engine::level(priority),
                expected,
                sent: now,
            });
        }
        Sent {
            engine: id.clone(),
            ticket,
        }
    }

    /// Takes in that the first answer of a call is there, so that its prompt has been read.
    pub fn first(&mut self, sent: &Sent, now: Moment) {
        if let Some(engine) = self.engines.get_mut(&sent.engine) {
            let at = engine.pending.iter().position(|p| p.ticket == sent.ticket);
            if let Some(at) = at {
                let pending = engine.pending.remove(at);
                engine.progress = now;
                if pending.tokens > 0 {
                    engine.observe(pending.expected, now.saturating_sub(pending.sent));
                }
            }
        }
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
        for engine in self.engines.values_mut() {
            engine.others.remove(&peer);
        }
        for (id, work) in works {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.others.insert(peer, (now, *work));
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
        self.engines.retain(|id, engine| {
            let keep = !engine.gone || engine.calls > 0;
            if !keep {
                parts.forget(id);
            }
            keep
        });
    }
}
