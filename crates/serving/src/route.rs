//! Routes, services and limits of one version of the configuration.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::ServiceName;
use crate::organisation::Directory;
use crate::scaling::Range;

/// Version of a configuration; newer versions are larger.
pub type Version = u64;

/// The repetition semantics of a route's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Safe,
    /// May run at most once.
    Unsafe,
    /// Answers in a stream of events.
    Stream {
        /// Whether another engine may continue after the last event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a call that may have run may be sent again from its beginning.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether another engine may go on with a stream after an event.
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
    }

    /// Whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's share of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the other shares.
    pub weight: u32,
}

/// The calls with a certain host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// Prefix of the path; ends with a slash.
    pub prefix: String,
    /// Repetition semantics.
    pub kind: Kind,
    /// Longest time that a caller waits.
    pub timeout: Duration,
    /// Time within which the first answer earns its full benefit.
    pub latency_target: Duration,
    /// Longest pause between events that is on time.
    pub max_gap: Option<Duration>,
    /// Number of engines on which one call may run.
    pub max_attempts: u32,
    /// Scheduling rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
    /// Services and their weights; at least one.
    pub shares: SmallVec<[Share; 2]>,
}

/// Least timeout for an event of a stream.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for an event as a multiple of the latency target, if that is longer.
const EVENT_TIMEOUT_TARGETS: u32 = 4;
/// Timeout for an event as a multiple of the longest allowed pause, if that is longer.
const EVENT_TIMEOUT_GAPS: u32 = 8;

impl Route {
    /// How long callers wait for the first or next event of a stream, by the users' page on
    /// streams; a call whose first event comes later is work for nobody.
    pub fn event_timeout(&self) -> Duration {
        let by_target = self.latency_target * EVENT_TIMEOUT_TARGETS;
        let by_gap = self.max_gap.unwrap_or_default() * EVENT_TIMEOUT_GAPS;
        MIN_EVENT_TIMEOUT.max(by_target).max(by_gap)
    }

    /// The service for a call, by a random number from 0 to 1.
    pub fn service(&self, drawn: f64) -> &ServiceName {
        let weights = self.shares.iter().map(|share| f64::from(share.weight));
        let mut remaining = drawn * weights.sum::<f64>();
        for share in &self.shares {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return &share.service;
            }
        }
        &self.shares[0].service
    }
}

/// Properties of a service whose engines run a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    /// Capacity of an engine's KV cache in tokens.
    pub kv_capacity_tokens: u64,
    /// Bytes of KV cache per token.
    pub kv_bytes_per_token: u64,
    /// Rate of the link that transfers KV caches, in megabits per second.
    pub link_mbps: f64,
    /// How long a prompt that was read for another engine is kept.
    pub handle_ttl: Duration,
    /// Whether the KV cache of a running call can be copied to another engine.
    pub backups: bool,
}

/// A group of engines that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one engine accepts from all callers.
    pub connections: usize,
    /// Set if its engines run a model.
    pub model: Option<Model>,
    /// Set if the number of its engines is ordered.
    pub range: Option<Range>,
}

/// Limits of what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a head.
    pub head_timeout: Duration,
    /// Longest silence between two requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The limits in force until a configuration names others.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration, indexed for look-ups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Its version.
    pub version: Version,
    /// Limits of what callers may send.
    pub limits: Limits,
    /// Organisations that may call; `None` if callers need no keys.
    pub organisations: Option<Directory>,
    hosts: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<ServiceName, Service>,
}

impl Table {
    /// The shortest latency target of a route, if there is a route.
    pub fn shortest_latency_target(&self) -> Option<Duration> {
        let routes = self.hosts.values().flatten();
        routes.map(|route| route.latency_target).min()
    }

    /// A table of routes by host, and of services.
    pub fn new(
        version: Version,
        limits: Limits,
        routes: Vec<(String, Route)>,
        services: Vec<Service>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for (host, route) in routes {
            hosts.entry(host).or_default().push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        Self {
            version,
            limits,
            organisations: None,
            hosts,
            services,
        }
    }

    /// The table with the organisations whose keys callers need on all routes that are not public.
    pub fn with_organisations(self, organisations: Option<Directory>) -> Self {
        Self {
            organisations,
            ..self
        }
    }

    /// The route with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        self.hosts
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// The smallest number of connections that an engine of any service accepts.
    pub fn fewest_connections(&self) -> Option<usize> {
        self.services
            .values()
            .map(|service| service.connections)
            .min()
    }

    /// Services whose number of engines is ordered.
    pub fn ranges(&self) -> impl Iterator<Item = (&ServiceName, &Range)> {
        let services = self.services.values();
        services.filter_map(|service| Some((&service.name, service.range.as_ref()?)))
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}
