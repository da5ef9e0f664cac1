//! Queueing, shedding, deadlines and retries at one entry.

mod common;

use assert_matches::assert_matches;
use clock::Moment;
use common::{config, engines, ms, request, router};
use routing::{
    class::Class,
    decision::{Attempt, Decision, Execution, Output, Progress, Reason, RetryDecision, Ticket},
    load::Load,
    pool::Config,
    router::{Outputs, Router},
    upstream::Report,
};
use smallvec::smallvec;

/// A deadline that no test reaches.
const FAR_DEADLINE: u64 = 10_000_000;

/// Fills a pool of one engine with interactive requests and returns the attempts.
fn fill(router: &mut Router) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    loop {
        match router.admit(ms(0), request(Class::Interactive, ms(FAR_DEADLINE))) {
            Decision::Send(assignment) => attempts.push(assignment.attempt),
            Decision::Wait(ticket) => {
                router.cancel(ticket);
                return attempts;
            }
            Decision::Refuse(refusal) => panic!("{refusal:?}"),
        }
    }
}

fn admit_queued(router: &mut Router, now: u64, class: Class, deadline: u64) -> Ticket {
    let decision = router.admit(ms(now), request(class, ms(deadline)));
    assert_matches!(decision, Decision::Wait(ticket) => ticket)
}

fn sent(outputs: &Outputs) -> Vec<Ticket> {
    let sends = outputs.iter().filter_map(|output| match output {
        Output::Send { ticket, .. } => Some(*ticket),
        Output::Refuse { .. } => None,
    });
    sends.collect()
}

fn refused(outputs: &Outputs) -> Vec<(Ticket, Reason)> {
    let refusals = outputs.iter().filter_map(|output| match output {
        Output::Refuse { ticket, refusal } => Some((*ticket, refusal.reason)),
        Output::Send { .. } => None,
    });
    refusals.collect()
}

#[test]
fn queued_requests_are_sent_by_class_and_then_by_deadline() {
    let mut router = router(config(), engines(1));
    let attempts = fill(&mut router);
    let batch = admit_queued(&mut router, 1, Class::Batch, FAR_DEADLINE);
    let late = admit_queued(&mut router, 2, Class::Interactive, FAR_DEADLINE);
    let soon = admit_queued(&mut router, 3, Class::Interactive, FAR_DEADLINE - 1_000);
    let dispatch = admit_queued(&mut router, 4, Class::Dispatch, 5_000_000);
    let mut order = Vec::new();
    for (n, attempt) in attempts.iter().enumerate() {
        order.extend(sent(&router.finished(ms(10 + n as u64), *attempt)));
    }
    assert_eq!(order, [soon, late, dispatch, batch]);
}

#[test]
fn authorisations_and_status_reports_never_queue_behind_other_work() {
    // Guards against authorisations queued behind summaries: with the pool and the queue full, a
    // late authorisation leaves a customer waiting at a kiosk.
    let mut router = router(config(), engines(1));
    fill(&mut router);
    for n in 0..256 {
        admit_queued(&mut router, n, Class::Batch, FAR_DEADLINE);
    }
    for class in [Class::Authorisation, Class::Status] {
        let decision = router.admit(ms(300), request(class, ms(1_300)));
        assert_matches!(decision, Decision::Send(_), "{class:?}");
    }
}

#[test]
fn a_full_queue_sheds_the_lowest_class_first() {
    let pool = Config {
        queue_capacity: 3,
        ..config()
    };
    let mut router = router(pool, engines(1));
    fill(&mut router);
    let batch: Vec<Ticket> = (0..3)
        .map(|n| admit_queued(&mut router, n, Class::Batch, FAR_DEADLINE + n))
        .collect();
    let decision = router.admit(ms(5), request(Class::Batch, ms(FAR_DEADLINE)));
    assert_matches!(decision, Decision::Refuse(refusal) => {
        assert_eq!(refusal.reason, Reason::Overload(Class::Batch));
    });
    for n in 0..3 {
        admit_queued(&mut router, 10 + n, Class::Interactive, FAR_DEADLINE);
    }
    let mut shed = refused(&router.tick(ms(20)));
    shed.sort_by_key(|(ticket, _)| *ticket);
    let expected: Vec<(Ticket, Reason)> = batch
        .iter()
        .map(|ticket| (*ticket, Reason::Overload(Class::Batch)))
        .collect();
    assert_eq!(shed, expected);
    let decision = router.admit(ms(30), request(Class::Dispatch, ms(FAR_DEADLINE)));
    assert_matches!(decision, Decision::Refuse(refusal) => {
        assert_eq!(refusal.reason, Reason::Overload(Class::Dispatch));
    });
}

