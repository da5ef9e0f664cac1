//! Requests placements from placers; see [`serving::placer`]. The serving side is
//! [`crate::placement::server`].

use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serving::engine::{Rank, Ticket};
use serving::place::{self, Demand, Refusal, Target};
use serving::{Choice, EngineId, Fleet, Stage, Zone, hash, placer};
use smallvec::SmallVec;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::Message as _;
use wire::gateway::{self, Answer, Ask, Frame, answer};

use crate::engine_cache;
use crate::frame::{encode_part, to_micros, to_millis};
use crate::instance::Instance;
use crate::metrics::PlacementAnswer;
use crate::tickets::Tickets;

/// Time for one placer's response. It is taken from the caller's time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(25);
/// Placers that are tried for one call before this instance places it by its own state.
const MAX_ATTEMPTS: usize = 3;

/// Placement requests that await their responses.
#[derive(Default)]
pub(crate) struct Pending {
    socket: OnceCell<Rc<UdpSocket>>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Answer>>>,
    tickets: Tickets,
}

impl Pending {
    /// Sends a frame to another instance. Returns whether it could be sent.
    pub(crate) fn send(&self, frame: &Frame, to: SocketAddr) -> bool {
        let Some(socket) = self.socket.get() else {
            return false;
        };
        match socket.try_send_to(&frame.encode_to_vec(), to) {
            Ok(_) => true,
            Err(error) => {
                log::debug!(to:% = to, error:% = error; "a frame could not be sent");
                false
            }
        }
    }

    /// Sets the socket that requests are sent by.
    pub(crate) fn bind(&self, socket: Rc<UdpSocket>) {
        if self.socket.set(socket).is_err() {
            log::error!("a second socket for placement requests is ignored");
        }
    }
}

/// A placer's response.
enum PlacementResult {
    /// A usable placement.
    Choice(Choice),
    /// The placer is not ready to place.
    Declined,
    /// The engine may not be used.
    Unusable,
    /// This instance was stopped since it asked, so that neither an answer nor its lack says anything.
    Outdated,
}

/// Places a call: at a placer, or by the state of this instance if it is one itself or none
/// responds.
pub(crate) async fn choose(instance: &Instance, demand: &Demand<'_>) -> Choice {
    if let Some(choice) = request(instance, demand, None).await {
        return choice;
    }
    let now = instance.now();
    let excluded = excluded_here(instance, demand);
    let demand = &Demand {
        excluded: &excluded,
        // Only placers know what organisations use.
        organisation: demand.organisation.filter(|_| instance.is_placing()),
        ..*demand
    };
    let mut fleet = instance.fleet.borrow_mut();
    let mut choice = place::choose(&fleet, demand, now);
    place::commit(&mut fleet, demand, &mut choice, now);
    choice
}

/// As [`choose`], for the engine that generates from a prompt read in the given data centre.
pub(crate) async fn decode(
    instance: &Instance,
    demand: &Demand<'_>,
    read_in: &Zone,
) -> Option<Target> {
    match request(instance, demand, Some(read_in)).await {
        Some(Choice::Direct(target)) => Some(target),
        Some(Choice::Refuse { .. }) => None,
        Some(Choice::Split { .. }) | None => {
            let now = instance.now();
            let excluded = excluded_here(instance, demand);
            let demand = &Demand {
                excluded: &excluded,
                ..*demand
            };
            let mut fleet = instance.fleet.borrow_mut();
            let target = place::choose_decode(&fleet, demand, read_in, now)?;
            place::charge(&mut fleet, demand, &target, now);
            Some(target)
        }
    }
}

/// Engines that this instance must not choose by its own state.
fn excluded_here(instance: &Instance, demand: &Demand) -> Vec<EngineId> {
    let unconfirmed = engine_cache::unconfirmed(instance);
    demand.excluded.iter().cloned().chain(unconfirmed).collect()
}

