//! Calls that crash engines are held, calls that ran beside them are not, and entries of instances
//! merge.

use std::time::Duration;

use clock::Moment;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use serving::fingerprint::Fingerprint;
use serving::hash;
use serving::quarantine::{
    Crash, Entry, GoodRun, HOLD_CRASHES, Judgement, Kind, Quarantine, Verdict,
};

const CALL: Fingerprint = 7;
const CALLER: u32 = 1;
/// Builds of engines.
const OLD: u32 = 1;
const NEW: u32 = 2;
/// Longest hold of an innocent call, unless it fails its trial.
const MAX_INNOCENT_HOLD: Duration = Duration::from_secs(30);

fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn crash(engine: u32, build: u32, at: u64) -> Crash {
    Crash {
        engine,
        build,
        at: ms(at),
        call: 0,
    }
}

/// A call that crashed engines 1 to `crashes` of the old build, a second apart.
fn after_crashes(crashes: u32) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for engine in 1..=crashes {
        quarantine.record_crash(CALL, CALLER, crash(engine, OLD, u64::from(engine) * 1_000));
    }
    quarantine
}

fn is_held(quarantine: &Quarantine, now: u64) -> bool {
    matches!(quarantine.verdict(CALL, ms(now)), Verdict::Held { .. })
}

#[test]
fn a_call_is_isolated_after_two_crashes_and_held_after_three() {
    assert_eq!(after_crashes(0).verdict(CALL, ms(4_000)), Verdict::Clear);
    assert_eq!(after_crashes(1).verdict(CALL, ms(4_000)), Verdict::Clear);
    assert_eq!(
        after_crashes(2).verdict(CALL, ms(4_000)),
        Verdict::Suspected
    );
    let good_builds = smallvec::SmallVec::new();
    let after = ms(29_000);
    assert_eq!(
        after_crashes(3).verdict(CALL, ms(4_000)),
        Verdict::Held { after, good_builds }
    );
    assert_eq!(
        after_crashes(3).verdict(CALL + 1, ms(4_000)),
        Verdict::Clear
    );
}

/// Guards against the end of the process by a record with numbers of trials at the limit of their type.
#[test]
fn a_call_with_the_largest_numbers_of_trials_is_held_and_tried() {
    for failed_trials in [0, u32::MAX - 9, u32::MAX] {
        let mut quarantine = after_crashes(3);
        let mut entry = quarantine.get(CALL).expect("it is known").clone();
        entry.trials = u32::MAX;
        entry.failed_trials = failed_trials;
        entry.last_trial = Some(ms(3_500));
        quarantine.merge(CALL, &entry);
        quarantine.record_crash(CALL, CALLER, crash(9, NEW, 4_000));
        assert!(is_held(&quarantine, 5_000));
        let later = ms(10 * 24 * 60 * 60 * 1_000);
        let tried = quarantine.next_trial(CALL, later);
        assert!(tried.is_none_or(|tried| tried.trials == u32::MAX));
    }
}

/// Each instance with the call in progress reports the crash, twice. If each report counted, one
/// crash could hold a call that several instances had sent there.
#[test]
fn a_crash_counts_once_however_many_report_it() {
    let mut quarantine = Quarantine::default();
    for at in [1_000, 1_004, 1_350, 1_700] {
        quarantine.record_crash(CALL, CALLER, crash(1, OLD, at));
    }
    assert_eq!(quarantine.get(CALL).map(Entry::uncleared_crashes), Some(1));
}

#[test]
fn a_good_run_clears_earlier_crashes() {
    let mut quarantine = after_crashes(2);
    let good = |at| GoodRun {
        build: OLD,
        at: ms(at),
    };
    assert!(quarantine.record_good_run(CALL, good(2_500)));
    assert_eq!(quarantine.verdict(CALL, ms(2_600)), Verdict::Clear);
    for engine in 3..=4 {
        quarantine.record_crash(CALL, CALLER, crash(engine, OLD, u64::from(engine) * 1_000));
    }
    assert_eq!(quarantine.verdict(CALL, ms(4_100)), Verdict::Suspected);
    quarantine.record_crash(CALL, CALLER, crash(5, OLD, 5_000));
    assert!(is_held(&quarantine, 5_100));
    assert!(!quarantine.record_good_run(CALL + 1, good(6_000)));
    assert!(quarantine.record_good_run(CALL, good(6_000)));
    assert!(
        !quarantine.record_good_run(CALL, good(6_100)),
        "no crash is left to clear"
    );
}

