//! Duties that one instance at a time performs for all, at real gateway processes.

mod harness;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use harness::{Gateway, configuration, generation, wait_until};
use platform_standin::cloud::{Call, Fault};
use platform_standin::configuration::Duties;
use platform_standin::{Cloud, Engine};
use serde_json::{Value, json};

/// Short windows, so that tests see several; a report is late after four of them.
const WINDOW_MS: u32 = 1_500;
const LATE_MS: u32 = 8_000;

/// Length of streams that keep an engine busy while a test waits.
const STREAM_EVENTS: usize = 10;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

const KEYS: [(&str, &str); 2] = [("a", "key-of-a"), ("b", "key-of-b")];

fn configure(gateway: &Gateway, version: u64, autoscale: bool) {
    let mut configuration = configuration(version, "app");
    let organisations = KEYS.map(|(name, key)| json!({ "name": name, "api_keys": [key] }));
    configuration["tenants"] = json!(organisations);
    if autoscale {
        let services = configuration["services"].as_array_mut().expect("a list");
        for service in services {
            if service["name"] == "pool" {
                service["autoscale"] = json!({ "min": 1, "max": 40, "boot_s": 1.0, "spot_price": 0.2,
                    "zone_prices": { "a": 1.0 } });
            }
        }
    }
    gateway
        .store
        .put("keyed.op", "config", Some(&configuration));
}

async fn start() -> (Cloud, Gateway, Engine, Engine) {
    let cloud = Cloud::start().await;
    let duties = Duties {
        address: cloud.address,
        window_ms: WINDOW_MS,
        late_ms: LATE_MS,
    };
    let gateway = Gateway::with_duties(duties).await;
    configure(&gateway, 1, false);
    let app = Engine::start("app-1").await;
    let pool = Engine::start("pool-1").await;
    app.register(&gateway.store, "app", "ready", None);
    pool.register(&gateway.store, "pool", "ready", Some("decode"));
    gateway.wait_until_ready(true).await;
    (cloud, gateway, app, pool)
}

/// Total reported usage by organisation.
fn reported_usage(cloud: &Cloud) -> BTreeMap<String, u64> {
    let mut sums: BTreeMap<String, u64> = BTreeMap::new();
    let mut windows = BTreeSet::new();
    for call in cloud.calls("/usage") {
        // Repeats have the same content; `assert_one_report_a_window` checks that.
        if !call.taken || !windows.insert(window(&call)) {
            continue;
        }
        let counts = call.body["counts"].as_object().cloned().unwrap_or_default();
        for (organisation, count) in counts {
            *sums.entry(organisation).or_default() += count.as_u64().unwrap_or_default();
        }
    }
    sums
}

fn window(call: &Call) -> u64 {
    call.body["window_seq"].as_u64().unwrap_or_default()
}

async fn send_calls(gateway: &Gateway, organisation: usize, count: usize) {
    let key = ("key", KEYS[organisation].1);
    for _ in 0..count {
        let id = gateway.fresh_id();
        let id = format!("{organisation}{}{id}", gateway.front.port());
        let sizes = generation();
        let stream: Vec<_> = sizes.into_iter().chain([key]).collect();
        assert_eq!(gateway.call("/once/a", &id, &[key]).await.status, 200);
        let id = format!("{id}s");
        assert_eq!(gateway.call("/stream/a", &id, &stream).await.status, 200);
    }
}

fn assert_one_report_per_window(cloud: &Cloud) {
    let mut counts: BTreeMap<u64, Value> = BTreeMap::new();
    for call in cloud.calls("/usage") {
        let reported = call.body["counts"].clone();
        let before = counts
            .entry(window(&call))
            .or_insert_with(|| reported.clone());
        assert_eq!(*before, reported, "window {}", window(&call));
    }
}

/// Asserts that fencing tokens never fall, and rise with each change of the holder.
fn assert_tokens_rise(cloud: &Cloud, path: &str) {
    let mut last = (0, String::new());
    for call in cloud.calls(path) {
        assert!(call.fence >= last.0, "{call:?} after {last:?}");
        assert!(call.fence > last.0 || call.holder == last.1 || last.0 == 0);
        last = (call.fence, call.holder);
    }
}

#[actix_rt::test]
async fn usage_of_all_instances_is_reported() {
    let (cloud, gateway, _app, _pool) = start().await;
    let other = gateway.start_another_on_slow_link();
    other.wait_until_ready(true).await;
    wait_until(async || other.count_log_lines("instances that place calls") > 0).await;
    send_calls(&gateway, 0, 3).await;
    send_calls(&other, 0, 2).await;
    send_calls(&other, 1, 1).await;
    let expected = [("a".to_owned(), 10), ("b".to_owned(), 2)].into();
    wait_until(async || reported_usage(&cloud) == expected).await;
    assert_one_report_per_window(&cloud);
    assert_tokens_rise(&cloud, "/usage");
    let page = gateway.metrics_page().await;
    assert!(
        page.contains("tarragon_organisation_requests_total{organisation=\"a\"} 6"),
        "{page}"
    );
    // Keys are secret.
    for (_, key) in KEYS {
        assert_eq!(gateway.count_log_lines(key) + other.count_log_lines(key), 0);
    }
}

