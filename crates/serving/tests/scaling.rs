//! Ordered numbers of engines. Each test replays a deployment over time: engines boot, leave, are
//! reclaimed or are unavailable.

mod common;

use common::deployment::{Deployment, ZONES};
use common::service;
use serving::scaling::Planner;

/// On-demand and reclaimable engines of each data centre in the end, of twenty initial ones: a
/// tenth of them, and what three tenths of their price buy.
const EXPECTED: (usize, usize) = (2, 34);
/// Guards against paying the full price all day, which is five times what is needed.
#[test]
fn most_engines_become_reclaimable_without_a_drop_in_number() {
    let mut world = Deployment::new(20);
    let mut planner = Planner::default();
    let fewest = world.run(&mut planner, 20);
    assert_eq!(fewest, 60);
    for name in ZONES {
        assert_eq!(world.count(name), EXPECTED, "{name}");
    }
    let before = world.log.len();
    world.run(&mut planner, 60);
    assert_eq!(
        world.log.len(),
        before,
        "a reached number is not ordered again"
    );
}

/// Guards against shrinking a deployment of sixty engines to a dozen: engines register one after
/// the other in the first seconds, and those seen first were taken for all.
#[test]
fn engines_that_register_one_after_the_other_are_all_counted() {
    let mut world = Deployment::new(3);
    let mut planner = Planner::default();
    for _ in 0..17 {
        world.step(&mut planner);
        for name in ZONES {
            world.add(name, false, 1);
        }
    }
    world.run(&mut planner, 20);
    for name in ZONES {
        assert_eq!(world.count(name), EXPECTED, "{name}");
    }
}

/// Guards against calls that wait for seconds after all reclaimable engines of one data centre were
/// reclaimed and none were available there for nine seconds: no other data centre ordered
/// replacements.
#[test]
fn other_data_centres_stand_in_for_one_whose_engines_were_reclaimed() {
    let mut world = Deployment::new(20);
    let mut planner = Planner::default();
    world.run(&mut planner, 20);
    world.reclaim("c");
    let fewest = world.run(&mut planner, 9);
    assert_eq!(fewest, 74);
    // The maximum of the two remaining ones.
    assert_eq!(world.all_engines(), 82);
    world.unavailable.clear();
    world.run(&mut planner, 30);
    for name in ZONES {
        assert_eq!(world.count(name), EXPECTED, "{name}");
    }
}

/// Engines that are unavailable for long are replaced by on-demand ones, which leave again later.
#[test]
fn engines_unavailable_for_long_are_replaced_by_on_demand_ones() {
    let mut world = Deployment::new(20);
    let mut planner = Planner::default();
    world.run(&mut planner, 20);
    for name in ZONES {
        world.reclaim(name);
    }
    world.run(&mut planner, 40);
    for name in ZONES {
        assert_eq!(world.count(name), (20, 0), "{name}");
    }
    world.unavailable.clear();
    world.run(&mut planner, 30);
    for name in ZONES {
        assert_eq!(world.count(name), EXPECTED, "{name}");
    }
}

/// Refused orders must not be repeated all the time: every call is paid for, and all instances
/// share a rate limit.
#[test]
fn refused_orders_are_repeated_seldom() {
    let mut world = Deployment::new(20);
    let mut planner = Planner::default();
    world.unavailable = ZONES.to_vec();
    world.run(&mut planner, 30);
    let refused = world.log.iter().filter(|(_, _, is_had)| !is_had).count();
    assert!(refused <= 3 * 11, "{refused}");
    assert_eq!(world.all_engines(), 60);
}

/// Guards against restoring all engines that were ordered away when another instance takes over:
/// the successor took the present engines for the initial ones.
#[test]
fn a_successor_continues_with_the_same_numbers() {
    let mut world = Deployment::new(20);
    let mut planner = Planner::default();
    world.run(&mut planner, 20);
    world.reclaim("c");
    let mut successor = Planner::default();
    successor.plan(&world.fleet, &service(), &world.range, world.now);
    successor.adopt(&planner.zone_states(), world.now);
    assert_eq!(successor.zone_states(), planner.zone_states());
    let before = world.log.len();
    world.unavailable.clear();
    world.run(&mut successor, 30);
    for name in ZONES {
        assert_eq!(world.count(name), EXPECTED, "{name}");
    }
    assert!(world.log.len() - before <= 6);
}

