//! Counters and histograms of a process, and the page that serves them in the OpenMetrics text
//! format. Labels take few values each, whatever names callers and operators choose.
//! `docs/OPERATIONS.md`, section "Metrics", lists them.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use http1::Failure;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use serving::intake::Reason;
use serving::reachability::{Report, Verdict};

use crate::instance::Instance;
use crate::status;

mod labels;

use labels::Suspicion;
pub(crate) use labels::{
    ClosedUnread, Connect, End, EngineSource, ForwardAnswer, OrderAnswer, Origin, Pause,
    PlacementAnswer, Remembered, Suspect, Throttled,
};

/// Path of the page.
const PATH: &str = "/metrics";
/// Content type, as the format's specification requires.
const OPENMETRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Upper bounds of the latency histograms' buckets, in seconds: denser around the targets of the
/// users' routes, which lie between 0.1 and 0.8.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0,
];

/// Up to this many organisations, each has a label of its own; beyond, all share one.
const MAX_LABELLED_ORGANISATIONS: usize = 1_000;

/// One label name with its value.
type Labels<T> = [(&'static str, T); 1];

/// All metrics of a process.
pub(crate) struct Metrics {
    registry: Registry,
    plain_calls: Family<Labels<End>, Counter>,
    streams: Family<Labels<End>, Counter>,
    plain_call_time: Histogram,
    first_event_time: Histogram,
    orders: Family<Labels<OrderAnswer>, Counter>,
    organisation_requests: Family<Labels<String>, Counter>,
    usage_reports: Family<Labels<OrderAnswer>, Counter>,
    engine_orders: Family<Labels<OrderAnswer>, Counter>,
    placement_requests: Family<Labels<PlacementAnswer>, Counter>,
    resumed_streams: Family<Labels<Origin>, Counter>,
    store_failures: Counter,
    engine_changes: Family<Labels<EngineSource>, Counter>,
    engine_refusals: Family<Labels<Pause>, Counter>,
    engine_connections: Family<Labels<Connect>, Counter>,
    forward_requests: Family<Labels<ForwardAnswer>, Counter>,
    closed_unread: Family<Labels<ClosedUnread>, Counter>,
    isolated: Gauge,
    path_suspicions: Family<Labels<Suspicion>, Counter>,
    held_calls: Counter,
    throttled_calls: Family<Labels<Throttled>, Counter>,
    limited_engines: Gauge,
    refusals_over_share: Family<Labels<String>, Counter>,
    organisations_over_share: Family<Labels<String>, Gauge>,
    suspects: Family<Labels<Suspect>, Gauge>,
    remembered_streams: Family<Labels<Remembered>, Gauge>,
    configuration_version: Gauge,
    engines: Gauge,
    needed_engines: Family<Labels<String>, Gauge>,
    instances: Gauge,
    open_calls: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("tarragon"),
            plain_calls: Family::default(),
            streams: Family::default(),
            plain_call_time: Histogram::new(LATENCY_BUCKETS_S),
            first_event_time: Histogram::new(LATENCY_BUCKETS_S),
            orders: Family::default(),
            organisation_requests: Family::default(),
            usage_reports: Family::default(),
            engine_orders: Family::default(),
            placement_requests: Family::default(),
            resumed_streams: Family::default(),
            store_failures: Counter::default(),
            engine_changes: Family::default(),
            engine_refusals: Family::default(),
            engine_connections: Family::default(),
            forward_requests: Family::default(),
            closed_unread: Family::default(),
            isolated: Gauge::default(),
            path_suspicions: Family::default(),
            held_calls: Counter::default(),
            throttled_calls: Family::default(),
            limited_engines: Gauge::default(),
            refusals_over_share: Family::default(),
            organisations_over_share: Family::default(),
            suspects: Family::default(),
            remembered_streams: Family::default(),
            configuration_version: Gauge::default(),
            engines: Gauge::default(),
            needed_engines: Family::default(),
            instances: Gauge::default(),
            open_calls: Gauge::default(),
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
            self.plain_calls.clone(),
        );
        registry.register("streams", "Streams by how they ended", self.streams.clone());
        registry.register_with_unit(
            "plain_call",
            "Time from a plain call's arrival to its whole answer",
            Unit::Seconds,
            self.plain_call_time.clone(),
        );
        registry.register_with_unit(
            "first_event",
            "Time from a stream's request to its first event",
            Unit::Seconds,
            self.first_event_time.clone(),
        );
        registry.register("orders", "Orders to engines", self.orders.clone());
        registry.register(
            "organisation_requests",
            "Requests that engines began, by organisation",
            self.organisation_requests.clone(),
        );
        registry.register(
            "engine_orders",
            "Orders for how many engines there are",
            self.engine_orders.clone(),
        );
        registry.register(
            "usage_reports",
            "Reports of the use by organisations",
            self.usage_reports.clone(),
        );
        registry.register(
            "placement_questions",
            "Questions to instances that place calls",
            self.placement_requests.clone(),
        );
        registry.register(
            "resumed_streams",
            "Streams that callers resumed, by whether the version that began them is known",
            self.resumed_streams.clone(),
        );
        registry.register(
            "store_failures",
            "Reads of the store that failed",
            self.store_failures.clone(),
        );
        registry.register(
            "engine_changes",
            "Changes of engine records, by where they were learned",
            self.engine_changes.clone(),
        );
        registry.register(
            "engine_refusals",
            "Calls that engines turned away, by whether they want no more for a time",
            self.engine_refusals.clone(),
        );
        registry.register(
            "engine_connections",
            "Connections to engines, by whether they opened",
            self.engine_connections.clone(),
        );
        registry.register(
            "forward_requests",
            "Requests to other instances to send a call to its engine",
            self.forward_requests.clone(),
        );
        registry.register(
            "connections_closed_unread",
            "Connections of callers that were closed unread, by the limit that was reached",
            self.closed_unread.clone(),
        );
        registry.register(
            "isolated",
            "1 while no engine can be reached from this instance",
            self.isolated.clone(),
        );
        registry.register(
            "path_suspicions",
            "Suspected losses of this instance's paths to engines",
            self.path_suspicions.clone(),
        );
        registry.register(
            "held_calls",
            "Calls that were refused since engines had ended under them",
            self.held_calls.clone(),
        );
        registry.register(
            "throttled_calls",
            "Calls that waited for the rate limit of an engine, or were refused by such limits",
            self.throttled_calls.clone(),
        );
        registry.register(
            "limited_engines",
            "Engines that announce a rate limit",
            self.limited_engines.clone(),
        );
        registry.register(
            "refusals_over_share",
            "Calls refused because their organisation is over its share of a contended service",
            self.refusals_over_share.clone(),
        );
        registry.register(
            "organisations_over_share",
            "Organisations over their share of a contended service, as placers know it",
            self.organisations_over_share.clone(),
        );
        registry.register(
            "suspects",
            "Calls under which engines ended, that are held or go alone",
            self.suspects.clone(),
        );
        registry.register(
            "remembered_streams",
            "Streams of which this instance knows which software version began them",
            self.remembered_streams.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force; 0 before the first",
            self.configuration_version.clone(),
        );
        registry.register("engines", "Engines that take calls", self.engines.clone());
        registry.register(
            "needed_engines",
            "Engines that the measured load of a service needs; 0 while it is not known",
            self.needed_engines.clone(),
        );
        registry.register("instances", "Instances known", self.instances.clone());
        registry.register(
            "calls_in_hand",
            "Calls not answered yet",
            self.open_calls.clone(),
        );
    }

    /// Counts a plain call that has ended.
    pub(crate) fn plain_ended(&self, end: End, took: Duration) {
        self.plain_calls.get_or_create(&[("end", end)]).inc();
        if end == End::Served {
            self.plain_call_time.observe(took.as_secs_f64());
        }
    }

    /// Counts a stream that has ended.
    pub(crate) fn stream_ended(&self, end: End) {
        self.streams.get_or_create(&[("end", end)]).inc();
    }

    /// Records the time to a stream's first event.
    pub(crate) fn first_event(&self, took: Duration) {
        self.first_event_time.observe(took.as_secs_f64());
    }

    /// Counts an order to an engine.
    pub(crate) fn order_given(&self, what: OrderAnswer) {
        self.orders.get_or_create(&[("answer", what)]).inc();
    }

    /// Counts an order for a number of engines.
    pub(crate) fn engines_ordered(&self, what: OrderAnswer) {
        self.engine_orders.get_or_create(&[("answer", what)]).inc();
    }

    /// Counts a request of an organisation that an engine began.
    pub(crate) fn request_started(&self, organisation: &str, known: usize) {
        let is_named = known <= MAX_LABELLED_ORGANISATIONS;
        let label = if is_named { organisation } else { "any" };
        self.organisation_requests
            .get_or_create(&[("organisation", label.to_owned())])
            .inc();
    }

    /// Counts a report of a window's usage.
    pub(crate) fn usage_reported(&self, what: OrderAnswer) {
        self.usage_reports.get_or_create(&[("answer", what)]).inc();
    }

    /// Counts a placement request.
    pub(crate) fn placement_requested(&self, what: PlacementAnswer) {
        self.placement_requests
            .get_or_create(&[("answer", what)])
            .inc();
    }

    /// Counts a stream that a caller resumes.
    pub(crate) fn stream_resumed(&self, origin: Origin) {
        self.resumed_streams
            .get_or_create(&[("origin", origin)])
            .inc();
    }

    /// Counts a changed record of an engine.
    pub(crate) fn engine_changed(&self, source: EngineSource) {
        self.engine_changes
            .get_or_create(&[("source", source)])
            .inc();
    }

    /// Counts an attempt to open a connection to an engine.
    pub(crate) fn engine_connected(&self, failure: Option<&Failure>) {
        let result = match failure {
            None => Connect::Opened,
            Some(Failure::NotSent(error)) => match error.kind() {
                io::ErrorKind::ConnectionRefused => Connect::Refused,
                io::ErrorKind::TimedOut => Connect::TimedOut,
                _ => Connect::Failed,
            },
            Some(_) => Connect::Failed,
        };
        self.engine_connections
            .get_or_create(&[("result", result)])
            .inc();
    }

    /// Counts a request to another instance to send a call.
    pub(crate) fn forward_requested(&self, what: ForwardAnswer) {
        self.forward_requests
            .get_or_create(&[("answer", what)])
            .inc();
    }

    /// Counts a connection that was closed unread.
    pub(crate) fn connection_closed_unread(&self, reason: Reason) {
        let reason = ClosedUnread::from(reason);
        self.closed_unread
            .get_or_create(&[("reason", reason)])
            .inc();
    }

    /// Sets whether no engine can be reached from this instance.
    pub(crate) fn set_isolated(&self, is_isolated: bool) {
        self.isolated.set(i64::from(is_isolated));
    }

    /// Counts a suspected loss of paths, by what other instances said and what followed.
    pub(crate) fn path_suspected(&self, report: Report, verdict: Verdict) {
        let result = match (verdict, report) {
            (Verdict::Isolated(_), _) => Suspicion::Isolated,
            (Verdict::Engines, Report::Unknown) => Suspicion::Unknown,
            (Verdict::Engines, _) => Suspicion::Engines,
            (Verdict::Settled, _) => Suspicion::Settled,
        };
        self.path_suspicions
            .get_or_create(&[("result", result)])
            .inc();
    }

    /// Counts a call that an engine turned away.
    pub(crate) fn engine_refused(&self, names_pause: bool) {
        let pause = if names_pause {
            Pause::Requested
        } else {
            Pause::None
        };
        self.engine_refusals
            .get_or_create(&[("pause", pause)])
            .inc();
    }

    /// Counts a failed read of the store.
    pub(crate) fn store_read_failed(&self) {
        self.store_failures.inc();
    }

    /// Counts a call that was refused because engines crashed under it.
    pub(crate) fn call_held(&self) {
        self.held_calls.inc();
    }

    /// Counts a call that a rate limit delayed or refused.
    pub(crate) fn call_throttled(&self, what: Throttled) {
        self.throttled_calls
            .get_or_create(&[("outcome", what)])
            .inc();
    }

    /// Counts a call that is refused because its organisation is over its share.
    pub(crate) fn refused_over_share(&self, service: &str) {
        self.refusals_over_share
            .get_or_create(&[("service", service.to_owned())])
            .inc();
    }

    /// Renders the page, after setting the gauges to the present values.
    fn render(&self, instance: &Instance) -> Result<String, fmt::Error> {
        let version = instance.table().map_or(0, |table| table.version);
        self.configuration_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        let fleet = instance.fleet.borrow();
        let open = fleet.all().filter(|engine| engine.takes_calls()).count();
        self.engines.set(gauge_value(open));
        for (service, needed) in instance.claim_log.target_sizes().needed(instance.now()) {
            let labels = [("service", service.to_string())];
            self.needed_engines
                .get_or_create(&labels)
                .set(i64::from(needed));
        }
        self.limited_engines
            .set(gauge_value(fleet.throttles.count()));
        for (service, count) in fleet.shares.over_counts(instance.now()) {
            let gauge = self
                .organisations_over_share
                .get_or_create(&[("service", service.to_string())]);
            gauge.set(gauge_value(count));
        }
        let (held, alone) = instance.suspects.count();
        for (suspect, number) in [(Suspect::Held, held), (Suspect::Alone, alone)] {
            let gauge = self.suspects.get_or_create(&[("state", suspect)]);
            gauge.set(gauge_value(number));
        }
        let streams = instance.origins.counts();
        let sources = [
            (Remembered::Own, streams.own),
            (Remembered::Backup, streams.backup),
            (Remembered::Noted, streams.noted),
        ];
        for (source, number) in sources {
            let gauge = self.remembered_streams.get_or_create(&[("source", source)]);
            gauge.set(gauge_value(number));
        }
        self.instances
            .set(gauge_value(instance.peers.borrow().count()));
        self.open_calls
            .set(gauge_value(instance.lifecycle.open_calls()));
        let mut page = String::new();
        encode(&mut page, &self.registry)?;
        Ok(page)
    }
}

fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

/// Serves the page at a port of this instance until the process ends. Without the port the process
/// runs without metrics.
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
    match instance.metrics.render(instance) {
        Ok(page) => {
            let mut head = Response::with_body(StatusCode::OK, ());
            let text = HeaderValue::from_static(OPENMETRICS_TYPE);
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
