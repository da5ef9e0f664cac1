//! Planned stage changes, and claims to order them.

mod common;

use std::time::Duration;

use common::{fleet, id, ms, service};
use serving::claim::{Claim, Claimant};
use serving::engine::StageChange;
use serving::roles::{Planner, RoleChanges};
use serving::{Fleet, Stage};

/// A fleet of prefill engines `r0` and on, and decode engines `g0` and on.
fn engines(prefill: usize, decode: usize) -> Fleet {
    let reads: Vec<String> = (0..prefill).map(|n| format!("r{n}")).collect();
    let generates: Vec<String> = (0..decode).map(|n| format!("g{n}")).collect();
    let reads = reads.iter().map(|id| (id.as_str(), Stage::Prefill));
    let generates = generates.iter().map(|id| (id.as_str(), Stage::Decode));
    let all: Vec<(&str, Stage)> = reads.chain(generates).collect();
    fleet(&all)
}

/// The plan once a split has been off for long enough.
fn settled_plan(fleet: &Fleet) -> RoleChanges {
    let mut planner = Planner::default();
    let first = planner.plan(fleet, &service(), ms(0));
    assert!(first.is_empty(), "a new deviation is not corrected at once");
    planner.plan(fleet, &service(), ms(2_000))
}

/// Has calls run at an engine whose prompts were read elsewhere.
fn run_calls(fleet: &mut Fleet, engine: &str, calls: u32) {
    for _ in 0..calls {
        fleet.begin_call(&id(engine), 0, 1, ms(0));
    }
}

/// Sends enough prompt work to make reading scarce.
fn send_prompt_work(fleet: &mut Fleet, now: u64) {
    for _ in 0..40 {
        let sent = fleet.begin_call(&id("r0"), 60_000, 1, ms(now));
        fleet.end_call(&sent, None, ms(now));
    }
}

fn begin_change(fleet: &mut Fleet, engine: &str, stage: Stage, now: u64) {
    let since = ms(now);
    let own = true;
    fleet.begin_stage_change(&id(engine), StageChange { stage, since, own });
}

/// Guards against keeping the initial third of prefill engines while prompts wait and most slots
/// are empty.
#[test]
fn more_than_half_read_before_any_load() {
    let changes = settled_plan(&engines(6, 12));
    assert_eq!(changes.len(), 3);
    assert!(changes.iter().all(|change| change.stage == Stage::Prefill));
}

#[test]
fn a_nearly_right_split_is_kept() {
    assert!(settled_plan(&engines(9, 9)).is_empty());
    assert!(settled_plan(&engines(8, 10)).is_empty());
    assert!(settled_plan(&engines(10, 8)).is_empty());
}

#[test]
fn under_load_few_of_the_least_busy_engines_change_at_once() {
    let mut fleet = engines(6, 12);
    for engine in 0..12 {
        run_calls(&mut fleet, &format!("g{engine}"), 2 + engine);
    }
    run_calls(&mut fleet, "g0", 9);
    send_prompt_work(&mut fleet, 0);
    let changes = settled_plan(&fleet);
    let ids: Vec<&str> = changes.iter().map(|change| &*change.engine).collect();
    assert_eq!(ids, ["g1", "g2"]);
    begin_change(&mut fleet, "g1", Stage::Prefill, 2_000);
    begin_change(&mut fleet, "g2", Stage::Prefill, 2_000);
    assert!(settled_plan(&fleet).is_empty(), "two engines are changing");
}

/// Guards against leaving engines in prefill when a mix of long answers follows one of long
/// prompts: answers were slow although prompts were read at once.
#[test]
fn engines_return_to_decoding_when_slots_fill() {
    let mut fleet = engines(9, 9);
    for engine in 0..9 {
        run_calls(&mut fleet, &format!("g{engine}"), 60);
    }
    let changes = settled_plan(&fleet);
    assert_eq!(changes.len(), 2);
    assert!(changes.iter().all(|change| change.stage == Stage::Decode));
}

#[test]
fn a_peak_is_remembered_for_some_seconds() {
    let mut fleet = engines(6, 12);
    run_calls(&mut fleet, "g0", 620);
    let mut planner = Planner::default();
    planner.plan(&fleet, &service(), ms(0));
    let mut idle = engines(6, 12);
    let soon = planner.plan(&idle, &service(), ms(2_500));
    assert!(soon.is_empty());
    let mut late = RoleChanges::new();
    for second in 3..40 {
        send_prompt_work(&mut idle, second * 1_000);
        late = planner.plan(&idle, &service(), Duration::from_secs(second));
    }
    assert_eq!(late.len(), 2);
}

