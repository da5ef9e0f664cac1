//! Counters and histograms of a process, and the page that serves them in the OpenMetrics text format.
//! Labels take few values each, whatever callers and operators name things. `docs/OPERATIONS.md`,
//! section "Metrics", lists them.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::instance::Instance;
use crate::status;

/// Path of the page.
const PATH: &str = "/metrics";
/// Its type, as the format's specification gives it.
const TEXT: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Upper bounds of the histograms' buckets, in seconds: denser around the targets of the users' routes,
/// which lie between 0.1 and 0.8.
const BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0,
];

/// Organisations up to which each has a count of its own; of more, all have one together.
const ORGANISATIONS: usize = 1_000;

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum End {
    /// With an engine's whole answer.
    Served,
    /// It has not run and will not.
    Refused,
    /// Without an answer; it may have run.
    Failed,
    /// Nobody waited any more.
    Late,
    /// Midway, or its caller left.
    Cut,
}

/// What an order to an engine came to.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Ordered {
    Taken,
    Refused,
    Unanswered,
}

/// What a question to an instance that places calls came to.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Asked {
    Placed,
    Declined,
    Silent,
}

/// What a rate limit of an engine does to a call.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Throttled {
    Waited,
    Refused,
}

/// What is done with a call under which engines ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) enum Suspect {
    Held,
    Alone,
}

macro_rules! labels {
    ($type:ident: $($value:ident = $text:literal),*) => {
        impl EncodeLabelValue for $type {
            fn encode(&self, encoder: &mut LabelValueEncoder) -> fmt::Result {
                match self {
                    $(Self::$value => $text.encode(encoder),)*
                }
            }
        }
    };
}

labels!(End: Served = "served", Refused = "refused", Failed = "failed", Late = "late", Cut = "cut");
labels!(Asked: Placed = "placed", Declined = "declined", Silent = "silent");
labels!(Suspect: Held = "held", Alone = "alone");
labels!(Throttled: Waited = "waited", Refused = "refused");
labels!(Ordered: Taken = "taken", Refused = "refused", Unanswered = "unanswered");

