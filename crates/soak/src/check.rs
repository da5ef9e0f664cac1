//! The promises, judged from a history. Each check says what callers or engines would notice.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use platform_standin::cloud;

use crate::history::{Ask, Call, End, History, Run};
use crate::plan::Kind;

/// What a run promised and did not keep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub evidence: String,
}

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Promise {
    /// A caller receives the whole answer to its own request, or none.
    WholeOwnAnswer,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A request runs on no more engines than its route allows.
    Attempts,
    /// A refusal that says "not run" is true, and says when to come back.
    TrueRefusal,
    /// What the configuration allows is not denied.
    NotDenied,
    /// Engines run only what callers asked for, without what callers forged.
    Asked,
    /// A request runs at its route's service.
    Route,
    /// A configuration that was in force at a process stays, or a newer one comes.
    NeverBack,
    /// Engines see one holder a fencing token, and tokens that do not fall.
    Orders,
    /// The platform gets one report a window, and sees one holder a fencing token, and tokens of what it takes that do not fall.
    Duties,
    /// A call that has ended three engines reaches no more than a few, and an innocent one is not held for it.
    Held,
    /// Engines get no more requests than the rate limits that they announce allow.
    RateLimits,
    /// No call is cut by planned work.
    PlannedWork,
    /// Processes run until they are asked to end.
    Lives,
    /// Once all faults are over, all is served.
    Recovery,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.evidence)
    }
}

/// Events of a stream.
pub const EVENTS: usize = 4;
/// Time around a call in which an unplanned fault may have cut it. Kernels notice silent peers within
/// seconds.
const AFTERMATH: Duration = Duration::from_secs(8);

/// Judges a history. Every finding is told.
pub fn check(history: &History) -> Vec<Finding> {
    let mut findings = Vec::new();
    let runs = runs_by_id(history);
    for call in &history.calls {
        let ran = runs.get(call.id.as_str()).map_or(0, Vec::len);
        answer(call, &mut findings);
        repeats(call, ran, &mut findings);
        refusal(call, ran, &mut findings);
        planned_work(call, ran, history, &mut findings);
    }
    asked(history, &mut findings);
    never_back(history, &mut findings);
    duties(history, &mut findings);
    orders(history, &mut findings);
    held(history, &runs, &mut findings);
    rate_limits(history, &mut findings);
    let exits = history.exits.iter().map(|exit| (Promise::Lives, exit));
    let missing = history.missing.iter();
    let missing = missing.map(|missing| (Promise::Recovery, missing));
    findings.extend(exits.chain(missing).map(|(promise, text)| Finding {
        promise,
        evidence: text.clone(),
    }));
    findings
}

fn runs_by_id(history: &History) -> HashMap<&str, Vec<&str>> {
    let mut runs: HashMap<&str, Vec<&str>> = HashMap::new();
    for run in history.runs.iter().filter(|run| run.ran) {
        runs.entry(&run.id).or_default().push(&run.engine);
    }
    runs
}

fn find(findings: &mut Vec<Finding>, promise: Promise, evidence: String) {
    findings.push(Finding { promise, evidence });
}

/// The body that an engine gives to a request.
pub fn body(ask: Ask, id: &str) -> String {
    if !ask.is_stream() {
        return format!("answer to {id}");
    }
    let events = (1..=EVENTS).map(|event| format!("id: {event}\ndata: {id} {event}\n\n"));
    events.collect()
}

fn answer(call: &Call, findings: &mut Vec<Finding>) {
    let End::Answer {
        status,
        signed,
        body: Some(seen),
        ..
    } = &call.end
    else {
        return;
    };
    let whole = body(call.ask, &call.id);
    if *status == 200 && !(*signed && seen[..] == *whole.as_bytes()) {
        let seen = String::from_utf8_lossy(seen);
        let evidence = format!("{} {:?} got {seen:?}, signed: {signed}", call.id, call.ask);
        find(findings, Promise::WholeOwnAnswer, evidence);
    }
}

fn repeats(call: &Call, ran: usize, findings: &mut Vec<Finding>) {
    if ran <= call.ask.attempts() {
        return;
    }
    let promise = match call.ask {
        Ask::Once | Ask::Stream | Ask::Fatal => Promise::AtMostOnce,
        Ask::Keyless => Promise::Asked,
        Ask::Safe | Ask::Resume | Ask::Added(_) => Promise::Attempts,
    };
    let evidence = format!("{} {:?} ran {ran} times", call.id, call.ask);
    find(findings, promise, evidence);
}

