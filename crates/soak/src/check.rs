//! Checks a history against the invariants of the service, as callers and engines see them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use platform_standin::cloud;

use crate::history::{Call, CallOutcome, EngineRequest, History, RequestKind};
use crate::plan::{FaultKind, UPGRADED};

mod announcements;
mod isolation;
mod quarantine;
mod versions;

pub use versions::events;

/// An invariant that a run violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The violated invariant.
    pub invariant: Invariant,
    /// What was observed.
    pub evidence: String,
}

/// Property that must hold in every run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Invariant {
    /// A caller receives the whole answer to its own request, or none.
    WholeOwnAnswer,
    /// A request that must not be repeated runs at most once.
    AtMostOnce,
    /// A request runs on no more engines than its route allows.
    Attempts,
    /// A refusal that reports "not run" is true, and has a `Retry-After` header.
    TrueRefusal,
    /// A call that the configuration allows is not denied.
    NotDenied,
    /// Engines receive only requests that callers sent, without forged headers and for the right
    /// organisation.
    Asked,
    /// A request runs at its route's service.
    Route,
    /// A process never goes back to an older configuration.
    NeverBack,
    /// Engines see one holder for each fencing token, and tokens that never decrease.
    Orders,
    /// The platform gets one report for each window, sees one holder for each fencing token, and
    /// accepts tokens that never decrease.
    Duties,
    /// A call that crashed three engines, or calls with a part that crashed five, reach only a few
    /// more, and no innocent call is quarantined for it.
    Held,
    /// Engines get no more requests than the rate limits that they announce.
    RateLimits,
    /// Engines that have announced that they leave get no more requests.
    Leaving,
    /// Engines get no requests from a gateway for as long as they asked it for.
    Pauses,
    /// Callers of gateways that reach no engine are served about as often as those of others.
    Isolation,
    /// No gateway with good paths concludes that it has lost them while engines end together.
    Paths,
    /// A stream holds events of engines of one software version, over all attempts of its caller.
    OneVersion,
    /// Streams that callers resume go on about as often as new ones begin.
    Resumed,
    /// Planned work cuts no call.
    PlannedWork,
    /// Processes run until they are told to exit.
    Lives,
    /// Every kind of call is served again once all faults are over.
    Recovery,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.evidence)
    }
}

/// Number of events in a stream.
pub const STREAM_EVENTS: usize = 4;
/// Time after an unplanned fault in which it may still cut a call: kernels detect silent peers
/// within seconds.
const FAULT_AFTEREFFECT: Duration = Duration::from_secs(8);

/// Checks a history and returns all findings.
pub fn check(history: &History) -> Vec<Finding> {
    let mut findings = Vec::new();
    let engines = engines_by_request(history);
    for call in &history.calls {
        let executions = engines.get(call.id.as_str()).map_or(0, Vec::len);
        check_answer(call, &mut findings);
        check_pieces(call, &mut findings);
        check_attempts(call, executions, &mut findings);
        check_refusal(call, executions, &mut findings);
        check_planned_work(call, executions, history, &mut findings);
    }
    check_engine_requests(history, &mut findings);
    check_configuration_versions(history, &mut findings);
    check_usage_reports(history, &mut findings);
    check_orders(history, &mut findings);
    quarantine::check(history, &engines, &mut findings);
    check_rate_limits(history, &mut findings);
    announcements::check_leavings(history, &mut findings);
    announcements::check_announced_leavings(history, &mut findings);
    announcements::check_pauses(history, &mut findings);
    isolation::check_isolation(history, &mut findings);
    isolation::check_conclusions(history, &mut findings);
    versions::check_versions(history, &mut findings);
    versions::check_resumptions(history, &mut findings);
    let exits = history
        .unexpected_exits
        .iter()
        .map(|exit| (Invariant::Lives, exit));
    let probes = history.failed_probes.iter();
    let probes = probes.map(|probe| (Invariant::Recovery, probe));
    findings.extend(exits.chain(probes).map(|(invariant, text)| Finding {
        invariant,
        evidence: text.clone(),
    }));
    findings
}

