//! Texts for the events of the edit model.

use super::values::SharedRecord;
use super::{Config, Event, World};
use wire::record::record::Body;

const NAMES: [&str; 2] = ["a", "b"];

pub(super) fn describe(_: &Config, world: &World, event: &Event) -> String {
    let describe_record = |record: &SharedRecord| match &record.0.body {
        Some(Body::Edit(edit)) => {
            format!("the edit of {} based on {}", edit.operator, edit.note)
        }
        Some(Body::Snapshot(snapshot)) => format!("the snapshot up to {}", snapshot.upto),
        _ => "a record".to_owned(),
    };
    let append = |index: usize| describe_record(&world.appends[index]);
    let offer = |index: usize| {
        let (to, record) = &world.offers[index];
        format!("{} is offered to {}", describe_record(record), NAMES[*to])
    };
    match *event {
        Event::Edit(which) => format!("an operator edits at {}", NAMES[which]),
        Event::WriteSnapshot(which) => format!("{} appends a snapshot", NAMES[which]),
        Event::Offer(which) => format!("{} offers its catalogue", NAMES[which]),
        Event::Receive(index) => offer(index),
        Event::ReceiveTwice(index) => format!("{}, a copy stays in flight", offer(index)),
        Event::Commit(index) => format!("{} is committed", append(index)),
        Event::CommitTwice(index) => {
            format!("{} is committed, a copy stays in flight", append(index))
        }
        Event::Lose(index) => format!("{} is lost", append(index)),
        Event::Read(which) => format!("{} reads on", NAMES[which]),
        Event::ReadAgain(which) => format!("{} reads its last record again", NAMES[which]),
        Event::Truncate => "the log drops the records before its newest snapshot".to_owned(),
        Event::Crash(which) => format!("{} crashes and restarts", NAMES[which]),
    }
}
