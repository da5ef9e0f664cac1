//! Tests of each check on a valid history with one violation added.

use std::time::Duration;

use bytes::Bytes;
use platform_standin::engine::Order;
use platform_standin::{Cut, cloud};
use serde_json::json;
use soak::check::{self, Finding, Invariant};
use soak::cluster::ORGANISATIONS;
use soak::history::{
    Call, CallOutcome, EngineRequest, History, Leaving, Pauses, RateLimit, RequestKind, Resumption,
};
use soak::plan::{Fault, FaultKind, LinkState, ProcessAction, StoreFailure};

const REQUEST_KINDS: [RequestKind; 5] = [
    RequestKind::Safe,
    RequestKind::Once,
    RequestKind::Stream,
    RequestKind::Resume,
    RequestKind::Added(2),
];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn call(id: &str, kind: RequestKind, at: u64) -> Call {
    Call {
        id: id.to_owned(),
        kind,
        organisation: ORGANISATIONS[0],
        gateway: 0,
        gateway_start: 1,
        sent_at: ms(at),
        ended_at: ms(at + 10),
        outcome: CallOutcome::Answer {
            status: 200,
            signed: true,
            says_when: false,
            body: Some(Bytes::from(check::expected_body(kind, id))),
        },
        received: Bytes::from(check::expected_body(kind, id)),
        resumes: None,
    }
}

fn executed(id: &str, kind: RequestKind, engine: &str) -> EngineRequest {
    EngineRequest {
        engine: engine.to_owned(),
        service: kind.service(),
        id: id.to_owned(),
        received_at: Duration::ZERO,
        executed: true,
        forged: false,
        organisation: ORGANISATIONS[0].to_owned(),
    }
}

/// One successful call of each kind.
fn valid_history() -> History {
    let mut history = History::default();
    for (at, kind) in (0..).zip(REQUEST_KINDS) {
        let id = format!("c{at}");
        history.engine_requests.push(executed(&id, kind, "e0"));
        history.calls.push(call(&id, kind, at * 100));
    }
    history
}

fn refuse(call: &mut Call, status: u16, says_when: bool) {
    call.outcome = CallOutcome::Answer {
        status,
        signed: false,
        says_when,
        body: Some(Bytes::new()),
    };
}

/// Asserts that a violation added to a valid history gives exactly one finding, for that invariant.
fn assert_only_finding(invariant: Invariant, add_violation: impl FnOnce(&mut History)) {
    let mut history = valid_history();
    add_violation(&mut history);
    let findings = check::check(&history);
    let invariants: Vec<Invariant> = findings.iter().map(|f| f.invariant).collect();
    assert_eq!(invariants, [invariant], "{findings:?}");
}

#[test]
fn valid_history_has_no_findings() {
    assert_eq!(check::check(&valid_history()), Vec::<Finding>::new());
}

#[test]
fn answer_to_another_call_is_reported() {
    assert_only_finding(Invariant::WholeOwnAnswer, |history| {
        let other = history.calls[0].outcome.clone();
        history.calls[1].outcome = other;
    });
}

/// Text of the stream of the call `c2` with these events.
fn stream_of(events: impl IntoIterator<Item = usize>) -> Bytes {
    let events = events.into_iter();
    let events = events.map(|event| format!("id: {event}\ndata: c2 {event}\n\n"));
    Bytes::from(events.collect::<String>())
}

/// All events of a stream, with one of them missing, twice, out of order or of a later place.
fn spoilt_streams() -> [Vec<usize>; 4] {
    let all = || (1..=check::STREAM_EVENTS).collect::<Vec<_>>();
    let [mut missing, mut twice, mut swapped, mut replaced] = [all(), all(), all(), all()];
    missing.remove(2);
    twice.insert(2, 2);
    swapped.swap(1, 2);
    replaced[2] = 4;
    [missing, twice, swapped, replaced]
}

#[test]
fn missing_or_repeated_stream_event_is_reported() {
    for events in spoilt_streams() {
        assert_only_finding(Invariant::WholeOwnAnswer, |history| {
            if let CallOutcome::Answer { body, .. } = &mut history.calls[2].outcome {
                *body = Some(stream_of(events));
            }
        });
    }
}