/// The first usable response; none if this instance is a placer, or no placer responds.
async fn request(
    instance: &Instance,
    demand: &Demand<'_>,
    read_in: Option<&Zone>,
) -> Option<Choice> {
    if instance.is_placing() {
        return None;
    }
    let now = instance.now();
    let order = {
        let beginning = demand.generation.as_ref().and_then(|g| g.prompt.first());
        let beginning = beginning.map_or(0, |part| part.id);
        let placers = instance.placers.borrow();
        placer::ask_order(&placers.others, hash::hash32(&instance.zone), beginning)
    };
    let candidates = order
        .into_iter()
        .filter(|address| instance.peers.borrow().is_responsive(*address, now));
    let candidates: SmallVec<[SocketAddr; MAX_ATTEMPTS]> = candidates.take(MAX_ATTEMPTS).collect();
    for address in candidates {
        let mut result = request_one(instance, address, demand, read_in).await;
        if matches!(result, Some(PlacementResult::Outdated)) {
            log::info!(placer:% = address; "a placer is asked anew, since this instance was late");
            result = request_one(instance, address, demand, read_in).await;
        }
        match result {
            Some(PlacementResult::Choice(choice)) => {
                instance
                    .metrics
                    .placement_requested(PlacementAnswer::Placed);
                return Some(choice);
            }
            Some(PlacementResult::Declined) => {
                instance
                    .metrics
                    .placement_requested(PlacementAnswer::Declined);
                log::debug!(placer:% = address; "a placer is not ready to place calls");
            }
            Some(PlacementResult::Unusable) => {
                instance
                    .metrics
                    .placement_requested(PlacementAnswer::Declined);
                log::debug!(placer:% = address; "a placer names an engine that may not be used");
                // Another placer may have newer state.
                continue;
            }
            Some(PlacementResult::Outdated) => {
                instance
                    .metrics
                    .placement_requested(PlacementAnswer::Silent);
                continue;
            }
            None => {
                instance
                    .metrics
                    .placement_requested(PlacementAnswer::Silent);
                log::info!(placer:% = address; "a placer does not answer");
            }
        }
        instance
            .peers
            .borrow_mut()
            .on_missed(address, instance.now());
    }
    None
}

async fn request_one(
    instance: &Instance,
    address: SocketAddr,
    demand: &Demand<'_>,
    read_in: Option<&Zone>,
) -> Option<PlacementResult> {
    // It also names the call at its placer.
    let ticket = instance.pending_placements.tickets.next();
    let request = encode(instance, ticket, demand, read_in);
    let frame = Frame {
        ask: Some(request),
        ..instance.frame()
    };
    instance
        .reports
        .placement_requested(address, instance.now());
    let (sender, receiver) = oneshot::channel();
    let open = PendingGuard::new(&instance.pending_placements, ticket, sender);
    if !instance.pending_placements.send(&frame, address) {
        return None;
    }
    let sent_at = instance.now();
    let answer = timeout(RESPONSE_TIMEOUT, receiver).await;
    let drain = instance.settings.borrow().bounds.drain;
    if !placer::is_current(sent_at, drain, instance.now()) {
        return Some(PlacementResult::Outdated);
    }
    let answer = answer.ok()?.ok()?;
    instance.own_load.on_round_trip(address, sent_at);
    drop(open);
    if answer.mixed {
        instance.on_mixed_versions(demand.service);
    }
    Some(decode_answer(
        &instance.fleet.borrow(),
        demand,
        address,
        &answer,
    ))
}

/// Removes a pending request when dropped: its caller may disconnect meanwhile.
struct PendingGuard<'a> {
    pending: &'a Pending,
    ticket: Ticket,
}

impl<'a> PendingGuard<'a> {
    fn new(pending: &'a Pending, ticket: Ticket, sender: oneshot::Sender<Answer>) -> Self {
        pending.waiting.borrow_mut().insert(ticket, sender);
        Self { pending, ticket }
    }
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.pending.waiting.borrow_mut().remove(&self.ticket);
    }
}

