//! Texts for the events of the lease model.

use super::{Config, Event, NAMES, World, apply};

pub(super) fn describe(config: &Config, world: &World, event: &Event) -> String {
    let append = |index: usize| &world.in_flight[index].1;
    let name = |which: usize| NAMES[which];
    match *event {
        Event::Tick => format!("time passes, {} ticks in all", world.now + 1),
        Event::HandleDue(which) => format!("{} handles what is due", name(which)),
        Event::ReadOne(which) => format!("{} reads one record", name(which)),
        Event::ReadAll(which) => {
            let read = apply(config, world, event);
            let sent = read.in_flight.iter().filter(|(from, _)| *from == which);
            let sent: Vec<_> = sent.map(|(_, append)| format!("{append:?}")).collect();
            let sent = sent.join(", ");
            format!("{} reads to the end; in flight: [{sent}]", name(which))
        }
        Event::Commit(index) => format!("{:?} is committed", append(index)),
        Event::CommitTwice(index) => {
            format!("{:?} is committed, a copy stays in flight", append(index))
        }
        Event::Lose(index) => format!("{:?} is lost", append(index)),
        Event::Crash(which) => format!("{} crashes and restarts", name(which)),
        Event::Leave(which) => format!("{} shuts down", name(which)),
    }
}
