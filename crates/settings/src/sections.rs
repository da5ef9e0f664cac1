//! The checked settings, a struct per section. The meaning of each field stands in
//! [`crate::table`] and in [docs/SETTINGS.md](../../../docs/SETTINGS.md).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::finding::Findings;
use crate::reader::Reader;
use crate::source::Source;
use crate::table;

/// All settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who the process is.
    pub instance: Instance,
    /// Towards callers.
    pub listen: Listen,
    /// The administration API.
    pub admin: Admin,
    /// Towards the other entries.
    pub peer: Peer,
    /// The platform's services.
    pub platform: Platform,
    /// The lease on control.
    pub lease: Lease,
    /// What a caller may send.
    pub limits: Limits,
    /// Towards engines and plain services.
    pub upstream: Upstream,
    /// Held answers.
    pub hold: Hold,
    /// Resumption of streams.
    pub resume: Resume,
    /// The end of the process.
    pub shutdown: Shutdown,
    /// Logging.
    pub log: Log,
    /// Metrics.
    pub statsd: Statsd,
    /// Overrides of the routing policy, by key; `routing` checks them.
    pub policy: BTreeMap<String, String>,
}

/// Who the process is.
#[derive(Clone, Debug)]
pub struct Instance {
    /// `instance.id`.
    pub id: String,
    /// `instance.data_centre`.
    pub data_centre: String,
}

/// Towards callers.
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
    /// `admin.token`; `None` turns the API off.
    pub token: Option<Secret>,
}

/// Towards the other entries.
#[derive(Clone, Debug)]
pub struct Peer {
    /// `peer.address`.
    pub address: SocketAddr,
    /// `peer.advertise`.
    pub advertise: Option<SocketAddr>,
    /// The three TLS files; `None` turns the mesh off.
    pub tls: Option<Tls>,
    /// `peer.reload`.
    pub reload: Duration,
    /// `peer.heartbeat`.
    pub heartbeat: Duration,
    /// `peer.silence`.
    pub silence: Duration,
}

/// The files of mutual TLS, all PEM.
#[derive(Clone, Debug)]
pub struct Tls {
    /// `peer.certificate`.
    pub certificate: PathBuf,
    /// `peer.key`.
    pub key: PathBuf,
    /// `peer.authority`.
    pub authority: PathBuf,
}

/// The platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    /// `platform.log`.
    pub log: SocketAddr,
    /// `platform.instances`, by default the log's.
    pub instances: SocketAddr,
    /// `platform.timeout`.
    pub timeout: Duration,
    /// `platform.poll`.
    pub poll: Duration,
    /// `platform.retention`.
    pub retention: Duration,
}

/// The lease on control.
#[derive(Clone, Debug)]
pub struct Lease {
    /// `lease.term`.
    pub term: Duration,
    /// `lease.renewal`.
    pub renewal: Duration,
    /// `lease.margin`.
    pub margin: Duration,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Debug)]
pub struct Limits {
    /// `limits.deadline`.
    pub deadline: Duration,
    /// `limits.body`, in bytes.
    pub body: usize,
    /// `limits.answer`, in bytes.
    pub answer: usize,
    /// `limits.head`, in bytes.
    pub head: usize,
    /// `limits.head_time`.
    pub head_time: Duration,
    /// `limits.body_time`.
    pub body_time: Duration,
}

/// Towards engines and plain services.
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

/// The end of the process.
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

/// A secret, which never shows in logs.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(String);

impl Secret {
    /// The secret's bytes.
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

/// Shortest time limit towards callers. The HTTP library counts such times from a clock that moves
/// in steps of half a second, so that a shorter limit may be over when a connection begins.
const LEAST_HTTP_TIME: Duration = Duration::from_secs(1);

/// Shortest secret that authenticates event ids, in bytes.
const LEAST_SECRET: usize = 16;

impl TryFrom<Source> for Settings {
    type Error = Findings;

