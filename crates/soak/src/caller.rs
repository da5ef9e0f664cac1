//! Callers: each sends calls one at a time and reuses its connection while it is open.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http1::{Client, Failure, TcpTimeouts};
use platform_standin::request::{self, FORGED_HEADERS, ResponseSummary};
use rand::RngExt as _;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep, timeout};

use crate::check::{self, STREAM_EVENTS};
use crate::cluster::{Cluster, FATAL_PART, FATAL_PATH, FIRST_PART, ORGANISATIONS, key};
use crate::history::{Call, CallOutcome, RequestKind, Resumption};
use crate::plan;

/// Deadline that a caller gives the gateway.
const DEADLINE_MS: u64 = 3_000;
/// Time until a caller gives up: the deadline plus the time that a late answer takes on a busy
/// machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest pause between two calls of a caller.
const MAX_PAUSE_MS: u64 = 60;
/// Longest pause between two calls that crash engines, or of the same first part as such calls.
const MAX_FATAL_PAUSE_MS: u64 = 300;
/// One call in this many carries forged headers, and one in as many is abandoned early.
const UNUSUAL_CALL_EVERY: u32 = 12;
/// One resumable call in this many is replaced by a call with an unknown key.
const KEYLESS_EVERY: u64 = 3;
/// One resumable stream in this many loses its connection midway.
const LOST_STREAM_EVERY: u32 = 3;
/// Longest time after which such a stream loses its connection.
const MAX_STREAM_MS: u64 = 200;
/// Times that a caller resumes a stream.
const MAX_RESUMPTIONS: usize = 3;
/// Pause before a stream is resumed.
const RESUME_PAUSE: Duration = Duration::from_millis(20);
/// Further pause after a gateway that is down.
const DOWN_PAUSE: Duration = Duration::from_millis(80);
/// Time for which a caller tries to resume a stream.
const MAX_RESUME_TIME: Duration = Duration::from_millis(2_500);
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
    /// Separate, so that what else the caller does stays as it is.
    stream_rng: StdRng,
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
            stream_rng: plan::caller_rng(!seed, number),
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

    /// Sends calls of one kind while `is_active` says so.
    pub async fn run_while(
        mut self,
        running: Rc<Running>,
        kind: RequestKind,
        is_active: impl Fn(&Cluster) -> bool,
    ) {
        while running.0.get() {
            if is_active(&self.cluster) {
                let number = self.rng.random_range(0..self.cluster.instances.len());
                self.call(number, kind).await;
            }
            sleep(Duration::from_millis(
                self.rng.random_range(0..MAX_FATAL_PAUSE_MS),
            ))
            .await;
        }
    }

    fn draw_kind(&mut self) -> RequestKind {
        if self.cluster.sends_streams.get() {
            return RequestKind::Resume;
        }
        match self.rng.random_range(0..10) {
            0..=2 => RequestKind::Once,
            3 | 4 => RequestKind::Safe,
            5..=7 => RequestKind::Stream,
            8 if self.calls_sent.is_multiple_of(KEYLESS_EVERY) => RequestKind::Keyless,
            8 => RequestKind::Resume,
            _ => RequestKind::Added(self.rng.random_range(1..=self.cluster.version())),
        }
    }

    /// Sends a call and records its outcome. Resumes a stream that breaks off, at any gateway.
    pub async fn call(&mut self, number: usize, kind: RequestKind) -> CallOutcome {
        let (outcome, mut resumption) = self.send(number, kind, None).await;
        let (broke_off, mut attempts) = (Instant::now(), 0);
        while let Some(resumes) = resumption.take()
            && attempts < MAX_RESUMPTIONS
            && broke_off.elapsed() < MAX_RESUME_TIME
        {
            self.connection = None;
            sleep(RESUME_PAUSE).await;
            let gateways = self.cluster.instances.len();
            let number = self.stream_rng.random_range(0..gateways);
            let (outcome, next) = self.send(number, kind, Some(resumes)).await;
            // While all gateways are down, nobody can resume anything.
            match outcome {
                CallOutcome::NotConnected | CallOutcome::Closed => sleep(DOWN_PAUSE).await,
                CallOutcome::Answer { .. } | CallOutcome::Left => attempts += 1,
            }
            resumption = next;
        }
        outcome
    }

    /// Sends one attempt and records its outcome. Returns how to resume it, if it is a stream that began
    /// and broke off.
    async fn send(
        &mut self,
        number: usize,
        kind: RequestKind,
        resumes: Option<Resumption>,
    ) -> (CallOutcome, Option<Resumption>) {
        self.calls_sent += 1;
        let id = format!("{}{:06x}", self.name, self.calls_sent);
        let sent = self.started.elapsed();
        // An open connection determines the gateway.
        let (client, gateway, start) = match self.connect(number).await {
            Ok(open) => open,
            Err(start) => {
                let outcome = CallOutcome::NotConnected;
                self.cluster.history.borrow_mut().calls.push(Call {
                    id,
                    kind,
                    organisation: self.organisation,
                    gateway: number,
                    gateway_start: start,
                    sent_at: sent,
                    ended_at: self.started.elapsed(),
                    outcome: outcome.clone(),
                    received: Bytes::new(),
                    resumes: resumes.clone(),
                });
                return (outcome, resumes);
            }
        };
        let time_limit = if self.rng.random_ratio(1, UNUSUAL_CALL_EVERY) {
            Duration::from_millis(self.rng.random_range(1..30))
        } else {
            CALL_TIMEOUT
        };
        let forged = self.rng.random_ratio(1, UNUSUAL_CALL_EVERY);
        let is_lost =
            kind == RequestKind::Resume && self.stream_rng.random_ratio(1, LOST_STREAM_EVERY);
        let time_limit = match is_lost {
            true => Duration::from_millis(self.stream_rng.random_range(1..MAX_STREAM_MS)),
            false => time_limit,
        };
        let received = RefCell::new(BytesMut::new());
        let request = Request {
            kind,
            id: &id,
            organisation: self.organisation,
            forged,
            resumes: resumes.as_ref(),
        };
        let response = exchange(client, &request, &received);
        let (outcome, client) = timeout(time_limit, response)
            .await
            .unwrap_or((CallOutcome::Left, None));
        self.connection = client.map(|client| (client, gateway, start));
        let received = received.into_inner().freeze();
        let next = next_resumption(kind, &id, &outcome, &received, resumes.as_ref());
        self.cluster.history.borrow_mut().calls.push(Call {
            id,
            kind,
            organisation: self.organisation,
            gateway,
            gateway_start: start,
            sent_at: sent,
            ended_at: self.started.elapsed(),
            outcome: outcome.clone(),
            received,
            resumes,
        });
        (outcome, next)
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
}

