//! Placement of calls.

mod common;

use assert_matches::assert_matches;
use common::{demand, fleet, generation, id, ms, prompt, record, service, zone};
use serving::engine::{LATE_RANK, Work};
use serving::health::Outcome;
use serving::place::{self, Refusal, choose};
use serving::{Choice, Demand, Fleet, Record, Stage, State};

const NOW: std::time::Duration = std::time::Duration::from_secs(10);

fn placement(fleet: &Fleet, parts: &[(u32, u32)]) -> Choice {
    let parts = prompt(parts);
    let (service, zone) = (service(), zone());
    choose(
        fleet,
        &demand(&service, &zone, Some(generation(&parts))),
        NOW,
    )
}

#[test]
fn a_prompt_goes_to_the_engine_that_caches_its_shared_part() {
    for reader in ["a", "b", "c"] {
        let mut fleet = fleet(&[
            ("a", Stage::Decode),
            ("b", Stage::Decode),
            ("c", Stage::Decode),
        ]);
        fleet.cache_parts(&id(reader), &prompt(&[(7, 13_000)]), 400_000, NOW);
        let choice = placement(&fleet, &[(7, 13_000), (8, 3_000)]);
        assert_matches!(choice, Choice::Direct(t) if &*t.engine == reader && t.prefill_tokens == 3_000);
    }
}

#[test]
fn a_part_after_an_uncached_one_is_read_again() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    fleet.cache_parts(&id("a"), &prompt(&[(7, 1_000)]), 400_000, NOW);
    let choice = placement(&fleet, &[(6, 1_000), (7, 1_000)]);
    assert_matches!(choice, Choice::Direct(t) if t.prefill_tokens == 2_000);
}

#[test]
fn the_least_recently_used_part_is_evicted_first() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    fleet.cache_parts(&id("a"), &prompt(&[(1, 300)]), 1_000, ms(1));
    fleet.cache_parts(&id("a"), &prompt(&[(2, 300)]), 1_000, ms(2));
    fleet.cache_parts(&id("a"), &prompt(&[(1, 300)]), 1_000, ms(3));
    fleet.cache_parts(&id("a"), &prompt(&[(3, 400)]), 1_000, ms(4));
    assert_eq!(
        fleet.parts.cached_tokens(&id("a"), &prompt(&[(1, 300)])),
        300
    );
    assert_eq!(fleet.parts.cached_tokens(&id("a"), &prompt(&[(2, 300)])), 0);
}

/// Guards against remembering any number of parts that a caller gives no length.
#[test]
fn parts_without_a_length_are_evicted_as_small_ones_are() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    for part in 0..1_000 {
        fleet.cache_parts(&id("a"), &prompt(&[(part, 0)]), 1_600, ms(u64::from(part)));
    }
    let remembered = fleet.parts.cached_parts(&id("a"));
    assert!(remembered.len() <= 100, "{} parts", remembered.len());
    assert_eq!(remembered.last().map(|part| part.id), Some(999));
}

/// Guards against queueing calls that cannot be on time at the rank of their class: short calls of
/// less urgent classes waited behind each of them, and were late on a fleet that was half idle.
#[test]
fn a_call_that_cannot_be_on_time_gets_a_late_rank() {
    let fleet = fleet(&[("a", Stage::Decode)]);
    let choice = placement(&fleet, &[(1, 30_000)]);
    assert_matches!(choice, Choice::Direct(t) if t.rank > 1 && t.expected_latency > ms(600));
    let choice = placement(&fleet, &[(1, 3_000)]);
    assert_matches!(choice, Choice::Direct(t) if t.rank == 1);
}

#[test]
fn a_call_that_would_outlast_its_caller_gets_a_retry_time() {
    let fleet = fleet(&[("a", Stage::Decode)]);
    let choice = placement(&fleet, &[(1, 200_000)]);
    assert_matches!(
        choice,
        Choice::Refuse { retry_after, reason: Refusal::TooMuchWork, best_target: Some(_) } if retry_after > ms(0)
    );
}