/// Guards against clearing a call by good runs on another build: it would crash engines of the
/// first build for ever.
#[test]
fn a_good_run_clears_crashes_of_its_build_only() {
    let mut quarantine = after_crashes(2);
    let good = GoodRun {
        build: NEW,
        at: ms(2_500),
    };
    quarantine.record_good_run(CALL, good);
    quarantine.record_crash(CALL, CALLER, crash(3, OLD, 3_000));
    let Verdict::Held {
        good_builds: well_on,
        ..
    } = quarantine.verdict(CALL, ms(3_100))
    else {
        panic!("the call is not held");
    };
    assert_eq!(well_on.as_slice(), [NEW]);
    quarantine.record_crash(CALL, CALLER, crash(4, NEW, 4_000));
    let Verdict::Held {
        good_builds: well_on,
        ..
    } = quarantine.verdict(CALL, ms(4_100))
    else {
        panic!("the call is not held");
    };
    assert!(well_on.is_empty());
}

#[test]
fn a_held_call_is_tried_twice_and_then_held_for_a_day() {
    let mut quarantine = after_crashes(3);
    assert!(!quarantine.begin_trial(CALL, ms(32_000)));
    assert_eq!(quarantine.verdict(CALL, ms(33_000)), Verdict::TrialDue);
    assert!(quarantine.begin_trial(CALL, ms(33_000)));
    assert!(!quarantine.begin_trial(CALL, ms(33_001)));
    quarantine.record_crash(CALL, CALLER, crash(4, OLD, 33_100));
    assert!(is_held(&quarantine, 600_000));
    assert!(quarantine.begin_trial(CALL, ms(633_100)));
    quarantine.record_crash(CALL, CALLER, crash(5, OLD, 633_200));
    let day = 24 * 60 * 60 * 1_000;
    assert!(is_held(&quarantine, 633_000 + day));
    assert!(!quarantine.begin_trial(CALL, ms(634_000 + day)));
    quarantine.expire(ms(634_000 + day));
    assert!(quarantine.is_empty());
}

/// Guards against recording a trial before its claim succeeds: when the store does not carry the
/// claim out, an innocent call would wait for ten minutes instead of thirty seconds.
#[test]
fn a_trial_whose_claim_fails_is_not_recorded() {
    let mut quarantine = after_crashes(3);
    assert!(quarantine.next_trial(CALL, ms(32_000)).is_none());
    let entry = quarantine
        .next_trial(CALL, ms(33_000))
        .expect("the trial is due");
    assert_eq!(entry.trials, 1);
    assert_eq!(quarantine.verdict(CALL, ms(33_100)), Verdict::TrialDue);
    // Once the claim succeeds the trial is recorded, also by instances that read it.
    assert!(quarantine.merge(CALL, &entry));
    assert!(is_held(&quarantine, 33_100));
    assert!(is_held(&quarantine, 62_900));
}

/// Guards against holding an innocent call for 10 min because the caller of its trial left.
#[test]
fn an_inconclusive_trial_is_repeated() {
    let mut quarantine = after_crashes(3);
    assert!(quarantine.begin_trial(CALL, ms(33_000)));
    assert!(is_held(&quarantine, 62_900));
    assert_eq!(quarantine.verdict(CALL, ms(63_000)), Verdict::TrialDue);
    assert!(quarantine.begin_trial(CALL, ms(63_000)));
    // A crash counts against the call from then on.
    quarantine.record_crash(CALL, CALLER, crash(4, OLD, 63_100));
    assert!(is_held(&quarantine, 600_000));
    assert_eq!(quarantine.verdict(CALL, ms(663_100)), Verdict::TrialDue);
}

/// Guards against a call that crashes engines for ever because the outcome of its trials is never
/// seen.
#[test]
fn inconclusive_trials_are_bounded() {
    let mut quarantine = after_crashes(3);
    let hour = 3_600_000;
    let day = 24 * hour;
    let mut trials = 0;
    for now in (33_000..day).step_by(1_000) {
        trials += u32::from(quarantine.begin_trial(CALL, ms(now)));
    }
    assert_eq!(trials, 10);
    assert!(is_held(&quarantine, day));
}

