//! Which instances read the store.

mod common;

use common::ms;
use serving::watch::{Deferred, ReaderReport, TopicState, Watch, announced_read, is_resumption};

const OWN_ORDER: u64 = 50;

/// The state at a version; equal versions have equal digests.
fn state(version: u64) -> TopicState {
    TopicState {
        upto: version,
        digest: version,
    }
}

fn report(order: u64, heard: u64, read: Option<u64>, knows: u64) -> ReaderReport {
    ReaderReport {
        order,
        heard_at: ms(heard),
        read_at: read.map(ms),
        state: state(knows),
    }
}

fn is_due(watch: &mut Watch, others: &[ReaderReport], now: u64) -> bool {
    is_due_at(watch, 0, others, now)
}

fn is_due_at(watch: &mut Watch, rank: u32, others: &[ReaderReport], now: u64) -> bool {
    let others = others.iter().copied();
    watch.is_due(OWN_ORDER, rank, others, Some(state(7)), ms(now))
}

#[test]
fn two_preceding_fresh_readers_suffice() {
    let mut watch = Watch::default();
    let others = [
        report(1, 9_900, Some(9_800), 7),
        report(2, 9_900, Some(9_700), 7),
    ];
    assert!(!is_due(&mut watch, &others, 10_000));
    assert!(is_due(&mut watch, &others[..1], 10_000));
}

#[test]
fn succeeding_readers_do_not_count() {
    let mut watch = Watch::default();
    let others = [
        report(51, 9_900, Some(9_800), 7),
        report(52, 9_900, Some(9_700), 7),
    ];
    assert!(is_due(&mut watch, &others, 10_000));
}

/// Guards against handling requests by a replaced configuration at all instances but the readers:
/// the two readers are cut off from the store or from the others, which relied on them without
/// checking how old their reads are.
#[test]
fn disconnected_readers_do_not_count() {
    let mut watch = Watch::default();
    let cut_from_store = [report(1, 9_900, Some(7_000), 7), report(2, 9_900, None, 7)];
    assert!(is_due(&mut watch, &cut_from_store, 10_000));
    let cut_from_here = [
        report(1, 8_000, Some(8_000), 7),
        report(2, 8_000, Some(8_000), 7),
    ];
    assert!(is_due(&mut watch, &cut_from_here, 10_000));
}

#[test]
fn a_lasting_difference_is_read_once_a_second() {
    let mut watch = Watch::default();
    let at = |now: u64| [report(1, now, Some(now), 8), report(2, now, Some(now), 8)];
    assert!(!is_due(&mut watch, &at(10_000), 10_000));
    assert!(!is_due(&mut watch, &at(10_500), 10_500));
    assert!(is_due(&mut watch, &at(10_800), 10_800));
    assert!(!is_due(&mut watch, &at(10_900), 10_900));
    assert!(is_due(&mut watch, &at(11_900), 11_900));
}

/// Guards against hundreds of paid calls per second to a store that has turned its readers away:
/// the readers become stale, and every instance read for itself again and again.
#[test]
fn instances_join_one_by_one_in_an_outage() {
    let stale = [report(1, 9_900, None, 7), report(2, 9_900, None, 7)];
    let reads_after = |rank: u32| {
        let mut watch = Watch::default();
        let tries = (0..).step_by(50);
        let mut due = tries.filter(|after| is_due_at(&mut watch, rank, &stale, 10_000 + after));
        due.next().expect("every instance joins eventually")
    };
    assert_eq!([0, 1, 2, 3].map(reads_after), [0, 0, 150, 300]);
    assert!(reads_after(295) > 8_000);
}

#[test]
fn a_fresh_reader_resets_the_wait_of_later_instances() {
    let mut watch = Watch::default();
    let stale = [report(1, 9_900, None, 7), report(2, 9_900, None, 7)];
    assert!(!is_due_at(&mut watch, 10, &stale, 10_000));
    let fresh = [
        report(1, 11_000, Some(11_000), 7),
        report(2, 11_000, Some(11_000), 7),
    ];
    assert!(!is_due_at(&mut watch, 10, &fresh, 11_100));
    assert!(!is_due_at(&mut watch, 10, &stale, 12_000));
}

/// Guards against every instance reading all records once a second while engines are replaced: news
/// arrives within half a second, but comparing digests alone shows a difference between any two
/// states in time.
#[test]
fn news_in_transit_causes_no_read() {
    let mut watch = Watch::default();
    for step in 0..100 {
        let now = 10_000 + 100 * step;
        // The readers hear of a change every 100 ms, this instance half a second later.
        let readers = [
            report(1, now, Some(now), step + 5),
            report(2, now, Some(now), step + 4),
        ];
        let due = watch.is_due(
            OWN_ORDER,
            0,
            readers.into_iter(),
            Some(state(step)),
            ms(now),
        );
        assert!(!due, "at step {step}");
    }
}

/// Lost news is detected once later news has arrived, even while more follows.
#[test]
fn lost_news_causes_a_read() {
    let mut watch = Watch::default();
    let mut due_at = None;
    for step in 0..20 {
        let now = 10_000 + 100 * step;
        let reader = report(1, now, Some(now), step / 5);
        let own = TopicState {
            upto: step / 5,
            digest: 1_000 + step / 5,
        };
        let others = [reader, report(2, now, Some(now), 0)];
        if watch.is_due(OWN_ORDER, 0, others.into_iter(), Some(own), ms(now)) {
            due_at = due_at.or(Some(now));
        }
    }
    assert_eq!(due_at, Some(10_700));
}

/// Guards against every instance reading all records when the first reader loses the store: the
/// second reader reads that an engine left and leaves it to the first one to tell, which is turned
/// away before it reads it.
#[test]
fn news_missed_by_the_first_reader_is_told_by_the_second() {
    let mut deferred = Deferred::default();
    deferred.defer("read by both", 10, ms(1_000));
    deferred.defer("read by the second", 11, ms(1_100));
    let first_knows = |_: &&str| Some(10);
    assert!(deferred.take_due(first_knows, ms(1_300)).is_empty());
    assert!(deferred.take_due(first_knows, ms(1_460)).is_empty());
    assert_eq!(
        deferred.take_due(first_knows, ms(1_600)),
        ["read by the second"]
    );
    assert!(deferred.take_due(|_| None, ms(9_000)).is_empty());
}

/// Guards against calls to engines that left while the store turned its readers away: until another
/// reader is heard of, the store counts as away and lapses are doubted.
#[test]
fn the_first_read_of_a_new_reader_is_announced_at_once() {
    assert!(is_resumption(None, ms(9_000)));
    assert!(is_resumption(Some(ms(7_000)), ms(9_000)));
    assert!(!is_resumption(Some(ms(8_600)), ms(9_000)));
}

/// Guards against a slow store making readers seem late, so that more and more instances read it, and against a
/// reader that was stopped passing for one that has just read.
#[test]
fn a_read_is_announced_from_its_answer_unless_that_took_too_long() {
    let asked = ms(1_000);
    assert_eq!(announced_read(asked, asked + ms(450)), asked + ms(450));
    assert_eq!(announced_read(asked, asked + ms(3_000)), asked + ms(500));
}
