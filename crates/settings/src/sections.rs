//! The checked settings, with a struct for each section. The fields are described in
//! [`crate::table`] and in [docs/SETTINGS.md](../../../docs/SETTINGS.md).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

mod read;

/// All settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity of the process.
    pub instance: Instance,
    /// Listener for callers.
    pub listen: Listen,
    /// The administration API.
    pub admin: Admin,
    /// Mesh of entry instances.
    pub peer: Peer,
    /// Services of the platform.
    pub platform: Platform,
    /// Lease on the control of a pool.
    pub lease: Lease,
    /// Limits on requests and answers.
    pub limits: Limits,
    /// Connections to engines and plain services.
    pub upstream: Upstream,
    /// Held answers.
    pub hold: Hold,
    /// Resumption of streams.
    pub resume: Resume,
    /// Shutdown of the process.
    pub shutdown: Shutdown,
    /// Logging.
    pub log: Log,
    /// Metrics.
    pub statsd: Statsd,
    /// Overrides of the routing policy by key, checked by `entry`.
    pub policy: BTreeMap<String, String>,
}

/// Identity of the process.
#[derive(Clone, Debug)]
pub struct Instance {
    /// `instance.id`.
    pub id: String,
    /// `instance.data_centre`.
    pub data_centre: String,
}

/// Listener for callers.
#[derive(Clone, Debug)]
pub struct Listen {
    /// `listen.address`.
    pub address: SocketAddr,
    /// `listen.workers`.
    pub workers: usize,
    /// `listen.connections`.
    pub connections: usize,
    /// `listen.keep_alive`.
    pub keep_alive: Duration,
}

/// The administration API.
#[derive(Clone, Debug)]
pub struct Admin {
    /// `admin.address`.
    pub address: SocketAddr,
    /// `admin.token`; `None` disables the API.
    pub token: Option<Secret>,
}

/// Mesh of entry instances.
#[derive(Clone, Debug)]
pub struct Peer {
    /// `peer.address`.
    pub address: SocketAddr,
    /// `peer.advertise`.
    pub advertise: Option<SocketAddr>,
    /// The three TLS files; `None` disables the mesh.
    pub tls: Option<Tls>,
    /// `peer.reload`.
    pub reload: Duration,
    /// `peer.heartbeat`.
    pub heartbeat: Duration,
    /// `peer.silence`.
    pub silence: Duration,
}

/// Files for mutual TLS, in PEM format.
#[derive(Clone, Debug)]
pub struct Tls {
    /// `peer.certificate`.
    pub certificate: PathBuf,
    /// `peer.key`.
    pub key: PathBuf,
    /// `peer.authority`.
    pub authority: PathBuf,
}

/// Services of the platform.
#[derive(Clone, Debug)]
pub struct Platform {
    /// `platform.log`.
    pub log: SocketAddr,
    /// `platform.instances`; `platform.log` by default.
    pub instances: SocketAddr,
    /// `platform.timeout`.
    pub timeout: Duration,
    /// `platform.poll`.
    pub poll: Duration,
    /// `platform.retention`.
    pub retention: Duration,
}

/// Lease on the control of a pool.
#[derive(Clone, Debug)]
pub struct Lease {
    /// `lease.term`.
    pub term: Duration,
    /// `lease.renewal`.
    pub renewal: Duration,
    /// `lease.margin`.
    pub margin: Duration,
}

/// Limits on the size and time of requests and answers.
#[derive(Clone, Debug)]
pub struct Limits {
    /// `limits.deadline`.
    pub deadline: Duration,
    /// `limits.body`, in bytes.
    pub body: usize,
    /// `limits.answer`, in bytes.
    pub answer: usize,
    /// `limits.memory`, in bytes.
    pub memory: usize,
    /// `limits.head`, in bytes.
    pub head: usize,
    /// `limits.head_time`.
    pub head_time: Duration,
    /// `limits.body_time`.
    pub body_time: Duration,
}

/// Connections to engines and plain services.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// `upstream.connect`.
    pub connect: Duration,
    /// `upstream.idle`.
    pub idle: Duration,
    /// `upstream.resume`.
    pub resume: Duration,
}

/// Held answers of calls with an `Idempotency-Key`.
#[derive(Clone, Debug)]
pub struct Hold {
    /// `hold.bytes`.
    pub bytes: usize,
    /// `hold.time`.
    pub time: Duration,
}

/// Resumption of streams.
#[derive(Clone, Debug)]
pub struct Resume {
    /// `resume.secret`.
    pub secret: Option<Secret>,
    /// `resume.time`.
    pub time: Duration,
}

/// Shutdown of the process.
#[derive(Clone, Debug)]
pub struct Shutdown {
    /// `shutdown.balancer`.
    pub balancer: Duration,
    /// `shutdown.limit`.
    pub limit: Duration,
}

/// Logging.
#[derive(Clone, Debug)]
pub struct Log {
    /// `log.level`.
    pub level: String,
}

/// Metrics.
#[derive(Clone, Debug)]
pub struct Statsd {
    /// `statsd.address`.
    pub address: Option<SocketAddr>,
    /// `statsd.prefix`.
    pub prefix: String,
}

/// A secret, redacted in debug output.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(String);

impl Secret {
    /// Returns the bytes of the secret.
    pub fn expose(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl From<String> for Secret {
    fn from(text: String) -> Self {
        Self(text)
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("(secret)")
    }
}