#[test]
fn missing_or_repeated_event_before_a_break_is_reported() {
    for events in spoilt_streams() {
        assert_only_finding(Invariant::WholeOwnAnswer, |history| {
            history.calls[2].outcome = CallOutcome::Left;
            history.calls[2].received = stream_of(events.into_iter().take(5));
        });
    }
}

#[test]
fn beginning_of_a_stream_is_no_finding() {
    let whole = stream_of(1..=check::STREAM_EVENTS);
    for end in 0..whole.len() {
        let mut history = valid_history();
        history.calls[2].outcome = CallOutcome::Left;
        history.calls[2].received = whole.slice(..end);
        assert_eq!(check::check(&history), [], "{end} bytes");
    }
}

#[test]
fn unsigned_success_is_reported() {
    assert_only_finding(Invariant::WholeOwnAnswer, |history| {
        if let CallOutcome::Answer { signed, .. } = &mut history.calls[1].outcome {
            *signed = false;
        }
    });
}

#[test]
fn second_execution_is_reported() {
    for (at, kind) in [(1, RequestKind::Once), (2, RequestKind::Stream)] {
        assert_only_finding(Invariant::AtMostOnce, |history| {
            history
                .engine_requests
                .push(executed(&format!("c{at}"), kind, "e1"));
        });
    }
}

#[test]
fn attempt_over_the_limit_is_reported() {
    assert_only_finding(Invariant::Attempts, |history| {
        history
            .engine_requests
            .push(executed("c0", RequestKind::Safe, "e1"));
        history
            .engine_requests
            .push(executed("c0", RequestKind::Safe, "e2"));
    });
}

#[test]
fn refusal_of_an_executed_call_is_reported() {
    for status in [408, 421, 429, 503] {
        assert_only_finding(Invariant::TrueRefusal, |history| {
            refuse(&mut history.calls[1], status, true);
        });
    }
}

#[test]
fn refusal_without_retry_after_is_reported() {
    assert_only_finding(Invariant::TrueRefusal, |history| {
        refuse(&mut history.calls[1], 503, false);
        history.engine_requests.remove(1);
    });
}

#[test]
fn denial_of_an_allowed_call_is_reported() {
    assert_only_finding(Invariant::NotDenied, |history| {
        refuse(&mut history.calls[1], 404, false);
        history.engine_requests.remove(1);
    });
}

#[test]
fn unrequested_or_forged_engine_request_is_reported() {
    assert_only_finding(Invariant::Asked, |history| {
        history
            .engine_requests
            .push(executed("nobody's", RequestKind::Once, "e0"));
    });
    assert_only_finding(Invariant::Asked, |h| h.engine_requests[3].forged = true);
}

#[test]
fn execution_at_another_service_is_reported() {
    assert_only_finding(Invariant::Route, |h| h.engine_requests[0].service = "pool");
}

#[test]
fn configuration_rollback_is_reported() {
    assert_only_finding(Invariant::NeverBack, |history| {
        let mut late = call("late", RequestKind::Added(1), 5_000);
        refuse(&mut late, 404, false);
        history.calls.push(late);
    });
    // A restarted gateway may briefly have an older version, and no call has shown version 3 yet.
    for (start, version) in [(2, 1), (1, 3)] {
        let mut history = valid_history();
        let mut late = call("late", RequestKind::Added(version), 5_000);
        late.gateway_start = start;
        refuse(&mut late, 404, false);
        history.calls.push(late);
        assert_eq!(check::check(&history), Vec::<Finding>::new());
    }
}

#[test]
fn orders_with_two_holders_or_a_lower_token_are_reported() {
    let order = |holder: &str, fence| Order {
        stage: "prefill".to_owned(),
        holder: holder.to_owned(),
        fence,
        instance: "e0".to_owned(),
    };
    for (holder, fence) in [("b", 4), ("a", 3)] {
        assert_only_finding(Invariant::Orders, |history| {
            history.orders.push(("e0".to_owned(), order("a", 4)));
            history.orders.push(("e0".to_owned(), order(holder, fence)));
        });
    }
}

