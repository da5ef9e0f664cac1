//! The line of prompts at one engine, played forward.

use std::time::Duration;

use serving::engine::Job;
use serving::queue::time_until_read;

/// Tokens a millisecond.
const RATE: f64 = 50.0;

fn job(ticket: u32, sent_ms: u64, rank: u8, work: u32) -> Job {
    Job {
        ticket,
        sent_at: Duration::from_millis(sent_ms),
        rank,
        work,
    }
}

fn wait(jobs: &[Job], freed_ms: u64, new: Job) -> u128 {
    time_until_read(jobs, Duration::from_millis(freed_ms), new, RATE).as_millis()
}

#[test]
fn an_idle_engine_reads_at_once() {
    assert_eq!(wait(&[], 0, job(1, 1_000, 0, 5_000)), 100);
}

/// Symptom: urgent calls of some hundred tokens wait for most of a second at an engine that has
/// nothing urgent before them. Sequence: a prompt of 50,000 tokens and the lowest rank begins to be
/// read; a short one of the highest rank comes. Cause: the engine does not put back what it has begun,
/// and only work of the same rank was counted.
#[test]
fn an_urgent_prompt_waits_for_a_long_one_that_was_begun() {
    let long = job(1, 1_000, 4, 50_000);
    assert_eq!(wait(&[long], 0, job(2, 1_200, 0, 500)), 810);
}

#[test]
fn an_urgent_prompt_goes_before_a_long_one_that_waits() {
    let first = job(1, 1_000, 1, 20_000);
    let long = job(2, 1_050, 4, 50_000);
    assert_eq!(wait(&[first, long], 0, job(3, 1_100, 0, 500)), 310);
}

/// Symptom: a call is sent to an engine whose next prompt has not begun by the reckoning, and waits a
/// second. Sequence: 20 ms before the first prompt is read, an urgent one comes; a long one waits.
/// Cause: the engine fills the rest of its last step with the next prompt, so it had chosen.
#[test]
fn the_next_prompt_is_chosen_one_chunk_before_the_end() {
    let first = job(1, 1_000, 1, 20_000);
    let long = job(2, 1_050, 4, 50_000);
    let late = wait(&[first, long], 0, job(3, 1_380, 0, 500));
    assert_eq!(late, 1_030);
}

#[test]
fn finished_work_adds_no_wait() {
    let old = job(1, 1_000, 0, 5_000);
    assert_eq!(wait(&[old], 0, job(2, 3_000, 0, 5_000)), 100);
}
