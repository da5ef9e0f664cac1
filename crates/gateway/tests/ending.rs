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

/// What came of a call that ends engines and that its caller sent again and again.
struct Sent {
    /// Status of each answer, and whether it said when to come back.
    answers: Vec<(u16, bool)>,
    /// How often it reached engines once all instances knew.
    later: usize,
}

/// Sends the call to one instance after the other, by `send`, and replaces the engines that end.
async fn send_again(
    worlds: &[&World],
    pool: &mut Pool,
    send: impl AsyncFn(&World, usize) -> (u16, bool),
) -> Sent {
    let mut answers = Vec::new();
    let mut before = None;
    for number in 0..SENDS {
        if pool.ended() >= ENDED && before.is_none() {
            tokio::time::sleep(KNOWN_EVERYWHERE).await;
            before = Some(pool.reached(FATAL));
        }
        answers.push(send(worlds[number % worlds.len()], number).await);
        pool.replace(&worlds[0].store).await;
    }
    let before = before.expect("the call ends engines");
    let later = pool.reached(FATAL) - before;
    Sent { answers, later }
}

/// Three instances, of which the last asks the others for places, before engines that a call ends.
async fn three_instances() -> ([World; 3], Pool) {
    let (first, _app, other) = World::start().await;
    other.ends_on(FATAL);
    let mut pool = Pool::start(&first.store).await;
    pool.engines.push(other);
    let (second, third) = (first.beside(), first.slow_beside());
    let worlds = [first, second, third];
    for world in &worlds {
        world.until_ready(true).await;
    }
    (worlds, pool)
}

fn assert_held(sent: &Sent) {
    let (answers, later) = (&sent.answers, sent.later);
    assert!(
        later <= TRIALS,
        "reached engines {later} times more, {answers:?}"
    );
    let last = answers.last().expect("it was sent");
    assert_eq!(*last, (503, true), "{answers:?}");
}

/// Engines ended every second or so, and each time exactly one call in hand had not had an event yet, sent some 70 to
/// 200 ms before ("the engine broke off ... the connection ends within the body last=None"). Its caller got a 502
/// and sent it again under a new id, to whichever instance the balancer chose: one call ended 20 engines. No instance
/// remembered a call beyond its own attempts, so that each repeat began anew.
#[actix_rt::test]
async fn a_call_that_ends_engines_is_kept_from_them_at_every_instance() {
    let (worlds, mut pool) = three_instances().await;
    let sent = send_again(&worlds.each_ref(), &mut pool, async |world, number| {
        let answer = world.generate_same(FATAL, &format!("fatal-{number}")).await;
        (answer.status, answer.retry_after.is_some())
    })
    .await;
    assert_held(&sent);
    for world in worlds {
        until(async || {
            let id = world.fresh_id();
            world.generate("/stream/other", &id).await.status == 200
        })
        .await;
    }
}

/// Calls that end engines were remembered, and one still ended 17 of them. It came to instances of all four data centres, each of
/// which has callers at addresses of its own (100.64.x to 100.67.x): the address that a connection comes from does not tell a
/// caller. With the address in its fingerprint each repeat was another call.
#[actix_rt::test]
async fn a_call_that_ends_engines_is_the_same_from_every_address() {
    let (worlds, mut pool) = three_instances().await;
    let sent = send_again(&worlds.each_ref(), &mut pool, async |world, number| {
        let from = [127, 0, 0, u8::try_from(number + 2).unwrap()];
        world
            .generate_same_from(from, FATAL, &format!("fatal-{number}"))
            .await
    })
    .await;
    assert_held(&sent);
}
