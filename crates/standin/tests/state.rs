//! Tests of the other modules without I/O: completion text, prefix cache, orders, cache events,
//! load history, log and instance list.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use standin::engine::batch::Load;
use standin::engine::events;
use standin::engine::orders::{Decision, OrderTable, State};
use standin::engine::prefix::{Cache, Change, block_hashes};
use standin::engine::report::LoadHistory;
use standin::engine::{chat_prompt, expected_text, token};
use standin::platform::instances::{Instance, Kind, List};
use standin::platform::log::{Limits, Log, Page};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn text_is_a_function_of_the_prompt() {
    let text = expected_text("a prompt", 20);
    let tokens = (0..20).map(|index| token("a prompt", index));
    assert_eq!(text, tokens.collect::<String>());
    assert_eq!(text.split_whitespace().count(), 20);
    assert!(expected_text("a prompt", 30).starts_with(&text));
    assert_ne!(text, expected_text("another prompt", 20));
    assert_eq!(
        chat_prompt([("user", "a"), ("system", "b")]),
        "user: a\nsystem: b"
    );
}

#[test]
fn block_hash_covers_the_preceding_prompt() {
    let one = block_hashes("m", "a b c d e f g", 2);
    let other = block_hashes("m", "a b x d e f", 2);
    assert_eq!(one.len(), 3);
    assert_eq!(one[0], other[0]);
    assert_ne!(one[1], other[1]);
    assert_ne!(one[2], other[2]);
    assert_ne!(one[0], block_hashes("n", "a b", 2)[0]);
    assert_eq!(one, block_hashes("m", "a  b\nc d e f", 2));
}

#[test]
fn cache_evicts_the_end_of_the_oldest_prompt_first() {
    let mut cache = Cache::new(2, 6);
    let (old, new) = (
        block_hashes("m", "a b c d", 2),
        block_hashes("m", "v w x y", 2),
    );
    let mut changes = Vec::new();
    cache.store(&old, &mut changes);
    cache.store(&new, &mut changes);
    assert_eq!(changes.len(), 5);
    let (hash, tokens) = (old[1], 4);
    assert_eq!(changes[4], Change::Evicted { hash, tokens });
    assert_eq!(cache.lookup(&old), 2);
    assert_eq!(cache.lookup(&new), 4);
}

#[test]
fn outdated_fencing_token_is_rejected_and_repeat_has_no_effect() {
    let mut orders = OrderTable::new(true);
    assert_eq!(orders.submit(31, 12), Decision::Begin);
    assert_eq!(orders.submit(31, 12), Decision::Known(State::Running));
    assert_eq!(orders.submit(32, 13), Decision::Busy(31));
    // The order rejected as busy has raised the newest token already.
    assert_eq!(orders.submit(33, 12), Decision::OldFence(13));
    orders.finish(31, State::Done);
    assert_eq!(orders.submit(31, 12), Decision::Known(State::Done));
    assert_eq!(orders.submit(32, 13), Decision::Begin);
    assert_matches!(orders.running(), Some(status) if status.order == 32);
}

#[test]
fn outdated_fencing_token_is_accepted_without_the_check() {
    let mut orders = OrderTable::new(false);
    assert_eq!(orders.submit(32, 13), Decision::Begin);
    orders.finish(32, State::Done);
    assert_eq!(orders.submit(31, 12), Decision::Begin);
    assert_eq!(orders.fence(), 13);
}

#[test]
fn cancelled_order_never_begins() {
    let mut orders = OrderTable::new(true);
    assert_eq!(orders.cancel(31, 12), Decision::Known(State::Cancelled));
    assert_eq!(orders.submit(31, 12), Decision::Known(State::Cancelled));
    assert_eq!(orders.submit(32, 12), Decision::Begin);
    assert_eq!(orders.cancel(32, 12), Decision::Known(State::Running));
    assert_eq!(orders.cancel(33, 11), Decision::OldFence(12));
    assert_matches!(orders.running(), Some(status) if status.order == 32);
}