/// Guards against holding calls that ran on all engines beside a fatal one for 30 s because the
/// caller of a trial left.
#[test]
fn an_inconclusive_trial_of_a_call_with_shared_crashes_is_repeated_soon() {
    let mut quarantine = after_crashes(3);
    for engine in 1..=3 {
        let at = u64::from(engine) * 1_000;
        quarantine.record_crash(CALL + 1, CALLER + 1, crash(engine, OLD, at));
    }
    assert!(quarantine.begin_trial(CALL, ms(4_000)));
    assert!(is_held(&quarantine, 5_900));
    assert!(quarantine.begin_trial(CALL, ms(6_000)));
    assert!(is_held(&quarantine, 9_900));
    assert_eq!(quarantine.verdict(CALL, ms(10_000)), Verdict::TrialDue);
}

#[test]
fn a_successful_trial_releases_the_call() {
    let mut quarantine = after_crashes(3);
    assert!(quarantine.begin_trial(CALL, ms(33_000)));
    let good = GoodRun {
        build: OLD,
        at: ms(33_500),
    };
    quarantine.record_good_run(CALL, good);
    assert_eq!(quarantine.verdict(CALL, ms(33_600)), Verdict::Clear);
}

#[test]
fn an_operator_releases_a_call() {
    let mut quarantine = after_crashes(3);
    assert!(!quarantine.release(CALL + 1, ms(4_000)));
    assert!(quarantine.release(CALL, ms(4_000)));
    assert_eq!(quarantine.verdict(CALL, ms(4_000)), Verdict::Clear);
}

#[test]
fn calls_that_are_not_held_expire() {
    let mut quarantine = after_crashes(2);
    quarantine.expire(ms(599_000));
    assert!(!quarantine.is_empty());
    quarantine.expire(ms(602_000));
    assert!(quarantine.is_empty());
}

/// A caller with many calls that crash engines, or ran beside them, must not evict those of others.
#[test]
fn one_caller_cannot_evict_calls_of_others() {
    let mut quarantine = after_crashes(3);
    for other in 0..5_000 {
        quarantine.record_crash(100 + other, 2, crash(9, OLD, 4_000));
    }
    assert!(is_held(&quarantine, 5_000));
    let remaining = (0..5_000).filter(|other| quarantine.get(100 + other).is_some());
    assert_eq!(remaining.count(), 64);
}

/// Callers at many addresses fill the table; calls with fewer crashes are evicted first.
#[test]
fn held_calls_are_evicted_last() {
    let mut quarantine = after_crashes(3);
    for other in 0..5_000 {
        let caller = u32::try_from(other).unwrap() + 10;
        quarantine.record_crash(100 + other, caller, crash(9, OLD, 4_000));
    }
    assert!(is_held(&quarantine, 5_000));
}

/// An entry as reported by one instance.
fn reported_entry() -> impl Strategy<Value = Entry> {
    let crashes = prop::collection::vec((0u32..6, 0u32..2, 0u64..20_000), 0..4);
    let good = prop::option::of((0u32..2, 0u64..20_000));
    (crashes, good, 0u32..3, 0u32..3).prop_map(|(crashes, good, trials, failed)| Entry {
        kind: Kind::Call,
        caller: CALLER,
        crashes: crashes
            .into_iter()
            // An engine has one build.
            .map(|(engine, build, at)| crash(engine * 2 + build, build, at))
            .collect(),
        good_runs: good
            .into_iter()
            .map(|(build, at)| GoodRun { build, at: ms(at) })
            .collect(),
        released: None,
        trials,
        last_trial: (trials > 0).then(|| ms(u64::from(trials) * 30_000)),
        failed_trials: failed.min(trials),
    })
}

