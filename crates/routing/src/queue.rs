//! Queue of a pool at this entry, ordered by class and then by deadline.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::{
    class::Class,
    decision::Ticket,
    request::{Model, Request, Subject},
    upstream,
};

/// Factor by which an estimated wait may exceed the time left before a queued request is refused:
/// the estimate is rough, and a wrong refusal costs more than a late one.
const WAIT_MARGIN: f64 = 1.25;

/// A request that is queued, or about to be sent.
#[derive(Clone, Debug)]
pub struct Pending {
    /// The request.
    pub request: Request,
    /// Upstreams where an attempt failed.
    pub tried: SmallVec<[upstream::Id; 2]>,
    /// Attempts so far.
    pub attempts: u32,
}

impl Pending {
    /// A request without any attempt.
    pub fn new(request: Request) -> Self {
        Self {
            request,
            tried: SmallVec::new(),
            attempts: 0,
        }
    }
}

/// Position in a queue: by deadline, then by arrival.
type Position = (Moment, Ticket);
type ModelQueue = BTreeMap<Position, Pending>;

/// Queues by model, so that a model whose engines are full does not block the others.
type ModelQueues = BTreeMap<Option<Model>, ModelQueue>;

/// Location of a ticket in the queue.
#[derive(Clone, Debug)]
struct Location {
    class: Class,
    model: Option<Model>,
    position: Position,
}

/// The queue of one pool.
#[derive(Clone, Debug)]
pub struct Queue {
    capacity: usize,
    classes: [ModelQueues; Class::COUNT],
    class_counts: [usize; Class::COUNT],
    /// Number of queued requests by class and owner.
    owner_counts: [BTreeMap<Subject, usize>; Class::COUNT],
    locations: HashMap<Ticket, Location>,
}

