//! Runs a plan: starts the workers, adds up their results, and audits the calls.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use error_stack::Report;

use crate::audit::{self, Audit};
use crate::engine_monitor::EngineStats;
use crate::error::Error;
use crate::plan::Plan;
use crate::tally::{Tally, TimeHistogram};
use crate::target;
use crate::worker::{self, Job, WorkerResult};

/// Time for the workers to start before the first arrival.
const START_DELAY: Duration = Duration::from_millis(200);

/// A plan and where to run it.
#[derive(Clone, Debug)]
pub struct Run {
    /// The plan.
    pub plan: Plan,
    /// URL roots of the entries.
    pub targets: Vec<String>,
    /// URL roots of the plain services, for the audit.
    pub services: Vec<String>,
    /// URL roots of the engines to sample; may be empty.
    pub engines: Vec<String>,
    /// Number of sending threads.
    pub workers: usize,
}

/// The result of a run.
#[derive(Debug)]
pub struct RunResult {
    /// The plan that was run.
    pub plan: Plan,
    /// Tallies by class, in the order of the plan.
    pub tallies: Vec<Tally>,
    /// Delays between arrival and sending.
    pub lag: TimeHistogram,
    /// Requests still open at the end of the run.
    pub unfinished: u64,
    /// Executions compared with what callers were told; `None` without services.
    pub audit: Option<Audit>,
    /// Statistics of the engines.
    pub engines: EngineStats,
}

impl Run {
    /// Runs the plan to its end.
    ///
    /// # Errors
    /// A worker panicked, or a service did not return its executions.
    pub fn run(self) -> std::result::Result<RunResult, Report<Error>> {
        let workers = self.workers.max(1);
        let job = Job {
            plan: Arc::new(self.plan.clone()),
            targets: Arc::new(target::TargetSet::new(&self.targets)),
            label: uuid::Uuid::new_v4().simple().to_string()[..8].to_owned(),
            engines: Arc::new(self.engines.clone()),
            workers,
            start: Instant::now() + START_DELAY,
        };
        let threads: Vec<_> = (0..workers)
            .map(|number| {
                let job = job.clone();
                thread::spawn(move || actix_rt::System::new().block_on(worker::run(job, number)))
            })
            .collect();
        let mut sum = WorkerResult {
            tallies: vec![Tally::default(); self.plan.classes.len()],
            ..WorkerResult::default()
        };
        for thread in threads {
            let worker_result = thread.join().map_err(|_| Report::new(Error::Worker))?;
            sum.add(worker_result);
        }
        let audit = self.audit(&sum.calls)?;
        Ok(RunResult {
            plan: self.plan,
            tallies: sum.tallies,
            lag: sum.lag,
            unfinished: sum.unfinished,
            audit,
            engines: sum.engines,
        })
    }

    fn audit(
        &self,
        calls: &[audit::AuditedCall],
    ) -> std::result::Result<Option<Audit>, Report<Error>> {
        if self.services.is_empty() {
            return Ok(None);
        }
        let executions = actix_rt::System::new()
            .block_on(async { audit::read_executions(&worker::client(), &self.services).await })?;
        Ok(Some(Audit::compare(calls, &executions)))
    }
}

impl WorkerResult {
    fn add(&mut self, other: Self) {
        for (tally, more) in self.tallies.iter_mut().zip(&other.tallies) {
            tally.add(more);
        }
        self.calls.extend(other.calls);
        self.lag.add(&other.lag);
        self.unfinished += other.unfinished;
        if other.engines.looks > 0 {
            self.engines = other.engines;
        }
    }
}
