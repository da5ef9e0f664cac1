//! Calls that end the engines that run them, and the calls beside them.

mod harness;

use std::time::{Duration, SystemTime};

use platform_standin::engine::Behaviour;
use platform_standin::store::Fault;
use platform_standin::{Engine, Store};
use harness::{Gateway, wait_until};
use wire::Message as _;
use wire::gateway::Suspect;

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
/// How long a call is held before its first trial.
const FIRST_HOLD: Duration = Duration::from_secs(30);
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
        engine.end_on_path(FATAL);
        engine.register(store, "pool", "ready", Some("decode"));
        self.engines.push(engine);
    }

    fn ended(&self) -> usize {
        let ended = self.engines.iter().filter(|engine| engine.has_stopped());
        ended.count()
    }

    fn reached(&self, path: &str) -> usize {
        self.engines
            .iter()
            .map(|engine| engine.request_count(path))
            .sum()
    }

    /// Starts as many as have ended, under new names.
    async fn replace(&mut self, store: &Store) {
        while self.engines.len() - self.ended() < ENGINES {
            self.add(store).await;
        }
        for engine in self.engines.iter().filter(|engine| engine.has_stopped()) {
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
    gateways: &[&Gateway],
    pool: &mut Pool,
    send: impl AsyncFn(&Gateway, usize) -> (u16, bool),
) -> Sent {
    let mut answers = Vec::new();
    let mut before = None;
    for number in 0..SENDS {
        if pool.ended() >= ENDED && before.is_none() {
            tokio::time::sleep(KNOWN_EVERYWHERE).await;
            before = Some(pool.reached(FATAL));
        }
        answers.push(send(gateways[number % gateways.len()], number).await);
        pool.replace(&gateways[0].store).await;
    }
    let before = before.expect("the call ends engines");
    let later = pool.reached(FATAL) - before;
    Sent { answers, later }
}

/// Three instances, of which the last asks the others for places, before engines that a call ends.
async fn three_instances() -> ([Gateway; 3], Pool) {
    let (first, _app, other) = Gateway::start().await;
    other.end_on_path(FATAL);
    let mut pool = Pool::start(&first.store).await;
    pool.engines.push(other);
    let (second, third) = (first.start_another(), first.start_another_on_slow_link());
    let gateways = [first, second, third];
    for gateway in &gateways {
        gateway.wait_until_ready(true).await;
        // One that knows a few engines only is ready, too.
        let all = format!("tarragon_engines {}\n", pool.engines.len() + 1);
        wait_until(async || gateway.metrics_page().await.contains(&all)).await;
    }
    (gateways, pool)
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
    let (gateways, mut pool) = three_instances().await;
    let sent = send_again(&gateways.each_ref(), &mut pool, async |gateway, number| {
        let answer = gateway
            .generate_same_prompt(FATAL, &format!("fatal-{number}"))
            .await;
        (answer.status, answer.retry_after.is_some())
    })
    .await;
    assert_held(&sent);
    for gateway in gateways {
        wait_until(async || {
            let id = gateway.fresh_id();
            gateway.generate("/stream/other", &id).await.status == 200
        })
        .await;
    }
}

/// Calls that end engines were remembered, and one still ended 17 of them. It came to instances of all four data centres, each of
/// which has callers at addresses of its own (100.64.x to 100.67.x): the address that a connection comes from does not tell a
/// caller. With the address in its fingerprint each repeat was another call.
#[actix_rt::test]
async fn a_call_that_ends_engines_is_the_same_from_every_address() {
    let (gateways, mut pool) = three_instances().await;
    let sent = send_again(&gateways.each_ref(), &mut pool, async |gateway, number| {
        let from = [127, 0, 0, u8::try_from(number + 2).unwrap()];
        gateway
            .generate_same_prompt_from(from, FATAL, &format!("fatal-{number}"))
            .await
    })
    .await;
    assert_held(&sent);
}

/// Whether one of the instances has written to the store that the call is held.
fn is_kept(gateways: &[Gateway]) -> bool {
    let line = "the store knows of a call that ends engines";
    let ended = format!("ended={ENDED}");
    gateways
        .iter()
        .any(|gateway| gateway.count_log_lines_with(line, &ended) > 0)
}

/// Sends the call to an instance until it is refused for what it does.
async fn until_held(gateway: &Gateway, pool: &mut Pool, path: &str) {
    wait_until(async || {
        let answer = gateway
            .generate_same_prompt(path, &gateway.fresh_id())
            .await;
        pool.replace(&gateway.store).await;
        answer.status == 503 && answer.text().contains("ended")
    })
    .await;
}

/// A power loss takes all instances at once, and with them what they know of the call: its next repeats would end three engines
/// again. The store has what ended two or more, and an instance reads it before it is ready.
#[actix_rt::test]
async fn a_held_call_stays_held_when_all_instances_are_killed() {
    let (gateways, mut pool) = three_instances().await;
    until_held(&gateways[0], &mut pool, FATAL).await;
    wait_until(async || is_kept(&gateways)).await;
    let reached = pool.reached(FATAL);
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
            .generate_same_prompt(FATAL, &gateway.fresh_id())
            .await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert_eq!(pool.reached(FATAL), reached);
}

/// A call ran well, and then ended three engines. An instance that started after all of it took the good run and the ends for
/// one moment, that of its start, and the call for cleared; what it told cleared the call for all.
#[actix_rt::test]
async fn what_was_before_the_start_of_an_instance_keeps_its_order() {
    let (gateways, mut pool) = three_instances().await;
    let first = &gateways[0];
    wait_until(async || {
        first.generate_same_prompt(FATAL, &first.fresh_id()).await;
        pool.ended() == 1
    })
    .await;
    pool.replace(&first.store).await;
    for engine in &pool.engines {
        engine.end_on_path("/stream/none");
    }
    wait_until(async || {
        first.generate_same_prompt(FATAL, &first.fresh_id()).await;
        first.count_log_lines("a call that had engines end ran well") == 1
    })
    .await;
    for engine in &pool.engines {
        engine.end_on_path(FATAL);
    }
    until_held(first, &mut pool, FATAL).await;
    wait_until(async || is_kept(&gateways)).await;
    let newcomer = first.start_another();
    newcomer.wait_until_ready(true).await;
    let reached = pool.reached(FATAL);
    for gateway in [&newcomer, first, &gateways[1]] {
        let answer = gateway
            .generate_same_prompt(FATAL, &gateway.fresh_id())
            .await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert_eq!(pool.reached(FATAL), reached);
}

/// Instances that each try a held call by themselves end as many engines as there are instances. One claims the trial at the
/// store, and a store that is away lets nobody try.
#[actix_rt::test]
async fn a_held_call_is_tried_once_by_one_instance() {
    let (gateways, mut pool) = three_instances().await;
    until_held(&gateways[0], &mut pool, FATAL).await;
    let reached = pool.reached(FATAL);
    gateways[0].store.fault(Fault::Busy);
    tokio::time::sleep(FIRST_HOLD).await;
    for gateway in &gateways {
        let answer = gateway
            .generate_same_prompt(FATAL, &gateway.fresh_id())
            .await;
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert_eq!(pool.reached(FATAL), reached);
    gateways[0].store.fault(Fault::None);
    wait_until(async || {
        let sends = gateways.each_ref().map(|gateway| async {
            gateway
                .generate_same_prompt(FATAL, &gateway.fresh_id())
                .await
        });
        futures_util::future::join_all(sends).await;
        pool.reached(FATAL) > reached
    })
    .await;
    for _ in 0..SENDS {
        for gateway in &gateways {
            gateway
                .generate_same_prompt(FATAL, &gateway.fresh_id())
                .await;
        }
    }
    assert_eq!(pool.reached(FATAL), reached + 1);
}

/// Sends the call to an instance, leaves it once an engine has it, and ends that engine.
async fn leave_and_end(gateway: &Gateway, pool: &Pool, path: &str) {
    let id = gateway.fresh_id();
    let reached = || pool.engines.iter().find(|engine| engine.run_count(&id) > 0);
    tokio::select! {
        answer = gateway.generate_same_prompt(path, &id) => panic!("engines do not answer: {answer:?}"),
        () = wait_until(async || reached().is_some()) => {}
    }
    wait_until(async || gateway.count_log_lines(&format!("the caller left id={id}")) > 0).await;
    reached().expect("an engine has it").stop();
}

/// Guards against a call that ends engines unseen because its caller leaves first.
#[actix_rt::test]
async fn a_call_that_ends_engines_is_held_although_its_caller_leaves() {
    let (gateways, pool) = three_instances().await;
    let first = &gateways[0];
    wait_until(async || {
        first.generate_same_prompt(FATAL, &first.fresh_id()).await;
        pool.ended() == ENDED - 1
    })
    .await;
    let noted = "an engine ended with the call in hand";
    wait_until(async || first.count_log_lines_with(noted, "ended=2") > 0).await;
    for engine in &pool.engines {
        engine.set_behaviour(Behaviour::Hang);
    }
    leave_and_end(first, &pool, FATAL).await;
    // Nothing is sent meanwhile: a call that met the ended engine would tell its end.
    wait_until(async || first.count_log_lines_with(noted, "ended=3") > 0).await;
    for gateway in &gateways {
        wait_until(async || {
            let id = gateway.fresh_id();
            let asked = gateway.generate_same_prompt(FATAL, &id);
            let answer = tokio::time::timeout(KNOWN_EVERYWHERE, asked).await;
            answer.is_ok_and(|answer| answer.status == 503 && answer.text().contains("ended"))
        })
        .await;
    }
}

/// A stream that may go on elsewhere was sent to a further engine at once, before anyone knew that the one before had ended.
/// One that has ended engines before waits for that.
#[actix_rt::test]
async fn a_repeat_in_hand_is_held_as_well() {
    const RESUMED: &str = "/resume/fatal";
    let (gateways, mut pool) = three_instances().await;
    for engine in &pool.engines {
        engine.end_on_path(RESUMED);
    }
    let first = gateways[0].generate_same_prompt(RESUMED, "resumed-1").await;
    assert_eq!(pool.reached(RESUMED), 2, "{first:?}");
    let second = gateways[0].generate_same_prompt(RESUMED, "resumed-2").await;
    assert_eq!(pool.reached(RESUMED), ENDED, "{second:?}");
    until_held(&gateways[0], &mut pool, RESUMED).await;
    assert_eq!(pool.reached(RESUMED), ENDED);
}

/// The prompt of a held call was read at one engine for another one, which is a way to engines, too.
#[actix_rt::test]
async fn a_held_call_is_not_read_either() {
    let (gateways, mut pool) = three_instances().await;
    let prefill = Engine::start("prefill-1").await;
    prefill.register(&gateways[0].store, "pool", "ready", Some("prefill"));
    let long = platform_standin::request::generation_headers("50000,20", "aa:40000,bb:10000");
    let gateway = &gateways[0];
    wait_until(async || {
        let answer = gateway.call(FATAL, &gateway.fresh_id(), &long).await;
        pool.replace(&gateway.store).await;
        answer.status == 503 && answer.text().contains("ended")
    })
    .await;
    let read = prefill.request_count(FATAL);
    for gateway in &gateways {
        wait_until(async || {
            let answer = gateway.call(FATAL, &gateway.fresh_id(), &long).await;
            answer.status == 503
        })
        .await;
    }
    assert_eq!((prefill.request_count(FATAL), pool.ended()), (read, ENDED));
}

/// Operators see which calls are held, and let one go whose cause is mended. An instance that starts reads of it and tells those that
/// have missed it.
#[actix_rt::test]
async fn operators_see_held_calls_and_let_them_go() {
    let (gateways, mut pool) = three_instances().await;
    until_held(&gateways[0], &mut pool, FATAL).await;
    wait_until(async || is_kept(&gateways)).await;
    let held = gateways[0].run_command(&["held"]).await;
    let line = held.lines().find(|line| line.contains(" held "));
    let line = line.expect("a call is held");
    assert!(line.contains("ended=3"), "{held}");
    let fingerprint = line.split(' ').next().expect("a fingerprint comes first");
    gateways[0].run_command(&["release", fingerprint]).await;
    assert!(gateways[0].run_command(&["held"]).await.contains("let go"));
    let reached = pool.reached(FATAL);
    let newcomer = gateways[0].start_another();
    newcomer.wait_until_ready(true).await;
    for gateway in &gateways {
        wait_until(async || {
            let answer = gateway
                .generate_same_prompt(FATAL, &gateway.fresh_id())
                .await;
            answer.status != 503
        })
        .await;
    }
    assert!(pool.reached(FATAL) > reached);
}

/// Plain calls end engines as well as streams do.
#[actix_rt::test]
async fn a_plain_call_that_ends_engines_is_held() {
    const PLAIN: &str = "/safe/fatal";
    let (gateway, app, _pool) = Gateway::start().await;
    let mut engines = vec![app];
    for number in 2..=6 {
        let engine = Engine::start(&format!("app-{number}")).await;
        engine.register(&gateway.store, "app", "ready", None);
        engines.push(engine);
    }
    for engine in &engines {
        engine.end_on_path(PLAIN);
    }
    let ended = || engines.iter().filter(|engine| engine.has_stopped()).count();
    wait_until(async || {
        let answer = gateway.call(PLAIN, &gateway.fresh_id(), &[]).await;
        answer.status == 503 && answer.text().contains("ended")
    })
    .await;
    assert_eq!(ended(), ENDED);
    assert_eq!(gateway.call("/safe/other", "other", &[]).await.status, 200);
}

/// Answers that are lost, broken off or reset leave their engine alive, and one that had said that it leaves takes its last calls
/// along. Taken for ends of engines, they would hold calls that do no harm.
#[actix_rt::test]
async fn what_breaks_without_an_end_holds_no_call() {
    let (gateway, _app, pool) = Gateway::start().await;
    for act in [Behaviour::CloseUnanswered, Behaviour::CutAfter(1), Behaviour::Fail(500),
    ] {
        pool.set_behaviour(act);
        for _ in 0..2 * ENDED {
            let answer = gateway
                .generate_same_prompt(FATAL, &gateway.fresh_id())
                .await;
            assert!(!answer.status.to_string().starts_with('4'), "{answer:?}");
        }
    }
    pool.set_behaviour(Behaviour::Run);
    for number in 0..2 * ENDED {
        let leaving = Engine::start(&format!("leaving-{number}")).await;
        leaving.set_stream(1_000, Duration::from_millis(20));
        leaving.register(&gateway.store, "pool", "ready", Some("decode"));
        pool.register(&gateway.store, "pool", "draining", Some("decode"));
        let id = gateway.fresh_id();
        wait_until(async || leaving.request_count("/stream/none") > 0 || {
            let asked = async { gateway.generate_same_prompt(FATAL, &id).await };
            let until_sent = wait_until(async || leaving.run_count(&id) > 0);
            tokio::select! {
                _ = asked => {}
                () = async {
                    until_sent.await;
                    leaving.register(&gateway.store, "pool", "draining", Some("decode"));
                    wait_until(async || gateway.count_log_lines(&format!("engine=leaving-{number} state=Draining")) > 0).await;
                    leaving.stop();
                    std::future::pending::<()>().await;
                } => {}
            }
            true
        })
        .await;
        gateway.store.put("keyed.servers", &leaving.id, None);
        pool.register(&gateway.store, "pool", "ready", Some("decode"));
    }
    assert_eq!(
        gateway.count_log_lines("an engine ended with the call in hand"),
        0
    );
    wait_until(async || {
        gateway
            .generate_same_prompt(FATAL, &gateway.fresh_id())
            .await
            .status
            == 200
    })
    .await;
}

/// Symptom: the store grows by a record for each call that was ever held, and each instance that starts reads all of them. Sequence: a call is held and comes
/// no more; all that knew it restart. Cause: nobody deleted its record.
#[actix_rt::test]
async fn records_of_calls_that_nobody_holds_any_more_are_deleted() {
    const OLD: &str = "held/0123456789abcdef0123456789abcdef";
    const RECENT: &str = "held/00000000000000000000000000000007";
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
    for (key, suspect) in [(OLD, old), (RECENT, recent)] {
        gateway
            .store
            .put_bytes("keyed.instances", key, suspect.encode_to_vec());
    }
    gateway.configure(1, "app");
    let keys = || gateway.store.newest("keyed.instances");
    wait_until(async || !keys().iter().any(|key| key == OLD)).await;
    assert!(keys().iter().any(|key| key == RECENT));
}
