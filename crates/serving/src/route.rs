//! Routes and services of one version of the configuration.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::ServiceName;
use crate::organisation::Directory;
use crate::scaling::Range;

/// Version of a configuration; a newer one is larger.
pub type Version = u64;

/// What may be repeated of the calls of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run any number of times.
    Safe,
    /// May run once.
    Unsafe,
    /// Answers in events.
    Stream {
        /// Whether another engine may go on after the last event.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a call that may have run may be sent again from its beginning.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether answers come in events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's part of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Where the calls go.
    pub service: ServiceName,
    /// In proportion to the other shares.
    pub weight: u32,
}

/// Where calls with a certain host and path go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// For logs.
    pub name: String,
    /// Begins the path; ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest that a caller is kept waiting.
    pub timeout: Duration,
    /// The first answer earns its full benefit within this time.
    pub latency_target: Duration,
    /// The longest pause between events that is still on time.
    pub max_gap: Option<Duration>,
    /// Engines on which one call may run.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
    /// Services and their weights; at least one.
    pub shares: SmallVec<[Share; 2]>,
}

/// Shortest time that callers of a stream wait for an event.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Callers of a stream wait this many times the target for an event, if that is longer.
const EVENT_TIMEOUT_TARGETS: u32 = 4;
/// Or this many times the longest pause that is on time.
const EVENT_TIMEOUT_GAPS: u32 = 8;

impl Route {
    /// How long callers wait for the first event of a stream, or for the next one. Origin: the
    /// users' page on streams; a call whose first event comes later is work for nobody.
    pub fn event_timeout(&self) -> Duration {
        let by_target = self.latency_target * EVENT_TIMEOUT_TARGETS;
        let by_gap = self.max_gap.unwrap_or_default() * EVENT_TIMEOUT_GAPS;
        MIN_EVENT_TIMEOUT.max(by_target).max(by_gap)
    }

    /// The service for a call, by a number drawn evenly from 0 to 1.
    pub fn service(&self, drawn: f64) -> &ServiceName {
        let sum: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = drawn * f64::from(sum);
        for share in &self.shares {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return &share.service;
            }
        }
        &self.shares[0].service
    }
}

/// What a service's engines can do beyond answering calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    /// Tokens that an engine's memory holds.
    pub kv_capacity_tokens: u64,
    /// Bytes of memory a token takes.
    pub kv_bytes_per_token: u64,
    /// Rate of the link that moves memory, in megabits a second.
    pub link_mbps: f64,
    /// How long a prompt that was read for another engine is kept.
    pub handle_ttl: Duration,
    /// Whether a run's memory can be copied to another engine while it runs.
    pub backups: bool,
}

/// Engines that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one engine takes from all callers.
    pub connections: usize,
    /// Set where its engines are model engines.
    pub model: Option<Model>,
    /// Set where the number of its engines is ordered.
    pub range: Option<Range>,
}

/// Limits of what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head.
    pub head_timeout: Duration,
    /// Longest silence between two requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Values in force until a configuration names others.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration, ready for look-ups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Its version.
    pub version: Version,
    /// What callers may send.
    pub limits: Limits,
    /// Who may call; missing where callers need no keys.
    pub organisations: Option<Directory>,
    hosts: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<ServiceName, Service>,
}

impl Table {
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

    /// The table with organisations, whose keys callers need on all routes that are not public.
    pub fn with_organisations(self, organisations: Option<Directory>) -> Self {
        Self {
            organisations,
            ..self
        }
    }

    /// The route with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        self.hosts
            .get(host)?
            .iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Connections that an engine of the service with the fewest takes.
    pub fn fewest_connections(&self) -> Option<usize> {
        self.services
            .values()
            .map(|service| service.connections)
            .min()
    }

    /// Services whose numbers of engines are ordered.
    pub fn ranges(&self) -> impl Iterator<Item = (&ServiceName, &Range)> {
        let services = self.services.values();
        services.filter_map(|service| Some((&service.name, service.range.as_ref()?)))
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}