#[test]
fn cache_events_are_delayed_and_have_gaps() {
    let mut log = events::EventLog::new(SECOND);
    let stored = |hash| Change::Stored { hash, tokens: 16 };
    log.push(Duration::ZERO, stored(1), false);
    log.push(Duration::ZERO, stored(2), true);
    log.push(SECOND, stored(3), false);
    assert_eq!(log.read(SECOND / 2, 1), (1, Vec::new()));
    let (next, seen) = log.read(SECOND, 1);
    assert_eq!((next, seen.len()), (2, 1));
    let (next, seen) = log.read(2 * SECOND, next);
    assert_eq!(next, 4);
    assert_matches!(seen.as_slice(), [event] if event.n == 3 && event.prefix == "0000000000000003");
}

#[test]
fn load_report_is_at_least_as_old_as_the_lag() {
    let mut history = LoadHistory::default();
    for running in 0..5 {
        let load = Load {
            running,
            ..Load::default()
        };
        history.push(running as u32 * SECOND, load);
    }
    let (age, load) = history.lagged(4 * SECOND + SECOND / 2, 2 * SECOND);
    assert_eq!((age, load.running), (2 * SECOND + SECOND / 2, 2));
    assert_eq!(history.lagged(4 * SECOND, 9 * SECOND).1.running, 0);
}

fn limits() -> Limits {
    Limits {
        max_age: 10 * SECOND,
        max_records: 0,
        append_rate: 0.0,
    }
}

#[test]
fn log_retains_records_by_age() {
    let mut log = Log::new(limits());
    for second in 0..20 {
        let offset = log.append(second * SECOND, Bytes::from(vec![second as u8]));
        assert_eq!(offset, Some(u64::from(second) + 1));
    }
    assert_eq!((log.first(), log.next()), (10, 21));
    assert_eq!(log.read(19 * SECOND, 9, 10), Page::Gone);
    assert_matches!(log.read(19 * SECOND, 10, 3), Page::Records(records) => {
        let offsets = records.iter().map(|record| (record.offset, record.data[0]));
        assert_eq!(offsets.collect::<Vec<_>>(), [(10, 9), (11, 10), (12, 11)]);
    });
    assert_eq!(log.read(19 * SECOND, 21, 3), Page::Records(Vec::new()));
    // Offsets continue after all records expired.
    assert_eq!(log.read(99 * SECOND, 20, 3), Page::Gone);
    assert_eq!((log.first(), log.next()), (21, 21));
}

#[test]
fn log_retains_records_by_count_and_limits_the_append_rate() {
    let mut log = Log::new(Limits {
        max_records: 3,
        append_rate: 40.0,
        ..limits()
    });
    let burst = (0..15).filter_map(|_| log.append(SECOND, Bytes::new()));
    assert_eq!(burst.count(), 10);
    assert_eq!((log.first(), log.next()), (8, 11));
    let refilled = (0..15).filter_map(|_| log.append(SECOND + SECOND / 10, Bytes::new()));
    assert_eq!(refilled.count(), 4);
}

#[test]
fn instance_list_lags_and_freezes() {
    let mut list = List::new();
    list.register(
        SECOND,
        Instance {
            id: "engine-1".to_owned(),
            kind: Kind::Engine,
            pool: "llm-pool".to_owned(),
            data_centre: "ate".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            state: Default::default(),
        },
    );
    assert!(list.leave(2 * SECOND, "engine-1"));
    assert!(list.remove(3 * SECOND, "engine-1"));
    assert!(!list.remove(3 * SECOND, "engine-1"));
    let versions = (0..6).map(|now| list.lagged(now * SECOND, 2 * SECOND, false).version);
    assert_eq!(versions.collect::<Vec<_>>(), [0, 0, 0, 1, 2, 3]);
    assert_eq!(list.lagged(3 * SECOND, 2 * SECOND, true).version, 1);
    assert_eq!(list.lagged(9 * SECOND, 2 * SECOND, true).version, 1);
    assert_eq!(list.lagged(9 * SECOND, 2 * SECOND, false).version, 3);
}
