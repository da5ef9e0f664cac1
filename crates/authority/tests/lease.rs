//! When an instance claims and renews, and when it may act.

mod common;
#[path = "common/process.rs"]
mod process;

use assert_matches::assert_matches;
use authority::lease::rank::rank;
use authority::lease::term::{Finding, TermConfig};
use authority::lease::{Input, Output, Term};
use common::renewal;
use process::{Process, secs, term_config};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::record::{Record, record::Body};

const INSTANT: Duration = Duration::ZERO;

/// A log in which `process` has claimed the scope after `now` and read the claim back.
fn held_by(process: &mut Process, now: Duration) -> Vec<Record> {
    process.read(now, &[]);
    let log = process.tick(now + secs(1));
    assert_matches!(
        log[..],
        [Record {
            body: Some(Body::ScopeClaim(_)),
            ..
        }]
    );
    process.read(now + secs(2), &log);
    log
}

#[test]
fn vacant_scope_is_claimed_only_after_a_complete_read() {
    let mut process = Process::new("a", term_config());
    assert!(process.tick(secs(100)).is_empty());
    let outputs = process.read(secs(100), &[]);
    assert_matches!(outputs[..], [Output::Append { .. }]);
}

#[test]
fn lease_runs_from_before_the_append() {
    // The renewal is read back long after it was sent. If the lease started with the answer or the
    // read, the holder could act after a challenger has waited for the lease to expire.
    let mut process = Process::new("a", term_config());
    held_by(&mut process, secs(0));
    let until = process.lease.grant().unwrap().until;
    assert_eq!(until, secs(1 + 9));
    assert!(process.lease.may_act(secs(8), secs(1)));
    assert!(!process.lease.may_act(secs(8), secs(2)));
}

#[test]
fn acknowledged_renewal_counts_only_when_read_back() {
    // Another claim may be logged before the renewal. The answer says that the renewal is in the log,
    // not that it is valid, and must not extend the lease.
    let mut process = Process::new("a", term_config());
    held_by(&mut process, secs(0));
    let sent = process.tick(secs(5));
    let nonce = sent[0].nonce.clone().try_into().unwrap();
    process.step(secs(6), &Input::AppendAcknowledged(nonce));
    assert_eq!(process.lease.grant().unwrap().until, secs(10));
}

#[test]
fn renewal_with_a_lost_answer_extends_the_lease_from_its_own_send() {
    // The answers to two renewals are lost, and only the first is logged. If it were taken for lost,
    // the lease would expire too early; if it counted from the second send, too late.
    let mut process = Process::new("a", term_config());
    let mut log = held_by(&mut process, secs(0));
    let first = process.tick(secs(4));
    let nonce = first[0].nonce.clone().try_into().unwrap();
    assert!(
        process
            .step(secs(5), &Input::AppendUnknown(nonce))
            .is_empty()
    );
    let second = process.tick(secs(6));
    assert_eq!(second.len(), 1);
    log.extend(first);
    process.read(secs(7), &log);
    assert_eq!(process.lease.grant().unwrap().until, secs(4 + 9));
}

#[test]
fn lease_expires_during_a_log_outage_and_resumes_afterwards() {
    let mut process = Process::new("a", term_config());
    let mut log = held_by(&mut process, secs(0));
    for now in 2..40 {
        for record in process.tick(secs(now)) {
            let nonce = record.nonce.try_into().unwrap();
            process.step(secs(now), &Input::AppendFailed(nonce));
        }
        assert_eq!(process.lease.may_act(secs(now), INSTANT), now < 10);
    }
    log.extend(process.tick(secs(41)));
    process.read(secs(42), &log);
    assert_eq!(process.lease.grant().unwrap().until, secs(50));
}

#[test]
fn challenger_waits_after_its_read_and_reads_again_before_claiming() {
    // The log is unavailable for longer than the wait. Afterwards the challenger must read again
    // before it claims, or it would replace a live holder based on what it read before the outage.
    let (mut a, mut b) = (
        Process::new("a", term_config()),
        Process::new("b", term_config()),
    );
    let mut log = held_by(&mut a, secs(0));
    b.read(secs(5), &log);
    assert!(b.tick(secs(60)).is_empty());
    log.extend(a.tick(secs(60)));
    assert!(b.read(secs(61), &log).is_empty());
    assert!(b.tick(secs(70)).is_empty());
    let outputs = b.read(secs(71), &log);
    assert_matches!(outputs[..], [Output::Append { .. }]);
}

#[test]
fn new_process_waits_after_its_first_complete_read() {
    let (mut a, mut b) = (
        Process::new("a", term_config()),
        Process::new("b", term_config()),
    );
    let log = held_by(&mut a, secs(0));
    b.read_upto(secs(0), &log, 1);
    assert!(b.read(secs(20), &log).is_empty());
    assert!(b.read(secs(29), &log).is_empty());
    assert_matches!(b.read(secs(30), &log)[..], [Output::Append { .. }]);
}

#[test]
fn restarted_instance_challenges_its_earlier_run() {
    // The holder is killed and starts again under the same instance id. If it took the claim of its
    // earlier run for its own, it would only renew and be refused, and the scope would never have a
    // holder again.
    let mut earlier = Process::new("a", term_config());
    let log = held_by(&mut earlier, secs(0));
    let mut restarted = Process::with_incarnation("a", 2, term_config());
    assert!(restarted.read(secs(0), &log).is_empty());
    let outputs = restarted.read(secs(10), &log);
    assert_matches!(
        outputs[..],
        [Output::Append {
            body: Body::ScopeClaim(_),
            ..
        }]
    );
}

