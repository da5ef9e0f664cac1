//! Role planning by the holder.

use std::sync::Arc;
use std::time::Duration;

use clock::Clock as _;

use crate::fleet::{Fleet, document, view};

const CATALOGUE: &str = "
operator: ana
changes:
  - kind: pool
    name: llm
    value:
      kind: engine
      roles: {mixed: {min: 1, max: 3, initial: 3}, prefill: {min: 0, max: 2, initial: 0}}
      role_change: {price: 0.1, takes: 200ms}
      planner: gain
";

/// Number of polls, 50 ms apart, for an order among the recent ones.
const MAX_POLLS: usize = 200;

// Callers of an entry that is not the holder send more prompts than the pool can prefill. If the
// planner considered the demand at its own entry only, the pool would keep its roles although
// others would serve far more.
#[actix_rt::test]
async fn demand_at_another_entry_changes_roles() {
    let fleet = Fleet::start(&[]).await;
    for engine in ["engine-0", "engine-1", "engine-2"] {
        let options = ["--instant", "--role-change-ms", "500"];
        fleet.engine(engine, &options).await;
    }
    let one = fleet.entry(fleet.member("entry-0")).await;
    one.submit_edit(&document(CATALOGUE))
        .await
        .expect("it is valid");
    let two = fleet.entry(fleet.member("entry-1")).await;
    view(&two, |view| view.ready).await;
    let (caller, pool) = (two.clone(), Arc::from("llm"));
    let calls = actix_rt::spawn(async move {
        let clock = fleet.clock();
        loop {
            // Slightly more than three mixed engines can prefill at their reported rates, and less
            // than two of them and a prefill engine can.
            caller.record_demand(clock.now(), &pool, 250_000, 100);
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
    });
    let changed = |view: &control::View| {
        let roles = view.upstreams.iter().map(|one| one.role);
        roles
            .filter(|role| *role == Some(platform::Role::Prefill))
            .count()
            > 0
    };
    view(&one, changed).await;
    calls.abort();
    // The engine shows its new role before the outcome of its order is read back from the log.
    let mut listed = false;
    for _ in 0..MAX_POLLS {
        let orders = one.orders().await.expect("it runs");
        let mut recent = orders.recent.iter();
        listed = recent.any(|order| order.what == "set_role prefill");
        if listed {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(listed);
}
