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
    /// Waiting requests by class and owner.
    owners: [BTreeMap<Subject, usize>; Class::COUNT],
    tickets: HashMap<Ticket, Address>,
}

impl Queue {
    /// A queue of at most `bound` requests.
    pub fn new(bound: usize) -> Self {
        Self {
            bound,
            classes: Default::default(),
            counts: [0; Class::COUNT],
            owners: Default::default(),
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
        if let Some(owner) = request.owner() {
            let owners = &mut self.owners[address.class.rank()];
            *owners.entry(owner.clone()).or_default() += 1;
        }
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
        self.leave(address.class, waiting.request.owner());
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

    fn leave(&mut self, class: Class, owner: Option<&Subject>) {
        let owners = &mut self.owners[class.rank()];
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

    /// Whether a request may push out another when the queue is full: one of a lower class, or one of
    /// its class whose owner has more waiting than this one's would.
    pub fn gives_way(&self, class: Class, owner: Option<&Subject>) -> bool {
        let below = &self.counts[class.rank() + 1..];
        if below.iter().any(|count| *count > 0) {
            return true;
        }
        let owners = &self.owners[class.rank()];
        let own = owner.and_then(|owner| owners.get(owner)).copied();
        let own = own.unwrap_or(0) + 1;
        owners.values().any(|count| *count > own)
    }

    /// Who has to go first: of the lowest class, and there of the owner who has most waiting, the
    /// request that has the most time left. One owner's flood so pushes out its own requests and not
    /// those of others.
    pub fn victim(&self) -> Option<Ticket> {
        let rank = self.counts.iter().rposition(|count| *count > 0)?;
        let owners = self.owners[rank].iter();
        let crowd = owners
            .max_by_key(|(_, count)| **count)
            .map(|(owner, _)| owner);
        let lines = self.classes[rank].values().flatten();
        let theirs = lines.filter(|(_, waiting)| waiting.request.owner() == crowd);
        theirs.map(|(place, _)| *place).max().map(|place| place.1)
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
