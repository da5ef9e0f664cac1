//! Instances, engines and calls of a replay, in steps of a millisecond.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Moment;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use serving::fingerprint::Fingerprint;
use serving::quarantine::{Crash, Entry, GoodRun, Quarantine, Verdict};

const BUILD: u32 = 1;
const CALLER: u32 = 1;

/// Times in milliseconds. A fatal call ends its engine this long after it was sent there.
const FATAL_AFTER: u64 = 80;
/// Time until a sound call has written long enough to clear its parts, and until it is done.
const WRITES_AFTER: u64 = 150;
const DONE_AFTER: u64 = 500;
/// Time until an instance knows that an engine has ended, and until a message arrives.
const VERDICT_AFTER: u64 = 10;
const MESSAGE_AFTER: u64 = 20;
/// Time until a message is sent again.
const RESENT_AFTER: u64 = 350;
/// Time after which a caller sends a broken call again, once.
const REPEATED_AFTER: u64 = 60;
/// Time within which all instances know what ended five engines.
const KNOWN_WITHIN: u64 = 3_000;
/// Crashes after which that time begins.
const CRASHES_UNTIL_KNOWN: usize = 5;

/// Parts of sessions are numbered from here.
const SESSIONS: Fingerprint = 1_000;
/// Calls are numbered from here.
const CALLS: Fingerprint = 1_000_000;

/// A stream of calls.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    /// Mean number of calls per second.
    pub(crate) per_second: f64,
    /// When it begins and ends.
    pub(crate) from: u64,
    pub(crate) until: u64,
    /// Parts of the prompts, without the last. Part 0 stands for one of [`Source::sessions`].
    pub(crate) parts: Vec<Fingerprint>,
    /// Number of parts that take the place of part 0.
    pub(crate) sessions: u32,
    /// Whether all calls are repeats of one.
    pub(crate) is_one_call: bool,
    /// Whether its calls end their engines, whatever their parts.
    pub(crate) is_fatal: bool,
    /// Whether it comes to the first instance only.
    pub(crate) at_one_instance: bool,
}

impl Default for Source {
    fn default() -> Self {
        Self {
            per_second: 20.0,
            from: 0,
            until: u64::MAX,
            parts: Vec::new(),
            sessions: 0,
            is_one_call: false,
            is_fatal: false,
            at_one_instance: false,
        }
    }
}

/// A replay.
#[derive(Clone, Debug)]
pub(crate) struct Case {
    pub(crate) sources: Vec<Source>,
    pub(crate) fatal_parts: Vec<Fingerprint>,
    pub(crate) instances: usize,
    pub(crate) engines: usize,
    /// Time until an engine is back.
    pub(crate) restart_time: u64,
    /// Mean time between ends of engines for reasons of their own; 0 for none.
    pub(crate) crash_interval: u64,
    /// Moments at which this many engines end together.
    pub(crate) together: Vec<(u64, usize)>,
    /// Whether trials can be claimed, and what is known survives [`Case::killed_at`].
    pub(crate) store: bool,
    /// When all instances are killed and start again.
    pub(crate) killed_at: Option<u64>,
    /// Percentage of messages that are lost.
    pub(crate) lost: u32,
    pub(crate) duration: u64,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            sources: Vec::new(),
            fatal_parts: Vec::new(),
            instances: 6,
            engines: 12,
            restart_time: 1_500,
            crash_interval: 0,
            together: Vec::new(),
            store: true,
            killed_at: None,
            lost: 0,
            duration: 60_000,
        }
    }
}

/// A call at an engine.
#[derive(Clone, Debug)]
struct Run {
    call: Fingerprint,
    parts: Vec<Fingerprint>,
    is_fatal: bool,
    source: usize,
    instance: usize,
    engine: usize,
    sent_at: u64,
    has_written: bool,
    is_repeat: bool,
}

/// What happens at a given time.
#[derive(Clone, Debug)]
enum Event {
    /// A call arrives at an instance.
    Arrive(Run),
    /// An instance learns that the engine of a call has ended.
    Verdict(Run, u32, u64),
    /// An entry arrives at an instance.
    Message(usize, Fingerprint, Entry),
}

/// What became of the calls of a source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Count {
    pub(crate) sent: usize,
    pub(crate) reached: usize,
    pub(crate) refused: usize,
    /// Those of them that came after all instances knew of the fatal parts.
    pub(crate) sent_later: usize,
    pub(crate) reached_later: usize,
    pub(crate) refused_later: usize,
}

/// Result of a replay.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) counts: Vec<Count>,
    /// Ends of engines under fatal parts.
    pub(crate) crashes: Vec<u64>,
    /// Parts that were held although they are not fatal, and for how long.
    pub(crate) wrongly_held: BTreeMap<Fingerprint, u64>,
    pub(crate) messages: usize,
}