/// Guards against logging only the reading time of a refused call: the prefill engine is idle and
/// the decode engines are full, and the refusal named 34 ms for a call with 1,717 ms left.
#[test]
fn a_refusal_reports_the_latency_of_both_stages() {
    let mut fleet = fleet(&[("reads", Stage::Prefill), ("full", Stage::Decode)]);
    for _ in 0..64 + 50 {
        fleet.begin_call(&id("full"), 0, 1, NOW);
    }
    let choice = placement(&fleet, &[(1, 60_000)]);
    assert_matches!(
        choice,
        Choice::Refuse { best_target: Some(best), .. }
            if &*best.engine == "reads" && best.expected_latency > ms(4_000)
    );
}

#[test]
fn without_an_engine_a_call_is_refused() {
    let choice = placement(&Fleet::default(), &[(1, 100)]);
    assert_matches!(
        choice,
        Choice::Refuse {
            reason: Refusal::NoEngine,
            ..
        }
    );
}

/// Guards against resets in a burst: several instances send to one engine until its connections are
/// exhausted, if each counts only its own.
#[test]
fn an_engine_at_its_connection_limit_gets_no_calls() {
    let mut fleet = fleet(&[("a", Stage::Decode), ("b", Stage::Decode)]);
    fleet.cache_parts(&id("a"), &prompt(&[(1, 9_000)]), 400_000, NOW);
    let works = |calls| {
        vec![(
            id("a"),
            Work {
                calls,
                ..Work::default()
            },
        )]
    };
    fleet.apply_all_work(1, works(359), NOW);
    let choice = placement(&fleet, &[(1, 9_000)]);
    assert_matches!(choice, Choice::Direct(t) if &*t.engine == "b");
    fleet.begin_call(&id("a"), 0, 1, NOW);
    let (service, zone) = (service(), zone());
    let parts = prompt(&[(1, 9_000)]);
    let last = [id("b")];
    let demand = Demand {
        excluded: &last,
        ..demand(&service, &zone, Some(generation(&parts)))
    };
    assert_matches!(choose(&fleet, &demand, NOW), Choice::Refuse { .. });
}

#[test]
fn a_draining_engine_gets_no_calls() {
    let mut fleet = fleet(&[("a", Stage::Decode), ("b", Stage::Decode)]);
    let mut leaving = record("a", Some(Stage::Decode));
    leaving.state = State::Draining;
    fleet.put(leaving);
    fleet.cache_parts(&id("a"), &prompt(&[(1, 9_000)]), 400_000, NOW);
    let choice = placement(&fleet, &[(1, 9_000)]);
    assert_matches!(choice, Choice::Direct(t) if &*t.engine == "b");
}

/// Guards against requests to an engine more than two seconds after it announced that it leaves: a
/// decode engine chosen before the prompt was read may leave during the two seconds that reading
/// takes.
#[test]
fn the_decode_engine_is_chosen_after_the_prompt_is_read() {
    let mut fleet = fleet(&[
        ("p", Stage::Prefill),
        ("a", Stage::Decode),
        ("b", Stage::Decode),
    ]);
    let parts = prompt(&[(1, 9_000)]);
    let (service, zone) = (service(), zone());
    let demand = demand(&service, &zone, Some(generation(&parts)));
    assert_matches!(choose(&fleet, &demand, NOW), Choice::Split { .. });
    let before = place::choose_decode(&fleet, &demand, &zone, NOW).unwrap();
    let mut leaving = record(&before.engine, Some(Stage::Decode));
    leaving.state = State::Draining;
    fleet.put(leaving);
    let after = place::choose_decode(&fleet, &demand, &zone, NOW).unwrap();
    assert_ne!(before.engine, after.engine);
}

/// Guards against calls to an engine that has restarted, until its old record lapses: the answer of
/// the new incarnation, that it is another one, counted as an overload refusal.
#[test]
fn an_ended_engine_gets_no_calls_although_its_record_exists() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    let sent = fleet.begin_call(&id("a"), 100, 0, NOW);
    fleet.end_call(&sent, Some(Outcome::Ended), NOW);
    let choice = placement(&fleet, &[(1, 100)]);
    assert_matches!(
        choice,
        Choice::Refuse {
            reason: Refusal::NoEngine,
            ..
        }
    );
}

