//! Load balancing among the members of a pool.

mod common;

use std::time::Duration;

use clock::Moment;
use common::{config, engines, ms, view};
use rand::{SeedableRng, rngs::SmallRng};
use routing::{
    affinity::History,
    choice::{Chooser, Pick, Policy, Work},
    load::Load,
    members::Members,
    pool::Config,
    request::Prefix,
    upstream::{Health, Report, Role, View},
};
use smallvec::smallvec;

struct Harness {
    config: Config,
    members: Members,
    chooser: Chooser,
    history: History,
}

impl Harness {
    fn new(policy: Policy, views: Vec<View>, seed: u64) -> Self {
        let config = Config { policy, ..config() };
        let mut members = Members::new();
        members.set(&config, views);
        Self {
            config,
            members,
            chooser: Chooser::new(SmallRng::seed_from_u64(seed)),
            history: History::new(1_000),
        }
    }

    fn choose(&mut self, now: Moment, work: &Work<'_>) -> Option<Pick> {
        self.chooser
            .choose(now, &self.config, &self.members, &self.history, work)
    }

    fn id(&self, pick: &Pick) -> String {
        self.members.at(pick.position).view.id.to_string()
    }

    fn add(&mut self, now: Moment, pick: &Pick, load: Load) {
        let id = self.id(pick);
        let member = self.members.get_mut(&id).expect("the pick is a member");
        member.ledger.add(now, load);
    }
}

fn work<'a>(prefixes: &'a [Prefix]) -> Work<'a> {
    Work {
        model: None,
        prompt: 1_000,
        output: 100,
        prefixes,
        roles: &[Role::Mixed],
        excluded: &[],
    }
}

fn report(at: Moment, prompt: u32) -> Report {
    Report {
        at,
        load: Load::of(prompt, 100),
        waiting: 0,
        kv_used: 0.0,
        prefill_rate: 0.0,
        decode_slots: 0,
        draining: false,
    }
}

const POLICIES: [Policy; 8] = [
    Policy::RoundRobin,
    Policy::Random,
    Policy::LeastOutstanding,
    Policy::TwoChoices,
    Policy::Drill {
        samples: 2,
        memory: 1,
    },
    Policy::FullScan,
    Policy::PrefixHash,
    Policy::Affinity {
        samples: 4,
        memory: 0,
    },
];

#[test]
fn every_policy_finds_the_only_eligible_upstream() {
    for policy in POLICIES {
        let mut views = engines(18);
        for view in &mut views {
            view.models = smallvec!["other@1".into()];
        }
        views[7].models.push("verdict@3".into());
        views[8].models.push("verdict@3".into());
        views[8].open = false;
        let mut side = Harness::new(policy, views, 3);
        let model = "verdict@3".into();
        let prefixes = [Prefix {
            hash: 9,
            tokens: 64,
        }];
        let only = Work {
            model: Some(&model),
            ..work(&prefixes)
        };
        for _ in 0..20 {
            let pick = side.choose(ms(1), &only).expect("one engine has the model");
            assert_eq!(side.id(&pick), "engine-0007", "{policy:?}");
        }
        let tried = ["engine-0007".into()];
        let none = Work {
            excluded: &tried,
            ..only
        };
        assert_eq!(side.choose(ms(1), &none), None, "{policy:?}");
    }
}

#[test]
fn entries_with_a_shared_stale_view_do_not_herd() {
    // Guards against herding: when a report two seconds old shows one engine idle and the others
    // busy, entries that take it as current all send to that engine, then to the next, and queues
    // oscillate.
    let mut sent_to_idle = 0;
    for entry in 0..8 {
        let mut side = Harness::new(Policy::default(), engines(18), entry);
        for engine in 0..18 {
            let prompt = if engine == 4 { 0 } else { 8_000 };
            let id = format!("engine-{engine:04}");
            side.members.apply_report(&id, report(ms(10_000), prompt));
        }
        side.members.refresh_statistics(ms(12_000));
        for _ in 0..18 {
            let pick = side
                .choose(ms(12_000), &work(&[]))
                .expect("all upstreams are open");
            sent_to_idle += u32::from(pick.position == 4);
            side.add(ms(12_000), &pick, Load::of(1_000, 100));
        }
    }
    // An equal split sends 8 of the 144 requests to each engine.
    assert!(sent_to_idle <= 16, "{sent_to_idle}");
}

#[test]
fn a_fresh_view_is_used() {
    let mut side = Harness::new(Policy::FullScan, engines(18), 1);
    for engine in 0..18 {
        let prompt = if engine == 4 { 0 } else { 8_000 };
        let id = format!("engine-{engine:04}");
        side.members.apply_report(&id, report(ms(10_000), prompt));
    }
    let pick = side
        .choose(ms(10_000), &work(&[]))
        .expect("all upstreams are open");
    assert_eq!(pick.position, 4);
}