fn engines_by_request(history: &History) -> HashMap<&str, Vec<&str>> {
    let mut engines: HashMap<&str, Vec<&str>> = HashMap::new();
    for request in history
        .engine_requests
        .iter()
        .filter(|request| request.executed)
    {
        engines
            .entry(&request.id)
            .or_default()
            .push(&request.engine);
    }
    engines
}

fn report(findings: &mut Vec<Finding>, invariant: Invariant, evidence: String) {
    findings.push(Finding {
        invariant,
        evidence,
    });
}

/// The body with which an engine answers a request.
pub fn expected_body(kind: RequestKind, id: &str) -> String {
    expected_rest(kind, id, 0)
}

/// The body with which an engine answers a request that resumes a stream after an event, or begins one.
fn expected_rest(kind: RequestKind, id: &str, after: usize) -> String {
    if !kind.is_stream() {
        return format!("answer to {id}");
    }
    let events = after + 1..=STREAM_EVENTS;
    let events = events.map(|event| format!("id: {event}\ndata: {id} {event}\n\n"));
    events.collect()
}

fn check_answer(call: &Call, findings: &mut Vec<Finding>) {
    let CallOutcome::Answer {
        status,
        signed,
        body: Some(seen),
        ..
    } = &call.outcome
    else {
        return;
    };
    let after = call.resumes.as_ref().map_or(0, |resumes| resumes.after);
    let expected = expected_rest(call.kind, &call.id, after);
    // Which versions may have written the events is checked apart.
    let text = String::from_utf8_lossy(seen).replace(&format!(" {UPGRADED}\n"), "\n");
    if *status == 200 && !(*signed && text == expected) {
        let seen = String::from_utf8_lossy(seen);
        let evidence = format!("{} {:?} got {seen:?}, signed: {signed}", call.id, call.kind);
        report(findings, Invariant::WholeOwnAnswer, evidence);
    }
}

/// What arrived of a stream that broke off, or that its caller left, must be the beginning of the answer to its
/// own request, without a missing or a repeated piece. A line that has not ended may name a version in part.
fn check_pieces(call: &Call, findings: &mut Vec<Finding>) {
    let is_part = match &call.outcome {
        CallOutcome::Answer { status, body, .. } => *status == 200 && body.is_none(),
        CallOutcome::Left => call.received.starts_with(b"id: "),
        CallOutcome::NotConnected | CallOutcome::Closed => false,
    };
    if !is_part || !call.kind.is_stream() {
        return;
    }
    let after = call.resumes.as_ref().map_or(0, |resumes| resumes.after);
    let expected = expected_rest(call.kind, &call.id, after);
    let text = String::from_utf8_lossy(&call.received);
    let lines = text.rfind('\n').map_or("", |end| &text[..=end]);
    let lines = lines.replace(&format!(" {UPGRADED}\n"), "\n");
    if !expected.starts_with(&lines) {
        let evidence = format!("{} {:?} began with {text:?}", call.id, call.kind);
        report(findings, Invariant::WholeOwnAnswer, evidence);
    }
}

fn check_attempts(call: &Call, executions: usize, findings: &mut Vec<Finding>) {
    if executions <= call.kind.max_attempts() {
        return;
    }
    let invariant = match call.kind {
        RequestKind::Once
        | RequestKind::Stream
        | RequestKind::Fatal
        | RequestKind::FatalPart
        | RequestKind::FirstPart => Invariant::AtMostOnce,
        RequestKind::Keyless => Invariant::Asked,
        RequestKind::Safe | RequestKind::Resume | RequestKind::Added(_) => Invariant::Attempts,
    };
    let evidence = format!("{} {:?} ran {executions} times", call.id, call.kind);
    report(findings, invariant, evidence);
}

fn check_refusal(call: &Call, executions: usize, findings: &mut Vec<Finding>) {
    let CallOutcome::Answer {
        status, says_when, ..
    } = &call.outcome
    else {
        return;
    };
    let evidence = || {
        format!(
            "{} {:?} got {status} and ran {executions} times",
            call.id, call.kind
        )
    };
    let repeatable = call.kind.max_attempts() > 1;
    match status {
        408 | 421 | 429 | 503 if executions > 0 && !repeatable => {
            report(findings, Invariant::TrueRefusal, evidence());
        }
        429 | 503 if !says_when => {
            let evidence = format!("{} got {status} without a time", call.id);
            report(findings, Invariant::TrueRefusal, evidence);
        }
        400..=407 if !matches!(call.kind, RequestKind::Added(_) | RequestKind::Keyless) => {
            report(findings, Invariant::NotDenied, evidence());
        }
        _ => {}
    }
}

