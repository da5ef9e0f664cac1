//! Callers: each sends calls one at a time and reuses its connection while it is open.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http1::{Client, Failure, TcpTimeouts};
use platform_standin::request::{self, FORGED_HEADERS, ResponseSummary};
use rand::RngExt as _;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep, timeout};

use crate::cluster::{Cluster, FATAL_PATH, ORGANISATIONS, key};
use crate::history::{Call, CallOutcome, RequestKind};
use crate::plan;

/// Deadline that a caller gives the gateway.
const DEADLINE_MS: u32 = 3_000;
/// Time until a caller gives up: the deadline plus the time that a late answer takes on a busy
/// machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest pause between two calls of a caller.
const MAX_PAUSE_MS: u64 = 60;
/// Longest pause between two repeats of the call that crashes engines.
const MAX_FATAL_PAUSE_MS: u64 = 300;
/// One call in this many carries forged headers, and one in as many is abandoned early.
const UNUSUAL_CALL_EVERY: u32 = 12;
/// One resumable call in this many is replaced by a call with an unknown key.
const KEYLESS_EVERY: u64 = 3;
/// Largest body of an answer.
const MAX_BODY_BYTES: usize = 1 << 16;

const PATIENCE: TcpTimeouts = TcpTimeouts {
    connect: Duration::from_secs(2),
    acknowledge: CALL_TIMEOUT,
    probe_interval: CALL_TIMEOUT,
    probe_count: 1,
};

/// Whether callers continue to send.
#[derive(Debug, Default)]
pub struct Running(Cell<bool>);

impl Running {
    /// Callers send until [`Running::stop`].
    pub fn new() -> Self {
        Self(Cell::new(true))
    }

    /// Stops callers after their current call.
    pub fn stop(&self) {
        self.0.set(false);
    }
}

/// A caller.
pub struct Caller {
    cluster: Rc<Cluster>,
    name: String,
    organisation: &'static str,
    started: Instant,
    rng: StdRng,
    calls_sent: u64,
    /// Open connection, with the gateway's index and number of starts.
    connection: Option<(Client, usize, u32)>,
}

impl Caller {
    /// Creates a caller whose request ids are unique to the run.
    pub fn new(cluster: &Rc<Cluster>, seed: u64, number: u64, started: Instant) -> Self {
        Self {
            cluster: cluster.clone(),
            name: format!("{:08x}{number:02x}", plan::run_id(seed) >> 32),
            organisation: ORGANISATIONS[usize::from(number % 2 == 1)],
            started,
            rng: plan::caller_rng(seed, number),
            calls_sent: 0,
            connection: None,
        }
    }

    /// Sends calls until stopped.
    pub async fn run(mut self, running: Rc<Running>) {
        while running.0.get() {
            let number = self.rng.random_range(0..self.cluster.instances.len());
            let kind = self.draw_kind();
            self.call(number, kind).await;
            sleep(Duration::from_millis(
                self.rng.random_range(0..MAX_PAUSE_MS),
            ))
            .await;
        }
    }

    /// Sends the call that crashes engines while its fault lasts.
    pub async fn repeat_fatal(mut self, running: Rc<Running>) {
        while running.0.get() {
            if self.cluster.sends_fatal.get() {
                let number = self.rng.random_range(0..self.cluster.instances.len());
                self.call(number, RequestKind::Fatal).await;
            }
            sleep(Duration::from_millis(
                self.rng.random_range(0..MAX_FATAL_PAUSE_MS),
            ))
            .await;
        }
    }

    fn draw_kind(&mut self) -> RequestKind {
        match self.rng.random_range(0..10) {
            0..=2 => RequestKind::Once,
            3 | 4 => RequestKind::Safe,
            5..=7 => RequestKind::Stream,
            8 if self.calls_sent.is_multiple_of(KEYLESS_EVERY) => RequestKind::Keyless,
            8 => RequestKind::Resume,
            _ => RequestKind::Added(self.rng.random_range(1..=self.cluster.version())),
        }
    }

