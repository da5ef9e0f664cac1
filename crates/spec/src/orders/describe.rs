//! The events of the order model in words.

use super::world::Message;
use super::{Config, Event, World, apply};

const NAMES: [&str; 2] = ["a", "b"];

pub(super) fn describe(config: &Config, world: &World, event: &Event) -> String {
    let parcel = |index: usize| format!("{:?}", world.appends[index].1);
    let message = |index: usize| tell(&world.messages[index]);
    match *event {
        Event::Tick => "time passes".to_owned(),
        Event::Step(which) => {
            let sent = sent(config, world, event, which);
            format!("{} reads to the end and acts{sent}", NAMES[which])
        }
        Event::StepUnread(which) => {
            let sent = sent(config, world, event, which);
            format!("{} acts without reading{sent}", NAMES[which])
        }
        Event::Land(index) => format!("{} lands", parcel(index)),
        Event::LandTwice(index) => format!("{} lands, a copy stays", parcel(index)),
        Event::LoseRecord(index) => format!("{} is lost", parcel(index)),
        Event::Deliver(index) => format!("{} reaches the engine", message(index)),
        Event::DeliverTwice(index) => {
            format!("{} reaches the engine, a copy stays", message(index))
        }
        Event::DeliverUnanswered(index) => {
            format!("{} reaches the engine, the answer is lost", message(index))
        }
        Event::Lose(index) => format!("{} is lost", message(index)),
        Event::End => "the engine ends its order".to_owned(),
        Event::Restart => "the engine crashes and starts again".to_owned(),
        Event::StreamEnds => "the stream ends".to_owned(),
        Event::EntryReads => "the entry reads to the end".to_owned(),
        Event::StreamBegins => "the entry sends a stream to the engine".to_owned(),
        Event::EntryCrashes => "the entry crashes, its stream goes on".to_owned(),
        Event::Crash(which) => format!("{} crashes and starts again", NAMES[which]),
    }
}

fn tell(message: &Message) -> String {
    let kind = match message.what {
        Some(_) => "order",
        None => "cancellation of order",
    };
    let (order, token) = (message.order, message.fence);
    format!(
        "{}'s {kind} {order} with token {token}",
        NAMES[message.from]
    )
}

/// What a step puts on its way.
fn sent(config: &Config, world: &World, event: &Event, which: usize) -> String {
    let next = apply(config, world, event);
    let records = next.appends.iter().filter(|(from, _)| *from == which);
    let records = records.map(|(_, parcel)| format!("{parcel:?}"));
    let messages = next.messages.iter();
    let messages =
        messages.filter(|message| message.from == which && !world.messages.contains(message));
    let sent: Vec<String> = records.chain(messages.map(tell)).collect();
    match sent.is_empty() {
        true => String::new(),
        false => format!("; sends {}", sent.join(", ")),
    }
}
