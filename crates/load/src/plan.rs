//! The plan of a run: classes of requests with their rates, contracts and changes over time. Plans
//! are read from YAML and checked as a whole; see `docs/OPERATORS.md`, "Load for trials".

mod check;
pub mod raw;

use std::time::Duration;

use error_stack::Report;
use serde::de::DeserializeOwned;

use crate::finding;
use crate::swing::Swing;

/// A checked plan.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of arrivals, sizes and noise.
    pub seed: u64,
    /// How long requests arrive.
    pub duration: Duration,
    /// Time that the run waits for answers after the last arrival.
    pub grace: Duration,
    /// Width of the time buckets of the goodput curve.
    pub bucket: Duration,
    /// Limit for requests open at once.
    pub max_open: usize,
    /// Classes of requests.
    pub classes: Vec<Class>,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name in the report.
    pub name: String,
    /// API key of the caller.
    pub key: String,
    /// Mean arrivals a second, before swings.
    pub rate: f64,
    /// What is requested.
    pub kind: RequestKind,
    /// Time limits within which a request counts as good.
    pub contract: Contract,
    /// Whether the caller may repeat a call without a key.
    pub repeatable: bool,
    /// Whether the caller sends an `Idempotency-Key`.
    pub keyed: bool,
    /// Limit for attempts after the first.
    pub retries: u32,
    /// Time limit for an answer to begin before the next attempt.
    pub attempt_timeout: Option<Duration>,
    /// Time from arrival until the caller gives up.
    pub gives_up_after: Duration,
    /// Changes of its rate and token counts.
    pub swings: Vec<Swing>,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// A completion of a model.
    Completion(raw::Completion),
    /// A call of a plain service.
    Plain(raw::Plain),
}

/// Time limits within which a request counts as good.
pub type Contract = raw::Contract;

impl Plan {
    /// Reads and checks a plan.
    ///
    /// # Errors
    /// All findings, with their places.
    pub fn parse(yaml: &str) -> Result<Self, Report<finding::Findings>> {
        Self::parse_with(yaml, &[])
    }

    /// Reads and checks a plan, with the swings of other files appended to its own.
    ///
    /// # Errors
    /// All findings, with their places; swings of the other files are numbered after those of the
    /// plan.
    pub fn parse_with(yaml: &str, swings: &[String]) -> Result<Self, Report<finding::Findings>> {
        let mut raw: raw::Plan = read(yaml)?;
        for file in swings {
            raw.swings.extend(read::<raw::Swings>(file)?.swings);
        }
        Self::try_from(raw).map_err(Report::new)
    }

    /// Returns the plan with all rates multiplied.
    #[must_use]
    pub fn with_rate_factor(mut self, factor: f64) -> Self {
        for class in &mut self.classes {
            class.rate *= factor;
        }
        self
    }

    /// Returns the plan with another seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// The class at an index, which must come from this plan.
    pub(crate) fn class(&self, index: usize) -> &Class {
        &self.classes[index]
    }
}

fn read<T: DeserializeOwned>(yaml: &str) -> Result<T, Report<finding::Findings>> {
    serde_saphyr::from_str(yaml).map_err(|error| {
        let detail = error.to_string();
        let line = unknown_key_line(yaml, &detail);
        let place = line.map_or_else(|| "file".to_owned(), |line| format!("line {line}"));
        let mut findings = finding::Findings::default();
        findings.add(place, detail);
        Report::new(findings)
    })
}

/// Finds the line of an unknown key. The YAML library reports the position of all other faults but
/// not of this one, since the key is already consumed when its name is rejected.
fn unknown_key_line(yaml: &str, detail: &str) -> Option<usize> {
    let key = detail.split_once("unknown field `")?.1.split_once('`')?.0;
    let is_key = |line: &str| {
        line.split([' ', '{', ',', '-'])
            .any(|word| word.strip_suffix(':') == Some(key))
    };
    yaml.lines().position(is_key).map(|index| index + 1)
}
