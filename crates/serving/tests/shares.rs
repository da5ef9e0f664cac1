//! Shares of contended engines.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::{demand, fleet, generation, id, ms, prompt, record, service, zone};
use serving::engine::LATE_RANK;
use serving::organisation;
use serving::place::{self, Refusal};
use serving::shares::{MAX_ANNOUNCED, MAX_ANNOUNCED_IN_ALL, Shares, Standing, Use};
use serving::{Choice, Demand, Fleet, Stage};

const NOW: Duration = Duration::from_secs(100);
const HEAVY: organisation::Id = 1_000;

/// Shares after five seconds of traffic that ends now, in milliseconds of engine time per second.
fn shares_with(rates: &[(organisation::Id, f64)]) -> Shares {
    let mut shares = Shares::default();
    spend(&mut shares, rates, NOW - ms(5_000));
    shares
}

/// Charges rates for five seconds, ten times per second.
fn spend(shares: &mut Shares, rates: &[(organisation::Id, f64)], from: Duration) {
    for step in 1..=50 {
        let now = from + ms(100) * step;
        for (organisation, rate) in rates {
            shares.charge(&service(), *organisation, rate / 10.0, now);
        }
        shares.observe_wait(&service(), 1.0, now);
    }
}

fn is_over(shares: &Shares, organisation: organisation::Id, now: Duration) -> bool {
    shares.standing(&service(), organisation, now) != Standing::Within
}

fn used(rate: f64) -> Use {
    Use {
        service: service(),
        largest: vec![(HEAVY, rate)],
        ..Use::default()
    }
}

#[test]
fn only_the_heaviest_is_over_its_share() {
    let shares = shares_with(&[(HEAVY, 700.0), (1, 30.0), (2, 20.0), (3, 5.0)]);
    assert!(is_over(&shares, HEAVY, NOW));
    for light in 1..=4 {
        assert!(!is_over(&shares, light, NOW));
    }
}

/// Guards against limits while engines are free.
#[test]
fn nobody_is_over_its_share_once_contention_has_ended() {
    let shares = shares_with(&[(HEAVY, 700.0), (1, 30.0)]);
    assert!(is_over(&shares, HEAVY, NOW + ms(900)));
    assert!(!is_over(&shares, HEAVY, NOW + ms(1_100)));
}

#[test]
fn short_waits_do_not_show_contention() {
    let mut shares = Shares::default();
    shares.observe_wait(&service(), 0.4, NOW);
    assert!(!shares.is_contended(&service(), NOW));
}

/// Guards against limits for the only active organisation: the others sent nothing for three
/// seconds.
#[test]
fn an_organisation_alone_is_within_its_share() {
    let mut shares = shares_with(&[(HEAVY, 700.0), (1, 30.0)]);
    for step in 0..30 {
        let now = NOW + ms(100) * step;
        shares.charge(&service(), HEAVY, 70.0, now);
        shares.observe_wait(&service(), 1.0, now);
    }
    assert!(!is_over(&shares, HEAVY, NOW + ms(2_900)));
}

/// Guards against credit for idle time, which would allow as long a flood, and against debt.
#[test]
fn a_returning_organisation_has_its_share_and_no_credit() {
    let mut shares = shares_with(&[(HEAVY, 700.0), (1, 100.0), (2, 90.0)]);
    let later = NOW + ms(60_000);
    spend(&mut shares, &[(1, 100.0), (2, 90.0)], later - ms(5_000));
    assert!(!is_over(&shares, HEAVY, later));
    spend(&mut shares, &[(HEAVY, 700.0), (1, 100.0), (2, 90.0)], later);
    assert!(is_over(&shares, HEAVY, later + ms(5_000)));
}

#[test]
fn heavy_organisations_are_limited_down_to_a_common_level() {
    let shares = shares_with(&[(HEAVY, 400.0), (HEAVY + 1, 390.0), (1, 50.0), (2, 20.0)]);
    assert!(is_over(&shares, HEAVY, NOW));
    assert!(is_over(&shares, HEAVY + 1, NOW));
    assert!(!is_over(&shares, 1, NOW));
    let shares = shares_with(&[(HEAVY, 600.0), (HEAVY + 1, 200.0), (1, 50.0), (2, 20.0)]);
    assert!(is_over(&shares, HEAVY, NOW));
    assert!(!is_over(&shares, HEAVY + 1, NOW));
}

