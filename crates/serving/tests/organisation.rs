//! Identification of organisations by their keys.

use std::rc::Rc;

use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serving::organisation::{Digest, Directory, Finding, Organisation, Salt, digest};

/// Fixed, so that every run checks the same cases.
const SEED: u64 = 23;

const SALT: Salt = [7; 32];

fn organisation(name: &str, keys: &[&str]) -> (Organisation, Vec<Digest>) {
    let digests = keys.iter().map(|key| digest(&SALT, key.as_bytes()));
    let organisation = Organisation {
        name: Rc::from(name),
        priority: None,
    };
    (organisation, digests.collect())
}

fn holder<'a>(directory: &'a Directory, key: &str) -> Option<&'a str> {
    let holder = directory.holder(key.as_bytes())?;
    Some(&holder.name)
}

#[test]
fn every_key_identifies_its_organisation() {
    let all = vec![
        organisation("a", &["k1", "k2"]),
        organisation("b", &["k3"]),
        organisation("none", &[]),
    ];
    let directory = Directory::new(SALT, all).unwrap();
    assert_eq!(holder(&directory, "k1"), Some("a"));
    assert_eq!(holder(&directory, "k2"), Some("a"));
    assert_eq!(holder(&directory, "k3"), Some("b"));
    assert_eq!(holder(&directory, ""), None);
}

/// Guards against a key given to two organisations: the later one silently won, and callers were
/// served as either, depending on the order of a map.
#[test]
fn all_faults_of_a_directory_are_reported() {
    let all = vec![
        organisation("a", &["k1"]),
        organisation("b", &["k1"]),
        organisation("b", &[]),
        organisation("", &[]),
    ];
    let findings = Directory::new(SALT, all).unwrap_err();
    assert_matches!(
        &findings[..],
        [
            Finding::SharedKey(_, _),
            Finding::SharedName(_),
            Finding::NoName
        ]
    );
}

#[test]
fn a_key_listed_twice_by_one_organisation_is_valid() {
    let all = vec![organisation("a", &["k1", "k1"])];
    let directory = Directory::new(SALT, all).unwrap();
    assert_eq!(holder(&directory, "k1"), Some("a"));
}

/// 10,000 keys, a tenth of which belong to one organisation.
#[test]
fn ten_thousand_keys_are_distinguished() {
    let key = |number: usize| format!("key-{number}");
    let of = |name: usize, numbers: std::ops::Range<usize>| {
        let keys: Vec<String> = numbers.map(key).collect();
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        organisation(&format!("o{name}"), &keys)
    };
    let all = (0..10).map(|name| of(name, name * 1_000..(name + 1) * 1_000));
    let directory = Directory::new(SALT, all.collect()).unwrap();
    for number in 0..10_000 {
        let expected = format!("o{}", number / 1_000);
        assert_eq!(holder(&directory, &key(number)), Some(expected.as_str()));
    }
    assert_eq!(holder(&directory, &key(10_000)), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..ProptestConfig::default() })]
    /// A part of a key, or a longer text, identifies nobody.
    #[test]
    fn a_different_key_identifies_nobody(key in "[a-z0-9]{8,24}", other in "[a-z0-9]{0,25}") {
        let directory = Directory::new(SALT, vec![organisation("a", &[&key])]).unwrap();
        prop_assert_eq!(holder(&directory, &other).is_some(), key == other);
        prop_assert_eq!(holder(&directory, &key[..key.len() - 1]), None);
    }
}
