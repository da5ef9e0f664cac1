//! Compares variants in one run. Their segments alternate, so that drift of the machine affects all
//! variants alike, and the segments of one round have the same arrivals.

use std::collections::BTreeMap;
use std::time::Duration;

use error_stack::Report;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::finding;
use crate::summary::Summary;

/// A comparison, as written in YAML.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Number of rounds; each variant runs once in each.
    #[serde(default = "default_rounds")]
    pub rounds: usize,
    /// Wait after a variant was applied.
    #[serde(default = "default_settle", with = "humantime_serde")]
    pub settle: Duration,
    /// The variants; ratios are relative to the first.
    pub variants: Vec<Variant>,
}

/// One variant.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name in the result.
    pub name: String,
    /// Entries for this variant, in place of the common ones.
    #[serde(default)]
    pub targets: Vec<String>,
    /// Fields to merge into pools of the catalogue before each segment.
    #[serde(default)]
    pub pools: BTreeMap<String, Value>,
}

impl Experiment {
    /// Reads and checks a comparison.
    ///
    /// # Errors
    /// All findings, with their places.
    pub fn parse(yaml: &str) -> Result<Self, Report<finding::Findings>> {
        let mut findings = finding::Findings::default();
        let experiment: Self = serde_saphyr::from_str(yaml).map_err(|error| {
            let mut findings = finding::Findings::default();
            findings.add("comparison", error.to_string());
            Report::new(findings)
        })?;
        let rounds = experiment.rounds;
        findings.require(
            (1..=100).contains(&rounds),
            "rounds",
            "must be from 1 to 100",
        );
        let enough = experiment.variants.len() >= 2;
        findings.require(enough, "variants", "must name at least two");
        for (index, variant) in experiment.variants.iter().enumerate() {
            let earlier = &experiment.variants[..index];
            if earlier.iter().any(|other| other.name == variant.name) {
                let detail = format!("`{}` stands twice", variant.name);
                findings.add(format!("variants[{index}].name"), detail);
            }
        }
        findings.into_result(|| experiment).map_err(Report::new)
    }

    /// Returns the order of the variants in a round. It alternates in direction and rotates every
    /// other round, so that no variant always comes first or follows the same one.
    pub fn order(&self, round: usize) -> impl Iterator<Item = usize> + use<> {
        let count = self.variants.len();
        let backwards = round % 2 == 1;
        (0..count).map(move |step| {
            let step = if backwards { count - 1 - step } else { step };
            (step + round / 2) % count
        })
    }
}

/// One segment: one variant in one round.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Segment {
    /// The variant.
    pub variant: String,
    /// The round.
    pub round: usize,
    /// The result.
    pub summary: Summary,
}

/// Mean, standard deviation and range of a figure over the rounds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Sample standard deviation.
    pub deviation: f64,
    /// Smallest.
    pub least: f64,
    /// Largest.
    pub most: f64,
}

impl Spread {
    /// Computes the spread of these figures; zeros if there are none.
    pub fn of(figures: &[f64]) -> Self {
        if figures.is_empty() {
            return Self::default();
        }
        let count = figures.len() as f64;
        let mean = figures.iter().sum::<f64>() / count;
        let squares: f64 = figures.iter().map(|figure| (figure - mean).powi(2)).sum();
        Self {
            mean,
            deviation: (squares / (count - 1.0).max(1.0)).sqrt(),
            least: figures.iter().copied().fold(f64::INFINITY, f64::min),
            most: figures.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

/// The results of one variant over all rounds.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Score {
    /// The variant.
    pub variant: String,
    /// Fraction of the offered requests that was served within the contract.
    pub goodput: Spread,
    /// Goodput divided by that of the first variant in the same round.
    pub ratio: Spread,
    /// Role changes per segment.
    pub role_changes: Spread,
    /// Standard deviation of open requests over the engines.
    pub spread_open: Spread,
    /// Faults of all its segments, such as lost, cut, crossed or doubled requests.
    pub faults: Vec<String>,
    /// Whether all its segments were sent as planned.
    pub as_planned: bool,
    /// Goodput of each class.
    pub classes: BTreeMap<String, Spread>,
}

/// Computes the scores of all variants, in the order of the comparison.
pub fn scores(experiment: &Experiment, segments: &[Segment]) -> Vec<Score> {
    let segments_of = |name: &str| -> Vec<&Segment> {
        let own = segments.iter().filter(|segment| segment.variant == name);
        own.collect()
    };
    let Some(first) = experiment.variants.first() else {
        return Vec::new();
    };
    let baseline = segments_of(&first.name);
    experiment
        .variants
        .iter()
        .map(|variant| score(&variant.name, &segments_of(&variant.name), &baseline))
        .collect()
}

fn score(name: &str, own: &[&Segment], baseline: &[&Segment]) -> Score {
    let figures = |figure: fn(&Segment) -> f64| -> Spread {
        let all: Vec<_> = own.iter().map(|segment| figure(segment)).collect();
        Spread::of(&all)
    };
    let ratios: Vec<_> = own
        .iter()
        .filter_map(|segment| {
            let other = baseline.iter().find(|other| other.round == segment.round)?;
            Some(segment.summary.all.goodput / other.summary.all.goodput.max(f64::EPSILON))
        })
        .collect();
    Score {
        variant: name.to_owned(),
        goodput: figures(|segment| segment.summary.all.goodput),
        ratio: Spread::of(&ratios),
        role_changes: figures(|segment| segment.summary.engines.role_changes as f64),
        spread_open: figures(|segment| segment.summary.engines.spread_open),
        faults: own
            .iter()
            .flat_map(|segment| segment.summary.faults())
            .collect(),
        as_planned: own.iter().all(|segment| segment.summary.is_as_planned()),
        classes: class_goodput(own),
    }
}

fn class_goodput(own: &[&Segment]) -> BTreeMap<String, Spread> {
    let mut by_class: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for class in own.iter().flat_map(|segment| &segment.summary.classes) {
        by_class
            .entry(class.name.clone())
            .or_default()
            .push(class.goodput);
    }
    let spread = |(name, figures): (String, Vec<f64>)| (name, Spread::of(&figures));
    by_class.into_iter().map(spread).collect()
}

const fn default_rounds() -> usize {
    5
}

const fn default_settle() -> Duration {
    Duration::from_secs(3)
}
