//! The order in which messages to other instances are sent.

mod common;

use common::ms;
use serving::outbox::Outbox;

const FRAME_BYTES: usize = 100;

#[test]
fn messages_are_sent_twice_and_new_ones_first() {
    let mut outbox = Outbox::default();
    outbox.push("a", 10, ms(0));
    assert_eq!(outbox.take(FRAME_BYTES, ms(0)), ["a"]);
    assert!(outbox.take(FRAME_BYTES, ms(100)).is_empty());
    outbox.push("b", 10, ms(400));
    assert_eq!(outbox.take(FRAME_BYTES, ms(400)), ["b", "a"]);
    assert_eq!(outbox.take(FRAME_BYTES, ms(800)), ["b"]);
    assert!(outbox.take(FRAME_BYTES, ms(9_000)).is_empty());
}

#[test]
fn a_frame_holds_what_fits_and_one_message_at_least() {
    let mut outbox = Outbox::default();
    for (message, bytes) in [("large", 300), ("b", 60), ("c", 60)] {
        outbox.push(message, bytes, ms(0));
    }
    assert_eq!(outbox.take(FRAME_BYTES, ms(0)), ["large"]);
    assert_eq!(outbox.take(FRAME_BYTES, ms(0)), ["b"]);
    assert_eq!(outbox.take(FRAME_BYTES, ms(0)), ["c"]);
}
