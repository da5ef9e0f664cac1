//! Calls that end the engines that run them, and the calls beside them.

mod world;

use std::time::Duration;

use floor::{Engine, Store};
use world::{World, until};

/// Time within which all instances know what one of them does: what callers are promised.
const KNOWN_EVERYWHERE: Duration = Duration::from_secs(3);
/// Engines that a call may end before it is held.
const ENDED: usize = 3;
/// How often such a call may reach engines once all instances know: trials whether it still ends them.
const TRIALS: usize = 3;
/// How often its caller sends it.
const SENDS: usize = 15;
/// Engines at one time.
const ENGINES: usize = 6;
/// The call that ends engines.
const FATAL: &str = "/stream/fatal";

/// Engines that are replaced when they end, as a supervisor does.
struct Pool {
    engines: Vec<Engine>,
    started: usize,
}

impl Pool {
    async fn start(store: &Store) -> Self {
        let mut pool = Self {
            engines: Vec::new(),
            started: 0,
        };
        for _ in 0..ENGINES {
            pool.add(store).await;
        }
        pool
    }

    async fn add(&mut self, store: &Store) {
        self.started += 1;
        let engine = Engine::start(&format!("pool-{}", self.started + 1)).await;
        engine.ends_on(FATAL);
        engine.register(store, "pool", "ready", Some("decode"));
        self.engines.push(engine);
    }

    fn ended(&self) -> usize {
        let ended = self.engines.iter().filter(|engine| engine.has_ended());
        ended.count()
    }

    fn reached(&self, path: &str) -> usize {
        self.engines.iter().map(|engine| engine.reached(path)).sum()
    }

    /// Starts as many as have ended, under new names.
    async fn replace(&mut self, store: &Store) {
        while self.engines.len() - self.ended() < ENGINES {
            self.add(store).await;
        }
        for engine in self.engines.iter().filter(|engine| engine.has_ended()) {
            store.put("keyed.servers", &engine.id, None);
        }
    }
}

/// Engines ended every second or so, and each time exactly one call in hand had not had an event yet, sent some 70 to
/// 200 ms before ("the engine broke off ... the connection ends within the body last=None"). Its caller got a 502
/// and sent it again under a new id, to whichever instance the balancer chose: one call ended 20 engines. No instance
/// remembered a call beyond its own attempts, so that each repeat began anew.
#[actix_rt::test]
async fn a_call_that_ends_engines_is_kept_from_them_at_every_instance() {
    let (first, _app, other) = World::start().await;
    other.ends_on(FATAL);
    let worlds = [first.beside(), first.slow_beside()];
    let worlds = [&first, &worlds[0], &worlds[1]];
    let mut pool = Pool::start(&first.store).await;
    pool.engines.push(other);
    for world in worlds {
        world.until_ready(true).await;
    }
    let mut answers = Vec::new();
    let mut reached_before = 0;
    for send in 0..SENDS {
        if pool.ended() == ENDED && reached_before == 0 {
            tokio::time::sleep(KNOWN_EVERYWHERE).await;
            reached_before = pool.reached(FATAL);
        }
        let id = format!("fatal-{send}");
        let answer = worlds[send % worlds.len()].generate_same(FATAL, &id).await;
        answers.push((answer.status, answer.retry_after.is_some()));
        pool.replace(&first.store).await;
    }
    let later = pool.reached(FATAL) - reached_before;
    assert!(
        later <= TRIALS,
        "reached engines {later} times more, {answers:?}"
    );
    let last = answers.last().expect("it was sent");
    assert_eq!(*last, (503, true), "{answers:?}");
    for world in worlds {
        until(async || {
            let id = world.fresh_id();
            world.generate("/stream/other", &id).await.status == 200
        })
        .await;
    }
}
