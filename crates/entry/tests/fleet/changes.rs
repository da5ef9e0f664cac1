//! Requests planned changes and checks their progress and results.

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use serde_json::{Value, json};

use super::{Caller, Fleet, LIMA, fault};

/// Longest wait for a change. It covers the removal of a dead entry, the wait of a challenger and
/// the quarantine at an engine that ignores fencing tokens, on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(90);

/// An order that sets a role.
pub(crate) fn set_role(engine: &str, role: &str) -> Value {
    json!({ "upstream": engine, "kind": "set_role", "role": role, "operator": "ana" })
}

/// An order that loads a model.
pub(crate) fn load_model(engine: &str, version: &str) -> Value {
    json!({ "upstream": engine, "kind": "load_model", "model": "llm", "version": version,
            "adapter": "", "operator": "ana" })
}

/// Like [`super::eventually`], with a longer time-out, and reports the last state on failure.
pub(crate) async fn wait_until(what: &str, mut look: impl AsyncFnMut() -> Result<(), Value>) {
    let started = Instant::now();
    while let Err(seen) = look().await {
        let waited = started.elapsed();
        assert!(
            waited < TIMEOUT,
            "timed out waiting for: {what}; last state {seen:#}"
        );
        sleep(Duration::from_millis(30)).await;
    }
}

impl Fleet {
    /// Starts meshed entries and engines at which streams last a second or two; also returns a
    /// caller for each entry.
    pub(crate) async fn for_changes(engines: usize, entries: usize) -> (Self, Vec<Caller>) {
        let mut fleet = Self::meshed(0, 0, entries).await;
        for _ in 0..engines {
            fleet.add_engine(&["--time-scale", "3"]).await;
        }
        fleet.ready().await;
        let callers = (0..entries).map(|n| fleet.caller(n, LIMA)).collect();
        (fleet, callers)
    }

    /// The status reported by an entry; null if there is none.
    pub(crate) async fn status(&self, entry: usize) -> Value {
        let answer = self.operator(entry).get("/admin/v1/status").await;
        answer.map_or(Value::Null, |answer| answer.json())
    }

    /// The orders reported by an entry; null if there are none.
    pub(crate) async fn orders(&self, entry: usize) -> Value {
        let answer = self.operator(entry).get("/admin/v1/orders").await;
        answer.map_or(Value::Null, |answer| answer.json())
    }

    /// Requests a planned change at an entry until the holder accepts it.
    pub(crate) async fn request_change(&self, entry: usize, order: &Value) {
        let operator = self.operator(entry);
        wait_until("the change is accepted", async || {
            let answer = operator.post("/admin/v1/orders", order.to_string()).await;
            let answer = answer.map_err(|error| json!(error.to_string()))?;
            if answer.status == 200 {
                return Ok(());
            }
            Err(answer.json())
        })
        .await;
    }

    /// The entry that holds the engines' pool with a valid lease, according to its own status.
    pub(crate) async fn holder(&self, among: &[usize]) -> usize {
        let mut found = None;
        wait_until("an entry holds the pool", async || {
            for entry in among {
                let status = self.status(*entry).await;
                let scopes = status["scopes"].as_array().cloned().unwrap_or_default();
                let acts = |scope: &Value| {
                    scope["scope"] == "llm-pool" && scope["lease_ms"].as_u64() > Some(0)
                };
                if scopes.iter().any(acts) {
                    found = Some(*entry);
                    return Ok(());
                }
            }
            Err(Value::Null)
        })
        .await;
        found.unwrap()
    }

    /// Waits until an entry reports an order for an engine at one of these steps, and returns it.
    pub(crate) async fn at_step(&self, entry: usize, engine: &str, steps: &[&str]) -> Value {
        let mut found = Value::Null;
        wait_until(&format!("{engine} at {steps:?}"), async || {
            let orders = self.orders(entry).await;
            let unresolved = orders["unresolved"].as_array().cloned();
            let order = unresolved.unwrap_or_default().into_iter().find(|order| {
                order["upstream"] == engine
                    && order["order"] != 0
                    && steps.iter().any(|step| order["step"] == *step)
            });
            found = order.ok_or(orders)?;
            Ok(())
        })
        .await;
        found
    }

