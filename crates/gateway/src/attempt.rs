//! One call and its attempts at engines, common to plain calls and generations.

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
use http1::{Arrival, Client, Failure, Framing};
use serving::engine::{Rank, Record};
use serving::fingerprint::{self, Fingerprint};
use serving::health::Outcome;
use serving::organisation::Organisation;
use serving::route::Version;
use serving::usage::UnixTime;
use serving::{EngineId, Route, Service, Table};
use tokio::time::Instant;

use crate::front::NO_ROUTE;
use crate::instance::Instance;
use crate::limits;
use crate::reply::Refusal;
use crate::suspects::{self, Subject};

/// A caller's request with all that was looked up for it.
pub(crate) struct Asked {
    pub head: RequestHead,
    pub body: Bytes,
    pub call: Call,
    /// Where its connection comes from.
    pub caller: IpAddr,
    fingerprint: OnceCell<Fingerprint>,
    /// Whether it counts among what its organisation uses already.
    counted: Cell<bool>,
    /// Whether this instance may send it although it is held, until an engine has got it.
    pub on_trial: Cell<bool>,
    pub route: Rc<Route>,
    /// Who calls.
    pub principal: Principal,
    pub service: Service,
    /// When its caller, or the operator, no longer waits.
    pub until: Instant,
    pub begun: Instant,
    /// How long its caller had waited before it sent this.
    pub before: Duration,
}

/// Who calls, as far as the configuration asks for it.
#[derive(Clone, Debug)]
pub(crate) enum Principal {
    /// There are no organisations.
    Anyone,
    /// Somebody of no organisation, on a public route.
    Unnamed,
    /// Somebody of this organisation.
    Of(Rc<Organisation>),
}

impl Principal {
    /// By the key that a request bears; nothing if the route asks for a key and no organisation holds this one.
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

    /// The organisation, where there is one.
    pub(crate) fn organisation(&self) -> Option<&Organisation> {
        match self {
            Self::Of(organisation) => Some(organisation),
            Self::Anyone | Self::Unnamed => None,
        }
    }

    /// The organisation's name for logs; empty where there is none.
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

/// Why a request is answered at once.
pub(crate) struct Unserved {
    status: StatusCode,
    id: Option<String>,
    after: Option<Duration>,
    detail: &'static str,
    /// Version of the configuration that decided it; 0 before the first.
    configuration: Version,
}

impl Unserved {
    pub(crate) fn tell(&self) {
        log::info!(
            id = self.id.as_deref().unwrap_or_default(), status = self.status.as_u16(),
            after_ms:% = self.after.unwrap_or_default().as_millis(), why = self.detail,
            configuration = self.configuration;
            "answered at once"
        );
    }

    pub(crate) fn as_refusal(&self) -> Refusal<'_> {
        Refusal {
            status: self.status,
            id: self.id.as_deref(),
            after: self.after,
            detail: self.detail,
            ran: false,
        }
    }
}

/// When a caller may come back to an instance that knows no configuration or no engines yet. Another instance is
/// likely to know them.
const UNKNOWING_AFTER: Duration = Duration::from_millis(200);

