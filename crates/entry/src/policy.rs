//! Overrides of the routing policy by the settings, for trials that compare policies with one
//! catalogue. In production, the catalogue's pools define the policy.

use std::collections::BTreeMap;

use routing::choice::Policy;
use settings::{Finding, Findings, Origin, Problem};

/// Overrides of the routing policy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Overrides {
    /// `policy.choice`, for all pools.
    pub choice: Option<Policy>,
    /// `policy.transfer`: whether prefill and decode may run on two engines.
    pub transfer: Option<bool>,
}

/// The policies by name. DRILL uses the parameters of its paper: two samples and one remembered
/// choice.
const CHOICES: [(&str, Policy); 8] = [
    ("round-robin", Policy::RoundRobin),
    ("random", Policy::Random),
    ("least-outstanding", Policy::LeastOutstanding),
    ("two-choices", Policy::TwoChoices),
    (
        "drill",
        Policy::Drill {
            samples: 2,
            memory: 1,
        },
    ),
    ("scan", Policy::FullScan),
    ("prefix-hash", Policy::PrefixHash),
    (
        "affinity",
        Policy::Affinity {
            samples: 4,
            memory: 0,
        },
    ),
];

const CHOICE_NAMES: &str = "one of round-robin, random, least-outstanding, two-choices, drill, \
     scan, prefix-hash, affinity";

impl TryFrom<&BTreeMap<String, String>> for Overrides {
    type Error = Findings;

    fn try_from(given: &BTreeMap<String, String>) -> Result<Self, Findings> {
        let mut overrides = Self::default();
        let mut findings = Vec::new();
        for (key, value) in given {
            let problem = match key.as_str() {
                "choice" => match CHOICES.iter().find(|(name, _)| name == value) {
                    Some((_, choice)) => {
                        overrides.choice = Some(*choice);
                        continue;
                    }
                    None => invalid(value, CHOICE_NAMES),
                },
                "transfer" => match value.parse() {
                    Ok(transfer) => {
                        overrides.transfer = Some(transfer);
                        continue;
                    }
                    Err(_) => invalid(value, "true or false"),
                },
                _ => Problem::Unknown { nearest: None },
            };
            findings.push(Finding {
                origin: Origin::NotGiven,
                key: format!("policy.{key}"),
                problem,
            });
        }
        match findings.is_empty() {
            true => Ok(overrides),
            false => Err(Findings(findings)),
        }
    }
}

fn invalid(given: &str, expected: &'static str) -> Problem {
    Problem::Invalid {
        given: given.to_owned(),
        expected,
    }
}