#[test]
fn a_flooding_owner_displaces_its_own_requests() {
    // Guards against one owner's flood causing refusals for other owners of the same class, as
    // happens if whoever arrives at a full queue is refused.
    let pool = Config {
        queue_capacity: 8,
        ..config()
    };
    let mut router = router(pool, engines(1));
    fill(&mut router);
    let flood: Vec<Ticket> = (0..8)
        .map(|n| admit_queued(&mut router, n, Class::Interactive, FAR_DEADLINE + n))
        .collect();
    let of = |owner: &str| {
        let mut request = request(Class::Interactive, ms(FAR_DEADLINE));
        request.subjects = smallvec![owner.into()];
        request
    };
    for n in 0..4 {
        let decision = router.admit(ms(20), of("brazos"));
        assert_matches!(decision, Decision::Wait(_));
        let shed = refused(&router.tick(ms(20)));
        let expected = Reason::Overload(Class::Interactive);
        assert_eq!(shed, [(flood[7 - n], expected)]);
    }
    for owner in ["brazos", "lima"] {
        let decision = router.admit(ms(30), of(owner));
        assert_matches!(decision, Decision::Refuse(_), "{owner}");
    }
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut router = router(config(), engines(1));
    fill(&mut router);
    // The rate at which requests are sent is known: 40 in the first second.
    for n in 0..30 {
        admit_queued(&mut router, 1_000 + n, Class::Interactive, FAR_DEADLINE);
    }
    let decision = router.admit(ms(1_100), request(Class::Interactive, ms(1_200)));
    assert_matches!(decision, Decision::Refuse(refusal) => {
        assert_eq!(refusal.reason, Reason::Deadline);
        assert!(refusal.retry_after >= ms(1_000));
    });
}

#[test]
fn a_queued_request_is_refused_before_its_deadline_passes() {
    // Guards against callers learning only at their deadline that their request was not run, as
    // happens if the queue is checked only when something is sent.
    let mut router = router(config(), engines(1));
    fill(&mut router);
    let ticket = admit_queued(&mut router, 10, Class::Interactive, 3_000);
    let mut refused_at = None;
    for now in (20..3_000).step_by(20) {
        let refusals = refused(&router.tick(ms(now)));
        if refusals.contains(&(ticket, Reason::Deadline)) {
            refused_at = Some(now);
            break;
        }
    }
    assert!(
        refused_at.is_some_and(|refused_at| refused_at < 3_000),
        "{refused_at:?}"
    );
    assert_eq!(router.queued(common::POOL), 0);
}

#[test]
fn a_model_whose_engines_are_full_does_not_block_others() {
    let mut views = engines(2);
    views[0].models = smallvec!["a@1".into()];
    views[1].models = smallvec!["b@1".into()];
    let mut router = router(config(), views);
    let of = |model: &str| {
        let mut request = request(Class::Interactive, ms(FAR_DEADLINE));
        request.model = Some(model.into());
        request
    };
    while let Decision::Send(_) = router.admit(ms(0), of("a@1")) {}
    assert_eq!(router.queued(common::POOL), 1);
    assert_matches!(router.admit(ms(1), of("b@1")), Decision::Send(_));
}

#[test]
fn a_cancelled_request_leaves_the_queue() {
    let mut router = router(config(), engines(1));
    let attempts = fill(&mut router);
    let ticket = admit_queued(&mut router, 1, Class::Interactive, FAR_DEADLINE);
    router.cancel(ticket);
    assert_eq!(router.queued(common::POOL), 0);
    assert!(router.finished(ms(2), attempts[0]).is_empty());
}

#[test]
fn retry_times_of_refusals_are_spread() {
    // Guards against refused callers returning in the same second, as happens if the retry time
    // depends on the queue alone.
    let mut router = router(config(), vec![]);
    let mut seconds = [0_usize; 10];
    for _ in 0..1_000 {
        let decision = router.admit(ms(0), request(Class::Interactive, ms(FAR_DEADLINE)));
        let refusal = assert_matches!(decision, Decision::Refuse(refusal) => refusal);
        let tenth = (refusal.retry_after.as_millis() - 1_000) / 100;
        seconds[(tenth as usize).min(9)] += 1;
    }
    assert!(seconds.iter().all(|count| *count < 150), "{seconds:?}");
}

#[test]
fn retries_stay_within_their_budget() {
    // Guards against a failing pool receiving three times its load, as happens if retries have no
    // budget.
    let mut router = router(config(), engines(8));
    let mut attempts = 0;
    for n in 0..1_000_u64 {
        let now = n * 10;
        let mut sent: Vec<Attempt> = Vec::new();
        if let Decision::Send(assignment) =
            router.admit(ms(now), request(Class::Interactive, ms(FAR_DEADLINE)))
        {
            sent.push(assignment.attempt);
        }
        for output in router.tick(ms(now)) {
            if let Output::Send { assignment, .. } = output {
                sent.push(assignment.attempt);
            }
        }
        for attempt in sent {
            attempts += 1;
            router.failed(ms(now), attempt, Execution::NotRun);
        }
    }
    assert!(attempts <= 1_000 + 100 + 20, "{attempts}");
    assert!(attempts >= 1_100, "{attempts}");
}

