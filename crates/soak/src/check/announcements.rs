//! Checks what engines get after they have announced that they leave, or asked for a pause.

use std::collections::HashMap;
use std::time::Duration;

use super::{Finding, Invariant, PROPAGATION_TIME, is_free_of_faults, report, was_delayed_by_link};
use crate::history::{Call, EngineRequest, History};
use crate::plan::FaultKind;

/// Calls sent later than [`PROPAGATION_TIME`] after an engine has announced that it leaves must not
/// reach it, unless their own gateway had a fault. A fault at another one is no excuse: some gateways
/// read the store for the others.
pub(super) fn check_leavings(history: &History, findings: &mut Vec<Finding>) {
    let calls = history.calls.iter();
    let calls: HashMap<&str, &Call> = calls.map(|call| (call.id.as_str(), call)).collect();
    for leaving in &history.leavings {
        let bound = leaving.at + PROPAGATION_TIME;
        let late = history.engine_requests.iter().filter(|request| {
            let call = calls.get(request.id.as_str());
            request.engine == leaving.engine
                && request.received_at > bound
                && call.is_some_and(|call| call.sent_at > bound && is_free_of_faults(history, call))
        });
        let late: Vec<&str> = late.map(|request| request.id.as_str()).collect();
        if !late.is_empty() {
            let evidence = format!(
                "{} left at {:?} and got {late:?}",
                leaving.engine, leaving.at
            );
            report(findings, Invariant::Leaving, evidence);
        }
    }
}

/// The calls of one start of a gateway.
type Sender = (usize, u32);

/// Requests that an engine received, with their calls.
fn requests_at<'a>(
    history: &'a History,
    engine: &'a str,
) -> impl Iterator<Item = (&'a EngineRequest, &'a Call)> {
    let calls = history.calls.iter();
    let calls: HashMap<&str, &Call> = calls.map(|call| (call.id.as_str(), call)).collect();
    let requests = history.engine_requests.iter();
    requests
        .filter(move |request| request.engine == engine)
        .filter_map(move |request| Some((request, *calls.get(request.id.as_str())?)))
}

/// A gateway that has passed on an answer in which an engine announces its leaving must not send to
/// it any more, also while the store is away.
pub(super) fn check_announced_leavings(history: &History, findings: &mut Vec<Finding>) {
    for leaving in &history.leavings {
        let mut told: HashMap<Sender, Duration> = HashMap::new();
        for (request, call) in requests_at(history, &leaving.engine) {
            if request.executed && request.received_at > leaving.at && call.is_success() {
                let told = told.entry((call.gateway, call.gateway_start));
                let at = told.or_insert(call.ended_at);
                *at = call.ended_at.min(*at);
            }
        }
        let late = requests_at(history, &leaving.engine).filter(|(_, call)| {
            let told = told.get(&(call.gateway, call.gateway_start));
            told.is_some_and(|told| {
                call.sent_at > *told + PROPAGATION_TIME && runs_since(history, call, *told)
            })
        });
        let late: Vec<&str> = late.map(|(_, call)| call.id.as_str()).collect();
        if !late.is_empty() {
            let evidence = format!("{} said that it leaves and got {late:?}", leaving.engine);
            report(findings, Invariant::Leaving, evidence);
        }
    }
}

/// Requests that an engine may get from a gateway in the time for which it asked it for none.
const PAUSE_ALLOWANCE: usize = 2;

pub(super) fn check_pauses(history: &History, findings: &mut Vec<Finding>) {
    for pauses in &history.pauses {
        let mut refused: HashMap<Sender, Vec<(Duration, &Call)>> = HashMap::new();
        for (request, call) in requests_at(history, &pauses.engine) {
            let is_refused = (pauses.from..pauses.until).contains(&request.received_at);
            if is_refused && !was_delayed_by_link(history, request) {
                let sender = (call.gateway, call.gateway_start);
                let requests = refused.entry(sender).or_default();
                requests.push((request.received_at, call));
            }
        }
        for (sender, mut requests) in refused {
            requests.sort_unstable_by_key(|(at, _)| *at);
            let (first, _) = requests[0];
            let bound = first + PROPAGATION_TIME..first + pauses.length;
            let within = requests.iter().filter(|(at, call)| {
                bound.contains(at) && call.sent_at > first && runs_since(history, call, first)
            });
            let count = within.count();
            if count > PAUSE_ALLOWANCE {
                let evidence = format!(
                    "{} asked {sender:?} for {:?} and got {count}",
                    pauses.engine, pauses.length
                );
                report(findings, Invariant::Pauses, evidence);
            }
        }
    }
}

/// Whether the gateway of a call ran without interruption from a moment on.
fn runs_since(history: &History, call: &Call, since: Duration) -> bool {
    let concerns = |kind: FaultKind| match kind {
        FaultKind::Process(number, _) => number == call.gateway,
        FaultKind::KillAll => true,
        _ => false,
    };
    let mut faults = history.faults.iter();
    !faults.any(|fault| {
        concerns(fault.kind) && fault.at <= call.ended_at && since <= fault.at + fault.duration
    })
}
