//! Replays of engines that end, with a part of prompts to blame or not, at instances that tell each
//! other what they see.

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
/// Requests that may reach engines after that time.
const MAX_LATER_REQUESTS: usize = 3;

/// What the prompts of some calls share, in order.
const FIRST: Fingerprint = 1;
const FATAL: Fingerprint = 2;
const OTHER_FATAL: Fingerprint = 3;
const THIRD: Fingerprint = 4;
const OTHER_FIRST: Fingerprint = 5;
const RARE: Fingerprint = 6;
/// Parts of sessions are numbered from here.
const SESSIONS: Fingerprint = 1_000;
/// Calls are numbered from here.
const CALLS: Fingerprint = 1_000_000;

/// A stream of calls.
#[derive(Clone, Debug)]
struct Source {
    /// Mean number of calls per second.
    per_second: f64,
    /// When it begins and ends.
    from: u64,
    until: u64,
    /// Parts of the prompts, without the last. Part 0 stands for one of [`Source::sessions`].
    parts: Vec<Fingerprint>,
    /// Number of parts that take the place of part 0.
    sessions: u32,
    /// Whether all calls are repeats of one.
    is_one_call: bool,
    /// Whether its calls end their engines, whatever their parts.
    is_fatal: bool,
    /// Whether it comes to the first instance only.
    at_one_instance: bool,
}

impl Default for Source {
    fn default() -> Self {
        Self {
            per_second: 20.0,
            from: 0,
            until: u64::MAX,
            parts: vec![FIRST],
            sessions: 0,
            is_one_call: false,
            is_fatal: false,
            at_one_instance: false,
        }
    }
}

