//! What frames between instances hold, to and from the types of `serving`. Nothing is sent here; see
//! [`crate::mesh`].

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use clock::Moment;
use serving::engine::{Job, Rank, Stage, Ticket, Work};
use serving::fingerprint::Fingerprint;
use serving::fleet::WorkChange;
use serving::health::Outcome;
use serving::parts::Part;
use serving::quarantine::{Crash, Entry, GoodRun};
use serving::{EngineId, hash};
use wire::gateway::{Frame, Piece, Started, Suspect};

/// A time as it is told.
pub(crate) fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// A short time as it is told.
pub(crate) fn micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}

/// Milliseconds since a moment, as they are told.
pub(crate) fn since(moment: Moment, now: Moment) -> u32 {
    millis(now.saturating_sub(moment))
}

/// An age as it is told: plus one, so that nothing is told apart from now.
pub(crate) fn age(moment: Option<Moment>, now: Moment) -> u32 {
    moment.map_or(0, |moment| since(moment, now).saturating_add(1))
}

/// The moment of which an age tells, on this instance's clock.
pub(crate) fn moment(age_ms: u32, now: Moment) -> Option<Moment> {
    Some(before(now, age_ms.checked_sub(1)?))
}

/// The moment that was so long ago.
pub(crate) fn before(now: Moment, age_ms: u32) -> Moment {
    now.saturating_sub(Duration::from_millis(u64::from(age_ms)))
}

/// A prompt as another instance told it.
pub(crate) fn job(job: &wire::gateway::Job, now: Moment) -> Job {
    Job {
        ticket: job.ticket,
        sent_at: before(now, job.age_ms),
        rank: Rank::try_from(job.rank).unwrap_or(Rank::MAX),
        work: job.work,
    }
}

/// A prompt as it is told.
pub(crate) fn told_job(job: &Job, now: Moment) -> wire::gateway::Job {
    wire::gateway::Job {
        ticket: job.ticket,
        work: job.work,
        rank: u32::from(job.rank),
        age_ms: since(job.sent_at, now),
    }
}

/// The work at an engine as another instance told it.
pub(crate) fn work(work: &wire::gateway::Work, now: Moment) -> Work {
    Work {
        calls: work.calls,
        jobs: work.jobs.iter().map(|told| job(told, now)).collect(),
    }
}

/// The work at an engine as it is told.
pub(crate) fn told_work(engine: &EngineId, work: &Work, now: Moment) -> wire::gateway::Work {
    wire::gateway::Work {
        engine: hash::hash32(engine),
        calls: work.calls,
        jobs: work.jobs.iter().map(|job| told_job(job, now)).collect(),
    }
}

/// A part of a prompt as it is told.
pub(crate) fn piece(part: &Part) -> Piece {
    Piece {
        part: part.id,
        tokens: part.tokens,
    }
}

/// A part of a prompt as another instance told it.
pub(crate) fn part(piece: &Piece) -> Part {
    Part {
        id: piece.part,
        tokens: piece.tokens,
    }
}

fn ticket(engine: &EngineId, ticket: Ticket) -> wire::gateway::Ticket {
    wire::gateway::Ticket {
        engine: hash::hash32(engine),
        ticket,
        age_ms: 0,
        outcome: wire::gateway::Outcome::None.into(),
    }
}

/// What another instance told of a call that has ended.
pub(crate) fn outcome(told: wire::gateway::Outcome) -> Option<Outcome> {
    match told {
        wire::gateway::Outcome::None => None,
        wire::gateway::Outcome::Good => Some(Outcome::Success),
        wire::gateway::Outcome::Full => Some(Outcome::Overloaded),
        wire::gateway::Outcome::Unreachable => Some(Outcome::Unreachable),
        wire::gateway::Outcome::Failed => Some(Outcome::Failed),
        wire::gateway::Outcome::Ended => Some(Outcome::Ended),
    }
}

/// What is told of a call that has ended.
pub(crate) fn told_outcome(outcome: Option<Outcome>) -> wire::gateway::Outcome {
    match outcome {
        None => wire::gateway::Outcome::None,
        Some(Outcome::Success) => wire::gateway::Outcome::Good,
        Some(Outcome::Overloaded) => wire::gateway::Outcome::Full,
        Some(Outcome::Unreachable) => wire::gateway::Outcome::Unreachable,
        Some(Outcome::Failed) => wire::gateway::Outcome::Failed,
        Some(Outcome::Ended) => wire::gateway::Outcome::Ended,
    }
}