#[test]
fn call_cut_by_planned_work_only_is_reported() {
    let stop = Fault {
        at: ms(100),
        duration: ms(150),
        kind: FaultKind::Process(0, ProcessAction::Stop),
    };
    assert_only_finding(Invariant::PlannedWork, |history| {
        history.faults.push(stop);
        history.calls[1].outcome = CallOutcome::Closed;
    });
    let mut history = valid_history();
    let kind = FaultKind::Process(0, ProcessAction::Kill);
    history.faults.push(Fault { kind, ..stop });
    history.calls[1].outcome = CallOutcome::Closed;
    assert_eq!(check::check(&history), Vec::<Finding>::new());
}

#[test]
fn unexpected_exit_and_missing_recovery_are_reported() {
    assert_only_finding(Invariant::Lives, |history| {
        history.unexpected_exits.push("gateway-0 ended".to_owned());
    });
    assert_only_finding(Invariant::Recovery, |history| {
        history
            .failed_probes
            .push("gateway-0 serves nothing".to_owned());
    });
}

/// Adds three crashes by a call, and four later repeats of it, 1 s apart, that reach an engine.
fn add_fatal_calls(history: &mut History, from: u64) {
    history.engine_ends = [100, 200, 300].map(ms).to_vec();
    for number in 0..4 {
        let id = format!("fatal-{number}");
        let mut sent = call(&id, RequestKind::Fatal, from + number * 1_000);
        sent.outcome = CallOutcome::Closed;
        history
            .engine_requests
            .push(executed(&id, RequestKind::Fatal, &format!("e{number}")));
        history.calls.push(sent);
    }
    // An unplanned fault, so that these cut calls are no finding of their own.
    history.faults = vec![Fault {
        at: ms(50),
        duration: ms(20_000),
        kind: FaultKind::Fatal,
    }];
}

#[test]
fn fatal_call_that_reaches_more_engines_is_reported() {
    assert_only_finding(Invariant::Held, |history| {
        add_fatal_calls(history, 4_000);
    });
}

/// Adds five crashes by a part, and four later calls with it, 1 s apart, that reach an engine.
fn add_calls_with_fatal_part(history: &mut History, from: u64) {
    history.engine_ends = [100, 200, 300, 400, 500].map(ms).to_vec();
    for number in 0..4 {
        let id = format!("part-{number}");
        let mut sent = call(&id, RequestKind::FatalPart, from + number * 1_000);
        sent.outcome = CallOutcome::Closed;
        let received = executed(&id, RequestKind::FatalPart, &format!("e{number}"));
        history.engine_requests.push(received);
        history.calls.push(sent);
    }
    // An unplanned fault, so that these cut calls are no finding of their own.
    history.faults = vec![Fault {
        at: ms(50),
        duration: ms(20_000),
        kind: FaultKind::FatalPart,
    }];
}

#[test]
fn calls_with_a_fatal_part_that_reach_more_engines_are_reported() {
    assert_only_finding(Invariant::Held, |history| {
        add_calls_with_fatal_part(history, 4_000);
    });
    let mut history = valid_history();
    add_calls_with_fatal_part(&mut history, 400);
    assert_eq!(check::check(&history), Vec::<Finding>::new());
}

#[test]
fn held_calls_of_the_same_first_part_are_reported() {
    let hold = |history: &mut History, held: usize| {
        history.engine_ends = [100, 200, 300, 400, 500].map(ms).to_vec();
        for number in 0..20 {
            let id = format!("sound-{number}");
            let mut sent = call(&id, RequestKind::FirstPart, 7_000 + number * 100);
            let is_held = number < held as u64;
            if is_held {
                refuse(&mut sent, 503, true);
            } else {
                let received = executed(&id, RequestKind::FirstPart, "e");
                history.engine_requests.push(received);
            }
            if let (true, CallOutcome::Answer { body, .. }) = (is_held, &mut sent.outcome) {
                let text = "Engines that ran calls with a part of this prompt ended.";
                *body = Some(Bytes::from(text));
            }
            history.calls.push(sent);
        }
    };
    assert_only_finding(Invariant::Held, |history| hold(history, 11));
    let mut history = valid_history();
    hold(&mut history, 10);
    assert_eq!(check::check(&history), Vec::<Finding>::new());
}

