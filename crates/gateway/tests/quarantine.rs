//! Calls that crash the engines that run them, and their effect on other calls.

mod harness;

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use harness::{Gateway, Response, wait_until};
use platform_standin::engine::Behaviour;
use platform_standin::request::generation_headers;
use platform_standin::store::Fault;
use platform_standin::{Engine, Store};
use wire::Message as _;
use wire::gateway::Suspect;

/// Time within which all instances know what one of them does, as promised to callers.
const KNOWN_EVERYWHERE: Duration = Duration::from_secs(3);
/// Engines that a call may crash before it is held.
const CRASHES_UNTIL_HELD: usize = 3;
/// Most sends of a held call that may reach engines once all instances know it: the trials.
const MAX_TRIALS: usize = 3;
/// Times that its caller sends it.
const REPEATS: usize = 15;
/// Engines running at a time.
const ENGINES: usize = 6;
/// How long a call is held before its first trial.
const FIRST_HOLD: Duration = Duration::from_secs(30);
/// Path of the call that crashes engines.
const FATAL_PATH: &str = "/stream/fatal";

/// Part of prompts after which engines crash when they begin to generate.
const FATAL_PART: &str = "fa7a1";
/// First part of the prompts of one caller, with the fatal part and without it.
const FIRST_PART: &str = "c0ffee";
/// Prefix of the paths of requests with the fatal part. No two are alike.
const FATAL_PART_PATH: &str = "/stream/shares-";
/// Crashes after which all instances must know a part.
const CRASHES_UNTIL_PART_IS_KNOWN: usize = 5;
/// Requests with the fatal part that callers send, faster than engines are replaced.
const FATAL_PART_REQUESTS: usize = 30;

/// Engines that are replaced when they crash, as by a supervisor.
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
        engine.end_on_path(FATAL_PATH);
        engine.end_on_part(FATAL_PART);
        engine.register(store, "pool", "ready", Some("decode"));
        self.engines.push(engine);
    }

    fn crashed(&self) -> usize {
        let ended = self.engines.iter().filter(|engine| engine.has_stopped());
        ended.count()
    }

    fn reached(&self, path: &str) -> usize {
        self.engines
            .iter()
            .map(|engine| engine.request_count(path))
            .sum()
    }

    /// Starts a replacement for each crashed engine, under a new name.
    async fn replace(&mut self, store: &Store) {
        while self.engines.len() - self.crashed() < ENGINES {
            self.add(store).await;
        }
        for engine in self.engines.iter().filter(|engine| engine.has_stopped()) {
            store.put("keyed.servers", &engine.id, None);
        }
    }
}

/// Result of repeating a call that crashes engines.
struct Repeats {
    /// Status of each response, and whether it had a retry-after.
    answers: Vec<(u16, bool)>,
    /// Times that the call reached engines once all instances knew it.
    reached_when_known: usize,
}

/// Sends the call by `send` to one instance after the other, and replaces the engines that crash.
async fn repeat_call(
    gateways: &[&Gateway],
    pool: &mut Pool,
    send: impl AsyncFn(&Gateway, usize) -> (u16, bool),
) -> Repeats {
    let mut answers = Vec::new();
    let mut before = None;
    for number in 0..REPEATS {
        if pool.crashed() >= CRASHES_UNTIL_HELD && before.is_none() {
            tokio::time::sleep(KNOWN_EVERYWHERE).await;
            before = Some(pool.reached(FATAL_PATH));
        }
        answers.push(send(gateways[number % gateways.len()], number).await);
        pool.replace(&gateways[0].store).await;
    }
    let before = before.expect("the call ends engines");
    let reached_when_known = pool.reached(FATAL_PATH) - before;
    Repeats {
        answers,
        reached_when_known,
    }
}

