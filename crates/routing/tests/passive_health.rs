//! Passive health checks.

mod common;

use std::{collections::VecDeque, time::Duration};

use common::{config, engines, ms, request, router};
use routing::{
    class::Class,
    decision::{Attempt, Decision, Execution, Progress},
    passive_health::PassiveHealth,
    pool::Config,
    router::Router,
};

const SILENT: &str = "engine-0000";

/// Sends a request every 50 ms. All engines but the silent one answer within that time; requests
/// to the silent one are cancelled after a second. Returns the number of these per ten seconds.
fn drive(router: &mut Router, seconds: u64) -> Vec<usize> {
    let mut counts = Vec::new();
    let mut answering: Vec<Attempt> = Vec::new();
    let mut hanging: VecDeque<(u64, Attempt)> = VecDeque::new();
    for step in 0..seconds * 20 {
        if step % 200 == 0 {
            counts.push(0);
        }
        let now = ms(step * 50);
        for attempt in answering.drain(..) {
            router.progress(now, attempt, Progress::Prefilled);
            router.progress(now, attempt, Progress::Tokens(100));
            router.finished(now, attempt);
        }
        while let Some((_, attempt)) = hanging.pop_front_if(|(due, _)| *due <= step) {
            router.finished(now, attempt);
        }
        router.tick(now);
        let request = request(Class::Authorisation, now + ms(600_000));
        let Decision::Send(assignment) = router.admit(now, request) else {
            panic!("authorisations are sent at once");
        };
        if &*assignment.upstream == SILENT {
            hanging.push_back((step + 20, assignment.attempt));
            *counts.last_mut().expect("a counter exists for this period") += 1;
        } else {
            answering.push(assignment.attempt);
        }
    }
    counts
}

#[test]
fn an_engine_that_never_answers_is_ejected() {
    // Guards against callers repeatedly waiting until their deadline for an engine that hangs. Its
    // connections stay open and its reports do not change, so only the missing answers reveal it.
    let pool = Config {
        slow_start: Duration::from_secs(10),
        ..config()
    };
    let mut router = router(pool, engines(4));
    let counts = drive(&mut router, 60);
    println!("requests to the silent engine in each 10 s of 200: {counts:?}");
    assert!(counts[0] >= 5);
    assert!(counts[1..].iter().sum::<usize>() <= 15, "{counts:?}");
}

#[test]
fn repeated_failures_lengthen_the_ejection() {
    let mut router = router(config(), engines(4));
    let mut counts = [0; 6];
    for step in 0..1_200_u64 {
        let now = ms(step * 50);
        router.tick(now);
        let request = request(Class::Authorisation, now + ms(600_000));
        let Decision::Send(assignment) = router.admit(now, request) else {
            panic!("authorisations are sent at once");
        };
        if &*assignment.upstream == SILENT {
            counts[(step / 200) as usize] += 1;
            router.failed(now, assignment.attempt, Execution::Unknown);
        } else {
            router.progress(now, assignment.attempt, Progress::Prefilled);
            router.finished(now, assignment.attempt);
        }
    }
    println!("attempts that fail in each 10 s of 200: {counts:?}");
    assert!(counts.iter().sum::<usize>() <= 24, "{counts:?}");
    assert!(counts[5] <= 3, "{counts:?}");
}

#[test]
fn the_speed_share_follows_answer_rates_until_they_expire() {
    let mut slow = PassiveHealth::default();
    for n in 1..=30 {
        slow.record_answer(ms(n * 100), true, 100, Duration::from_secs(10));
    }
    let share = slow.speed_share(ms(3_000), 50.0);
    assert!((share - 0.2).abs() < 0.01, "{share}");
    assert_eq!(slow.speed_share(ms(60_000), 50.0), 1.0);
}

#[test]
fn short_answers_and_small_rate_differences_are_ignored() {
    let mut upstream = PassiveHealth::default();
    upstream.record_answer(ms(100), true, 2, Duration::from_secs(10));
    assert_eq!(upstream.answer_rate(ms(100)), None);
    upstream.record_answer(ms(200), true, 100, Duration::from_secs(3));
    assert_eq!(upstream.speed_share(ms(200), 45.0), 1.0);
}

#[test]
fn long_answers_do_not_count_as_silence() {
    let mut upstream = PassiveHealth::default();
    let first = Duration::from_millis(500);
    upstream.record_sent(ms(0), first, Duration::from_secs(20));
    upstream.check_silence(ms(30_000), 1.0);
    assert!(!upstream.is_ejected(ms(30_000)));
    upstream.check_silence(ms(63_000), 1.0);
    assert!(upstream.is_ejected(ms(63_000)));
    upstream.record_response(ms(63_100));
    assert!(!upstream.is_ejected(ms(65_100)));
}