#[test]
fn a_failing_engine_is_backed_off_and_recovers() {
    let mut fleet = fleet(&[("a", Stage::Decode), ("b", Stage::Decode)]);
    fleet.cache_parts(&id("a"), &prompt(&[(1, 9_000)]), 400_000, NOW);
    for _ in 0..2 {
        let sent = fleet.begin_call(&id("a"), 0, 0, NOW);
        fleet.end_call(&sent, Some(Outcome::Failed), NOW);
    }
    let sent = fleet.begin_call(&id("a"), 0, 0, NOW);
    fleet.end_call(&sent, Some(Outcome::Failed), NOW);
    assert_matches!(placement(&fleet, &[(1, 9_000)]), Choice::Direct(t) if &*t.engine == "b");
    assert!(fleet.get("a").unwrap().health.is_available(NOW + ms(5_000)));
}

#[test]
fn other_instances_prompts_count_as_work() {
    let mut fleet = fleet(&[("a", Stage::Decode), ("b", Stage::Decode)]);
    let free = placement(&fleet, &[(1, 2_000)]);
    let Choice::Direct(free) = free else {
        panic!("there are no engines of stage prefill")
    };
    let job = serving::engine::Job {
        ticket: 1,
        sent_at: NOW,
        rank: 0,
        work: 40_000,
    };
    let change = serving::fleet::WorkChange::Started(free.engine.clone(), job);
    fleet.apply_change(9, &change, NOW);
    // Announced again, as every frame lists recent prompts.
    fleet.apply_change(9, &change, NOW);
    assert_eq!(fleet.get(&free.engine).unwrap().pending_jobs().len(), 1);
    assert_matches!(placement(&fleet, &[(1, 2_000)]), Choice::Direct(t) if t.engine != free.engine);
    let read = serving::fleet::WorkChange::Read(free.engine.clone(), 1, NOW);
    fleet.apply_change(9, &read, NOW);
    assert_eq!(fleet.get(&free.engine).unwrap().pending_jobs().len(), 0);
}

#[test]
fn work_of_a_silent_instance_expires() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    let work = serving::engine::Work {
        calls: 5,
        ..Default::default()
    };
    fleet.apply_all_work(9, vec![(id("a"), work)], NOW);
    assert_eq!(fleet.get("a").unwrap().running_calls(), 5);
    fleet.expire(NOW + ms(5_000));
    assert_eq!(fleet.get("a").unwrap().running_calls(), 0);
}

#[test]
fn a_plain_call_goes_to_the_engine_with_least_work() {
    let mut fleet = Fleet::default();
    for name in ["a", "b"] {
        fleet.put(record(name, None));
    }
    fleet.begin_call(&id("a"), 0, 0, NOW);
    let (service, zone) = (service(), zone());
    let choice = choose(&fleet, &demand(&service, &zone, None), NOW);
    assert_matches!(choice, Choice::Direct(t) if &*t.engine == "b");
}

/// Guards against avoiding a recovered engine for good: its share of failures changed only with
/// calls, and it got none.
#[test]
fn an_engine_that_failed_long_ago_is_as_good_as_others() {
    let mut fleet = Fleet::default();
    for name in ["a", "b"] {
        fleet.put(record(name, None));
    }
    for _ in 0..3 {
        let sent = fleet.begin_call(&id("a"), 0, 0, NOW);
        fleet.end_call(&sent, Some(Outcome::Failed), NOW);
    }
    fleet.begin_call(&id("b"), 0, 0, NOW);
    let (service, zone) = (service(), zone());
    let demand = demand(&service, &zone, None);
    let soon = choose(&fleet, &demand, NOW + ms(100));
    assert_matches!(soon, Choice::Direct(t) if &*t.engine == "b");
    let later = choose(&fleet, &demand, NOW + ms(20_000));
    assert_matches!(later, Choice::Direct(t) if &*t.engine == "a");
}

#[test]
fn an_overloaded_engine_is_avoided_briefly() {
    let mut fleet = Fleet::default();
    for name in ["a", "b"] {
        fleet.put(record(name, None));
    }
    fleet.begin_call(&id("b"), 0, 0, NOW);
    let sent = fleet.begin_call(&id("a"), 0, 0, NOW);
    fleet.end_call(&sent, Some(Outcome::Overloaded), NOW);
    let (service, zone) = (service(), zone());
    let demand = demand(&service, &zone, None);
    assert_matches!(choose(&fleet, &demand, NOW + ms(10)), Choice::Direct(t) if &*t.engine == "b");
    assert_matches!(choose(&fleet, &demand, NOW + ms(60)), Choice::Direct(t) if &*t.engine == "a");
}