/// Three instances, the last of which asks the others for placements, and engines that the call
/// crashes.
async fn three_instances() -> ([Gateway; 3], Pool) {
    let (first, _app, other) = Gateway::start().await;
    other.end_on_path(FATAL_PATH);
    other.end_on_part(FATAL_PART);
    let mut pool = Pool::start(&first.store).await;
    pool.engines.push(other);
    let (second, third) = (first.start_another(), first.start_another_on_slow_link());
    let gateways = [first, second, third];
    for gateway in &gateways {
        gateway.wait_until_ready(true).await;
        // An instance that knows only some of the engines is ready, too.
        let all = format!("tarragon_engines {}\n", pool.engines.len() + 1);
        wait_until(async || gateway.metrics_page().await.contains(&all)).await;
    }
    (gateways, pool)
}

/// Sends a request that has the fatal part and, but for its caller and its first part, nothing in
/// common with others.
async fn send_with_fatal_part(gateway: &Gateway, number: usize) -> Response {
    let prompt = format!("{FIRST_PART}:40,{FATAL_PART}:40,a{number:x}:20");
    let headers = generation_headers("100,20", &prompt);
    let path = format!("{FATAL_PART_PATH}{number}");
    gateway.call(&path, &gateway.fresh_id(), &headers).await
}

/// Sends a request of the same caller and first part that harms no engine.
async fn send_sound(gateway: &Gateway, number: usize) -> Response {
    let prompt = format!("{FIRST_PART}:40,5e551{number:x}:40,b{number:x}:20");
    let headers = generation_headers("100,20", &prompt);
    let path = format!("/stream/sound-{number}");
    gateway.call(&path, &gateway.fresh_id(), &headers).await
}

/// Sends requests with the fatal part, each beside a sound one, to one instance after the other until
/// the part must be known to all.
async fn crash_by_part(gateways: &[Gateway], pool: &mut Pool) {
    for number in 0..FATAL_PART_REQUESTS {
        if pool.crashed() >= CRASHES_UNTIL_PART_IS_KNOWN {
            break;
        }
        let gateway = &gateways[number % gateways.len()];
        let _ = tokio::join!(
            send_with_fatal_part(gateway, number),
            send_sound(gateway, number)
        );
        pool.replace(&gateways[0].store).await;
    }
    tokio::time::sleep(KNOWN_EVERYWHERE).await;
}

fn assert_held(repeats: &Repeats) {
    let (answers, reached_when_known) = (&repeats.answers, repeats.reached_when_known);
    assert!(
        reached_when_known <= MAX_TRIALS,
        "reached engines {reached_when_known} times more, {answers:?}"
    );
    let last = answers.last().expect("it was sent");
    assert_eq!(*last, (503, true), "{answers:?}");
}

/// Engines crashed about every second, each with exactly one call that had had no event yet, sent
/// some 70 to 200 ms before ("the engine broke off ... the connection ends within the body
/// last=None"). Its caller got a 502 and sent it again under a new id, to whichever instance the
/// balancer chose: one call crashed 20 engines. No instance remembered a call beyond its own
/// attempts, so each repeat started afresh.
#[actix_rt::test]
async fn a_call_that_crashes_engines_is_held_at_every_instance() {
    let (gateways, mut pool) = three_instances().await;
    let repeats = repeat_call(&gateways.each_ref(), &mut pool, async |gateway, number| {
        let answer = gateway
            .generate_same_prompt(FATAL_PATH, &format!("fatal-{number}"))
            .await;
        (answer.status, answer.retry_after.is_some())
    })
    .await;
    assert_held(&repeats);
    for gateway in gateways {
        wait_until(async || {
            let id = gateway.fresh_id();
            gateway.generate("/stream/other", &id).await.status == 200
        })
        .await;
    }
}

