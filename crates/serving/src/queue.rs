//! Simulation of the queue of prompts at one engine.
//!
//! An engine reads one prompt after the other and always takes the most urgent one next, but it
//! does not preempt a prompt that it has begun. So a short urgent prompt waits for the rest of a
//! long one of any rank that was begun before it, which the sum of queued work of its own rank does
//! not show: calls wait half a second at an engine that seems nearly idle. The simulation gives the
//! actual wait.

use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::engine::Job;

/// Work that an engine reads in one chunk. It chooses the next prompt while it reads the last chunk
/// of the present one, so a job that arrives later than this before the end finds the choice made.
/// 2,048 tokens is a usual chunk size of engines with chunked prefill.
const CHUNK_WORK: u32 = 2_048;

/// Time from sending a new job until it has been read. `jobs` are the other jobs, oldest first;
/// `freed` is when the engine is last known to have finished one; `rate` is in tokens of work per
/// millisecond.
pub fn time_until_read(jobs: &[Job], freed: Moment, new: Job, rate: f64) -> Duration {
    if jobs.is_empty() {
        let begun = freed.max(new.sent_at);
        return (begun + read_time(new.work, rate)).saturating_sub(new.sent_at);
    }
    let mut waiting: SmallVec<[Job; 16]> = SmallVec::from_slice(jobs);
    waiting.push(new);
    let mut at = freed;
    loop {
        let Some(next) = next_job(&waiting, at.saturating_sub(read_time(CHUNK_WORK, rate))) else {
            return Duration::ZERO;
        };
        let job = waiting.remove(next);
        at = at.max(job.sent_at) + read_time(job.work, rate);
        if job == new && next == waiting.len() {
            return at.saturating_sub(new.sent_at);
        }
    }
}

/// The job that the engine begins at a moment: the most urgent and then oldest of those that have
/// arrived, or else the one that arrives first.
fn next_job(waiting: &[Job], at: Moment) -> Option<usize> {
    let arrived = waiting
        .iter()
        .enumerate()
        .filter(|(_, job)| job.sent_at <= at);
    let most_urgent = arrived.min_by_key(|(_, job)| (job.rank, job.sent_at));
    let next_to_arrive = || {
        waiting
            .iter()
            .enumerate()
            .min_by_key(|(_, job)| job.sent_at)
    };
    most_urgent.or_else(next_to_arrive).map(|(index, _)| index)
}

fn read_time(work: u32, rate: f64) -> Duration {
    Duration::from_secs_f64(f64::from(work) / rate.max(0.1) / 1_000.0)
}