/// The platform carries out a report but its answer is lost. When the report was made anew for the
/// retry, after more had been counted, the platform got two different reports of one window.
#[actix_rt::test]
async fn an_unanswered_report_is_repeated_unchanged() {
    let (cloud, gateway, _app, _pool) = start().await;
    cloud.fault(Fault::Silent);
    send_calls(&gateway, 0, 2).await;
    wait_until(async || cloud.calls("/usage").len() >= 3).await;
    send_calls(&gateway, 0, 2).await;
    cloud.fault(Fault::None);
    wait_until(async || gateway.count_log_lines_with("use reported", "Taken") > 2).await;
    assert_one_report_per_window(&cloud);
    assert_tokens_rise(&cloud, "/usage");
}

/// The reporting instance is killed with a report fixed but not yet accepted, and another one takes
/// over. When it did not know what had been fixed, a window was reported twice or not at all.
#[actix_rt::test]
async fn a_successor_sends_the_fixed_reports() {
    let (cloud, gateway, _app, _pool) = start().await;
    let other = gateway.start_another_on_slow_link();
    other.wait_until_ready(true).await;
    cloud.fault(Fault::Silent);
    send_calls(&gateway, 0, 2).await;
    send_calls(&other, 1, 2).await;
    wait_until(async || !cloud.calls("/usage").is_empty()).await;
    gateway.signal("-KILL");
    cloud.fault(Fault::None);
    wait_until(async || {
        let calls = cloud.calls("/usage");
        let last = calls.last().expect("there was one").holder.clone();
        other.count_log_lines_with("use reported", "Taken") > 0 && calls[0].holder == last
            || calls
                .iter()
                .any(|call| call.fence > calls[0].fence && call.taken)
    })
    .await;
    wait_until(async || other.count_log_lines_with("use reported", "Taken") > 0).await;
    assert_one_report_per_window(&cloud);
    assert_tokens_rise(&cloud, "/usage");
}

/// Reports are fixed and sent; then the store is restored from an earlier copy and assigns its
/// offsets again. When tokens were plain offsets, and what the store had lost counted as not done,
/// orders of two holders carried the same token and a window was reported twice.
#[actix_rt::test]
async fn fencing_tokens_rise_and_reports_stay_after_a_store_restore() {
    let (cloud, gateway, _app, _pool) = start().await;
    wait_until(async || !cloud.calls("/usage").is_empty()).await;
    let copy = gateway.store.backup();
    send_calls(&gateway, 0, 2).await;
    let before = cloud.calls("/usage").len();
    wait_until(async || cloud.calls("/usage").len() > before + 1).await;
    gateway.store.restore(copy);
    wait_until(async || gateway.count_log_lines("the store has come back from an older copy") == 1)
        .await;
    let before = cloud.calls("/usage").len();
    wait_until(async || cloud.calls("/usage").len() > before + 2).await;
    assert_one_report_per_window(&cloud);
    assert_tokens_rise(&cloud, "/usage");
    let expected = [("a".to_owned(), 4)].into();
    wait_until(async || reported_usage(&cloud) == expected).await;
    send_calls(&gateway, 0, 1).await;
}

/// A busy platform is not called continuously.
#[actix_rt::test]
async fn a_busy_platform_is_called_with_pauses() {
    let (cloud, gateway, _app, _pool) = start().await;
    cloud.fault(Fault::Busy);
    wait_until(async || gateway.count_log_lines_with("use reported", "TooMany") >= 3).await;
    cloud.fault(Fault::None);
    wait_until(async || gateway.count_log_lines_with("use reported", "Taken") >= 1).await;
    assert_one_report_per_window(&cloud);
}

/// A deployment may use reclaimable engines. Nothing ordered any, so all engines were paid for in
/// full all day.
#[actix_rt::test]
async fn reclaimable_engines_replace_the_others() {
    let (cloud, gateway, _app, _pool) = start().await;
    let mut engines = Vec::new();
    for n in 0..9 {
        let engine = Engine::start(&format!("e{n}")).await;
        engine.register(&gateway.store, "pool", "ready", Some("decode"));
        engines.push(engine);
    }
    configure(&gateway, 2, true);
    wait_until(async || !cloud.calls("/scale").is_empty()).await;
    let first = cloud.calls("/scale").pop().expect("there is one");
    assert_eq!(first.body["spot"], json!(true), "{first:?}");
    assert_eq!(first.body["zone"], json!("a"));
    // There are ten; three tenths of their price buy fifteen reclaimable ones.
    wait_until(async || {
        let calls = cloud.calls("/scale");
        calls
            .last()
            .is_some_and(|call| call.body["desired"] == json!(15))
    })
    .await;
    for n in 0..15 {
        let engine = Engine::start(&format!("r{n}")).await;
        engine.register_reclaimable(&gateway.store, "pool", "decode");
        engines.push(engine);
    }
    wait_until(async || {
        let calls = cloud.calls("/scale");
        let last = calls.last().expect("there are some");
        last.body.get("spot").is_none() && last.body["desired"] == json!(1)
    })
    .await;
    assert_tokens_rise(&cloud, "/scale");
}

