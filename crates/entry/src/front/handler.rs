//! Handles a caller's request, from its head to its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::body::BoxBody;
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{
    ConnectionType, HttpMessage as _, Method, Payload, Request, Response, StatusCode,
};
use bytes::Bytes;
use catalogue::{Entry, Owner, PathMatch, View as Catalogue};
use control::View;
use routing::decision::Execution;

use crate::at_most_once;
use crate::completion_params::{CompletionParams, engine_body};
use crate::front::body::{self, Bounds};
use crate::front::problem::{Kind, Problem};
use crate::front::prompt::Prompt;
use crate::front::reply::Reply;
use crate::front::request_id::RequestId;
use crate::front::{caller, deadline, headers, models, path};
use crate::process::phase::Phase;
use crate::proxied_request::ProxiedRequest;
use crate::request_record::{Outcome, RequestRecord};
use crate::resume::{self, Resumption};
use crate::shared::Worker;
use crate::token_estimator::TokenEstimator;

/// Copies of a call's body: as it was received, and in the buffer of the upstream's connection.
const CALL_COPIES: usize = 2;
/// Copies of a completion's body, which is also written anew for the engine.
const COMPLETION_COPIES: usize = 3;

/// Answers one request.
pub async fn handle(worker: Rc<Worker>, request: Request) -> Response<BoxBody> {
    let mut response = match request.path() {
        "/livez" => Response::new(StatusCode::OK).set_body(BoxBody::new("live\n")),
        "/readyz" => readiness(&worker),
        _ => handle_call(&worker, request).await,
    };
    if worker.shared.lifecycle.is_stopping() {
        // The balancer reuses connections. Closing each after its answer moves the traffic to other
        // entries without interrupting a request.
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

fn readiness(worker: &Worker) -> Response<BoxBody> {
    let refusal = if worker.shared.lifecycle.is_stopping() {
        Some("leaving\n")
    } else if !worker.shared.view().ready {
        Some("not ready\n")
    } else {
        None
    };
    match refusal {
        None => Response::new(StatusCode::OK).set_body(BoxBody::new("ready\n")),
        Some(why) => Response::new(StatusCode::SERVICE_UNAVAILABLE).set_body(BoxBody::new(why)),
    }
}

async fn handle_call(worker: &Rc<Worker>, request: Request) -> Response<BoxBody> {
    let id = RequestId::from_headers(request.headers())
        .unwrap_or_else(|| worker.shared.id_generator.next_request_id());
    let record = RequestRecord::open(Arc::clone(&worker.shared), id.clone());
    let exchange = Exchange::new(worker, request, record);
    let answer = match exchange.check() {
        Ok(()) => exchange.route().await,
        Err(problem) => exchange.refuse(problem),
    };
    match answer {
        Answer::Reply(reply, record) => reply.into_response(record),
        Answer::Problem(problem, mut record) => {
            record.conclude(Outcome::from_problem(&problem));
            problem.response(&id)
        }
    }
}

/// The result of a request, with its record still open.
enum Answer {
    Reply(Reply, RequestRecord),
    Problem(Problem, RequestRecord),
}

/// A request that has not been matched to a catalogue entry yet.
struct Exchange {
    worker: Rc<Worker>,
    view: Arc<View>,
    method: Method,
    target: String,
    headers: HeaderMap,
    payload: Payload,
    record: RequestRecord,
}

impl Exchange {
    fn new(worker: &Rc<Worker>, mut request: Request, record: RequestRecord) -> Self {
        let payload = request.take_payload();
        let target = request
            .uri()
            .path_and_query()
            .map_or("/", |target| target.as_str())
            .to_owned();
        let head = request.head_mut();
        Self {
            view: worker.shared.view(),
            worker: Rc::clone(worker),
            method: head.method.clone(),
            target,
            headers: std::mem::take(&mut head.headers),
            payload,
            record,
        }
    }

    fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Checks that apply to every request, before its body is read.
    fn check(&self) -> Result<(), Problem> {
        let limit = self.worker.shared.settings.limits.head;
        if headers::size(&self.headers) > limit {
            let detail = format!("at most {limit} bytes of headers are taken");
            return Err(Problem::not_run(Kind::HeadTooLarge, detail));
        }
        if self.worker.shared.lifecycle.phase() >= Phase::Finishing {
            return Err(Problem::not_run(Kind::Unavailable, "the entry stops"));
        }
        path::check(self.path())
    }

    fn refuse(self, problem: Problem) -> Answer {
        Answer::Problem(problem, self.record)
    }

    async fn route(self) -> Answer {
        let catalogue = match active_catalogue(&self.view) {
            Ok(catalogue) => catalogue,
            Err(problem) => return self.refuse(problem),
        };
        let owner = match caller::identify(&catalogue, &self.headers) {
            Ok(owner) => owner,
            Err(problem) => return self.refuse(problem),
        };
        match self.path() {
            "/v1/models" => self.models(&catalogue, owner),
            "/v1/completions" | "/v1/chat/completions" => self.completion(&catalogue, owner).await,
            _ => self.plain(&catalogue, owner).await,
        }
    }

    fn models(self, catalogue: &Catalogue, owner: &Owner) -> Answer {
        if self.method != Method::GET {
            return self.refuse(wrong_method("GET"));
        }
        let mut map = HeaderMap::with_capacity(1);
        map.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        let reply = Reply::Whole {
            status: StatusCode::OK,
            headers: map,
            body: models::list(catalogue, owner).into(),
        };
        Answer::Reply(reply, self.record)
    }

    async fn completion(mut self, catalogue: &Catalogue, owner: &Owner) -> Answer {
        if let Some(last) = self.headers.get(headers::LAST_EVENT_ID).cloned() {
            return self.resume(owner, &last).await;
        }
        if self.method != Method::POST {
            return self.refuse(wrong_method("POST"));
        }
        let limit = self.worker.shared.settings.limits.body;
        let body = match self.body(limit, COMPLETION_COPIES).await {
            Ok(body) => body,
            Err(problem) => return self.refuse(problem),
        };
        let estimator = &self.worker.shared.token_estimator;
        let prepared = prepare(catalogue, owner, &body, estimator);
        let (entry, params, upstream_body) = match prepared {
            Ok(prepared) => prepared,
            Err(problem) => return self.refuse(problem),
        };
        match self.into_proxied(owner, entry, upstream_body) {
            Ok(proxied) => at_most_once::completion(proxied, entry, params)
                .await
                .into(),
            Err(refused) => *refused,
        }
    }

    async fn resume(mut self, owner: &Owner, last: &HeaderValue) -> Answer {
        let limits = &self.worker.shared.settings.limits;
        let deadline = deadline::resolve(
            &self.headers,
            self.record.started(),
            limits.deadline,
            limits.deadline,
        );
        let deadline = match deadline {
            Ok(deadline) => deadline,
            Err(problem) => return self.refuse(problem),
        };
        let resumption = Resumption {
            owner: &owner.name,
            last: last.to_str().unwrap_or_default(),
            deadline,
        };
        let result = resume::run(&self.worker, &self.view, &resumption, &mut self.record).await;
        match result {
            Ok(reply) => Answer::Reply(reply, self.record),
            Err(problem) => self.refuse(problem),
        }
    }

    async fn plain(mut self, catalogue: &Catalogue, owner: &Owner) -> Answer {
        let entry = match entry_at(catalogue, owner, &self.method, self.path()) {
            Ok(entry) => entry,
            Err(problem) => return self.refuse(problem),
        };
        self.record.set_entry(entry);
        let limit = self.worker.shared.settings.limits.body;
        let limit = limit.min(usize::try_from(entry.max_body).unwrap_or(usize::MAX));
        let body = match self.body(limit, CALL_COPIES).await {
            Ok(body) => body,
            Err(problem) => return self.refuse(problem),
        };
        match self.into_proxied(owner, entry, body) {
            Ok(proxied) => at_most_once::plain(proxied, entry).await.into(),
            Err(refused) => *refused,
        }
    }

    async fn body(&mut self, limit: usize, copies: usize) -> Result<Bytes, Problem> {
        let memory = &self.worker.shared.memory;
        let bounds = Bounds {
            max_bytes: limit,
            idle_timeout: self.worker.shared.settings.limits.body_time,
            copies,
        };
        body::read(&self.headers, &mut self.payload, bounds, memory).await
    }

    fn into_proxied(
        mut self,
        owner: &Owner,
        entry: &Entry,
        body: Bytes,
    ) -> Result<ProxiedRequest, Box<Answer>> {
        self.record.set_entry(entry);
        let cap = self.worker.shared.settings.limits.deadline;
        let contract = entry.contract.deadline;
        let deadline = deadline::resolve(&self.headers, self.record.started(), contract, cap);
        match deadline {
            Ok(deadline) => Ok(ProxiedRequest {
                worker: Worker::clone(&self.worker),
                owner: Arc::from(owner.name.as_str()),
                method: self.method,
                target: self.target,
                headers: self.headers,
                body,
                deadline,
                attempt_id: self.record.request().header(),
                record: self.record,
                ran: Execution::NotRun,
                attempt_started: Instant::now(),
            }),
            Err(problem) => Err(Box::new(self.refuse(problem))),
        }
    }
}

impl From<at_most_once::CallResult> for Answer {
    fn from(ended: at_most_once::CallResult) -> Self {
        match ended.result {
            Ok(reply) => Self::Reply(reply, ended.record),
            Err(problem) => Self::Problem(problem, ended.record),
        }
    }
}

/// `Retry-After` while this entry takes no new work.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The catalogue, if this entry is ready to take new work.
fn active_catalogue(view: &View) -> Result<Arc<Catalogue>, Problem> {
    let refusal = |detail: String| {
        Problem::not_run(Kind::Unavailable, detail).retry_after(NOT_READY_RETRY_AFTER)
    };
    if !view.ready {
        let reasons = &view.reasons;
        return Err(refusal(format!(
            "this entry takes no new work: {reasons:?}"
        )));
    }
    let catalogue = view.catalogue.as_ref().map(Arc::clone);
    catalogue.ok_or_else(|| refusal("no catalogue is known yet".to_owned()))
}

/// Parses a completion's body and finds its catalogue entry; returns both with the engine's body.
fn prepare<'v>(
    catalogue: &'v Catalogue,
    owner: &Owner,
    body: &Bytes,
    estimator: &TokenEstimator,
) -> Result<(&'v Entry, CompletionParams, Bytes), Problem> {
    let prompt = Prompt::read(body).map_err(|detail| Problem::not_run(Kind::BadRequest, detail))?;
    let entry = catalogue
        .entry_for_model(&owner.name, &prompt.model)
        .ok_or_else(|| {
            let detail = format!("no entry of {} serves {:?}", owner.name, prompt.model);
            Problem::not_run(Kind::UnknownModel, detail)
        })?;
    if body.len() as u64 > entry.max_body {
        let detail = format!("at most {} bytes are taken", entry.max_body);
        return Err(Problem::not_run(Kind::TooLarge, detail));
    }
    let params = CompletionParams::new(&prompt, entry, estimator);
    let engine = engine_body(body, &prompt, &params.model);
    Ok((entry, params, engine))
}

/// The plain entry at a path. Another owner's entry is reported as forbidden rather than missing,
/// so that a caller with a wrong key does not search for an error in the path.
fn entry_at<'v>(
    catalogue: &'v Catalogue,
    owner: &Owner,
    method: &Method,
    path: &str,
) -> Result<&'v Entry, Problem> {
    match catalogue.entry_at(method.as_str(), path) {
        PathMatch::Entry(entry) if entry.owner == owner.name => Ok(entry),
        PathMatch::Entry(_) => Err(Problem::not_run(
            Kind::Forbidden,
            "the path belongs to another owner",
        )),
        PathMatch::MethodNotAllowed => Err(wrong_method("another method")),
        PathMatch::NotFound => Err(Problem::not_run(
            Kind::NotFound,
            "no entry serves this path",
        )),
    }
}

fn wrong_method(served: &str) -> Problem {
    Problem::not_run(
        Kind::MethodNotAllowed,
        format!("the path is served with {served}"),
    )
}
