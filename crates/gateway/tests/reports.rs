//! Reports to the placers of this instance's calls.

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

/// The open calls reported to each placer.
fn open_calls(reports: &Reports, now: Duration) -> Vec<(u16, Vec<u32>)> {
    let reports_sent = reports.take_open(now).into_iter();
    reports_sent
        .map(|(placer, reports)| (placer.port(), reports.open))
        .collect()
}

#[test]
fn each_placer_gets_reports_on_the_calls_that_it_placed() {
    let own = Reports::default();
    for (port, ticket) in [(1, 10), (1, 11), (2, 12)] {
        own.placement_requested(placer(port), ms(0));
        own.call_started((placer(port), ticket));
    }
    own.prompt_read((placer(1), 10), ms(5));
    own.call_ended((placer(1), 10), Some(Outcome::Success), ms(6));
    let reports = own.take_reports(ms(8));
    assert_eq!(reports.len(), 1, "the other one has nothing to be told");
    let (to, reports_sent) = &reports[0];
    assert_eq!(
        (
            to.port(),
            reports_sent.read[0].age_ms,
            reports_sent.ended[0].ticket,
            reports_sent.ended[0].age_ms
        ),
        (1, 3, 10, 2)
    );
    assert!(own.take_reports(ms(9)).is_empty());
    assert_eq!(open_calls(&own, ms(700)), [(1, vec![11]), (2, vec![12])]);
}

/// A placer's answer comes too late and the call is placed elsewhere, while the sender has no other
/// call of that placer. When only calls that were sent were reported, the placer counted the call
/// for as long as both instances lived, and idle engines looked busy.
#[test]
fn a_placer_whose_answer_was_not_followed_gets_open_calls_for_a_while() {
    let own = Reports::default();
    own.placement_requested(placer(1), ms(0));
    for now in [700, 1_400, 2_100, 2_800] {
        assert_eq!(open_calls(&own, ms(now)), [(1, vec![])]);
    }
    open_calls(&own, ms(3_500));
    assert!(open_calls(&own, ms(4_200)).is_empty());
}
