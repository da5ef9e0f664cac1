//! Rate limits of engines, divided among instances.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use clock::Moment;
use common::{demand, fleet, generation, id, max_within_window, ms, prompt, record, service, zone};
use serving::place::{self, Refusal};
use serving::placer::Placers;
use serving::throttle::{Announcement, Permit, Rate, Throttles};
use serving::{Choice, Fleet, Stage};

const NOW: Moment = Duration::from_secs(10);
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn announcement(limit: impl Into<Option<f64>>, at: Moment) -> Announcement {
    let limit: Option<f64> = limit.into();
    Announcement {
        limit: limit.map(|limit| Rate::try_from(limit).expect("a rate")),
        at,
    }
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(number).expect("a port") + 1))
}

/// The placers, as seen by one of them.
fn placers(own: usize, all: &[usize]) -> Placers {
    let others = all.iter().filter(|other| **other != own);
    Placers {
        includes_self: all.contains(&own),
        others: others.map(|other| (address(*other), 0)).collect(),
    }
}

fn throttles(own: usize, all: &[usize]) -> Throttles {
    let mut throttles = Throttles::default();
    throttles.set_placers(address(own), &placers(own, all), Moment::ZERO);
    throttles
}

/// Sends one request if the limit admits it at once.
fn send(throttles: &mut Throttles, now: Moment) -> bool {
    let goes = throttles.permit("e", now) == Permit::After(Duration::ZERO);
    if goes {
        throttles.charge("e", now);
    }
    goes
}

/// Requests in the fullest window beyond what a limit allows; negative if fewer.
fn excess_requests(sent: &[Moment], limit: f64) -> f64 {
    let most = max_within_window(sent, WINDOW);
    f64::from(u32::try_from(most).expect("a count")) - (1.5 * limit * WINDOW.as_secs_f64() + 5.0)
}

#[test]
fn an_invalid_rate_is_rejected() {
    for number in [-1.0, f64::NAN, f64::INFINITY] {
        assert!(Rate::try_from(number).is_err(), "{number}");
    }
}

/// Guards against instances that each use the whole limit, and against simultaneous bursts after an
/// idle time.
#[test]
fn instances_together_keep_to_a_limit_under_any_load() {
    for limit in [0.0, 0.1, 0.4, 1.0, 1.5, 1.7, 4.0, 12.5, 60.0] {
        for count in [1, 2, 3, 6, 8, 10, 42] {
            let all: Vec<usize> = (0..count).collect();
            let mut instances: Vec<Throttles> =
                all.iter().map(|own| throttles(*own, &all)).collect();
            for instance in &mut instances {
                instance.merge(&id("e"), announcement(limit, Moment::ZERO), Moment::ZERO);
            }
            let mut sent = Vec::new();
            for now in (0..30_000).map(ms) {
                // Eight seconds of load, eight without.
                if now.as_secs() / 8 % 2 == 1 {
                    continue;
                }
                for instance in &mut instances {
                    if send(instance, now) {
                        sent.push(now);
                    }
                }
            }
            let excess = excess_requests(&sent, limit);
            assert!(
                excess <= 0.0,
                "{limit}/s, {count} instances: {excess} too many"
            );
            // The shares of all instances together are used.
            let used = f64::from(u32::try_from(sent.len()).unwrap()) / 16.0;
            assert!(
                limit < 1.0 || used > 0.8 * limit,
                "{limit}/s, {count}: {used}/s"
            );
        }
    }
}