#[test]
fn own_work_is_not_counted_twice_when_the_report_shows_it() {
    let mut side = Harness::new(Policy::FullScan, engines(2), 1);
    let first = side
        .choose(ms(0), &work(&[]))
        .expect("all upstreams are open");
    side.add(ms(0), &first, Load::of(8_000, 100));
    let id = side.id(&first);
    side.members.apply_report(&id, report(ms(500), 8_000));
    let member = side.members.get_mut(&id).expect("the upstream is a member");
    let load = member
        .ledger
        .estimate(ms(500), Load::default(), Duration::MAX, &side.config.speed);
    assert_eq!(load, Load::of(8_000, 100));
}

#[test]
fn an_out_of_order_report_is_dropped() {
    let mut side = Harness::new(Policy::FullScan, engines(1), 1);
    side.members
        .apply_report("engine-0000", report(ms(500), 100));
    side.members
        .apply_report("engine-0000", report(ms(400), 9_000));
    let ledger = &side.members.at(0).ledger;
    assert_eq!(
        ledger
            .others(ms(500))
            .expect("a report was applied")
            .0
            .prefill,
        100.0
    );
}

#[test]
fn a_prompt_goes_to_its_prefix_holder_unless_that_costs_more() {
    let mut side = Harness::new(Policy::default(), engines(18), 1);
    let prefixes = [
        Prefix {
            hash: 1,
            tokens: 256,
        },
        Prefix {
            hash: 2,
            tokens: 900,
        },
    ];
    let holder = side.members.at(11).view.id.clone();
    side.history.record(&prefixes, &holder);
    let pick = side
        .choose(ms(0), &work(&prefixes))
        .expect("all upstreams are open");
    assert_eq!((pick.position, pick.cached), (11, 900));

    side.add(ms(0), &pick, Load::of(60_000, 100));
    let pick = side
        .choose(ms(0), &work(&prefixes))
        .expect("all upstreams are open");
    assert_ne!(pick.position, 11);
}

#[test]
fn entries_agree_on_the_home_of_an_unseen_prefix() {
    let prefixes = [Prefix {
        hash: 0x5eed,
        tokens: 512,
    }];
    let homes: Vec<usize> = (0..8)
        .map(|seed| {
            let mut side = Harness::new(Policy::default(), engines(18), seed);
            let pick = side.choose(ms(0), &work(&prefixes));
            pick.expect("all upstreams are open").position
        })
        .collect();
    assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
}

#[test]
fn the_home_moves_only_when_its_upstream_is_removed() {
    let hashes: Vec<u64> = (0..200_u64)
        .map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .collect();
    let home = |views: Vec<View>, hash| {
        let mut side = Harness::new(Policy::PrefixHash, views, 1);
        let prefixes = [Prefix { hash, tokens: 64 }];
        let pick = side
            .choose(ms(0), &work(&prefixes))
            .expect("all upstreams are open");
        side.id(&pick)
    };
    for hash in hashes {
        let before = home(engines(18), hash);
        let mut fewer = engines(18);
        fewer.remove(5);
        let after = home(fewer, hash);
        assert!(before == after || before == "engine-0005");
    }
}

#[test]
fn a_suspect_is_used_only_when_nothing_else_is_left() {
    let mut views = engines(3);
    views[0].health = Health::Suspect;
    views[1].health = Health::Suspect;
    let mut side = Harness::new(Policy::Random, views.clone(), 1);
    for _ in 0..20 {
        let pick = side.choose(ms(0), &work(&[])).expect("one upstream is up");
        assert_eq!(pick.position, 2);
    }
    views[2].health = Health::Down;
    let mut side = Harness::new(Policy::Random, views, 1);
    for _ in 0..20 {
        let pick = side.choose(ms(0), &work(&[])).expect("suspects remain");
        assert_ne!(pick.position, 2);
    }
}

#[test]
fn a_new_upstream_ramps_up_to_its_share() {
    let mut views = engines(2);
    views[1].up_since = ms(10_000);
    let mut side = Harness::new(Policy::FullScan, views, 1);
    side.config.slow_start = Duration::from_secs(10);
    let mut counts = [0, 0];
    for _ in 0..40 {
        let pick = side
            .choose(ms(11_000), &work(&[]))
            .expect("both upstreams are up");
        side.add(ms(11_000), &pick, Load::of(1_000, 100));
        counts[pick.position] += 1;
    }
    assert!(counts[1] >= 1 && counts[1] <= 8, "{counts:?}");
}

#[test]
fn the_history_is_bounded_and_evicts() {
    let mut history = History::new(100);
    let id = view("engine-0001", Role::Mixed).id;
    for hash in 0..10_000 {
        let prefixes = [Prefix { hash, tokens: 16 }];
        history.record(&prefixes, &id);
    }
    assert!(history.len() <= 200);
    let last = [Prefix {
        hash: 9_999,
        tokens: 16,
    }];
    assert_eq!(history.find(&last).len(), 1);
    history.evict(9_999, &id);
    assert!(history.find(&last).is_empty());
    history.forget_upstream(&id);
    assert!(history.is_empty());
}