impl Queue {
    /// A queue of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            classes: Default::default(),
            class_counts: [0; Class::COUNT],
            owner_counts: Default::default(),
            locations: HashMap::new(),
        }
    }

    /// Changes the capacity. Requests beyond it stay queued.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Whether the queue has reached its capacity.
    pub fn is_full(&self) -> bool {
        self.len() >= self.capacity
    }

    /// Whether the queue exceeds its capacity, so that a request must be shed.
    pub fn is_over_capacity(&self) -> bool {
        self.len() > self.capacity
    }

    /// Number of queued requests served before a new one of this class.
    pub fn ahead(&self, class: Class) -> usize {
        self.class_counts[..=class.rank()].iter().sum()
    }

    /// Whether a new request of this class and model would have to wait behind others.
    pub fn has_ahead(&self, class: Class, model: Option<&Model>) -> bool {
        let classes = &self.classes[..=class.rank()];
        // The keys are owned models, and usually the queue is empty.
        !self.is_empty()
            && classes
                .iter()
                .any(|queues| queues.keys().any(|key| key.as_ref() == model))
    }

    /// Queues a request.
    pub fn push(&mut self, ticket: Ticket, pending: Pending) {
        let request = &pending.request;
        let location = Location {
            class: request.class,
            model: request.model.clone(),
            position: (request.deadline, ticket),
        };
        self.class_counts[location.class.rank()] += 1;
        if let Some(owner) = request.owner() {
            let owners = &mut self.owner_counts[location.class.rank()];
            *owners.entry(owner.clone()).or_default() += 1;
        }
        self.classes[location.class.rank()]
            .entry(location.model.clone())
            .or_default()
            .insert(location.position, pending);
        self.locations.insert(ticket, location);
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Pending> {
        let location = self.locations.remove(&ticket)?;
        let queues = &mut self.classes[location.class.rank()];
        let queue = queues.get_mut(&location.model)?;
        let pending = queue.remove(&location.position)?;
        if queue.is_empty() {
            queues.remove(&location.model);
        }
        self.class_counts[location.class.rank()] -= 1;
        self.decrement_owner(location.class, pending.request.owner());
        Some(pending)
    }

    /// All queued requests, in order of their tickets.
    pub fn into_pending(self) -> Vec<(Ticket, Pending)> {
        let queues = self.classes.into_iter().flat_map(BTreeMap::into_values);
        let mut all: Vec<(Ticket, Pending)> = queues
            .flatten()
            .map(|((_, ticket), pending)| (ticket, pending))
            .collect();
        all.sort_by_key(|(ticket, _)| *ticket);
        all
    }

    fn decrement_owner(&mut self, class: Class, owner: Option<&Subject>) {
        let owners = &mut self.owner_counts[class.rank()];
        let Some(owner) = owner else {
            return;
        };
        if let Some(count) = owners.get_mut(owner) {
            *count -= 1;
            if *count == 0 {
                owners.remove(owner);
            }
        }
    }

    /// Heads of the queues in order of service: by class, then by deadline.
    pub fn heads(&self) -> SmallVec<[(Class, Ticket); 8]> {
        let mut heads: SmallVec<[(Class, Position); 8]> = SmallVec::new();
        for class in Class::ALL {
            for queue in self.classes[class.rank()].values() {
                heads.extend(queue.keys().next().map(|position| (class, *position)));
            }
        }
        heads.sort_unstable();
        heads
            .iter()
            .map(|(class, position)| (*class, position.1))
            .collect()
    }

    /// The queued request with this ticket.
    pub fn get(&self, ticket: Ticket) -> Option<&Pending> {
        let location = self.locations.get(&ticket)?;
        self.classes[location.class.rank()]
            .get(&location.model)?
            .get(&location.position)
    }

    /// Whether a request may displace another one when the queue is full: one of a lower class, or
    /// one of its own class whose owner has more requests queued than this owner would have.
    pub fn can_displace(&self, class: Class, owner: Option<&Subject>) -> bool {
        let below = &self.class_counts[class.rank() + 1..];
        if below.iter().any(|count| *count > 0) {
            return true;
        }
        let owners = &self.owner_counts[class.rank()];
        let own = owner.and_then(|owner| owners.get(owner)).copied();
        let own = own.unwrap_or(0) + 1;
        owners.values().any(|count| *count > own)
    }

    /// Request to shed first: in the lowest class, among the requests of the owner with the most
    /// queued, the one with the latest deadline. A flood of one owner thus displaces its own
    /// requests and not those of others.
    pub fn victim(&self) -> Option<Ticket> {
        let rank = self.class_counts.iter().rposition(|count| *count > 0)?;
        let owners = self.owner_counts[rank].iter();
        let heaviest_owner = owners
            .max_by_key(|(_, count)| **count)
            .map(|(owner, _)| owner);
        let queues = self.classes[rank].values().flatten();
        let candidates = queues.filter(|(_, pending)| pending.request.owner() == heaviest_owner);
        candidates
            .map(|(position, _)| *position)
            .max()
            .map(|position| position.1)
    }

    /// Queued requests that can no longer meet their deadline, given the rate at which requests
    /// leave the queue and the least time that a request takes once sent. They are refused at once
    /// rather than at their deadline, so that callers can react.
    pub fn infeasible(
        &self,
        now: Moment,
        per_second: f64,
        least: impl Fn(&Request) -> Duration,
    ) -> SmallVec<[Ticket; 4]> {
        let mut infeasible = SmallVec::new();
        let mut ahead = 0.0;
        for queues in &self.classes {
            let mut in_class = 0.0;
            for queue in queues.values() {
                for (position, pending) in queue {
                    let wait = expected_wait(ahead + in_class, per_second);
                    let end = now + least(&pending.request) + wait.div_f64(WAIT_MARGIN);
                    if end > position.0 {
                        infeasible.push(position.1);
                    } else {
                        in_class += 1.0;
                    }
                }
            }
            ahead += in_class;
        }
        infeasible
    }
}

/// Upper bound of estimated waits.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Time until `ahead` requests have left the queue; zero if the rate is not known yet.
pub fn expected_wait(ahead: f64, per_second: f64) -> Duration {
    if per_second <= 0.0 {
        return Duration::ZERO;
    }
    let seconds = ahead / per_second;
    Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
}