/// Calls that crash engines were remembered, and one still crashed 17. It came to instances of all
/// four data centres, each of which has callers at its own addresses (100.64.x to 100.67.x), so the
/// source address does not identify a caller. With the address in the fingerprint, each repeat was
/// a different call.
#[actix_rt::test]
async fn a_call_that_crashes_engines_is_recognised_from_every_address() {
    let (gateways, mut pool) = three_instances().await;
    let repeats = repeat_call(&gateways.each_ref(), &mut pool, async |gateway, number| {
        let from = [127, 0, 0, u8::try_from(number + 2).unwrap()];
        gateway
            .generate_same_prompt_from(from, FATAL_PATH, &format!("fatal-{number}"))
            .await
    })
    .await;
    assert_held(&repeats);
}

/// Guards against requests that share a part of their prompts, and are no repeats of each other,
/// crashing one engine each.
#[actix_rt::test]
async fn requests_that_share_a_fatal_part_are_held_at_every_instance() {
    let (gateways, mut pool) = three_instances().await;
    crash_by_part(&gateways, &mut pool).await;
    let reached = pool.reached(FATAL_PART_PATH);
    let mut answers = Vec::new();
    for number in FATAL_PART_REQUESTS..2 * FATAL_PART_REQUESTS {
        let gateway = &gateways[number % gateways.len()];
        let answer = send_with_fatal_part(gateway, number).await;
        answers.push((answer.status, answer.retry_after.is_some()));
        pool.replace(&gateways[0].store).await;
    }
    let reached_when_known = pool.reached(FATAL_PART_PATH) - reached;
    assert!(
        reached_when_known <= MAX_TRIALS,
        "reached engines {reached_when_known} times more, {answers:?}"
    );
    assert_eq!(answers.last(), Some(&(503, true)), "{answers:?}");
    for (number, gateway) in gateways.iter().enumerate() {
        let answer = send_sound(gateway, 2 * FATAL_PART_REQUESTS + number).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// Sends requests with the fatal part to an instance until one is refused for it.
async fn send_until_part_is_held(gateway: &Gateway, pool: &mut Pool, numbers: &mut usize) {
    wait_until(async || {
        *numbers += 1;
        let answer = send_with_fatal_part(gateway, *numbers).await;
        pool.replace(&gateway.store).await;
        answer.status == 503 && answer.text().contains("part")
    })
    .await;
}

/// Guards against a fatal part that crashes engines again after a power loss of all instances.
#[actix_rt::test]
async fn a_held_part_stays_held_after_all_instances_are_killed() {
    let (gateways, mut pool) = three_instances().await;
    let mut numbers = 0;
    send_until_part_is_held(&gateways[0], &mut pool, &mut numbers).await;
    // Which of the parts is held follows from the crashes of both.
    wait_until(async || stored(&gateways).len() == 2).await;
    let reached = pool.reached(FATAL_PART_PATH);
    for gateway in &gateways {
        gateway.signal("-KILL");
    }
    let (next, last) = (
        gateways[0].start_another(),
        gateways[0].start_another_on_slow_link(),
    );
    for gateway in [&next, &last] {
        gateway.wait_until_ready(true).await;
        numbers += 1;
        let answer = send_with_fatal_part(gateway, numbers).await;
        assert_eq!(answer.status, 503, "{answer:?}");
        // An instance that has just started may ask placers that were killed.
        wait_until(async || {
            let id = gateway.fresh_id();
            gateway.generate("/stream/", &id).await.status == 200
        })
        .await;
        let answer = send_sound(gateway, numbers).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(pool.reached(FATAL_PART_PATH), reached);
}

/// Guards against sending prompts with a held part to engines that only prefill them: each such call
/// reaches an engine too.
#[actix_rt::test]
async fn calls_with_a_held_part_are_not_prefilled() {
    let (gateways, mut pool) = three_instances().await;
    let prefill = Engine::start("prefill-1").await;
    prefill.register(&gateways[0].store, "pool", "ready", Some("prefill"));
    let mut numbers = 0;
    send_until_part_is_held(&gateways[0], &mut pool, &mut numbers).await;
    let prefilled = prefill.request_count(FATAL_PART_PATH);
    for gateway in &gateways {
        wait_until(async || {
            numbers += 1;
            let prompt = format!("{FIRST_PART}:20000,{FATAL_PART}:20000,a{numbers:x}:10000");
            let headers = generation_headers("50000,20", &prompt);
            let path = format!("{FATAL_PART_PATH}{numbers}");
            let answer = gateway.call(&path, &gateway.fresh_id(), &headers).await;
            answer.status == 503
        })
        .await;
    }
    assert_eq!(prefill.request_count(FATAL_PART_PATH), prefilled);
}

/// Whether the instances have written to the store that a call is held.
fn is_stored(gateways: &[Gateway]) -> bool {
    !stored(gateways).is_empty()
}

/// Fingerprints of the calls and parts of which the instances have written to the store that they are held.
fn stored(gateways: &[Gateway]) -> BTreeSet<String> {
    let line = "the store knows of a call that ends engines";
    let written = gateways.iter().flat_map(|gateway| gateway.log_lines(line));
    let held = written.filter_map(|line| {
        let (call, ended) = line.split_once(" ended=")?;
        let ended: usize = ended.trim().parse().ok()?;
        let (_, fingerprint) = call.split_once("fingerprint=")?;
        (ended >= CRASHES_UNTIL_HELD).then(|| fingerprint.to_owned())
    });
    held.collect()
}

/// Sends the call to an instance until it is refused as held.
async fn repeat_until_held(gateway: &Gateway, pool: &mut Pool, path: &str) {
    wait_until(async || {
        let answer = gateway
            .generate_same_prompt(path, &gateway.fresh_id())
            .await;
        pool.replace(&gateway.store).await;
        answer.status == 503 && answer.text().contains("ended")
    })
    .await;
}

/// A power loss takes all instances at once, together with what they know of the call: its next
/// repeats would crash three engines again. The store keeps calls with two or more crashes, and an
/// instance reads it before it is ready.
#[actix_rt::test]
async fn a_held_call_stays_held_after_all_instances_are_killed() {
    let (gateways, mut pool) = three_instances().await;
    repeat_until_held(&gateways[0], &mut pool, FATAL_PATH).await;
    wait_until(async || is_stored(&gateways)).await;
    let reached = pool.reached(FATAL_PATH);
    for gateway in &gateways {
        gateway.signal("-KILL");
    }
    let (next, last) = (
        gateways[0].start_another(),
        gateways[0].start_another_on_slow_link(),
    );
    for gateway in [&next, &last] {
        gateway.wait_until_ready(true).await;
        let answer = gateway
            .generate_same_prompt(FATAL_PATH, &gateway.fresh_id())
            .await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert_eq!(pool.reached(FATAL_PATH), reached);
}

/// A call ran well and then crashed three engines. An instance that started afterwards dated the
/// good run and the crashes to the moment of its start, took the call for cleared, and its updates
/// cleared the call for all.
#[actix_rt::test]
async fn crashes_and_good_runs_before_an_instances_start_keep_their_order() {
    let (gateways, mut pool) = three_instances().await;
    let first = &gateways[0];
    wait_until(async || {
        first
            .generate_same_prompt(FATAL_PATH, &first.fresh_id())
            .await;
        pool.crashed() == 1
    })
    .await;
    pool.replace(&first.store).await;
    for engine in &pool.engines {
        engine.end_on_path("/stream/none");
    }
    wait_until(async || {
        first
            .generate_same_prompt(FATAL_PATH, &first.fresh_id())
            .await;
        first.count_log_lines("a call that had engines end ran well") == 1
    })
    .await;
    for engine in &pool.engines {
        engine.end_on_path(FATAL_PATH);
    }
    repeat_until_held(first, &mut pool, FATAL_PATH).await;
    wait_until(async || is_stored(&gateways)).await;
    let newcomer = first.start_another();
    newcomer.wait_until_ready(true).await;
    let reached = pool.reached(FATAL_PATH);
    for gateway in [&newcomer, first, &gateways[1]] {
        let answer = gateway
            .generate_same_prompt(FATAL_PATH, &gateway.fresh_id())
            .await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert_eq!(pool.reached(FATAL_PATH), reached);
}

/// Instances that each try a held call on their own crash as many engines as there are instances.
/// One claims the trial at the store; while the store is down, no instance tries.
#[actix_rt::test]
async fn a_held_call_is_tried_once_by_one_instance() {
    let (gateways, mut pool) = three_instances().await;
    repeat_until_held(&gateways[0], &mut pool, FATAL_PATH).await;
    let reached = pool.reached(FATAL_PATH);
    gateways[0].store.fault(Fault::Busy);
    tokio::time::sleep(FIRST_HOLD).await;
    for gateway in &gateways {
        let answer = gateway
            .generate_same_prompt(FATAL_PATH, &gateway.fresh_id())
            .await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert_eq!(pool.reached(FATAL_PATH), reached);
    gateways[0].store.fault(Fault::None);
    wait_until(async || {
        let sends = gateways.each_ref().map(|gateway| async {
            gateway
                .generate_same_prompt(FATAL_PATH, &gateway.fresh_id())
                .await
        });
        futures_util::future::join_all(sends).await;
        pool.reached(FATAL_PATH) > reached
    })
    .await;
    for _ in 0..REPEATS {
        for gateway in &gateways {
            gateway
                .generate_same_prompt(FATAL_PATH, &gateway.fresh_id())
                .await;
        }
    }
    assert_eq!(pool.reached(FATAL_PATH), reached + 1);
}

/// Sends the call to an instance, disconnects once an engine has it, and ends that engine.
async fn disconnect_and_end_engine(gateway: &Gateway, pool: &Pool, path: &str) {
    let id = gateway.fresh_id();
    let reached = || pool.engines.iter().find(|engine| engine.run_count(&id) > 0);
    tokio::select! {
        answer = gateway.generate_same_prompt(path, &id) => panic!("engines do not answer: {answer:?}"),
        () = wait_until(async || reached().is_some()) => {}
    }
    wait_until(async || gateway.count_log_lines(&format!("the caller left id={id}")) > 0).await;
    reached().expect("an engine has it").stop();
}

/// A call whose caller disconnects first must not crash engines undetected.
#[actix_rt::test]
async fn a_call_that_crashes_engines_is_held_although_its_caller_disconnects() {
    let (gateways, pool) = three_instances().await;
    let first = &gateways[0];
    wait_until(async || {
        first
            .generate_same_prompt(FATAL_PATH, &first.fresh_id())
            .await;
        pool.crashed() == CRASHES_UNTIL_HELD - 1
    })
    .await;
    let noted = "an engine ended with the call in hand";
    wait_until(async || first.count_log_lines_with(noted, "ended=2") > 0).await;
    for engine in &pool.engines {
        engine.set_behaviour(Behaviour::Hang);
    }
    disconnect_and_end_engine(first, &pool, FATAL_PATH).await;
    // Nothing is sent meanwhile: a call that met the ended engine would reveal its end.
    wait_until(async || first.count_log_lines_with(noted, "ended=3") > 0).await;
    for gateway in &gateways {
        wait_until(async || {
            let id = gateway.fresh_id();
            let asked = gateway.generate_same_prompt(FATAL_PATH, &id);
            let answer = tokio::time::timeout(KNOWN_EVERYWHERE, asked).await;
            answer.is_ok_and(|answer| answer.status == 503 && answer.text().contains("ended"))
        })
        .await;
    }
}

/// A resumable stream was sent to the next engine at once, before it was known that the previous
/// one had crashed. A call that has crashed engines before waits for that verdict.
#[actix_rt::test]
async fn a_resumed_stream_waits_for_the_crash_verdict() {
    const RESUMED_PATH: &str = "/resume/fatal";
    let (gateways, mut pool) = three_instances().await;
    for engine in &pool.engines {
        engine.end_on_path(RESUMED_PATH);
    }
    let first = gateways[0]
        .generate_same_prompt(RESUMED_PATH, "resumed-1")
        .await;
    assert_eq!(pool.reached(RESUMED_PATH), 2, "{first:?}");
    let second = gateways[0]
        .generate_same_prompt(RESUMED_PATH, "resumed-2")
        .await;
    assert_eq!(pool.reached(RESUMED_PATH), CRASHES_UNTIL_HELD, "{second:?}");
    repeat_until_held(&gateways[0], &mut pool, RESUMED_PATH).await;
    assert_eq!(pool.reached(RESUMED_PATH), CRASHES_UNTIL_HELD);
}

/// The prompt of a held call was prefilled at one engine for another, which exposes engines as
/// well.
#[actix_rt::test]
async fn a_held_call_is_not_prefilled_either() {
    let (gateways, mut pool) = three_instances().await;
    let prefill = Engine::start("prefill-1").await;
    prefill.register(&gateways[0].store, "pool", "ready", Some("prefill"));
    let long = platform_standin::request::generation_headers("50000,20", "aa:40000,bb:10000");
    let gateway = &gateways[0];
    wait_until(async || {
        let answer = gateway.call(FATAL_PATH, &gateway.fresh_id(), &long).await;
        pool.replace(&gateway.store).await;
        answer.status == 503 && answer.text().contains("ended")
    })
    .await;
    let read = prefill.request_count(FATAL_PATH);
    for gateway in &gateways {
        wait_until(async || {
            let answer = gateway.call(FATAL_PATH, &gateway.fresh_id(), &long).await;
            answer.status == 503
        })
        .await;
    }
    assert_eq!(
        (prefill.request_count(FATAL_PATH), pool.crashed()),
        (read, CRASHES_UNTIL_HELD)
    );
}

/// Operators list the held calls and release one whose cause is fixed. An instance that starts
/// reads the release and passes it to those that have missed it.
#[actix_rt::test]
async fn operators_list_and_release_held_calls() {
    let (gateways, mut pool) = three_instances().await;
    repeat_until_held(&gateways[0], &mut pool, FATAL_PATH).await;
    wait_until(async || is_stored(&gateways)).await;
    let held = gateways[0].run_command(&["held"]).await;
    let line = held.lines().find(|line| line.contains(" held "));
    let line = line.expect("a call is held");
    assert!(line.contains("ended=3"), "{held}");
    let fingerprint = line.split(' ').next().expect("a fingerprint comes first");
    gateways[0].run_command(&["release", fingerprint]).await;
    assert!(gateways[0].run_command(&["held"]).await.contains("let go"));
    let reached = pool.reached(FATAL_PATH);
    let newcomer = gateways[0].start_another();
    newcomer.wait_until_ready(true).await;
    for gateway in &gateways {
        wait_until(async || {
            let answer = gateway
                .generate_same_prompt(FATAL_PATH, &gateway.fresh_id())
                .await;
            answer.status != 503
        })
        .await;
    }
    assert!(pool.reached(FATAL_PATH) > reached);
}

/// Plain calls crash engines as well as streams do.
#[actix_rt::test]
async fn a_plain_call_that_crashes_engines_is_held() {
    const PLAIN_PATH: &str = "/safe/fatal";
    let (gateway, app, _pool) = Gateway::start().await;
    let mut engines = vec![app];
    for number in 2..=6 {
        let engine = Engine::start(&format!("app-{number}")).await;
        engine.register(&gateway.store, "app", "ready", None);
        engines.push(engine);
    }
    for engine in &engines {
        engine.end_on_path(PLAIN_PATH);
    }
    let ended = || engines.iter().filter(|engine| engine.has_stopped()).count();
    wait_until(async || {
        let answer = gateway.call(PLAIN_PATH, &gateway.fresh_id(), &[]).await;
        answer.status == 503 && answer.text().contains("ended")
    })
    .await;
    assert_eq!(ended(), CRASHES_UNTIL_HELD);
    assert_eq!(gateway.call("/safe/other", "other", &[]).await.status, 200);
}

/// Lost, truncated or reset responses leave the engine alive, and one that announced its leaving
/// takes its last calls along. Counted as crashes, they would hold harmless calls.
#[actix_rt::test]
async fn broken_responses_without_a_crash_hold_no_call() {
    let (gateway, _app, pool) = Gateway::start().await;
    for act in [
        Behaviour::CloseUnanswered,
        Behaviour::CutAfter(1),
        Behaviour::Fail(500),
    ] {
        pool.set_behaviour(act);
        for _ in 0..2 * CRASHES_UNTIL_HELD {
            let answer = gateway
                .generate_same_prompt(FATAL_PATH, &gateway.fresh_id())
                .await;
            assert!(!answer.status.to_string().starts_with('4'), "{answer:?}");
        }
    }
    pool.set_behaviour(Behaviour::Run);
    gateway.store.put("keyed.servers", &pool.id, None);
    wait_until(async || {
        gateway.count_log_lines_with("engine's record is gone", "engine=pool-1") > 0
    })
    .await;
    for number in 0..2 * CRASHES_UNTIL_HELD {
        let leaving = Engine::start(&format!("leaving-{number}")).await;
        leaving.set_stream(1_000, Duration::from_millis(20));
        let is_known_as = |state| {
            let line = format!("engine={} state={state}", leaving.id);
            gateway.count_log_lines(&line) > 0
        };
        leaving.register(&gateway.store, "pool", "ready", Some("decode"));
        wait_until(async || is_known_as("Ready")).await;
        let id = gateway.fresh_id();
        let leave = async {
            wait_until(async || leaving.run_count(&id) > 0).await;
            leaving.register(&gateway.store, "pool", "draining", Some("decode"));
            wait_until(async || is_known_as("Draining")).await;
            leaving.stop();
        };
        let (answer, ()) = tokio::join!(gateway.generate_same_prompt(FATAL_PATH, &id), leave);
        assert!(answer.status == 200 && answer.body.is_err(), "{answer:?}");
        gateway.store.put("keyed.servers", &leaving.id, None);
    }
    for noted in [
        "an engine ended with the call in hand",
        "an engine ended that was to begin a call with the part",
    ] {
        assert_eq!(gateway.count_log_lines(noted), 0);
    }
    pool.register(&gateway.store, "pool", "ready", Some("decode"));
    wait_until(async || {
        gateway
            .generate_same_prompt(FATAL_PATH, &gateway.fresh_id())
            .await
            .status
            == 200
    })
    .await;
}

/// A call is held and never repeated, and all instances that knew it restart. When nothing deleted
/// its record, the store grew by a record for each call ever held, and every starting instance read
/// them all.
#[actix_rt::test]
async fn old_records_of_held_calls_are_deleted() {
    const OLD_KEY: &str = "held/0123456789abcdef0123456789abcdef";
    const RECENT_KEY: &str = "held/00000000000000000000000000000007";
    let gateway = Gateway::start_unconfigured().await;
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = now.expect("the epoch is over").as_millis();
    let recent = Suspect {
        call_low: 7,
        written_unix_ms: u64::try_from(now).expect("it fits"),
        ..Suspect::default()
    };
    let old = Suspect {
        written_unix_ms: 1,
        ..recent.clone()
    };
    for (key, suspect) in [(OLD_KEY, old), (RECENT_KEY, recent)] {
        gateway
            .store
            .put_bytes("keyed.instances", key, &suspect.encode_to_vec());
    }
    gateway.configure(1, "app");
    let keys = || gateway.store.newest("keyed.instances");
    wait_until(async || !keys().iter().any(|key| key == OLD_KEY)).await;
    assert!(keys().iter().any(|key| key == RECENT_KEY));
}