fn refusal(call: &Call, ran: usize, findings: &mut Vec<Finding>) {
    let End::Answer {
        status, says_when, ..
    } = &call.end
    else {
        return;
    };
    let evidence = || {
        format!(
            "{} {:?} got {status} and ran {ran} times",
            call.id, call.ask
        )
    };
    let repeatable = call.ask.attempts() > 1;
    match status {
        408 | 421 | 429 | 503 if ran > 0 && !repeatable => {
            find(findings, Promise::TrueRefusal, evidence());
        }
        429 | 503 if !says_when => {
            let evidence = format!("{} got {status} without a time", call.id);
            find(findings, Promise::TrueRefusal, evidence);
        }
        400..=407 if !matches!(call.ask, Ask::Added(_) | Ask::Keyless) => {
            find(findings, Promise::NotDenied, evidence());
        }
        _ => {}
    }
}

/// A call that an engine ran must be answered if nothing but planned work went on around it.
fn planned_work(call: &Call, ran: usize, history: &History, findings: &mut Vec<Finding>) {
    let cut = match &call.end {
        End::Closed => ran > 0,
        End::Answer { body, .. } => body.is_none(),
        End::NotConnected | End::Left => false,
    };
    let mut unplanned = history.faults.iter().filter(|fault| !fault.is_planned());
    let near = |from: Duration, to: Duration| from < call.ended && call.sent < to + AFTERMATH;
    if cut && !unplanned.any(|fault| near(fault.at, fault.at + fault.lasts)) {
        let evidence = format!("{} {:?} was cut: {:?}", call.id, call.ask, call.end);
        find(findings, Promise::PlannedWork, evidence);
    }
}

fn asked(history: &History, findings: &mut Vec<Finding>) {
    let calls: HashMap<&str, (Ask, &str)> = history
        .calls
        .iter()
        .map(|call| (call.id.as_str(), (call.ask, call.organisation)))
        .collect();
    for run in &history.runs {
        let Some((ask, organisation)) = calls.get(run.id.as_str()) else {
            let evidence = format!("{} at {} was sent by nobody", run.id, run.engine);
            find(findings, Promise::Asked, evidence);
            continue;
        };
        if run.forged {
            let evidence = format!("{} at {} bore a forged header", run.id, run.engine);
            find(findings, Promise::Asked, evidence);
        }
        if run.organisation != *organisation {
            let evidence = format!(
                "{} of {organisation} told as of {}",
                run.id, run.organisation
            );
            find(findings, Promise::Asked, evidence);
        }
        if run.ran && run.service != ask.service() {
            let evidence = format!("{} {ask:?} ran at {}", run.id, run.engine);
            find(findings, Promise::Route, evidence);
        }
    }
}

/// At one start of a gateway, a call sent after another one had shown a version in force must not be
/// handled as only an older version allows.
fn never_back(history: &History, findings: &mut Vec<Finding>) {
    let mut shown: BTreeMap<(usize, u32), Vec<(Duration, u64)>> = BTreeMap::new();
    for call in &history.calls {
        if let (Ask::Added(version), End::Answer { status: 200, .. }) = (call.ask, &call.end) {
            let seen = shown.entry((call.gateway, call.start)).or_default();
            seen.push((call.ended, version));
        }
    }
    for call in &history.calls {
        let (Ask::Added(version), End::Answer { status: 404, .. }) = (call.ask, &call.end) else {
            continue;
        };
        let seen = shown.get(&(call.gateway, call.start));
        let mut seen = seen.into_iter().flatten();
        if seen.any(|(at, newer)| *at <= call.sent && *newer >= version) {
            let evidence = format!("{}: version {version} was in force and is not", call.id);
            find(findings, Promise::NeverBack, evidence);
        }
    }
}

/// Engines that a call may end before it is held.
const ENDS: usize = 3;
/// Time within which all instances know what one of them does, and for which a fault at one or at the store excuses it.
const KNOWN: Duration = Duration::from_secs(3);
/// How often a call that ends engines may reach them after that, in trials.
const TRIALS: usize = 3;
/// Time after the end of an engine within which an innocent call may be held, since it cannot be told yet from the one to blame. A
/// hold takes three times as long.
const SOON: Duration = Duration::from_secs(10);
/// What an answer says whose call is held.
const HELD: &[u8] = b"Engines that ran this call ended.";

fn held(history: &History, runs: &HashMap<&str, Vec<&str>>, findings: &mut Vec<Finding>) {
    for call in history.calls.iter().filter(|call| call.ask != Ask::Fatal) {
        let End::Answer {
            body: Some(body), ..
        } = &call.end
        else {
            continue;
        };
        let is_held = body.windows(HELD.len()).any(|some| some == HELD);
        let just_ended = |end: &Duration| *end <= call.ended && call.sent <= *end + SOON;
        if is_held && !history.ends.iter().any(just_ended) {
            let evidence = format!("{} {:?} was held", call.id, call.ask);
            find(findings, Promise::Held, evidence);
        }
    }
    let Some(third) = history.ends.get(ENDS - 1) else {
        return;
    };
    let later = history.calls.iter().filter(|call| {
        call.ask == Ask::Fatal
            && call.sent > *third + KNOWN
            && runs.contains_key(call.id.as_str())
            && is_in_touch(history, call)
    });
    let later: Vec<&str> = later.map(|call| call.id.as_str()).collect();
    if later.len() > TRIALS {
        let evidence = format!("ended {} engines, at last {later:?}", history.ends.len());
        find(findings, Promise::Held, evidence);
    }
}

