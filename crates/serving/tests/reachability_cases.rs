//! One table of cases: own paths that are lost, engines that terminate together, and both.

use std::time::Duration;

use clock::Moment;
use serving::reachability::{Attempt, Cause, Failure, Origin, Reachability, Report, WITNESSES};
use serving::{EngineId, ServiceName};

/// Calls that are sent at the same moment. The engines that just terminated look idle, so these get
/// them first.
const CALLS: usize = 4;
/// Time until the connections of calls and of witnesses count as silent.
const CALL_TIMEOUT_MS: u64 = 350;
const WITNESS_TIMEOUT_MS: u64 = 200;
const STARTED_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// Connections are refused at once.
    Refused,
    /// Connections in use are reset, and new ones refused.
    Reset,
    /// Connections time out.
    Silent,
}

/// What happens at [`STARTED_MS`].
#[derive(Clone, Copy, Debug)]
struct Case {
    engines: usize,
    /// Engines that terminate.
    ended: usize,
    ends_by: Fault,
    /// How the instance's own paths are lost, if they are.
    lost: Option<Fault>,
}

struct World {
    case: Case,
    links: Reachability,
    now: u64,
    /// When other instances were asked first.
    suspected_at: Option<u64>,
    /// When the service counted as isolated.
    isolated_at: Option<u64>,
}

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn engine(number: usize) -> EngineId {
    EngineId::from(format!("engine-{number}"))
}

fn service() -> ServiceName {
    ServiceName::from("pool")
}

impl World {
    fn new(case: Case) -> Self {
        let mut links = Reachability::default();
        for number in 0..case.engines.min(30) {
            links.on_opened(&engine(number), &service(), case.engines, at(900));
        }
        Self {
            case,
            links,
            now: STARTED_MS,
            suspected_at: None,
            isolated_at: None,
        }
    }

    /// How a connection to an engine fails, if it does.
    fn fault(&self, number: usize) -> Option<Fault> {
        let ended = (number < self.case.ended).then_some(self.case.ends_by);
        self.case.lost.or(ended)
    }

    /// Opens connections begun at `begun` to these engines, which time out after `timeout` ms.
    fn connect(&mut self, numbers: &[usize], begun: u64, timeout: u64, origin: Origin) {
        for &number in numbers {
            let (id, service) = (engine(number), service());
            let engines = self.case.engines;
            let failure = match self.fault(number) {
                None => {
                    self.now = self.now.max(begun + 1);
                    let _ = self.links.on_opened(&id, &service, engines, at(self.now));
                    continue;
                }
                Some(Fault::Silent) => Failure::Silent,
                Some(Fault::Refused | Fault::Reset) => Failure::Refused,
            };
            let took = if failure == Failure::Silent {
                timeout
            } else {
                1
            };
            self.now = self.now.max(begun + took);
            let attempt = Attempt {
                begun: at(begun),
                failure,
                origin,
            };
            let now = at(self.now);
            if self.links.on_failed(&id, &service, attempt, engines, now) {
                self.suspected_at.get_or_insert(self.now);
                self.links.on_report(&service, self.report(), now);
            }
            if self.links.is_isolated(&service) {
                self.isolated_at.get_or_insert(self.now);
            }
        }
    }

    /// What instances with good paths say of the disputed engines.
    fn report(&self) -> Report {
        let reaches = |number| number >= self.case.ended;
        let disputed = self.links.disputed(&service());
        let mut numbers = (0..self.case.engines).filter(|number| {
            let id = engine(*number);
            disputed[..disputed.len().min(4)].contains(&&id)
        });
        if numbers.any(reaches) {
            Report::Reached
        } else if self.case.ended < self.case.engines {
            Report::NotReached
        } else {
            Report::Unknown
        }
    }

    /// Sends calls at the same moment to the first engines, and draws witnesses if nothing else tells
    /// whose fault it is that they fail.
    fn send_calls(&mut self) {
        if self.now == STARTED_MS && self.fault(0) == Some(Fault::Reset) {
            // Calls go on with new connections after the open ones were reset.
            self.links.on_received(&service(), at(self.now));
            self.now += 1;
        }
        let begun = self.now;
        if self.case.lost.is_none() {
            self.links.on_received(&ServiceName::from("app"), at(begun));
        }
        let calls: Vec<usize> = (0..self.case.engines.min(CALLS)).collect();
        self.connect(&calls, begun, CALL_TIMEOUT_MS, Origin::Choice);
        if self.links.cause(&engine(0), &service(), at(begun)) == Cause::Unclear {
            let engines = self.case.engines;
            let stride = ((engines - calls.len()) / WITNESSES).max(1);
            let drawn: Vec<usize> = (calls.len()..engines)
                .rev()
                .step_by(stride)
                .take(WITNESSES)
                .collect();
            self.connect(&drawn, self.now, WITNESS_TIMEOUT_MS, Origin::Draw);
        }
    }

    /// Runs a few rounds of calls.
    fn run(mut self) -> Self {
        for _ in 0..4 {
            self.send_calls();
        }
        self
    }

    /// Milliseconds until the service counted as isolated.
    fn isolated_after(&self) -> Option<u64> {
        self.isolated_at.map(|at| at - STARTED_MS)
    }

    /// Milliseconds until calls took another way, or tried their own path knowing that it may be lost.
    fn suspected_after(&self) -> Option<u64> {
        self.suspected_at.map(|at| at - STARTED_MS)
    }
}

const FAULTS: [Fault; 3] = [Fault::Refused, Fault::Reset, Fault::Silent];
const FLEETS: [usize; 5] = [1, 3, 22, 100, 10_000];

/// Cases of a fleet in which no engine, one, a quarter, or a data centre's third terminate.
fn cases(lost: &[Option<Fault>]) -> Vec<Case> {
    let mut cases = Vec::new();
    for engines in FLEETS {
        let mut ended = vec![0, 1, engines / 4, engines / 3, engines];
        ended.dedup();
        for ended in ended {
            for ends_by in FAULTS {
                cases.extend(lost.iter().map(|&lost| Case {
                    engines,
                    ended,
                    ends_by,
                    lost,
                }));
            }
        }
    }
    cases
}

/// Guards against taking engines that terminate together for a loss of the instance's own paths.
#[test]
fn engines_that_terminate_together_do_not_isolate_the_instance() {
    for case in cases(&[None]) {
        let world = World::new(case).run();
        assert_eq!(world.isolated_after(), None, "{case:?}");
        // Others are asked only where all engines that there are to draw have terminated.
        if case.engines > WITNESSES && case.ended < case.engines {
            assert_eq!(world.suspected_after(), None, "{case:?}");
        }
    }
}

/// Guards against an instance that loses its paths, alone or while engines terminate, and does not
/// notice, or notices later than by the time-outs of one call and one round of witnesses.
#[test]
fn lost_paths_isolate_the_instance_also_while_engines_terminate() {
    for case in cases(&FAULTS.map(Some)) {
        if case.ended == case.engines {
            continue;
        }
        let world = World::new(case).run();
        let (isolated, suspected) = (world.isolated_after(), world.suspected_after());
        assert_eq!(isolated, suspected, "{case:?}");
        let limit = CALL_TIMEOUT_MS + WITNESS_TIMEOUT_MS;
        assert!(
            isolated.is_some_and(|after| after <= limit),
            "{case:?} {isolated:?}"
        );
    }
}
