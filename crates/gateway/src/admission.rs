//! Whether a call may go to an engine now, by what is known of the engines that it ended. Asked before every way to an engine:
//! first sends, repeats, prompts that are only read, memory that is taken over, and streams that go on elsewhere.

use std::time::Duration;

use serving::EngineId;
use serving::quarantine::{Builds, Verdict};

use crate::attempt::Asked;
use crate::instance::Instance;
use crate::{suspects, trials};

/// How a call may go to an engine.
pub(crate) enum Admission {
    /// As any call.
    Usual,
    /// Alone, since it may end its engine.
    Alone,
    /// To no engine but those that it has run well on.
    Avoiding(Vec<EngineId>),
    /// Not now; it may be tried after this time.
    Held(Duration),
}

/// When a caller may come back while another instance tries its call, or the store does not say who may.
const TRIED_AFTER: Duration = Duration::from_secs(1);

/// Decides on a call that is about to be placed. A held one whose trial is due is claimed for this instance.
pub(crate) async fn admit(instance: &Instance, asked: &Asked) -> Admission {
    if asked.on_trial.get() {
        return Admission::Alone;
    }
    let admission = match instance.suspects.verdict(asked, suspects::now(instance)) {
        Verdict::TrialDue if trials::claim(instance, asked).await => {
            log::info!(id = asked.call.id.as_str(), fingerprint = asked.fingerprint_text(); "a held call is tried");
            asked.on_trial.set(true);
            Admission::Alone
        }
        Verdict::TrialDue => Admission::Held(TRIED_AFTER),
        decided => judge(instance, asked, decided),
    };
    if let Admission::Held(after) = &admission {
        tell_held(instance, asked, *after);
    }
    admission
}

/// As [`admit`], for a call that an engine has begun to serve already: no trial begins there.
pub(crate) fn admit_further(instance: &Instance, asked: &Asked) -> Admission {
    let verdict = instance.suspects.verdict(asked, suspects::now(instance));
    judge(instance, asked, verdict)
}

fn judge(instance: &Instance, asked: &Asked, verdict: Verdict) -> Admission {
    match verdict {
        Verdict::Clear => Admission::Usual,
        Verdict::Suspected => Admission::Alone,
        Verdict::TrialDue => Admission::Held(TRIED_AFTER),
        Verdict::Held {
            after,
            good_builds: well_on,
        } if well_on.is_empty() => Admission::Held(after),
        Verdict::Held {
            good_builds: well_on,
            ..
        } => Admission::Avoiding(all_but(instance, asked, &well_on)),
    }
}

/// Engines of a call's service that run another build.
fn all_but(instance: &Instance, asked: &Asked, builds: &Builds) -> Vec<EngineId> {
    let fleet = instance.fleet.borrow();
    let others = fleet
        .ready(&asked.service.name)
        .filter(|engine| !builds.contains(&engine.record.build()));
    others.map(|engine| engine.record.id.clone()).collect()
}

fn tell_held(instance: &Instance, asked: &Asked, after: Duration) {
    instance.metrics.held();
    let entry = instance
        .suspects
        .get(asked.fingerprint())
        .unwrap_or_default();
    let last = entry.last_crash().unwrap_or_default();
    log::info!(
        id = asked.call.id.as_str(), fingerprint = asked.fingerprint_text(), caller:% = asked.caller,
        ended = entry.uncleared_crashes(), last_ms:% = suspects::now(instance).saturating_sub(last).as_millis(),
        trials = entry.trials, failed = entry.failed_trials, after_ms:% = after.as_millis();
        "held"
    );
}