#[test]
fn fatal_calls_before_propagation_or_near_a_fault_are_allowed() {
    let mut history = valid_history();
    add_fatal_calls(&mut history, 300);
    assert_eq!(check::check(&history), Vec::<Finding>::new());
    let mut history = valid_history();
    add_fatal_calls(&mut history, 4_000);
    history.faults.push(Fault {
        at: ms(3_500),
        duration: ms(500),
        kind: FaultKind::Process(0, ProcessAction::Kill),
    });
    assert_eq!(check::check(&history), Vec::<Finding>::new());
}

#[test]
fn long_quarantine_of_an_innocent_call_is_reported() {
    let hold = |history: &mut History, at: u64| {
        history.engine_ends = vec![ms(100)];
        let mut held = call("held", RequestKind::Safe, at);
        refuse(&mut held, 503, true);
        if let CallOutcome::Answer { body, .. } = &mut held.outcome {
            *body = Some(Bytes::from("Engines that ran this call ended."));
        }
        history.calls.push(held);
    };
    assert_only_finding(Invariant::Held, |history| hold(history, 11_000));
    let mut history = valid_history();
    hold(&mut history, 5_000);
    assert_eq!(check::check(&history), Vec::<Finding>::new());
}

fn report(fence: u64, holder: &str, count: u32) -> cloud::Call {
    cloud::Call {
        path: "/usage".to_owned(),
        holder: holder.to_owned(),
        fence,
        body: json!({ "window_seq": 7, "counts": { "org-a": count } }),
        taken: true,
    }
}

#[test]
fn differing_reports_of_one_window_are_reported() {
    assert_only_finding(Invariant::Duties, |history| {
        history.usage_reports = vec![report(1, "g0", 5), report(2, "g1", 6)];
    });
}

#[test]
fn usage_token_with_two_holders_is_reported() {
    assert_only_finding(Invariant::Duties, |history| {
        history.usage_reports = vec![report(1, "g0", 5), report(1, "g1", 5)];
    });
}

#[test]
fn wrong_organisation_at_the_engine_is_reported() {
    assert_only_finding(Invariant::Asked, |history| {
        history.engine_requests[0].organisation = ORGANISATIONS[1].to_owned();
    });
}

#[test]
fn executed_call_without_a_valid_key_is_reported() {
    assert_only_finding(Invariant::Asked, |history| {
        history.calls[0].kind = RequestKind::Keyless;
    });
}

/// Adds an engine with a rate limit of one request per second that gets `count` requests, 200 ms
/// apart.
fn with_rate_limit(count: u64) -> impl FnOnce(&mut History) {
    move |history| {
        history.rate_limits.push(RateLimit {
            engine: "e-3".to_owned(),
            per_ten_seconds: 10,
            from: ms(1_000),
            until: ms(20_000),
        });
        for number in 0..count {
            let (id, at) = (format!("limited-{number}"), 5_000 + number * 200);
            history.calls.push(call(&id, RequestKind::Safe, at));
            history.engine_requests.push(EngineRequest {
                received_at: ms(at),
                ..executed(&id, RequestKind::Safe, "e-3")
            });
        }
    }
}

#[test]
fn requests_over_the_rate_limit_are_reported() {
    assert_only_finding(Invariant::RateLimits, with_rate_limit(12));
    let mut history = valid_history();
    with_rate_limit(11)(&mut history);
    assert_eq!(check::check(&history), []);
}

#[test]
fn requests_delayed_by_a_gateway_pause_are_allowed() {
    let mut history = valid_history();
    with_rate_limit(12)(&mut history);
    history.faults.push(Fault {
        at: ms(4_000),
        duration: ms(500),
        kind: FaultKind::Process(0, ProcessAction::Pause),
    });
    assert_eq!(check::check(&history), []);
}

fn with_leaving_engine(sent_at: u64) -> impl FnOnce(&mut History) {
    move |history| {
        history.leavings.push(Leaving {
            engine: "e-3".to_owned(),
            at: ms(1_000),
        });
        history.calls.push(call("late", RequestKind::Safe, sent_at));
        history.engine_requests.push(EngineRequest {
            received_at: ms(sent_at + 5),
            ..executed("late", RequestKind::Safe, "e-3")
        });
    }
}

