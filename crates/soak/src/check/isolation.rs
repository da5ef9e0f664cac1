//! Checks that callers of gateways without paths to engines are served as callers of others are, and that
//! no gateway takes others' faults for lost paths.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::check::{Finding, Invariant, report};
use crate::history::{Call, CallOutcome, History, RequestKind};
use crate::plan::{Fault, FaultKind};

/// Time after a gateway lost its paths in which it may still fail calls.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Least share of calls served at isolated gateways, of the share served at others.
const SERVED_SHARE: f64 = 2.0 / 3.0;
/// Number of failed calls, and share of all calls, up to which nothing is reported.
const FAILED_CALLS: f64 = 10.0;
const FAILED_SHARE: f64 = 1.0 / 50.0;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    served: f64,
    all: f64,
}

impl Count {
    fn add(&mut self, call: &Call) {
        self.served += f64::from(u8::from(call.is_success()));
        self.all += 1.0;
    }

    fn share(self) -> f64 {
        self.served / self.all.max(1.0)
    }
}

/// Compares the calls at isolated gateways to those at the others, while both are in touch.
pub(super) fn check_isolation(history: &History, findings: &mut Vec<Finding>) {
    let faults = &history.faults;
    let isolations = faults.iter().filter_map(|fault| match fault.kind {
        FaultKind::Isolation(number, _) => Some((number, fault)),
        _ => None,
    });
    let isolations: Vec<(usize, &Fault)> = isolations.collect();
    let Some((_, first)) = isolations.first() else {
        return;
    };
    let (from, until) = (first.at + DETECTION_TIME, first.at + first.duration);
    let isolated: BTreeSet<usize> = isolations.iter().map(|(number, _)| *number).collect();
    let (mut cut_off, mut others) = (Count::default(), Count::default());
    for call in &history.calls {
        let is_counted = call.sent_at >= from
            && call.ended_at <= until
            && call.outcome != CallOutcome::Left
            && !matches!(
                call.kind,
                RequestKind::Fatal | RequestKind::FatalPart | RequestKind::Keyless
            )
            && !is_disturbed(call, faults);
        if !is_counted {
            continue;
        }
        if isolated.contains(&call.gateway) {
            cut_off.add(call);
        } else {
            others.add(call);
        }
    }
    let failed = cut_off.all - cut_off.served;
    let is_unfair = others.all > 0.0 && cut_off.share() < others.share() * SERVED_SHARE;
    if is_unfair && failed > FAILED_CALLS + cut_off.all * FAILED_SHARE {
        let evidence = format!(
            "isolated gateways served {} of {} calls, the others {} of {}",
            cut_off.served, cut_off.all, others.served, others.all
        );
        report(findings, Invariant::Isolation, evidence);
    }
}

/// Reports gateways that take engines which end together for lost paths of their own.
pub(super) fn check_conclusions(history: &History, findings: &mut Vec<Finding>) {
    let has = |is_kind: fn(&FaultKind) -> bool| {
        let mut kinds = history.faults.iter().map(|fault| &fault.kind);
        kinds.any(is_kind)
    };
    let end_together = has(|kind| matches!(kind, FaultKind::EndTogether));
    let lose_paths = has(|kind| matches!(kind, FaultKind::Isolation(..)));
    if end_together && !lose_paths {
        for line in &history.lost_paths {
            report(findings, Invariant::Paths, line.clone());
        }
    }
}

/// Whether a fault of the call's own gateway explains its outcome.
fn is_disturbed(call: &Call, faults: &[Fault]) -> bool {
    let concerns = |fault: &&Fault| match fault.kind {
        FaultKind::Process(number, _)
        | FaultKind::Callers(number, _)
        | FaultKind::StoreLink(number, _) => number == call.gateway,
        FaultKind::KillAll | FaultKind::Store(_) => true,
        _ => false,
    };
    let overlaps = |fault: &Fault| {
        call.ended_at >= fault.at && call.sent_at <= fault.at + fault.duration + DETECTION_TIME
    };
    faults.iter().filter(concerns).any(overlaps)
}
