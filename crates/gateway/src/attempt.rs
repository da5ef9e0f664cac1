//! A request and its attempts at engines, shared by plain calls and generations.

use std::cell::{Cell, OnceCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{AUTHORIZATION, HeaderValue};
use actix_http::uri::PathAndQuery;
use actix_http::{RequestHead, ResponseHead, StatusCode};
use adapter::ingress::{self, Call};
use adapter::upstream::{self, CallerIdentity, Reply, RequestOptions};
use bytes::Bytes;
use http1::{Client, Failure, Framing, IncomingRequest};
use serving::engine::{Rank, Record};
use serving::fingerprint::{self, Fingerprint, PartFingerprints};
use serving::forwarders::ForwardResult;
use serving::memory;
use serving::organisation::Organisation;
use serving::prior_wait::Awaited;
use serving::reachability::{Cause, Path};
use serving::route::Version;
use serving::usage::UnixTime;
use serving::{Route, Service, Table};
use smallvec::SmallVec;
use tokio::time::Instant;

use crate::conclusion::{
    AttemptResult, NotRun, conclude, forward_result, log_forwarded, without_path,
};
use crate::connection::NO_ROUTE_STATUS;
use crate::connection_memory::Holder;
use crate::engine_call::Progress;
use crate::engine_links::Target;
use crate::forward::{self, Forwarded};
use crate::instance::Instance;
use crate::peers::Topic;
use crate::refusal::Refusal;
use crate::suspects::{self, Subject};
use crate::{announcements, engine_links, identity};

/// A caller's request with everything that was looked up for it.
pub(crate) struct Request {
    pub head: RequestHead,
    pub body: Bytes,
    pub call: Call,
    /// Address that the connection comes from.
    pub caller: IpAddr,
    /// Accounts for what the call holds.
    holder: Rc<Holder>,
    fingerprint: OnceCell<Fingerprint>,
    shared_parts: OnceCell<PartFingerprints>,
    /// Whether it is already counted in its organisation's usage.
    is_counted: Cell<bool>,
    /// Whether this instance may send it although it is held; cleared once an engine has received
    /// it.
    pub is_trial: Cell<bool>,
    pub route: Rc<Route>,
    pub principal: Principal,
    pub service: Service,
    /// When the caller's deadline or the route's time-out ends.
    pub deadline: Instant,
    pub started: Instant,
    /// Time that the caller had waited for its first answer before it sent this request.
    pub waited_before: Duration,
}

/// The caller's identity, as far as the configuration asks for it.
#[derive(Clone, Debug)]
pub(crate) enum Principal {
    /// No organisations are configured.
    Anyone,
    /// No organisation, on a public route.
    Unnamed,
    Of(Rc<Organisation>),
}

impl Principal {
    /// Looks the request's key up. `None` if the route requires a key and no organisation holds
    /// this one.
    fn of(table: &Table, route: &Route, head: &RequestHead) -> Option<Self> {
        let Some(organisations) = &table.organisations else {
            return Some(Self::Anyone);
        };
        let holder = ingress::api_key(head).and_then(|key| organisations.holder(key));
        match holder {
            Some(organisation) => Some(Self::Of(organisation.clone())),
            None => route.public.then_some(Self::Unnamed),
        }
    }

    /// The organisation, if there is one.
    pub(crate) fn organisation(&self) -> Option<&Organisation> {
        match self {
            Self::Of(organisation) => Some(organisation),
            Self::Anyone | Self::Unnamed => None,
        }
    }

    /// The organisation's name for logs, or an empty string.
    pub(crate) fn name(&self) -> &str {
        self.organisation()
            .map_or("", |organisation| &organisation.name)
    }

    fn as_caller(&self) -> CallerIdentity<'_> {
        match self {
            Self::Anyone => CallerIdentity::NoOrganisations,
            Self::Unnamed => CallerIdentity::Anonymous,
            Self::Of(organisation) => CallerIdentity::Organisation(&organisation.name),
        }
    }
}

/// A request that is refused before any attempt.
pub(crate) struct Rejection {
    status: StatusCode,
    id: Option<String>,
    retry_after: Option<Duration>,
    detail: &'static str,
    /// Version of the configuration in force at the decision; 0 before the first.
    configuration: Version,
}

