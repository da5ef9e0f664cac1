//! The rules of the upstreams: who gets new work from this entry.

use std::collections::{BTreeMap, BTreeSet};

use clock::Moment;
use smallvec::SmallVec;

use crate::health::{self, Health};
use crate::list::{Instance, Kind, View};
use crate::upstream::{Input, Observation, Output, Outputs, State, Upstream};
use crate::{Id, Offset};

/// All upstreams that this entry knows, by id.
///
/// Orders and drains stand here also for upstreams that the list does not show yet: the log and
/// the list are read apart from each other, and an order must close its upstream from the moment
/// at which it is listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstreams {
    settings: health::Settings,
    upstreams: BTreeMap<Id, Upstream>,
    orders: BTreeMap<Offset, Id>,
    drains: BTreeSet<Id>,
    filled: bool,
}

impl Upstreams {
    /// No upstream known yet.
    pub fn new(settings: health::Settings) -> Self {
        Self {
            settings,
            upstreams: BTreeMap::new(),
            orders: BTreeMap::new(),
            drains: BTreeSet::new(),
            filled: false,
        }
    }

    /// Takes one input in and says what is to be done.
    pub fn step(&mut self, now: Moment, input: Input<'_>) -> Outputs {
        let mut outputs = Outputs::new();
        match input {
            Input::List(view) => self.read_list(now, view, &mut outputs),
            Input::Drains(drains) => {
                self.drains = drains.iter().cloned().collect();
                self.mark_closings(&mut outputs);
            }
            Input::Close { order, upstream } => {
                self.orders.insert(order, upstream.to_owned());
                self.mark_closings(&mut outputs);
            }
            Input::Open { order } => {
                self.orders.remove(&order);
                self.mark_closings(&mut outputs);
            }
            Input::Attempt {
                upstream,
                observation,
            } => self.observe(now, upstream, observation, &mut outputs),
            Input::Probe {
                upstream,
                observation,
            } => self.probed(now, upstream, observation, &mut outputs),
            Input::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    /// The upstream with this id.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// All upstreams, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// The upstreams of a pool that take new work, with the share of work that each should get,
    /// from 0 to 1.
    pub fn live(&self, now: Moment, pool: &str) -> impl Iterator<Item = (&Upstream, f64)> {
        self.upstreams
            .values()
            .filter(move |upstream| upstream.pool == pool && upstream.takes_work())
            .map(move |upstream| (upstream, upstream.health.share(now, &self.settings)))
    }

    /// The state is judged at once on reading, so that a leaving upstream gets no new work from
    /// this moment on.
    fn read_list(&mut self, now: Moment, view: &View, outputs: &mut Outputs) {
        if view.read_at().is_none() {
            return;
        }
        for upstream in self.upstreams.values_mut() {
            upstream.listed = None;
        }
        for line in view.iter().filter(|line| line.kind != Kind::Entry) {
            self.take_line(now, line, outputs);
        }
        self.filled = true;
        self.mark_closings(outputs);
    }

    fn take_line(&mut self, now: Moment, line: &Instance, outputs: &mut Outputs) {
        let Some(upstream) = self.upstreams.get_mut(&line.id) else {
            let upstream = self.new_upstream(now, line);
            outputs.push(Output::Changed {
                id: line.id.clone(),
                was: None,
                state: upstream.state,
            });
            self.upstreams.insert(line.id.clone(), upstream);
            return;
        };
        if upstream.address != line.address {
            // Another process under the same id: what was seen of the former says nothing.
            upstream.health = Health::default();
            upstream.health.start(now);
        }
        upstream.kind = line.kind;
        upstream.pool.clone_from(&line.pool);
        upstream.data_centre.clone_from(&line.data_centre);
        upstream.address.clone_from(&line.address);
        upstream.listed = Some(line.mark);
        upstream.listed_at = now;
    }

    fn new_upstream(&self, now: Moment, line: &Instance) -> Upstream {
        let mut health = Health::default();
        // At the first reading all are new to this entry, and none is cold because of that.
        if self.filled {
            health.start(now);
        }
        let mut upstream = Upstream {
            id: line.id.clone(),
            kind: line.kind,
            pool: line.pool.clone(),
            data_centre: line.data_centre.clone(),
            address: line.address.clone(),
            state: State::Gone,
            listed: Some(line.mark),
            drained: self.drains.contains(&line.id),
            orders: orders_of(&self.orders, &line.id),
            health,
            listed_at: now,
        };
        upstream.state = upstream.judge();
        upstream
    }

    fn mark_closings(&mut self, outputs: &mut Outputs) {
        for upstream in self.upstreams.values_mut() {
            upstream.drained = self.drains.contains(&upstream.id);
            upstream.orders = orders_of(&self.orders, &upstream.id);
            judge(upstream, outputs);
        }
    }

    fn observe(&mut self, now: Moment, id: &str, observation: Observation, outputs: &mut Outputs) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.health.observe(observation);
        if upstream.health.ejected() {
            return;
        }
        // The median of the pool costs a pass over it, so it is left to the tick.
        let Some(cause) = upstream.health.fault(None, &self.settings) else {
            return;
        };
        self.eject(now, id, cause, outputs);
    }

    /// Ejects the upstream unless the pool would lose more than its fraction.
    ///
    /// Symptom without the bound: a fault behind all upstreams, such as a broken store, ejects
    /// the whole pool and turns slow answers or errors into an outage.
    fn eject(&mut self, now: Moment, id: &str, cause: health::Cause, outputs: &mut Outputs) {
        let Some(pool) = self.upstreams.get(id).map(|upstream| upstream.pool.clone()) else {
            return;
        };
        let in_use = |upstream: &&Upstream| {
            upstream.pool == pool && matches!(upstream.state, State::Live | State::Ejected)
        };
        let size = self.upstreams.values().filter(in_use).count();
        let ejected = self
            .upstreams
            .values()
            .filter(in_use)
            .filter(|upstream| upstream.health.ejected())
            .count();
        if (ejected + 1) as f64 > size as f64 * self.settings.max_ejected_fraction {
            outputs.push(Output::EjectionWithheld { id: id.to_owned() });
            return;
        }
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.health.eject(now, cause, &self.settings);
            judge(upstream, outputs);
        }
    }

