//! What is reported to those that placed this instance's calls.

use std::net::SocketAddr;
use std::time::Duration;

use gateway::reports::Reports;
use serving::health::Outcome;

fn placer(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The calls that each placer is told are in hand.
fn open(reports: &Reports, now: Duration) -> Vec<(u16, Vec<u32>)> {
    let told = reports.take_open(now).into_iter();
    told.map(|(placer, reports)| (placer.port(), reports.open))
        .collect()
}

#[test]
fn each_placer_is_told_of_the_calls_that_it_placed() {
    let own = Reports::default();
    for (port, ticket) in [(1, 10), (1, 11), (2, 12)] {
        own.placement_requested(placer(port), ms(0));
        own.call_started((placer(port), ticket));
    }
    own.prompt_read((placer(1), 10), ms(5));
    own.call_ended((placer(1), 10), Some(Outcome::Success));
    let reports = own.take_reports(ms(8));
    assert_eq!(reports.len(), 1, "the other one has nothing to be told");
    let (to, told) = &reports[0];
    assert_eq!(
        (to.port(), told.read[0].age_ms, told.ended[0].ticket),
        (1, 3, 10)
    );
    assert!(own.take_reports(ms(9)).is_empty());
    assert_eq!(open(&own, ms(700)), [(1, vec![11]), (2, vec![12])]);
}

/// Symptom: engines look busy to those that place calls, for as long as the instances live, and are idle. Sequence: an answer comes too late,
/// and its call is placed elsewhere; the sender has no other call of that placer. Cause: it was told of the calls that were sent only.
#[test]
fn a_placer_whose_answer_was_not_followed_is_told_so_for_a_while() {
    let own = Reports::default();
    own.placement_requested(placer(1), ms(0));
    for now in [700, 1_400, 2_100, 2_800] {
        assert_eq!(open(&own, ms(now)), [(1, vec![])]);
    }
    open(&own, ms(3_500));
    assert!(open(&own, ms(4_200)).is_empty());
}
