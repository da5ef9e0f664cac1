//! Role changes ordered by a real gateway process.

mod harness;

use harness::{Gateway, wait_until};
use platform_standin::Engine;
use platform_standin::engine::Order;

const PREFILL: usize = 4;
const DECODE: usize = 10;

async fn start_engines(gateway: &Gateway) -> Vec<Engine> {
    let mut engines = Vec::new();
    for n in 0..PREFILL + DECODE {
        let engine = Engine::start(&format!("e{n}")).await;
        let stage = if n < PREFILL { "prefill" } else { "decode" };
        engine.register(&gateway.store, "pool", "ready", Some(stage));
        engines.push(engine);
    }
    engines
}

fn all_orders(engines: &[Engine]) -> Vec<Order> {
    let orders = engines.iter().map(Engine::orders);
    orders.flatten().collect()
}

/// A fleet starts with a third of its engines in prefill. No instance ordered a change, so prompts
/// waited while decode engines were idle.
#[actix_rt::test]
async fn idle_engines_are_ordered_to_prefill_under_a_claim() {
    let gateway = Gateway::start_unconfigured().await;
    let engines = start_engines(&gateway).await;
    gateway.configure(1, "app");
    gateway.wait_until_ready(true).await;
    wait_until(async || all_orders(&engines).len() == 3).await;
    let orders = all_orders(&engines);
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

/// An instance orders an engine to change and places calls there before its record shows the
/// change. An engine's record tells only its previous role, so the engine refused these calls.
#[actix_rt::test]
async fn no_call_goes_to_an_engine_that_changes_its_role() {
    let gateway = Gateway::start_unconfigured().await;
    let engines = start_engines(&gateway).await;
    gateway.configure(1, "app");
    gateway.wait_until_ready(true).await;
    wait_until(async || all_orders(&engines).len() == 3).await;
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

/// A part of the fleet ends at once, and each call meets several of these engines. When unreachable
/// engines counted like refusals, calls were refused although most engines were healthy.
#[actix_rt::test]
async fn a_call_skips_several_engines_that_have_just_ended() {
    let (gateway, app, _pool) = Gateway::start().await;
    for n in 0..5 {
        // Of equal engines, the one with the first id is chosen.
        gateway.register_ended_engine(&format!("a-lost-{n}"), "app");
    }
    wait_until(async || gateway.metrics_page().await.contains("tarragon_engines 7")).await;
    let id = gateway.fresh_id();
    let answer = gateway.call("/once/a", &id, &[]).await;
    assert_eq!(answer.status, 200);
    assert_eq!(app.run_count(&id), 1);
}
