//! Carries a plan out, and finds a smaller one that fails alike.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::caller::{Caller, Going};
use crate::check::{Finding, Promise, check};
use crate::gateway::Ports;
use crate::history::{Ask, End, History};
use crate::plan::{Fault, Plan};
use crate::world::World;

/// Callers of a run.
const CALLERS: u64 = 12;
/// Pause between two looks at a state.
const LOOK: Duration = Duration::from_millis(100);
/// Looks at a state before it counts as missing: a minute, so that a busy machine gets there.
const LOOKS: usize = 600;
/// Smaller plans that are tried after a failure.
const SMALLER: usize = 12;

/// Where programs and files lie.
#[derive(Clone, Debug)]
pub struct Places {
    /// The gateway's program.
    pub program: PathBuf,
    /// Folder for settings and logs of runs.
    pub directory: PathBuf,
}

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// The plan.
    pub plan: Plan,
    /// What was seen.
    pub history: History,
    /// What was promised and not kept.
    pub findings: Vec<Finding>,
    /// Where its logs lie.
    pub logs: PathBuf,
}

/// Carries a plan out and judges it.
///
/// # Errors
///
/// If processes or files cannot be had.
pub async fn run(plan: &Plan, places: &Places) -> io::Result<Outcome> {
    let logs = places.directory.join(format!("seed-{}", plan.seed));
    std::fs::create_dir_all(&logs)?;
    let mut ports = Ports::default();
    let world = World::start(plan, &places.program, &logs, &mut ports).await?;
    let begun = Instant::now();
    let mut probe = Caller::new(&world, plan.seed, CALLERS, begun);
    all_served(&world, &mut probe, "at the start").await?;
    let begun = Instant::now();
    let going = Rc::new(Going::new());
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| Caller::new(&world, plan.seed, number, begun))
        .map(|caller| actix_rt::spawn(caller.run(going.clone())))
        .collect();
    world.begun.set(begun);
    let fatal = Caller::new(&world, plan.seed, CALLERS + 1, begun);
    let fatal = actix_rt::spawn(fatal.repeat_fatal(going.clone()));
    carry_out(&world, plan, begun).await?;
    going.stop();
    fatal.await.map_err(io::Error::other)?;
    for caller in callers {
        caller.await.map_err(io::Error::other)?;
    }
    all_served(&world, &mut probe, "after the last fault").await?;
    world.collect();
    let mut history = world.history.take();
    history.faults.clone_from(&plan.faults);
    let findings = check(&history);
    Ok(Outcome {
        plan: plan.clone(),
        history,
        findings,
        logs,
    })
}

/// Begins and ends the faults at their times.
async fn carry_out(world: &World, plan: &Plan, begun: Instant) -> io::Result<()> {
    let begins = plan.faults.iter().map(|fault| (fault.at, true, fault));
    let ends = plan
        .faults
        .iter()
        .map(|fault| (fault.at + fault.lasts, false, fault));
    let mut steps: Vec<(Duration, bool, &Fault)> = begins.chain(ends).collect();
    steps.sort_by_key(|(at, begins, _)| (*at, !begins));
    for (at, begins, fault) in steps {
        wait(world, begun + at).await?;
        if begins {
            world.begin(fault.kind).await;
        } else {
            world.end(fault.kind);
        }
    }
    wait(world, begun + plan.length).await
}

/// Waits, and starts processes that have ended meanwhile.
async fn wait(world: &World, until: Instant) -> io::Result<()> {
    while Instant::now() < until {
        sleep_until(until.min(Instant::now() + LOOK)).await;
        world.restart()?;
        world.replace_ended().await;
        world.rewrite_due();
    }
    Ok(())
}

/// Waits until every gateway serves every kind of call, with the newest configuration.
async fn all_served(world: &Rc<World>, probe: &mut Caller, when: &str) -> io::Result<()> {
    for number in 0..world.instances.len() {
        let asks = [Ask::Safe, Ask::Once, Ask::Stream, Ask::Resume];
        for ask in asks.into_iter().chain([Ask::Added(world.version())]) {
            if !is_served(world, probe, number, ask).await? {
                let missing = format!("gateway-{number} does not serve {ask:?} {when}");
                world.history.borrow_mut().missing.push(missing);
            }
        }
    }
    Ok(())
}

async fn is_served(world: &World, probe: &mut Caller, number: usize, ask: Ask) -> io::Result<bool> {
    for _ in 0..LOOKS {
        world.restart()?;
        probe.forget();
        if matches!(
            probe.call(number, ask).await,
            End::Answer {
                status: 200,
                body: Some(_),
                ..
            }
        ) {
            return Ok(true);
        }
        sleep(LOOK).await;
    }
    Ok(false)
}

/// Finds a plan with fewer faults that breaks the same promise.
///
/// # Errors
///
/// As [`run`].
pub async fn shrink(failed: &Outcome, places: &Places) -> io::Result<Plan> {
    let promises: Vec<Promise> = failed.findings.iter().map(|f| f.promise).collect();
    let mut plan = failed.plan.clone();
    let mut part = plan.faults.len() / 2;
    let mut tries = 0;
    while part > 0 && tries < SMALLER {
        let mut from = 0;
        while from < plan.faults.len() && tries < SMALLER {
            tries += 1;
            let mut smaller = plan.clone();
            let to = (from + part).min(smaller.faults.len());
            smaller.faults.drain(from..to);
            let outcome = run(&smaller, places).await?;
            if outcome
                .findings
                .iter()
                .any(|f| promises.contains(&f.promise))
            {
                plan = smaller;
            } else {
                from = to;
            }
        }
        part /= 2;
    }
    Ok(plan)
}

/// The gateway's program beside the present one.
///
/// # Errors
///
/// If it is not there.
pub fn program(beside: &Path) -> io::Result<PathBuf> {
    let program = beside.with_file_name("tarragon-gateway");
    if program.is_file() {
        return Ok(program);
    }
    let what = format!(
        "{} is missing: build the package gateway",
        program.display()
    );
    Err(io::Error::new(io::ErrorKind::NotFound, what))
}
