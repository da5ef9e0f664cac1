//! Calls and parts of prompts that crash engines.

use std::collections::HashMap;
use std::time::Duration;

use super::{Finding, Invariant, PROPAGATION_TIME, is_free_of_faults, report};
use crate::history::{Call, CallOutcome, History, RequestKind};

/// Number of engines that a call may crash before it is quarantined.
const ENDS_BEFORE_QUARANTINE: usize = 3;
/// Number of trials on engines that a quarantined call may get.
const MAX_TRIALS: usize = 3;
/// Time after the crash of an engine in which an innocent call may be quarantined, since it cannot
/// yet be told from the cause. A quarantine lasts three times as long.
const SUSPICION_TIME: Duration = Duration::from_secs(10);
/// Texts in the answers to a quarantined call and to one with a quarantined part.
const QUARANTINE_MESSAGES: [&str; 2] = [
    "Engines that ran this call ended.",
    "Engines that ran calls with a part of this prompt ended.",
];
/// Number of engines that a part of prompts may crash before it is quarantined.
const ENDS_BEFORE_PART_QUARANTINE: usize = 5;
/// Least number of sound calls that are judged.
const MIN_SOUND_CALLS: usize = 12;

/// Checks who is quarantined and who is not.
pub(super) fn check(
    history: &History,
    engines: &HashMap<&str, Vec<&str>>,
    findings: &mut Vec<Finding>,
) {
    check_innocent(history, findings);
    let (call, part) = (RequestKind::Fatal, RequestKind::FatalPart);
    check_fatal(history, engines, call, ENDS_BEFORE_QUARANTINE, findings);
    check_fatal(
        history,
        engines,
        part,
        ENDS_BEFORE_PART_QUARANTINE,
        findings,
    );
    check_first_part(history, findings);
}

fn is_quarantined(call: &Call) -> bool {
    let CallOutcome::Answer {
        body: Some(body), ..
    } = &call.outcome
    else {
        return false;
    };
    let text = String::from_utf8_lossy(body);
    QUARANTINE_MESSAGES
        .iter()
        .any(|message| text.contains(message))
}

fn check_innocent(history: &History, findings: &mut Vec<Finding>) {
    let fatal = [RequestKind::Fatal, RequestKind::FatalPart];
    for call in history
        .calls
        .iter()
        .filter(|call| !fatal.contains(&call.kind))
    {
        let just_ended =
            |end: &Duration| *end <= call.ended_at && call.sent_at <= *end + SUSPICION_TIME;
        if is_quarantined(call) && !history.engine_ends.iter().any(just_ended) {
            let evidence = format!("{} {:?} was held", call.id, call.kind);
            report(findings, Invariant::Held, evidence);
        }
    }
}

fn check_fatal(
    history: &History,
    engines: &HashMap<&str, Vec<&str>>,
    kind: RequestKind,
    ends_before: usize,
    findings: &mut Vec<Finding>,
) {
    let Some(last) = history.engine_ends.get(ends_before - 1) else {
        return;
    };
    let later = history.calls.iter().filter(|call| {
        call.kind == kind
            && call.sent_at > *last + PROPAGATION_TIME
            && engines.contains_key(call.id.as_str())
            && is_free_of_faults(history, call)
    });
    let later: Vec<&str> = later.map(|call| call.id.as_str()).collect();
    if later.len() > MAX_TRIALS {
        let evidence = format!(
            "{kind:?} ended {} engines, at last {later:?}",
            history.engine_ends.len()
        );
        report(findings, Invariant::Held, evidence);
    }
}

/// Sound calls of the caller and first part of a fatal part must go on.
fn check_first_part(history: &History, findings: &mut Vec<Finding>) {
    let Some(last) = history.engine_ends.get(ENDS_BEFORE_PART_QUARANTINE - 1) else {
        return;
    };
    let sound = history.calls.iter().filter(|call| {
        call.kind == RequestKind::FirstPart && call.sent_at > *last + 2 * PROPAGATION_TIME
    });
    let sound: Vec<&Call> = sound.collect();
    let held = sound.iter().filter(|call| is_quarantined(call)).count();
    if sound.len() >= MIN_SOUND_CALLS && 2 * held > sound.len() {
        let evidence = format!("{held} of {} sound calls were held", sound.len());
        report(findings, Invariant::Held, evidence);
    }
}