fn encode(instance: &Instance, ticket: Ticket, demand: &Demand, read_in: Option<&Zone>) -> Ask {
    let now = instance.now();
    let fleet = instance.fleet.borrow();
    // Health as seen from here counts too: the path to an engine may be broken from this instance
    // only.
    let resting = fleet.ready(demand.service);
    let resting = resting.filter(|engine| !engine.is_available(now));
    let resting = resting.map(|engine| &engine.record.id);
    let avoid = demand.excluded.iter().chain(resting);
    Ask {
        ticket,
        service: demand.service.to_string(),
        prompt: demand
            .generation
            .as_ref()
            .map(|generation| gateway::Prompt {
                pieces: generation.prompt.iter().map(encode_part).collect(),
                tokens: generation.tokens,
            }),
        priority: u32::from(demand.priority),
        target_ms: to_millis(demand.latency_target),
        left_ms: to_millis(demand.time_left),
        zone: demand.zone.to_string(),
        may_split: demand.may_split,
        sending_us: to_micros(demand.send_time),
        avoid: avoid.map(|id| hash::hash32(id)).collect(),
        read_in: read_in.map(ToString::to_string).unwrap_or_default(),
        connected: demand.connected.iter().map(|id| hash::hash32(id)).collect(),
        alone: demand.isolated,
        reserved: demand.reserved.map_or(0, |id| hash::hash32(id)),
        needs_records: instance.is_caching.get(),
        software: demand.software.map(str::to_owned),
        organisation: demand.organisation.unwrap_or_default(),
    }
}

fn decode_answer(
    fleet: &Fleet,
    demand: &Demand,
    placer: SocketAddr,
    answer: &Answer,
) -> PlacementResult {
    let placed_by = (placer, answer.ticket);
    let target = |encoded: &gateway::Target| decode_target(fleet, demand, encoded, placed_by);
    let choice = match &answer.choice {
        Some(answer::Choice::Direct(encoded)) => target(encoded).map(Choice::Direct),
        Some(answer::Choice::Split(split)) => {
            let prefill = split.prefill.as_ref().and_then(target);
            prefill.map(|prefill| Choice::Split {
                prefill,
                reserved: fleet.by_hash(split.reserved),
                expected_latency: Duration::from_micros(split.expected_us.into()),
            })
        }
        Some(answer::Choice::Refusal(refusal)) => Some(Choice::Refuse {
            retry_after: Duration::from_millis(refusal.after_ms.into()),
            reason: match refusal {
                refusal if refusal.no_engine => Refusal::NoEngine,
                refusal if refusal.limited => Refusal::RateLimited,
                refusal if refusal.over_share => Refusal::OverShare,
                _ => Refusal::TooMuchWork,
            },
            best_target: refusal.best.as_ref().and_then(target).map(Box::new),
        }),
        None => return PlacementResult::Declined,
    };
    choice.map_or(PlacementResult::Unusable, PlacementResult::Choice)
}

/// The placer's target, unless this instance already knows that the engine leaves or must be
/// avoided.
fn decode_target(
    fleet: &Fleet,
    demand: &Demand,
    encoded: &gateway::Target,
    placed_by: (SocketAddr, Ticket),
) -> Option<Target> {
    let engine = fleet.by_hash(encoded.engine)?;
    // Among many engines, two may have the same hash.
    let takes_calls = fleet
        .get(&engine)
        .is_some_and(|engine| engine.takes_calls() && engine.record.service == *demand.service);
    // A placer of an earlier release does not regard the version.
    let is_unfit = fleet.get(&engine).is_some_and(|engine| {
        engine.record.stage != Some(Stage::Prefill) && !engine.record.continues(demand.software)
    });
    if is_unfit || !takes_calls || demand.excluded.contains(&engine) {
        return None;
    }
    Some(Target {
        engine,
        prefill_tokens: encoded.unread,
        work: encoded.work,
        rank: Rank::try_from(encoded.rank).unwrap_or(Rank::MAX),
        limit_wait: Duration::from_millis(encoded.wait_ms.into()),
        expected_latency: Duration::from_micros(encoded.expected_us.into()),
        fetch_from: fleet.by_hash(encoded.fetch),
        placed_by: Some(placed_by),
    })
}

/// Handles a placer's response.
pub(crate) fn on_answer(instance: &Instance, from: SocketAddr, answer: &Answer) {
    let waiting = instance
        .pending_placements
        .waiting
        .borrow_mut()
        .remove(&answer.ticket);
    if waiting.is_none_or(|waiting| waiting.send(*answer).is_err()) {
        log::debug!(from:% = from; "a placer's answer came too late");
    }
}
