//! Decides whether a call may go to an engine now, given the engines that crashed while running it or
//! others with a part of its prompt. Every dispatch to an engine asks first: first sends, retries,
//! prefill, KV cache transfers and streams that resume elsewhere.

use std::time::Duration;

use serving::fingerprint::Fingerprint;
use serving::place::Refusal;
use serving::quarantine::{Builds, Judgement, Verdict};
use serving::{Choice, EngineId};

use crate::attempt::Request;
use crate::instance::Instance;
use crate::suspects::fingerprint_text;
use crate::{quarantine_store, suspects};

/// How a call may be dispatched.
pub(crate) enum Admission {
    /// Without restriction.
    Unrestricted,
    /// To an engine that runs no other call, since it may crash the engine.
    Alone,
    /// To any engine except these, which run builds that it has not run well on.
    Excluding(Vec<EngineId>),
    /// Not now; retry after the given time.
    Held(Hold),
}

/// Why a call is held, and for how long.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hold {
    /// The call itself or a part of its prompt.
    suspect: Fingerprint,
    is_part: bool,
    after: Duration,
}

impl Hold {
    /// The refusal of the call.
    pub(crate) fn refusal(&self) -> Choice {
        Choice::Refuse {
            retry_after: self.after,
            reason: match self.is_part {
                true => Refusal::PartHeld,
                false => Refusal::Held,
            },
            best_target: None,
        }
    }
}

/// Retry-after while another instance tries the call, or while the store does not say who may.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decides on a call that is about to be placed. Claims the trial of a held call for this instance
/// when it is due.
pub(crate) async fn admit(instance: &Instance, request: &Request) -> Admission {
    if request.is_trial.get() {
        return Admission::Alone;
    }
    let judgement = instance.suspects.judge(request, suspects::now(instance));
    if let Some(Judgement { suspect, verdict }) = &judgement
        && *verdict == Verdict::TrialDue
        && quarantine_store::claim_trial(instance, request, *suspect).await
    {
        log::info!(id = request.call.id.as_str(), fingerprint = fingerprint_text(*suspect); "a held call is tried");
        request.is_trial.set(true);
        return Admission::Alone;
    }
    admission_for(instance, request, judgement)
}

/// As [`admit`], for a call that was admitted before or that an engine has already begun to serve;
/// starts no trial.
pub(crate) fn admit_again(instance: &Instance, request: &Request) -> Admission {
    if request.is_trial.get() {
        return Admission::Alone;
    }
    let now = suspects::now(instance);
    admission_for(instance, request, instance.suspects.judge(request, now))
}

fn admission_for(
    instance: &Instance,
    request: &Request,
    judgement: Option<Judgement>,
) -> Admission {
    let Some(Judgement { suspect, verdict }) = judgement else {
        return Admission::Unrestricted;
    };
    let after = match verdict {
        Verdict::Clear => return Admission::Unrestricted,
        Verdict::Suspected => return Admission::Alone,
        Verdict::Held { good_builds, .. } if !good_builds.is_empty() => {
            let others = engines_with_other_builds(instance, request, &good_builds);
            return Admission::Excluding(others);
        }
        Verdict::TrialDue => TRIAL_RETRY_AFTER,
        Verdict::Held { after, .. } => after,
    };
    let hold = Hold {
        suspect,
        is_part: suspect != request.fingerprint(),
        after,
    };
    log_held(instance, request, &hold);
    Admission::Held(hold)
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

fn log_held(instance: &Instance, request: &Request, hold: &Hold) {
    instance.metrics.call_held();
    let entry = instance.suspects.get(hold.suspect).unwrap_or_default();
    let last = entry.last_crash().unwrap_or_default();
    log::info!(
        id = request.call.id.as_str(), fingerprint = fingerprint_text(hold.suspect), part = hold.is_part, caller:% = request.caller,
        ended = entry.uncleared_crashes(), last_ms:% = suspects::now(instance).saturating_sub(last).as_millis(),
        trials = entry.trials, failed = entry.failed_trials, after_ms:% = hold.after.as_millis();
        "held"
    );
}