    /// Waits until an entry reports `count` concluded orders of an engine and none unresolved;
    /// returns their verdicts, the latest first.
    pub(crate) async fn concluded(&self, entry: usize, engine: &str, count: usize) -> Vec<String> {
        let mut ends = Vec::new();
        wait_until(
            &format!("{count} concluded orders of {engine}"),
            async || {
                let orders = self.orders(entry).await;
                let of = |list: &str| {
                    let all = orders[list].as_array().cloned().unwrap_or_default();
                    let of = all.into_iter().filter(|order| order["upstream"] == engine);
                    of.collect::<Vec<_>>()
                };
                let recent = of("recent");
                let step = |order: &Value| order["step"].as_str().unwrap().to_owned();
                ends = recent.iter().map(step).collect();
                let over = orders.is_object() && of("unresolved").is_empty();
                if over && ends.len() >= count {
                    Ok(())
                } else {
                    Err(orders)
                }
            },
        )
        .await;
        ends
    }

    /// Waits until these entries may send new work to an engine.
    pub(crate) async fn wait_live(&self, entries: &[usize], engine: &str) {
        for entry in entries {
            self.upstream_state(*entry, engine, "live").await;
        }
    }

    /// Waits until an entry reports an upstream in this state.
    pub(crate) async fn upstream_state(&self, entry: usize, id: &str, state: &str) {
        wait_until(&format!("{id} is {state} at {entry}"), async || {
            let status = self.status(entry).await;
            let upstreams = status["upstreams"].as_array().cloned().unwrap_or_default();
            let is = |one: &Value| one["id"] == id && one["state"] == state;
            if upstreams.iter().any(is) {
                Ok(())
            } else {
                Err(json!(upstreams))
            }
        })
        .await;
    }

    /// A client for an engine by its id; `engine-1` is the first.
    fn engine(&self, id: &str) -> Caller {
        let number: usize = id.rsplit('-').next().unwrap().parse().unwrap();
        Caller::new(&self.engines[number - 1].address, "")
    }

    /// State reported by an engine.
    pub(crate) async fn engine_state(&self, id: &str) -> Value {
        self.engine(id).get("/engine/state").await.unwrap().json()
    }

    /// Counts of the orders at an engine since its start.
    pub(crate) async fn order_counts(&self, id: &str) -> Value {
        self.engine(id).get("/standin/orders").await.unwrap().json()
    }

    /// Sends an order directly to an engine; returns the status of its answer.
    pub(crate) async fn stray_order(&self, id: &str, order: &Value) -> u16 {
        let engine = self.engine(id);
        let answer = engine.post("/engine/orders", order.to_string()).await;
        answer.unwrap().status
    }

    /// Asserts that an engine has started `count` orders since its start and that they interrupted
    /// no stream.
    pub(crate) async fn assert_orders_begun(&self, id: &str, count: usize) {
        let order_counts = self.order_counts(id).await;
        assert_eq!(
            order_counts["begun"].as_array().unwrap().len(),
            count,
            "{order_counts}"
        );
        assert_eq!(
            order_counts["cut"], 0,
            "{id} interrupted streams: {order_counts}"
        );
    }

    /// Removes an instance from the list, as the platform does for one that is gone.
    pub(crate) async fn unlist(&self, id: &str) {
        let platform = Caller::new(&self.platform.address, "");
        let request = platform.request("DELETE", &format!("/instances/{id}"));
        let answer = platform.send(request, Vec::new()).await.unwrap();
        assert!(answer.status < 300, "{answer:?}");
    }

    /// Sets fault switches of the log.
    pub(crate) async fn log(&self, switches: Value) {
        fault(&self.platform, switches).await;
    }
}
