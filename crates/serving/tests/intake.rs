//! Which connections an instance accepts.

use std::collections::VecDeque;
use std::time::Duration;

use serving::intake::{Charge, Intake, Limits, Load, Reason};

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A link of this many Mbit/s, for callers that wait 60 ms at most.
fn limits(link_mbps: f64) -> Limits {
    Limits {
        bytes_per_second: link_mbps * 1e6 / 8.0,
        descriptors: 4_100,
        memory: 160_000_000,
        max_wait: ms(60),
    }
}

fn busy() -> Load {
    Load {
        requests: 1,
        descriptors: Some(40),
        ..Load::default()
    }
}

/// Requests that arrive evenly, each on a connection of its own.
#[derive(Clone, Copy)]
struct Arrivals {
    per_second: u64,
    bytes: u64,
    /// Engines that each body is sent to, the second one after 200 ms.
    copies: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    accepted: u64,
    closed: u64,
    /// Times that the intake closed.
    periods: usize,
    /// Share of the link's time that the accepted requests take, in the busier direction.
    used: f64,
    /// Longest wait of a byte for the link.
    longest_wait: Duration,
}

const SECONDS: u64 = 10;

/// Plays arrivals over a link that carries its rate exactly.
#[allow(clippy::cast_precision_loss)]
fn play(arrivals: Arrivals, limits: &Limits) -> Outcome {
    let mut intake = Intake::default();
    let mut outcome = Outcome::default();
    let mut second_copies: VecDeque<Duration> = VecDeque::new();
    let (mut queued, mut sent) = (0.0_f64, 0);
    let mut was_closed = false;
    let step = Duration::from_micros(1_000_000 / arrivals.per_second);
    let rate = limits.bytes_per_second;
    for number in 0..arrivals.per_second * SECONDS {
        let now =
            ms(1_000) + step * u32::try_from(number).expect("ten seconds have fewer arrivals");
        let mut copies = 0;
        while second_copies.front().is_some_and(|due| *due <= now) {
            second_copies.pop_front();
            copies += 1;
        }
        match intake.admit(limits, &busy(), now) {
            Ok(charge) => {
                outcome.accepted += 1;
                intake.on_request(arrivals.bytes, charge, limits, now);
                copies += 1;
                if arrivals.copies > 1 {
                    second_copies.push_back(now + ms(200));
                }
            }
            Err(reason) => {
                assert_eq!(reason, Reason::Link);
                outcome.closed += 1;
            }
        }
        let is_closed = intake.closed().is_some();
        outcome.periods += usize::from(is_closed && !was_closed);
        was_closed = is_closed;
        let bytes = copies * arrivals.bytes;
        intake.on_traffic(bytes, bytes / arrivals.copies, now);
        sent += bytes;
        queued = (queued - rate * step.as_secs_f64()).max(0.0) + bytes as f64;
        let wait = Duration::from_secs_f64(queued / rate);
        outcome.longest_wait = outcome.longest_wait.max(wait);
    }
    outcome.used = sent as f64 / (rate * SECONDS as f64);
    outcome
}

/// Guards against reading more than the link carries, against closing more than that needs, and
/// against opening and closing with each connection.
#[test]
fn what_is_accepted_fills_most_of_the_link_and_no_more() {
    for (per_second, bytes, copies) in [
        (125, 17_000, 2),
        (125, 17_000, 1),
        (125, 5_800, 2),
        (3_000, 1_200, 2),
        (1_000, 5_800, 2),
    ] {
        let arrivals = Arrivals {
            per_second,
            bytes,
            copies,
        };
        for max_wait in [60, 30] {
            let limits = Limits {
                max_wait: ms(max_wait),
                ..limits(10.0)
            };
            let outcome = play(arrivals, &limits);
            let (least, most) = (0.65, 0.9);
            assert!(
                (least..most).contains(&outcome.used) && outcome.closed > 0,
                "{per_second} of {bytes}: {outcome:?}"
            );
            // Second copies come on top of what was accepted last.
            assert!(outcome.longest_wait < ms(180), "{outcome:?}");
            assert!(
                outcome.accepted >= outcome.periods as u64,
                "{per_second} of {bytes}: {outcome:?}"
            );
        }
    }
}

