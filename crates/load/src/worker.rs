//! A worker: one thread with its own runtime, its part of the arrivals and its own connections.

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
use crate::caller::{Caller, Done};
use crate::plan::Plan;
use crate::request::{Request, Source};
use crate::tally::{Outcome, Tally, Times};
use crate::target;
use crate::verdict::Verdict;
use crate::watch::{self, Sight, Watch};

/// A connection that is not there after this long is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How often a worker looks whether all its requests have ended.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Odd constant that spreads neighbouring seeds.
const SEED_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// What all workers of a run share.
#[derive(Clone, Debug)]
pub struct Job {
    /// What is asked.
    pub plan: Arc<Plan>,
    /// Where it is asked.
    pub targets: Arc<target::Set>,
    /// Makes ids unique over runs.
    pub label: String,
    /// URL roots of the engines to look at; none are needed.
    pub engines: Arc<Vec<String>>,
    /// Number of workers.
    pub workers: usize,
    /// Start of the run.
    pub start: Instant,
}

/// What a worker has found.
#[derive(Debug, Default)]
pub struct Found {
    /// By class, in the order of the plan.
    pub tallies: Vec<Tally>,
    /// Calls for the audit.
    pub calls: Vec<audit::Entry>,
    /// By how much arrivals were sent late; a busy load generator shows here.
    pub lag: Times,
    /// Requests without an end when the run was over.
    pub unfinished: u64,
    /// What was seen of the engines.
    pub sight: Sight,
}

struct Shared {
    job: Job,
    client: Client,
    found: RefCell<Found>,
    open: RefCell<BTreeMap<String, Open>>,
    sources: RefCell<usize>,
    watch: RefCell<Watch>,
}

/// A request that has no end yet.
#[derive(Clone, Copy, Debug)]
struct Open {
    class: usize,
    at: Duration,
}

/// A client without limits of its own, so that only the plan's limits count.
pub fn client() -> Client {
    let connector = Connector::new().limit(0).timeout(CONNECT_TIMEOUT);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Runs one worker to its end.
pub async fn run(job: Job, number: usize) -> Found {
    let ends = job.start + job.plan.duration + job.plan.grace;
    let classes = job.plan.classes.len();
    let shared = Rc::new(Shared {
        client: client(),
        found: RefCell::new(Found {
            tallies: vec![Tally::default(); classes],
            ..Found::default()
        }),
        open: RefCell::default(),
        sources: RefCell::new(classes),
        watch: RefCell::default(),
        job,
    });
    let lookouts = if number == 0 {
        lookouts(&shared)
    } else {
        Vec::new()
    };
    for class in 0..classes {
        actix_rt::spawn(send_class(Rc::clone(&shared), class, number));
    }
    while Instant::now() < ends && !shared.is_done() {
        sleep(LOOK_EVERY).await;
    }
    for lookout in lookouts {
        lookout.abort();
    }
    shared.conclude()
}

/// What goes on beside the requests until the run is over; one worker does it for all.
fn lookouts(shared: &Rc<Shared>) -> Vec<JoinHandle<()>> {
    let probing = Rc::clone(shared);
    let looking = Rc::clone(shared);
    let probe = async move { probing.job.targets.probe(&probing.client).await };
    let look = async move {
        loop {
            let states = watch::look(&looking.client, &looking.job.engines).await;
            looking.watch.borrow_mut().take(&states);
            sleep(watch::LOOK_EVERY).await;
        }
    };
    vec![actix_rt::spawn(probe), actix_rt::spawn(look)]
}

/// Sends the arrivals of one class at their times, whatever becomes of earlier ones.
async fn send_class(shared: Rc<Shared>, index: usize, number: usize) {
    let plan = Arc::clone(&shared.job.plan);
    let class = plan.class(index);
    let seed = plan
        .seed
        .wrapping_add((index as u64).wrapping_mul(SEED_STEP))
        .wrapping_add((number as u64).wrapping_mul(SEED_STEP.rotate_left(32)));
    let label = format!("{}-{number}", shared.job.label);
    let mut source = Source::new(class, index, label, seed ^ SEED_STEP);
    for at in arrival::Process::new(&plan, class, seed, shared.job.workers) {
        let due = shared.job.start + at;
        sleep_until(due.into()).await;
        shared.found.borrow_mut().lag.record(due.elapsed());
        let request = source.draw(at);
        if shared.open.borrow().len() >= plan.max_open / shared.job.workers {
            shared.found.borrow_mut().tallies[index].record_unsent(at, plan.bucket);
            continue;
        }
        actix_rt::spawn(carry(Rc::clone(&shared), request));
    }
    *shared.sources.borrow_mut() -= 1;
}

async fn carry(shared: Rc<Shared>, request: Request) {
    let open = Open {
        class: request.class,
        at: request.at,
    };
    shared.open.borrow_mut().insert(request.id.clone(), open);
    let caller = Caller {
        class: shared.job.plan.class(request.class),
        targets: &shared.job.targets,
        start: shared.job.start,
    };
    let done = caller.place(&shared.client, &request).await;
    shared.open.borrow_mut().remove(&request.id);
    shared.record(&request, &done);
}

impl Shared {
    fn is_done(&self) -> bool {
        *self.sources.borrow() == 0 && self.open.borrow().is_empty()
    }

    fn record(&self, request: &Request, done: &Done) {
        let plan = &self.job.plan;
        let class = plan.class(request.class);
        let mut found = self.found.borrow_mut();
        found.tallies[request.class].record(&done.outcome, &class.contract, plan.bucket);
        if request.prompt.is_none() && !request.body.is_empty() {
            found.calls.push(audit::Entry {
                class: class.name.clone(),
                digest: blake3::hash(&request.body).to_hex().to_string(),
                repeatable: class.repeatable,
                verdict: done.outcome.verdict,
                never_ran: done.never_ran,
            });
        }
    }

    /// Counts what is still open as lost and gives the findings out.
    fn conclude(&self) -> Found {
        let plan = &self.job.plan;
        let mut found = self.found.take();
        found.sight = self.watch.borrow().sight();
        for open in self.open.take().into_values() {
            let outcome = Outcome {
                at: open.at,
                verdict: Verdict::Lost,
                status: None,
                detail: None,
                whole: self.job.start.elapsed().saturating_sub(open.at),
                first: None,
                gaps: Vec::new(),
                tokens: 0,
                retries: 0,
                resumes: 0,
            };
            let contract = &plan.class(open.class).contract;
            found.tallies[open.class].record(&outcome, contract, plan.bucket);
            found.unfinished += 1;
        }
        found
    }
}
