//! Held answers respect their memory limit and their expiry.

use std::time::Duration;

use bytes::Bytes;
use entry::held_answers::{Answer, HeldAnswers, Lookup};

const MINUTE: Duration = Duration::from_secs(60);

fn answer(size: usize) -> Answer {
    Answer {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from(vec![b'x'; size]),
    }
}

#[test]
fn answer_is_replayed_only_to_the_same_request() {
    let mut answers = HeldAnswers::new(10_000);
    answers.insert(Duration::ZERO, MINUTE, [1; 16], [9; 16], answer(10));
    let same = answers.get(Duration::ZERO, &[1; 16], Some(&[9; 16]));
    assert_eq!(same, Some(Lookup::Answer(answer(10))));
    let other = answers.get(Duration::ZERO, &[1; 16], Some(&[8; 16]));
    assert_eq!(other, Some(Lookup::OtherRequest));
    assert_eq!(answers.get(Duration::ZERO, &[2; 16], None), None);
    assert_eq!(answers.get(MINUTE, &[1; 16], Some(&[9; 16])), None);
}

#[test]
fn oldest_answers_are_evicted_first() {
    let mut answers = HeldAnswers::new(1_000);
    for key in 0..20 {
        let now = Duration::from_secs(u64::from(key));
        answers.insert(now, MINUTE, [key; 16], [0; 16], answer(100));
        assert!(answers.size() <= 1_000);
    }
    let now = Duration::from_secs(20);
    assert_eq!(answers.get(now, &[0; 16], None), None);
    assert!(answers.get(now, &[19; 16], None).is_some());
    answers.insert(now, MINUTE, [50; 16], [0; 16], answer(5_000));
    assert_eq!(answers.get(now, &[50; 16], None), None);
    assert!(answers.get(now, &[19; 16], None).is_some());
}

#[test]
fn expired_answers_free_their_memory() {
    let mut answers = HeldAnswers::new(10_000);
    for key in 0..5 {
        answers.insert(Duration::ZERO, MINUTE, [key; 16], [0; 16], answer(100));
    }
    answers.insert(Duration::ZERO, MINUTE, [0; 16], [0; 16], answer(100));
    answers.expire(MINUTE);
    assert_eq!(answers.size(), 0);
}