/// Engine `a` caches the first part of a prompt and has this many prompts to read; `b` is idle.
fn cached_at_a(jobs: usize) -> Fleet {
    let mut fleet = fleet(&[("a", Stage::Decode), ("b", Stage::Decode)]);
    fleet.cache_parts(&id("a"), &prompt(&[(7, 9_000)]), 400_000, NOW);
    for _ in 0..jobs {
        fleet.begin_call(&id("a"), 12_000, 0, NOW);
    }
    fleet
}

/// Guards against reading cached parts again: in a peak, a quarter of all tokens read were of
/// shared parts that a busy engine cached, although links transfer them in a tenth of the time.
#[test]
fn an_idle_engine_fetches_what_a_busy_one_caches() {
    let fleet = cached_at_a(3);
    let choice = placement(&fleet, &[(7, 9_000), (8, 3_000)]);
    assert_matches!(
        choice,
        Choice::Direct(t) if &*t.engine == "b" && t.prefill_tokens == 3_000 && t.fetch_from == Some(id("a"))
    );
}

/// Guards against copying parts to all engines: a copy cost nothing but its transfer, and the parts
/// that it evicted were read again.
#[test]
fn a_part_is_not_copied_from_an_idle_engine() {
    let fleet = cached_at_a(0);
    let choice = placement(&fleet, &[(7, 9_000), (8, 3_000)]);
    assert_matches!(choice, Choice::Direct(t) if &*t.engine == "a" && t.fetch_from.is_none());
}

#[test]
fn nothing_is_fetched_from_a_draining_engine() {
    let mut fleet = cached_at_a(3);
    fleet.put(serving::Record {
        state: State::Draining,
        ..record("a", Some(Stage::Decode))
    });
    let choice = placement(&fleet, &[(7, 9_000), (8, 3_000)]);
    assert_matches!(choice, Choice::Direct(t) if &*t.engine == "b" && t.fetch_from.is_none());
}

/// Guards against treating calls as late because an operator gave their route such a rank: they
/// were refused in a peak in which they would have been on time.
#[test]
fn the_lowest_priority_is_not_a_late_rank() {
    let fleet = fleet(&[("a", Stage::Decode)]);
    let parts = prompt(&[(1, 3_000)]);
    let (service, zone) = (service(), zone());
    for priority in [4, 7, 9, u8::MAX] {
        let demand = Demand {
            priority,
            ..demand(&service, &zone, Some(generation(&parts)))
        };
        let choice = choose(&fleet, &demand, NOW);
        assert_matches!(choice, Choice::Direct(t) if t.rank < LATE_RANK);
    }
}

/// Guards against a new connection for each call in a large fleet where each instance has a call
/// per second: equal engines were ordered by a hash of the prompt only, and reset excess
/// connections.
#[test]
fn among_equal_engines_one_with_a_connection_is_chosen() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let fleet = fleet(&names.map(|name| (name, Stage::Decode)));
    let (service, zone, parts) = (service(), zone(), prompt(&[(7, 100)]));
    let choose = |connected: &[serving::EngineId]| {
        let demand = Demand {
            connected,
            ..demand(&service, &zone, Some(generation(&parts)))
        };
        place::choose_decode(&fleet, &demand, &zone, NOW).expect("there is a decode engine")
    };
    for name in names {
        let connected = [id(name)];
        assert_eq!(*choose(&connected).engine, *name);
    }
}

/// Guards against placing a call that may crash its engine where its prompt is cached: most calls
/// of its kind run there, and each crash would cut all of them.
#[test]
fn an_isolated_call_goes_to_the_engine_with_the_fewest_calls() {
    let mut fleet = fleet(&[
        ("a", Stage::Decode),
        ("b", Stage::Decode),
        ("c", Stage::Prefill),
    ]);
    let parts = prompt(&[(7, 13_000)]);
    fleet.cache_parts(&id("a"), &parts, 400_000, NOW);
    fleet.begin_call(&id("a"), 0, 1, NOW);
    let (service, zone) = (service(), zone());
    let together = demand(&service, &zone, Some(generation(&parts)));
    let alone = Demand {
        isolated: true,
        ..together
    };
    assert_matches!(choose(&fleet, &together, NOW), Choice::Direct(t) if &*t.engine == "a");
    assert_matches!(choose(&fleet, &alone, NOW), Choice::Direct(t) if &*t.engine == "b");
}

