//! Converts between frames of the mesh and the types of `serving`. Frames are sent in
//! [`crate::mesh`].

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use clock::Moment;
use serving::engine::{Job, Rank, Stage, Ticket, Work};
use serving::fingerprint::Fingerprint;
use serving::fleet::WorkChange;
use serving::health::Outcome;
use serving::parts::Part;
use serving::quarantine::{Crash, Entry, GoodRun, Kind};
use serving::{EngineId, hash};
use wire::gateway::{Frame, Piece, Started, Suspect};

/// A duration in milliseconds, saturated.
pub(crate) fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// A short duration in microseconds, saturated.
pub(crate) fn to_micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}

/// Milliseconds since a moment.
pub(crate) fn elapsed_ms(moment: Moment, now: Moment) -> u32 {
    to_millis(now.saturating_sub(moment))
}

/// Encodes an age in milliseconds plus one; 0 stands for none.
pub(crate) fn encode_age(moment: Option<Moment>, now: Moment) -> u32 {
    moment.map_or(0, |moment| elapsed_ms(moment, now).saturating_add(1))
}

/// Decodes an age into a moment on this instance's clock.
pub(crate) fn moment_from_age(age_ms: u32, now: Moment) -> Option<Moment> {
    Some(moment_before(now, age_ms.checked_sub(1)?))
}

/// The moment `age_ms` before `now`.
pub(crate) fn moment_before(now: Moment, age_ms: u32) -> Moment {
    now.saturating_sub(Duration::from_millis(u64::from(age_ms)))
}

/// Decodes a prompt.
pub(crate) fn decode_job(encoded: &wire::gateway::Job, now: Moment) -> Job {
    Job {
        ticket: encoded.ticket,
        sent_at: moment_before(now, encoded.age_ms),
        rank: Rank::try_from(encoded.rank).unwrap_or(Rank::MAX),
        work: encoded.work,
    }
}

/// Encodes a prompt.
pub(crate) fn encode_job(job: &Job, now: Moment) -> wire::gateway::Job {
    wire::gateway::Job {
        ticket: job.ticket,
        work: job.work,
        rank: u32::from(job.rank),
        age_ms: elapsed_ms(job.sent_at, now),
    }
}

/// Decodes the work at an engine.
pub(crate) fn decode_work(encoded: &wire::gateway::Work, now: Moment) -> Work {
    Work {
        calls: encoded.calls,
        jobs: encoded
            .jobs
            .iter()
            .map(|encoded| decode_job(encoded, now))
            .collect(),
    }
}

/// Encodes the work at an engine.
pub(crate) fn encode_work(engine: &EngineId, work: &Work, now: Moment) -> wire::gateway::Work {
    wire::gateway::Work {
        engine: hash::hash32(engine),
        calls: work.calls,
        jobs: work.jobs.iter().map(|job| encode_job(job, now)).collect(),
    }
}

/// Encodes a part of a prompt.
pub(crate) fn encode_part(part: &Part) -> Piece {
    Piece {
        part: part.id,
        tokens: part.tokens,
    }
}

/// Decodes a part of a prompt.
pub(crate) fn decode_part(piece: &Piece) -> Part {
    Part {
        id: piece.part,
        tokens: piece.tokens,
    }
}

fn encode_ticket(engine: &EngineId, ticket: Ticket) -> wire::gateway::Ticket {
    wire::gateway::Ticket {
        engine: hash::hash32(engine),
        ticket,
        age_ms: 0,
        outcome: wire::gateway::Outcome::None.into(),
    }
}

/// Decodes the outcome of a call.
pub(crate) fn decode_outcome(encoded: wire::gateway::Outcome) -> Option<Outcome> {
    match encoded {
        wire::gateway::Outcome::None => None,
        wire::gateway::Outcome::Good => Some(Outcome::Success),
        wire::gateway::Outcome::Full => Some(Outcome::Overloaded),
        wire::gateway::Outcome::Unreachable => Some(Outcome::Unreachable),
        wire::gateway::Outcome::Failed => Some(Outcome::Failed),
        wire::gateway::Outcome::Ended => Some(Outcome::Ended),
    }
}

/// Encodes the outcome of a call.
pub(crate) fn encode_outcome(outcome: Option<Outcome>) -> wire::gateway::Outcome {
    match outcome {
        None => wire::gateway::Outcome::None,
        Some(Outcome::Success) => wire::gateway::Outcome::Good,
        Some(Outcome::Overloaded) => wire::gateway::Outcome::Full,
        Some(Outcome::Unreachable) => wire::gateway::Outcome::Unreachable,
        Some(Outcome::Failed) => wire::gateway::Outcome::Failed,
        Some(Outcome::Ended) => wire::gateway::Outcome::Ended,
    }
}