/// Numbers stay within the configured range.
#[test]
fn orders_stay_within_the_range() {
    let mut world = Deployment::new(12);
    world.range.min = 4;
    world.range.max = 12;
    let mut planner = Planner::default();
    world.run(&mut planner, 60);
    world.reclaim("a");
    world.run(&mut planner, 60);
    assert!(!world.log.is_empty());
    for (_, order, _) in &world.log {
        assert!(order.engines <= 12, "{order:?}");
    }
    for name in ["b", "c"] {
        let (firm, cheap) = world.count(name);
        assert!(firm + cheap <= 12, "{name}");
        assert!(firm + cheap >= 4, "{name}");
    }
}

/// Guards against removing nearly all engines of a large deployment within a second: a data centre
/// starts with a thousand engines where the configuration allows forty.
#[test]
fn a_data_centre_above_its_maximum_is_not_changed() {
    let mut world = Deployment::new(100);
    world.run(&mut Planner::default(), 60);
    assert!(world.log.is_empty());
    assert_eq!(world.all_engines(), 300);
}

/// Guards against hundreds of engines leaving at once: the announcements fill the links of those
/// that send them, and the engines get calls for seconds after they announced that they leave.
#[test]
fn engines_leave_a_few_at_a_time() {
    let mut world = Deployment::new(100);
    world.range.max = 400;
    let mut planner = Planner::default();
    let mut before = world.all_on_demand();
    for _ in 0..400 {
        world.step(&mut planner);
        let now = world.all_on_demand();
        assert!(before - now <= 60, "{before} {now}");
        before = now;
    }
    assert_eq!(before, 30);
    assert_never_ordered_back(&world);
}

/// Guards against taking back an order: engines of one data centre that were still leaving counted
/// against the number that may leave in the next, and were paid for on.
#[test]
fn engines_ordered_away_are_not_ordered_back() {
    let mut world = Deployment::new(20);
    world.run(&mut Planner::default(), 40);
    assert_eq!(world.all_on_demand(), 6);
    assert_never_ordered_back(&world);
}

fn assert_never_ordered_back(world: &Deployment) {
    for name in ZONES {
        let firm = world.log.iter().map(|(_, order, _)| order);
        let firm = firm.filter(|order| !order.reclaimable && &*order.zone == name);
        let numbers: Vec<u32> = firm.map(|order| order.engines).collect();
        assert!(numbers.is_sorted_by(|a, b| a > b), "{name}: {numbers:?}");
    }
}

/// Guards against never getting reclaimable engines near the maximum: more were ordered than fit,
/// and on-demand ones leave only once these have arrived.
#[test]
fn engines_are_replaced_in_steps_near_the_maximum() {
    let mut world = Deployment::new(20);
    world.range.max = 30;
    let mut planner = Planner::default();
    for _ in 0..200 {
        world.step(&mut planner);
        for name in ZONES {
            let (firm, cheap) = world.count(name);
            assert!(
                (20..=30).contains(&(firm + cheap)),
                "{name}: {firm} {cheap}"
            );
        }
    }
    for name in ZONES {
        let (firm, cheap) = world.count(name);
        assert!(firm < 10 && cheap >= 20, "{name}: {firm} {cheap}");
    }
}

#[test]
fn nothing_is_ordered_if_reclaimable_engines_save_little_or_do_not_exist() {
    for price in [None, Some(0.9)] {
        let mut world = Deployment::new(20);
        world.range.reclaimable_price = price;
        world.run(&mut Planner::default(), 20);
        assert!(world.log.is_empty());
    }
}

/// Engines that crash and return within seconds cause no order.
#[test]
fn brief_losses_of_a_few_engines_cause_no_orders() {
    let mut world = Deployment::new(20);
    let mut planner = Planner::default();
    world.run(&mut planner, 20);
    let before = world.log.len();
    for _ in 0..5 {
        for id in world.engines_of("a", true).iter().take(3) {
            world.fleet.remove(id);
        }
        world.run(&mut planner, 1);
        world.run(&mut planner, 6);
    }
    assert_eq!(world.log.len(), before);
}
