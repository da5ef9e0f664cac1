//! Decides whether a call may go to an engine now, given the engines that crashed while running it.
//! Every dispatch to an engine asks first: first sends, retries, prefill, KV cache transfers and
//! streams that resume elsewhere.

use std::time::Duration;

use serving::EngineId;
use serving::quarantine::{Builds, Verdict};

use crate::attempt::Request;
use crate::instance::Instance;
use crate::{quarantine_store, suspects};

/// How a call may be dispatched.
pub(crate) enum Admission {
    /// Without restriction.
    Unrestricted,
    /// To an engine that runs no other call, since it may crash the engine.
    Alone,
    /// To any engine except these, which run builds that it has not run well on.
    Excluding(Vec<EngineId>),
    /// Not now; retry after this time.
    Held(Duration),
}

/// Retry-after while another instance tries the call, or while the store does not say who may.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decides on a call that is about to be placed. Claims the trial of a held call for this instance
/// when it is due.
pub(crate) async fn admit(instance: &Instance, request: &Request) -> Admission {
    if request.is_trial.get() {
        return Admission::Alone;
    }
    let admission = match instance.suspects.verdict(request, suspects::now(instance)) {
        Verdict::TrialDue if quarantine_store::claim_trial(instance, request).await => {
            log::info!(id = request.call.id.as_str(), fingerprint = request.fingerprint_text(); "a held call is tried");
            request.is_trial.set(true);
            Admission::Alone
        }
        Verdict::TrialDue => Admission::Held(TRIAL_RETRY_AFTER),
        decided => admission_for(instance, request, decided),
    };
    if let Admission::Held(after) = &admission {
        log_held(instance, request, *after);
    }
    admission
}

/// As [`admit`], for a call that an engine has already begun to serve; starts no trial.
pub(crate) fn admit_started(instance: &Instance, request: &Request) -> Admission {
    let verdict = instance.suspects.verdict(request, suspects::now(instance));
    admission_for(instance, request, verdict)
}

fn admission_for(instance: &Instance, request: &Request, verdict: Verdict) -> Admission {
    match verdict {
        Verdict::Clear => Admission::Unrestricted,
        Verdict::Suspected => Admission::Alone,
        Verdict::TrialDue => Admission::Held(TRIAL_RETRY_AFTER),
        Verdict::Held {
            after,
            good_builds: well_on,
        } if well_on.is_empty() => Admission::Held(after),
        Verdict::Held {
            good_builds: well_on,
            ..
        } => Admission::Excluding(engines_with_other_builds(instance, request, &well_on)),
    }
}

/// Engines of the call's service that run a build not in `builds`.
fn engines_with_other_builds(
    instance: &Instance,
    request: &Request,
    builds: &Builds,
) -> Vec<EngineId> {
    let fleet = instance.fleet.borrow();
    let others = fleet
        .ready(&request.service.name)
        .filter(|engine| !builds.contains(&engine.record.build()));
    others.map(|engine| engine.record.id.clone()).collect()
}

fn log_held(instance: &Instance, request: &Request, after: Duration) {
    instance.metrics.call_held();
    let entry = instance
        .suspects
        .get(request.fingerprint())
        .unwrap_or_default();
    let last = entry.last_crash().unwrap_or_default();
    log::info!(
        id = request.call.id.as_str(), fingerprint = request.fingerprint_text(), caller:% = request.caller,
        ended = entry.uncleared_crashes(), last_ms:% = suspects::now(instance).saturating_sub(last).as_millis(),
        trials = entry.trials, failed = entry.failed_trials, after_ms:% = after.as_millis();
        "held"
    );
}