/// Adds changes to a frame. Gives the prompts that were read, with their moments.
pub(crate) fn add_changes(
    frame: &mut Frame,
    changes: Vec<WorkChange>,
    now: Moment,
) -> Vec<(wire::gateway::Ticket, Moment)> {
    let mut reads = Vec::new();
    for change in changes {
        match change {
            // Prompts are told as long as they are recent.
            WorkChange::Started(_, job) if job.work > 0 => {}
            WorkChange::Started(engine, job) => frame.started.push(started(&engine, &job, now)),
            WorkChange::Read(engine, number, at) => reads.push((ticket(&engine, number), at)),
            WorkChange::Ended(engine, number, outcome) => {
                frame.ended.push(wire::gateway::Ticket {
                    outcome: told_outcome(outcome).into(),
                    ..ticket(&engine, number)
                });
            }
            WorkChange::EngineEnded(engine) => frame.gone.push(hash::hash32(&engine)),
        }
    }
    reads
}

/// A prompt that was sent, as it is told.
pub(crate) fn started(engine: &EngineId, job: &Job, now: Moment) -> Started {
    Started {
        engine: hash::hash32(engine),
        job: Some(told_job(job, now)),
    }
}

/// An engine that changes, as it is told.
pub(crate) fn told_changing((engine, stage): (&EngineId, Stage)) -> wire::gateway::Changing {
    wire::gateway::Changing {
        engine: hash::hash32(engine),
        reads: stage == Stage::Prefill,
    }
}

/// A call that may end engines, as it is told.
pub(crate) fn told_suspect(call: Fingerprint, entry: &Entry, now: Moment) -> Suspect {
    let crashes = entry.crashes.iter().map(|crash| wire::gateway::Crash {
        engine: crash.engine,
        build: crash.build,
        age_ms: since(crash.at, now),
    });
    let good = entry.good_runs.iter().map(|good| wire::gateway::Good {
        build: good.build,
        age_ms: since(good.at, now),
    });
    #[allow(clippy::cast_possible_truncation)]
    let (high, low) = ((call >> 64) as u64, call as u64);
    Suspect {
        call_high: high,
        call_low: low,
        caller: entry.caller,
        crashes: crashes.collect(),
        good: good.collect(),
        released_age_ms: age(entry.released, now),
        trials: entry.trials,
        tried_age_ms: age(entry.last_trial, now),
        written_unix_ms: 0,
        failed: entry.failed_trials,
    }
}

/// A call that may end engines, as another instance told it.
pub(crate) fn suspect(told: &Suspect, now: Moment) -> (Fingerprint, Entry) {
    let call = Fingerprint::from(told.call_high) << 64 | Fingerprint::from(told.call_low);
    let crashes = told.crashes.iter().map(|crash| Crash {
        engine: crash.engine,
        build: crash.build,
        at: before(now, crash.age_ms),
    });
    let good = told.good.iter().map(|good| GoodRun {
        build: good.build,
        at: before(now, good.age_ms),
    });
    let entry = Entry {
        caller: told.caller,
        crashes: crashes.collect(),
        good_runs: good.collect(),
        released: moment(told.released_age_ms, now),
        trials: told.trials,
        last_trial: moment(told.tried_age_ms, now),
        failed_trials: told.failed,
    };
    (call, entry)
}

/// A call as the store has it, with the ages that it has by now. Clocks that differ by seconds move the end of a hold by as
/// much.
pub(crate) fn aged(written: Suspect, now_unix_ms: u64) -> Suspect {
    let by = now_unix_ms.saturating_sub(written.written_unix_ms);
    let by = u32::try_from(by).unwrap_or(u32::MAX);
    let older = |age_ms: u32| age_ms.saturating_add(by);
    let if_any = |age_ms: u32| if age_ms == 0 { 0 } else { older(age_ms) };
    let mut aged = written;
    for crash in &mut aged.crashes {
        crash.age_ms = older(crash.age_ms);
    }
    for good in &mut aged.good {
        good.age_ms = older(good.age_ms);
    }
    aged.released_age_ms = if_any(aged.released_age_ms);
    aged.tried_age_ms = if_any(aged.tried_age_ms);
    aged
}

/// An address in one number, if it fits.
pub(crate) fn packed(address: SocketAddr) -> Option<u64> {
    match address {
        SocketAddr::V4(v4) => Some(u64::from(u32::from(*v4.ip())) << 16 | u64::from(v4.port())),
        SocketAddr::V6(_) => None,
    }
}

/// The address in a number.
pub(crate) fn unpacked(packed: u64) -> SocketAddr {
    #[allow(clippy::cast_possible_truncation)]
    let (ip, port) = ((packed >> 16) as u32, packed as u16);
    SocketAddr::from((Ipv4Addr::from(ip), port))
}
