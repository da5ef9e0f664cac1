//! Ordered numbers of engines under measured load. Each test replays a deployment over time.

mod common;

use std::f64::consts::TAU;
use std::time::Duration;

use common::deployment::{Deployment, ZONES, zone};
use common::{ms, service};
use serving::scaling::{Planner, Reason};

/// Reclaimable engines of each data centre before the load is known.
const USUAL: usize = 34;
/// Load that needs well under half of the engines.
const QUIET: fn(Duration) -> f64 = |_| 12.0;
/// Load that oscillates with both periods of the mix.
const WAVES: fn(Duration) -> f64 = |at| {
    let at = at.as_secs_f64();
    16.0 + 4.0 * (TAU * at / 2.8).sin() + 6.0 * (TAU * at / 14.0).sin()
};

fn reclaimable(world: &Deployment) -> usize {
    ZONES.map(|name| world.count(name).1).iter().sum()
}

/// Reclaimable engines as last ordered, of all data centres.
fn ordered(world: &Deployment) -> u32 {
    let ordered = ZONES.map(|name| world.ordered.get(&(zone(name), true)));
    ordered.iter().flatten().map(|(engines, _)| engines).sum()
}

fn loaded(load: fn(Duration) -> f64) -> (Deployment, Planner) {
    let mut world = Deployment::new(20);
    world.load = load;
    (world, Planner::default())
}

/// Guards against ordering engines away before the load is known: the first seconds of traffic may
/// be those between two peaks.
#[test]
fn numbers_stay_until_a_window_was_under_traffic() {
    let (mut world, mut planner) = loaded(|at| if at < ms(30_000) { 0.0 } else { 12.0 });
    world.run(&mut planner, 37);
    assert_eq!(reclaimable(&world), 3 * USUAL);
    assert!(
        world
            .log
            .iter()
            .all(|(_, order, _)| order.reason == Reason::Usual)
    );
    world.run(&mut planner, 60);
    assert!(reclaimable(&world) < 2 * USUAL);
}

/// Guards against paying for engines that the load never needs.
#[test]
fn numbers_fall_slowly_to_what_a_third_of_the_load_needs() {
    let (mut world, mut planner) = loaded(QUIET);
    let mut last = None;
    for _ in 0..90 * 4 {
        let before = ordered(&world);
        world.step(&mut planner);
        let after = ordered(&world);
        if world.now < ms(12_000) || after == before {
            continue;
        }
        assert!(f64::from(before - after) <= (f64::from(before) * 0.15).ceil());
        assert!(last.is_none_or(|at| world.now - at >= ms(3_000)));
        last = Some(world.now);
    }
    // Twelve busy engines require 20.3 reclaimable ones beside six on-demand ones, so that 0.55
    // of them carry the mean load at 0.7, and some margin.
    assert!(
        (23..=27).contains(&reclaimable(&world)),
        "{}",
        reclaimable(&world)
    );
    for name in ZONES {
        assert!(world.count(name).1 >= 6, "{name}");
    }
}

/// Guards against calls that wait while the number grows step by step.
#[test]
fn a_burst_is_followed_at_once_and_by_enough() {
    let (mut world, mut planner) = loaded(|at| if at < ms(80_000) { 12.0 } else { 30.0 });
    world.run(&mut planner, 80);
    let before = ordered(&world);
    world.run(&mut planner, 2);
    assert!(
        ordered(&world) > before + 20,
        "{before} {}",
        ordered(&world)
    );
    // The short mean holds the burst alone after one more second.
    world.run(&mut planner, 5);
    // Thirty busy engines at 0.7 of their time.
    assert!(reclaimable(&world) + 6 >= 43, "{}", reclaimable(&world));
    assert!(world.log.len() < 60);
}

/// Guards against engines that are ordered with each wave of the mix and ordered away after it.
#[test]
fn waves_of_the_mix_cause_no_orders() {
    let (mut world, mut planner) = loaded(WAVES);
    world.run(&mut planner, 90);
    let before = world.log.len();
    world.run(&mut planner, 140);
    assert_eq!(world.log.len(), before);
    assert!(reclaimable(&world) < 2 * USUAL, "{}", reclaimable(&world));
}

