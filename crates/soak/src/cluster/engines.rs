//! Engines of a run: they start, limit their requests, leave, crash, are replaced and follow orders.

use std::net::Ipv4Addr;
use std::time::Duration;

use platform_standin::engine::Behaviour;
use platform_standin::{Cut, Engine};
use serde_json::json;
use tokio::time::Instant;

use super::{Cluster, ENGINE_TOPIC, EngineNode, FATAL_PART, FATAL_PATH, INITIAL_SOFTWARE};
use crate::check;
use crate::history::{Leaving, Pauses, RateLimit};
use crate::plan::{LinkState, PAUSE, UPGRADED};
use crate::proxy::Proxy;

/// Service, stage and software version of an engine that is to be replaced.
type Replaced = (&'static str, Option<&'static str>, &'static str);

/// Interval between events, long enough that streams are open whenever a fault begins.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// Time until the record of a crashed engine expires.
const RECORD_LIFETIME: Duration = Duration::from_millis(1_200);
/// Nesting of an entry of another writer.
const FOREIGN_DEPTH: usize = 20_000;

impl Cluster {
    pub(super) fn announce_rate_limit(&self, number: usize, rate: u32) {
        let from = self.callers_started.get().elapsed();
        self.with_engine(number, |node| {
            node.engine
                .announce_limit(Some(&(f64::from(rate) / 10.0).to_string()));
            self.history.borrow_mut().rate_limits.push(RateLimit {
                engine: node.engine.id.clone(),
                per_ten_seconds: rate,
                from,
                until: Duration::MAX,
            });
        });
    }

    pub(super) fn withdraw_rate_limit(&self, number: usize) {
        let until = self.callers_started.get().elapsed();
        self.with_engine(number, |node| {
            node.engine.announce_limit(None);
            let mut history = self.history.borrow_mut();
            let limits = history.rate_limits.iter_mut();
            for limit in limits.filter(|limit| limit.engine == node.engine.id) {
                limit.until = limit.until.min(until);
            }
        });
    }

    pub(super) fn ask_for_pauses(&self, number: usize) {
        let from = self.callers_started.get().elapsed();
        self.with_engine(number, |node| {
            node.engine.set_behaviour(Behaviour::Full);
            node.engine
                .request_pause(Some(&PAUSE.as_secs_f64().to_string()));
            self.history.borrow_mut().pauses.push(Pauses {
                engine: node.engine.id.clone(),
                from,
                until: Duration::MAX,
                length: PAUSE,
            });
        });
    }

    pub(super) fn end_pauses(&self, number: usize) {
        let until = self.callers_started.get().elapsed();
        self.with_engine(number, |node| {
            node.engine.set_behaviour(Behaviour::Run);
            node.engine.request_pause(None);
            let mut history = self.history.borrow_mut();
            let pauses = history.pauses.iter_mut();
            for pauses in pauses.filter(|pauses| pauses.engine == node.engine.id) {
                pauses.until = pauses.until.min(until);
            }
        });
    }

    pub(super) fn with_engine(&self, number: usize, change: impl FnOnce(&mut EngineNode)) {
        change(&mut self.engines.borrow_mut()[number]);
    }

    /// Marks an engine as having left. Returns its service, stage and software version unless it had left
    /// before.
    fn mark_left(&self, number: usize) -> Option<Replaced> {
        let node = &mut self.engines.borrow_mut()[number];
        if std::mem::replace(&mut node.has_left, true) {
            return None;
        }
        Some((node.service, node.stage, node.software))
    }

    /// Announces that an engine drains, and replaces it by one of the same software version or another.
    pub(super) async fn drain_engine(&self, number: usize, upgrade: Option<&'static str>) {
        if let Some((service, stage, software)) = self.mark_left(number) {
            let software = upgrade.unwrap_or(software);
            self.add_engine(service, stage, software).await;
            self.with_engine(number, |node| {
                let engine = &node.engine;
                engine.register_at(node.link.address, &self.store, service, "draining", stage);
                node.recorded_state = Some("draining");
                engine.announce_leaving();
                self.history.borrow_mut().leavings.push(Leaving {
                    engine: engine.id.clone(),
                    at: self.callers_started.get().elapsed(),
                });
            });
        }
    }

    /// Replaces all engines of the upgraded software version by ones of the version before.
    pub(super) async fn roll_back(&self) {
        let upgraded: Vec<usize> = {
            let engines = self.engines.borrow();
            let engines = engines.iter().enumerate();
            let upgraded = engines.filter(|(_, node)| node.software == UPGRADED && !node.has_left);
            upgraded.map(|(number, _)| number).collect()
        };
        for &number in &upgraded {
            self.drain_engine(number, Some(INITIAL_SOFTWARE)).await;
        }
        *self.rolled_back.borrow_mut() = upgraded;
    }

    pub(super) async fn crash_engine(&self, number: usize) {
        if let Some((service, stage, software)) = self.mark_left(number) {
            self.with_engine(number, |node| node.link.set(LinkState::Reset));
            self.add_engine(service, stage, software).await;
        }
    }

    /// Makes every second engine for generation silent for all gateways at once, and replaces it.
    pub(super) async fn end_together(&self) {
        let sources = self.instances.iter();
        let sources: Vec<Ipv4Addr> = sources
            .map(|instance| instance.gateway.borrow().ip)
            .collect();
        let ending: Vec<usize> = {
            let engines = self.engines.borrow();
            let living = engines
                .iter()
                .enumerate()
                .filter(|(_, node)| node.service == "pool" && !node.has_left);
            let numbers = living.map(|(number, _)| number);
            numbers.step_by(2).collect()
        };
        let mut replaced = Vec::new();
        for &number in &ending {
            replaced.extend(self.mark_left(number));
            self.with_engine(number, |node| node.link.cut_off(&sources, Cut::Silent));
        }
        *self.ended_together.borrow_mut() = ending;
        for (service, stage, software) in replaced {
            self.add_engine(service, stage, software).await;
        }
    }

    /// Ends an engine and registers a restart under its name, which gateways must tell from the old
    /// one.
    pub(super) async fn restart_engine(&self, number: usize) {
        let Some((service, stage, software)) = self.mark_left(number) else {
            return;
        };
        let id = self.engines.borrow()[number].engine.id.clone();
        // The new start has asked for nothing.
        self.end_pauses(number);
        self.with_engine(number, |node| {
            if !node.engine.has_stopped() {
                node.link.set(LinkState::Reset);
            }
        });
        // From now on the record under its name is that of the restarted engine.
        self.engines.borrow_mut()[number].is_replaced = true;
        // The position in the list is the start timestamp, so that a restart has a later one.
        let timestamp = self.engines.borrow().len() as u64;
        let engine = Engine::start_with_timestamp(&id, timestamp).await;
        self.register_engine(engine, service, stage, software).await;
    }

    /// Replaces engines that a call has crashed: those with an even index under the same name, the
    /// others under new names.
    pub async fn replace_ended_engines(&self) {
        let is_ended = |node: &EngineNode| node.engine.has_stopped() && !node.has_left;
        let ended: Vec<usize> = {
            let nodes = self.engines.borrow();
            let ended = nodes.iter().enumerate();
            let ended = ended.filter(|(_, node)| is_ended(node));
            ended.map(|(number, _)| number).collect()
        };
        for number in ended {
            let at = self.callers_started.get().elapsed();
            self.history.borrow_mut().engine_ends.push(at);
            self.with_engine(number, |node| node.link.set(LinkState::Refuse));
            if number.is_multiple_of(2) {
                self.restart_engine(number).await;
            } else if let Some((service, stage, software)) = self.mark_left(number) {
                self.add_engine(service, stage, software).await;
                let lapse = (Instant::now() + RECORD_LIFETIME, number);
                self.expiring_records.borrow_mut().push(lapse);
            }
        }
        let now = Instant::now();
        let (due, rest) = {
            let records = self.expiring_records.take();
            records.into_iter().partition(|(at, _)| *at <= now)
        };
        let due: Vec<(Instant, usize)> = due;
        self.expiring_records.replace(rest);
        for (_, number) in due {
            self.unregister(number);
        }
    }

    /// Writes entries that no engine writes: some that hold no readable key, one that is deeply nested, and
    /// one under a key of its own and over an engine's record.
    pub(super) fn write_foreign_records(&self, number: usize) {
        let entry = json!({ "service": "app", "address": [10, 0, 0, 1], "state": "resting" });
        for content in [&b""[..], b"\x09", b"\x02\xff\xfe{}"] {
            self.store.put_record(ENGINE_TOPIC, content.to_vec());
        }
        let nested = "[".repeat(FOREIGN_DEPTH);
        self.store
            .put_bytes(ENGINE_TOPIC, "a b#", nested.as_bytes());
        self.store.put(ENGINE_TOPIC, "foreign", Some(&entry));
        self.with_engine(number, |node| {
            if !node.has_left {
                self.store.put(ENGINE_TOPIC, &node.engine.id, Some(&entry));
            }
        });
    }

    /// Makes an engine write its record again, as with each heartbeat.
    pub(super) fn write_engine_record(&self, number: usize) {
        self.with_engine(number, |node| {
            if !node.has_left {
                let address = node.link.address;
                node.engine
                    .register_at(address, &self.store, node.service, "ready", node.stage);
            }
        });
    }

    /// Removes an engine's record, unless it is that of a restart under the same name by now.
    pub(super) fn unregister(&self, number: usize) {
        self.with_engine(number, |node| {
            if node.is_replaced {
                return;
            }
            node.recorded_state = None;
            self.store.put(ENGINE_TOPIC, &node.engine.id, None);
        });
    }

    /// Makes engines follow their latest orders.
    pub(super) fn apply_orders(&self) {
        for node in self
            .engines
            .borrow_mut()
            .iter_mut()
            .filter(|node| !node.has_left)
        {
            let Some(order) = node.engine.orders().pop() else {
                continue;
            };
            let stage = if order.stage == "prefill" {
                "prefill"
            } else {
                "decode"
            };
            if node.stage != Some(stage) {
                node.stage = Some(stage);
                let (address, service) = (node.link.address, node.service);
                node.engine
                    .register_at(address, &self.store, service, "ready", node.stage);
            }
        }
    }

    pub(super) async fn add_engine(
        &self,
        service: &'static str,
        stage: Option<&'static str>,
        software: &'static str,
    ) {
        let id = format!("{service}-{}", self.engines.borrow().len());
        let engine = Engine::start(&id).await;
        self.register_engine(engine, service, stage, software).await;
    }

    /// Puts an engine behind its own proxy and registers it.
    async fn register_engine(
        &self,
        engine: Engine,
        service: &'static str,
        stage: Option<&'static str>,
        software: &'static str,
    ) {
        engine.set_software(software);
        engine.set_stream(check::STREAM_EVENTS, EVENT_INTERVAL);
        engine.end_on_path(FATAL_PATH);
        engine.end_on_part(FATAL_PART);
        engine.set_framing(self.framing.get());
        let link = Proxy::start(engine.address).await;
        self.cut_off(&link);
        engine.register_at(link.address, &self.store, service, "ready", stage);
        self.engines.borrow_mut().push(EngineNode {
            engine,
            link,
            service,
            stage,
            software,
            has_left: false,
            recorded_state: Some("ready"),
            is_replaced: false,
        });
    }
}