proptest! {
    /// Datagrams arrive in any order, and some twice. Once all have arrived, all instances agree,
    /// except for good runs so close that they count as one.
    #[test]
    fn instances_with_the_same_reports_agree(
        reports in prop::collection::vec(reported_entry(), 1..5), order in any::<prop::sample::Index>(),
    ) {
        // No entry is reported with two crashes of one engine.
        let mut reports = reports;
        for entry in &mut reports {
            let mut known = Vec::new();
            entry.crashes.retain(|crash| {
                let is_new = !known.contains(&crash.engine);
                known.push(crash.engine);
                is_new
            });
        }
        let mut one = Quarantine::default();
        for entry in &reports {
            one.merge(CALL, entry);
        }
        let mut other = Quarantine::default();
        let first = order.index(reports.len());
        for entry in reports[first..].iter().chain(&reports[..first]).chain(&reports) {
            other.merge(CALL, entry);
        }
        let engines = |quarantine: &Quarantine| {
            let entry = quarantine.get(CALL).cloned().unwrap_or_default();
            let mut engines: Vec<(u32, Moment)> =
                entry.crashes.iter().map(|crash| (crash.engine, crash.at)).collect();
            engines.sort_unstable();
            (engines, entry.trials, entry.last_trial, entry.failed_trials)
        };
        // Crashes beyond the number kept add nothing.
        if engines(&one).0.len() < 8 {
            prop_assert_eq!(engines(&one), engines(&other));
        }
    }

    /// Entries that are exchanged back and forth shift later each time; one run must not seem a
    /// later one because of that.
    #[test]
    fn repeated_exchange_of_an_entry_clears_no_later_crash(delays in prop::collection::vec(1u64..60, 1..400)) {
        let good = GoodRun { build: OLD, at: ms(1_000) };
        let mut entry = Entry { caller: CALLER, good_runs: [good].into_iter().collect(), ..Entry::default() };
        let mut one = Quarantine::default();
        one.merge(CALL, &entry);
        one.record_crash(CALL, CALLER, crash(1, OLD, 2_500));
        for delay in delays {
            entry = one.get(CALL).cloned().unwrap();
            for good in &mut entry.good_runs {
                good.at += ms(delay);
            }
            for crash in &mut entry.crashes {
                crash.at += ms(delay);
            }
            one.merge(CALL, &entry);
        }
        prop_assert_eq!(one.get(CALL).map(Entry::uncleared_crashes), Some(1));
    }
}

/// Guards against holding a popular stream for 30 s: it ran on all three engines of a fleet when a
/// fatal call crashed them within 110 ms, and none of its runs ended well in between. Both calls
/// have the same crashes, so one of them is certainly innocent.
#[test]
fn calls_with_shared_crashes_are_tried_soon_one_after_the_other() {
    let mut quarantine = after_crashes(3);
    for engine in 1..=3 {
        let at = u64::from(engine) * 1_000;
        quarantine.record_crash(CALL + 1, CALLER + 1, crash(engine, OLD, at));
        quarantine.record_crash(CALL + 2, CALLER + 1, crash(engine + 3, OLD, at));
    }
    let due =
        |quarantine: &Quarantine, call, now| quarantine.verdict(call, ms(now)) == Verdict::TrialDue;
    assert!(due(&quarantine, CALL, 4_000));
    assert!(!due(&quarantine, CALL + 1, 4_000));
    assert!(due(&quarantine, CALL + 1, 5_000));
    // That call has crashes of other engines.
    assert!(!due(&quarantine, CALL + 2, 32_900));
    assert!(quarantine.begin_trial(CALL, ms(4_000)));
    quarantine.record_crash(CALL, CALLER, crash(9, OLD, 4_100));
    assert!(quarantine.begin_trial(CALL + 1, ms(5_000)));
    let good = GoodRun {
        build: OLD,
        at: ms(5_300),
    };
    quarantine.record_good_run(CALL + 1, good);
    assert_eq!(quarantine.verdict(CALL + 1, ms(5_300)), Verdict::Clear);
    assert!(is_held(&quarantine, 600_000));
}

/// Crashes of three engines a second apart, each as it was about to begin another call with a part.
fn crash_with_part(quarantine: &mut Quarantine, part: Fingerprint) {
    for engine in 1..=3 {
        let call = CALL + 100 + u128::from(engine);
        let crash = Crash {
            call: engine,
            ..crash(engine, OLD, u64::from(engine) * 1_000)
        };
        quarantine.record_crash(call, CALLER, crash);
        quarantine.record_part_crash(part, 1, CALLER, crash);
    }
}