/// Guards against a fleet that is too small as soon as a data centre loses its reclaimable engines.
#[test]
fn the_loss_of_a_data_centre_leaves_enough() {
    let (mut world, mut planner) = loaded(WAVES);
    world.range.zone_prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)]
        .map(|(name, price)| (zone(name), price))
        .into();
    world.run(&mut planner, 90);
    assert!(reclaimable(&world) < 2 * USUAL, "{}", reclaimable(&world));
    let counts = ZONES.map(|name| world.count(name).1);
    assert!(counts[1] > counts[0] && counts[0] > counts[2], "{counts:?}");
    let all = counts.iter().sum::<usize>();
    assert!(counts.iter().all(|count| 5 * count >= all), "{counts:?}");
    let before = ordered(&world);
    world.reclaim("b");
    // Sixteen engines are busy in the mean.
    assert!(
        world.all_engines() * 9 >= 16 * 10,
        "{}",
        world.all_engines()
    );
    world.run(&mut planner, 9);
    assert!(
        reclaimable(&world) >= before as usize,
        "{}",
        reclaimable(&world)
    );
    world.unavailable.clear();
    world.run(&mut planner, 60);
    let after = ordered(&world);
    assert!(after.abs_diff(before) <= before / 5, "{before} {after}");
}

/// Guards against a successor that orders the initial plan again, or shrinks before it has measured
/// the load itself.
#[test]
fn a_successor_keeps_the_numbers_until_it_has_measured() {
    let (mut world, mut planner) = loaded(QUIET);
    world.run(&mut planner, 24);
    let before = ordered(&world);
    assert!(before < 3 * USUAL as u32);
    let mut successor = Planner::default();
    successor.plan(&world.fleet, &service(), &world.range, world.now);
    successor.adopt(&planner.zone_states(), world.now);
    world.run(&mut successor, 7);
    assert_eq!(ordered(&world), before);
    world.run(&mut successor, 60);
    assert!(ordered(&world) < before);
}

/// Guards against orders of two instances that undo each other: each measures a little differently.
#[test]
fn instances_that_announce_their_plans_do_not_undo_each_other() {
    let (mut world, mut holder) = loaded(WAVES);
    let mut other = Planner::default();
    for _ in 0..120 * 4 {
        world.step(&mut holder);
        other.observe(&world.fleet, &service(), world.now);
        other.adopt(&holder.zone_states(), world.now);
        let orders = other.plan(&world.fleet, &service(), &world.range, world.now);
        assert!(world.now < ms(12_000) || orders.is_empty(), "{orders:?}");
    }
}

/// Guards against a large drop at once when the store or the platform answers again: steps were
/// planned on while none could be ordered.
#[test]
fn steps_that_were_not_ordered_are_not_added_up() {
    let (mut world, mut planner) = loaded(QUIET);
    world.run(&mut planner, 20);
    let before = ordered(&world);
    for _ in 0..30 * 4 {
        world.now += ms(250);
        planner.observe(&world.fleet, &service(), world.now);
        let orders = planner.plan(&world.fleet, &service(), &world.range, world.now);
        for order in &orders {
            planner.record_refusal(order, world.now);
        }
    }
    world.step(&mut planner);
    let after = ordered(&world);
    assert!(
        f64::from(after) >= f64::from(before) * 0.8,
        "{before} {after}"
    );
}

/// Guards against shrinking by the load of one instance alone: it was cut off from the others, but
/// not from the store, and saw hardly any calls.
#[test]
fn a_forgotten_load_is_measured_anew_before_numbers_fall() {
    let (mut world, mut planner) = loaded(QUIET);
    world.run(&mut planner, 24);
    let before = ordered(&world);
    planner.forget_load();
    assert_eq!(planner.need(world.now), None);
    world.run(&mut planner, 7);
    assert_eq!(ordered(&world), before);
}

/// Guards against prices that shut a data centre out, or a planner that stops at one of them.
#[test]
fn invalid_prices_are_ignored() {
    let run = |prices: &[(&str, f64)]| {
        let (mut world, mut planner) = loaded(QUIET);
        let prices = prices.iter().map(|(name, price)| (zone(name), *price));
        world.range.zone_prices = prices.collect();
        world.run(&mut planner, 60);
        ZONES.map(|name| world.count(name))
    };
    let without = run(&[]);
    assert_eq!(run(&[("a", -1.0), ("b", f64::NAN), ("x", 0.5)]), without);
    assert_eq!(
        run(&[("a", 0.0), ("b", f64::INFINITY), ("c", 1e12)]),
        without
    );
}

/// Operators' numbers go first.
#[test]
fn numbers_that_an_operator_fixed_do_not_follow_the_load() {
    let (mut world, mut planner) = loaded(QUIET);
    planner.set_fixed([((zone("a"), true), 30)].into());
    world.run(&mut planner, 60);
    assert_eq!(world.count("a"), (2, 30));
    assert!(world.count("b").1 < 10);
}

/// Only deployments with a price for reclaimable engines change.
#[test]
fn without_a_price_for_reclaimable_engines_the_load_changes_nothing() {
    let (mut world, mut planner) = loaded(QUIET);
    world.range.reclaimable_price = None;
    world.run(&mut planner, 60);
    assert!(world.log.is_empty());
}
