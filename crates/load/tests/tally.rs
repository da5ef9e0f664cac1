//! When a request counts as good, and how tallies add up.

use std::time::Duration;

use load::plan::Contract;
use load::tally::{Bucket, Outcome, Tally};
use load::verdict::Verdict;

const MS: Duration = Duration::from_millis(1);

const CONTRACT: Contract = Contract {
    deadline: Duration::from_secs(1),
    first_token: Some(Duration::from_millis(100)),
    between_tokens: Some(Duration::from_millis(10)),
};

fn outcome() -> Outcome {
    Outcome {
        at: 1_500 * MS,
        verdict: Verdict::Served,
        status: None,
        detail: None,
        whole: 900 * MS,
        first_token: Some(100 * MS),
        token_gaps: vec![5 * MS, 15 * MS],
        tokens: 3,
        retries: 1,
        resumes: 0,
    }
}

#[test]
fn request_is_good_only_within_all_limits_of_its_contract() {
    let late = Outcome {
        whole: 1_001 * MS,
        ..outcome()
    };
    let slow_start = Outcome {
        first_token: Some(101 * MS),
        ..outcome()
    };
    let slow_tokens = Outcome {
        token_gaps: vec![5 * MS, 16 * MS],
        ..outcome()
    };
    let refused = Outcome {
        verdict: Verdict::Refused,
        ..outcome()
    };
    assert!(outcome().is_good(&CONTRACT));
    for bad in [late, slow_start, slow_tokens, refused] {
        assert!(!bad.is_good(&CONTRACT), "{bad:?}");
    }
}

#[test]
fn tallies_add_up() {
    let second = Duration::from_secs(1);
    let (mut one, mut two) = (Tally::default(), Tally::default());
    one.record(&outcome(), &CONTRACT, second);
    let refused = Outcome {
        at: 3 * second,
        verdict: Verdict::Refused,
        status: Some(503),
        detail: Some("full".to_owned()),
        ..outcome()
    };
    two.record(&refused, &CONTRACT, second);
    two.record_unsent(Duration::ZERO, second);
    one.add(&two);
    assert_eq!((one.offered, one.good, one.unsent), (3, 1, 1));
    assert_eq!(one.ended(Verdict::Refused), 1);
    assert_eq!(one.statuses.get(&503), Some(&1));
    assert_eq!(one.causes.get("full"), Some(&1));
    assert_eq!(
        (
            one.whole.count(),
            one.between_tokens.count(),
            one.refusal.count()
        ),
        (1, 2, 1)
    );
    let step = |offered, good| Bucket { offered, good };
    assert_eq!(
        one.buckets,
        [step(1, 0), step(1, 1), step(0, 0), step(1, 0)]
    );
    assert!((one.goodput() - 1.0 / 3.0).abs() < 1e-12);
}