/// Guards against exceeding the limit while instances join and leave and each hears of it at a
/// different time.
#[test]
fn instances_keep_to_a_limit_while_membership_news_is_delayed() {
    for seed in 0..40_u64 {
        let limit = [0.5, 1.5, 3.0, 9.0][usize::try_from(seed % 4).unwrap()];
        let mut random = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        let mut draw = |below: u64| {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            random % below
        };
        let all: Vec<usize> = (0..8).collect();
        let mut instances: Vec<Throttles> = all.iter().map(|own| throttles(*own, &all)).collect();
        for instance in &mut instances {
            instance.merge(&id("e"), announcement(limit, Moment::ZERO), Moment::ZERO);
        }
        // The instances that place calls, and when each hears of the latest change.
        let mut placing = all.clone();
        let mut hears: Vec<(Moment, Vec<usize>)> = vec![(Moment::ZERO, all.clone()); 8];
        let mut sent = Vec::new();
        for now in (0..40_000).map(ms) {
            if now.as_millis() % 3_000 == 0 {
                let one = usize::try_from(draw(8)).unwrap();
                if placing.len() > 4 && placing.contains(&one) {
                    placing.retain(|other| *other != one);
                } else if !placing.contains(&one) {
                    placing.push(one);
                }
                hears = (0..8)
                    .map(|_| (now + ms(draw(1_000)), placing.clone()))
                    .collect();
            }
            for own in 0..8 {
                if hears[own].0 == now {
                    let seen = placers(own, &hears[own].1);
                    instances[own].set_placers(address(own), &seen, now);
                }
                if send(&mut instances[own], now) {
                    sent.push(now);
                }
            }
        }
        let excess = excess_requests(&sent, limit);
        assert!(excess <= 0.0, "seed {seed}, {limit}/s: {excess} too many");
    }
}

/// Guards against lifting a limit by an answer that left the engine before the limit was set.
#[test]
fn only_an_answer_to_a_later_request_lifts_a_limit() {
    let mut throttles = throttles(0, &[0]);
    assert!(throttles.merge(&id("e"), announcement(1.0, ms(100)), ms(100)));
    assert!(!throttles.merge(&id("e"), announcement(None, ms(90)), ms(110)));
    assert_eq!(throttles.count(), 1);
    assert!(throttles.merge(&id("e"), announcement(None, ms(120)), ms(150)));
    assert_eq!(
        throttles.permit("e", ms(150)),
        Permit::After(Duration::ZERO)
    );
}

/// Guards against leaving an engine unused after its limit was raised, for as long as the old limit
/// would require.
#[test]
fn a_limit_that_rises_is_used_at_once() {
    let mut throttles = throttles(0, &[0]);
    throttles.merge(&id("e"), announcement(0.0, ms(0)), ms(0));
    throttles.charge("e", ms(0));
    throttles.merge(&id("e"), announcement(10.0, ms(1_000)), ms(1_000));
    assert_eq!(throttles.permit("e", ms(1_000)), Permit::After(ms(100)));
}

/// Guards against restoring a lifted limit by an instance's late report.
#[test]
fn a_lifted_limit_does_not_come_back_by_an_older_announcement() {
    let mut throttles = throttles(0, &[0]);
    throttles.merge(&id("e"), announcement(1.0, ms(100)), ms(100));
    throttles.merge(&id("e"), announcement(None, ms(200)), ms(210));
    throttles.forget_long_lifted_limits(ms(900));
    assert!(!throttles.merge(&id("e"), announcement(1.0, ms(150)), ms(900)));
    assert_eq!(throttles.count(), 0);
    assert!(throttles.merge(&id("e"), announcement(2.0, ms(300)), ms(900)));
}

#[test]
fn announcements_merge_alike_in_any_order() {
    let all = [
        announcement(1.0, ms(1)),
        announcement(None, ms(2)),
        announcement(3.0, ms(3)),
        announcement(2.0, ms(2)),
    ];
    for first in 0..all.len() {
        let mut throttles = throttles(0, &[0]);
        for step in 0..all.len() {
            throttles.merge(&id("e"), all[(first + step) % all.len()], ms(9));
        }
        let share = throttles.share("e").unwrap();
        assert!((share - 3.0).abs() < 1e-6, "{share}");
    }
}

/// Guards against a limit that nobody announces to new instances, and against one that all repeat.
#[test]
fn two_instances_repeat_a_limit_and_all_announce_a_new_one() {
    let all: Vec<usize> = (0..6).collect();
    let mut instances: Vec<Throttles> = all.iter().map(|own| throttles(*own, &all)).collect();
    for instance in &mut instances {
        instance.merge(&id("e"), announcement(1.5, ms(1)), ms(1));
        assert_eq!(instance.take_changed().len(), 1);
    }
    let repeating = instances
        .iter()
        .filter(|instance| instance.to_repeat().len() == 1);
    assert_eq!(repeating.count(), 2);
    let with_new: Vec<usize> = (0..7).collect();
    for (own, instance) in instances.iter_mut().enumerate() {
        instance.set_placers(address(own), &placers(own, &with_new), ms(2));
        assert_eq!(instance.take_changed().len(), 1);
        instance.set_placers(address(own), &placers(own, &all), ms(3));
        assert!(instance.take_changed().is_empty());
    }
}