/// Span of time in which requests to a limited engine are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests beyond one and a half times a limit that are allowed in it.
const ALLOWED_MORE: f64 = 5.0;

fn rate_limits(history: &History, findings: &mut Vec<Finding>) {
    let calls = history.calls.iter();
    let calls: HashMap<&str, &Call> = calls.map(|call| (call.id.as_str(), call)).collect();
    for limit in &history.limits {
        let bound = limit.from + KNOWN..=limit.until;
        let counts = |run: &&Run| {
            let call = calls.get(run.id.as_str());
            run.engine == limit.engine
                && bound.contains(&run.at)
                && call.is_some_and(|call| is_in_touch(history, call))
                && !was_held_up(history, run)
        };
        let mut at: Vec<Duration> = history
            .runs
            .iter()
            .filter(counts)
            .map(|run| run.at)
            .collect();
        at.sort_unstable();
        let windows = at.iter().enumerate().map(|(first, from)| {
            let within = at[first..]
                .iter()
                .take_while(|at| **at < *from + LIMIT_WINDOW);
            within.count()
        });
        let most = windows.max().unwrap_or(0);
        let taken = f64::from(limit.taken) / 10.0;
        let allowed = 1.5 * taken * LIMIT_WINDOW.as_secs_f64() + ALLOWED_MORE;
        #[allow(clippy::cast_precision_loss)]
        if most as f64 > allowed {
            let evidence = format!(
                "{} takes {taken}/s and got {most} in {LIMIT_WINDOW:?}",
                limit.engine
            );
            find(findings, Promise::RateLimits, evidence);
        }
    }
}

/// Whether the link to a run's engine had a fault shortly before it: requests that waited there come together.
fn was_held_up(history: &History, run: &Run) -> bool {
    let mut faults = history.faults.iter();
    faults.any(|fault| {
        let concerns = |number: usize| run.engine.ends_with(&format!("-{number}"));
        matches!(fault.kind, Kind::EngineLink(number, _) if concerns(number))
            && fault.at <= run.at
            && run.at <= fault.at + fault.lasts + KNOWN
    })
}

/// Whether neither the store nor the gateway of a call had a fault that ended less than [`KNOWN`] before it.
fn is_in_touch(history: &History, call: &Call) -> bool {
    let concerns = |kind: Kind| match kind {
        Kind::Process(number, _) | Kind::StoreLink(number, _) | Kind::Callers(number, _) => {
            number == call.gateway
        }
        Kind::KillAll | Kind::Store(_) => true,
        _ => false,
    };
    let mut faults = history.faults.iter();
    !faults.any(|fault| {
        let over = fault.at + fault.lasts + KNOWN;
        concerns(fault.kind) && fault.at <= call.ended && call.sent <= over
    })
}

fn duties(history: &History, findings: &mut Vec<Finding>) {
    let mut reports: HashMap<u64, &cloud::Call> = HashMap::new();
    let mut holders: HashMap<u64, &str> = HashMap::new();
    for call in &history.duties {
        let window = call.body["window_seq"].as_u64().unwrap_or_default();
        let before = *reports.entry(window).or_insert(call);
        if before.body != call.body {
            let evidence = format!("window {window}: {} and {}", before.body, call.body);
            find(findings, Promise::Duties, evidence);
        }
        let holder = *holders.entry(call.fence).or_insert(&call.holder);
        if holder != call.holder {
            let evidence = format!("token {} of {holder} and {}", call.fence, call.holder);
            find(findings, Promise::Duties, evidence);
        }
    }
}

fn orders(history: &History, findings: &mut Vec<Finding>) {
    let mut holders: HashMap<u64, HashSet<&str>> = HashMap::new();
    let mut highest: HashMap<&str, u64> = HashMap::new();
    for (engine, order) in &history.orders {
        let known = holders.entry(order.fence).or_default();
        known.insert(&order.holder);
        if known.len() > 1 {
            let evidence = format!("token {} at {engine} has holders {known:?}", order.fence);
            find(findings, Promise::Orders, evidence);
        }
        let highest = highest.entry(engine).or_default();
        if order.fence < *highest {
            let evidence = format!("token {} at {engine} after {highest}", order.fence);
            find(findings, Promise::Orders, evidence);
        }
        *highest = order.fence.max(*highest);
    }
}