impl Asked {
    pub(crate) fn new(
        instance: &Instance,
        arrival: Arrival,
        caller: IpAddr,
    ) -> Result<Self, Unserved> {
        let configuration = instance.table().map_or(0, |table| table.version);
        let call = ingress::parse_call(&arrival.head).map_err(|finding| Unserved {
            status: StatusCode::BAD_REQUEST,
            id: None,
            after: None,
            detail: finding.message(),
            configuration,
        })?;
        let unserved = |status, after, detail| Unserved {
            status,
            id: Some(call.id.clone()),
            after,
            detail,
            configuration,
        };
        let table = instance.table().ok_or_else(|| {
            let detail = "No configuration is known yet.";
            unserved(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(UNKNOWING_AFTER),
                detail,
            )
        })?;
        if !instance.engines_known.get() {
            let detail = "No engines are known yet.";
            return Err(unserved(
                StatusCode::SERVICE_UNAVAILABLE,
                Some(UNKNOWING_AFTER),
                detail,
            ));
        }
        let path = arrival.head.uri.path();
        let route = table
            .find(&call.host, path)
            .ok_or_else(|| unserved(NO_ROUTE, None, "No route matches."))?;
        let principal = Principal::of(&table, route, &arrival.head).ok_or_else(|| {
            if instance.is_current() {
                unserved(
                    StatusCode::UNAUTHORIZED,
                    None,
                    "No organisation holds the key.",
                )
            } else {
                let detail = "The key is not known here yet.";
                unserved(
                    StatusCode::SERVICE_UNAVAILABLE,
                    Some(UNKNOWING_AFTER),
                    detail,
                )
            }
        })?;
        let service = service(&table, route, &call);
        let patience = call
            .deadline
            .map_or(route.timeout, |d| d.min(route.timeout));
        let before = call.deadline.map_or(Duration::ZERO, |left| {
            let mut usual = instance.usual.borrow_mut();
            usual.estimate(&route.name, left, instance.now())
        });
        Ok(Self {
            until: arrival.begun + patience,
            before,
            begun: arrival.begun,
            route: route.clone(),
            principal,
            service,
            head: arrival.head,
            body: arrival.body,
            call,
            caller,
            fingerprint: OnceCell::new(),
            counted: Cell::new(false),
            on_trial: Cell::new(false),
        })
    }

    /// What its repeats share with it. Made when it is first asked for, since few calls need it.
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

    /// [`Asked::fingerprint`] as logs have it.
    pub(crate) fn fingerprint_text(&self) -> String {
        suspects::text(self.fingerprint())
    }

    /// What is remembered of it beyond its end.
    pub(crate) fn subject(&self) -> Subject {
        Subject {
            id: self.call.id.clone(),
            fingerprint: self.fingerprint(),
            caller: self.caller,
        }
    }

    /// Takes in that an engine began it at a moment. It counts once, however many engines it goes to.
    pub(crate) fn began(&self, instance: &Instance, at: UnixTime) {
        if let Some(organisation) = self.principal.organisation()
            && !self.counted.replace(true)
        {
            instance.used(&organisation.name, at);
        }
    }

    /// Its rank: that of its organisation, which goes before that of its route.
    pub(crate) fn priority(&self) -> Rank {
        let organisation = self.principal.organisation();
        let own = organisation.and_then(|organisation| organisation.priority);
        own.unwrap_or(self.route.priority)
    }

    pub(crate) fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }

    /// Time that the caller still waits for a first answer.
    pub(crate) fn first_left(&self) -> Duration {
        if !self.route.kind.is_stream() {
            return self.left();
        }
        let patience = self.route.event_timeout().saturating_sub(self.waited());
        patience.min(self.left())
    }

    pub(crate) fn waited(&self) -> Duration {
        self.begun.elapsed()
    }
}

/// The service of a call on a route with several: by the request's id, so that the same request
/// goes the same way at every instance.
fn service(table: &Table, route: &Route, call: &Call) -> Service {
    let drawn = serving::hash::unit_interval(&call.id).min(1.0 - f64::EPSILON);
    let name = route.service(drawn);
    table.service(name).cloned().unwrap_or_else(|| Service {
        name: name.clone(),
        connections: 1,
        model: None,
        range: None,
    })
}

/// What one attempt came to.
pub(crate) enum Tried {
    /// An answer to this request, up to its head.
    Answer(Box<Answered>),
    /// The engine certainly did not run it.
    NotRun(NotRun),
    /// It may have run.
    Lost(Failure),
}

/// Why an engine did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// The request never reached it.
    Unreachable,
    /// It refused for want of room.
    Full,
    /// It has ended, and another one has its address.
    Ended,
}

impl NotRun {
    /// Whether the request arrived at some engine, which the budget of repeats counts.
    pub(crate) fn arrived(self) -> bool {
        self != Self::Unreachable
    }

    pub(crate) fn outcome(self) -> Outcome {
        match self {
            Self::Unreachable => Outcome::Unreachable,
            Self::Full => Outcome::Overloaded,
            Self::Ended => Outcome::Ended,
        }
    }
}

/// Engines that may refuse one call before its caller is refused; each costs a repeat.
const REFUSALS: u32 = 2;
/// Engines that one call may not reach before its caller is refused. When a part of the fleet ends at once,
/// every call meets several of them within milliseconds, while the rest is well.
const UNREACHED: u32 = 8;

