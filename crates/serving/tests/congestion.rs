//! Whether a silence may be due to the instance itself.

use std::net::SocketAddr;
use std::time::Duration;

use serving::congestion::{Cause, Congestion};

/// Bytes per second of a link of 10 Mbit/s.
const NARROW: f64 = 1.25e6;
const CONNECT_TIMEOUT: Duration = ms(350);

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

/// Twenty milliseconds of round trips to three peers, `late` beyond the usual one.
fn answers(congestion: &mut Congestion, late: Duration, until: Duration) {
    for number in 0..3 {
        congestion.on_round_trip(peer(number), ms(2) + late, until - ms(10));
    }
}

/// Guards against taking an engine that is silent for a fault of this instance.
#[test]
fn silence_of_an_idle_or_lightly_loaded_instance_is_not_its_own() {
    let mut congestion = Congestion::default();
    assert_eq!(congestion.explains_silence(ms(1_000), ms(1_350)), None);
    for step in 0..100 {
        let now = ms(step * 20);
        congestion.on_sent(20_000, NARROW, now);
        congestion.on_iteration(ms(1), now);
        answers(&mut congestion, ms(3), now + ms(10));
    }
    assert_eq!(congestion.explains_silence(ms(1_600), ms(1_950)), None);
}

/// Guards against time-outs behind the own bodies counting as lost paths.
#[test]
fn a_queue_before_the_link_explains_silence_until_it_is_sent() {
    let mut congestion = Congestion::default();
    congestion.on_sent(1_000_000, NARROW, ms(1_000));
    let cause = congestion.explains_silence(ms(1_000), ms(1_350));
    assert_eq!(cause, Some(Cause::Queue));
    congestion.on_sent(0, NARROW, ms(1_800));
    assert_eq!(
        congestion.explains_silence(ms(1_900), ms(1_900) + CONNECT_TIMEOUT),
        None
    );
}

/// Guards against missing what waits for the link without having been counted, and against one slow
/// engine hiding a loss.
#[test]
fn answers_late_on_all_connections_alike_explain_silence() {
    let mut congestion = Congestion::default();
    answers(&mut congestion, ms(0), ms(500));
    for number in 0..3 {
        congestion.on_round_trip(peer(number), ms(200), ms(1_200));
    }
    let (begun, now) = (ms(1_000), ms(1_350));
    let cause = congestion.explains_silence(begun, now);
    assert_eq!(cause, Some(Cause::Link));
    assert_eq!(congestion.round_trip_delay(now), ms(198));
    congestion.on_round_trip(peer(4), ms(3), ms(1_250));
    assert_eq!(congestion.explains_silence(begun, now), None);
    assert_eq!(congestion.round_trip_delay(now), ms(1));
}

/// Guards against the answers of one slow peer, or none at all, being taken for a full link.
#[test]
fn one_late_peer_or_none_does_not_explain_silence() {
    let mut congestion = Congestion::default();
    for step in 0..10 {
        congestion.on_round_trip(peer(1), ms(300), ms(1_000 + 50 * step));
    }
    assert_eq!(congestion.explains_silence(ms(1_000), ms(1_500)), None);
    assert_eq!(congestion.round_trip_delay(ms(1_500)), Duration::ZERO);
}

/// Guards against time-outs that elapse while the event loop stands still.
#[test]
fn a_late_event_loop_explains_silence_for_as_long_as_it_stood() {
    let mut congestion = Congestion::default();
    congestion.on_iteration(ms(330), ms(1_340));
    let cause = congestion.explains_silence(ms(1_000), ms(1_350));
    assert_eq!(cause, Some(Cause::EventLoop));
    assert_eq!(congestion.explains_silence(ms(1_500), ms(1_850)), None);
    // A single late iteration is no standing delay.
    assert_eq!(congestion.event_loop_delay(ms(1_350)), Duration::ZERO);
    congestion.on_iteration(ms(40), ms(1_400));
    assert_eq!(congestion.event_loop_delay(ms(1_410)), ms(40));
}

/// Guards against time-outs that are seen after a stop before the event loop's own timer is.
#[test]
fn an_iteration_that_is_overdue_and_has_not_run_explains_silence() {
    let mut congestion = Congestion::default();
    congestion.expect_iteration(ms(1_020));
    let silence = |congestion: &Congestion| congestion.explains_silence(ms(1_000), ms(1_350));
    assert_eq!(silence(&congestion), Some(Cause::EventLoop));
    // An iteration that is not due yet, or only just, explains nothing.
    congestion.expect_iteration(ms(1_360));
    assert_eq!(silence(&congestion), None);
    congestion.expect_iteration(ms(1_330));
    assert_eq!(silence(&congestion), None);
    // What was late before the silence began does not count.
    congestion.expect_iteration(ms(900));
    assert_eq!(congestion.explains_silence(ms(1_340), ms(1_350)), None);
}

/// Guards against taking answers that a full receiving direction drops for lost paths, and against
/// single slow callers concealing lost paths.
#[test]
fn requests_that_do_not_arrive_explain_silence() {
    let mut congestion = Congestion::default();
    for overdue in 0..3 {
        let cause = congestion.explains_silence(ms(1_000), ms(1_350));
        assert_eq!(cause, None, "{overdue} connections");
        congestion.on_overdue(ms(1_100 + 10 * overdue));
    }
    let cause = congestion.explains_silence(ms(1_000), ms(1_350));
    assert_eq!(cause, Some(Cause::Receiving));
    assert_eq!(congestion.explains_silence(ms(1_300), ms(1_650)), None);
}
