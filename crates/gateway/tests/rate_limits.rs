//! Rate limits that engines announce, kept by several gateways together.

mod harness;

use std::time::Duration;

use platform_standin::engine::Behaviour;
use platform_standin::{Engine, request};
use harness::{Gateway, wait_until};
use tokio::time::{Instant, sleep};

/// Time after an engine's first announcement from which its limit binds all instances.
const KNOWN_EVERYWHERE: Duration = Duration::from_secs(3);
/// Span of time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests beyond one and a half times the limit that are allowed in a window.
const ALLOWED_MORE: f64 = 5.0;
/// Requests a second that a limited engine takes.
const LIMIT: f64 = 0.1;
/// Calls of each instance once all know the limit.
const CALLS: usize = 20;

/// Time that engines which generate take to read a prompt.
const READING: Duration = Duration::from_millis(60);

/// A way by which calls reach an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Plain calls.
    Run,
    /// Prompts that are read for another engine.
    Read,
    /// Prompts that are read where their answers are generated.
    Generate,
    /// Memory of prompts that is taken over.
    TakeOver,
    /// Streams that go on after another engine broke them off.
    Resume,
}

impl Way {
    fn path(self) -> &'static str {
        match self {
            Self::Run => "/safe/",
            Self::Resume => "/resume/",
            Self::Read | Self::Generate | Self::TakeOver => "/stream/",
        }
    }

    async fn call(self, gateway: &Gateway) -> u16 {
        let id = gateway.fresh_id();
        // A prompt that no engine has read, and long enough to be read apart.
        let prefix = format!("aa{id}:40000,bb{id}:10000");
        let headers = match self {
            Self::Run => Vec::new(),
            _ => request::generation_headers("50000,20", &prefix).to_vec(),
        };
        gateway.call(self.path(), &id, &headers).await.status
    }
}

/// Three gateways, of which the last asks the others for places, that know the limit of an engine, and engines beside it that can
/// do all without it.
struct Setting {
    gateways: [Gateway; 3],
    limited: Engine,
    _others: Vec<Engine>,
}

impl Setting {
    async fn start(way: Way) -> Self {
        let first = Gateway::start_unconfigured().await;
        let (service, stage) = match way {
            Way::Run => ("app", None),
            Way::Read => ("pool", Some("prefill")),
            Way::Generate | Way::TakeOver | Way::Resume => ("pool", Some("decode")),
        };
        let mut engines = Engines::default();
        // Of engines alike, the one with the first id is chosen.
        let limited = engines.add(&first, "limited", service, stage).await;
        if way == Way::Read {
            let generating = engines.add(&first, "other-2", "pool", Some("decode")).await;
            generating.set_prefill_time(READING);
        }
        first.configure(1, "app");
        first.wait_until_ready(true).await;
        let (second, third) = (first.start_another(), first.start_another_on_slow_link());
        let gateways = [first, second, third];
        engines.until_known(&gateways).await;
        limited.announce_limit(Some(&LIMIT.to_string()));
        announce(way, &gateways).await;
        engines.add_rest(way, &gateways[0]).await;
        if way == Way::TakeOver {
            limited.set_prefill_time(READING);
        }
        engines.until_known(&gateways).await;
        Self {
            gateways,
            limited,
            _others: engines.started,
        }
    }
}

/// Sends calls to all gateways until one has been told of the limit.
async fn announce(way: Way, gateways: &[Gateway; 3]) {
    wait_until(async || {
        for gateway in gateways {
            way.call(gateway).await;
        }
        let known = gateways.iter();
        let known = known.map(|gateway| gateway.count_log_lines("announces a rate limit"));
        known.sum::<usize>() > 0
    })
    .await;
}

#[derive(Default)]
struct Engines {
    started: Vec<Engine>,
}

impl Engines {
    async fn add(
        &mut self,
        gateway: &Gateway,
        id: &str,
        service: &str,
        stage: Option<&str>,
    ) -> Engine {
        let engine = Engine::start(id).await;
        engine.register(&gateway.store, service, "ready", stage);
        self.started.push(engine.clone());
        engine
    }

    /// Adds those that can do all without the limited one.
    async fn add_rest(&mut self, way: Way, gateway: &Gateway) {
        self.add(gateway, "other-1", "app", None).await;
        if way != Way::Read {
            let generating = self.add(gateway, "other-2", "pool", Some("decode")).await;
            generating.set_prefill_time(READING);
        }
        if way == Way::TakeOver {
            self.add(gateway, "other-3", "pool", Some("prefill")).await;
        }
        if way == Way::Resume {
            let broken = self.add(gateway, "broken", "pool", Some("decode")).await;
            broken.set_behaviour(Behaviour::CutAfter(1));
        }
    }