/// Guards against an instance closing connections whose requests it can carry.
#[test]
fn load_within_the_limits_is_accepted() {
    for (link_mbps, per_second, bytes) in [
        (10.0, 60, 5_800),
        (200.0, 250, 17_000),
        (200.0, 1_000, 5_800),
    ] {
        let arrivals = Arrivals {
            per_second,
            bytes,
            copies: 2,
        };
        let outcome = play(arrivals, &limits(link_mbps));
        assert_eq!(outcome.closed, 0, "{outcome:?}");
    }
}

/// Guards against a large request keeping small ones out for as long as it takes.
#[test]
fn a_large_request_keeps_others_out_only_briefly() {
    let limits = limits(10.0);
    let mut intake = Intake::default();
    let charge = intake.admit(&limits, &busy(), ms(1_000)).unwrap();
    intake.on_request(4_000_000, charge, &limits, ms(1_000));
    assert_eq!(intake.admit(&limits, &busy(), ms(1_001)), Err(Reason::Link));
    assert!(intake.admit(&limits, &busy(), ms(1_250)).is_ok());
}

/// Guards against sending bodies once for longer than the link is full, and against changing from one
/// way to the other with each connection.
#[test]
fn a_link_counts_as_full_for_a_second_after_connections_were_closed_for_it() {
    let limits = limits(10.0);
    let mut intake = Intake::default();
    let mut now = ms(1_000);
    assert!(!intake.is_link_full(&limits, now));
    while intake.admit(&limits, &busy(), now).is_ok() {}
    now += ms(990);
    assert!(intake.admit(&limits, &busy(), now).is_ok());
    assert!(intake.is_link_full(&limits, now));
    now += ms(60);
    assert!(!intake.is_link_full(&limits, now));
}

/// Guards against requests of accepted connections waiting behind each other in the receiving
/// direction, after their charges have drained, and against idle connections closing an idle instance.
#[test]
fn unread_connections_close_an_instance_whose_link_is_in_use() {
    let limits = limits(10.0);
    let mut intake = Intake::default();
    let unread = |unread| Load { unread, ..busy() };
    assert!(intake.admit(&limits, &unread(1_000), ms(900)).is_ok());
    for step in 0..100 {
        let now = ms(1_000 + 20 * step);
        intake.on_traffic(0, 16_000, now);
        let charge = intake.admit(&limits, &busy(), now).unwrap_or_default();
        intake.on_request(8_000, charge, &limits, now);
    }
    // Seven of 8,000 bytes take 56 ms, as a megabyte a second is left for requests.
    let now = ms(3_300);
    assert!(intake.admit(&limits, &unread(7), now).is_ok());
    let now = ms(3_400);
    assert_eq!(intake.admit(&limits, &unread(8), now), Err(Reason::Link));
    // Between the two limits, it stays as it is.
    assert_eq!(intake.admit(&limits, &unread(4), now), Err(Reason::Link));
    assert!(intake.admit(&limits, &unread(3), now).is_ok());
    let now = ms(5_000);
    assert!(intake.admit(&limits, &unread(1_000), now).is_ok());
}

/// Guards against sending requests that were received too late, and against refusing those that are
/// large or for which the own link is not the cause.
#[test]
fn a_request_that_the_full_link_made_late_is_too_late() {
    let limits = limits(10.0);
    let mut intake = Intake::default();
    let now = ms(1_000);
    let is_too_late = |intake: &Intake, elapsed, transmission, now| {
        intake.is_too_late(ms(elapsed), ms(transmission), ms(250), &limits, now)
    };
    assert!(!is_too_late(&intake, 300, 10, now));
    while intake.admit(&limits, &busy(), now).is_ok() {}
    assert!(is_too_late(&intake, 300, 10, now));
    // What was accepted before takes 60 ms or more to be sent.
    assert!(is_too_late(&intake, 195, 10, now));
    assert!(!is_too_late(&intake, 150, 10, now));
    assert!(!is_too_late(&intake, 300, 250, now));
    assert!(!is_too_late(&intake, 195, 10, ms(1_500)));
    assert!(!is_too_late(&intake, 300, 10, ms(3_000)));
}