/// Guards against paying for useless orders on a large fleet with few calls: engines were ordered
/// to prefill before any load was known and went on being ordered under a light one, although no
/// call waited to be read.
#[test]
fn a_large_idle_fleet_changes_few_engines() {
    let mut fleet = engines(105, 195);
    let mut planner = Planner::default();
    let mut changed = 0;
    for step in 0..40 {
        let now = ms(step * 500);
        for change in planner.plan(&fleet, &service(), now) {
            changed += 1;
            fleet.put(common::record(&change.engine, Some(change.stage)));
        }
    }
    assert_eq!(changed, 16);
    run_calls(&mut fleet, "g99", 20);
    assert!(settled_plan(&fleet).is_empty());
}

/// Guards against using up blind changes by plans that are not carried out, because the instance
/// cannot claim or waits for another one: the fleet kept its initial split after the store was
/// back.
#[test]
fn a_plan_that_is_not_carried_out_is_repeated() {
    let fleet = engines(6, 12);
    let mut planner = Planner::default();
    planner.plan(&fleet, &service(), ms(0));
    for look in 0..20 {
        let changes = planner.plan(&fleet, &service(), ms(2_000 + look * 250));
        assert_eq!(changes.len(), 3);
    }
}

/// Guards against counting engines that register later as changed: a large fleet kept its initial
/// split until load arrived.
#[test]
fn engines_that_register_later_use_up_no_blind_changes() {
    let mut planner = Planner::default();
    planner.plan(&engines(2, 4), &service(), ms(0));
    let fleet = engines(49, 91);
    planner.plan(&fleet, &service(), ms(500));
    let changes = planner.plan(&fleet, &service(), ms(2_500));
    assert_eq!(changes.len(), 16);
}

#[test]
fn a_small_service_is_not_changed() {
    assert!(settled_plan(&engines(1, 4)).is_empty());
    assert!(settled_plan(&engines(0, 18)).is_empty());
}

/// Guards against placing calls on an engine during its stage change, when only the instance that
/// ordered it knows.
#[test]
fn an_engine_that_changes_gets_no_calls_until_it_is_done() {
    let mut fleet = engines(1, 1);
    let ready = |fleet: &Fleet| fleet.ready(&service()).count();
    begin_change(&mut fleet, "g0", Stage::Prefill, 0);
    assert_eq!(ready(&fleet), 1);
    fleet.put(common::record("g0", Some(Stage::Decode)));
    assert_eq!(ready(&fleet), 1);
    fleet.put(common::record("g0", Some(Stage::Prefill)));
    assert_eq!(ready(&fleet), 2);
    begin_change(&mut fleet, "g0", Stage::Decode, 0);
    fleet.expire(Duration::from_secs(60));
    assert_eq!(ready(&fleet), 2, "an order without effect expires");
}

/// Guards against two instances that order one engine back and forth: one is cut off after its
/// order, and another one takes over before that order may have arrived.
#[test]
fn claims_of_different_instances_are_apart() {
    let mut turns = Claimant::new(ms(3_000), true);
    let claim = |fence, holder| Some(Claim { fence, holder });
    assert!(turns.may_claim(None, "a", ms(0)));
    assert!(turns.may_claim(claim(7, "a"), "a", ms(0)));
    assert!(!turns.may_claim(claim(7, "b"), "a", ms(10)));
    assert!(!turns.may_claim(claim(7, "b"), "a", ms(3_100)));
    assert!(
        !turns.may_claim(claim(8, "b"), "a", ms(4_600)),
        "a newer claim restarts the wait"
    );
    assert!(!turns.may_claim(claim(8, "b"), "a", ms(9_000)));
    assert!(turns.may_claim(claim(8, "b"), "a", ms(9_200)));
}

/// Guards against a sum of slots that overflows, by which full engines look empty or the process ends.
#[test]
fn engines_with_the_largest_number_of_slots_are_planned_for() {
    let mut fleet = engines(6, 12);
    let mut large = fleet.get("g0").expect("it is registered").record.clone();
    for name in ["g0", "g1"] {
        large.id = id(name);
        large.name = id(name);
        large.slots = u32::MAX;
        fleet.put(large.clone());
    }
    run_calls(&mut fleet, "g2", 2);
    assert!(!settled_plan(&fleet).is_empty());
}
