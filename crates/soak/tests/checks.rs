//! Each check finds the fault that it is for, planted in a history that is good without it.

use std::time::Duration;

use bytes::Bytes;
use platform_standin::cloud;
use platform_standin::engine::Order;
use serde_json::json;
use soak::check::{self, Finding, Promise};
use soak::history::{Ask, Call, End, History, Limit, Run};
use soak::plan::{Fault, Kind, Process};
use soak::world::ORGANISATIONS;

const ASKS: [Ask; 5] = [
    Ask::Safe,
    Ask::Once,
    Ask::Stream,
    Ask::Resume,
    Ask::Added(2),
];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn call(id: &str, ask: Ask, at: u64) -> Call {
    Call {
        id: id.to_owned(),
        ask,
        organisation: ORGANISATIONS[0],
        gateway: 0,
        start: 1,
        sent: ms(at),
        ended: ms(at + 10),
        end: End::Answer {
            status: 200,
            signed: true,
            says_when: false,
            body: Some(Bytes::from(check::body(ask, id))),
        },
    }
}

fn ran(id: &str, ask: Ask, engine: &str) -> Run {
    Run {
        engine: engine.to_owned(),
        service: ask.service(),
        id: id.to_owned(),
        at: Duration::ZERO,
        ran: true,
        forged: false,
        organisation: ORGANISATIONS[0].to_owned(),
    }
}

/// One served call of each kind.
fn good() -> History {
    let mut history = History::default();
    for (at, ask) in (0..).zip(ASKS) {
        let id = format!("c{at}");
        history.runs.push(ran(&id, ask, "e0"));
        history.calls.push(call(&id, ask, at * 100));
    }
    history
}

fn refuse(call: &mut Call, status: u16, says_when: bool) {
    call.end = End::Answer {
        status,
        signed: false,
        says_when,
        body: Some(Bytes::new()),
    };
}

/// Plants a fault; the check must find just that.
fn found(promise: Promise, plant: impl FnOnce(&mut History)) {
    let mut history = good();
    plant(&mut history);
    let findings = check::check(&history);
    let promises: Vec<Promise> = findings.iter().map(|f| f.promise).collect();
    assert_eq!(promises, [promise], "{findings:?}");
}

#[test]
fn a_good_history_has_no_findings() {
    assert_eq!(check::check(&good()), Vec::<Finding>::new());
}

#[test]
fn an_answer_to_another_call_is_found() {
    found(Promise::WholeOwnAnswer, |history| {
        let other = history.calls[0].end.clone();
        history.calls[1].end = other;
    });
}

#[test]
fn a_stream_with_an_event_missing_or_doubled_is_found() {
    for events in [[1, 2, 4, 4], [1, 2, 2, 3]] {
        found(Promise::WholeOwnAnswer, |history| {
            let events = events.map(|event| format!("id: {event}\ndata: c2 {event}\n\n"));
            if let End::Answer { body, .. } = &mut history.calls[2].end {
                *body = Some(Bytes::from(events.concat()));
            }
        });
    }
}

#[test]
fn a_success_without_a_signature_is_found() {
    found(Promise::WholeOwnAnswer, |history| {
        if let End::Answer { signed, .. } = &mut history.calls[1].end {
            *signed = false;
        }
    });
}

#[test]
fn a_second_run_is_found() {
    for (at, ask) in [(1, Ask::Once), (2, Ask::Stream)] {
        found(Promise::AtMostOnce, |history| {
            history.runs.push(ran(&format!("c{at}"), ask, "e1"));
        });
    }
}

#[test]
fn a_run_too_many_of_a_call_that_may_be_repeated_is_found() {
    found(Promise::Attempts, |history| {
        history.runs.push(ran("c0", Ask::Safe, "e1"));
        history.runs.push(ran("c0", Ask::Safe, "e2"));
    });
}

#[test]
fn a_refusal_of_a_call_that_ran_is_found() {
    for status in [408, 421, 429, 503] {
        found(Promise::TrueRefusal, |history| {
            refuse(&mut history.calls[1], status, true);
        });
    }
}

#[test]
fn a_refusal_without_a_time_is_found() {
    found(Promise::TrueRefusal, |history| {
        refuse(&mut history.calls[1], 503, false);
        history.runs.remove(1);
    });
}

#[test]
fn a_proper_call_that_is_denied_is_found() {
    found(Promise::NotDenied, |history| {
        refuse(&mut history.calls[1], 404, false);
        history.runs.remove(1);
    });
}

#[test]
fn what_nobody_asked_for_is_found() {
    found(Promise::Asked, |history| {
        history.runs.push(ran("nobody's", Ask::Once, "e0"));
    });
    found(Promise::Asked, |history| history.runs[3].forged = true);
}

#[test]
fn a_run_at_another_service_is_found() {
    found(Promise::Route, |history| history.runs[0].service = "pool");
}

#[test]
fn a_configuration_that_goes_back_is_found() {
    found(Promise::NeverBack, |history| {
        let mut late = call("late", Ask::Added(1), 5_000);
        refuse(&mut late, 404, false);
        history.calls.push(late);
    });
    // Another start may know less for a moment, and a newer version was not seen yet.
    for (start, version) in [(2, 1), (1, 3)] {
        let mut history = good();
        let mut late = call("late", Ask::Added(version), 5_000);
        late.start = start;
        refuse(&mut late, 404, false);
        history.calls.push(late);
        assert_eq!(check::check(&history), Vec::<Finding>::new());
    }
}

