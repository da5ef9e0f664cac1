//! A request keeps its fingerprint when it is repeated, and shares it with no other request.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serving::fingerprint::{Request, of, of_part};

/// Fixed, so that every run checks the same cases.
const SEED: u64 = 29;

const REQUEST: Request = Request {
    credentials: [b"", b"Bearer a"],
    method: "POST",
    host: "h",
    path: "/chat/1",
    body: b"hello",
};

#[test]
fn every_field_counts() {
    let others = [
        Request {
            credentials: [b"", b"Bearer b"],
            ..REQUEST
        },
        Request {
            method: "PUT",
            ..REQUEST
        },
        Request {
            host: "i",
            ..REQUEST
        },
        Request {
            path: "/chat/2",
            ..REQUEST
        },
        Request {
            body: b"hello!",
            ..REQUEST
        },
    ];
    for other in others {
        assert_ne!(of(&other), of(&REQUEST), "{other:?}");
    }
}

#[test]
fn parts_are_told_apart_by_model_and_id() {
    let part = of_part("m", "5c1e07a2");
    assert_eq!(of_part("m", "005C1E07A2"), part);
    for (model, id) in [("n", "5c1e07a2"), ("m", "5c1e07a3"), ("m5", "c1e07a2")] {
        assert_ne!(of_part(model, id), part, "{model} {id}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..ProptestConfig::default() })]
    /// Moving bytes from one field to the next changes the fingerprint.
    #[test]
    fn fields_do_not_run_into_each_other(text in "[a-z/]{2,12}", cut in 1usize..12, other in 1usize..12) {
        let at = |cut: usize| {
            let (path, body) = text.split_at(cut.min(text.len() - 1));
            of(&Request { path, body: body.as_bytes(), ..REQUEST })
        };
        let (cut, other) = (cut.min(text.len() - 1), other.min(text.len() - 1));
        prop_assert_eq!(at(cut) == at(other), cut == other);
    }
}
