//! The queue of a pool at this entry: by class, then by deadline.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::{
    class::Class,
    decision::Ticket,
    request::{Model, Request},
    upstream,
};

/// Factor on estimated waits before a waiting request is given up: the estimate is rough, and a wrong
/// refusal costs more than a late one.
const DOUBT: f64 = 1.25;

/// A request that waits, or is about to be sent.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// What to send.
    pub request: Request,
    /// Upstreams that failed it.
    pub tried: SmallVec<[upstream::Id; 2]>,
    /// Attempts so far.
    pub attempts: u32,
}

impl Waiting {
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
type Place = (Moment, Ticket);
type Line = BTreeMap<Place, Waiting>;

/// Requests for one model wait in a line of their own: a model whose engines are full must not hold
/// up the others.
type Lines = BTreeMap<Option<Model>, Line>;

/// Where a ticket stands.
#[derive(Clone, Debug)]
struct Address {
    class: Class,
    model: Option<Model>,
    place: Place,
}

/// The queue of one pool.
#[derive(Clone, Debug)]
pub struct Queue {
    bound: usize,
    classes: [Lines; Class::COUNT],
    counts: [usize; Class::COUNT],
    tickets: HashMap<Ticket, Address>,
}

impl Queue {
    /// A queue of at most `bound` requests.
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            classes: Default::default(),
            counts: [0; Class::COUNT],
            tickets: HashMap::new(),
        }
    }

    /// Changes the bound; requests that wait beyond it go on waiting.
    pub fn set_bound(&mut self, bound: usize) {
        self.bound = bound;
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Whether nothing more fits.
    pub fn is_full(&self) -> bool {
        self.len() >= self.bound
    }

    /// Whether more wait than should, so that somebody has to go.
    pub fn is_over(&self) -> bool {
        self.len() > self.bound
    }

    /// Requests that go before one of this class.
    pub fn ahead(&self, class: Class) -> usize {
        self.counts[..=class.rank()].iter().sum()
    }

    /// Whether a request of this class and model would have to wait behind others.
    pub fn blocks(&self, class: Class, model: Option<&Model>) -> bool {
        let classes = &self.classes[..=class.rank()];
        // Lines are keyed by owned models, and most often there are none at all.
        !self.is_empty()
            && classes
                .iter()
                .any(|lines| lines.keys().any(|key| key.as_ref() == model))
    }

    /// Lets a request wait.
    pub fn push(&mut self, ticket: Ticket, waiting: Waiting) {
        let request = &waiting.request;
        let address = Address {
            class: request.class,
            model: request.model.clone(),
            place: (request.deadline, ticket),
        };
        self.counts[address.class.rank()] += 1;
        self.classes[address.class.rank()]
            .entry(address.model.clone())
            .or_default()
            .insert(address.place, waiting);
        self.tickets.insert(ticket, address);
    }

    /// Takes a request out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let address = self.tickets.remove(&ticket)?;
        let lines = &mut self.classes[address.class.rank()];
        let line = lines.get_mut(&address.model)?;
        let waiting = line.remove(&address.place)?;
        if line.is_empty() {
            lines.remove(&address.model);
        }
        self.counts[address.class.rank()] -= 1;
        Some(waiting)
    }

    /// All waiting requests in order of their tickets.
    pub fn into_waiting(self) -> Vec<(Ticket, Waiting)> {
        let lines = self.classes.into_iter().flat_map(BTreeMap::into_values);
        let mut all: Vec<(Ticket, Waiting)> = lines
            .flatten()
            .map(|((_, ticket), waiting)| (ticket, waiting))
            .collect();
        all.sort_by_key(|(ticket, _)| *ticket);
        all
    }

    /// First of each line in order of service: by class, then by deadline.
    pub fn heads(&self) -> SmallVec<[(Class, Ticket); 8]> {
        let mut heads: SmallVec<[(Class, Place); 8]> = SmallVec::new();
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
    pub fn get(&self, ticket: Ticket) -> Option<&Waiting> {
        let address = self.tickets.get(&ticket)?;
        self.classes[address.class.rank()]
            .get(&address.model)?
            .get(&address.place)
    }

    /// Who has to go so that a request of this class fits into a full queue: the one of the lowest
    /// class below it that has the most time left. None if nobody is below it.
    pub fn victim(&self, class: Class) -> Option<Ticket> {
        let below = Class::ALL[class.rank() + 1..].iter().rev();
        let lines = below
            .map(|lower| &self.classes[lower.rank()])
            .find(|lines| !lines.is_empty())?;
        let last = lines.values().filter_map(|line| line.keys().next_back());
        last.max().map(|place| place.1)
    }

    /// Waiting requests whose deadline cannot be met any more, given the requests a second that
    /// leave the queue and the least time that a request takes once it is sent. They are told at once
    /// and not when the deadline has passed, so that callers can act.
    pub fn hopeless(
        &self,
        now: Moment,
        per_second: f64,
        least: impl Fn(&Request) -> Duration,
    ) -> SmallVec<[Ticket; 4]> {
        let mut gone = SmallVec::new();
        let mut ahead = 0.0;
        for lines in &self.classes {
            let mut in_class = 0.0;
            for line in lines.values() {
                for (place, waiting) in line {
                    let wait = expected_wait(ahead + in_class, per_second);
                    let end = now + least(&waiting.request) + wait.div_f64(DOUBT);
                    if end > place.0 {
                        gone.push(place.1);
                    } else {
                        in_class += 1.0;
                    }
                }
            }
            ahead += in_class;
        }
        gone
    }
}

/// Longest wait that an estimate states.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);

/// Time until `ahead` requests have left, nothing if the rate is not known yet.
pub fn expected_wait(ahead: f64, per_second: f64) -> Duration {
    if per_second <= 0.0 {
        return Duration::ZERO;
    }
    let seconds = ahead / per_second;
    Duration::from_secs_f64(seconds.min(LONGEST_WAIT.as_secs_f64()))
}
