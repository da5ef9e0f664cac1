//! Asks an instance that places calls where one goes. What placers know and why they are asked stands in [`serving::placer`]; the
//! answering side is [`crate::answer`].

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serving::engine::{Rank, Ticket};
use serving::place::{self, Demand, Refusal, Target};
use serving::{Choice, Fleet, Zone, hash, placer};
use smallvec::SmallVec;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::Message as _;
use wire::gateway::{self, Answer, Ask, Frame, answer};

use crate::frame::{micros, millis, piece};
use crate::instance::Instance;
use crate::metrics::Asked;

/// Time for one placer's answer. The way there and back takes a few milliseconds at the most within a region; the rest is for one
/// that is busy. What is waited for one that does not answer is taken from a caller's time.
const PATIENCE: Duration = Duration::from_millis(25);
/// Placers that are asked for one call before this instance places it by what it knows itself.
const QUESTIONS: usize = 3;

/// Questions that this instance has asked and that are not answered.
#[derive(Default)]
pub(crate) struct Questions {
    socket: OnceCell<Rc<UdpSocket>>,
    open: RefCell<HashMap<Ticket, oneshot::Sender<Answer>>>,
    asked: Cell<Ticket>,
}

impl Questions {
    /// The number of the next question, and of the call at whoever answers it.
    fn number(&self) -> Ticket {
        let number = self.asked.get().wrapping_add(1);
        self.asked.set(number);
        number
    }

    /// Takes in by which socket to ask.
    pub(crate) fn bind(&self, socket: Rc<UdpSocket>) {
        if self.socket.set(socket).is_err() {
            log::error!("frames have two sockets, the first one is used");
        }
    }
}

/// What is known of a call that another instance placed.
enum Placed {
    /// It goes here.
    Choice(Choice),
    /// The placer knows too little.
    Declined,
    /// It names an engine that may not be used.
    Unusable,
}

/// Finds a place for a call: by what this instance knows if it is told of all calls, else by what one knows that is.
pub(crate) async fn choose(instance: &Instance, demand: &Demand<'_>) -> Choice {
    if let Some(choice) = ask(instance, demand, None).await {
        return choice;
    }
    let now = instance.now();
    let mut fleet = instance.fleet.borrow_mut();
    let mut choice = place::choose(&fleet, demand, now);
    place::commit(&mut fleet, demand, &mut choice, now);
    choice
}

/// The same for the engine that takes over a prompt that was read in a data centre.
pub(crate) async fn decode(
    instance: &Instance,
    demand: &Demand<'_>,
    read_in: &Zone,
) -> Option<Target> {
    match ask(instance, demand, Some(read_in)).await {
        Some(Choice::Direct(target)) => Some(target),
        Some(Choice::Refuse { .. }) => None,
        Some(Choice::Split { .. }) | None => {
            let now = instance.now();
            let mut fleet = instance.fleet.borrow_mut();
            let target = place::decode(&fleet, demand, read_in, now)?;
            place::charge(&mut fleet, demand, &target, now);
            Some(target)
        }
    }
}

/// What the first placer says that answers; nothing if this instance places calls itself, or none does.
async fn ask(instance: &Instance, demand: &Demand<'_>, read_in: Option<&Zone>) -> Option<Choice> {
    if instance.is_placing() {
        return None;
    }
    let now = instance.now();
    let order = {
        let beginning = demand.generation.as_ref().and_then(|g| g.prompt.first());
        let beginning = beginning.map_or(0, |part| part.id);
        let placers = instance.placers.borrow();
        placer::order(&placers.others, hash::short(&instance.zone), beginning)
    };
    let asked = order
        .into_iter()
        .filter(|address| instance.peers.borrow().answers(*address, now));
    let asked: SmallVec<[SocketAddr; QUESTIONS]> = asked.take(QUESTIONS).collect();
    for address in asked {
        match ask_one(instance, address, demand, read_in).await {
            Some(Placed::Choice(choice)) => {
                instance.metrics.asked(Asked::Placed);
                return Some(choice);
            }
            Some(Placed::Declined) => {
                instance.metrics.asked(Asked::Declined);
                log::debug!(placer:% = address; "a placer knows too little");
            }
            Some(Placed::Unusable) => {
                instance.metrics.asked(Asked::Declined);
                log::debug!(placer:% = address; "a placer names an engine that may not be used");
                // Another one may know already what this one does not.
                continue;
            }
            None => {
                instance.metrics.asked(Asked::Silent);
                log::info!(placer:% = address; "a placer does not answer");
            }
        }
        instance.peers.borrow_mut().missed(address, instance.now());
    }
    None
}

