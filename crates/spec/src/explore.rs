//! Exhaustive breadth-first exploration of a model with `pathfinding`. A violation is reported with
//! a shortest trace.

use pathfinding::prelude::bfs;
use std::collections::BTreeSet;
use std::fmt;
use std::hash::Hash;

/// A model: its configuration, initial state, transitions and properties.
pub struct Model<C, W, E> {
    /// Bounds, faults, and the removed guard, if any.
    pub config: C,
    /// The initial state.
    pub start: W,
    /// The events that are possible in a state, each with the state that it leads to.
    pub next: fn(&C, &W) -> Vec<(E, W)>,
    /// Text for an event in the state in which it happens.
    pub describe: fn(&C, &W, &E) -> String,
    /// The property that a state violates, if any.
    pub violation: fn(&C, &W) -> Option<&'static str>,
    /// Coverage markers of a state, so that a check that never reaches the relevant states fails.
    pub coverage: fn(&C, &W) -> Vec<&'static str>,
}

/// The path to a violation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Trace {
    /// The violated property.
    pub property: &'static str,
    /// The events, in order.
    pub events: Vec<String>,
}

/// The result of an exploration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// States whose successors were generated.
    pub states: usize,
    /// Whether all states within the bounds were explored; false after a violation.
    pub complete: bool,
    /// The coverage markers of all explored states.
    pub covered: BTreeSet<&'static str>,
    /// The violation with the shortest trace, if any.
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
    /// Explores until a violation, the end, or `max_states` states.
    pub fn check(&self, max_states: usize) -> Report {
        let mut states = 0;
        let mut covered = BTreeSet::new();
        let successors = |world: &W| {
            states += 1;
            covered.extend((self.coverage)(&self.config, world));
            let next = if states <= max_states {
                (self.next)(&self.config, world)
            } else {
                Vec::new()
            };
            next.into_iter().map(|(_, world)| world)
        };
        let violated = |world: &W| (self.violation)(&self.config, world).is_some();
        let path = bfs(&self.start, successors, violated);
        Report {
            complete: path.is_none() && states <= max_states,
            states,
            covered,
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
