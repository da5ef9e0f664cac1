//! The router, driven as by an entry.

mod common;

use assert_matches::assert_matches;
use common::{POOL, config, engines, ms, request, router, view};
use routing::{
    class::Class,
    decision::{Assignment, Decision, Execution, Output, Progress, Reason, RetryDecision},
    request::Prefix,
    router::Router,
    upstream::Role,
};
use smallvec::smallvec;

fn send(router: &mut Router, now: u64, class: Class) -> Assignment {
    let decision = router.admit(ms(now), request(class, ms(now + 60_000)));
    match decision {
        Decision::Send(assignment) => assignment,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_finished_attempt_releases_all_load() {
    let mut router = router(config(), engines(4));
    let assignment = send(&mut router, 0, Class::Interactive);
    assert_eq!(router.in_flight(&assignment.upstream), 1);
    router.progress(ms(10), assignment.attempt, Progress::Prefilled);
    router.progress(ms(20), assignment.attempt, Progress::Tokens(40));
    let outstanding = router.outstanding();
    assert_eq!(outstanding.len(), 1);
    assert_eq!(outstanding[0].load.decode, 60.0);
    assert_eq!(outstanding[0].load.prefill, 0.0);
    router.finished(ms(30), assignment.attempt);
    assert!(router.outstanding().is_empty());
    assert_eq!(router.in_flight(&assignment.upstream), 0);
}

#[test]
fn a_closed_upstream_gets_no_new_work() {
    let mut views = engines(2);
    views[0].open = false;
    let mut router = router(config(), views);
    for n in 0..20 {
        let assignment = send(&mut router, n, Class::Interactive);
        assert_eq!(&*assignment.upstream, "engine-0001");
        router.finished(ms(n), assignment.attempt);
    }
}

#[test]
fn requests_without_upstreams_are_refused_at_once() {
    let mut router = router(config(), vec![]);
    let decision = router.admit(ms(0), request(Class::Authorisation, ms(1_000)));
    assert_matches!(decision, Decision::Refuse(refusal) => {
        assert_eq!(refusal.reason, Reason::NoUpstream);
    });
}

#[test]
fn attempts_that_may_have_run_are_retried_only_if_repeatable() {
    let mut router = router(config(), engines(2));
    let mut payment = request(Class::Authorisation, ms(60_000));
    payment.repeatable = false;
    let decision = router.admit(ms(0), payment.clone());
    let first = assert_matches!(decision, Decision::Send(assignment) => assignment);
    assert_eq!(
        router.failed(ms(1), first.attempt, Execution::Unknown),
        RetryDecision::Final
    );

    let decision = router.admit(ms(2), payment);
    let second = assert_matches!(decision, Decision::Send(assignment) => assignment);
    let next = router.failed(ms(3), second.attempt, Execution::NotRun);
    let ticket = assert_matches!(next, RetryDecision::Wait(ticket) => ticket);
    let outputs = router.tick(ms(1_000));
    assert_matches!(&outputs[..], [Output::Send { ticket: sent, assignment }] => {
        assert_eq!(*sent, ticket);
        assert_ne!(assignment.upstream, second.upstream);
    });
}

#[test]
fn a_long_prompt_runs_on_a_prefill_and_a_decode_engine() {
    let mut pool = config();
    pool.transfer_s_per_token = 1e-6;
    let views = vec![view("a", Role::Prefill), view("b", Role::Decode)];
    let mut router = router(pool, views);
    let mut long = request(Class::Interactive, ms(60_000));
    long.prompt_tokens = 5_000;
    let assignment = match router.admit(ms(0), long) {
        Decision::Send(assignment) => assignment,
        other => panic!("{other:?}"),
    };
    assert_eq!(assignment.prefill.as_deref(), Some("a"));
    assert_eq!(&*assignment.upstream, "b");
    router.progress(ms(100), assignment.attempt, Progress::Prefilled);
    assert_eq!(router.in_flight("a"), 0);
    assert_eq!(router.in_flight("b"), 1);
}

#[test]
fn a_failed_transfer_moves_the_prefill_to_the_decode_engine() {
    // Guards against overloading a decode engine after failed KV transfers: the entry sends the
    // whole request there, so the prefill must no longer count at the prefill engine.
    let mut pool = config();
    pool.transfer_s_per_token = 1e-6;
    let views = vec![view("a", Role::Prefill), view("b", Role::Decode)];
    let mut router = router(pool, views);
    let mut long = request(Class::Interactive, ms(60_000));
    long.prompt_tokens = 5_000;
    let assignment = match router.admit(ms(0), long) {
        Decision::Send(assignment) => assignment,
        other => panic!("{other:?}"),
    };
    router.transfer_failed(ms(10), assignment.attempt);
    let outstanding = router.outstanding();
    assert_eq!(outstanding.len(), 1);
    assert_eq!(&*outstanding[0].upstream, "b");
    assert_eq!(outstanding[0].load.prefill, 5_000.0);
    router.finished(ms(20), assignment.attempt);
    assert!(router.outstanding().is_empty());
}

#[test]
fn removing_a_pool_refuses_its_queued_requests() {
    let mut router = router(config(), engines(1));
    let mut waiting = None;
    for n in 0..200 {
        if let Decision::Wait(ticket) = router.admit(ms(n), request(Class::Batch, ms(3_600_000))) {
            waiting = Some(ticket);
            break;
        }
    }
    let waiting = waiting.expect("one engine has room for few requests");
    assert_eq!(router.queued(POOL), 1);
    router.set_pools(ms(300), vec![]);
    let outputs = router.tick(ms(500));
    assert_matches!(&outputs[..], [Output::Refuse { ticket, refusal }] => {
        assert_eq!(*ticket, waiting);
        assert_eq!(refusal.reason, Reason::NoPool);
    });
}

#[test]
fn a_role_change_clears_cached_prefixes() {
    // Guards against expecting cached prefixes on an engine whose role changed: it drops its
    // cache, so the routing history must no longer list it as a holder.
    let mut router = router(config(), engines(2));
    let mut prompt = request(Class::Interactive, ms(600_000));
    prompt.prompt_tokens = 4_000;
    prompt.prefixes = smallvec![Prefix {
        hash: 7,
        tokens: 4_000,
    }];
    let first =
        assert_matches!(router.admit(ms(0), prompt.clone()), Decision::Send(first) => first);
    router.finished(ms(10), first.attempt);
    let again =
        assert_matches!(router.admit(ms(20), prompt.clone()), Decision::Send(again) => again);
    assert_eq!(again.upstream, first.upstream);
    assert_eq!(router.outstanding()[0].load.prefill, 0.0);
    router.finished(ms(30), again.attempt);

    let mut views = engines(2);
    for view in &mut views {
        if view.id == first.upstream {
            view.role = Role::Decode;
        }
    }
    router.set_upstreams(ms(40), POOL, views);
    assert_matches!(router.admit(ms(50), prompt), Decision::Send(_));
    assert_eq!(router.outstanding()[0].load.prefill, 4_000.0);
}

#[test]
fn remaining_engines_take_over_from_a_lost_data_centre() {
    // Guards against sending to the engines of a lost data centre: six of eighteen engines leave
    // the list at once, with requests in flight.
    let mut router = router(config(), engines(18));
    let lost: Vec<Assignment> = (0..60)
        .map(|n| send(&mut router, n, Class::Interactive))
        .filter(|assignment| *assignment.upstream < *"engine-0006")
        .collect();
    assert!(!lost.is_empty());
    let left: Vec<_> = engines(18).into_iter().skip(6).collect();
    router.set_upstreams(ms(100), POOL, left);
    for assignment in &lost {
        let next = router.failed(ms(200), assignment.attempt, Execution::Unknown);
        assert_matches!(next, RetryDecision::Wait(_) | RetryDecision::Final);
    }
    for output in router.tick(ms(1_000)) {
        let again = assert_matches!(output, Output::Send { assignment, .. } => assignment);
        assert!(*again.upstream >= *"engine-0006");
    }
    for n in 0..100 {
        let assignment = send(&mut router, 1_000 + n, Class::Interactive);
        assert!(*assignment.upstream >= *"engine-0006");
        router.finished(ms(1_000 + n), assignment.attempt);
    }
}

#[test]
fn an_unstreamed_answer_releases_its_prefill_before_it_ends() {
    // Guards against refusing requests with a short deadline while most slots are free. An
    // unstreamed answer does not report the end of its prefill, so its prompt would count as
    // outstanding until the answer arrives.
    let mut router = router(config(), engines(1));
    let mut summary = request(Class::Batch, ms(60_000));
    summary.prompt_tokens = 4_000;
    summary.streamed = false;
    let summary =
        assert_matches!(router.admit(ms(0), summary), Decision::Send(assignment) => assignment);
    assert_eq!(router.outstanding()[0].load.prefill, 4_000.0);
    router.tick(ms(5_000));
    assert_eq!(router.outstanding()[0].load.prefill, 0.0);
    router.finished(ms(9_000), summary.attempt);
    assert!(router.outstanding().is_empty());

    let mut stream = request(Class::Batch, ms(60_000));
    stream.prompt_tokens = 4_000;
    assert_matches!(router.admit(ms(10_000), stream), Decision::Send(_));
    router.tick(ms(15_000));
    assert_eq!(
        router.outstanding()[0].load.prefill,
        4_000.0,
        "a stream reports its prefill"
    );
}
