//! Exhaustive breadth-first exploration of a model, by `pathfinding`. The first state that violates
//! a property is reached by a shortest trace.

use pathfinding::prelude::bfs;
use std::collections::BTreeSet;
use std::fmt;
use std::hash::Hash;

/// A model: a configuration, a first state, what can happen in a state, and what must not hold.
pub struct Model<C, W, E> {
    /// Bounds, faults, and the guard that is removed, if any.
    pub config: C,
    /// The first state.
    pub start: W,
    /// What can happen next, and what it leads to.
    pub next: fn(&C, &W) -> Vec<(E, W)>,
    /// An event in words, in the state in which it happens.
    pub describe: fn(&C, &W, &E) -> String,
    /// The property that a state violates.
    pub violation: fn(&C, &W) -> Option<&'static str>,
    /// What a state shows, so that a check that never gets to the matter is found out.
    pub shows: fn(&C, &W) -> Vec<&'static str>,
}

/// The way to a violation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Trace {
    /// The property.
    pub property: &'static str,
    /// The events, in order.
    pub events: Vec<String>,
}

/// What an exploration found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// States whose successors were generated.
    pub states: usize,
    /// Whether all states within the bounds were explored; not so after a violation.
    pub complete: bool,
    /// What was seen on the way.
    pub seen: BTreeSet<&'static str>,
    /// The shortest violation.
    pub violation: Option<Trace>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let extent = if self.complete { "all" } else { "not all" };
        write!(f, "{} states ({extent} within the bounds)", self.states)?;
        let Some(trace) = &self.violation else {
            return write!(f, ", no violation");
        };
        writeln!(f, ", violated: {}", trace.property)?;
        for (number, event) in trace.events.iter().enumerate() {
            writeln!(f, "{:>4}  {event}", number + 1)?;
        }
        Ok(())
    }
}

impl<C, W, E> Model<C, W, E>
where
    W: Clone + Eq + Hash,
{
    /// Explores until a violation, the end, or `limit` states.
    pub fn check(&self, limit: usize) -> Report {
        let mut states = 0;
        let mut seen = BTreeSet::new();
        let successors = |world: &W| {
            states += 1;
            seen.extend((self.shows)(&self.config, world));
            let next = if states <= limit {
                (self.next)(&self.config, world)
            } else {
                Vec::new()
            };
            next.into_iter().map(|(_, world)| world)
        };
        let violated = |world: &W| (self.violation)(&self.config, world).is_some();
        let path = bfs(&self.start, successors, violated);
        Report {
            complete: path.is_none() && states <= limit,
            states,
            seen,
            violation: path.map(|path| self.trace(&path)),
        }
    }

    fn trace(&self, path: &[W]) -> Trace {
        let last = path.last().unwrap_or(&self.start);
        let steps = path.windows(2).filter_map(|pair| {
            let next = (self.next)(&self.config, &pair[0]).into_iter();
            let mut leading = next.filter(|(_, world)| *world == pair[1]);
            let (event, _) = leading.next()?;
            Some((self.describe)(&self.config, &pair[0], &event))
        });
        Trace {
            property: (self.violation)(&self.config, last).unwrap_or_default(),
            events: steps.collect(),
        }
    }
}