#[test]
fn orders_of_two_holders_and_of_a_lower_token_are_found() {
    let order = |holder: &str, fence| Order {
        stage: "prefill".to_owned(),
        holder: holder.to_owned(),
        fence,
        instance: "e0".to_owned(),
    };
    for (holder, fence) in [("b", 4), ("a", 3)] {
        found(Promise::Orders, |history| {
            history.orders.push(("e0".to_owned(), order("a", 4)));
            history.orders.push(("e0".to_owned(), order(holder, fence)));
        });
    }
}

#[test]
fn a_call_that_planned_work_cuts_is_found_and_one_that_a_fault_cuts_is_not() {
    let stop = Fault {
        at: ms(100),
        lasts: ms(150),
        kind: Kind::Process(0, Process::Stop),
    };
    found(Promise::PlannedWork, |history| {
        history.faults.push(stop);
        history.calls[1].end = End::Closed;
    });
    let mut history = good();
    let kind = Kind::Process(0, Process::Kill);
    history.faults.push(Fault { kind, ..stop });
    history.calls[1].end = End::Closed;
    assert_eq!(check::check(&history), Vec::<Finding>::new());
}

#[test]
fn ends_of_their_own_and_missing_recovery_are_found() {
    found(Promise::Lives, |history| {
        history.exits.push("gateway-0 ended".to_owned());
    });
    found(Promise::Recovery, |history| {
        history.missing.push("gateway-0 serves nothing".to_owned());
    });
}

/// Three engines that end under a call, and four sends of it that reach one later, each a second after the one before.
fn reached_after_three_ends(history: &mut History, from: u64) {
    history.ends = [100, 200, 300].map(ms).to_vec();
    for number in 0..4 {
        let id = format!("fatal-{number}");
        let mut sent = call(&id, Ask::Fatal, from + number * 1_000);
        sent.end = End::Closed;
        history
            .runs
            .push(ran(&id, Ask::Fatal, &format!("e{number}")));
        history.calls.push(sent);
    }
    // What cuts a call that ends engines is no planned work.
    history.faults = vec![Fault {
        at: ms(50),
        lasts: ms(20_000),
        kind: Kind::Fatal,
    }];
}

#[test]
fn a_call_that_ends_engines_and_reaches_more_is_found() {
    found(Promise::Held, |history| {
        reached_after_three_ends(history, 4_000);
    });
}

#[test]
fn sends_before_all_can_know_or_from_where_a_fault_was_are_not() {
    let mut history = good();
    reached_after_three_ends(&mut history, 300);
    assert_eq!(check::check(&history), Vec::<Finding>::new());
    let mut history = good();
    reached_after_three_ends(&mut history, 4_000);
    history.faults.push(Fault {
        at: ms(3_500),
        lasts: ms(500),
        kind: Kind::Process(0, Process::Kill),
    });
    assert_eq!(check::check(&history), Vec::<Finding>::new());
}

#[test]
fn an_innocent_call_that_is_held_for_long_is_found() {
    let hold = |history: &mut History, at: u64| {
        history.ends = vec![ms(100)];
        let mut held = call("held", Ask::Safe, at);
        refuse(&mut held, 503, true);
        if let End::Answer { body, .. } = &mut held.end {
            *body = Some(Bytes::from("Engines that ran this call ended."));
        }
        history.calls.push(held);
    };
    found(Promise::Held, |history| hold(history, 11_000));
    let mut history = good();
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
fn two_reports_of_one_window_are_found() {
    found(Promise::Duties, |history| {
        history.duties = vec![report(1, "g0", 5), report(2, "g1", 6)];
    });
}

#[test]
fn a_token_of_two_holders_is_found() {
    found(Promise::Duties, |history| {
        history.duties = vec![report(1, "g0", 5), report(1, "g1", 5)];
    });
}

#[test]
fn a_call_that_is_told_as_another_organisations_is_found() {
    found(Promise::Asked, |history| {
        history.runs[0].organisation = ORGANISATIONS[1].to_owned();
    });
}

#[test]
fn a_call_without_a_key_that_runs_is_found() {
    found(Promise::Asked, |history| {
        history.calls[0].ask = Ask::Keyless;
    });
}

/// A history in which one engine takes a request a second and gets so many, one each 200 ms.
fn with_limit(count: u64) -> impl FnOnce(&mut History) {
    move |history| {
        history.limits.push(Limit {
            engine: "e-3".to_owned(),
            taken: 10,
            from: ms(1_000),
            until: ms(20_000),
        });
        for number in 0..count {
            let (id, at) = (format!("limited-{number}"), 5_000 + number * 200);
            history.calls.push(call(&id, Ask::Safe, at));
            history.runs.push(Run {
                at: ms(at),
                ..ran(&id, Ask::Safe, "e-3")
            });
        }
    }
}

#[test]
fn more_requests_than_an_engine_takes_are_found() {
    found(Promise::RateLimits, with_limit(12));
    let mut history = good();
    with_limit(11)(&mut history);
    assert_eq!(check::check(&history), []);
}

#[test]
fn requests_that_a_gateway_sent_after_a_pause_are_excused() {
    let mut history = good();
    with_limit(12)(&mut history);
    history.faults.push(Fault {
        at: ms(4_000),
        lasts: ms(500),
        kind: Kind::Process(0, Process::Pause),
    });
    assert_eq!(check::check(&history), []);
}