/// Guards against callers that return too early, much too late or all at once.
#[test]
fn retry_times_are_bounded_and_spread() {
    let shares = shares_with(&[(HEAVY, 1e9), (1, 1.0)]);
    let times = (0..50).map(
        |step| match shares.standing(&service(), HEAVY, NOW + ms(step)) {
            Standing::Over { retry_after } => retry_after,
            Standing::Within => panic!("it is over its share"),
        },
    );
    let mut times: Vec<Duration> = times.collect();
    times.sort();
    times.dedup();
    assert!(times.len() > 40);
    assert!(times[0] >= ms(100) && times[times.len() - 1] <= ms(4_500));
}

/// Guards against counting a repeated announcement twice, or one of a placer that has ended.
#[test]
fn announcements_replace_each_other_and_expire() {
    let mut shares = shares_with(&[(1, 50.0), (2, 40.0)]);
    for _ in 0..3 {
        assert_eq!(shares.merge(7, &[used(500.0)], NOW), 0);
    }
    assert!((shares.usage(&service(), HEAVY, NOW) - 500.0).abs() < 1e-6);
    assert!(is_over(&shares, HEAVY, NOW));
    shares.observe_wait(&service(), 1.0, NOW + ms(3_100));
    assert!((shares.usage(&service(), HEAVY, NOW + ms(3_300))).abs() < 1e-6);
    assert!(!is_over(&shares, HEAVY, NOW + ms(3_300)));
    shares.merge(8, &[used(500.0)], NOW + ms(3_300));
    shares.forget(8);
    assert!((shares.usage(&service(), HEAVY, NOW + ms(3_300))).abs() < 1e-6);
}

/// Guards against a peer that makes usage negative or infinite, or fills the memory.
#[test]
fn impossible_announcements_are_ignored() {
    let mut shares = shares_with(&[(1, 50.0), (2, 40.0)]);
    for rate in [f64::NAN, f64::INFINITY, -500.0, 1e300] {
        assert_eq!(shares.merge(7, &[used(rate)], NOW), 1);
        assert!((shares.usage(&service(), HEAVY, NOW)).abs() < 1e-6);
    }
    let nonsense = Use {
        largest: (0..10_000).map(|id| (id % 3, 1.0)).collect(),
        rest: -1.0,
        rest_count: u32::MAX,
        ..used(1.0)
    };
    assert!(shares.merge(7, &[nonsense], NOW) > 9_000);
    for cost in [f64::NAN, f64::NEG_INFINITY, -1e30] {
        shares.charge(&service(), 1, cost, NOW);
        assert!(shares.usage(&service(), 1, NOW) >= 0.0);
    }
    for number in 0..100_000_u64 {
        shares.charge(&service(), number + 10, 1.0, NOW);
    }
    let announced = shares.announce(NOW);
    assert_eq!(announced[0].largest.len(), MAX_ANNOUNCED);
    assert!(announced[0].rest_count < 5_000);
}

/// Guards against a share that depends on how many organisations an announcement lists.
#[test]
fn a_thousand_organisations_are_divided_like_three() {
    let light = (1..=999).map(|id| (id, 0.3));
    let all: Vec<(organisation::Id, f64)> = light.chain([(HEAVY, 700.0)]).collect();
    let other = shares_with(&all);
    let mut shares = shares_with(&all);
    assert_eq!(shares.merge(7, &other.announce(NOW), NOW), 0);
    assert!(is_over(&shares, HEAVY, NOW));
    assert!(!is_over(&shares, 1, NOW));
}

fn contended_fleet() -> Fleet {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    fleet.shares = shares_with(&[(HEAVY, 700.0), (1, 30.0)]);
    fleet
}

