//! Reads the sections from their source and checks relations between settings.

use std::time::Duration;

use super::{
    Admin, Hold, Instance, Lease, Limits, Listen, Log, Peer, Platform, Resume, Secret, Settings,
    Shutdown, Statsd, Tls, Upstream,
};
use crate::finding::Findings;
use crate::reader::Reader;
use crate::source::Source;
use crate::table;

/// Minimum time limit for callers. The clock of the HTTP library advances in steps of half a
/// second, so a shorter limit may have expired when a connection begins.
const MIN_HTTP_TIMEOUT: Duration = Duration::from_secs(1);

/// Times that memory has to exceed a body, a whole answer and all held answers, so that the largest fits with
/// its copies into the part that is left to large ones.
const BODIES_IN_MEMORY: usize = 5;
const ANSWERS_IN_MEMORY: usize = 3;
const HELD_IN_MEMORY: usize = 4;

/// Minimum length of the secret that authenticates event ids.
const MIN_SECRET_BYTES: usize = 16;

impl TryFrom<Source> for Settings {
    type Error = Findings;

    fn try_from(source: Source) -> Result<Self, Findings> {
        let mut reader = Reader::new(source);
        let settings = read(&mut reader);
        check_relations(&settings, &mut reader);
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
        listen: read_listen(reader),
        admin: Admin {
            address: reader.address("admin.address"),
            token: reader.optional_text("admin.token").map(Secret),
        },
        peer: read_peer(reader),
        platform: read_platform(reader),
        lease: read_lease(reader),
        limits: read_limits(reader),
        upstream: read_upstream(reader),
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

fn read_listen(reader: &mut Reader) -> Listen {
    Listen {
        address: reader.address("listen.address"),
        workers: reader.count("listen.workers"),
        connections: reader.count("listen.connections"),
        keep_alive: reader.duration("listen.keep_alive"),
    }
}

fn read_lease(reader: &mut Reader) -> Lease {
    Lease {
        term: reader.duration("lease.term"),
        renewal: reader.duration("lease.renewal"),
        margin: reader.duration("lease.margin"),
    }
}

fn read_upstream(reader: &mut Reader) -> Upstream {
    Upstream {
        connect: reader.duration("upstream.connect"),
        idle: reader.duration("upstream.idle"),
        resume: reader.duration("upstream.resume"),
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
            reader.report_contradiction(
                "peer.certificate",
                "peer.certificate, peer.key and peer.authority must be given together or not at all",
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
        memory: reader.size("limits.memory"),
        head: reader.size("limits.head"),
        head_time: reader.duration("limits.head_time"),
        body_time: reader.duration("limits.body_time"),
    }
}

/// Reports settings that are valid alone but not in combination, and those below a minimum.
fn check_relations(settings: &Settings, reader: &mut Reader) {
    if settings.lease.renewal * 2 > settings.lease.term {
        reader.report_contradiction(
            "lease.renewal",
            "lease.renewal must be at most half of lease.term, or one lost renewal ends the lease",
        );
    }
    if settings.peer.heartbeat * 3 > settings.peer.silence {
        reader.report_contradiction(
            "peer.heartbeat",
            "peer.heartbeat must be at most a third of peer.silence, or one lost datagram counts as silence",
        );
    }
    if settings.shutdown.balancer >= settings.shutdown.limit {
        reader.report_contradiction(
            "shutdown.balancer",
            "shutdown.balancer must be shorter than shutdown.limit, or no time is left for open requests",
        );
    }
    let needs = [
        settings.limits.body.saturating_mul(BODIES_IN_MEMORY),
        settings.limits.answer.saturating_mul(ANSWERS_IN_MEMORY),
        settings.hold.bytes.saturating_mul(HELD_IN_MEMORY),
    ];
    if needs.iter().any(|need| *need > settings.limits.memory) {
        reader.report_contradiction(
            "limits.memory",
            "limits.memory must be at least five times limits.body, three times limits.answer and four times hold.bytes, or the largest never fit",
        );
    }
    if settings.limits.head_time < MIN_HTTP_TIMEOUT {
        reader.report_contradiction("limits.head_time", "limits.head_time must be at least 1s");
    }
    if settings.listen.keep_alive < MIN_HTTP_TIMEOUT {
        reader.report_contradiction("listen.keep_alive", "listen.keep_alive must be at least 1s");
    }
    let short = |secret: &Secret| secret.expose().len() < MIN_SECRET_BYTES;
    if settings.resume.secret.as_ref().is_some_and(short) {
        reader.report_contradiction("resume.secret", "resume.secret must have at least 16 bytes");
    }
}