/// Guards against late answers or iterations, whose cause is elsewhere, closing an idle instance.
#[test]
fn measured_delays_close_only_an_instance_that_is_loaded() {
    let limits = limits(10.0);
    let late = Load {
        round_trip_delay: ms(200),
        ..busy()
    };
    let mut intake = Intake::default();
    assert!(intake.admit(&limits, &late, ms(1_000)).is_ok());
    for step in 0..100 {
        intake.on_traffic(0, 20_000, ms(1_000 + 20 * step));
    }
    let now = ms(3_000);
    assert_eq!(intake.admit(&limits, &late, now), Err(Reason::Delay));
    let better = Load {
        round_trip_delay: ms(40),
        ..busy()
    };
    // Between the two limits, it stays as it is.
    assert_eq!(intake.admit(&limits, &better, now), Err(Reason::Delay));
    assert!(intake.admit(&limits, &busy(), now).is_ok());
    assert!(intake.admit(&limits, &better, now).is_ok());
    let mut late = Load {
        event_loop_delay: ms(200),
        ..busy()
    };
    let now = ms(4_000);
    assert_eq!(intake.admit(&limits, &late, now), Err(Reason::EventLoop));
    late.requests = 0;
    assert!(intake.admit(&limits, &late, now).is_ok());
}

/// Guards against running out of descriptors or memory, and against staying shut.
#[test]
fn descriptors_and_memory_close_and_reopen() {
    let limits = limits(1_000.0);
    let mut intake = Intake::default();
    let mut admit = |descriptors, memory| {
        let load = Load {
            descriptors: Some(descriptors),
            memory,
            ..busy()
        };
        intake.admit(&limits, &load, ms(1_000)).map(|_| ())
    };
    assert_eq!(admit(3_600, 0), Ok(()));
    assert_eq!(admit(3_700, 0), Err(Reason::Descriptors));
    assert_eq!(admit(3_400, 0), Err(Reason::Descriptors));
    assert_eq!(admit(3_300, 0), Ok(()));
    assert_eq!(admit(10, 81_000_000), Err(Reason::Memory));
    assert_eq!(admit(10, 50_000_000), Err(Reason::Memory));
    assert_eq!(admit(10, 39_000_000), Ok(()));
}

/// Guards against a few of the largest legal requests that make each idle connection count as one of them.
#[test]
fn connections_are_accepted_long_after_two_very_large_requests() {
    let limits = limits(10.0);
    let mut intake = Intake::default();
    for second in 0..2 {
        let now = ms(second * 1_000);
        let charge = intake.admit(&limits, &busy(), now);
        let charge = charge.expect("the link is free");
        intake.on_request(4_000_000, charge, &limits, now);
    }
    for idle in 0..3 {
        let admitted = intake.admit(&limits, &busy(), ms(60_000 + idle));
        assert!(admitted.is_ok(), "{idle}: {admitted:?}");
    }
}

/// Guards against an intake that stays closed for seconds after callers that sent many small requests on
/// their connections have gone.
#[test]
fn connections_are_accepted_soon_after_a_flood_on_kept_connections() {
    let limits = limits(10.0);
    let mut intake = Intake::default();
    for request in 0..10_000 {
        let now = Duration::from_micros(request);
        intake.on_request(600, Charge::default(), &limits, now);
    }
    let refused = intake.admit(&limits, &busy(), ms(10));
    assert_eq!(refused, Err(Reason::Link));
    let admitted = intake.admit(&limits, &busy(), ms(1_010));
    assert!(admitted.is_ok(), "{admitted:?}");
}