#[test]
fn simultaneous_retries_are_spread() {
    let mut router = router(config(), engines(8));
    let mut due: Vec<Moment> = Vec::new();
    for _ in 0..20 {
        let decision = router.admit(ms(0), request(Class::Interactive, ms(FAR_DEADLINE)));
        let assignment = assert_matches!(decision, Decision::Send(assignment) => assignment);
        let next = router.failed(ms(0), assignment.attempt, Execution::NotRun);
        assert_matches!(next, RetryDecision::Wait(_));
    }
    for now in 0..=10 {
        let count = sent(&router.tick(ms(now))).len();
        due.extend(std::iter::repeat_n(ms(now), count));
    }
    assert_eq!(due.len(), 20);
    let most = due.chunk_by(|a, b| a == b).map(<[Moment]>::len).max();
    assert!(most.is_some_and(|most| most <= 8), "{due:?}");
}

#[test]
fn a_burst_after_a_quiet_period_is_not_refused() {
    // Guards against refusing the first requests after a quiet period, as happens if the rate at
    // which requests were sent is taken for the capacity.
    let mut router = router(config(), engines(4));
    for _ in 0..60 {
        let decision = router.admit(ms(60_000), request(Class::Interactive, ms(61_500)));
        assert!(!matches!(decision, Decision::Refuse(_)), "{decision:?}");
    }
    assert!(router.queued(common::POOL) > 0);
}

#[test]
fn the_only_upstream_is_retried() {
    let mut router = router(config(), engines(1));
    let decision = router.admit(ms(0), request(Class::Interactive, ms(FAR_DEADLINE)));
    let first = assert_matches!(decision, Decision::Send(assignment) => assignment);
    let next = router.failed(ms(1), first.attempt, Execution::NotRun);
    let ticket = assert_matches!(next, RetryDecision::Wait(ticket) => ticket);
    assert_eq!(sent(&router.tick(ms(100))), [ticket]);
}

#[test]
fn a_lower_class_backlog_does_not_refuse_higher_classes() {
    // Guards against refusing a request with a short deadline because of lower-class work ahead of
    // it, which the engine serves later by priority.
    let mut router = router(config(), engines(1));
    for n in 0..5 {
        let decision = router.admit(ms(n), request(Class::Batch, ms(FAR_DEADLINE)));
        assert_matches!(decision, Decision::Send(_));
    }
    // The 2,500 tokens of the batch requests take a quarter of a second.
    let decision = router.admit(ms(10), request(Class::Interactive, ms(160)));
    assert_matches!(decision, Decision::Send(_));
}

#[test]
fn late_first_tokens_raise_the_estimate() {
    // Guards against sending requests that cannot be in time, in place of others. First tokens
    // repeatedly take a second longer than estimated, because estimates leave out the requests of
    // other entries.
    let mut router = router(config(), engines(1));
    let mut now = 0;
    for _ in 0..100 {
        let decision = router.admit(ms(now), request(Class::Interactive, ms(FAR_DEADLINE)));
        let assignment = assert_matches!(decision, Decision::Send(assignment) => assignment);
        now += 1_000;
        router.progress(ms(now), assignment.attempt, Progress::Prefilled);
        router.finished(ms(now), assignment.attempt);
    }
    let decision = router.admit(ms(now), request(Class::Interactive, ms(now + 500)));
    assert_matches!(decision, Decision::Refuse(refusal) => {
        assert_eq!(refusal.reason, Reason::Deadline);
    });
    let decision = router.admit(ms(now), request(Class::Interactive, ms(now + 2_000)));
    assert_matches!(decision, Decision::Send(_));
    // Once everything is refused, no first token corrects the lateness; it must decay by itself.
    now += 20_000;
    let decision = router.admit(ms(now), request(Class::Interactive, ms(now + 500)));
    assert_matches!(decision, Decision::Send(_));
}

#[test]
fn missing_reports_do_not_close_the_pool() {
    // Guards against refusing all but urgent work permanently after the load reports stop. The
    // last reports show full engines, and stale views decay towards a mean made of stale views.
    let mut router = router(config(), engines(4));
    for view in engines(4) {
        let report = Report {
            at: ms(0),
            load: Load::of(50_000, 100),
            waiting: 0,
            kv_used: 0.5,
            prefill_rate: 10_000.0,
            decode_slots: 32,
            draining: false,
        };
        router.report(common::POOL, &view.id, report);
    }
    router.tick(ms(100));
    let decision = router.admit(ms(100), request(Class::Interactive, ms(60_000)));
    assert_matches!(decision, Decision::Wait(_));
    let mut late = Vec::new();
    for now in (200..20_000).step_by(20) {
        late.extend(sent(&router.tick(ms(now))));
    }
    assert_eq!(late.len(), 1);
    let decision = router.admit(ms(20_000), request(Class::Interactive, ms(60_000)));
    assert_matches!(decision, Decision::Send(_));
}
