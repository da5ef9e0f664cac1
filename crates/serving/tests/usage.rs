//! Usage is reported once per window, whatever frames are lost and whichever instance reports.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use clock::Clock as _;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serving::organisation::Name;
use serving::receipt::Inbox;
use serving::usage::{CountUpdate, Counts, Ledger, Report, Schedule, Window};

/// Fixed, so that every run checks the same cases.
const SEED: u64 = 19;

const SCHEDULE: Schedule = Schedule {
    length: Duration::from_secs(5),
    deadline: Duration::from_secs(10),
};

/// A time, in milliseconds after the start of window 1,000.
fn at(ms: u64) -> Duration {
    Duration::from_millis(5_000_000 + ms)
}

const FIRST: Window = 1_000;

fn name(text: &str) -> Name {
    Rc::from(text)
}

fn ledger() -> Ledger {
    Ledger::new(SCHEDULE, at(0))
}

fn counts(of: &[(&str, u32)]) -> Counts {
    of.iter().map(|(text, n)| (name(text), *n)).collect()
}

fn update(present: Window, window: Window, of: &[(&str, u32)]) -> CountUpdate {
    CountUpdate {
        current_window: present,
        counts: vec![(window, counts(of))],
    }
}

/// Makes a claim that succeeds.
fn claim_and_fix(ledger: &mut Ledger, now: Duration) -> Vec<Report> {
    let proposed = ledger.propose(now);
    ledger.merge_fixed(proposed.clone());
    proposed
}

fn reports(ledger: &Ledger, now: Duration) -> Vec<Report> {
    ledger.unsent(now).cloned().collect()
}

#[test]
fn windows_follow_wall_clock_time() {
    assert_eq!(SCHEDULE.window(at(0)), FIRST);
    assert_eq!(SCHEDULE.window(at(4_999)), FIRST);
    assert_eq!(SCHEDULE.window(at(5_000)), FIRST + 1);
    assert_eq!(SCHEDULE.end(FIRST), at(5_000));
}

#[test]
fn a_report_is_fixed_once_all_counts_have_arrived() {
    let mut own = ledger();
    own.count_request(&name("a"), at(100));
    own.merge(7, update(FIRST, FIRST, &[("a", 2), ("b", 1)]), at(4_900));
    own.merge(
        7,
        update(FIRST + 1, FIRST, &[("a", 3), ("b", 1)]),
        at(5_400),
    );
    assert!(!own.is_due(at(5_400)), "counts in transit are waited for");
    assert!(own.is_due(at(6_600)));
    claim_and_fix(&mut own, at(6_600));
    let reports = reports(&own, at(6_600));
    assert_eq!(reports[0].counts, counts(&[("a", 4), ("b", 1)]));
}

/// Guards against adding up counts of lost, duplicate or reordered frames instead of merging them.
#[test]
fn late_and_duplicate_counts_change_nothing() {
    let mut own = ledger();
    own.merge(7, update(FIRST, FIRST, &[("a", 5)]), at(3_000));
    own.merge(7, update(FIRST, FIRST, &[("a", 2)]), at(3_100));
    own.merge(7, update(FIRST + 1, FIRST, &[("a", 5)]), at(5_100));
    claim_and_fix(&mut own, at(6_600));
    assert_eq!(reports(&own, at(6_600))[0].counts, counts(&[("a", 5)]));
}

/// Guards against omitting a fifth of the instances that are cut off for five seconds at the end of
/// a window: the report was fixed before they were back.
#[test]
fn counts_of_a_briefly_disconnected_instance_are_waited_for() {
    let mut own = ledger();
    for source in 0..5 {
        own.merge(source, update(FIRST, FIRST, &[("a", 10)]), at(3_000));
    }
    for source in 1..5 {
        own.merge(source, update(FIRST + 1, FIRST, &[("a", 10)]), at(9_900));
    }
    assert!(!own.is_due(at(10_000)));
    own.merge(0, update(FIRST + 1, FIRST, &[("a", 12)]), at(10_200));
    assert!(own.is_due(at(10_200)));
    claim_and_fix(&mut own, at(10_200));
    assert_eq!(reports(&own, at(10_200))[0].counts, counts(&[("a", 52)]));
}