/// Guards against refusing a call that all callers send for 30 s because it was in progress whenever
/// a part of other calls crashed an engine.
#[test]
fn a_call_in_progress_at_the_crashes_of_a_held_part_is_not_held() {
    let mut quarantine = after_crashes(3);
    let part = CALL + 1;
    crash_with_part(&mut quarantine, part);
    assert!(matches!(
        quarantine.verdict(part, ms(3_500)),
        Verdict::Held { .. }
    ));
    assert_eq!(quarantine.verdict(CALL, ms(3_500)), Verdict::Suspected);
    for engine in 4..=6 {
        quarantine.record_crash(CALL, CALLER, crash(engine, OLD, u64::from(engine) * 1_000));
    }
    assert!(is_held(&quarantine, 6_500));
}

/// Guards against holding a part that others share for the crashes of one call that is repeated.
#[test]
fn a_part_is_not_held_for_the_crashes_of_one_call() {
    let mut quarantine = after_crashes(3);
    let part = CALL + 1;
    for engine in 1..=3 {
        let crash = Crash {
            call: 9,
            ..crash(engine, OLD, u64::from(engine) * 1_000)
        };
        quarantine.record_part_crash(part, 0, CALLER, crash);
    }
    assert!(is_held(&quarantine, 3_500));
    assert_eq!(quarantine.verdict(part, ms(3_500)), Verdict::Clear);
    let crash = Crash {
        call: 10,
        ..crash(4, OLD, 4_000)
    };
    quarantine.record_part_crash(part, 0, CALLER, crash);
    assert!(matches!(
        quarantine.verdict(part, ms(4_500)),
        Verdict::Held { .. }
    ));
}

/// Guards against refusing all calls with the first part of nine calls in ten: it was there at all
/// crashes of a part that comes later, and no call with it alone had begun in between.
#[test]
fn an_earlier_part_is_not_held_for_the_crashes_of_a_later_one() {
    let mut quarantine = Quarantine::default();
    let (first, later) = (CALL, CALL + 1);
    for engine in 1..=3 {
        let crash = Crash {
            call: engine,
            ..crash(engine, OLD, u64::from(engine) * 1_000)
        };
        quarantine.record_part_crash(first, 0, CALLER, crash);
        quarantine.record_part_crash(later, 1, CALLER, crash);
    }
    assert_eq!(quarantine.verdict(first, ms(3_500)), Verdict::Clear);
    assert!(matches!(
        quarantine.verdict(later, ms(3_500)),
        Verdict::Held { .. }
    ));
    // Crashes without the later part are its own.
    for engine in 4..=6 {
        let crash = Crash {
            call: engine,
            ..crash(engine, OLD, u64::from(engine) * 1_000)
        };
        quarantine.record_part_crash(first, 0, CALLER, crash);
    }
    assert!(is_held(&quarantine, 6_500));
}

/// Guards against keeping a part that crashes engines of one build from those of another.
#[test]
fn a_part_goes_to_engines_of_the_build_on_which_it_ran_well() {
    let mut quarantine = Quarantine::default();
    crash_with_part(&mut quarantine, CALL);
    let good = GoodRun {
        build: NEW,
        at: ms(2_500),
    };
    quarantine.record_good_run(CALL, good);
    let judgement = quarantine.judge(&[CALL + 50, CALL], ms(3_500));
    let Some(Judgement {
        suspect: CALL,
        verdict: Verdict::Held { good_builds, .. },
    }) = judgement
    else {
        panic!("the part is not held: {judgement:?}");
    };
    assert_eq!(good_builds.as_slice(), [NEW]);
}

/// Guards against a part that is tried again and again because the callers of its trials leave.
#[test]
fn a_held_part_is_tried_twice_whatever_becomes_of_the_trials() {
    let mut quarantine = Quarantine::default();
    crash_with_part(&mut quarantine, CALL);
    let hour = 3_600_000;
    let trials = (3_000..20 * hour)
        .step_by(1_000)
        .filter(|now| quarantine.begin_trial(CALL, ms(*now)));
    assert_eq!(trials.count(), 2);
}

/// Engines of the replay.
const ENGINES: usize = 11;
/// Calls per second, and the duration of each in milliseconds.
const CALLS_PER_SECOND: usize = 56;
const RUN_TIME: u64 = 500;
/// Mean time between crashes and time until an engine is back, in milliseconds.
const MEAN_CRASH_INTERVAL: u64 = 1_200;
const RESTART_TIME: u64 = 1_300;
/// Length of the replay in milliseconds.
const DURATION: u64 = 600_000;
/// Times that a caller repeats a call that broke.
const MAX_REPEATS: u32 = 3;

