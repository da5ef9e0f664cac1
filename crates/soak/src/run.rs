//! Executes a plan, and shrinks a failing plan to a smaller one with the same violation.

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

/// Number of callers in a run.
const CALLERS: u64 = 12;
/// What a gateway logs when it concludes that it has lost its paths to the engines of a service.
const LOST_PATHS: &str = "no engine can be reached from here";
/// Interval between two polls of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Polls before a probe fails: a minute in all, to allow for a busy machine.
const MAX_POLLS: usize = 600;
/// Largest number of smaller plans that are run after a failure.
const MAX_SHRINK_RUNS: usize = 12;

/// Paths of the program and of the files of runs.
#[derive(Clone, Debug)]
pub struct Paths {
    /// Path of the gateway program.
    pub program: PathBuf,
    /// Directory for settings and logs of runs.
    pub directory: PathBuf,
}

/// Result of a run.
#[derive(Debug)]
pub struct RunResult {
    /// The executed plan.
    pub plan: Plan,
    /// What was observed.
    pub history: History,
    /// Violated invariants.
    pub findings: Vec<Finding>,
    /// Directory with its logs.
    pub logs: PathBuf,
}

/// Executes a plan and checks its history.
///
/// # Errors
///
/// If processes cannot be started or files cannot be written.
pub async fn run(plan: &Plan, paths: &Paths) -> io::Result<RunResult> {
    let logs = paths.directory.join(format!("seed-{}", plan.seed));
    std::fs::create_dir_all(&logs)?;
    let mut ports = PortAllocator::default();
    let cluster = Cluster::start(plan, &paths.program, &logs, &mut ports).await?;
    let started = Instant::now();
    let mut probe = Caller::new(&cluster, plan.seed, CALLERS, started);
    probe_gateways(&cluster, &mut probe, "at the start").await?;
    let started = Instant::now();
    let running = Rc::new(Running::new());
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| Caller::new(&cluster, plan.seed, number, started))
        .map(|caller| actix_rt::spawn(caller.run(running.clone())))
        .collect();
    cluster.callers_started.set(started);
    let fatal = |number, kind, is_active: fn(&Cluster) -> bool| {
        let caller = Caller::new(&cluster, plan.seed, CALLERS + number, started);
        actix_rt::spawn(caller.run_while(running.clone(), kind, is_active))
    };
    let fatal = [
        fatal(1, RequestKind::Fatal, |cluster| cluster.sends_fatal.get()),
        fatal(2, RequestKind::FatalPart, |cluster| {
            cluster.sends_fatal_part.get()
        }),
        fatal(3, RequestKind::FirstPart, |cluster| {
            cluster.sends_fatal_part.get()
        }),
    ];
    apply_faults(&cluster, plan, started).await?;
    running.stop();
    for caller in callers.into_iter().chain(fatal) {
        caller.await.map_err(io::Error::other)?;
    }
    probe_gateways(&cluster, &mut probe, "after the last fault").await?;
    cluster.collect_history();
    for instance in &cluster.instances {
        let lines = instance.gateway.borrow().log_lines(LOST_PATHS)?;
        cluster.history.borrow_mut().lost_paths.extend(lines);
    }
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

/// Begins and ends the faults of the plan on time.
async fn apply_faults(cluster: &Cluster, plan: &Plan, started: Instant) -> io::Result<()> {
    let begins = plan.faults.iter().map(|fault| (fault.at, true, fault));
    let ends = plan
        .faults
        .iter()
        .map(|fault| (fault.at + fault.duration, false, fault));
    let mut steps: Vec<(Duration, bool, &Fault)> = begins.chain(ends).collect();
    steps.sort_by_key(|(at, begins, _)| (*at, !begins));
    for (at, begins, fault) in steps {
        wait_until(cluster, started + at).await?;
        if begins {
            cluster.begin_fault(fault.kind).await;
        } else {
            cluster.end_fault(fault.kind);
        }
    }
    wait_until(cluster, started + plan.duration).await
}

/// Waits, and meanwhile restarts processes that have exited.
async fn wait_until(cluster: &Cluster, until: Instant) -> io::Result<()> {
    while Instant::now() < until {
        sleep_until(until.min(Instant::now() + POLL_INTERVAL)).await;
        cluster.apply_orders_and_restart()?;
        cluster.replace_ended_engines().await;
        cluster.register_again_if_due();
    }
    Ok(())
}

/// Waits until every gateway serves the ordinary kinds of calls under the newest configuration, and
/// records those that are not served.
async fn probe_gateways(cluster: &Rc<Cluster>, probe: &mut Caller, when: &str) -> io::Result<()> {
    for number in 0..cluster.instances.len() {
        let kinds = [
            RequestKind::Safe,
            RequestKind::Once,
            RequestKind::Stream,
            RequestKind::Resume,
        ];
        for kind in kinds
            .into_iter()
            .chain([RequestKind::Added(cluster.version())])
        {
            if !is_served(cluster, probe, number, kind).await? {
                let probe_failure = format!("gateway-{number} does not serve {kind:?} {when}");
                cluster
                    .history
                    .borrow_mut()
                    .failed_probes
                    .push(probe_failure);
            }
        }
    }
    Ok(())
}

async fn is_served(
    cluster: &Cluster,
    probe: &mut Caller,
    number: usize,
    kind: RequestKind,
) -> io::Result<bool> {
    for _ in 0..MAX_POLLS {
        cluster.apply_orders_and_restart()?;
        probe.close_connection();
        if matches!(
            probe.call(number, kind).await,
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

/// Finds a plan with fewer faults that violates one of the same invariants.
///
/// # Errors
///
/// As [`run`].
pub async fn shrink(failed: &RunResult, paths: &Paths) -> io::Result<Plan> {
    let invariants: Vec<Invariant> = failed.findings.iter().map(|f| f.invariant).collect();
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
            let result = run(&smaller, paths).await?;
            if result
                .findings
                .iter()
                .any(|f| invariants.contains(&f.invariant))
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

/// Path of the gateway program in the directory of another program.
///
/// # Errors
///
/// If it does not exist.
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
