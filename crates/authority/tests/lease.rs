//! When an instance claims, renews and may act.

mod common;
#[path = "common/process.rs"]
mod process;

use assert_matches::assert_matches;
use authority::lease::rank::rank;
use authority::lease::term::{Finding, TermConfig};
use authority::lease::{Input, Output, Term};
use common::renewal;
use process::{Process, figures, secs};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use wire::record::{Record, record::Body};

const NEED: Duration = Duration::ZERO;

/// A log in which `process` has claimed the scope at `now` and read the claim back.
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
    let mut process = Process::new("a", figures());
    assert!(process.tick(secs(100)).is_empty());
    let outputs = process.read(secs(100), &[]);
    assert_matches!(outputs[..], [Output::Append { .. }]);
}

#[test]
fn lease_runs_from_before_the_append() {
    // Symptom: a holder acts although a challenger has waited the lease out.
    // Sequence: the renewal is sent, lands, and is read back much later.
    // Cause: the lease would run from the moment of the answer or of the read.
    let mut process = Process::new("a", figures());
    held_by(&mut process, secs(0));
    let until = process.lease.grant().unwrap().until;
    assert_eq!(until, secs(1 + 9));
    assert!(process.lease.may_act(secs(8), secs(1)));
    assert!(!process.lease.may_act(secs(8), secs(2)));
}

#[test]
fn answered_renewal_counts_only_when_it_is_read_back() {
    // Symptom: a holder that was replaced goes on.
    // Sequence: another claim lands, then the renewal lands and is answered.
    // Cause: an offset says that the record stands, not that it is valid.
    let mut process = Process::new("a", figures());
    held_by(&mut process, secs(0));
    let sent = process.tick(secs(5));
    let nonce = sent[0].nonce.clone().try_into().unwrap();
    process.step(secs(6), &Input::AppendAcknowledged(nonce));
    assert_eq!(process.lease.grant().unwrap().until, secs(10));
}