fn place_for(fleet: &Fleet, organisation: organisation::Id, software: Option<&str>) -> Choice {
    let parts = prompt(&[(1, 2_000)]);
    let (service, zone) = (service(), zone());
    let demand = Demand {
        organisation: Some(organisation),
        software,
        ..demand(&service, &zone, Some(generation(&parts)))
    };
    place::choose(fleet, &demand, NOW)
}

#[test]
fn an_organisation_over_its_share_goes_last_and_only_where_it_is_on_time() {
    let mut fleet = contended_fleet();
    assert_matches!(place_for(&fleet, HEAVY, None), Choice::Direct(t) if t.rank == LATE_RANK - 1);
    assert_matches!(place_for(&fleet, 1, None), Choice::Direct(t) if t.rank == 1);
    for _ in 0..8 {
        fleet.begin_call(&id("a"), 2_000, 1, NOW);
    }
    assert_matches!(
        place_for(&fleet, HEAVY, None),
        Choice::Refuse {
            reason: Refusal::OverShare,
            best_target: Some(_),
            ..
        }
    );
    assert_matches!(place_for(&fleet, 1, None), Choice::Direct(_));
}

/// Guards against breaking off a stream that its caller has begun to receive.
#[test]
fn a_stream_that_goes_on_is_not_refused_as_over_share() {
    let mut fleet = contended_fleet();
    for _ in 0..8 {
        fleet.begin_call(&id("a"), 2_000, 1, NOW);
    }
    assert_matches!(place_for(&fleet, HEAVY, Some("v1")), Choice::Direct(_));
}

/// Guards against attempts at engines that are full, each of which costs a caller a try.
#[test]
fn a_plain_call_over_share_needs_a_free_slot() {
    let mut fleet = Fleet::default();
    let mut plain = record("p", None);
    plain.slots = 2;
    fleet.put(plain);
    fleet.shares = shares_with(&[(HEAVY, 700.0), (1, 30.0)]);
    let place_for = |fleet: &mut Fleet, organisation| {
        let (service, zone) = (service(), zone());
        let demand = Demand {
            organisation: Some(organisation),
            ..demand(&service, &zone, None)
        };
        let mut choice = place::choose(fleet, &demand, NOW);
        place::commit(fleet, &demand, &mut choice, NOW);
        choice
    };
    assert_matches!(place_for(&mut fleet, HEAVY), Choice::Direct(_));
    for _ in 0..2 {
        fleet.begin_call(&id("p"), 0, 1, NOW);
    }
    assert_matches!(
        place_for(&mut fleet, HEAVY),
        Choice::Refuse {
            reason: Refusal::OverShare,
            ..
        }
    );
    assert_matches!(place_for(&mut fleet, 1), Choice::Direct(_));
}

/// Guards against charging forever for calls whose end is lost, and for time that engines do not
/// spend: a call that no engine ran costs nothing.
#[test]
fn a_call_is_charged_while_it_runs_and_corrected_when_it_ends() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    let usage = |fleet: &Fleet| fleet.shares.usage(&service(), 1, NOW);
    let sent = fleet.begin_call(&id("a"), 2_600, 1, NOW);
    fleet.charge_call(&sent, 1, ms(100), NOW);
    // 100 ms of reading and some for a slot, decaying over 2.5 s.
    assert!((usage(&fleet) - 40.0).abs() < 2.0, "{}", usage(&fleet));
    fleet.end_call(&sent, None, NOW);
    assert!(usage(&fleet).abs() < 1e-6);
}

/// Guards against a datagram that grows with the number of services until it is lost, and with it
/// the placer's work at engines.
#[test]
fn announcements_of_many_services_stay_small() {
    let mut shares = Shares::default();
    for number in 0..100 {
        let service = std::rc::Rc::from(format!("service-{number}"));
        for organisation in 1..=1_000 {
            shares.charge(&service, organisation, organisation as f64, NOW);
        }
    }
    let uses = shares.announce(NOW);
    let listed = uses.iter().map(|used| used.largest.len());
    assert!(listed.sum::<usize>() <= MAX_ANNOUNCED_IN_ALL);
    for used in uses {
        assert_eq!(used.largest[0].0, 1_000);
        assert_eq!(used.largest.len() + used.rest_count as usize, 1_000);
    }
}