/// Label names with one value each.
type Labels<T> = [(&'static str, T); 1];

/// All metrics of a process.
pub(crate) struct Metrics {
    registry: Registry,
    plain: Family<Labels<End>, Counter>,
    streams: Family<Labels<End>, Counter>,
    plain_time: Histogram,
    first_time: Histogram,
    orders: Family<Labels<Ordered>, Counter>,
    begun: Family<Labels<String>, Counter>,
    reports: Family<Labels<Ordered>, Counter>,
    sizes: Family<Labels<Ordered>, Counter>,
    questions: Family<Labels<Asked>, Counter>,
    store_failures: Counter,
    held: Counter,
    throttled: Family<Labels<Throttled>, Counter>,
    limited: Gauge,
    suspects: Family<Labels<Suspect>, Gauge>,
    configuration: Gauge,
    engines: Gauge,
    instances: Gauge,
    in_hand: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("tarragon"),
            plain: Family::default(),
            streams: Family::default(),
            plain_time: Histogram::new(BUCKETS),
            first_time: Histogram::new(BUCKETS),
            orders: Family::default(),
            begun: Family::default(),
            reports: Family::default(),
            sizes: Family::default(),
            questions: Family::default(),
            store_failures: Counter::default(),
            held: Counter::default(),
            throttled: Family::default(),
            limited: Gauge::default(),
            suspects: Family::default(),
            configuration: Gauge::default(),
            engines: Gauge::default(),
            instances: Gauge::default(),
            in_hand: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "plain_calls",
            "Plain calls by how they ended",
            self.plain.clone(),
        );
        registry.register("streams", "Streams by how they ended", self.streams.clone());
        registry.register_with_unit(
            "plain_call",
            "Time from a plain call's arrival to its whole answer",
            Unit::Seconds,
            self.plain_time.clone(),
        );
        registry.register_with_unit(
            "first_event",
            "Time from a stream's request to its first event",
            Unit::Seconds,
            self.first_time.clone(),
        );
        registry.register("orders", "Orders to engines", self.orders.clone());
        registry.register(
            "organisation_requests",
            "Requests that engines began, by organisation",
            self.begun.clone(),
        );
        registry.register(
            "engine_orders",
            "Orders for how many engines there are",
            self.sizes.clone(),
        );
        registry.register(
            "usage_reports",
            "Reports of the use by organisations",
            self.reports.clone(),
        );
        registry.register(
            "placement_questions",
            "Questions to instances that place calls",
            self.questions.clone(),
        );
        registry.register(
            "store_failures",
            "Reads of the store that failed",
            self.store_failures.clone(),
        );
        registry.register(
            "held_calls",
            "Calls that were refused since engines had ended under them",
            self.held.clone(),
        );
        registry.register(
            "throttled_calls",
            "Calls that waited for the rate limit of an engine, or were refused by such limits",
            self.throttled.clone(),
        );
        registry.register(
            "limited_engines",
            "Engines that announce a rate limit",
            self.limited.clone(),
        );
        registry.register(
            "suspects",
            "Calls under which engines ended, that are held or go alone",
            self.suspects.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force; 0 before the first",
            self.configuration.clone(),
        );
        registry.register("engines", "Engines that take calls", self.engines.clone());
        registry.register("instances", "Instances known", self.instances.clone());
        registry.register(
            "calls_in_hand",
            "Calls not answered yet",
            self.in_hand.clone(),
        );
    }

    /// A plain call has ended.
    pub(crate) fn plain(&self, end: End, took: Duration) {
        self.plain.get_or_create(&[("end", end)]).inc();
        if end == End::Served {
            self.plain_time.observe(took.as_secs_f64());
        }
    }

    /// A stream has ended.
    pub(crate) fn stream(&self, end: End) {
        self.streams.get_or_create(&[("end", end)]).inc();
    }

    /// A stream's first event has left.
    pub(crate) fn first_event(&self, took: Duration) {
        self.first_time.observe(took.as_secs_f64());
    }

    /// An order was given.
    pub(crate) fn ordered(&self, what: Ordered) {
        self.orders.get_or_create(&[("answer", what)]).inc();
    }

    /// A number of engines was ordered.
    pub(crate) fn sized(&self, what: Ordered) {
        self.sizes.get_or_create(&[("answer", what)]).inc();
    }

    /// An engine began a request of an organisation.
    pub(crate) fn begun(&self, organisation: &str, known: usize) {
        let is_named = known <= ORGANISATIONS;
        let label = if is_named { organisation } else { "any" };
        self.begun
            .get_or_create(&[("organisation", label.to_owned())])
            .inc();
    }

    /// The use of a window was reported.
    pub(crate) fn reported(&self, what: Ordered) {
        self.reports.get_or_create(&[("answer", what)]).inc();
    }

    /// An instance that places calls was asked.
    pub(crate) fn asked(&self, what: Asked) {
        self.questions.get_or_create(&[("answer", what)]).inc();
    }

    /// A read of the store failed.
    pub(crate) fn store_failed(&self) {
        self.store_failures.inc();
    }

    /// A call was refused since engines had ended under it.
    pub(crate) fn held(&self) {
        self.held.inc();
    }

    /// A rate limit of an engine held a call up.
    pub(crate) fn throttled(&self, what: Throttled) {
        self.throttled.get_or_create(&[("outcome", what)]).inc();
    }

    /// The page, with the present values of what is not counted as it happens.
    fn page(&self, instance: &Instance) -> Result<String, fmt::Error> {
        let version = instance.table().map_or(0, |table| table.version);
        self.configuration
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        let fleet = instance.fleet.borrow();
        let open = fleet.all().filter(|engine| engine.takes_calls()).count();
        self.engines.set(count(open));
        self.limited.set(count(fleet.throttles.count()));
        let (held, alone) = instance.suspects.count();
        for (suspect, number) in [(Suspect::Held, held), (Suspect::Alone, alone)] {
            let gauge = self.suspects.get_or_create(&[("state", suspect)]);
            gauge.set(count(number));
        }
        self.instances.set(count(instance.peers.borrow().count()));
        self.in_hand.set(count(instance.phase.open_calls()));
        let mut page = String::new();
        encode(&mut page, &self.registry)?;
        Ok(page)
    }
}

fn count(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Serves the page at a port of this instance until the process ends. A port that cannot be had costs
/// the page and no calls.
pub(crate) fn start(instance: &Rc<Instance>, port: u16) {
    let address = SocketAddr::new(instance.address.ip(), port);
    match http1::listen(address) {
        Ok(listener) => drop(actix_rt::spawn(status::serve(
            instance.clone(),
            listener,
            reply,
        ))),
        Err(error) => log::error!(address:% = address, error:% = error; "metrics are not served"),
    }
}

fn reply(instance: &Instance, path: &str) -> (Response<()>, Bytes) {
    if path != PATH {
        return (Response::with_body(StatusCode::NOT_FOUND, ()), Bytes::new());
    }
    match instance.metrics.page(instance) {
        Ok(page) => {
            let mut head = Response::with_body(StatusCode::OK, ());
            let text = HeaderValue::from_static(TEXT);
            head.headers_mut().insert(CONTENT_TYPE, text);
            (head, Bytes::from(page))
        }
        Err(error) => {
            log::error!(error:% = error; "metrics cannot be written");
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            (Response::with_body(status, ()), Bytes::new())
        }
    }
}
