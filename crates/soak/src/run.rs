//! Carries a plan out, and finds a smaller one that fails alike.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::caller::{Caller, Running};
use crate::check::{Finding, Invariant, check};
use crate::cluster::Cluster;
use crate::gateway::PortAllocator;
use crate::history::{CallOutcome, History, RequestKind};
use crate::plan::{Fault, Plan};

/// Callers of a run.
const CALLERS: u64 = 12;
/// Pause between two looks at a state.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Looks at a state before it counts as missing: a minute, so that a busy machine gets there.
const MAX_POLLS: usize = 600;
/// Smaller plans that are tried after a failure.
const MAX_SHRINK_RUNS: usize = 12;

/// Where programs and files lie.
#[derive(Clone, Debug)]
pub struct Paths {
    /// The gateway's program.
    pub program: PathBuf,
    /// Folder for settings and logs of runs.
    pub directory: PathBuf,
}

/// What came of a run.
#[derive(Debug)]
pub struct RunResult {
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
pub async fn run(plan: &Plan, paths: &Paths) -> io::Result<RunResult> {
    let logs = paths.directory.join(format!("seed-{}", plan.seed));
    std::fs::create_dir_all(&logs)?;
    let mut ports = PortAllocator::default();
    let cluster = Cluster::start(plan, &paths.program, &logs, &mut ports).await?;
    let begun = Instant::now();
    let mut probe = Caller::new(&cluster, plan.seed, CALLERS, begun);
    probe_gateways(&cluster, &mut probe, "at the start").await?;
    let begun = Instant::now();
    let running = Rc::new(Running::new());
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| Caller::new(&cluster, plan.seed, number, begun))
        .map(|caller| actix_rt::spawn(caller.run(running.clone())))
        .collect();
    cluster.callers_started.set(begun);
    let fatal = Caller::new(&cluster, plan.seed, CALLERS + 1, begun);
    let fatal = actix_rt::spawn(fatal.repeat_fatal(running.clone()));
    apply_faults(&cluster, plan, begun).await?;
    running.stop();
    fatal.await.map_err(io::Error::other)?;
    for caller in callers {
        caller.await.map_err(io::Error::other)?;
    }
    probe_gateways(&cluster, &mut probe, "after the last fault").await?;
    cluster.collect_history();
    let mut history = cluster.history.take();
    history.faults.clone_from(&plan.faults);
    let findings = check(&history);
    Ok(RunResult {
        plan: plan.clone(),
        history,
        findings,
        logs,
    })
}

/// Begins and ends the faults at their times.
async fn apply_faults(cluster: &Cluster, plan: &Plan, begun: Instant) -> io::Result<()> {
    let begins = plan.faults.iter().map(|fault| (fault.at, true, fault));
    let ends = plan
        .faults
        .iter()
        .map(|fault| (fault.at + fault.duration, false, fault));
    let mut steps: Vec<(Duration, bool, &Fault)> = begins.chain(ends).collect();
    steps.sort_by_key(|(at, begins, _)| (*at, !begins));
    for (at, begins, fault) in steps {
        wait_until(cluster, begun + at).await?;
        if begins {
            cluster.begin_fault(fault.kind).await;
        } else {
            cluster.end_fault(fault.kind);
        }
    }
    wait_until(cluster, begun + plan.duration).await
}

/// Waits, and starts processes that have ended meanwhile.
async fn wait_until(cluster: &Cluster, until: Instant) -> io::Result<()> {
    while Instant::now() < until {
        sleep_until(until.min(Instant::now() + POLL_INTERVAL)).await;
        cluster.apply_orders_and_restart()?;
        cluster.replace_ended_engines().await;
        cluster.register_again_if_due();
    }
    Ok(())
}

/// Waits until every gateway serves every kind of call, with the newest configuration.
async fn probe_gateways(cluster: &Rc<Cluster>, probe: &mut Caller, when: &str) -> io::Result<()> {
    for number in 0..cluster.instances.len() {
        let asks = [
            RequestKind::Safe,
            RequestKind::Once,
            RequestKind::Stream,
            RequestKind::Resume,
        ];
        for ask in asks
            .into_iter()
            .chain([RequestKind::Added(cluster.version())])
        {
            if !is_served(cluster, probe, number, ask).await? {
                let missing = format!("gateway-{number} does not serve {ask:?} {when}");
                cluster.history.borrow_mut().failed_probes.push(missing);
            }
        }
    }
    Ok(())
}

async fn is_served(
    cluster: &Cluster,
    probe: &mut Caller,
    number: usize,
    ask: RequestKind,
) -> io::Result<bool> {
    for _ in 0..MAX_POLLS {
        cluster.apply_orders_and_restart()?;
        probe.close_connection();
        if matches!(
            probe.call(number, ask).await,
            CallOutcome::Answer {
                status: 200,
                body: Some(_),
                ..
            }
        ) {
            return Ok(true);
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(false)
}

/// Finds a plan with fewer faults that breaks the same promise.
///
/// # Errors
///
/// As [`run`].
pub async fn shrink(failed: &RunResult, paths: &Paths) -> io::Result<Plan> {
    let promises: Vec<Invariant> = failed.findings.iter().map(|f| f.invariant).collect();
    let mut plan = failed.plan.clone();
    let mut part = plan.faults.len() / 2;
    let mut tries = 0;
    while part > 0 && tries < MAX_SHRINK_RUNS {
        let mut from = 0;
        while from < plan.faults.len() && tries < MAX_SHRINK_RUNS {
            tries += 1;
            let mut smaller = plan.clone();
            let to = (from + part).min(smaller.faults.len());
            smaller.faults.drain(from..to);
            let outcome = run(&smaller, paths).await?;
            if outcome
                .findings
                .iter()
                .any(|f| promises.contains(&f.invariant))
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
pub fn gateway_program(beside: &Path) -> io::Result<PathBuf> {
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