#[test]
fn process_that_shuts_down_releases_and_claims_no_more() {
    let (mut a, mut b) = (
        Process::new("a", term_config()),
        Process::new("b", term_config()),
    );
    let mut log = held_by(&mut a, secs(0));
    let released = a.step(secs(3), &Input::Leave);
    assert_matches!(
        released[..],
        [Record {
            body: Some(Body::Release(_)),
            ..
        }]
    );
    assert!(!a.lease.may_act(secs(3), INSTANT));
    log.extend(released);
    assert_matches!(a.read(secs(4), &log)[..], [Output::Lost { to: None }]);
    assert!(a.tick(secs(60)).is_empty());
    assert_matches!(b.read(secs(4), &log)[..], [Output::Append { .. }]);
}

#[test]
fn claim_logged_during_shutdown_is_released() {
    let mut process = Process::new("a", term_config());
    process.read(secs(0), &[]);
    let log = process.tick(secs(1));
    assert!(process.step(secs(1), &Input::Leave).is_empty());
    process.read(secs(2), &log);
    assert!(!process.lease.may_act(secs(2), INSTANT));
    let released = process.tick(secs(3));
    assert_matches!(
        released[..],
        [Record {
            body: Some(Body::Release(_)),
            ..
        }]
    );
}

#[test]
fn renewal_with_an_unknown_nonce_does_not_extend_the_lease() {
    let mut process = Process::new("a", term_config());
    let mut log = held_by(&mut process, secs(0));
    log.push(renewal("a", 1));
    process.read(secs(8), &log);
    assert_eq!(process.lease.grant().unwrap().until, secs(10));
}

#[test]
fn all_invalid_settings_are_reported() {
    let findings = Term::try_from(TermConfig {
        lease: secs(0),
        drift_ppm: 200_000,
        ..term_config()
    });
    let fields = findings.unwrap_err();
    let fields: Vec<_> = fields.iter().map(|Finding { field, .. }| *field).collect();
    assert_eq!(fields, ["lease", "drift_ppm", "retry"]);
}

#[test]
fn wait_on_a_fast_clock_covers_the_lease_on_a_slow_clock() {
    let term = Term::try_from(TermConfig {
        lease: secs(10),
        margin: Duration::ZERO,
        drift_ppm: 10_000,
        ..term_config()
    });
    let wait = term.unwrap().challenge_wait();
    assert!(wait >= secs(10).mul_f64(1.01 / 0.99) && wait < secs(11));
}

#[test]
fn scopes_spread_over_the_instances() {
    let members: Vec<_> = (1..=8).map(|n| format!("entry-{n}")).collect();
    let mut first_ranks = BTreeMap::new();
    for scope in 0..800 {
        let scope = format!("pool-{scope}");
        let mut ranks: Vec<_> = members.iter().map(|m| rank(&scope, m, &members)).collect();
        let chosen = ranks.iter().position(|rank| *rank == 0).unwrap();
        *first_ranks.entry(chosen).or_insert(0) += 1;
        ranks.sort_unstable();
        assert_eq!(ranks, (0..8).collect::<Vec<_>>());
    }
    assert!(
        first_ranks.values().all(|count| (60..140).contains(count)),
        "{first_ranks:?}"
    );
}

/// One step of a schedule. Instances and appends are given by index.
#[derive(Clone, Copy, Debug)]
enum Action {
    Advance(u64),
    Tick(usize),
    Read(usize, usize),
    Deliver(usize),
    Lose(usize),
}

fn any_action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (50..2000u64).prop_map(Action::Advance),
        4 => (0..3usize).prop_map(Action::Tick),
        4 => (0..3usize, 0..3usize).prop_map(|(who, lag)| Action::Read(who, lag)),
        3 => (0..4usize).prop_map(Action::Deliver),
        1 => (0..4usize).prop_map(Action::Lose),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Appends are logged late, reordered or lost, reads lag, instances pause, and clocks run at
    /// different rates within the bound. At most one instance may act at any time.
    #[test]
    fn no_two_instances_may_act_at_once(
        actions in proptest::collection::vec(any_action(), 1..400),
        rates in proptest::array::uniform3(950_000..=1_050_000u64),
    ) {
        let config = TermConfig { drift_ppm: 50_000, margin: Duration::ZERO, ..term_config() };
        let mut processes = ["a", "b", "c"].map(|instance| Process::new(instance, config));
        let (mut log, mut sent) = (Vec::new(), Vec::new());
        let mut micros = 0;
        for action in actions {
            let local = |who: usize| Duration::from_nanos(micros * rates[who] / 1000);
            match action {
                Action::Advance(millis) => micros += millis * 1000,
                Action::Tick(who) => sent.extend(processes[who].tick(local(who))),
                Action::Read(who, 0) => {
                    for output in processes[who].read(local(who), &log) {
                        if let Output::Append { nonce, body } = output {
                            let author = Some((&common::author(["a", "b", "c"][who])).into());
                            let nonce = nonce.to_vec();
                            sent.push(Record { nonce, rules: 1, author, body: Some(body) });
                        }
                    }
                }
                Action::Read(who, lag) => {
                    processes[who].read_upto(local(who), &log, log.len().saturating_sub(lag));
                }
                Action::Deliver(which) if which < sent.len() => log.push(sent.remove(which)),
                Action::Lose(which) if which < sent.len() => drop(sent.remove(which)),
                Action::Deliver(_) | Action::Lose(_) => (),
            }
            let now = |who: usize| Duration::from_nanos(micros * rates[who] / 1000);
            let acting = (0..3).filter(|who| processes[*who].lease.may_act(now(*who), INSTANT));
            prop_assert!(acting.count() <= 1);
        }
    }
}