/// Sends of one call that came to nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rejections {
    refused: u32,
    unreached: u32,
}

impl Rejections {
    /// Counts one more, which arrived at an engine or not. Says whether another engine may be tried.
    pub(crate) fn may_go_on(&mut self, arrived: bool) -> bool {
        if arrived {
            self.refused += 1;
        } else {
            self.unreached += 1;
        }
        self.refused <= REFUSALS && self.unreached <= UNREACHED
    }
}

/// An engine's answer whose body is still to come.
pub(crate) struct Answered {
    pub head: ResponseHead,
    pub reply: Reply,
    pub framing: Framing,
    pub client: Client,
}

/// Answers to other requests that are read past on one connection before it is given up.
const FOREIGN: usize = 3;
/// Largest body of an answer that is held in memory, in bytes.
pub(crate) const MOST: usize = 8 * 1024 * 1024;

/// Sends a call to an engine and waits for the head of its answer.
pub(crate) async fn send(
    instance: &Instance,
    asked: &Asked,
    engine: &Record,
    sending: &RequestOptions<'_>,
) -> Tried {
    let client = match instance.pool.take(instance, engine).await {
        Ok(client) => client,
        Err(failure) => {
            log::info!(id = asked.call.id.as_str(), engine = &*engine.id, failure:% = failure; "no connection");
            return Tried::NotRun(NotRun::Unreachable);
        }
    };
    let sending = RequestOptions {
        caller: asked.principal.as_caller(),
        ..*sending
    };
    let head = upstream::request_head(&asked.head, &sending);
    // Engines of plain calls begin what they get; those of streams, with the first event.
    let (sent, sent_at) = (instance.unix(), instance.now());
    let is_plain = !asked.route.kind.is_stream();
    let exchanged = exchange(client, head, asked, &engine.name).await;
    if let Ok(Answered { reply, .. }) = &exchanged {
        limits::observe(instance, &engine.id, reply, sent_at);
    }
    match exchanged {
        Ok(answered) if answered.reply.was_not_run() => {
            let ended = answered.reply.is_misdirected();
            keep(instance, engine, answered).await;
            Tried::NotRun(if ended { NotRun::Ended } else { NotRun::Full })
        }
        Ok(answered) => {
            if is_plain {
                asked.began(instance, sent);
            }
            asked.on_trial.set(false);
            Tried::Answer(Box::new(answered))
        }
        Err(failure) if failure.not_sent() => Tried::NotRun(NotRun::Unreachable),
        Err(failure) => {
            // It may have run, and mostly has.
            if is_plain {
                asked.began(instance, sent);
            }
            asked.on_trial.set(false);
            Tried::Lost(failure)
        }
    }
}

/// Reads answers until one belongs to this request.
///
/// An engine may send an answer twice, or late, where the next one is expected. The caller of the
/// next request would get it as its own; one would notice it by a foreign id in the answer. The id
/// is compared before anything else is looked at.
async fn exchange(
    mut client: Client,
    head: RequestHead,
    asked: &Asked,
    instance: &str,
) -> Result<Answered, Failure> {
    let mut answer = client.send(head, &asked.body).await?;
    for _ in 0..FOREIGN {
        let reply = upstream::parse_reply(&answer.head, &asked.call.id, instance);
        if !reply.names_other_request {
            return Ok(Answered {
                head: answer.head,
                reply,
                framing: answer.framing,
                client,
            });
        }
        log::info!(id = asked.call.id.as_str(); "an answer to another request is read past");
        client.body(MOST).await?;
        answer = client.next_answer().await?;
    }
    Err(Failure::Broken("answers of other requests only"))
}

/// Reads an answer that is not passed on, so that its connection can be used again.
async fn keep(instance: &Instance, engine: &Record, mut answered: Answered) {
    if answered.framing != Framing::UntilClose && answered.client.body(MOST).await.is_ok() {
        give(instance, &engine.id, answered.client, &answered.reply);
    }
}

/// Keeps a connection for the next call.
pub(crate) fn give(instance: &Instance, engine: &EngineId, client: Client, reply: &Reply) {
    let now = instance.now();
    instance.pool.give(engine, client, reply.keep_alive, now);
}