    /// Sends a call and records its outcome.
    pub async fn call(&mut self, number: usize, kind: RequestKind) -> CallOutcome {
        self.calls_sent += 1;
        let id = format!("{}{:06x}", self.name, self.calls_sent);
        let sent = self.started.elapsed();
        // An open connection determines the gateway.
        let (client, gateway, start) = match self.connect(number).await {
            Ok(open) => open,
            Err(start) => {
                self.record(id, kind, number, start, sent, CallOutcome::NotConnected);
                return CallOutcome::NotConnected;
            }
        };
        let time_limit = if self.rng.random_ratio(1, UNUSUAL_CALL_EVERY) {
            Duration::from_millis(self.rng.random_range(1..30))
        } else {
            CALL_TIMEOUT
        };
        let forged = self.rng.random_ratio(1, UNUSUAL_CALL_EVERY);
        let response = exchange(client, kind, &id, self.organisation, forged);
        let (outcome, client) = timeout(time_limit, response)
            .await
            .unwrap_or((CallOutcome::Left, None));
        self.connection = client.map(|client| (client, gateway, start));
        self.record(id, kind, gateway, start, sent, outcome.clone());
        outcome
    }

    /// Closes the open connection.
    pub fn close_connection(&mut self) {
        self.connection = None;
    }

    async fn connect(&mut self, number: usize) -> Result<(Client, usize, u32), u32> {
        if let Some((mut client, gateway, start)) = self.connection.take()
            && client.is_reusable()
        {
            return Ok((client, gateway, start));
        }
        let instance = &self.cluster.instances[number];
        let start = instance.gateway.borrow().starts;
        let opened = Client::open(instance.callers.address, &PATIENCE, &http1::config()).await;
        opened
            .map(|client| (client, number, start))
            .map_err(|_| start)
    }

    fn record(
        &self,
        id: String,
        kind: RequestKind,
        gateway: usize,
        start: u32,
        sent: Duration,
        outcome: CallOutcome,
    ) {
        self.cluster.history.borrow_mut().calls.push(Call {
            id,
            kind,
            organisation: self.organisation,
            gateway,
            gateway_start: start,
            sent_at: sent,
            ended_at: self.started.elapsed(),
            outcome,
        });
    }
}

fn path(kind: RequestKind) -> String {
    match kind {
        RequestKind::Safe | RequestKind::Keyless => "/safe/x".to_owned(),
        RequestKind::Once => "/once/x".to_owned(),
        RequestKind::Stream => "/stream/x".to_owned(),
        RequestKind::Resume => "/resume/x".to_owned(),
        RequestKind::Fatal => FATAL_PATH.to_owned(),
        RequestKind::Added(version) => format!("/added-{version}/x"),
    }
}

/// Sends a call and reads its answer. Returns the connection if it can be reused.
async fn exchange(
    mut client: Client,
    kind: RequestKind,
    id: &str,
    organisation: &str,
    forged: bool,
) -> (CallOutcome, Option<Client>) {
    let parts = format!("a{id}:80,b{id}:20");
    let key = match kind {
        RequestKind::Keyless => "nobody's".to_owned(),
        _ => key(organisation),
    };
    let mut headers = vec![("key", key.as_str())];
    if kind.is_stream() {
        headers.extend(request::generation_headers("100,20", &parts));
    }
    if forged {
        headers.extend(FORGED_HEADERS);
    }
    let head = request::call(&path(kind), id, DEADLINE_MS, &headers);
    let answer = match client.send(head, &Bytes::new()).await {
        Ok(answer) => answer,
        Err(Failure::Broken(why)) => {
            // A malformed answer counts as a violation, like the answer to another call.
            let body = Some(Bytes::from(why));
            let (status, signed, says_when) = (200, false, false);
            return (
                CallOutcome::Answer {
                    status,
                    signed,
                    says_when,
                    body,
                },
                None,
            );
        }
        Err(_) => return (CallOutcome::Closed, None),
    };
    let summary = ResponseSummary::from(&answer.head);
    let body = client.body(MAX_BODY_BYTES).await.ok();
    let client = body.is_some().then_some(client);
    let outcome = CallOutcome::Answer {
        status: summary.status,
        signed: summary.signed,
        says_when: summary.retry_after.is_some(),
        body,
    };
    (outcome, client)
}