/// Guards against calls to an engine that wants none from this instance, and against leaving it out
/// for longer than it asked or after a shorter request that overtook a longer one.
#[test]
fn an_engine_is_paused_for_the_longest_time_that_it_asked_for() {
    let mut fleet = fleet(&[("a", Stage::Decode)]);
    fleet.pause("a", ms(3_000), ms(1_000));
    fleet.pause("a", ms(500), ms(1_100));
    assert!(fleet.is_paused("a", ms(3_999)));
    assert!(!fleet.is_paused("a", ms(4_000)));
}

/// Guards against callers that come back while no engine takes their calls: a refusal for lack of
/// engines named half a second.
#[test]
fn a_refusal_during_pauses_names_the_first_end() {
    let mut fleet = fleet(&[
        ("a", Stage::Decode),
        ("b", Stage::Decode),
        ("p", Stage::Prefill),
    ]);
    let service = service();
    let refused = || Choice::Refuse {
        retry_after: ms(500),
        reason: Refusal::NoEngine,
        best_target: None,
    };
    fleet.pause("a", ms(3_000), ms(1_000));
    let mut choice = refused();
    place::explain_refusal(&fleet, &service, &mut choice, ms(1_000));
    assert_eq!(choice, refused());
    fleet.pause("b", ms(5_000), ms(1_000));
    place::explain_refusal(&fleet, &service, &mut choice, ms(2_000));
    let paused = Choice::Refuse {
        retry_after: ms(2_000),
        reason: Refusal::Paused,
        best_target: None,
    };
    assert_eq!(choice, paused);
}

/// Guards against resuming a stream at an engine of another software version than began it.
#[test]
fn a_stream_goes_on_only_at_engines_of_its_software_version() {
    let mut fleet = fleet(&[("reader", Stage::Prefill), ("old", Stage::Decode)]);
    fleet.put(Record {
        software: Some("v2".into()),
        ..record("new", Some(Stage::Decode))
    });
    // The other version would be chosen for its cached parts.
    fleet.cache_parts(&id("new"), &prompt(&[(7, 13_000)]), 400_000, NOW);
    let parts = prompt(&[(7, 13_000), (8, 3_000)]);
    let (service, zone) = (service(), zone());
    let resuming = |software| Demand {
        software: Some(software),
        ..demand(&service, &zone, Some(generation(&parts)))
    };
    for isolated in [false, true] {
        let demand = Demand {
            may_split: false,
            isolated,
            ..resuming("v1")
        };
        assert_matches!(choose(&fleet, &demand, NOW), Choice::Direct(t) if &*t.engine == "old");
    }
    let reserved = id("new");
    let demand = Demand {
        reserved: Some(&reserved),
        ..resuming("v1")
    };
    let decode = place::choose_decode(&fleet, &demand, &zone, NOW);
    assert_matches!(decode, Some(t) if &*t.engine == "old");
    let choice = choose(&fleet, &resuming("v3"), NOW);
    assert_matches!(
        choice,
        Choice::Refuse {
            reason: Refusal::NoEngine,
            ..
        }
    );
    assert_matches!(
        place::choose_decode(&fleet, &resuming("v3"), &zone, NOW),
        None
    );
}

/// Guards against the end of the process by a time that no duration can hold: a configuration with the largest
/// number of bytes a token, and a call with the largest number of tokens.
#[test]
fn a_call_is_placed_whatever_its_prompt_and_its_caches_size() {
    let largest = serving::route::Model {
        kv_bytes_per_token: u64::MAX,
        link_mbps: 0.0,
        ..common::MODEL
    };
    for model in [common::MODEL, largest] {
        for parts in [prompt(&[(1, 9_000)]), prompt(&[(1, u32::MAX)])] {
            let (service, zone) = (service(), zone());
            let generation = serving::place::Generation {
                model: &model,
                ..generation(&parts)
            };
            for stages in [
                [Stage::Decode, Stage::Decode],
                [Stage::Prefill, Stage::Decode],
            ] {
                let mut fleet = fleet(&[("a", stages[0]), ("b", stages[1])]);
                fleet.cache_parts(&id("a"), &parts, u64::MAX, NOW);
                let choice = choose(&fleet, &demand(&service, &zone, Some(generation)), NOW);
                assert_matches!(
                    choice,
                    Choice::Direct(_) | Choice::Split { .. } | Choice::Refuse { .. }
                );
            }
        }
    }
}