/// An instance that was killed does not come back, and the report must be on time.
#[test]
fn the_wait_for_a_lost_instance_is_bounded() {
    let mut own = ledger();
    for source in 0..5 {
        own.merge(source, update(FIRST, FIRST, &[("a", 10)]), at(3_000));
    }
    for source in 1..5 {
        own.merge(source, update(FIRST + 2, FIRST, &[("a", 10)]), at(11_400));
    }
    assert!(own.is_due(at(11_600)));
    claim_and_fix(&mut own, at(11_600));
    assert_eq!(reports(&own, at(11_600))[0].counts, counts(&[("a", 50)]));
}

/// Guards against reporting a hundredth of the usage: the reporting instance is cut off from all
/// others but not from the store, and treated silent instances as ended.
#[test]
fn an_isolated_instance_fixes_no_report() {
    let mut own = ledger();
    own.count_request(&name("a"), at(100));
    for source in 0..5 {
        own.merge(source, update(FIRST, FIRST, &[("a", 10)]), at(3_000));
    }
    assert!(!own.is_due(at(12_000)));
    claim_and_fix(&mut own, at(12_000));
    assert!(reports(&own, at(12_000)).is_empty());
}

/// Guards against a report without what others counted while the reporting instance was stopped: their updates
/// from before waited in its socket, and seemed to be new.
#[test]
fn an_instance_that_was_stopped_fixes_no_report_by_updates_that_waited() {
    let clock = clock::Manual::new();
    let unix = |moment: Duration| at(0) + moment;
    let mut own = ledger();
    let mut inbox = Inbox::new(clock.now());
    let on_update = |own: &mut Ledger, inbox: &Inbox, current_window| {
        let now = clock.now();
        let arrived = unix(now).saturating_sub(inbox.receipt(now).max_wait());
        own.merge(7, update(current_window, FIRST, &[("a", 2)]), arrived);
    };
    clock.advance(Duration::from_millis(3_000));
    inbox.on_empty(clock.now());
    // Stopped until all windows are past their wait for counts.
    clock.advance(Duration::from_millis(9_000));
    on_update(&mut own, &inbox, FIRST);
    assert!(!own.is_due(unix(clock.now())));
    inbox.on_empty(clock.now());
    clock.advance(Duration::from_millis(500));
    inbox.on_empty(clock.now());
    on_update(&mut own, &inbox, FIRST + 2);
    // An older update that was overtaken makes the peer no older.
    own.merge(7, update(FIRST, FIRST, &[]), at(3_000));
    assert!(own.is_due(unix(clock.now())));
}

/// Guards against two reports of one window: an instance fixes and sends a report and ends before
/// the answer, and its successor, which knows slightly more, makes a report of its own.
#[test]
fn a_successor_repeats_the_fixed_report() {
    let mut first = ledger();
    first.count_request(&name("a"), at(100));
    let fixed = claim_and_fix(&mut first, at(6_600));
    let mut second = ledger();
    second.merge(1, update(FIRST + 1, FIRST, &[("a", 2)]), at(6_500));
    assert!(second.is_due(at(6_700)));
    second.merge_fixed(fixed);
    claim_and_fix(&mut second, at(6_700));
    assert_eq!(reports(&second, at(6_700))[0].counts, counts(&[("a", 1)]));
    second.mark_taken(FIRST);
    assert!(reports(&second, at(6_800)).is_empty());
    // Later counts for the window change nothing.
    second.merge(1, update(FIRST + 1, FIRST, &[("a", 9)]), at(6_900));
    claim_and_fix(&mut second, at(7_000));
    assert!(reports(&second, at(7_000)).is_empty());
}