/// Adds changes to a frame. Returns the prompts whose prefill completed, with the moments.
pub(crate) fn add_changes(
    frame: &mut Frame,
    changes: Vec<WorkChange>,
    now: Moment,
) -> Vec<(wire::gateway::Ticket, Moment)> {
    let mut reads = Vec::new();
    for change in changes {
        match change {
            // Each frame repeats recent prompts; see `crate::mesh`.
            WorkChange::Started(_, job) if job.work > 0 => {}
            WorkChange::Started(engine, job) => {
                frame.started.push(encode_started(&engine, &job, now));
            }
            WorkChange::Read(engine, number, at) => {
                reads.push((encode_ticket(&engine, number), at));
            }
            WorkChange::Ended(engine, number, outcome) => {
                frame.ended.push(wire::gateway::Ticket {
                    outcome: encode_outcome(outcome).into(),
                    ..encode_ticket(&engine, number)
                });
            }
            WorkChange::EngineEnded(engine) => frame.gone.push(hash::hash32(&engine)),
        }
    }
    reads
}

/// Encodes a prompt that was sent.
pub(crate) fn encode_started(engine: &EngineId, job: &Job, now: Moment) -> Started {
    Started {
        engine: hash::hash32(engine),
        job: Some(encode_job(job, now)),
    }
}

/// Encodes an engine that changes its role.
pub(crate) fn encode_changing((engine, stage): (&EngineId, Stage)) -> wire::gateway::Changing {
    wire::gateway::Changing {
        engine: hash::hash32(engine),
        reads: stage == Stage::Prefill,
    }
}

/// Encodes a call that may crash engines.
pub(crate) fn encode_suspect(call: Fingerprint, entry: &Entry, now: Moment) -> Suspect {
    let crashes = entry.crashes.iter().map(|crash| wire::gateway::Crash {
        engine: crash.engine,
        build: crash.build,
        age_ms: elapsed_ms(crash.at, now),
        call: crash.call,
    });
    let good = entry.good_runs.iter().map(|good| wire::gateway::Good {
        build: good.build,
        age_ms: elapsed_ms(good.at, now),
    });
    #[allow(clippy::cast_possible_truncation)]
    let (high, low) = ((call >> 64) as u64, call as u64);
    Suspect {
        call_high: high,
        call_low: low,
        caller: entry.caller,
        crashes: crashes.collect(),
        good: good.collect(),
        released_age_ms: encode_age(entry.released, now),
        trials: entry.trials,
        tried_age_ms: encode_age(entry.last_trial, now),
        written_unix_ms: 0,
        failed: entry.failed_trials,
        part_place: match entry.kind {
            Kind::Call => 0,
            Kind::Part { position } => position.saturating_add(1),
        },
    }
}

/// Decodes a call that may crash engines.
pub(crate) fn decode_suspect(encoded: &Suspect, now: Moment) -> (Fingerprint, Entry) {
    let call = Fingerprint::from(encoded.call_high) << 64 | Fingerprint::from(encoded.call_low);
    let crashes = encoded.crashes.iter().map(|crash| Crash {
        engine: crash.engine,
        build: crash.build,
        at: moment_before(now, crash.age_ms),
        call: crash.call,
    });
    let good = encoded.good.iter().map(|good| GoodRun {
        build: good.build,
        at: moment_before(now, good.age_ms),
    });
    let position = encoded.part_place.checked_sub(1);
    let entry = Entry {
        kind: position.map_or(Kind::Call, |position| Kind::Part { position }),
        caller: encoded.caller,
        crashes: crashes.collect(),
        good_runs: good.collect(),
        released: moment_from_age(encoded.released_age_ms, now),
        trials: encoded.trials,
        last_trial: moment_from_age(encoded.tried_age_ms, now),
        failed_trials: encoded.failed,
    };
    (call, entry)
}

/// Advances the ages in a record of the store to the present. Clocks that differ by seconds shift
/// the end of a hold by as much.
pub(crate) fn with_current_ages(written: Suspect, now_unix_ms: u64) -> Suspect {
    let elapsed = now_unix_ms.saturating_sub(written.written_unix_ms);
    let by = u32::try_from(elapsed).unwrap_or(u32::MAX);
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

/// Packs an IPv4 address and port into one number; `None` for IPv6.
pub(crate) fn pack_address(address: SocketAddr) -> Option<u64> {
    match address {
        SocketAddr::V4(v4) => Some(u64::from(u32::from(*v4.ip())) << 16 | u64::from(v4.port())),
        SocketAddr::V6(_) => None,
    }
}

/// Unpacks an address.
pub(crate) fn unpack_address(packed: u64) -> SocketAddr {
    #[allow(clippy::cast_possible_truncation)]
    let (ip, port) = ((packed >> 16) as u32, packed as u16);
    SocketAddr::from((Ipv4Addr::from(ip), port))
}
