//! Orders to engines by a real gateway process.

mod harness;

use platform_standin::Engine;
use platform_standin::engine::Order;
use harness::{Gateway, wait_until};

const PREFILL: usize = 4;
const DECODE: usize = 10;

async fn engines(gateway: &Gateway) -> Vec<Engine> {
    let mut engines = Vec::new();
    for n in 0..PREFILL + DECODE {
        let engine = Engine::start(&format!("e{n}")).await;
        let stage = if n < PREFILL { "prefill" } else { "decode" };
        engine.register(&gateway.store, "pool", "ready", Some(stage));
        engines.push(engine);
    }
    engines
}

fn orders(engines: &[Engine]) -> Vec<Order> {
    let orders = engines.iter().map(Engine::orders);
    orders.flatten().collect()
}

/// Symptom: prompts wait while engines that generate are idle. Sequence: a fleet starts with a third of its
/// engines reading. Cause: no instance told any engine otherwise.
#[actix_rt::test]
async fn idle_engines_are_ordered_to_read_under_a_claim() {
    let gateway = Gateway::start_unconfigured().await;
    let engines = engines(&gateway).await;
    gateway.configure(1, "app");
    gateway.wait_until_ready(true).await;
    wait_until(async || orders(&engines).len() == 3).await;
    let orders = orders(&engines);
    for order in &orders {
        assert_eq!(order.stage, "prefill");
        assert_eq!(
            (&order.holder, order.fence),
            (&orders[0].holder, orders[0].fence)
        );
        assert!(order.fence > 0);
    }
    for engine in &engines {
        assert!(
            engine
                .orders()
                .iter()
                .all(|order| order.instance == engine.id)
        );
    }
}

/// Symptom: engines that change refuse the calls of the instance that ordered it. Sequence: it orders, and
/// places calls there before their records say that they change. Cause: an engine's record tells only
/// what it did before.
#[actix_rt::test]
async fn no_call_goes_to_an_engine_that_changes() {
    let gateway = Gateway::start_unconfigured().await;
    let engines = engines(&gateway).await;
    gateway.configure(1, "app");
    gateway.wait_until_ready(true).await;
    wait_until(async || orders(&engines).len() == 3).await;
    for _ in 0..60 {
        let id = gateway.fresh_id();
        assert_eq!(gateway.generate("/stream/a", &id).await.status, 200);
    }
    let changing = engines.iter().filter(|engine| !engine.orders().is_empty());
    for engine in changing {
        assert!(
            engine.received().iter().all(|got| got.id.is_empty()),
            "{}",
            engine.id
        );
    }
}

/// Symptom: calls are refused although most engines are well. Sequence: a part of the fleet ends at once;
/// each call meets several of them before its place is tried. Cause: engines that were not reached
/// counted like engines that refused.
#[actix_rt::test]
async fn a_call_passes_by_several_engines_that_have_just_ended() {
    let (gateway, app, _pool) = Gateway::start().await;
    for n in 0..5 {
        // Of engines alike the one with the first id is chosen.
        gateway.register_ended_engine(&format!("a-lost-{n}"), "app");
    }
    wait_until(async || gateway.metrics_page().await.contains("tarragon_engines 7")).await;
    let id = gateway.fresh_id();
    let answer = gateway.call("/once/a", &id, &[]).await;
    assert_eq!(answer.status, 200);
    assert_eq!(app.run_count(&id), 1);
}
