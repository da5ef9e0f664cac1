//! The events of the lease model in words.

use super::{Config, Event, NAMES, World, apply};

pub(super) fn describe(config: &Config, world: &World, event: &Event) -> String {
    let parcel = |index: usize| &world.flight[index].1;
    let name = |which: usize| NAMES[which];
    match *event {
        Event::Tick => format!("time passes, {} ticks in all", world.now + 1),
        Event::Act(which) => format!("{} does what is due", name(which)),
        Event::ReadOne(which) => format!("{} reads one record", name(which)),
        Event::ReadAll(which) => {
            let read = apply(config, world, event);
            let sent = read.flight.iter().filter(|(from, _)| *from == which);
            let sent: Vec<_> = sent.map(|(_, parcel)| format!("{parcel:?}")).collect();
            let sent = sent.join(", ");
            format!("{} reads to the end; on its way: [{sent}]", name(which))
        }
        Event::Land(index) => format!("{:?} lands", parcel(index)),
        Event::LandTwice(index) => format!("{:?} lands, a copy stays", parcel(index)),
        Event::Lose(index) => format!("{:?} is lost", parcel(index)),
        Event::Crash(which) => format!("{} crashes and starts again", name(which)),
        Event::Leave(which) => format!("{} shuts down", name(which)),
    }
}