impl Rejection {
    pub(crate) fn log(&self) {
        log::info!(
            id = self.id.as_deref().unwrap_or_default(), status = self.status.as_u16(),
            after_ms:% = self.retry_after.unwrap_or_default().as_millis(), why = self.detail,
            configuration = self.configuration;
            "answered at once"
        );
    }

    pub(crate) fn as_refusal(&self) -> Refusal<'_> {
        Refusal {
            status: self.status,
            id: self.id.as_deref(),
            retry_after: self.retry_after,
            detail: self.detail,
            may_have_run: false,
        }
    }
}

/// Retry-after from an instance that knows no configuration or no engines yet. Another instance is
/// likely to know them.
const UNSYNCED_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Parts of a prompt that quarantine looks at, which bounds the work for one call.
const MAX_TRACKED_PARTS: usize = 16;

impl Request {
    pub(crate) fn new(
        instance: &Instance,
        arrival: IncomingRequest,
        caller: IpAddr,
        holder: Rc<Holder>,
    ) -> Result<Self, Rejection> {
        let configuration = instance.table().map_or(0, |table| table.version);
        let call = ingress::parse_call(&arrival.head).map_err(|finding| Rejection {
            status: StatusCode::BAD_REQUEST,
            id: None,
            retry_after: None,
            detail: finding.message(),
            configuration,
        })?;
        let reject = |status, retry_after, detail| Rejection {
            status,
            id: Some(call.id.clone()),
            retry_after,
            detail,
            configuration,
        };
        let table = instance.table().ok_or_else(|| {
            let detail = "No configuration is known yet.";
            reject(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(UNSYNCED_RETRY_AFTER),
                detail,
            )
        })?;
        if !instance.has_topic(Topic::Engines) {
            let detail = "No engines are known yet.";
            return Err(reject(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(UNSYNCED_RETRY_AFTER),
                detail,
            ));
        }
        let path = arrival.head.uri.path();
        let route = table
            .find(&call.host, path)
            .ok_or_else(|| reject(NO_ROUTE_STATUS, None, "No route matches."))?;
        let principal = Principal::of(&table, route, &arrival.head).ok_or_else(|| {
            if instance.is_current(Topic::Configuration) {
                reject(
                    StatusCode::UNAUTHORIZED,
                    None,
                    "No organisation holds the key.",
                )
            } else {
                let detail = "The key is not known here yet.";
                reject(
                    StatusCode::SERVICE_UNAVAILABLE,
                    Some(UNSYNCED_RETRY_AFTER),
                    detail,
                )
            }
        })?;
        let service = select_service(&table, route, &call);
        let timeout = call
            .deadline
            .map_or(route.timeout, |d| d.min(route.timeout));
        let before = call.deadline.map_or(Duration::ZERO, |left| {
            let mut usual = instance.usual.borrow_mut();
            usual.estimate(&route.name, left, awaited(route, &call), instance.now())
        });
        Ok(Self {
            deadline: arrival.started_at + timeout,
            waited_before: before,
            started: arrival.started_at,
            route: route.clone(),
            principal,
            service,
            head: arrival.head,
            body: arrival.body,
            call,
            caller,
            holder,
            fingerprint: OnceCell::new(),
            shared_parts: OnceCell::new(),
            is_counted: Cell::new(false),
            is_trial: Cell::new(false),
        })
    }

