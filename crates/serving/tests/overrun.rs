//! Expected waits of calls that cannot be on time.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::{demand, fleet, generation, id, ms, prompt, service, zone};
use serving::engine::{LATE_RANK, Rank};
use serving::place::{Refusal, choose};
use serving::{Choice, Demand, Fleet, Stage};

/// Work of a prompt that an engine of these tests reads in 100 ms.
const WORK: u32 = 6_000;
/// Rank of calls that can be on time.
const URGENT: Rank = 0;

fn prefill_fleet() -> Fleet {
    fleet(&[("r", Stage::Prefill), ("d", Stage::Decode)])
}

/// A peak of two seconds: as many urgent prompts arrive as the engine can read, and ten late calls
/// per second wait until their callers leave.
fn peak(fleet: &mut Fleet, from: Duration) {
    let r = id("r");
    let mut now = from;
    for _ in 0..2 {
        let yielding = [(); 10].map(|()| fleet.begin_call(&r, 600, LATE_RANK, now));
        for _ in 0..10 {
            let urgent = fleet.begin_call(&r, WORK, URGENT, now);
            now += ms(100);
            fleet.prompt_read(&urgent, now);
            fleet.end_call(&urgent, None, now);
        }
        for call in yielding {
            fleet.end_call(&call, None, now);
        }
    }
}

/// The placement of a late call behind one prompt, whose caller waits for 1.3 s more.
fn late_call(fleet: &mut Fleet, now: Duration) -> Choice {
    let before = fleet.begin_call(&id("r"), 20_000, LATE_RANK, now);
    let parts = prompt(&[(1, 12_000)]);
    let (service, zone) = (service(), zone());
    let demand = Demand {
        latency_target: ms(10),
        time_left: ms(1_300),
        ..demand(&service, &zone, Some(generation(&parts)))
    };
    let choice = choose(fleet, &demand, now);
    fleet.end_call(&before, None, now);
    choice
}

/// Guards against late calls that wait to the end and get nothing: a late call was expected right
/// after the work queued before it, but in a peak urgent calls keep arriving and go first.
#[test]
fn a_call_that_would_outlast_its_caller_is_refused_at_once() {
    let mut fleet = prefill_fleet();
    assert_matches!(late_call(&mut fleet, ms(900)), Choice::Split { .. });
    for second in 0..5 {
        peak(&mut fleet, ms(1_000 + second * 2_000));
    }
    let choice = late_call(&mut fleet, ms(11_000));
    assert_matches!(
        choice,
        Choice::Refuse { reason: Refusal::TooMuchWork, retry_after, .. } if retry_after > ms(0)
    );
}

/// Guards against refusing every late call after a peak although engines are idle: only accepted
/// calls show how long others wait, and none was accepted.
#[test]
fn late_calls_are_accepted_again_after_a_peak() {
    let mut fleet = prefill_fleet();
    for second in 0..5 {
        peak(&mut fleet, ms(1_000 + second * 2_000));
    }
    assert_matches!(late_call(&mut fleet, ms(20_000)), Choice::Split { .. });
}
