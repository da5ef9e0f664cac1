//! Texts for the events of the model of orders.

use super::world::Message;
use super::{Config, Event, World, apply};

const NAMES: [&str; 2] = ["a", "b"];

pub(super) fn describe(config: &Config, world: &World, event: &Event) -> String {
    let append = |index: usize| format!("{:?}", world.appends[index].1);
    let message = |index: usize| describe_message(&world.messages[index]);
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
        Event::Commit(index) => format!("{} is committed", append(index)),
        Event::CommitTwice(index) => {
            format!("{} is committed, a copy stays in flight", append(index))
        }
        Event::LoseRecord(index) => format!("{} is lost", append(index)),
        Event::Deliver(index) => format!("{} reaches the engine", message(index)),
        Event::DeliverTwice(index) => {
            format!(
                "{} reaches the engine, a copy stays in flight",
                message(index)
            )
        }
        Event::DeliverUnanswered(index) => {
            format!("{} reaches the engine, the answer is lost", message(index))
        }
        Event::Lose(index) => format!("{} is lost", message(index)),
        Event::End => "the engine completes its order".to_owned(),
        Event::Restart => "the engine crashes and restarts".to_owned(),
        Event::StreamEnds => "the stream ends".to_owned(),
        Event::EntryReads => "the entry reads to the end".to_owned(),
        Event::StreamBegins => "the entry opens a stream at the engine".to_owned(),
        Event::EntryCrashes => "the entry crashes, its stream stays open".to_owned(),
        Event::Crash(which) => format!("{} crashes and restarts", NAMES[which]),
    }
}

fn describe_message(message: &Message) -> String {
    let kind = match message.action {
        Some(_) => "order",
        None => "cancellation of order",
    };
    let (order, token) = (message.order, message.fence);
    format!(
        "{}'s {kind} {order} with token {token}",
        NAMES[message.from]
    )
}

/// Text for the records and messages that a step sends.
fn sent(config: &Config, world: &World, event: &Event, which: usize) -> String {
    let next = apply(config, world, event);
    let records = next.appends.iter().filter(|(from, _)| *from == which);
    let records = records.map(|(_, append)| format!("{append:?}"));
    let messages = next.messages.iter();
    let messages =
        messages.filter(|message| message.from == which && !world.messages.contains(message));
    let sent: Vec<String> = records.chain(messages.map(describe_message)).collect();
    match sent.is_empty() {
        true => String::new(),
        false => format!("; sends {}", sent.join(", ")),
    }
}
