//! Gateway processes beside entries of another writer among those of the engines.

mod harness;

use harness::{Gateway, wait_until};
use platform_standin::{Engine, Store};
use wire::Message as _;
use wire::gateway::{ServiceVersions, Suspect};

const TOPIC: &str = "keyed.servers";
/// Bytes of a value of which a few fill a page of the newest records.
const LARGE_VALUE_BYTES: usize = 200 * 1024;

/// An engine's record as text, with one field replaced or added.
fn entry(field: &str, value: &str) -> Vec<u8> {
    let mut fields = vec![
        ("service", r#""app""#),
        ("address", r#""127.0.0.1:9""#),
        ("zone", r#""a""#),
        ("slots", "8"),
        ("state", r#""ready""#),
    ];
    fields.retain(|(name, _)| *name != field);
    fields.push((field, value));
    let fields = fields
        .iter()
        .map(|(name, value)| format!(r#""{name}":{value}"#));
    format!("{{{}}}", fields.collect::<Vec<_>>().join(",")).into_bytes()
}

/// Content of a record.
fn record(key: &[u8], value: &[u8]) -> Vec<u8> {
    let size = u8::try_from(key.len()).expect("a key has at most 255 bytes");
    [&[size], key, value].concat()
}

/// Contents of records that name no engine.
fn odd_records() -> Vec<Vec<u8>> {
    let digits = "9".repeat(400);
    let numbers = [
        "-1",
        "1.5",
        "1e300",
        "1e400",
        "18446744073709551616",
        &digits,
    ];
    let mut values = Vec::new();
    for number in numbers {
        for field in ["slots", "born", "sequence"] {
            values.push(entry(field, number));
        }
    }
    for port in ["0", "-1", "65536", "70000", "", &digits] {
        values.push(entry("address", &format!(r#""127.0.0.1:{port}""#)));
    }
    for depth in [200, 20_000] {
        let (open, close) = ("[".repeat(depth), "]".repeat(depth));
        values.push(format!("{open}{close}").into_bytes());
        values.push(open.clone().into_bytes());
        values.push(r#"{"a":"#.repeat(depth).into_bytes());
        for field in ["models", "leaves_ms"] {
            values.push(entry(field, &format!("{open}{close}")));
        }
    }
    values.push(vec![0; LARGE_VALUE_BYTES]);
    values.push(vec![0xff, 0xfe]);
    values.push(entry("zone", &format!("[{}]", "1,".repeat(100_000))));
    let named = values.iter().enumerate();
    let named = named.map(|(n, value)| record(format!("odd-{n}").as_bytes(), value));
    let usual = entry("zone", r#""a""#);
    let keys: [&[u8]; 6] = [
        b"",
        b"a b#&%/\"",
        b"\xff\xfe",
        b"app-\xc3",
        b"\n",
        &[b'k'; 255],
    ];
    let keyed = keys.iter().map(|key| record(key, b"[1]"));
    let unreadable_keys = keys[..5].iter().map(|key| record(key, &usual));
    // Without a key, and with a shorter one than the length says.
    let without_key = [vec![], vec![9], vec![200, b'a', b'b']];
    named
        .chain(keyed)
        .chain(unreadable_keys)
        .chain(without_key)
        .collect()
}

fn put_odd_records(store: &Store) {
    for content in odd_records() {
        store.put_record(TOPIC, content);
    }
}

/// Waits until a call of this gateway reaches an engine.
async fn wait_until_used(gateway: &Gateway, engine: &Engine) {
    gateway.wait_until_ready(true).await;
    wait_until(async || {
        let id = gateway.fresh_id();
        gateway.call("/safe/a", &id, &[]).await;
        engine.run_count(&id) == 1
    })
    .await;
}

/// Replaces one engine of the service for plain calls by a new one, and waits until the gateways use only
/// that one.
async fn replace(gateways: &[&Gateway], old: &Engine, name: &str) -> Engine {
    let store = &gateways[0].store;
    let new = Engine::start(name).await;
    new.register(store, "app", "ready", None);
    store.put(TOPIC, &old.id, None);
    for gateway in gateways {
        wait_until_used(gateway, &new).await;
        wait_until(async || {
            let before = old.received().len();
            for _ in 0..10 {
                let id = gateway.fresh_id();
                gateway.call("/safe/a", &id, &[]).await;
            }
            old.received().len() == before
        })
        .await;
        gateway.wait_until_ready(true).await;
    }
    new
}

/// Guards against a gateway that reads nothing at its start since one entry cannot be read.
#[actix_rt::test]
async fn engines_are_followed_with_odd_entries_before_the_first_start() {
    let gateway = Gateway::start_unconfigured().await;
    put_odd_records(&gateway.store);
    let (gateway, app, _pool) = gateway.add_engines().await;
    let another = gateway.start_another();
    replace(&[&gateway, &another], &app, "app-2").await;
}

/// Guards against a reader that stays at an entry that it cannot read.
#[actix_rt::test]
async fn engines_are_followed_after_odd_entries() {
    let (gateway, app, _pool) = Gateway::start().await;
    put_odd_records(&gateway.store);
    let second = replace(&[&gateway], &app, "app-2").await;
    put_odd_records(&gateway.store);
    replace(&[&gateway], &second, "app-3").await;
}

/// Guards against instances that learn of no engine since a peer cannot send an entry.
#[actix_rt::test]
async fn engines_are_followed_through_a_peer_after_odd_entries() {
    let (gateway, app, _pool) = Gateway::start().await;
    let others: Vec<Gateway> = (0..3)
        .map(|_| gateway.start_another_on_slow_link())
        .collect();
    for other in &others {
        wait_until_used(other, &app).await;
    }
    let all: Vec<&Gateway> = std::iter::once(&gateway).chain(&others).collect();
    put_odd_records(&gateway.store);
    replace(&all, &app, "app-2").await;
}

/// Guards against a gateway that cannot read a store restored from a copy with odd entries.
#[actix_rt::test]
async fn engines_are_followed_after_a_store_restore_with_odd_entries() {
    let (gateway, app, _pool) = Gateway::start().await;
    put_odd_records(&gateway.store);
    let copy = gateway.store.backup();
    let second = replace(&[&gateway], &app, "app-2").await;
    gateway.store.restore(copy);
    second.register(&gateway.store, "app", "ready", None);
    put_odd_records(&gateway.store);
    replace(&[&gateway], &second, "app-3").await;
}

/// Guards against a gateway that reads nothing at its start since one value among the newest records is not
/// in base64.
#[actix_rt::test]
async fn engines_are_followed_beside_a_value_that_cannot_be_decoded() {
    let gateway = Gateway::start_unconfigured().await;
    gateway.store.put_bytes(TOPIC, "odd", b"[1]");
    gateway.store.replace_value(TOPIC, "odd", "!");
    let (gateway, app, _pool) = gateway.add_engines().await;
    replace(&[&gateway], &app, "app-2").await;
}

/// Guards against a gateway that reads one page again and again, or none, since the last key of a page does
/// not stand for itself in a URI.
#[actix_rt::test]
async fn engines_are_followed_with_a_page_that_ends_at_an_odd_key() {
    let keys: [&[u8]; 9] = [
        b"#",
        b" ",
        b"%",
        b"&",
        b"+",
        b"A=",
        b"\"",
        b"app\xc3\xa9",
        b"a\xff",
    ];
    for key in keys {
        let gateway = Gateway::start_unconfigured().await;
        // With those before it, the entry at the key fills a page.
        let before = (0..5).map(|n| format!("\u{1}{n}").into_bytes());
        for key in before.chain([key.to_vec()]) {
            let content = record(&key, &vec![0; LARGE_VALUE_BYTES]);
            gateway.store.put_record(TOPIC, content);
        }
        let (gateway, app, _pool) = gateway.add_engines().await;
        replace(&[&gateway], &app, "app-2").await;
    }
}

/// Guards against an engine whose own records count as those of an earlier start, since another writer's
/// entry under its key named one in the far future.
#[actix_rt::test]
async fn an_engine_is_used_again_after_an_entry_with_a_start_that_is_too_large() {
    let (gateway, app, _pool) = Gateway::start().await;
    for start in [u64::MAX, 1_785_000_000_123_000] {
        let odd = entry("born", &start.to_string());
        gateway.store.put_bytes(TOPIC, &app.id, &odd);
        let is_odd = "engine=app-1 state=Ready";
        let names_none = "an entry names no engine";
        let lines = || gateway.count_log_lines(is_odd) + gateway.count_log_lines(names_none);
        let before = lines();
        wait_until(async || lines() > before).await;
        app.register(&gateway.store, "app", "ready", None);
        wait_until_used(&gateway, &app).await;
    }
}

/// Guards against instances that stay without the engines among which one's record is too large for a
/// datagram.
#[actix_rt::test]
async fn a_peer_learns_of_an_entry_that_is_too_large_for_a_datagram() {
    let (gateway, app, _pool) = Gateway::start().await;
    let other = gateway.start_another_on_slow_link();
    wait_until_used(&other, &app).await;
    let second = Engine::start("app-2").await;
    second.register(&gateway.store, "app", "ready", None);
    let odd = entry("zone", &format!("{:?}", "a".repeat(LARGE_VALUE_BYTES)));
    gateway.store.put_bytes(TOPIC, &app.id, &odd);
    for gateway in [&gateway, &other] {
        wait_until_used(gateway, &second).await;
        let names_none = "an entry names no engine";
        wait_until(async || gateway.count_log_lines(names_none) == 1).await;
    }
}

/// Values that may stand under the keys of this system's own records.
fn odd_values() -> Vec<Vec<u8>> {
    let versions = ServiceVersions {
        service: "app".to_owned(),
        versions: vec![String::new(); 1_000],
        changed_unix_ms: u64::MAX,
        era: u64::MAX,
    };
    let suspect = Suspect {
        call_high: u64::MAX,
        call_low: u64::MAX,
        trials: u32::MAX,
        failed: u32::MAX,
        released_age_ms: u32::MAX,
        written_unix_ms: u64::MAX,
        part_place: u32::MAX,
        ..Suspect::default()
    };
    let text = [
        "127.0.0.1:9 a 18446744073709551615",
        "127.0.0.1:9 a 18446744073709551616",
        "[::1]:9 a 1",
        "0.0.0.0:0 a 1",
        "255.255.255.255:65535 a 1",
        r#"{"holder":"a","incarnation":1,"reports":[{"window":18446744073709551615,"counts":{"o":4294967295},"taken":false}]}"#,
        r#"{"held":true,"fixed":[{"service":"app","zone":"a","reclaimable":true,"engines":4294967295}]}"#,
        r#"{"version":18446744073709551616}"#,
    ];
    let mut values: Vec<Vec<u8>> = text.iter().map(|text| text.as_bytes().to_vec()).collect();
    values.extend([
        versions.encode_to_vec(),
        suspect.encode_to_vec(),
        vec![0xff],
    ]);
    values.push("[".repeat(20_000).into_bytes());
    values
}

/// Guards against a gateway that does not start, stops following or ends since a record of another writer
/// stands in one of the other topics that it reads.
#[actix_rt::test]
async fn gateways_start_and_serve_beside_odd_records_in_other_topics() {
    let gateway = Gateway::start_unconfigured().await;
    let put_all = || {
        for topic in ["keyed.instances", "keyed.orders", "keyed.op"] {
            for content in odd_records() {
                gateway.store.put_record(topic, content);
            }
            for value in odd_values() {
                for key in ["stage", "operator", "held/ff", "versions/ff", "127.0.0.1:9"] {
                    gateway.store.put_bytes(topic, key, &value);
                    gateway
                        .store
                        .put_bytes(topic, &format!("{key}{}", value.len()), &value);
                }
            }
        }
    };
    put_all();
    let app = Engine::start("app-1").await;
    app.register(&gateway.store, "app", "ready", None);
    gateway.configure(1, "app");
    let another = gateway.start_another();
    let second = replace(&[&gateway, &another], &app, "app-2").await;
    put_all();
    for value in odd_values() {
        gateway.store.put_bytes("keyed.op", "config", &value);
    }
    let third = gateway.start_another();
    gateway.configure(2, "app");
    replace(&[&gateway, &another, &third], &second, "app-3").await;
}