    fn try_from(source: Source) -> Result<Self, Findings> {
        let mut reader = Reader::new(source);
        let settings = read(&mut reader);
        relate(&settings, &mut reader);
        let findings = reader.finish();
        if findings.is_empty() {
            Ok(settings)
        } else {
            Err(Findings(findings))
        }
    }
}

fn read(reader: &mut Reader) -> Settings {
    Settings {
        instance: Instance {
            id: reader.text("instance.id"),
            data_centre: reader.text("instance.data_centre"),
        },
        listen: Listen {
            address: reader.address("listen.address"),
            workers: reader.count("listen.workers"),
            connections: reader.count("listen.connections"),
            keep_alive: reader.duration("listen.keep_alive"),
        },
        admin: Admin {
            address: reader.address("admin.address"),
            token: reader.optional_text("admin.token").map(Secret),
        },
        peer: read_peer(reader),
        platform: read_platform(reader),
        lease: Lease {
            term: reader.duration("lease.term"),
            renewal: reader.duration("lease.renewal"),
            margin: reader.duration("lease.margin"),
        },
        limits: read_limits(reader),
        upstream: Upstream {
            connect: reader.duration("upstream.connect"),
            idle: reader.duration("upstream.idle"),
            resume: reader.duration("upstream.resume"),
        },
        hold: Hold {
            bytes: reader.size("hold.bytes"),
            time: reader.duration("hold.time"),
        },
        resume: Resume {
            secret: reader.optional_text("resume.secret").map(Secret),
            time: reader.duration("resume.time"),
        },
        shutdown: Shutdown {
            balancer: reader.duration("shutdown.balancer"),
            limit: reader.duration("shutdown.limit"),
        },
        log: Log {
            level: reader.level("log.level"),
        },
        statsd: Statsd {
            address: reader.optional_address("statsd.address"),
            prefix: reader.text("statsd.prefix"),
        },
        policy: reader
            .section(table::POLICY)
            .into_iter()
            .map(|(key, given)| (key, given.text))
            .collect(),
    }
}

fn read_peer(reader: &mut Reader) -> Peer {
    Peer {
        address: reader.address("peer.address"),
        advertise: reader.optional_address("peer.advertise"),
        tls: read_tls(reader),
        reload: reader.duration("peer.reload"),
        heartbeat: reader.duration("peer.heartbeat"),
        silence: reader.duration("peer.silence"),
    }
}

fn read_tls(reader: &mut Reader) -> Option<Tls> {
    let certificate = reader.optional_text("peer.certificate");
    let key = reader.optional_text("peer.key");
    let authority = reader.optional_text("peer.authority");
    match (certificate, key, authority) {
        (Some(certificate), Some(key), Some(authority)) => Some(Tls {
            certificate: certificate.into(),
            key: key.into(),
            authority: authority.into(),
        }),
        (None, None, None) => None,
        _ => {
            reader.contradiction(
                "peer.certificate",
                "peer.certificate, peer.key and peer.authority are given all three or not at all",
            );
            None
        }
    }
}

fn read_platform(reader: &mut Reader) -> Platform {
    let log = reader.address("platform.log");
    Platform {
        log,
        instances: reader.optional_address("platform.instances").unwrap_or(log),
        timeout: reader.duration("platform.timeout"),
        poll: reader.duration("platform.poll"),
        retention: reader.duration("platform.retention"),
    }
}

fn read_limits(reader: &mut Reader) -> Limits {
    Limits {
        deadline: reader.duration("limits.deadline"),
        body: reader.size("limits.body"),
        answer: reader.size("limits.answer"),
        head: reader.size("limits.head"),
        head_time: reader.duration("limits.head_time"),
        body_time: reader.duration("limits.body_time"),
    }
}

/// Settings that are fine alone and wrong together.
fn relate(settings: &Settings, reader: &mut Reader) {
    if settings.lease.renewal * 2 > settings.lease.term {
        reader.contradiction(
            "lease.renewal",
            "lease.renewal is at most half of lease.term, or one lost renewal ends the lease",
        );
    }
    if settings.peer.heartbeat * 3 > settings.peer.silence {
        reader.contradiction(
            "peer.heartbeat",
            "peer.heartbeat is at most a third of peer.silence, or one lost datagram looks like silence",
        );
    }
    if settings.shutdown.balancer >= settings.shutdown.limit {
        reader.contradiction(
            "shutdown.balancer",
            "shutdown.balancer is shorter than shutdown.limit, or no time is left for work in hand",
        );
    }
    if settings.limits.head_time < LEAST_HTTP_TIME {
        reader.contradiction("limits.head_time", "limits.head_time is at least 1s");
    }
    if settings.listen.keep_alive < LEAST_HTTP_TIME {
        reader.contradiction("listen.keep_alive", "listen.keep_alive is at least 1s");
    }
    let short = |secret: &Secret| secret.expose().len() < LEAST_SECRET;
    if settings.resume.secret.as_ref().is_some_and(short) {
        reader.contradiction("resume.secret", "resume.secret has at least 16 bytes");
    }
}
