//! What is reported to those that placed this instance's calls.

use std::net::SocketAddr;
use std::time::Duration;

use gateway::lent::Lent;
use serving::health::Outcome;

fn placer(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The calls that each placer is told are in hand.
fn open(lent: &Lent, now: Duration) -> Vec<(u16, Vec<u32>)> {
    let told = lent.take_open(now).into_iter();
    told.map(|(placer, lent)| (placer.port(), lent.open))
        .collect()
}

#[test]
fn each_placer_is_told_of_the_calls_that_it_placed() {
    let lent = Lent::default();
    for (port, ticket) in [(1, 10), (1, 11), (2, 12)] {
        lent.asked(placer(port), ms(0));
        lent.begun((placer(port), ticket));
    }
    lent.read((placer(1), 10), ms(5));
    lent.ended((placer(1), 10), Some(Outcome::Good));
    let reports = lent.take_reports(ms(8));
    assert_eq!(reports.len(), 1, "the other one has nothing to be told");
    let (to, told) = &reports[0];
    assert_eq!(
        (to.port(), told.read[0].age_ms, told.ended[0].ticket),
        (1, 3, 10)
    );
    assert!(lent.take_reports(ms(9)).is_empty());
    assert_eq!(open(&lent, ms(700)), [(1, vec![11]), (2, vec![12])]);
}

/// Symptom: engines look busy to those that place calls, for as long as the instances live, and are idle. Sequence: an answer comes too late,
/// and its call is placed elsewhere; the sender has no other call of that placer. Cause: it was told of the calls that were sent only.
#[test]
fn a_placer_whose_answer_was_not_followed_is_told_so_for_a_while() {
    let lent = Lent::default();
    lent.asked(placer(1), ms(0));
    for now in [700, 1_400, 2_100, 2_800] {
        assert_eq!(open(&lent, ms(now)), [(1, vec![])]);
    }
    open(&lent, ms(3_500));
    assert!(open(&lent, ms(4_200)).is_empty());
}
