//! Rate limits that engines announce, enforced by several gateways together.

mod harness;

use std::time::Duration;

use harness::kinds::{KINDS, RequestKind, Setup};
use harness::{Gateway, wait_until};
use platform_standin::Engine;
use tokio::time::{Instant, sleep};

/// Time after an engine's first announcement from which its limit binds all instances.
const KNOWN_EVERYWHERE: Duration = Duration::from_secs(3);
/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window that are allowed beyond one and a half times the limit.
const TOLERATED_REQUESTS: f64 = 5.0;
/// Rate limit of an engine, in requests per second.
const LIMIT_PER_S: f64 = 0.1;
/// Calls of each instance once all know the limit.
const CALLS_PER_INSTANCE: usize = 20;

/// Sends calls to all gateways until one has seen the limit.
async fn send_until_limit_known(kind: RequestKind, gateways: &[Gateway; 3]) {
    wait_until(async || {
        for gateway in gateways {
            kind.call(gateway).await;
        }
        let known = gateways.iter();
        let known = known.map(|gateway| gateway.count_log_lines("announces a rate limit"));
        known.sum::<usize>() > 0
    })
    .await;
}

/// The most requests that arrived within one window.
fn max_requests_in_window(arrivals: &[Instant]) -> usize {
    let windows = arrivals.iter().enumerate().map(|(first, from)| {
        let within = arrivals[first..]
            .iter()
            .take_while(|at| **at - *from < WINDOW);
        within.count()
    });
    windows.max().unwrap_or(0)
}

/// An engine must not get more requests than it announced, neither from several instances together
/// nor by a kind of request that skips the limit.
#[actix_rt::test]
async fn engines_get_no_more_requests_than_their_announced_limit() {
    let mut broken = Vec::new();
    for kind in KINDS {
        let mut setup = Setup::start(kind).await;
        setup.engine.announce_limit(Some(&LIMIT_PER_S.to_string()));
        send_until_limit_known(kind, &setup.gateways).await;
        setup.add_others().await;
        sleep(KNOWN_EVERYWHERE).await;
        let before = setup.engine.arrivals().len();
        for _ in 0..CALLS_PER_INSTANCE {
            for gateway in &setup.gateways {
                let status = kind.call(gateway).await;
                assert!(
                    status == 200 || matches!(kind, RequestKind::Resume),
                    "{kind:?}: {status}"
                );
            }
        }
        let most = max_requests_in_window(&setup.engine.arrivals()[before..]);
        #[allow(clippy::cast_precision_loss)]
        let is_kept = most as f64 <= 1.5 * LIMIT_PER_S * WINDOW.as_secs_f64() + TOLERATED_REQUESTS;
        if !is_kept {
            broken.push((kind, most));
        }
    }
    assert!(broken.is_empty(), "requests in a window: {broken:?}");
}

/// Three gateways that know the limit of the only engine for plain calls.
async fn start_with_one_limited_engine(limit: &str) -> ([Gateway; 3], Engine) {
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
            RequestKind::Plain.call(gateway).await;
        }
        all_know_limited(&gateways, 1).await
    })
    .await;
    (gateways, app)
}

/// Whether each gateway knows `count` engines with a limit.
async fn all_know_limited(gateways: &[Gateway], count: usize) -> bool {
    let line = format!("tarragon_limited_engines {count}\n");
    for gateway in gateways {
        if !gateway.metrics_page().await.contains(&line) {
            return false;
        }
    }
    true
}

/// Calls must neither wait for an engine until their callers leave, nor be refused although they
/// run.
#[actix_rt::test]
async fn calls_beyond_all_limits_get_retry_after_and_do_not_run() {
    let (gateways, app) = start_with_one_limited_engine("0.1").await;
    let mut refused = 0;
    for _ in 0..CALLS_PER_INSTANCE {
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
    // At ten seconds per call, the engine takes only a few.
    assert!(refused > 2 * CALLS_PER_INSTANCE, "{refused}");
}

/// An engine that has recovered must not stay excluded.
#[actix_rt::test]
async fn an_engine_that_lifts_its_limit_gets_calls_from_all_instances() {
    let (gateways, app) = start_with_one_limited_engine("2").await;
    app.announce_limit(None);
    wait_until(async || {
        for gateway in &gateways {
            RequestKind::Plain.call(gateway).await;
        }
        all_know_limited(&gateways, 0).await
    })
    .await;
    for gateway in &gateways {
        for _ in 0..CALLS_PER_INSTANCE {
            assert_eq!(RequestKind::Plain.call(gateway).await, 200);
        }
    }
}

/// An instance that starts must not have to learn of a limit by its own responses.
#[actix_rt::test]
async fn a_starting_instance_learns_limits_from_peers() {
    let (gateways, _app) = start_with_one_limited_engine("0.1").await;
    let mut newcomers = Vec::new();
    // Some of them become placers instead of those that know the limit.
    for _ in 0..4 {
        let newcomer = gateways[0].start_another();
        newcomer.wait_until_ready(true).await;
        newcomers.push(newcomer);
        wait_until(async || all_know_limited(&newcomers, 1).await).await;
    }
}

/// Guards against replacing an engine's limit by an older one, because an answer waited in the socket of an
/// instance that was stopped.
#[actix_rt::test]
async fn an_answer_that_waited_does_not_restore_an_older_limit() {
    let (gateway, _app, pool) = Gateway::start().await;
    let stopped = gateway.start_another();
    stopped.wait_until_ready(true).await;
    wait_until(async || {
        let page = stopped.metrics_page().await;
        page.contains("tarragon_engines 2\n")
    })
    .await;
    pool.set_prefill_time(Duration::from_millis(400));
    pool.announce_limit(Some("50"));
    let waiting = async {
        let answer = stopped.generate("/stream/a", &stopped.fresh_id()).await;
        assert_eq!(answer.status, 200);
    };
    let replaced = async {
        wait_until(async || pool.request_count("/stream/") > 0).await;
        stopped.signal("-STOP");
        sleep(Duration::from_millis(600)).await;
        pool.set_prefill_time(Duration::ZERO);
        pool.announce_limit(Some("2"));
        let id = gateway.fresh_id();
        assert_eq!(gateway.generate("/stream/b", &id).await.status, 200);
        wait_until(async || gateway.count_log_lines("limit=2 ") == 1).await;
        let before = gateway.count_log_lines("limit=50 ");
        stopped.signal("-CONT");
        before
    };
    let ((), before) = tokio::join!(waiting, replaced);
    // Limits are told at once.
    sleep(Duration::from_secs(1)).await;
    assert_eq!(gateway.count_log_lines("limit=50 "), before);
    wait_until(async || stopped.count_log_lines("limit=2 ") > 0).await;
}