async fn ask_one(
    instance: &Instance,
    address: SocketAddr,
    demand: &Demand<'_>,
    read_in: Option<&Zone>,
) -> Option<Placed> {
    let ticket = instance.questions.number();
    let question = question(instance, ticket, demand, read_in);
    let frame = Frame {
        ask: Some(question),
        ..instance.frame()
    };
    instance.reports.asked(address, instance.now());
    let (sender, receiver) = oneshot::channel();
    let open = Open::new(&instance.questions, ticket, sender);
    let socket = instance.questions.socket.get()?;
    if let Err(error) = socket.try_send_to(&frame.encode_to_vec(), address) {
        log::debug!(to:% = address, error:% = error; "a question could not be sent");
        return None;
    }
    let answer = timeout(PATIENCE, receiver).await.ok()?.ok()?;
    drop(open);
    Some(placed(&instance.fleet.borrow(), demand, address, &answer))
}

/// A question that is open until this is dropped: its caller may leave while it is.
struct Open<'a> {
    questions: &'a Questions,
    ticket: Ticket,
}

impl<'a> Open<'a> {
    fn new(questions: &'a Questions, ticket: Ticket, sender: oneshot::Sender<Answer>) -> Self {
        questions.open.borrow_mut().insert(ticket, sender);
        Self { questions, ticket }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.questions.open.borrow_mut().remove(&self.ticket);
    }
}

fn question(instance: &Instance, ticket: Ticket, demand: &Demand, read_in: Option<&Zone>) -> Ask {
    let now = instance.now();
    let fleet = instance.fleet.borrow();
    // What its own calls came to counts here as well: the way to an engine may be broken from this instance only.
    let resting = fleet.ready(demand.service);
    let resting = resting.filter(|engine| !engine.is_open(now));
    let resting = resting.map(|engine| &engine.record.id);
    let avoid = demand.avoid.iter().chain(resting);
    Ask {
        ticket,
        service: demand.service.to_string(),
        prompt: demand
            .generation
            .as_ref()
            .map(|generation| gateway::Prompt {
                pieces: generation.prompt.iter().map(piece).collect(),
                tokens: generation.tokens,
            }),
        priority: u32::from(demand.priority),
        target_ms: millis(demand.target),
        left_ms: millis(demand.left),
        zone: demand.zone.to_string(),
        may_split: demand.may_split,
        sending_us: micros(demand.sending),
        avoid: avoid.map(|id| hash::short(id)).collect(),
        read_in: read_in.map(ToString::to_string).unwrap_or_default(),
        connected: demand.connected.iter().map(|id| hash::short(id)).collect(),
        alone: demand.alone,
        reserved: demand.reserved.map_or(0, |id| hash::short(id)),
    }
}

fn placed(fleet: &Fleet, demand: &Demand, placer: SocketAddr, answer: &Answer) -> Placed {
    let placed_by = (placer, answer.ticket);
    let target = |told: &gateway::Target| target(fleet, demand, told, placed_by);
    let choice = match &answer.choice {
        Some(answer::Choice::Direct(told)) => target(told).map(Choice::Direct),
        Some(answer::Choice::Split(split)) => {
            let prefill = split.prefill.as_ref().and_then(target);
            prefill.map(|prefill| Choice::Split {
                prefill,
                reserved: fleet.by_short(split.reserved),
                expected: Duration::from_micros(split.expected_us.into()),
            })
        }
        Some(answer::Choice::Refusal(refusal)) => Some(Choice::Refuse {
            after: Duration::from_millis(refusal.after_ms.into()),
            why: match (refusal.no_engine, refusal.limited) {
                (true, _) => Refusal::NoEngine,
                (_, true) => Refusal::Limited,
                _ => Refusal::TooMuchWork,
            },
            best: refusal.best.as_ref().and_then(target).map(Box::new),
        }),
        None => return Placed::Declined,
    };
    choice.map_or(Placed::Unusable, Placed::Choice)
}

/// The place that a placer named, if this instance knows nothing that speaks against it: it may know already that the engine
/// leaves.
fn target(
    fleet: &Fleet,
    demand: &Demand,
    told: &gateway::Target,
    placed_by: (SocketAddr, Ticket),
) -> Option<Target> {
    let engine = fleet.by_short(told.engine)?;
    let takes_calls = fleet
        .get(&engine)
        .is_some_and(serving::engine::Engine::takes_calls);
    if !takes_calls || demand.avoid.contains(&engine) {
        return None;
    }
    Some(Target {
        engine,
        unread: told.unread,
        work: told.work,
        rank: Rank::try_from(told.rank).unwrap_or(Rank::MAX),
        wait: Duration::from_millis(told.wait_ms.into()),
        expected: Duration::from_micros(told.expected_us.into()),
        fetch: fleet.by_short(told.fetch),
        placed_by: Some(placed_by),
    })
}

/// Takes in the answer of another instance.
pub(crate) fn take(instance: &Instance, from: SocketAddr, answer: &Answer) {
    let open = instance.questions.open.borrow_mut().remove(&answer.ticket);
    if open.is_none_or(|open| open.send(*answer).is_err()) {
        log::debug!(from:% = from; "an answer comes too late");
    }
}