/// Calls that keep an engine busy all the time need few engines. Guards against paying for the
/// regular number all day, and against calls to engines that leave since they are not needed.
#[actix_rt::test]
async fn the_number_of_engines_falls_under_light_load() {
    let (cloud, gateway, _app, pool) = start().await;
    let mut engines = vec![pool];
    for n in 0..9 {
        let engine = Engine::start(&format!("e{n}")).await;
        engine.register(&gateway.store, "pool", "ready", Some("decode"));
        engines.push(engine);
    }
    configure(&gateway, 2, true);
    let ordered = || {
        let calls = cloud.calls("/scale").into_iter();
        let mut orders = calls.filter(|call| call.body["spot"] == json!(true) && call.taken);
        orders
            .next_back()
            .and_then(|call| call.body["desired"].as_u64())
    };
    wait_until(async || ordered() == Some(15)).await;
    let mut reclaimable = Vec::new();
    for n in 0..15 {
        let engine = Engine::start(&format!("r{n}")).await;
        engine.register_reclaimable(&gateway.store, "pool", "decode");
        reclaimable.push(engine);
    }
    for engine in engines.iter().chain(&reclaimable) {
        engine.set_stream(STREAM_EVENTS, EVENT_PAUSE);
    }
    let calls = async {
        loop {
            send_calls(&gateway, 0, 1).await;
        }
    };
    let falls = async {
        wait_until(async || ordered().is_some_and(|engines| engines < 15)).await;
        let desired = ordered().unwrap_or_default();
        let desired = usize::try_from(desired).expect("it fits");
        for (engine, leaves_ms) in reclaimable[desired..]
            .iter()
            .zip([json!(30_000), json!(-5)])
        {
            engine.register_leaving(&gateway.store, "pool", "decode", &leaves_ms);
        }
        wait_until(async || gateway.count_log_lines("engine leaves") == 2).await;
        let counts = || {
            reclaimable[desired..desired + 2]
                .iter()
                .map(|engine| engine.received().len())
        };
        let before: Vec<usize> = counts().collect();
        wait_until(async || ordered().is_some_and(|engines| engines < desired as u64)).await;
        assert!(counts().eq(before));
    };
    tokio::select! {
        () = calls => {}
        () = falls => {}
    }
    assert!(gateway.count_log_lines_with("engines ordered", "Load") > 0);
    assert_eq!(
        gateway.count_log_lines_with("engine leaves", "leaves_ms=Some(30000)"),
        1
    );
    assert!(gateway.count_log_lines("remaining time of an engine is invalid") > 0);
    assert_tokens_rise(&cloud, "/scale");
}

/// An operator suspends orders, fixes a number, and sees what was ordered.
#[actix_rt::test]
async fn an_operator_suspends_orders_and_fixes_numbers_of_engines() {
    let (cloud, gateway, _app, _pool) = start().await;
    let mut engines = Vec::new();
    for n in 0..9 {
        let engine = Engine::start(&format!("e{n}")).await;
        engine.register(&gateway.store, "pool", "ready", Some("decode"));
        engines.push(engine);
    }
    gateway.run_command(&["hold"]).await;
    configure(&gateway, 2, true);
    wait_until(async || gateway.count_log_lines_with("an operator's wishes", "held=true") == 1)
        .await;
    wait_until(async || gateway.count_log_lines("may give orders") > 2).await;
    assert!(cloud.calls("/scale").is_empty());
    let zone = "a";
    gateway
        .run_command(&["fix", "pool", zone, "7", "--reclaimable"])
        .await;
    gateway.run_command(&["resume"]).await;
    wait_until(async || {
        let calls = cloud.calls("/scale");
        calls
            .last()
            .is_some_and(|call| call.body["desired"] == json!(7))
    })
    .await;
    assert!(gateway.count_log_lines_with("engines ordered", "Fixed") > 0);
    wait_until(async || {
        let seen = gateway.run_command(&["engines"]).await;
        seen.contains("pool a began_with=10") && seen.contains("fixed reclaimable=7")
    })
    .await;
    gateway
        .run_command(&["fix", "pool", zone, "--reclaimable"])
        .await;
    wait_until(async || {
        let calls = cloud.calls("/scale");
        calls
            .last()
            .is_some_and(|call| call.body["desired"] == json!(15))
    })
    .await;
}
