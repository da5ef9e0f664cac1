//! Estimated waits of callers before their call arrives.

mod common;

use std::time::Duration;

use common::ms;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serving::prior_wait::{Awaited, PriorWaits};

/// Fixed, so that every run checks the same cases.
const SEED: u64 = 8;

#[test]
fn a_caller_that_waits_less_than_others_has_waited_before() {
    let mut usual = PriorWaits::default();
    assert_eq!(
        usual.estimate("r", ms(4_000), Awaited::FirstAnswer, ms(0)),
        Duration::ZERO
    );
    assert_eq!(
        usual.estimate("r", ms(2_700), Awaited::FirstAnswer, ms(10)),
        ms(1_300)
    );
    assert_eq!(
        usual.estimate("other", ms(600), Awaited::FirstAnswer, ms(10)),
        Duration::ZERO
    );
    assert_eq!(
        usual.estimate("r", ms(4_000), Awaited::FirstAnswer, ms(20)),
        Duration::ZERO
    );
}

/// Guards against treating returning callers as new for good: the first caller after an outage had
/// already waited, and its time was kept as the reference.
#[test]
fn the_longest_remaining_time_is_the_reference() {
    let mut usual = PriorWaits::default();
    usual.estimate("r", ms(2_700), Awaited::FirstAnswer, ms(0));
    usual.estimate("r", ms(4_000), Awaited::FirstAnswer, ms(10));
    assert_eq!(
        usual.estimate("r", ms(2_700), Awaited::FirstAnswer, ms(20)),
        ms(1_300)
    );
}

#[test]
fn an_unused_longest_time_expires() {
    let mut usual = PriorWaits::default();
    usual.estimate("r", ms(8_000), Awaited::FirstAnswer, ms(0));
    assert_eq!(
        usual.estimate("r", ms(4_000), Awaited::FirstAnswer, ms(59_000)),
        ms(4_000)
    );
    assert_eq!(
        usual.estimate("r", ms(4_000), Awaited::FirstAnswer, ms(61_000)),
        Duration::ZERO
    );
    assert_eq!(
        usual.estimate("r", ms(4_000), Awaited::FirstAnswer, ms(62_000)),
        Duration::ZERO
    );
}

/// Guards against treating less patient new callers as returning: each caller waits for between 85
/// and 100 percent of a common time, and most calls yielded on idle engines and were late together
/// in a peak.
#[test]
fn new_callers_with_different_patience_have_not_waited() {
    let mut usual = PriorWaits::default();
    let patience = |n: u64| ms(1_700 + n * 37 % 301);
    for n in 0..200 {
        usual.estimate("r", patience(n), Awaited::FirstAnswer, ms(n));
    }
    for n in 200..300 {
        assert_eq!(
            usual.estimate("r", patience(n), Awaited::FirstAnswer, ms(n)),
            Duration::ZERO
        );
    }
    assert!(usual.estimate("r", ms(1_200), Awaited::FirstAnswer, ms(300)) > ms(500));
}

/// As above, with every third caller a returning one.
#[test]
fn returning_callers_are_distinguished_from_less_patient_ones() {
    let mut usual = PriorWaits::default();
    let patience = |n: u64| ms(1_700 + n * 37 % 301);
    let (mut new, mut back) = (0, 0);
    for n in 0..600 {
        let is_back = n % 3 == 0;
        let left = if is_back {
            patience(n) - ms(700)
        } else {
            patience(n)
        };
        let waited = usual.estimate("r", left, Awaited::FirstAnswer, ms(n)) > Duration::ZERO;
        if n >= 300 && waited {
            *(if is_back { &mut back } else { &mut new }) += 1;
        }
    }
    assert_eq!((new, back), (0, 100));
}

/// Guards against streams whose callers resume them and that yield to all new calls, since the target of
/// their first event is over; and against new callers that count as patient ones among them.
#[test]
fn a_caller_that_resumes_a_stream_has_not_waited() {
    let mut usual = PriorWaits::default();
    usual.estimate("r", ms(4_000), Awaited::FirstAnswer, ms(0));
    for n in 1..300 {
        let waited = usual.estimate("r", ms(2_700), Awaited::NextEvent, ms(n));
        assert_eq!(waited, Duration::ZERO);
    }
    let waited = usual.estimate("r", ms(2_700), Awaited::FirstAnswer, ms(300));
    assert_eq!(waited, ms(1_300));
}

/// Guards against a panic for every later caller of a route, after one that waits for so long that
/// floating-point numbers do not hold its time.
#[test]
fn a_caller_that_waits_for_a_year_harms_no_other() {
    for patient in [31_535_999_975, 1 << 63, u64::MAX] {
        let mut usual = PriorWaits::default();
        assert_eq!(
            usual.estimate("r", ms(patient), Awaited::FirstAnswer, ms(0)),
            Duration::ZERO
        );
        for n in 1..100 {
            usual.estimate("r", ms(1_500), Awaited::FirstAnswer, ms(n));
        }
        assert_eq!(
            usual.estimate("r", ms(1_500), Awaited::FirstAnswer, ms(100)),
            Duration::ZERO
        );
    }
}

/// Times from none to the longest that there is, and around each power of two.
fn any_time() -> impl Strategy<Value = Duration> {
    let power = (0..64_u32, -2..=2_i64).prop_map(|(power, off)| {
        let millis = 1_u64 << power;
        ms(millis.saturating_add_signed(off))
    });
    prop_oneof![
        power,
        any::<u64>().prop_map(ms),
        (0..10_000_u64).prop_map(ms),
        Just(Duration::ZERO),
        Just(Duration::MAX),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..ProptestConfig::default() })]
    /// Guards against a panic, and an estimate beyond any caller's time, for whatever times callers state.
    #[test]
    fn estimates_are_within_the_times_that_callers_state(callers in prop::collection::vec((any_time(), any_time()), 1..60)) {
        let mut usual = PriorWaits::default();
        let longest = callers.iter().map(|(left, _)| *left).max().unwrap_or_default();
        for (left, now) in callers {
            prop_assert!(usual.estimate("r", left, Awaited::FirstAnswer, now) <= longest);
        }
    }
}