    /// Identifies the call across its repeats. Computed on first use, since few calls need it.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let uri = &self.head.uri;
            let authorization = self.head.headers.get(AUTHORIZATION);
            fingerprint::of(&fingerprint::Request {
                credentials: [
                    ingress::api_key(&self.head).unwrap_or_default(),
                    authorization.map_or(b"", HeaderValue::as_bytes),
                ],
                method: self.head.method.as_str(),
                host: &self.call.host,
                path: uri.path_and_query().map_or("/", PathAndQuery::as_str),
                body: &self.body,
            })
        })
    }

    /// [`Request::fingerprint`] in the form that logs use.
    pub(crate) fn fingerprint_text(&self) -> String {
        suspects::fingerprint_text(self.fingerprint())
    }

    /// The parts that its prompt may share with others. Computed on first use, as the fingerprint.
    pub(crate) fn shared_parts(&self) -> &[Fingerprint] {
        self.shared_parts.get_or_init(|| {
            let mut parts = ingress::shared_parts(&self.head);
            parts.truncate(MAX_TRACKED_PARTS);
            parts
        })
    }

    /// What quarantine may know of it: itself and the parts of its prompt.
    pub(crate) fn suspects(&self) -> SmallVec<[Fingerprint; 5]> {
        let own = [self.fingerprint()];
        let parts = self.shared_parts().iter().copied();
        own.into_iter().chain(parts).collect()
    }

    /// [`Request::shared_parts`] in the form that logs use.
    pub(crate) fn shared_parts_text(&self) -> String {
        let parts = self.shared_parts().iter().copied();
        let parts: Vec<String> = parts.map(suspects::fingerprint_text).collect();
        parts.join(",")
    }

    /// What crash detection keeps of the request after it has ended, given how far an engine was
    /// with it.
    pub(crate) fn subject(&self, progress: Progress) -> Subject {
        let parts = match progress {
            Progress::Starting => self.shared_parts(),
            Progress::Prefilling | Progress::Writing => &[],
        };
        Subject {
            id: self.call.id.clone(),
            fingerprint: self.fingerprint(),
            parts: parts.into(),
            caller: self.caller,
        }
    }

    /// Called when an engine has begun the request, which may go to several.
    pub(crate) fn count_once_in_organisation_usage(&self, instance: &Instance, at: UnixTime) {
        if let Some(organisation) = self.principal.organisation()
            && !self.is_counted.replace(true)
        {
            instance.note_request(&organisation.name, at);
        }
    }

    /// Whether the answer has had to wait for memory.
    pub(crate) fn has_waited_for_memory(&self) -> bool {
        self.holder.has_waited()
    }

    /// Reads the body of an answer that is held until the caller has it.
    pub(crate) async fn read_answer(&self, client: &mut Client) -> Result<Bytes, Failure> {
        let reserve = async |bytes| self.holder.reserve_answer(bytes).await;
        client.body_within(MAX_BODY_BYTES, reserve).await
    }

    /// Waits until there is room for a part of a stream that is passed on whole and has at most so many bytes.
    pub(crate) async fn reserve_event(&self, bytes: usize, max_bytes: usize) {
        let bytes = memory::event_reservation(bytes, max_bytes);
        if bytes > 0 {
            self.holder.reserve_answer(bytes).await;
        }
    }

    /// Frees what parts of a stream took, once the caller has them.
    pub(crate) fn release_events(&self) {
        self.holder.release_answer();
    }

    /// The organisation's rank if it has one, else the route's.
    pub(crate) fn priority(&self) -> Rank {
        let organisation = self.principal.organisation();
        let own = organisation.and_then(|organisation| organisation.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Whether the call may run at several engines.
    fn is_repeatable(&self) -> bool {
        self.route.kind.is_idempotent() && self.route.max_attempts > 1
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time left until the caller gives up waiting for a first answer.
    pub(crate) fn first_answer_remaining(&self) -> Duration {
        if !self.route.kind.is_stream() {
            return self.remaining();
        }
        let timeout = self.route.event_timeout().saturating_sub(self.elapsed());
        timeout.min(self.remaining())
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

/// What the caller of a call waits for.
fn awaited(route: &Route, call: &Call) -> Awaited {
    match call.resume_after {
        Some(_) if route.kind.is_resumable() => Awaited::NextEvent,
        _ => Awaited::FirstAnswer,
    }
}

/// The service of a call. Routes with several pick by the id of the request that began it, so that every
/// instance picks the same one.
fn select_service(table: &Table, route: &Route, call: &Call) -> Service {
    let id = call.resumes.as_ref().unwrap_or(&call.id);
    let drawn = serving::hash::unit_interval(id).min(1.0 - f64::EPSILON);
    let name = route.service(drawn);
    table.service(name).cloned().unwrap_or_else(|| Service {
        name: name.clone(),
        connections: 1,
        model: None,
        range: None,
    })
}

/// An engine's response whose body is still to be read.
pub(crate) struct EngineResponse {
    pub head: ResponseHead,
    pub reply: Reply,
    pub framing: Framing,
    pub client: Client,
    /// Whether the connection is the engine's or another instance's.
    pub path: Path,
}

/// Responses to other requests that are skipped on one connection before it is given up.
const MAX_MISMATCHED_RESPONSES: usize = 3;
/// Largest response body that is buffered.
pub(crate) const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Sends a call to an engine and waits for the head of its response. A call to an engine that this
/// instance does not reach goes through another instance.
pub(crate) async fn send(
    instance: &Rc<Instance>,
    request: &Request,
    engine: &Record,
    sending: &RequestOptions<'_>,
) -> AttemptResult {
    let sending = RequestOptions {
        caller: request.principal.as_caller(),
        ..*sending
    };
    let path = instance.links.state().path(&engine.id, &engine.service);
    if path == Path::Direct {
        return send_on_own_path(instance, request, engine, &sending).await;
    }
    let result = send_forwarded(instance, request, engine, &sending).await;
    let may_try = instance.links.state().may_try(&engine.id, &engine.service);
    if matches!(result, AttemptResult::NotRun(NotRun::NoPath)) && may_try {
        return send_on_own_path(instance, request, engine, &sending).await;
    }
    without_path(instance, engine, result)
}

/// Sends a call on a connection of this instance, or through another instance if none opens and it is
/// not the engine's fault.
async fn send_on_own_path(
    instance: &Rc<Instance>,
    request: &Request,
    engine: &Record,
    sending: &RequestOptions<'_>,
) -> AttemptResult {
    let target = Target::from(engine);
    let begun = instance.now();
    let opened = engine_links::open(instance, &target, request.is_repeatable()).await;
    let failure = match opened {
        Ok(client) => return send_direct(instance, request, engine, sending, client).await,
        Err(failure) => failure,
    };
    log::info!(id = request.call.id.as_str(), engine = &*engine.id, failure:% = failure; "no connection");
    if failure.is_time_out() && instance.own_load.explains_silence(begun) {
        // Other instances are reached over the same link.
        return AttemptResult::NotRun(NotRun::Unsent);
    }
    let cause = engine_links::find_cause(instance, &target, begun).await;
    if cause == Cause::Engine && has_alternative(instance, engine) {
        return AttemptResult::NotRun(NotRun::Unreachable);
    }
    let result = send_forwarded(instance, request, engine, sending).await;
    without_path(instance, engine, result)
}

/// Whether another engine of the same service takes calls.
fn has_alternative(instance: &Instance, engine: &Record) -> bool {
    let now = instance.now();
    let fleet = instance.fleet.borrow();
    let mut others = fleet.ready(&engine.service);
    others.any(|other| other.record.id != engine.id && other.is_available(now))
}

/// The head for the engine, with the time that is left when it is sent.
fn engine_head(request: &Request, sending: &RequestOptions<'_>) -> RequestHead {
    let sending = RequestOptions {
        remaining: request.remaining(),
        ..*sending
    };
    upstream::request_head(&request.head, &sending)
}

async fn send_direct(
    instance: &Instance,
    request: &Request,
    engine: &Record,
    sending: &RequestOptions<'_>,
    mut client: Client,
) -> AttemptResult {
    // It may have asked for a pause while the connection was opened.
    if instance
        .fleet
        .borrow()
        .is_paused(&engine.id, instance.now())
    {
        log::info!(id = request.call.id.as_str(), engine = &*engine.id; "not sent, since the engine wants no requests now");
        return AttemptResult::NotRun(NotRun::Unreachable);
    }
    // Prompts may be read at any software version.
    if !sending.prefill_only {
        let resumes = sending.resume_after.is_some();
        let confirmed = identity::confirm(instance, request, engine, resumes, &mut client);
        if let Err(why) = confirmed.await {
            return AttemptResult::NotRun(why);
        }
    }
    let head = engine_head(request, sending);
    let (sent, sent_at) = (instance.unix(), instance.now());
    let exchanged = exchange(client, head, request, &engine.name).await;
    match &exchanged {
        Ok(EngineResponse { reply, .. }) => {
            instance.links.on_received(&engine.service, instance.now());
            announcements::observe(instance, &engine.id, reply, sent_at);
        }
        Err(failure) => engine_links::on_lost(instance, &engine.into(), sent_at, failure),
    }
    conclude(instance, request, engine, sent, exchanged).await
}

/// Time after which no further instance is asked to send a call. One that knows that it does not reach
/// the engine says so at once, one that has to find out takes as long as its connection.
const FORWARD_ATTEMPTS_TIME: Duration = Duration::from_millis(200);

/// Sends a call through another instance. Each is asked at most once, and none after one that may have
/// sent it.
async fn send_forwarded(
    instance: &Rc<Instance>,
    request: &Request,
    engine: &Record,
    sending: &RequestOptions<'_>,
) -> AttemptResult {
    let target = Target::from(engine);
    let begun = instance.now();
    let mut reaches_others = instance.links.is_declined(&engine.id, begun);
    for peer in engine_links::forwarders(instance, &target) {
        let (sent, sent_at) = (instance.unix(), instance.now());
        if sent_at.saturating_sub(begun) > FORWARD_ATTEMPTS_TIME {
            break;
        }
        let forwarded = forward::request(
            &instance.links.peers,
            async |peer, patience| instance.connect(peer, patience).await,
            peer,
            &target,
            engine_head(request, sending),
            &request.body,
            sent_at,
        );
        let forwarded = forwarded.await;
        log_forwarded(instance, request, engine, peer, &forwarded);
        let result = forward_result(&forwarded);
        let now = instance.now();
        let links = &instance.links;
        links.on_forwarder(peer, &engine.id, &engine.service, result, now);
        reaches_others |= matches!(
            result,
            ForwardResult::EngineUnreachable | ForwardResult::EngineUnavailable
        );
        match forwarded {
            Forwarded::Response(response) => {
                let exchanged = forwarded_response(request, engine, *response);
                if let Ok(EngineResponse { reply, .. }) = &exchanged {
                    announcements::observe_forwarded(instance, &engine.id, reply, sent_at);
                }
                return conclude(instance, request, engine, sent, exchanged).await;
            }
            Forwarded::Lost(failure) => {
                return conclude(instance, request, engine, sent, Err(failure)).await;
            }
            Forwarded::Declined(_) | Forwarded::Silent(_) => {}
        }
    }
    let is_isolated = instance.links.state().is_isolated(&engine.service);
    AttemptResult::NotRun(match is_isolated {
        true if reaches_others => NotRun::Unsent,
        true => NotRun::NoPath,
        false => NotRun::Unreachable,
    })
}

fn forwarded_response(
    request: &Request,
    engine: &Record,
    response: forward::Response,
) -> Result<EngineResponse, Failure> {
    let reply = upstream::parse_reply(&response.head, &request.call.id, &engine.name);
    if reply.names_other_request {
        return Err(Failure::Broken("the response belongs to another request"));
    }
    Ok(EngineResponse {
        head: response.head,
        reply,
        framing: response.framing,
        client: response.client,
        path: Path::Forwarded,
    })
}

/// Reads responses until one belongs to this request.
///
/// An engine may send a response twice, or late, where the next one is expected; the caller of the
/// next request would get it as its own, with a foreign id. So the id is compared before anything
/// else is looked at.
async fn exchange(
    mut client: Client,
    head: RequestHead,
    request: &Request,
    instance: &str,
) -> Result<EngineResponse, Failure> {
    let mut answer = client.send(head, &request.body).await?;
    for _ in 0..MAX_MISMATCHED_RESPONSES {
        let reply = upstream::parse_reply(&answer.head, &request.call.id, instance);
        if !reply.names_other_request {
            return Ok(EngineResponse {
                head: answer.head,
                reply,
                framing: answer.framing,
                client,
                path: Path::Direct,
            });
        }
        log::info!(id = request.call.id.as_str(); "skipped a response to another request");
        client.body(MAX_BODY_BYTES).await?;
        answer = client.next_response().await?;
    }
    Err(Failure::Broken("every response belongs to another request"))
}