    async fn until_known(&self, gateways: &[Gateway; 3]) {
        let all = format!("tarragon_engines {}\n", self.started.len());
        for gateway in gateways {
            gateway.wait_until_ready(true).await;
            wait_until(async || gateway.metrics_page().await.contains(&all)).await;
        }
    }
}

/// The most requests that an engine got within one window.
fn most_in_a_window(arrivals: &[Instant]) -> usize {
    let windows = arrivals.iter().enumerate().map(|(first, from)| {
        let within = arrivals[first..]
            .iter()
            .take_while(|at| **at - *from < WINDOW);
        within.count()
    });
    windows.max().unwrap_or(0)
}

/// Guards against an engine in need that gets more requests than it announced to take, from several instances or on one
/// of the ways to an engine that do not look at its limit.
#[actix_rt::test]
async fn engines_get_no_more_requests_than_the_limit_that_they_announce() {
    let mut broken = Vec::new();
    for way in [
        Way::Run,
        Way::Read,
        Way::Generate,
        Way::TakeOver,
        Way::Resume,
    ] {
        let setting = Setting::start(way).await;
        sleep(KNOWN_EVERYWHERE).await;
        let before = setting.limited.arrivals().len();
        for _ in 0..CALLS {
            for gateway in &setting.gateways {
                let status = way.call(gateway).await;
                assert!(
                    status == 200 || matches!(way, Way::Resume),
                    "{way:?}: {status}"
                );
            }
        }
        let most = most_in_a_window(&setting.limited.arrivals()[before..]);
        #[allow(clippy::cast_precision_loss)]
        let is_kept = most as f64 <= 1.5 * LIMIT * WINDOW.as_secs_f64() + ALLOWED_MORE;
        if !is_kept {
            broken.push((way, most));
        }
    }
    assert!(broken.is_empty(), "requests in a window: {broken:?}");
}

/// Three gateways that know the limit of the only engine of plain calls.
async fn with_one_engine(limit: &str) -> ([Gateway; 3], Engine) {
    let (first, app, _pool) = Gateway::start().await;
    let (second, third) = (first.start_another(), first.start_another_on_slow_link());
    let gateways = [first, second, third];
    for gateway in &gateways {
        gateway.wait_until_ready(true).await;
        wait_until(async || {
            gateway
                .metrics_page()
                .await
                .contains("tarragon_engines 2\n")
        })
        .await;
    }
    app.announce_limit(Some(limit));
    wait_until(async || {
        for gateway in &gateways {
            Way::Run.call(gateway).await;
        }
        limited(&gateways, 1).await
    })
    .await;
    (gateways, app)
}

/// Whether each gateway knows of so many engines with a limit.
async fn limited(gateways: &[Gateway], count: usize) -> bool {
    let line = format!("tarragon_limited_engines {count}\n");
    for gateway in gateways {
        if !gateway.metrics_page().await.contains(&line) {
            return false;
        }
    }
    true
}

/// Guards against calls that wait for an engine until their callers leave, and against refusals of calls that run.
#[actix_rt::test]
async fn calls_beyond_the_limits_of_all_engines_are_refused_truly_with_a_time() {
    let (gateways, app) = with_one_engine("0.1").await;
    let mut refused = 0;
    for _ in 0..CALLS {
        for gateway in &gateways {
            let id = gateway.fresh_id();
            let id = format!("{id}-{}", gateway.front.port());
            let answer = gateway.call("/once/", &id, &[]).await;
            if answer.status == 503 {
                assert!(answer.retry_after.is_some());
                assert!(answer.text().contains("rate limits are used up"));
                assert_eq!(app.run_count(&id), 0);
                refused += 1;
            } else {
                assert_eq!((answer.status, app.run_count(&id)), (200, 1));
            }
        }
    }
    // What takes ten seconds a call takes a few of them at the most.
    assert!(refused > 2 * CALLS, "{refused}");
}

/// Guards against an engine that recovered and is still left aside.
#[actix_rt::test]
async fn an_engine_that_lifts_its_limit_gets_calls_again_from_all() {
    let (gateways, app) = with_one_engine("2").await;
    app.announce_limit(None);
    wait_until(async || {
        for gateway in &gateways {
            Way::Run.call(gateway).await;
        }
        limited(&gateways, 0).await
    })
    .await;
    for gateway in &gateways {
        for _ in 0..CALLS {
            assert_eq!(Way::Run.call(gateway).await, 200);
        }
    }
}

/// Guards against an instance that starts and learns of a limit only by its own answers.
#[actix_rt::test]
async fn an_instance_that_starts_is_told_of_limits() {
    let (gateways, _app) = with_one_engine("0.1").await;
    let mut newcomers = Vec::new();
    // Some of them place calls in the stead of those that know.
    for _ in 0..4 {
        let newcomer = gateways[0].start_another();
        newcomer.wait_until_ready(true).await;
        newcomers.push(newcomer);
        wait_until(async || limited(&newcomers, 1).await).await;
    }
}