fn limited(fleet: &mut Fleet, engine: &str, limit: f64) {
    let all = placers(0, &[0]);
    fleet.throttles.set_placers(address(0), &all, NOW);
    fleet
        .throttles
        .merge(&id(engine), announcement(limit, NOW), NOW);
}

fn choose(fleet: &Fleet, left: Duration, now: Moment) -> Choice {
    let (service, zone) = (service(), zone());
    let parts = prompt(&[(1, 100)]);
    let demand = serving::Demand {
        time_left: left,
        ..demand(&service, &zone, Some(generation(&parts)))
    };
    place::choose(fleet, &demand, now)
}

/// Guards against sending all calls to a limited engine because it caches their prompts.
#[test]
fn calls_avoid_an_engine_whose_limit_is_used_up() {
    let mut fleet = fleet(&[("a", Stage::Decode), ("b", Stage::Decode)]);
    fleet.cache_parts(&id("a"), &prompt(&[(1, 100)]), 400_000, NOW);
    assert_matches!(choose(&fleet, ms(4_000), NOW), Choice::Direct(t) if &*t.engine == "a");
    limited(&mut fleet, "a", 0.5);
    assert_matches!(choose(&fleet, ms(4_000), NOW), Choice::Direct(t) if &*t.engine == "b");
    let later = NOW + ms(2_000);
    assert_matches!(choose(&fleet, ms(4_000), later), Choice::Direct(t) if &*t.engine == "a" && t.limit_wait.is_zero());
}

/// Guards against refusing calls although the only engine accepts them soon enough.
#[test]
fn a_call_waits_for_the_limit_of_the_only_engine() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    limited(&mut fleet, "a", 4.0);
    assert_matches!(choose(&fleet, ms(4_000), NOW), Choice::Direct(t) if t.limit_wait > ms(0) && t.expected_latency > t.limit_wait);
}

/// Guards against calls that wait to their deadline for an engine that will not accept them.
#[test]
fn a_call_that_no_limit_admits_in_time_is_refused_at_once() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    limited(&mut fleet, "a", 0.5);
    assert_matches!(
        choose(&fleet, ms(300), NOW),
        Choice::Refuse { retry_after, reason: Refusal::RateLimited, .. } if retry_after > ms(1_000) && retry_after < ms(2_000)
    );
    let mut plain = Fleet::default();
    plain.put(record("p", None));
    limited(&mut plain, "p", 0.5);
    let (service, zone) = (service(), zone());
    let demand = serving::Demand {
        time_left: ms(300),
        ..demand(&service, &zone, None)
    };
    assert_matches!(
        place::choose(&plain, &demand, NOW),
        Choice::Refuse { retry_after, reason: Refusal::RateLimited, .. } if retry_after > ms(1_000)
    );
}

/// Guards against handing a KV cache to an engine whose limit is used up.
#[test]
fn a_kv_cache_is_handed_to_an_engine_within_its_limit() {
    let mut fleet = fleet(&[
        ("a", Stage::Decode),
        ("b", Stage::Decode),
        ("r", Stage::Prefill),
    ]);
    limited(&mut fleet, "a", 0.2);
    let (service, zone) = (service(), zone());
    let parts = prompt(&[(1, 9_000)]);
    let demand = demand(&service, &zone, Some(generation(&parts)));
    let target = place::choose_decode(&fleet, &demand, &zone, NOW).unwrap();
    assert_eq!(&*target.engine, "b");
}

/// Guards against applying the limit of a removed engine to another one, and against a table that
/// only grows.
#[test]
fn the_limit_of_a_removed_engine_is_dropped() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    limited(&mut fleet, "a", 0.5);
    fleet.remove("a");
    assert_eq!(fleet.throttles.count(), 0);
}
