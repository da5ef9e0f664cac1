//! The queue of a pool at this entry: by class, then by deadline.

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

/// Factor on estimated waits before a waiting request is given up: the estimate is rough, and a wrong
/// refusal costs more than a late one.
const WAIT_MARGIN: f64 = 1.25;

/// A request that waits, or is about to be sent.
#[derive(Clone, Debug)]
pub struct Pending {
    /// What to send.
    pub request: Request,
    /// Upstreams that failed it.
    pub tried: SmallVec<[upstream::Id; 2]>,
    /// Attempts so far.
    pub attempts: u32,
}

impl Pending {
    /// A request that was never sent.
    pub fn new(request: Request) -> Self {
        Self {
            request,
            tried: SmallVec::new(),
            attempts: 0,
        }
    }
}

/// Place of a waiting request: within its class and model by deadline, then by arrival.
type Position = (Moment, Ticket);
type ModelQueue = BTreeMap<Position, Pending>;

/// Requests for one model wait in a line of their own: a model whose engines are full must not hold
/// up the others.
type ModelQueues = BTreeMap<Option<Model>, ModelQueue>;

/// Where a ticket stands.
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
    /// Waiting requests by class and owner.
    owner_counts: [BTreeMap<Subject, usize>; Class::COUNT],
    locations: HashMap<Ticket, Location>,
}

impl Queue {
    /// A queue of at most `bound` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            classes: Default::default(),
            class_counts: [0; Class::COUNT],
            owner_counts: Default::default(),
            locations: HashMap::new(),
        }
    }

    /// Changes the bound; requests that wait beyond it go on waiting.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Whether nothing more fits.
    pub fn is_full(&self) -> bool {
        self.len() >= self.capacity
    }

    /// Whether more wait than should, so that somebody has to go.
    pub fn is_over_capacity(&self) -> bool {
        self.len() > self.capacity
    }

    /// Requests that go before one of this class.
    pub fn ahead(&self, class: Class) -> usize {
        self.class_counts[..=class.rank()].iter().sum()
    }

    /// Whether a request of this class and model would have to wait behind others.
    pub fn has_ahead(&self, class: Class, model: Option<&Model>) -> bool {
        let classes = &self.classes[..=class.rank()];
        // Lines are keyed by owned models, and most often there are none at all.
        !self.is_empty()
            && classes
                .iter()
                .any(|lines| lines.keys().any(|key| key.as_ref() == model))
    }

    /// Lets a request wait.
    pub fn push(&mut self, ticket: Ticket, waiting: Pending) {
        let request = &waiting.request;
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
            .insert(location.position, waiting);
        self.locations.insert(ticket, location);
    }

    /// Takes a request out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Pending> {
        let location = self.locations.remove(&ticket)?;
        let lines = &mut self.classes[location.class.rank()];
        let line = lines.get_mut(&location.model)?;
        let waiting = line.remove(&location.position)?;
        if line.is_empty() {
            lines.remove(&location.model);
        }
        self.class_counts[location.class.rank()] -= 1;
        self.decrement_owner(location.class, waiting.request.owner());
        Some(waiting)
    }

    /// All waiting requests in order of their tickets.
    pub fn into_pending(self) -> Vec<(Ticket, Pending)> {
        let lines = self.classes.into_iter().flat_map(BTreeMap::into_values);
        let mut all: Vec<(Ticket, Pending)> = lines
            .flatten()
            .map(|((_, ticket), waiting)| (ticket, waiting))
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

    /// First of each line in order of service: by class, then by deadline.
    pub fn heads(&self) -> SmallVec<[(Class, Ticket); 8]> {
        let mut heads: SmallVec<[(Class, Position); 8]> = SmallVec::new();
        for class in Class::ALL {
            for line in self.classes[class.rank()].values() {
                heads.extend(line.keys().next().map(|place| (class, *place)));
            }
        }
        heads.sort_unstable();
        heads
            .iter()
            .map(|(class, place)| (*class, place.1))
            .collect()
    }

    /// The waiting request of a ticket.
    pub fn get(&self, ticket: Ticket) -> Option<&Pending> {
        let location = self.locations.get(&ticket)?;
        self.classes[location.class.rank()]
            .get(&location.model)?
            .get(&location.position)
    }

    /// Whether a request may push out another when the queue is full: one of a lower class, or one of
    /// its class whose owner has more waiting than this one's would.
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

    /// Who has to go first: of the lowest class, and there of the owner who has most waiting, the
    /// request that has the most time left. One owner's flood so pushes out its own requests and not
    /// those of others.
    pub fn victim(&self) -> Option<Ticket> {
        let rank = self.class_counts.iter().rposition(|count| *count > 0)?;
        let owners = self.owner_counts[rank].iter();
        let heaviest_owner = owners
            .max_by_key(|(_, count)| **count)
            .map(|(owner, _)| owner);
        let lines = self.classes[rank].values().flatten();
        let candidates = lines.filter(|(_, waiting)| waiting.request.owner() == heaviest_owner);
        candidates
            .map(|(place, _)| *place)
            .max()
            .map(|place| place.1)
    }

    /// Waiting requests whose deadline cannot be met any more, given the requests a second that
    /// leave the queue and the least time that a request takes once it is sent. They are told at once
    /// and not when the deadline has passed, so that callers can act.
    pub fn infeasible(
        &self,
        now: Moment,
        per_second: f64,
        least: impl Fn(&Request) -> Duration,
    ) -> SmallVec<[Ticket; 4]> {
        let mut infeasible = SmallVec::new();
        let mut ahead = 0.0;
        for lines in &self.classes {
            let mut in_class = 0.0;
            for line in lines.values() {
                for (place, waiting) in line {
                    let wait = expected_wait(ahead + in_class, per_second);
                    let end = now + least(&waiting.request) + wait.div_f64(WAIT_MARGIN);
                    if end > place.0 {
                        infeasible.push(place.1);
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

/// Longest wait that an estimate states.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Time until `ahead` requests have left, nothing if the rate is not known yet.
pub fn expected_wait(ahead: f64, per_second: f64) -> Duration {
    if per_second <= 0.0 {
        return Duration::ZERO;
    }
    let seconds = ahead / per_second;
    Duration::from_secs_f64(seconds.min(MAX_WAIT.as_secs_f64()))
}
