//! A caller's request that is sent to an upstream, in one or more attempts.

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

/// A time-out after a shorter wait does not count against the upstream.
const MIN_FAIR_WAIT: Duration = Duration::from_millis(500);

/// A request with the data that its attempts need.
#[derive(Debug)]
pub struct ProxiedRequest {
    /// Worker of the thread that serves the request.
    pub worker: Worker,
    /// Owner of the caller's key.
    pub owner: Arc<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query, as sent to the upstream.
    pub target: String,
    /// Headers of the caller's request.
    pub headers: HeaderMap,
    /// Body, as sent to the upstream.
    pub body: Bytes,
    /// Deadline of the answer.
    pub deadline: Moment,
    /// Record of the request.
    pub record: RequestRecord,
    /// Whether an earlier attempt may have run.
    pub ran: Execution,
    /// Start of the latest attempt.
    pub attempt_started: Instant,
    /// Id of the latest attempt.
    pub attempt_id: HeaderValue,
}

impl ProxiedRequest {
    /// Time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.worker.shared.clock.now())
    }

    /// The id of the latest attempt, which the upstream must echo.
    pub fn attempt_header(&self) -> HeaderValue {
        self.attempt_id.clone()
    }

    /// Asks the router for admission and waits until the request may be sent.
    ///
    /// # Errors
    ///
    /// The request is refused and was not run.
    pub async fn admit(&mut self, request: Request) -> Result<Attempt, Problem> {
        let shared = &self.worker.shared;
        if request.model.is_some() {
            let (prompt, answer) = (request.prompt_tokens, request.output_tokens);
            let now = shared.clock.now();
            shared
                .control
                .record_demand(now, &request.pool, prompt, answer);
        }
        let dispatcher = shared.dispatcher.clone();
        dispatcher
            .admit(request)
            .await
            .map_err(|refused| refusal::problem(&refused))
    }

    /// Reports an attempt that failed before any part of the answer was sent, and returns the next
    /// one.
    ///
    /// # Errors
    ///
    /// No further attempt is made. The error's `ran` covers all attempts: if an earlier one may
    /// have run, a later one that did not run does not change that.
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

    /// Sets the problem's `ran` to what is certain over all attempts.
    pub fn with_execution(&self, mut problem: Problem) -> Problem {
        if self.ran == Execution::Unknown {
            problem.ran = problem::Ran::Unknown;
        }
        problem
    }

    /// Address of an upstream.
    ///
    /// # Errors
    ///
    /// The upstream is not listed; nothing was sent.
    pub fn address(&self, id: &str) -> Result<SocketAddr, Failure> {
        // The list may have changed since the request started, so the current view is used.
        let view = self.worker.shared.view();
        view.upstream(id)
            .and_then(|upstream| upstream.address.parse().ok())
            .ok_or_else(|| Failure::NotSent(format!("upstream {id} is not listed any more")))
    }

    /// Records the start of an attempt and gives it a new id.
    pub fn begin_attempt(&mut self, attempt: &Attempt) {
        self.record.set_upstream(&attempt.assignment().upstream);
        self.attempt_started = Instant::now();
        self.attempt_id = self.new_attempt_id();
    }

    /// The caller's id alone is not unique: two callers may choose the same one, and the answer to
    /// one would match the other. A late answer to the first attempt must not match the second
    /// either.
    fn new_attempt_id(&self) -> HeaderValue {
        let request = self.record.request();
        let id = format!("{request}~{}", self.worker.shared.id_generator.next_id());
        HeaderValue::try_from(id).unwrap_or_else(|_| request.header())
    }

    /// Reports to the control that an upstream answered the latest attempt.
    pub fn observe_answer(&self, upstream: &Arc<str>) {
        self.observe(
            upstream,
            Observation::Answered(self.attempt_started.elapsed()),
        );
    }

    /// Reports a failed attempt to the control. Time-outs caused by a very short deadline are left
    /// out: otherwise a few callers with such deadlines would eject healthy upstreams.
    fn observe_failure(&self, upstream: &Arc<str>, failure: &Failure) {
        let too_short =
            *failure == Failure::TimedOut && self.attempt_started.elapsed() < MIN_FAIR_WAIT;
        if let Some(observation) = failure.observation()
            && !too_short
        {
            self.observe(upstream, observation);
        }
    }

    /// Reports the result of an attempt at an upstream to the control.
    pub fn observe(&self, upstream: &Arc<str>, observation: Observation) {
        self.worker.shared.control.observe(upstream, observation);
    }

    /// Headers that are sent to the upstream.
    pub fn upstream_headers(&self, assignment: &Assignment) -> HeaderMap {
        let mut map = HeaderMap::with_capacity(self.headers.len() + 4);
        for (name, value) in headers::to_upstream(&self.headers) {
            map.append(name.clone(), value.clone());
        }
        let left = u64::try_from(self.remaining().as_millis()).unwrap_or(u64::MAX);
        map.insert(headers::DEADLINE, number_value(left));
        map.insert(
            headers::PRIORITY,
            number_value(u64::from(assignment.priority)),
        );
        map
    }

    /// The routing request, without the fields that only completions set.
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

/// The engines' name for a model, with its version and adapter.
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

/// The error for the caller when the last attempt failed.
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