/// A replay.
#[derive(Clone, Debug)]
struct Case {
    sources: Vec<Source>,
    fatal_parts: Vec<Fingerprint>,
    instances: usize,
    engines: usize,
    /// Time until an engine is back.
    restart_time: u64,
    /// Mean time between ends of engines for reasons of their own; 0 for none.
    crash_interval: u64,
    /// Moments at which this many engines end together.
    together: Vec<(u64, usize)>,
    /// Whether trials can be claimed, and what is known survives [`Case::killed_at`].
    store: bool,
    /// When all instances are killed and start again.
    killed_at: Option<u64>,
    /// Percentage of messages that are lost.
    lost: u32,
    duration: u64,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            sources: Vec::new(),
            fatal_parts: vec![FATAL],
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
struct Count {
    sent: usize,
    reached: usize,
    refused: usize,
    /// Those of them that came after all instances knew of the fatal parts.
    sent_later: usize,
    reached_later: usize,
    refused_later: usize,
}

/// Result of a replay.
#[derive(Debug, Default)]
struct Outcome {
    counts: Vec<Count>,
    /// Ends of engines under fatal parts.
    crashes: Vec<u64>,
    /// Parts that were held although they are not fatal, and for how long.
    wrongly_held: BTreeMap<Fingerprint, u64>,
    messages: usize,
}

struct Replay {
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
    fn new(case: &Case, seed: u64) -> Self {
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

    fn run(mut self) -> Outcome {
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

/// Calls with the fatal part.
fn fatal(per_second: f64) -> Source {
    Source {
        per_second,
        from: 2_000,
        parts: vec![FIRST, FATAL],
        ..Source::default()
    }
}

/// Sound calls of the same first part, each in one of many sessions.
fn sound() -> Source {
    Source {
        parts: vec![FIRST, 0],
        sessions: 200,
        ..Source::default()
    }
}

const SEEDS: u64 = 3;

/// Replays a case whose first source has fatal parts, and whose second has none.
fn check_fatal(name: &str, case: &Case) {
    for seed in 1..=SEEDS {
        let outcome = Replay::new(case, seed).run();
        let Outcome {
            counts,
            crashes,
            wrongly_held,
            messages,
        } = &outcome;
        println!(
            "{name} seed {seed}: {} engines ended, {counts:?}, wrongly held {wrongly_held:?}, {messages} messages",
            crashes.len()
        );
        assert!(
            counts[0].reached_later <= MAX_LATER_REQUESTS,
            "{name} seed {seed}: {counts:?}"
        );
        assert!(crashes.len() >= 3, "{name} seed {seed}: no engine ended");
        let sound = counts[1];
        assert!(
            sound.refused_later * 10 <= sound.sent_later,
            "{name} seed {seed}: {sound:?}, {wrongly_held:?}"
        );
    }
}

/// Guards against fatal parts that go on to crash engines because of where they stand in prompts, how
/// often and where they come, or what happens beside them.
#[test]
fn fatal_parts_are_held_and_sound_calls_are_not() {
    let base = Case {
        sources: vec![fatal(20.0), sound()],
        ..Case::default()
    };
    let with_first = |source: Source| Case {
        sources: vec![source, sound()],
        ..base.clone()
    };
    let cases = [
        ("middle part, 20 a second", base.clone()),
        ("middle part, 1 a second", with_first(fatal(1.0))),
        ("middle part, one in 5 s", with_first(fatal(0.2))),
        (
            "last but one of four parts",
            with_first(Source {
                parts: vec![FIRST, THIRD, FATAL],
                ..fatal(20.0)
            }),
        ),
        (
            "first part; the sound calls have another",
            Case {
                sources: vec![
                    Source {
                        parts: vec![FATAL, 0],
                        sessions: 50,
                        ..fatal(20.0)
                    },
                    Source {
                        parts: vec![OTHER_FIRST, 0],
                        sessions: 200,
                        ..sound()
                    },
                ],
                ..base.clone()
            },
        ),
        (
            "at one instance",
            with_first(Source {
                at_one_instance: true,
                ..fatal(20.0)
            }),
        ),
        (
            "two fatal parts",
            Case {
                sources: vec![
                    fatal(10.0),
                    sound(),
                    Source {
                        parts: vec![FIRST, OTHER_FATAL],
                        ..fatal(10.0)
                    },
                ],
                fatal_parts: vec![FATAL, OTHER_FATAL],
                ..base.clone()
            },
        ),
        (
            "beside a fatal call",
            Case {
                sources: vec![
                    fatal(5.0),
                    sound(),
                    Source {
                        parts: vec![FIRST, RARE],
                        is_one_call: true,
                        is_fatal: true,
                        ..fatal(2.0)
                    },
                ],
                ..base.clone()
            },
        ),
        (
            "beside engines that end together",
            Case {
                together: vec![(3_000, 4), (9_000, 5), (20_000, 6)],
                ..base.clone()
            },
        ),
        (
            "beside ends of other causes",
            Case {
                crash_interval: 1_200,
                ..base.clone()
            },
        ),
        (
            "engines back after 6 s",
            Case {
                restart_time: 6_000,
                ..base.clone()
            },
        ),
        (
            "a fifth of the messages lost",
            Case {
                lost: 20,
                ..base.clone()
            },
        ),
        (
            "the store away",
            Case {
                store: false,
                ..base.clone()
            },
        ),
        (
            "all instances killed",
            Case {
                killed_at: Some(8_000),
                ..base.clone()
            },
        ),
        (
            "forty instances",
            Case {
                instances: 40,
                engines: 60,
                ..base.clone()
            },
        ),
        (
            "beside one call that all callers send",
            Case {
                sources: vec![
                    fatal(20.0),
                    Source {
                        per_second: 40.0,
                        is_one_call: true,
                        ..sound()
                    },
                ],
                engines: 4,
                restart_time: 300,
                ..base.clone()
            },
        ),
        (
            "984 instances",
            Case {
                sources: vec![
                    fatal(20.0),
                    Source {
                        per_second: 300.0,
                        ..sound()
                    },
                ],
                instances: 984,
                engines: 200,
                duration: 12_000,
                ..base.clone()
            },
        ),
    ];
    for (name, case) in cases {
        check_fatal(name, &case);
    }
}

/// Refused calls allowed of a thousand where no part is to blame.
const MAX_REFUSED_PER_THOUSAND: usize = 2;

/// Guards against holding parts that were about to run as engines ended for reasons of their own.
#[test]
fn parts_without_blame_are_rarely_held() {
    let rare = Source {
        per_second: 0.1,
        parts: vec![FIRST, RARE],
        ..Source::default()
    };
    // Its first calls are in progress when engines end together.
    let new = Source {
        from: 9_950,
        ..Source {
            per_second: 200.0,
            parts: vec![FIRST, THIRD],
            ..Source::default()
        }
    };
    let ordinary = Case {
        sources: vec![
            Source {
                per_second: 40.0,
                ..sound()
            },
            rare.clone(),
        ],
        fatal_parts: Vec::new(),
        ..Case::default()
    };
    let cases = [
        (
            "an end each 1.2 s for ten minutes",
            Case {
                crash_interval: 1_200,
                duration: 600_000,
                ..ordinary.clone()
            },
        ),
        (
            "a new part as five engines end together",
            Case {
                sources: vec![sound(), rare.clone(), new],
                together: vec![(10_000, 5)],
                ..ordinary.clone()
            },
        ),
        (
            "all engines end together, twice",
            Case {
                together: vec![(10_000, 12), (20_000, 12)],
                ..ordinary.clone()
            },
        ),
        (
            "a third of the engines ends each second",
            Case {
                together: (5..30).map(|second| (second * 1_000, 4)).collect(),
                ..ordinary.clone()
            },
        ),
    ];
    for (name, case) in cases {
        for seed in 1..=SEEDS {
            let outcome = Replay::new(&case, seed).run();
            let Outcome {
                counts,
                wrongly_held,
                messages,
                ..
            } = &outcome;
            println!(
                "{name} seed {seed}: {counts:?}, wrongly held {wrongly_held:?}, {messages} messages"
            );
            let sent: usize = counts.iter().map(|count| count.sent).sum();
            let refused: usize = counts.iter().map(|count| count.refused).sum();
            assert!(
                refused * 1_000 <= sent * MAX_REFUSED_PER_THOUSAND,
                "{name} seed {seed}: {counts:?}, {wrongly_held:?}"
            );
        }
    }
}