#[test]
fn requests_to_an_engine_that_left_are_reported() {
    assert_only_finding(Invariant::Leaving, with_leaving_engine(4_100));
    let mut history = valid_history();
    with_leaving_engine(3_900)(&mut history);
    assert_eq!(check::check(&history), []);
}

#[test]
fn only_a_fault_at_their_own_gateway_excuses_requests_to_an_engine_that_left() {
    for (gateway, is_excused) in [(0, true), (1, false)] {
        let mut history = valid_history();
        with_leaving_engine(4_100)(&mut history);
        history.faults.push(Fault {
            at: ms(500),
            duration: ms(3_000),
            kind: FaultKind::StoreLink(gateway, LinkState::Silent),
        });
        assert_eq!(check::check(&history).is_empty(), is_excused);
    }
}

/// An engine leaves at 1 s, and answers a call of gateway 0 at 1.5 s and another one later.
fn with_announced_leaving(sent_at: u64) -> impl FnOnce(&mut History) {
    move |history| {
        with_leaving_engine(sent_at)(history);
        history.calls.push(call("first", RequestKind::Safe, 1_500));
        history.engine_requests.push(EngineRequest {
            received_at: ms(1_505),
            ..executed("first", RequestKind::Safe, "e-3")
        });
        // The store is away, so that answers are the only sign.
        history.faults.push(Fault {
            at: ms(500),
            duration: ms(9_000),
            kind: FaultKind::Store(StoreFailure::Silent),
        });
    }
}

#[test]
fn requests_after_an_announced_leaving_are_reported_although_the_store_is_away() {
    assert_only_finding(Invariant::Leaving, with_announced_leaving(4_600));
    let mut history = valid_history();
    with_announced_leaving(4_400)(&mut history);
    assert_eq!(check::check(&history), []);
}

/// An engine turns calls away from 1 s on, and asks for 6 s; gateway 0 sends `count` more.
fn with_pauses(count: u64) -> impl FnOnce(&mut History) {
    move |history| {
        history.pauses.push(Pauses {
            engine: "e-3".to_owned(),
            from: ms(1_000),
            until: ms(20_000),
            length: ms(6_000),
        });
        for number in 0..=count {
            let at = if number == 0 { 1_500 } else { 5_000 + number };
            let id = format!("refused-{number}");
            history.calls.push(call(&id, RequestKind::Safe, at));
            history.engine_requests.push(EngineRequest {
                received_at: ms(at),
                executed: false,
                ..executed(&id, RequestKind::Safe, "e-3")
            });
        }
    }
}

#[test]
fn requests_during_a_pause_are_reported() {
    assert_only_finding(Invariant::Pauses, with_pauses(3));
    for (count, restarts) in [(2, false), (3, true)] {
        let mut history = valid_history();
        with_pauses(count)(&mut history);
        history.faults.extend(restarts.then_some(Fault {
            at: ms(4_000),
            duration: ms(500),
            kind: FaultKind::Process(0, ProcessAction::Pause),
        }));
        assert_eq!(check::check(&history), []);
    }
}

/// Calls at two gateways, of which the first is isolated from 1 s on, with this many failures there.
fn with_isolation(failed: u64) -> impl FnOnce(&mut History) {
    move |history| {
        history.faults.push(Fault {
            at: ms(1_000),
            duration: ms(9_000),
            kind: FaultKind::Isolation(0, Cut::Silent),
        });
        for number in 0..60 {
            for gateway in 0..2 {
                let id = format!("isolated-{gateway}-{number}");
                let mut call = call(&id, RequestKind::Safe, 4_100 + number * 50);
                call.gateway = gateway;
                if gateway == 0 && number < failed {
                    refuse(&mut call, 503, true);
                } else {
                    let run = executed(&id, RequestKind::Safe, "e0");
                    history.engine_requests.push(run);
                }
                history.calls.push(call);
            }
        }
    }
}

#[test]
fn calls_that_fail_at_isolated_gateways_only_are_reported() {
    assert_only_finding(Invariant::Isolation, with_isolation(25));
    for failed in [0, 11, 19] {
        let mut history = valid_history();
        with_isolation(failed)(&mut history);
        assert_eq!(check::check(&history), [], "{failed} failed");
    }
    let mut history = valid_history();
    with_isolation(25)(&mut history);
    history.faults.push(Fault {
        at: ms(3_000),
        duration: ms(5_000),
        kind: FaultKind::StoreLink(0, LinkState::Silent),
    });
    assert_eq!(check::check(&history), []);
}

