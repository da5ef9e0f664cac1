//! One request on its way to an upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::Method;
use actix_http::header::{HeaderMap, HeaderValue};
use bytes::Bytes;
use catalogue::{Entry, Target};
use clock::{Clock as _, Moment};
use fleet::upstream::Observation;
use routing::class::Class;
use routing::decision::{Assignment, Execution};
use routing::request::Request;
use smallvec::SmallVec;

use crate::dispatcher::{Attempt, Retry};
use crate::front::headers;
use crate::front::problem::{self, Kind, Problem};
use crate::front::refusal;
use crate::metrics::Metric;
use crate::request_record::RequestRecord;
use crate::router_sync::entry_subject;
use crate::shared::Worker;
use crate::upstream::client::number_value;
use crate::upstream::failure::Failure;

/// Time that an upstream must have had before its silence counts against it.
const FAIR_WAIT: Duration = Duration::from_millis(500);

/// A request with all that its attempts need.
#[derive(Debug)]
pub struct ProxiedRequest {
    /// The thread that serves it.
    pub worker: Worker,
    /// The owner who calls.
    pub owner: Arc<str>,
    /// Method.
    pub method: Method,
    /// Path with its query, as the upstream gets it.
    pub target: String,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Whole body, as the upstream gets it.
    pub body: Bytes,
    /// When the answer is of no use any more.
    pub deadline: Moment,
    /// Its account.
    pub record: RequestRecord,
    /// Whether an attempt before may have run.
    pub ran: Execution,
    /// When the newest attempt began.
    pub attempt_started: Instant,
    /// Id of the newest attempt.
    pub attempt_id: HeaderValue,
}