/// A call that an engine ran must be answered unless an unplanned fault happened around it.
fn check_planned_work(
    call: &Call,
    executions: usize,
    history: &History,
    findings: &mut Vec<Finding>,
) {
    let cut = match &call.outcome {
        CallOutcome::Closed => executions > 0,
        CallOutcome::Answer { body, .. } => body.is_none(),
        CallOutcome::NotConnected | CallOutcome::Left => false,
    };
    let mut unplanned = history.faults.iter().filter(|fault| !fault.is_planned());
    let near = |from: Duration, to: Duration| {
        from < call.ended_at && call.sent_at < to + FAULT_AFTEREFFECT
    };
    if cut && !unplanned.any(|fault| near(fault.at, fault.at + fault.duration)) {
        let evidence = format!("{} {:?} was cut: {:?}", call.id, call.kind, call.outcome);
        report(findings, Invariant::PlannedWork, evidence);
    }
}

fn check_engine_requests(history: &History, findings: &mut Vec<Finding>) {
    let calls: HashMap<&str, (RequestKind, &str)> = history
        .calls
        .iter()
        .map(|call| (call.id.as_str(), (call.kind, call.organisation)))
        .collect();
    for request in &history.engine_requests {
        let Some((kind, organisation)) = calls.get(request.id.as_str()) else {
            let evidence = format!("{} at {} was sent by nobody", request.id, request.engine);
            report(findings, Invariant::Asked, evidence);
            continue;
        };
        if request.forged {
            let evidence = format!("{} at {} bore a forged header", request.id, request.engine);
            report(findings, Invariant::Asked, evidence);
        }
        if request.organisation != *organisation {
            let evidence = format!(
                "{} of {organisation} told as of {}",
                request.id, request.organisation
            );
            report(findings, Invariant::Asked, evidence);
        }
        if request.executed && request.service != kind.service() {
            let evidence = format!("{} {kind:?} ran at {}", request.id, request.engine);
            report(findings, Invariant::Route, evidence);
        }
    }
}

/// Within one start of a gateway, once a call has shown that a version is in force, a later call
/// must not be refused as under an older version.
fn check_configuration_versions(history: &History, findings: &mut Vec<Finding>) {
    let mut shown: BTreeMap<(usize, u32), Vec<(Duration, u64)>> = BTreeMap::new();
    for call in &history.calls {
        if let (RequestKind::Added(version), CallOutcome::Answer { status: 200, .. }) =
            (call.kind, &call.outcome)
        {
            let seen = shown.entry((call.gateway, call.gateway_start)).or_default();
            seen.push((call.ended_at, version));
        }
    }
    for call in &history.calls {
        let (RequestKind::Added(version), CallOutcome::Answer { status: 404, .. }) =
            (call.kind, &call.outcome)
        else {
            continue;
        };
        let seen = shown.get(&(call.gateway, call.gateway_start));
        let mut seen = seen.into_iter().flatten();
        if seen.any(|(at, newer)| *at <= call.sent_at && *newer >= version) {
            let evidence = format!("{}: version {version} was in force and is not", call.id);
            report(findings, Invariant::NeverBack, evidence);
        }
    }
}

/// Time for a change at one instance to reach all others, and time for which a fault at an instance
/// or the store still excuses the instance.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Window in which requests to an engine with a rate limit are counted.
const RATE_LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed in the window beyond one and a half times the limit.
const RATE_LIMIT_ALLOWANCE: f64 = 5.0;

