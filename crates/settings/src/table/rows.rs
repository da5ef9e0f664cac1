//! The rows of the table.

use super::{Row, ValueKind};

const fn required(key: &'static str, kind: ValueKind, meaning: &'static str) -> Row {
    Row {
        key,
        kind,
        default: None,
        required: true,
        environment: None,
        meaning,
    }
}

const fn optional(key: &'static str, kind: ValueKind, meaning: &'static str) -> Row {
    Row {
        key,
        kind,
        default: None,
        required: false,
        environment: None,
        meaning,
    }
}

const fn with_default(
    key: &'static str,
    kind: ValueKind,
    default: &'static str,
    meaning: &'static str,
) -> Row {
    Row {
        key,
        kind,
        default: Some(default),
        required: false,
        environment: None,
        meaning,
    }
}

const fn secret(key: &'static str, environment: &'static str, meaning: &'static str) -> Row {
    Row {
        key,
        kind: ValueKind::Text,
        default: None,
        required: false,
        environment: Some(environment),
        meaning,
    }
}

/// All settings, in the order of the settings page.
pub const ROWS: &[Row] = &[
    required(
        "instance.id",
        ValueKind::Text,
        "Id of this instance, unique in the fleet; it names the instance in the log, the instance list and the metrics.",
    ),
    required(
        "instance.data_centre",
        ValueKind::Text,
        "Data centre in which the instance runs; routing prefers upstreams of the same one.",
    ),
    with_default(
        "listen.address",
        ValueKind::Address,
        "0.0.0.0:8080",
        "Address for callers. Port 0 takes a free port, which the log names.",
    ),
    with_default(
        "listen.workers",
        ValueKind::Count,
        "1",
        "Threads of the data plane.",
    ),
    with_default(
        "listen.connections",
        ValueKind::Count,
        "8192",
        "Connections of callers that one worker holds at most; more wait in the backlog.",
    ),
    with_default(
        "listen.keep_alive",
        ValueKind::Duration,
        "75s",
        "How long an idle connection of a caller is kept.",
    ),
    with_default(
        "admin.address",
        ValueKind::Address,
        "127.0.0.1:8081",
        "Address of the administration API.",
    ),
    secret(
        "admin.token",
        "TARRAGON_ADMIN_TOKEN",
        "Bearer token of the administration API; without it the API is off.",
    ),
    with_default(
        "peer.address",
        ValueKind::Address,
        "0.0.0.0:8082",
        "UDP address for the other entries.",
    ),
    optional(
        "peer.advertise",
        ValueKind::Address,
        "Address under which the other entries reach this one, if it differs from `peer.address`.",
    ),
    optional(
        "peer.certificate",
        ValueKind::Text,
        "Path of the PEM file with this instance's certificate chain; without the three TLS files the mesh is off.",
    ),
    optional(
        "peer.key",
        ValueKind::Text,
        "Path of the PEM file with the private key of the certificate.",
    ),
    optional(
        "peer.authority",
        ValueKind::Text,
        "Path of the PEM file with the certificate authority that peers must present.",
    ),
    with_default(
        "peer.reload",
        ValueKind::Duration,
        "10s",
        "How often the three TLS files are looked at again, so that keys rotate without a restart.",
    ),
    with_default(
        "peer.heartbeat",
        ValueKind::Duration,
        "500ms",
        "Time between two heartbeats to a peer.",
    ),
    with_default(
        "peer.silence",
        ValueKind::Duration,
        "3s",
        "Silence after which a peer counts as not reachable.",
    ),
    required(
        "platform.log",
        ValueKind::Address,
        "Address of the platform's log.",
    ),
    optional(
        "platform.instances",
        ValueKind::Address,
        "Address of the instance list, if it differs from `platform.log`.",
    ),
    with_default(
        "platform.timeout",
        ValueKind::Duration,
        "2s",
        "Time limit of one call to the platform.",
    ),
    with_default(
        "platform.poll",
        ValueKind::Duration,
        "1s",
        "Time between two readings of the instance list.",
    ),
    with_default(
        "platform.retention",
        ValueKind::Duration,
        "1h",
        "How long the platform keeps a record; snapshots are written when a third of it has passed.",
    ),
    with_default(
        "lease.term",
        ValueKind::Duration,
        "3s",
        "Term of the lease on a pool's control.",
    ),
    with_default(
        "lease.renewal",
        ValueKind::Duration,
        "1s",
        "Time between two renewals of a lease.",
    ),
    with_default(
        "lease.margin",
        ValueKind::Duration,
        "500ms",
        "What a challenger waits beyond the term; it covers the drift between two clocks' rates.",
    ),
    with_default(
        "limits.deadline",
        ValueKind::Duration,
        "10m",
        "Longest deadline of a request; the contract of the catalogue entry may only shorten it.",
    ),
    with_default(
        "limits.body",
        ValueKind::Size,
        "8MiB",
        "Largest body of a request.",
    ),
    with_default(
        "limits.answer",
        ValueKind::Size,
        "16MiB",
        "Largest whole answer of an upstream that is buffered or held.",
    ),
    with_default(
        "limits.memory",
        ValueKind::Size,
        "512MiB",
        "Memory that bodies of requests and whole answers take together, with their copies (2 of a call's and of an answer, 3 of a completion's); those over 128KiB take three quarters of it at most. A body without room is refused with 503 and `Retry-After`; an answer waits for it, up to the call's deadline.",
    ),
    with_default(
        "limits.head",
        ValueKind::Size,
        "32KiB",
        "Largest sum of names and values of the headers of a request.",
    ),
    with_default(
        "limits.head_time",
        ValueKind::Duration,
        "5s",
        "Time that a caller has to send the head of a request.",
    ),
    with_default(
        "limits.body_time",
        ValueKind::Duration,
        "15s",
        "Longest silence of a caller in the middle of a body.",
    ),
    with_default(
        "upstream.connect",
        ValueKind::Duration,
        "500ms",
        "Time limit of a connection to an upstream; a call that waited for one was not run and goes to another.",
    ),
    with_default(
        "upstream.idle",
        ValueKind::Duration,
        "15s",
        "How long an idle connection to an upstream is kept.",
    ),
    with_default(
        "upstream.resume",
        ValueKind::Duration,
        "2s",
        "How long an entry tries to resume a broken stream at its engine before it gives the caller an error.",
    ),
    with_default(
        "hold.bytes",
        ValueKind::Size,
        "8MiB",
        "Memory for held answers of calls with an `Idempotency-Key`; the oldest are dropped first.",
    ),
    with_default(
        "hold.time",
        ValueKind::Duration,
        "10m",
        "How long an answer is held for a repeat.",
    ),
    secret(
        "resume.secret",
        "TARRAGON_RESUME_SECRET",
        "Secret shared by all entries, of at least 16 bytes, that authenticates the event ids of streams; without it streams resume at the same entry only.",
    ),
    with_default(
        "resume.time",
        ValueKind::Duration,
        "5m",
        "How long an event id may be used to resume its stream.",
    ),
    with_default(
        "shutdown.balancer",
        ValueKind::Duration,
        "5s",
        "Wait between readiness off and refusing new connections, so that the balancer notices.",
    ),
    with_default(
        "shutdown.limit",
        ValueKind::Duration,
        "60s",
        "Time within which the process ends after SIGTERM or SIGINT, whatever is still open.",
    ),
    with_default(
        "log.level",
        ValueKind::Level,
        "info",
        "Least level of the lines that are logged.",
    ),
    optional(
        "statsd.address",
        ValueKind::Address,
        "UDP address of the statsd collector; without it metrics go nowhere.",
    ),
    with_default(
        "statsd.prefix",
        ValueKind::Text,
        "tarragon",
        "Prefix of all metric names.",
    ),
];