fn path(kind: RequestKind, id: &str) -> String {
    match kind {
        RequestKind::Safe | RequestKind::Keyless => "/safe/x".to_owned(),
        RequestKind::Once => "/once/x".to_owned(),
        RequestKind::Stream => "/stream/x".to_owned(),
        RequestKind::Resume => "/resume/x".to_owned(),
        RequestKind::Fatal => FATAL_PATH.to_owned(),
        RequestKind::FatalPart | RequestKind::FirstPart => format!("/stream/{id}"),
        RequestKind::Added(version) => format!("/added-{version}/x"),
    }
}

/// How to resume a stream after this attempt, if it broke off after an event.
fn next_resumption(
    kind: RequestKind,
    id: &str,
    outcome: &CallOutcome,
    received: &Bytes,
    resumes: Option<&Resumption>,
) -> Option<Resumption> {
    let is_over = matches!(
        outcome,
        CallOutcome::Answer {
            status: 200,
            body: Some(_),
            ..
        }
    );
    if kind != RequestKind::Resume || is_over {
        return None;
    }
    let last = check::events(received).last().map(|event| event.number);
    match (last, resumes) {
        (Some(STREAM_EVENTS), _) => None,
        (Some(after), Some(resumes)) => Some(Resumption {
            first: resumes.first.clone(),
            after,
        }),
        (Some(after), None) => Some(Resumption {
            first: id.to_owned(),
            after,
        }),
        (None, resumes) => resumes.cloned(),
    }
}

/// A call to send.
struct Request<'a> {
    kind: RequestKind,
    id: &'a str,
    organisation: &'a str,
    forged: bool,
    resumes: Option<&'a Resumption>,
}

/// Sends a call and reads its answer into `received`. Returns the connection if it can be reused.
async fn exchange(
    mut client: Client,
    request: &Request<'_>,
    received: &RefCell<BytesMut>,
) -> (CallOutcome, Option<Client>) {
    let Request {
        kind,
        id,
        organisation,
        forged,
        resumes,
    } = *request;
    let parts = match kind {
        RequestKind::FatalPart => format!("{FIRST_PART}:40,{FATAL_PART}:40,b{id}:20"),
        RequestKind::FirstPart => format!("{FIRST_PART}:40,a{id}:40,b{id}:20"),
        _ => format!("a{id}:80,b{id}:20"),
    };
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
    let after = resumes.map(|resumes| resumes.after.to_string());
    if let (Some(resumes), Some(after)) = (resumes, &after) {
        headers.push(("resumes", &resumes.first));
        headers.push(("last-event-id", after));
    }
    let head = request::call(&path(kind, id), id, DEADLINE_MS, &headers);
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
    let body = read_body(&mut client, received).await.ok();
    let client = body.is_some().then_some(client);
    let outcome = CallOutcome::Answer {
        status: summary.status,
        signed: summary.signed,
        says_when: summary.retry_after.is_some(),
        body,
    };
    (outcome, client)
}

/// Reads a body, of which `received` keeps what arrives even if it breaks off or the caller leaves.
async fn read_body(client: &mut Client, received: &RefCell<BytesMut>) -> Result<Bytes, Failure> {
    while let Some(chunk) = client.chunk().await? {
        if received.borrow().len() + chunk.len() > MAX_BODY_BYTES {
            return Err(Failure::Broken("the body is larger than allowed"));
        }
        received.borrow_mut().extend_from_slice(&chunk);
    }
    Ok(received.borrow().clone().freeze())
}