#[test]
fn renewal_whose_answer_was_lost_extends_from_its_own_sending() {
    // Symptom: the lease lapses although the holder is alive, or it lasts too long.
    // Sequence: the answers to two renewals are lost; only the first landed.
    // Cause: the first would be taken for lost, or counted from the second's sending.
    let mut process = Process::new("a", figures());
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
fn outage_of_the_log_ends_the_lease_and_its_end_restores_it() {
    let mut process = Process::new("a", figures());
    let mut log = held_by(&mut process, secs(0));
    for now in 2..40 {
        for record in process.tick(secs(now)) {
            let nonce = record.nonce.try_into().unwrap();
            process.step(secs(now), &Input::AppendFailed(nonce));
        }
        assert_eq!(process.lease.may_act(secs(now), NEED), now < 10);
    }
    log.extend(process.tick(secs(41)));
    process.read(secs(42), &log);
    assert_eq!(process.lease.grant().unwrap().until, secs(50));
}

#[test]
fn challenger_waits_from_its_read_and_reads_again_before_it_claims() {
    // Symptom: after an outage of the log the scope changes hands although the holder is alive.
    // Sequence: the log is out for longer than the wait, then comes back; both sides append.
    // Cause: the challenger would judge by what it read before the outage.
    let (mut a, mut b) = (Process::new("a", figures()), Process::new("b", figures()));
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
fn new_process_waits_from_its_first_complete_read() {
    let (mut a, mut b) = (Process::new("a", figures()), Process::new("b", figures()));
    let log = held_by(&mut a, secs(0));
    b.read_upto(secs(0), &log, 1);
    assert!(b.read(secs(20), &log).is_empty());
    assert!(b.read(secs(29), &log).is_empty());
    assert_matches!(b.read(secs(30), &log)[..], [Output::Append { .. }]);
}

#[test]
fn restarted_instance_challenges_its_former_run() {
    // Symptom: a scope has no acting holder for good after its holder was restarted.
    // Sequence: the holder is killed and starts again under the same instance id.
    // Cause: it would take the former run's claim for its own and only renew, which is refused.
    let mut former = Process::new("a", figures());
    let log = held_by(&mut former, secs(0));
    let mut again = Process::run("a", 2, figures());
    assert!(again.read(secs(0), &log).is_empty());
    let outputs = again.read(secs(10), &log);
    assert_matches!(
        outputs[..],
        [Output::Append {
            body: Body::ScopeClaim(_),
            ..
        }]
    );
}

#[test]
fn process_that_leaves_releases_and_claims_no_more() {
    let (mut a, mut b) = (Process::new("a", figures()), Process::new("b", figures()));
    let mut log = held_by(&mut a, secs(0));
    let released = a.step(secs(3), &Input::Leave);
    assert_matches!(
        released[..],
        [Record {
            body: Some(Body::Release(_)),
            ..
        }]
    );
    assert!(!a.lease.may_act(secs(3), NEED));
    log.extend(released);
    assert_matches!(a.read(secs(4), &log)[..], [Output::Lost { to: None }]);
    assert!(a.tick(secs(60)).is_empty());
    assert_matches!(b.read(secs(4), &log)[..], [Output::Append { .. }]);
}

#[test]
fn claim_that_lands_after_the_shutdown_began_is_released() {
    let mut process = Process::new("a", figures());
    process.read(secs(0), &[]);
    let log = process.tick(secs(1));
    assert!(process.step(secs(1), &Input::Leave).is_empty());
    process.read(secs(2), &log);
    assert!(!process.lease.may_act(secs(2), NEED));
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
fn records_of_others_do_not_extend_the_lease() {
    let mut process = Process::new("a", figures());
    let mut log = held_by(&mut process, secs(0));
    log.push(renewal("a", 1));
    process.read(secs(8), &log);
    assert_eq!(process.lease.grant().unwrap().until, secs(10));
}

#[test]
fn figures_are_checked_together() {
    let findings = Term::try_from(TermConfig {
        lease: secs(0),
        drift_ppm: 200_000,
        ..figures()
    });
    let fields = findings.unwrap_err();
    let fields: Vec<_> = fields.iter().map(|Finding { field, .. }| *field).collect();
    assert_eq!(fields, ["lease", "drift_ppm", "retry"]);
}

#[test]
fn wait_covers_the_lease_of_a_slow_clock_on_a_fast_one() {
    let term = Term::try_from(TermConfig {
        lease: secs(10),
        margin: Duration::ZERO,
        drift_ppm: 10_000,
        ..figures()
    });
    let wait = term.unwrap().challenge_wait();
    assert!(wait >= secs(10).mul_f64(1.01 / 0.99) && wait < secs(11));
}

#[test]
fn scopes_spread_over_the_instances() {
    let members: Vec<_> = (1..=8).map(|n| format!("entry-{n}")).collect();
    let mut first = BTreeMap::new();
    for scope in 0..800 {
        let scope = format!("pool-{scope}");
        let mut ranks: Vec<_> = members.iter().map(|m| rank(&scope, m, &members)).collect();
        let chosen = ranks.iter().position(|rank| *rank == 0).unwrap();
        *first.entry(chosen).or_insert(0) += 1;
        ranks.sort_unstable();
        assert_eq!(ranks, (0..8).collect::<Vec<_>>());
    }
    assert!(
        first.values().all(|count| (60..140).contains(count)),
        "{first:?}"
    );
}

/// One step of a schedule: which instance does what.
#[derive(Clone, Copy, Debug)]
enum Act {
    Pass(u64),
    Tick(usize),
    Read(usize, usize),
    Land(usize),
    Lose(usize),
}

fn any_act() -> impl Strategy<Value = Act> {
    prop_oneof![
        4 => (50..2000u64).prop_map(Act::Pass),
        4 => (0..3usize).prop_map(Act::Tick),
        4 => (0..3usize, 0..3usize).prop_map(|(who, lag)| Act::Read(who, lag)),
        3 => (0..4usize).prop_map(Act::Land),
        1 => (0..4usize).prop_map(Act::Lose),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Symptom: two instances act for one pool at once.
    /// Sequence: any; appends land late, in another order or never, reads lag, instances pause,
    ///   clocks run at different rates within the bound.
    /// Cause: whichever rule of the lease is missing.
    #[test]
    fn no_two_instances_may_act_at_once(
        acts in proptest::collection::vec(any_act(), 1..400),
        rates in proptest::array::uniform3(950_000..=1_050_000u64),
    ) {
        let figures = TermConfig { drift_ppm: 50_000, margin: Duration::ZERO, ..figures() };
        let mut processes = ["a", "b", "c"].map(|instance| Process::new(instance, figures));
        let (mut log, mut sent) = (Vec::new(), Vec::new());
        let mut micros = 0;
        for act in acts {
            let local = |who: usize| Duration::from_nanos(micros * rates[who] / 1000);
            match act {
                Act::Pass(millis) => micros += millis * 1000,
                Act::Tick(who) => sent.extend(processes[who].tick(local(who))),
                Act::Read(who, 0) => {
                    for output in processes[who].read(local(who), &log) {
                        if let Output::Append { nonce, body } = output {
                            let author = Some((&common::author(["a", "b", "c"][who])).into());
                            let nonce = nonce.to_vec();
                            sent.push(Record { nonce, rules: 1, author, body: Some(body) });
                        }
                    }
                }
                Act::Read(who, lag) => {
                    processes[who].read_upto(local(who), &log, log.len().saturating_sub(lag));
                }
                Act::Land(which) if which < sent.len() => log.push(sent.remove(which)),
                Act::Lose(which) if which < sent.len() => drop(sent.remove(which)),
                Act::Land(_) | Act::Lose(_) => (),
            }
            let now = |who: usize| Duration::from_nanos(micros * rates[who] / 1000);
            let acting = (0..3).filter(|who| processes[*who].lease.may_act(now(*who), NEED));
            prop_assert!(acting.count() <= 1);
        }
    }
}