    fn probed(&mut self, now: Moment, id: &str, observation: Observation, outputs: &mut Outputs) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.health.probed(now, observation, &self.settings);
            judge(upstream, outputs);
        }
    }

    fn tick(&mut self, now: Moment, outputs: &mut Outputs) {
        for id in self.slow() {
            self.eject(now, &id, health::Cause::Slow, outputs);
        }
        for upstream in self.upstreams.values_mut() {
            if upstream.listed.is_some() && upstream.health.take_probe(now, &self.settings) {
                outputs.push(Output::Probe {
                    id: upstream.id.clone(),
                    address: upstream.address.clone(),
                });
            }
        }
        let forget_after = self.settings.forget_after;
        self.upstreams.retain(|id, upstream| {
            let keep = upstream.state != State::Gone
                || now.saturating_sub(upstream.listed_at) < forget_after;
            if !keep {
                outputs.push(Output::Forgotten { id: id.clone() });
            }
            keep
        });
    }

    /// The upstreams that are much slower than the median of their pool.
    fn slow(&self) -> Vec<Id> {
        let mut paces: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for upstream in self.upstreams.values().filter(|one| one.takes_work()) {
            if let Some(pace) = upstream.health.smoothed_ttfb(&self.settings) {
                paces.entry(&upstream.pool).or_default().push(pace);
            }
        }
        for pool in paces.values_mut() {
            pool.sort_by(f64::total_cmp);
        }
        let is_slow = |upstream: &&Upstream| {
            let median = paces
                .get(upstream.pool.as_str())
                .and_then(|paces| paces.get((paces.len() - 1) / 2).copied());
            upstream.takes_work()
                && upstream.health.fault(median, &self.settings) == Some(health::Cause::Slow)
        };
        self.upstreams
            .values()
            .filter(is_slow)
            .map(|upstream| upstream.id.clone())
            .collect()
    }
}

fn orders_of(orders: &BTreeMap<Offset, Id>, id: &str) -> SmallVec<[Offset; 2]> {
    let of_upstream = orders.iter().filter(|(_, upstream)| *upstream == id);
    of_upstream.map(|(order, _)| *order).collect()
}

fn judge(upstream: &mut Upstream, outputs: &mut Outputs) {
    let state = upstream.judge();
    if state == upstream.state {
        return;
    }
    outputs.push(Output::Changed {
        id: upstream.id.clone(),
        was: Some(upstream.state),
        state,
    });
    upstream.state = state;
}