pub(crate) struct Replay {
    case: Case,
    rng: StdRng,
    quarantines: Vec<Quarantine>,
    /// What the store has.
    stored: BTreeMap<Fingerprint, Entry>,
    events: BTreeMap<(u64, usize), Event>,
    running: Vec<Run>,
    available_at: Vec<u64>,
    starts: Vec<u32>,
    calls: usize,
    scheduled: usize,
    outcome: Outcome,
}

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

impl Replay {
    /// Prepares a replay.
    pub(crate) fn new(case: &Case, seed: u64) -> Self {
        let counts = vec![Count::default(); case.sources.len()];
        Self {
            case: case.clone(),
            rng: StdRng::seed_from_u64(seed),
            quarantines: vec![Quarantine::default(); case.instances],
            stored: BTreeMap::new(),
            events: BTreeMap::new(),
            running: Vec::new(),
            available_at: vec![0; case.engines],
            starts: vec![0; case.engines],
            calls: 0,
            scheduled: 0,
            outcome: Outcome {
                counts,
                ..Outcome::default()
            },
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// Replays the case to its end.
    pub(crate) fn run(mut self) -> Outcome {
        for now in 0..self.case.duration {
            self.send_calls(now);
            while let Some(next) = self.events.first_entry() {
                if next.key().0 > now {
                    break;
                }
                let event = next.remove();
                self.on_event(event, now);
            }
            self.progress(now);
            self.end_engines(now);
            if self.case.killed_at == Some(now) {
                self.restart_instances();
            }
            self.observe_holds();
        }
        self.outcome
    }

    fn send_calls(&mut self, now: u64) {
        for source in 0..self.case.sources.len() {
            let Source {
                per_second,
                from,
                until,
                parts,
                sessions,
                is_one_call,
                is_fatal,
                at_one_instance,
            } = self.case.sources[source].clone();
            if !(from..until).contains(&now) || self.rng.random::<f64>() * 1_000.0 >= per_second {
                continue;
            }
            self.calls += 1;
            let number = if is_one_call {
                source
            } else {
                100 + self.calls
            };
            let session = SESSIONS + u128::from(self.rng.random_range(0..sessions.max(1)));
            let parts: Vec<Fingerprint> = parts
                .iter()
                .map(|part| if *part == 0 { session } else { *part })
                .collect();
            let has_fatal_part = parts
                .iter()
                .any(|part| self.case.fatal_parts.contains(part));
            let instance = match at_one_instance {
                true => 0,
                false => self.rng.random_range(0..self.case.instances),
            };
            let run = Run {
                call: CALLS + number as u128,
                is_fatal: is_fatal || has_fatal_part,
                parts,
                source,
                instance,
                engine: 0,
                sent_at: now,
                has_written: false,
                is_repeat: false,
            };
            self.schedule(now, Event::Arrive(run));
        }
    }

    fn on_event(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrive(run) => self.on_arrival(run, now),
            Event::Verdict(run, engine, ended_at) => self.on_verdict(&run, engine, ended_at, now),
            Event::Message(instance, suspect, entry) => {
                self.outcome.messages += 1;
                self.quarantines[instance].merge(suspect, &entry);
            }
        }
    }

    fn on_arrival(&mut self, mut run: Run, now: u64) {
        let is_later = self
            .outcome
            .crashes
            .get(CRASHES_UNTIL_KNOWN - 1)
            .is_some_and(|fifth| now > fifth + KNOWN_WITHIN);
        let is_admitted = self.admit(&run, now);
        let count = &mut self.outcome.counts[run.source];
        count.sent += 1;
        count.sent_later += usize::from(is_later);
        if !is_admitted {
            count.refused += 1;
            count.refused_later += usize::from(is_later);
            return;
        }
        let available: Vec<usize> = (0..self.case.engines)
            .filter(|engine| self.available_at[*engine] <= now)
            .collect();
        if available.is_empty() {
            return;
        }
        count.reached += 1;
        count.reached_later += usize::from(is_later);
        run.engine = available[self.rng.random_range(0..available.len())];
        run.sent_at = now;
        run.has_written = false;
        self.running.push(run);
    }

    /// Whether the call may be sent. Claims a trial that is due.
    fn admit(&mut self, run: &Run, now: u64) -> bool {
        let quarantine = &mut self.quarantines[run.instance];
        let suspects: Vec<Fingerprint> = [run.call].into_iter().chain(run.parts.clone()).collect();
        let Some(judgement) = quarantine.judge(&suspects, at(now)) else {
            return true;
        };
        match judgement.verdict {
            Verdict::Clear | Verdict::Suspected => true,
            Verdict::Held { .. } => false,
            Verdict::TrialDue => {
                let suspect = judgement.suspect;
                if !self.case.store {
                    return false;
                }
                if let Some(stored) = self.stored.get(&suspect) {
                    quarantine.merge(suspect, stored);
                }
                let is_begun = quarantine.begin_trial(suspect, at(now));
                if is_begun {
                    self.tell(run.instance, suspect, now);
                }
                is_begun
            }
        }
    }

    fn on_verdict(&mut self, run: &Run, engine: u32, ended_at: u64, now: u64) {
        let crash = Crash {
            engine,
            build: BUILD,
            at: at(ended_at),
            call: 0,
        };
        let quarantine = &mut self.quarantines[run.instance];
        let mut changed = Vec::new();
        if quarantine.record_crash(run.call, CALLER, crash) {
            changed.push(run.call);
        }
        if !run.has_written {
            let crash = Crash {
                call: u32::try_from(run.call).expect("calls are few"),
                ..crash
            };
            for (part, position) in run.parts.iter().zip(0..) {
                if quarantine.record_part_crash(*part, position, CALLER, crash) {
                    changed.push(*part);
                }
            }
        }
        for suspect in changed {
            self.tell(run.instance, suspect, now);
        }
    }

    /// Sends all other instances what this one knows, and again later, and writes it to the store.
    fn tell(&mut self, instance: usize, suspect: Fingerprint, now: u64) {
        let Some(entry) = self.quarantines[instance].get(suspect).cloned() else {
            return;
        };
        if self.case.store && entry.is_suspect() {
            self.stored.insert(suspect, entry.clone());
        }
        let others: Vec<usize> = (0..self.case.instances)
            .filter(|i| *i != instance)
            .collect();
        for after in [MESSAGE_AFTER, MESSAGE_AFTER + RESENT_AFTER] {
            for other in &others {
                if self.rng.random_range(0..100) >= self.case.lost {
                    let message = Event::Message(*other, suspect, entry.clone());
                    self.schedule(now + after, message);
                }
            }
        }
    }

    fn progress(&mut self, now: u64) {
        let mut survived = Vec::new();
        for run in &mut self.running {
            if !run.has_written && !run.is_fatal && now >= run.sent_at + WRITES_AFTER {
                run.has_written = true;
                let parts = run.parts.iter();
                survived.extend(parts.map(|part| (run.instance, *part)));
            }
        }
        let is_done = |run: &Run| !run.is_fatal && now >= run.sent_at + DONE_AFTER;
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(is_done);
        self.running = running;
        let done: Vec<Run> = done;
        survived.extend(done.iter().map(|run| (run.instance, run.call)));
        for (instance, suspect) in survived {
            let good = GoodRun {
                build: BUILD,
                at: at(now),
            };
            if self.quarantines[instance].record_good_run(suspect, good) {
                self.tell(instance, suspect, now);
            }
        }
        let ended: Vec<usize> = self
            .running
            .iter()
            .filter(|run| run.is_fatal && now >= run.sent_at + FATAL_AFTER)
            .map(|run| run.engine)
            .collect();
        for engine in ended {
            if self.available_at[engine] <= now {
                self.outcome.crashes.push(now);
                self.end_engine(engine, now);
            }
        }
    }

    fn end_engines(&mut self, now: u64) {
        let interval = self.case.crash_interval;
        if interval > 0 && self.rng.random_range(0..interval) == 0 {
            let engine = self.rng.random_range(0..self.case.engines);
            self.end_engine(engine, now);
        }
        for (moment, count) in self.case.together.clone() {
            if moment == now {
                for engine in 0..count {
                    self.end_engine(engine, now);
                }
            }
        }
    }

    fn end_engine(&mut self, engine: usize, now: u64) {
        let id = u32::try_from(engine).expect("engines are few") + 1_000 * self.starts[engine];
        self.starts[engine] += 1;
        self.available_at[engine] = now + self.case.restart_time;
        let (broken, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|run| run.engine == engine);
        self.running = running;
        let broken: Vec<Run> = broken;
        for run in broken {
            self.schedule(now + VERDICT_AFTER, Event::Verdict(run.clone(), id, now));
            if !run.is_repeat {
                let instance = match self.case.sources[run.source].at_one_instance {
                    true => 0,
                    false => self.rng.random_range(0..self.case.instances),
                };
                let repeat = Run {
                    instance,
                    is_repeat: true,
                    ..run
                };
                self.schedule(now + REPEATED_AFTER, Event::Arrive(repeat));
            }
        }
    }

    fn restart_instances(&mut self) {
        for quarantine in &mut self.quarantines {
            *quarantine = Quarantine::default();
            for (suspect, entry) in &self.stored {
                quarantine.merge(*suspect, entry);
            }
        }
        self.running.clear();
    }

    fn observe_holds(&mut self) {
        for suspect in self.quarantines[0].held() {
            let is_part = *suspect < CALLS;
            if is_part && !self.case.fatal_parts.contains(suspect) {
                *self.outcome.wrongly_held.entry(*suspect).or_default() += 1;
            }
        }
    }
}
