//! The plan of a run: who asks for what, how often, under which contract, and how that moves.
//! A plan is read from YAML and checked whole; see `docs/OPERATORS.md`, "Load for trials".

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
    /// How long the run waits for answers after the last arrival.
    pub grace: Duration,
    /// Width of a step of the goodput curve.
    pub bucket: Duration,
    /// Most requests that may be open at once.
    pub max_open: usize,
    /// Kinds of requests.
    pub classes: Vec<Class>,
}

/// One kind of request.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name in the report.
    pub name: String,
    /// Key that the caller shows.
    pub key: String,
    /// Mean arrivals a second before swings.
    pub rate: f64,
    /// What is asked.
    pub kind: RequestKind,
    /// What the caller was promised.
    pub contract: Contract,
    /// Whether the caller may send it again without a key.
    pub repeatable: bool,
    /// Whether the caller sends an `Idempotency-Key`.
    pub keyed: bool,
    /// How often the caller tries again.
    pub retries: u32,
    /// The caller tries again if no answer has begun after this.
    pub attempt_timeout: Option<Duration>,
    /// When the caller goes away, after its arrival.
    pub gives_up_after: Duration,
    /// Changes of its rate and sizes.
    pub swings: Vec<Swing>,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// Tokens of a model.
    Completion(raw::Completion),
    /// A call of a plain service.
    Plain(raw::Plain),
}

/// What a caller was promised.
pub type Contract = raw::Contract;

impl Plan {
    /// Reads and checks a plan.
    ///
    /// # Errors
    /// Every finding, with its place.
    pub fn parse(yaml: &str) -> Result<Self, Report<finding::Findings>> {
        Self::parse_with(yaml, &[])
    }

    /// Reads and checks a plan with the swings of other files behind its own.
    ///
    /// # Errors
    /// Every finding, with its place; places of swings count on from those of the plan.
    pub fn parse_with(yaml: &str, swings: &[String]) -> Result<Self, Report<finding::Findings>> {
        let mut raw: raw::Plan = read(yaml)?;
        for file in swings {
            raw.swings.extend(read::<raw::Swings>(file)?.swings);
        }
        Self::try_from(raw).map_err(Report::new)
    }

    /// The plan with every rate multiplied.
    #[must_use]
    pub fn with_rate_factor(mut self, factor: f64) -> Self {
        for class in &mut self.classes {
            class.rate *= factor;
        }
        self
    }

    /// The plan with another seed.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// The class at an index that the plan itself gave out.
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

/// The line of an unknown key. The YAML library tells the place of every other fault but not of
/// this one, since the key is already consumed when its name is found to be wrong.
fn unknown_key_line(yaml: &str, detail: &str) -> Option<usize> {
    let key = detail.split_once("unknown field `")?.1.split_once('`')?.0;
    let is_key = |line: &str| {
        line.split([' ', '{', ',', '-'])
            .any(|word| word.strip_suffix(':') == Some(key))
    };
    yaml.lines().position(is_key).map(|index| index + 1)
}
