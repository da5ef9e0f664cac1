//! Rules that decide which upstreams get new work from this entry.

use std::collections::{BTreeMap, BTreeSet};

use clock::Moment;
use smallvec::SmallVec;

use crate::health::{self, Health};
use crate::list::{Instance, Kind, View};
use crate::upstream::{Input, Observation, Output, Outputs, State, Upstream};
use crate::{Id, Offset};

/// All upstreams that this entry knows, by id.
///
/// Orders and drains are also kept for upstreams that are not listed yet: the log and the list are
/// read independently, and an order must close its upstream as soon as that is listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstreams {
    settings: health::Settings,
    upstreams: BTreeMap<Id, Upstream>,
    orders: BTreeMap<Offset, Id>,
    drains: BTreeSet<Id>,
    list_was_read: bool,
}

impl Upstreams {
    /// Starts without upstreams.
    pub fn new(settings: health::Settings) -> Self {
        Self {
            settings,
            upstreams: BTreeMap::new(),
            orders: BTreeMap::new(),
            drains: BTreeSet::new(),
            list_was_read: false,
        }
    }

    /// Processes one input and returns the resulting outputs.
    pub fn step(&mut self, now: Moment, input: Input<'_>) -> Outputs {
        let mut outputs = Outputs::new();
        match input {
            Input::List(view) => self.read_list(now, view, &mut outputs),
            Input::Drains(drains) => {
                self.drains = drains.iter().cloned().collect();
                self.update_closings(&mut outputs);
            }
            Input::Close { order, upstream } => {
                self.orders.insert(order, upstream.to_owned());
                self.update_closings(&mut outputs);
            }
            Input::Open { order } => {
                self.orders.remove(&order);
                self.update_closings(&mut outputs);
            }
            Input::Attempt {
                upstream,
                observation,
            } => self.record_attempt(now, upstream, observation, &mut outputs),
            Input::Probe {
                upstream,
                observation,
            } => self.record_probe(now, upstream, observation, &mut outputs),
            Input::Tick => self.tick(now, &mut outputs),
        }
        outputs
    }

    /// The upstream with this id.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// All upstreams, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Upstreams of a pool that take new work, each with its share of work from 0 to 1.
    pub fn live(&self, now: Moment, pool: &str) -> impl Iterator<Item = (&Upstream, f64)> {
        self.upstreams
            .values()
            .filter(move |upstream| upstream.pool == pool && upstream.takes_work())
            .map(move |upstream| (upstream, upstream.health.share(now, &self.settings)))
    }

    /// Updates the states at once, so that a leaving upstream gets no new work from this moment
    /// on.
    fn read_list(&mut self, now: Moment, view: &View, outputs: &mut Outputs) {
        if view.read_at().is_none() {
            return;
        }
        for upstream in self.upstreams.values_mut() {
            upstream.listed = None;
        }
        for line in view.iter().filter(|line| line.kind != Kind::Entry) {
            self.apply_instance(now, line, outputs);
        }
        self.list_was_read = true;
        self.update_closings(outputs);
    }

    fn apply_instance(&mut self, now: Moment, instance: &Instance, outputs: &mut Outputs) {
        let Some(upstream) = self.upstreams.get_mut(&instance.id) else {
            let upstream = self.new_upstream(now, instance);
            outputs.push(Output::Changed {
                id: instance.id.clone(),
                was: None,
                state: upstream.state,
            });
            self.upstreams.insert(instance.id.clone(), upstream);
            return;
        };
        if upstream.address != instance.address {
            // Another process under the same id: the health of the previous one does not apply.
            upstream.health = Health::default();
            upstream.health.begin_slow_start(now);
        }
        upstream.kind = instance.kind;
        upstream.pool.clone_from(&instance.pool);
        upstream.data_centre.clone_from(&instance.data_centre);
        upstream.address.clone_from(&instance.address);
        upstream.listed = Some(instance.mark);
        upstream.listed_at = now;
    }

    fn new_upstream(&self, now: Moment, instance: &Instance) -> Upstream {
        let mut health = Health::default();
        // At the first reading all upstreams are new to this entry, but not cold.
        if self.list_was_read {
            health.begin_slow_start(now);
        }
        let mut upstream = Upstream {
            id: instance.id.clone(),
            kind: instance.kind,
            pool: instance.pool.clone(),
            data_centre: instance.data_centre.clone(),
            address: instance.address.clone(),
            state: State::Gone,
            listed: Some(instance.mark),
            drained: self.drains.contains(&instance.id),
            orders: closing_orders(&self.orders, &instance.id),
            health,
            listed_at: now,
        };
        upstream.state = upstream.derive_state();
        upstream
    }

    fn update_closings(&mut self, outputs: &mut Outputs) {
        for upstream in self.upstreams.values_mut() {
            upstream.drained = self.drains.contains(&upstream.id);
            upstream.orders = closing_orders(&self.orders, &upstream.id);
            update_state(upstream, outputs);
        }
    }

    fn record_attempt(
        &mut self,
        now: Moment,
        id: &str,
        observation: Observation,
        outputs: &mut Outputs,
    ) {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return;
        };
        upstream.health.record_attempt(observation);
        if upstream.health.ejected() {
            return;
        }
        // The median takes a pass over the pool, so slowness is left to the tick.
        let Some(cause) = upstream.health.ejection_cause(None, &self.settings) else {
            return;
        };
        self.eject(now, id, cause, outputs);
    }

    /// Ejects the upstream unless too large a fraction of its pool would be ejected.
    ///
    /// Without the bound, a fault behind all upstreams, such as a broken store, would eject the
    /// whole pool and turn slow responses or errors into an outage.
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
            update_state(upstream, outputs);
        }
    }

    fn record_probe(
        &mut self,
        now: Moment,
        id: &str,
        observation: Observation,
        outputs: &mut Outputs,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream
                .health
                .record_probe(now, observation, &self.settings);
            update_state(upstream, outputs);
        }
    }

    fn tick(&mut self, now: Moment, outputs: &mut Outputs) {
        for id in self.slow_upstreams() {
            self.eject(now, &id, health::Cause::Slow, outputs);
        }
        for upstream in self.upstreams.values_mut() {
            if upstream.listed.is_some() && upstream.health.take_due_probe(now, &self.settings) {
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

    /// Upstreams that are much slower than their pool's median.
    fn slow_upstreams(&self) -> Vec<Id> {
        let mut latencies: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for upstream in self.upstreams.values().filter(|one| one.takes_work()) {
            if let Some(latency) = upstream.health.smoothed_ttfb(&self.settings) {
                latencies.entry(&upstream.pool).or_default().push(latency);
            }
        }
        for pool in latencies.values_mut() {
            pool.sort_by(f64::total_cmp);
        }
        let is_slow = |upstream: &&Upstream| {
            let median = latencies
                .get(upstream.pool.as_str())
                .and_then(|latencies| latencies.get((latencies.len() - 1) / 2).copied());
            upstream.takes_work()
                && upstream.health.ejection_cause(median, &self.settings)
                    == Some(health::Cause::Slow)
        };
        self.upstreams
            .values()
            .filter(is_slow)
            .map(|upstream| upstream.id.clone())
            .collect()
    }
}

fn closing_orders(orders: &BTreeMap<Offset, Id>, id: &str) -> SmallVec<[Offset; 2]> {
    let closing = orders.iter().filter(|(_, upstream)| *upstream == id);
    closing.map(|(order, _)| *order).collect()
}

fn update_state(upstream: &mut Upstream, outputs: &mut Outputs) {
    let state = upstream.derive_state();
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