#[test]
fn lost_paths_are_reported_while_engines_end_together_and_none_was_lost() {
    let with_conclusion = |history: &mut History| {
        history.lost_paths.push("no engine".to_owned());
        history.faults.push(Fault {
            at: ms(1_000),
            duration: ms(4_000),
            kind: FaultKind::EndTogether,
        });
    };
    assert_only_finding(Invariant::Paths, with_conclusion);
    let mut history = valid_history();
    with_conclusion(&mut history);
    history.faults.push(Fault {
        at: ms(1_000),
        duration: ms(500),
        kind: FaultKind::Isolation(0, Cut::Silent),
    });
    assert_eq!(check::check(&history), []);
}

/// Adds a call that brings some events of a stream, each by an engine of the given version, after those of
/// the call that it resumes.
fn add_stream(
    history: &mut History,
    id: &str,
    events: &[(usize, &str)],
    resumes: Option<Resumption>,
) {
    let text = events.iter().map(|(number, version)| {
        let version = match *version {
            "v1" => String::new(),
            version => format!(" {version}"),
        };
        format!("id: {number}\ndata: {id} {number}{version}\n\n")
    });
    history.calls.push(Call {
        outcome: CallOutcome::Left,
        received: Bytes::from(text.collect::<String>()),
        resumes,
        ..call(id, RequestKind::Resume, 2_000)
    });
}

fn resumption(first: &str, after: usize) -> Option<Resumption> {
    Some(Resumption {
        first: first.to_owned(),
        after,
    })
}

#[test]
fn events_of_two_versions_in_one_stream_are_reported() {
    assert_only_finding(Invariant::OneVersion, |history| {
        add_stream(history, "a", &[(1, "v1"), (2, "v2")], None);
    });
    assert_only_finding(Invariant::OneVersion, |history| {
        add_stream(history, "a", &[(1, "v2"), (2, "v2")], None);
        add_stream(history, "b", &[], resumption("a", 2));
        add_stream(history, "c", &[(3, "v1")], resumption("a", 2));
    });
    let mut history = valid_history();
    add_stream(&mut history, "a", &[(1, "v2"), (2, "v2")], None);
    add_stream(
        &mut history,
        "b",
        &[(3, "v2"), (4, "v2")],
        resumption("a", 2),
    );
    add_stream(&mut history, "c", &[(1, "v1")], None);
    assert_eq!(check::check(&history), Vec::<Finding>::new());
}

#[test]
fn resumed_streams_that_are_mostly_refused_are_reported() {
    let add_resumed = |history: &mut History, refused: usize| {
        history.faults.push(Fault {
            at: ms(0),
            duration: ms(1_000),
            kind: FaultKind::Upgrade(0),
        });
        for number in 0..12 {
            let mut resumed = call(&format!("r{number}"), RequestKind::Resume, 2_000);
            resumed.resumes = resumption("c3", check::STREAM_EVENTS);
            if number < refused {
                refuse(&mut resumed, 503, true);
            } else if let CallOutcome::Answer { body, .. } = &mut resumed.outcome {
                *body = Some(Bytes::new());
            }
            resumed.received = Bytes::new();
            history.calls.push(resumed);
        }
    };
    assert_only_finding(Invariant::Resumed, |history| add_resumed(history, 7));
    let mut history = valid_history();
    add_resumed(&mut history, 6);
    assert_eq!(check::check(&history), Vec::<Finding>::new());
    let kill_all = |at| Fault {
        at: ms(at),
        duration: ms(0),
        kind: FaultKind::KillAll,
    };
    // What the loss of all leaves unknown has to be refused, and nothing else.
    let mut history = valid_history();
    history.faults.push(kill_all(1_500));
    add_resumed(&mut history, 12);
    assert_eq!(check::check(&history), Vec::<Finding>::new());
    assert_only_finding(Invariant::Resumed, |history| {
        history.faults.push(kill_all(2_001));
        add_resumed(history, 7);
    });
}
