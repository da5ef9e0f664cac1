//! A worker: one thread with its own runtime and connections, and its share of the arrivals.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_rt::task::JoinHandle;
use actix_rt::time::{sleep, sleep_until};
use awc::{Client, Connector};

use crate::arrival;
use crate::audit;
use crate::caller::{Caller, RequestResult};
use crate::engine_monitor::{self, EngineMonitor, EngineStats};
use crate::plan::Plan;
use crate::request::{Request, RequestSource};
use crate::tally::{Outcome, Tally, TimeHistogram};
use crate::target;
use crate::verdict::Verdict;

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a worker checks whether all its requests have ended.
const COMPLETION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Odd constant that spreads neighbouring seeds.
const SEED_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Input that all workers of a run share.
#[derive(Clone, Debug)]
pub struct Job {
    /// The plan.
    pub plan: Arc<Plan>,
    /// The entries.
    pub targets: Arc<target::TargetSet>,
    /// Prefix that makes request ids unique over runs.
    pub label: String,
    /// URL roots of the engines to sample; may be empty.
    pub engines: Arc<Vec<String>>,
    /// Number of workers.
    pub workers: usize,
    /// Start of the run.
    pub start: Instant,
}

/// The result of one worker.
#[derive(Debug, Default)]
pub struct WorkerResult {
    /// Tallies by class, in the order of the plan.
    pub tallies: Vec<Tally>,
    /// Calls for the audit.
    pub calls: Vec<audit::AuditedCall>,
    /// Delays between arrival and sending, which show an overloaded load generator.
    pub lag: TimeHistogram,
    /// Requests still open at the end of the run.
    pub unfinished: u64,
    /// Statistics of the engines.
    pub engines: EngineStats,
}

struct WorkerState {
    job: Job,
    client: Client,
    result: RefCell<WorkerResult>,
    open: RefCell<BTreeMap<String, OpenRequest>>,
    active_classes: RefCell<usize>,
    monitor: RefCell<EngineMonitor>,
}

/// A request that has not ended.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    class: usize,
    at: Duration,
}

/// Creates a client without limits of its own, so that only the plan's limits apply.
pub fn client() -> Client {
    let connector = Connector::new().limit(0).timeout(CONNECT_TIMEOUT);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Runs one worker to its end.
pub async fn run(job: Job, number: usize) -> WorkerResult {
    let run_end = job.start + job.plan.duration + job.plan.grace;
    let classes = job.plan.classes.len();
    let shared = Rc::new(WorkerState {
        client: client(),
        result: RefCell::new(WorkerResult {
            tallies: vec![Tally::default(); classes],
            ..WorkerResult::default()
        }),
        open: RefCell::default(),
        active_classes: RefCell::new(classes),
        monitor: RefCell::default(),
        job,
    });
    let tasks = if number == 0 {
        background_tasks(&shared)
    } else {
        Vec::new()
    };
    for class in 0..classes {
        actix_rt::spawn(send_class(Rc::clone(&shared), class, number));
    }
    while Instant::now() < run_end && !shared.is_done() {
        sleep(COMPLETION_POLL_INTERVAL).await;
    }
    for task in tasks {
        task.abort();
    }
    shared.finish()
}

/// Starts readiness probes and engine samples, which run on the first worker only.
fn background_tasks(shared: &Rc<WorkerState>) -> Vec<JoinHandle<()>> {
    let probing = Rc::clone(shared);
    let sampling = Rc::clone(shared);
    let probe = async move { probing.job.targets.probe(&probing.client).await };
    let sample = async move {
        loop {
            let states =
                engine_monitor::sample_engines(&sampling.client, &sampling.job.engines).await;
            sampling.monitor.borrow_mut().record_sample(&states);
            sleep(engine_monitor::SAMPLE_INTERVAL).await;
        }
    };
    vec![actix_rt::spawn(probe), actix_rt::spawn(sample)]
}

/// Sends the arrivals of one class at their times, independent of earlier answers.
async fn send_class(shared: Rc<WorkerState>, index: usize, number: usize) {
    let plan = Arc::clone(&shared.job.plan);
    let class = plan.class(index);
    let seed = plan
        .seed
        .wrapping_add((index as u64).wrapping_mul(SEED_MULTIPLIER))
        .wrapping_add((number as u64).wrapping_mul(SEED_MULTIPLIER.rotate_left(32)));
    let label = format!("{}-{number}", shared.job.label);
    let mut source = RequestSource::new(class, index, label, seed ^ SEED_MULTIPLIER);
    for at in arrival::Arrivals::new(&plan, class, seed, shared.job.workers) {
        let due = shared.job.start + at;
        sleep_until(due.into()).await;
        shared.result.borrow_mut().lag.record(due.elapsed());
        let request = source.next_request(at);
        if shared.open.borrow().len() >= plan.max_open / shared.job.workers {
            shared.result.borrow_mut().tallies[index].record_unsent(at, plan.bucket);
            continue;
        }
        actix_rt::spawn(send_request(Rc::clone(&shared), request));
    }
    *shared.active_classes.borrow_mut() -= 1;
}

async fn send_request(shared: Rc<WorkerState>, request: Request) {
    let open = OpenRequest {
        class: request.class,
        at: request.at,
    };
    shared.open.borrow_mut().insert(request.id.clone(), open);
    let caller = Caller {
        class: shared.job.plan.class(request.class),
        targets: &shared.job.targets,
        start: shared.job.start,
    };
    let result = caller.send(&shared.client, &request).await;
    shared.open.borrow_mut().remove(&request.id);
    shared.record(&request, &result);
}

impl WorkerState {
    fn is_done(&self) -> bool {
        *self.active_classes.borrow() == 0 && self.open.borrow().is_empty()
    }

    fn record(&self, request: &Request, result: &RequestResult) {
        let plan = &self.job.plan;
        let class = plan.class(request.class);
        let mut worker_result = self.result.borrow_mut();
        worker_result.tallies[request.class].record(&result.outcome, &class.contract, plan.bucket);
        if request.prompt.is_none() && !request.body.is_empty() {
            worker_result.calls.push(audit::AuditedCall {
                class: class.name.clone(),
                digest: blake3::hash(&request.body).to_hex().to_string(),
                repeatable: class.repeatable,
                verdict: result.outcome.verdict,
                never_ran: result.never_ran,
            });
        }
    }

    /// Counts open requests as lost and returns the result.
    fn finish(&self) -> WorkerResult {
        let plan = &self.job.plan;
        let mut worker_result = self.result.take();
        worker_result.engines = self.monitor.borrow().stats();
        for open in self.open.take().into_values() {
            let outcome = Outcome {
                at: open.at,
                verdict: Verdict::Lost,
                status: None,
                detail: None,
                whole: self.job.start.elapsed().saturating_sub(open.at),
                first_token: None,
                token_gaps: Vec::new(),
                tokens: 0,
                retries: 0,
                resumes: 0,
            };
            let contract = &plan.class(open.class).contract;
            worker_result.tallies[open.class].record(&outcome, contract, plan.bucket);
            worker_result.unfinished += 1;
        }
        worker_result
    }
}
