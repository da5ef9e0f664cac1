//! Dates of what was received.

use std::time::Duration;

use clock::Moment;
use serving::receipt::{Inbox, Receipt, Rounds};

const fn ms(time: u64) -> Moment {
    Duration::from_millis(time)
}

/// Guards against taking a datagram that waited in its socket for one that has just arrived.
#[test]
fn datagrams_handled_after_a_stop_date_from_before_it() {
    let mut inbox = Inbox::new(ms(0));
    inbox.on_empty(ms(1_000));
    for handled in [ms(4_000), ms(4_003)] {
        let expected = Receipt {
            arrived: ms(1_000),
            handled,
        };
        assert_eq!(inbox.receipt(handled), expected);
    }
    inbox.on_empty(ms(4_004));
    assert_eq!(inbox.receipt(ms(4_104)).arrived, ms(4_104));
    assert_eq!(inbox.receipt(ms(4_105)).arrived, ms(4_004));
}

/// Guards against a check that took long, and ended after a later one had begun.
#[test]
fn an_older_check_makes_no_receipt_older() {
    let mut inbox = Inbox::new(ms(0));
    inbox.on_empty(ms(900));
    inbox.on_empty(ms(800));
    assert_eq!(inbox.receipt(ms(1_500)).arrived, ms(900));
}

/// Guards against taking an answer that waited in its connection for one that has just arrived: the timer's
/// task runs before it once the process goes on.
#[test]
fn answers_handled_after_a_stop_date_from_before_it() {
    let mut rounds = Rounds::default();
    for round in [ms(960), ms(980), ms(1_000)] {
        rounds.on_round(round);
    }
    assert_eq!(rounds.arrival(ms(1_010)), ms(1_010));
    rounds.on_round(ms(4_000));
    assert_eq!(rounds.arrival(ms(4_005)), ms(1_000));
    rounds.on_round(ms(4_020));
    assert_eq!(rounds.arrival(ms(4_025)), ms(4_025));
}
