//! Checks that streams hold events of one software version, and that most of those that callers resume
//! go on.

use std::collections::HashMap;
use std::time::Duration;

use super::{Finding, Invariant, report};
use crate::history::{Call, CallOutcome, History, RequestKind};
use crate::plan::FaultKind;

/// Software version of engines that name none in their events.
const INITIAL: &str = "v1";
/// Resumptions below which their share says nothing.
const MIN_RESUMPTIONS: f64 = 12.0;
/// Share of the new streams' success at least which resumed ones must have.
const RESUMED_SHARE: f64 = 0.5;

/// Time after the loss of all gateways in which none of them is one that callers may rely on: what had begun
/// before is known to nobody.
const LOSS_OF_ALL: Duration = Duration::from_secs(3);

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number in the stream.
    pub number: usize,
    /// Software version of the engine that wrote it.
    pub version: String,
}

/// The whole events in what arrived of a stream.
pub fn events(received: &[u8]) -> Vec<Event> {
    let text = String::from_utf8_lossy(received);
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let events = whole.split("\n\n").filter_map(|event| {
        let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
        let mut fields = data.split(' ').skip(1);
        Some(Event {
            number: fields.next()?.parse().ok()?,
            version: fields.next().unwrap_or(INITIAL).to_owned(),
        })
    });
    events.collect()
}

/// Checks that no stream has events of two versions, in one answer or over its caller's attempts.
pub(super) fn check_versions(history: &History, findings: &mut Vec<Finding>) {
    let mut streams: HashMap<&str, Vec<(&Call, Vec<Event>)>> = HashMap::new();
    for call in history.calls.iter().filter(|call| call.kind.is_stream()) {
        let first = call
            .resumes
            .as_ref()
            .map_or(&call.id, |resumes| &resumes.first);
        let events = events(&call.received);
        streams.entry(first).or_default().push((call, events));
    }
    for (first, attempts) in streams {
        let events = || attempts.iter().flat_map(|(_, events)| events);
        let Some(version) = events().next().map(|event| &event.version) else {
            continue;
        };
        if events().any(|event| event.version != *version) {
            let attempts = attempts.iter();
            let attempts = attempts.map(|(call, events)| (&call.id, call.gateway, events));
            let evidence = format!("{first}: {:?}", attempts.collect::<Vec<_>>());
            report(findings, Invariant::OneVersion, evidence);
        }
    }
}

/// Checks that streams that callers resume go on at least half as often as new ones begin, while engines of
/// two versions serve.
pub(super) fn check_resumptions(history: &History, findings: &mut Vec<Finding>) {
    let upgrades = history.faults.iter();
    let mut upgrades = upgrades.filter(|fault| matches!(fault.kind, FaultKind::Upgrade(_)));
    let Some(first) = upgrades.next() else {
        return;
    };
    let (mut new, mut resumed) = ((0.0, 0.0), (0.0, 0.0));
    for call in &history.calls {
        let began = match &call.outcome {
            CallOutcome::Answer { status, .. } => f64::from(u8::from(*status == 200)),
            CallOutcome::NotConnected | CallOutcome::Closed | CallOutcome::Left => continue,
        };
        if call.kind != RequestKind::Resume || call.sent_at < first.at {
            continue;
        }
        let count = match call.resumes {
            Some(_) if follows_loss_of_all(history, call.sent_at) => continue,
            Some(_) => &mut resumed,
            None => &mut new,
        };
        *count = (count.0 + began, count.1 + 1.0);
    }
    let share = |(began, all): (f64, f64)| began / f64::max(all, 1.0);
    if resumed.1 >= MIN_RESUMPTIONS && share(resumed) < share(new) * RESUMED_SHARE {
        let evidence = format!(
            "{} of {} resumed streams went on, {} of {} new ones began",
            resumed.0, resumed.1, new.0, new.1
        );
        report(findings, Invariant::Resumed, evidence);
    }
}

/// Whether all gateways were killed shortly before this moment.
fn follows_loss_of_all(history: &History, at: Duration) -> bool {
    let mut kills = history
        .faults
        .iter()
        .filter(|fault| fault.kind == FaultKind::KillAll);
    kills.any(|kill| kill.at <= at && at < kill.at + LOSS_OF_ALL)
}
