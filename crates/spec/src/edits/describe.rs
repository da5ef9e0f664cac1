//! The events of the edit model in words.

use super::kept::Letter;
use super::{Config, Event, World};
use wire::record::record::Body;

const NAMES: [&str; 2] = ["a", "b"];

pub(super) fn describe(_: &Config, world: &World, event: &Event) -> String {
    let record = |letter: &Letter| match &letter.0.body {
        Some(Body::Edit(edit)) => {
            format!("the edit of {} based on {}", edit.operator, edit.note)
        }
        Some(Body::Snapshot(snapshot)) => format!("the snapshot up to {}", snapshot.upto),
        _ => "a record".to_owned(),
    };
    let append = |index: usize| record(&world.appends[index]);
    let offer = |index: usize| {
        let (to, letter) = &world.offers[index];
        format!("{} is offered to {}", record(letter), NAMES[*to])
    };
    match *event {
        Event::Edit(which) => format!("an operator edits at {}", NAMES[which]),
        Event::WriteSnapshot(which) => format!("{} appends a snapshot", NAMES[which]),
        Event::Offer(which) => format!("{} offers its catalogue", NAMES[which]),
        Event::Take(index) => offer(index),
        Event::TakeTwice(index) => format!("{}, a copy stays", offer(index)),
        Event::Land(index) => format!("{} lands", append(index)),
        Event::LandTwice(index) => format!("{} lands, a copy stays", append(index)),
        Event::Lose(index) => format!("{} is lost", append(index)),
        Event::Read(which) => format!("{} reads on", NAMES[which]),
        Event::ReadAgain(which) => format!("{} reads its last record again", NAMES[which]),
        Event::Forget => "the log forgets what is before its newest snapshot".to_owned(),
        Event::Crash(which) => format!("{} crashes and starts again", NAMES[which]),
    }
}