impl ProxiedRequest {
    /// Time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.worker.shared.clock.now())
    }

    /// The id of the newest attempt, which the upstream must echo.
    pub fn attempt_header(&self) -> HeaderValue {
        self.attempt_id.clone()
    }

    /// Admits the request and waits until it may be sent.
    ///
    /// # Errors
    ///
    /// It is refused; it was not run.
    pub async fn admit(&mut self, request: Request) -> Result<Attempt, Problem> {
        let shared = &self.worker.shared;
        if request.model.is_some() {
            let (prompt, answer) = (request.prompt_tokens, request.output_tokens);
            let now = shared.clock.now();
            shared
                .control
                .record_demand(now, &request.pool, prompt, answer);
        }
        let dispatch = shared.dispatcher.clone();
        dispatch
            .admit(request)
            .await
            .map_err(|refused| refusal::problem(&refused))
    }

    /// Takes an attempt that failed before the caller got any of the answer, and gives the next one.
    ///
    /// # Errors
    ///
    /// No further attempt is made. What is certain then covers all attempts: one that may have run
    /// is not undone by a later one that did not.
    pub async fn retry(&mut self, attempt: Attempt, failure: &Failure) -> Result<Attempt, Problem> {
        let ran = failure.ran();
        log::info!(
            request_id = self.record.request().as_str(),
            upstream = &*attempt.assignment().upstream,
            failure:% = failure;
            "an attempt failed"
        );
        self.observe_failure(&attempt.assignment().upstream, failure);
        if *failure == Failure::Crossed {
            self.worker.shared.metrics.add(Metric::Crossed, 1);
        }
        if ran == Execution::Unknown {
            self.ran = Execution::Unknown;
        }
        let problem = match attempt.fail(ran).await {
            Retry::Again(next) => {
                self.worker.shared.metrics.add(Metric::Retries, 1);
                return Ok(next);
            }
            Retry::Refused(refused) if self.ran == Execution::NotRun => refusal::problem(&refused),
            Retry::Refused(refused) => final_problem(failure).retry_after(refused.retry_after),
            Retry::Final => final_problem(failure),
        };
        Err(self.with_execution(problem))
    }

    /// The problem with what is certain over all attempts.
    pub fn with_execution(&self, mut problem: Problem) -> Problem {
        if self.ran == Execution::Unknown {
            problem.ran = problem::Ran::Unknown;
        }
        problem
    }

    /// Address of the upstream that was chosen.
    ///
    /// # Errors
    ///
    /// It is not known here; nothing was sent.
    pub fn address(&self, id: &str) -> Result<SocketAddr, Failure> {
        // The list may have changed since the request began, so the newest one counts.
        let view = self.worker.shared.view();
        view.upstream(id)
            .and_then(|upstream| upstream.address.parse().ok())
            .ok_or_else(|| Failure::NotSent(format!("upstream {id} is not listed any more")))
    }

    /// Notes that an attempt begins.
    pub fn begin_attempt(&mut self, attempt: &Attempt) {
        self.record.set_upstream(&attempt.assignment().upstream);
        self.attempt_started = Instant::now();
        self.attempt_id = self.new_attempt_id();
    }

    /// The caller's id alone would not do: two callers may choose the same one, and then the answer
    /// of one would pass for the other's; and a late answer to the first attempt must not pass for
    /// that to the second.
    fn new_attempt_id(&self) -> HeaderValue {
        let request = self.record.request();
        let id = format!("{request}~{}", self.worker.shared.id_generator.next_id());
        HeaderValue::try_from(id).unwrap_or_else(|_| request.header())
    }

    /// Tells the control that an upstream answered the newest attempt.
    pub fn observe_answer(&self, upstream: &Arc<str>) {
        self.observe(
            upstream,
            Observation::Answered(self.attempt_started.elapsed()),
        );
    }

    /// A caller that leaves an upstream no time says nothing about the upstream when that time is
    /// over; taken for a failure, a few such callers would take healthy upstreams out.
    fn observe_failure(&self, upstream: &Arc<str>, failure: &Failure) {
        let hasty = *failure == Failure::TimedOut && self.attempt_started.elapsed() < FAIR_WAIT;
        if let Some(observation) = failure.observation()
            && !hasty
        {
            self.observe(upstream, observation);
        }
    }

    /// Tells the control how an attempt at an upstream went.
    pub fn observe(&self, upstream: &Arc<str>, observation: Observation) {
        self.worker.shared.control.observe(upstream, observation);
    }

    /// Headers for the upstream.
    pub fn upstream_headers(&self, sending: &Assignment) -> HeaderMap {
        let mut map = HeaderMap::with_capacity(self.headers.len() + 4);
        for (name, value) in headers::to_upstream(&self.headers) {
            map.append(name.clone(), value.clone());
        }
        let left = u64::try_from(self.remaining().as_millis()).unwrap_or(u64::MAX);
        map.insert(headers::DEADLINE, number_value(left));
        map.insert(headers::PRIORITY, number_value(u64::from(sending.priority)));
        map
    }

    /// What the router has to know, without what only engines have.
    pub fn routing_request(&self, entry: &Entry) -> Request {
        let mut subjects = SmallVec::new();
        subjects.push(Arc::clone(&self.owner));
        subjects.push(entry_subject(&entry.name));
        Request {
            pool: Arc::from(entry.pool.as_str()),
            subjects,
            class: class(entry.class),
            priority: entry.priority,
            model: model_name(&entry.target).map(Arc::from),
            prompt_tokens: 0,
            output_tokens: 0,
            prefixes: SmallVec::new(),
            streamed: false,
            deadline: self.deadline,
            repeatable: entry.repeatable,
        }
    }
}

/// The name under which engines know a model with its version and adapter.
pub fn model_name(target: &Target) -> Option<String> {
    match target {
        Target::Model {
            model,
            version,
            adapter,
        } => Some(match adapter {
            Some(adapter) => format!("{model}@{version}+{adapter}"),
            None => format!("{model}@{version}"),
        }),
        Target::Path { .. } => None,
    }
}

fn class(class: catalogue::Class) -> Class {
    match class {
        catalogue::Class::Authorisation => Class::Authorisation,
        catalogue::Class::Status => Class::Status,
        catalogue::Class::Interactive => Class::Interactive,
        catalogue::Class::Dispatch => Class::Dispatch,
        catalogue::Class::Batch => Class::Batch,
    }
}

/// The error of a call whose last attempt failed like this.
fn final_problem(failure: &Failure) -> Problem {
    let kind = match failure {
        Failure::TimedOut => Kind::DeadlineExceeded,
        Failure::CallerGone(_) => Kind::BadRequest,
        _ => Kind::BadGateway,
    };
    match failure.ran() {
        Execution::NotRun => Problem::not_run(kind, failure.to_string()),
        Execution::Unknown => Problem::unknown(kind, failure.to_string()),
    }
}