/// Guards against two reports of one window: an instance fixes and sends one and ends, the store is
/// restored from an older copy, and a successor finds the window unfixed.
#[test]
fn a_window_that_may_have_been_fixed_before_a_restore_is_not_reported() {
    let mut successor = ledger();
    successor.merge(1, update(FIRST + 1, FIRST, &[("a", 2)]), at(6_500));
    successor.fixed_reports_lost(at(7_000));
    assert!(!successor.is_due(at(7_100)));
    // The next window ended after the restore, so nobody can have fixed it.
    successor.merge(1, update(FIRST + 2, FIRST + 1, &[("a", 3)]), at(10_500));
    assert!(successor.is_due(at(11_600)));
    claim_and_fix(&mut successor, at(11_600));
    let all = reports(&successor, at(11_600));
    assert_eq!(all.len(), 1);
    assert_eq!(all[0].window, FIRST + 1);
}

/// The instance that fixed the report still knows it, and sends it.
#[test]
fn an_instance_keeps_the_report_it_fixed_after_a_restore() {
    let mut own = ledger();
    own.count_request(&name("a"), at(100));
    claim_and_fix(&mut own, at(6_600));
    own.fixed_reports_lost(at(6_700));
    assert_eq!(reports(&own, at(6_800))[0].counts, counts(&[("a", 1)]));
}

/// Guards against two reports of one window: of two simultaneous claims one fails, and that
/// instance kept the report from its failed claim and sent it with the next.
#[test]
fn a_report_of_a_failed_claim_is_not_kept() {
    let (mut first, mut second) = (ledger(), ledger());
    first.count_request(&name("a"), at(100));
    second.count_request(&name("b"), at(100));
    let overtaken = second.propose(at(6_600));
    assert_eq!(overtaken[0].counts, counts(&[("b", 1)]));
    let fixed = claim_and_fix(&mut first, at(6_600));
    second.merge_fixed(fixed);
    claim_and_fix(&mut second, at(7_600));
    assert_eq!(reports(&second, at(7_600))[0].counts, counts(&[("a", 1)]));
}

#[test]
fn a_report_past_its_deadline_is_not_sent_and_expires() {
    let mut own = ledger();
    own.count_request(&name("a"), at(100));
    claim_and_fix(&mut own, at(6_600));
    assert!(reports(&own, at(15_100)).is_empty());
    own.expire(at(200_000));
    let later = own.propose(at(200_000));
    assert!(later.iter().all(|report| report.window > FIRST));
}

/// Counts are sent as they grow, and in full after the end of each window.
#[test]
fn counts_are_sent_as_they_grow_and_in_full_at_the_end() {
    let mut own = ledger();
    own.count_request(&name("a"), at(100));
    own.count_request(&name("b"), at(200));
    assert_eq!(
        own.take_update(at(500)).counts,
        [(FIRST, counts(&[("a", 1), ("b", 1)]))]
    );
    own.count_request(&name("a"), at(600));
    assert_eq!(
        own.take_update(at(1_000)).counts,
        [(FIRST, counts(&[("a", 2)]))]
    );
    assert!(own.take_update(at(1_500)).counts.is_empty());
    for _ in 0..3 {
        assert_eq!(
            own.take_update(at(5_100)).counts,
            [(FIRST, counts(&[("a", 2), ("b", 1)]))]
        );
    }
    assert!(own.take_update(at(6_600)).counts.is_empty());
}

/// A step of one instance in a run.
#[derive(Clone, Debug)]
enum Step {
    /// An engine begins a request.
    BeginRequest { organisation: usize },
    /// It sends an update, which is lost on the way to some of the others.
    SendUpdate { lost: Vec<bool> },
    /// It claims; the claim may succeed or not, it may hear so or not, and the platform may answer
    /// or not.
    Claim {
        succeeds: bool,
        is_acknowledged: bool,
        answered: bool,
    },
    /// Its process ends and is replaced by a new one.
    Restart,
    /// The store is restored from a copy without the last claims.
    Restore,
}

const INSTANCES: usize = 4;
const ORGANISATIONS: [&str; 3] = ["a", "b", "c"];