/// Outcomes of the innocent calls in a replay.
#[derive(Debug, Default)]
struct Innocent {
    calls: usize,
    broken: usize,
    isolated: usize,
    held: usize,
    longest: Duration,
}

struct Running {
    call: Fingerprint,
    engine: usize,
    ends_at: u64,
    repeats: u32,
}

/// Replays innocent calls on engines that crash for reasons of their own, one every 1.2 s on
/// average; broken calls are repeated at once. `shared` percent of the calls are one and the same.
fn replay(seed: u64, shared: u32) -> Innocent {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut quarantine = Quarantine::default();
    let mut innocent = Innocent::default();
    let mut available_at = [0u64; ENGINES];
    let mut restarts = [0u32; ENGINES];
    let mut running: Vec<Running> = Vec::new();
    let pause = 1_000 / CALLS_PER_SECOND as u64;
    for now in 0..DURATION {
        let mut to_place = Vec::new();
        if now % pause == 0 {
            innocent.calls += 1;
            let is_shared = rng.random_range(0..100) < shared;
            let call = if is_shared {
                0
            } else {
                1 + innocent.calls as u128
            };
            to_place.push((call, 0));
        }
        if rng.random_range(0..MEAN_CRASH_INTERVAL) == 0 {
            let crashing = rng.random_range(0..ENGINES);
            let (broken, rest): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|run| run.engine == crashing);
            running = rest;
            let engine =
                u32::try_from(crashing).expect("engines are few") + restarts[crashing] * 100;
            for run in &broken {
                innocent.broken += 1;
                // Each caller has its own address.
                let caller = hash::hash32(&run.call.to_string());
                quarantine.record_crash(run.call, caller, crash(engine, OLD, now));
            }
            restarts[crashing] += 1;
            available_at[crashing] = now + RESTART_TIME;
            let repeated = broken.into_iter().filter(|run| run.repeats < MAX_REPEATS);
            to_place.extend(repeated.map(|run| (run.call, run.repeats + 1)));
        }
        for (call, repeats) in to_place {
            match quarantine.verdict(call, ms(now)) {
                Verdict::Held { after, .. } => {
                    innocent.held += 1;
                    innocent.longest = innocent.longest.max(after);
                    continue;
                }
                Verdict::Suspected => innocent.isolated += 1,
                Verdict::Clear | Verdict::TrialDue => {}
            }
            let mut engine = rng.random_range(0..ENGINES);
            while available_at[engine] > now {
                engine = rng.random_range(0..ENGINES);
            }
            running.push(Running {
                call,
                engine,
                ends_at: now + RUN_TIME,
                repeats,
            });
        }
        let (over, rest): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|run| run.ends_at <= now);
        running = rest;
        for run in over {
            let good = GoodRun {
                build: OLD,
                at: ms(now),
            };
            quarantine.record_good_run(run.call, good);
        }
        if now % 1_000 == 0 {
            quarantine.expire(ms(now));
        }
    }
    innocent
}

/// Innocent calls must not be held for having run beside a crash. Engines crash every 1.2 s for ten
/// minutes and no call is to blame: at most one broken call in a hundred may be held, and none
/// longer than until its trial.
#[test]
fn innocent_calls_are_served_during_many_crashes() {
    for seed in 1..=3 {
        let innocent = replay(seed, 0);
        println!("{innocent:?}");
        assert!(innocent.broken > 500, "{innocent:?}");
        assert!(innocent.held * 100 <= innocent.broken, "{innocent:?}");
        assert!(innocent.longest <= MAX_INNOCENT_HOLD, "{innocent:?}");
    }
}

/// A call that is sent all the time is in progress at most crashes; its good runs in between clear
/// it.
#[test]
fn a_call_that_runs_on_most_engines_is_not_held() {
    for seed in 1..=3 {
        let innocent = replay(seed, 30);
        println!("{innocent:?}");
        assert!(innocent.held * 100 <= innocent.broken, "{innocent:?}");
    }
    assert_eq!(HOLD_CRASHES, 3);
}
