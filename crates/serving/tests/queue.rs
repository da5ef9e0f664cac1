//! Simulated waits in the queue of prompts at one engine.

use std::time::Duration;

use serving::engine::Job;
use serving::queue::time_until_read;

/// Tokens per millisecond.
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

/// Guards against counting only queued work of the same rank: a prompt of 50,000 tokens and the
/// lowest rank is being read when a short one of the highest rank arrives. The engine does not
/// preempt it, so the urgent call waits for most of a second.
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

/// Guards against preferring an urgent prompt that arrives too late: 20 ms before the first prompt
/// has been read, the engine has already filled its last chunk with the next one, a long prompt, so
/// the urgent one waits a second.
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