fn step() -> impl Strategy<Value = (usize, u64, Step)> {
    let lost = prop::collection::vec(prop::bool::weighted(0.3), INSTANCES);
    let step = prop_oneof![
        6 => (0..ORGANISATIONS.len()).prop_map(|organisation| Step::BeginRequest { organisation }),
        6 => lost.prop_map(|lost| Step::SendUpdate { lost }),
        4 => (prop::bool::weighted(0.7), prop::bool::weighted(0.8), any::<bool>()).prop_map(
            |(succeeds, is_acknowledged, answered)| Step::Claim { succeeds, is_acknowledged, answered }),
        1 => Just(Step::Restart),
        1 => Just(Step::Restore),
    ];
    (0..INSTANCES, 0..900_u64, step)
}

/// The log of claims with their reports, and the reports that the platform received.
#[derive(Default)]
struct Platform {
    log: Vec<Vec<Report>>,
    received: BTreeMap<Window, Counts>,
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..ProptestConfig::default() })]
    /// The platform never gets two different reports of one window, whoever claims, ends, restarts
    /// or is cut off, and whatever the store loses. Claims follow each other, which the log of
    /// claims ensures.
    #[test]
    fn the_platform_gets_one_report_per_window(steps in prop::collection::vec(step(), 1..300)) {
        let mut now = at(0);
        let mut world = Platform::default();
        let mut ledgers: Vec<Ledger> = (0..INSTANCES).map(|_| ledger()).collect();
        let mut sources: Vec<u64> = (0..INSTANCES as u64).collect();
        for (who, pause, step) in steps {
            now += Duration::from_millis(pause);
            match step {
                Step::BeginRequest { organisation } => ledgers[who].count_request(&name(ORGANISATIONS[organisation]), now),
                Step::SendUpdate { lost } => {
                    let update = ledgers[who].take_update(now);
                    for (other, is_lost) in lost.into_iter().enumerate() {
                        if other != who && !is_lost {
                            ledgers[other].merge(sources[who], update.clone(), now);
                        }
                    }
                }
                Step::Claim { succeeds, is_acknowledged, answered } => {
                    let own = &mut ledgers[who];
                    own.expire(now);
                    if !own.is_due(now) {
                        continue;
                    }
                    own.merge_fixed(world.log.last().cloned().unwrap_or_default());
                    let proposed = own.propose(now);
                    if succeeds {
                        world.log.push(proposed.clone());
                    }
                    if !succeeds || !is_acknowledged {
                        continue;
                    }
                    own.merge_fixed(proposed);
                    for report in reports(own, now) {
                        let before = world.received.entry(report.window).or_insert_with(|| report.counts.clone());
                        prop_assert_eq!(&*before, &report.counts, "window {}", report.window);
                        if answered {
                            own.mark_taken(report.window);
                        }
                    }
                }
                Step::Restart => {
                    ledgers[who] = Ledger::new(SCHEDULE, now);
                    sources[who] += 100;
                }
                Step::Restore => {
                    let remaining = world.log.len().saturating_sub(2);
                    world.log.truncate(remaining);
                    for ledger in &mut ledgers {
                        ledger.fixed_reports_lost(now);
                    }
                }
            }
        }
    }
}

/// Guards against the end of the process by a report, an update or counts at the limits of their types, as
/// another writer's claim or a peer may hold them.
#[test]
fn the_largest_windows_and_counts_are_kept_apart_from_others() {
    let mut ledger = ledger();
    ledger.merge_fixed(vec![Report {
        window: Window::MAX,
        counts: counts(&[("a", u32::MAX)]),
        taken: true,
    }]);
    for source in [1, 2] {
        let update = update(Window::MAX, FIRST, &[("a", u32::MAX)]);
        ledger.merge(source, update, at(8_000));
    }
    ledger.expire(at(8_000));
    let proposed = ledger.propose(at(9_000));
    let first = proposed.iter().find(|report| report.window == FIRST);
    assert_eq!(
        first.map(|report| &report.counts),
        Some(&counts(&[("a", u32::MAX)]))
    );
}