fn check_rate_limits(history: &History, findings: &mut Vec<Finding>) {
    let calls = history.calls.iter();
    let calls: HashMap<&str, &Call> = calls.map(|call| (call.id.as_str(), call)).collect();
    for limit in &history.rate_limits {
        let bound = limit.from + PROPAGATION_TIME..=limit.until;
        let counts = |request: &&EngineRequest| {
            let call = calls.get(request.id.as_str());
            request.engine == limit.engine
                && bound.contains(&request.received_at)
                && call.is_some_and(|call| is_free_of_faults(history, call))
                && !was_delayed_by_link(history, request)
        };
        let mut at: Vec<Duration> = history
            .engine_requests
            .iter()
            .filter(counts)
            .map(|request| request.received_at)
            .collect();
        at.sort_unstable();
        let windows = at.iter().enumerate().map(|(first, from)| {
            let within = at[first..]
                .iter()
                .take_while(|at| **at < *from + RATE_LIMIT_WINDOW);
            within.count()
        });
        let most = windows.max().unwrap_or(0);
        let per_second = f64::from(limit.per_ten_seconds) / 10.0;
        let allowed = 1.5 * per_second * RATE_LIMIT_WINDOW.as_secs_f64() + RATE_LIMIT_ALLOWANCE;
        #[allow(clippy::cast_precision_loss)]
        if most as f64 > allowed {
            let evidence = format!(
                "{} takes {per_second}/s and got {most} in {RATE_LIMIT_WINDOW:?}",
                limit.engine
            );
            report(findings, Invariant::RateLimits, evidence);
        }
    }
}

/// Whether the link to the engine had a fault shortly before the request, since delayed requests
/// arrive in a burst.
fn was_delayed_by_link(history: &History, request: &EngineRequest) -> bool {
    let mut faults = history.faults.iter();
    faults.any(|fault| {
        let concerns = |number: usize| request.engine.ends_with(&format!("-{number}"));
        matches!(fault.kind, FaultKind::EngineLink(number, _) if concerns(number))
            && fault.at <= request.received_at
            && request.received_at <= fault.at + fault.duration + PROPAGATION_TIME
    })
}

/// Whether neither the store nor the gateway of a call had a fault that ended less than
/// [`PROPAGATION_TIME`] before it.
fn is_free_of_faults(history: &History, call: &Call) -> bool {
    let concerns = |kind: FaultKind| match kind {
        FaultKind::Process(number, _)
        | FaultKind::StoreLink(number, _)
        | FaultKind::Callers(number, _) => number == call.gateway,
        FaultKind::KillAll | FaultKind::Store(_) => true,
        _ => false,
    };
    let mut faults = history.faults.iter();
    !faults.any(|fault| {
        let over = fault.at + fault.duration + PROPAGATION_TIME;
        concerns(fault.kind) && fault.at <= call.ended_at && call.sent_at <= over
    })
}

fn check_usage_reports(history: &History, findings: &mut Vec<Finding>) {
    let mut reports: HashMap<u64, &cloud::Call> = HashMap::new();
    let mut holders: HashMap<u64, &str> = HashMap::new();
    for call in &history.usage_reports {
        let window = call.body["window_seq"].as_u64().unwrap_or_default();
        let before = *reports.entry(window).or_insert(call);
        if before.body != call.body {
            let evidence = format!("window {window}: {} and {}", before.body, call.body);
            report(findings, Invariant::Duties, evidence);
        }
        let holder = *holders.entry(call.fence).or_insert(&call.holder);
        if holder != call.holder {
            let evidence = format!("token {} of {holder} and {}", call.fence, call.holder);
            report(findings, Invariant::Duties, evidence);
        }
    }
}

fn check_orders(history: &History, findings: &mut Vec<Finding>) {
    let mut holders: HashMap<u64, HashSet<&str>> = HashMap::new();
    let mut highest: HashMap<&str, u64> = HashMap::new();
    for (engine, order) in &history.orders {
        let known = holders.entry(order.fence).or_default();
        known.insert(&order.holder);
        if known.len() > 1 {
            let evidence = format!("token {} at {engine} has holders {known:?}", order.fence);
            report(findings, Invariant::Orders, evidence);
        }
        let highest = highest.entry(engine).or_default();
        if order.fence < *highest {
            let evidence = format!("token {} at {engine} after {highest}", order.fence);
            report(findings, Invariant::Orders, evidence);
        }
        *highest = order.fence.max(*highest);
    }
}
