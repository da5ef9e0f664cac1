//! The plan as written in YAML, before it is checked.

use std::time::Duration;

use serde::Deserialize;

use crate::swing;

/// A plan file.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of arrivals, sizes and noise; the same seed gives the same load.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// How long requests arrive.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Time that the run waits for answers after the last arrival.
    #[serde(default = "default_grace", with = "humantime_serde")]
    pub grace: Duration,
    /// Width of the time buckets of the goodput curve.
    #[serde(default = "default_bucket", with = "humantime_serde")]
    pub bucket: Duration,
    /// Divides all times of the plan and multiplies its rates.
    #[serde(default = "default_factor")]
    pub time_scale: f64,
    /// Limit for requests open at once; arrivals beyond it are counted as unsent.
    #[serde(default = "default_max_open")]
    pub max_open: usize,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Changes of the load over the run.
    #[serde(default)]
    pub swings: Vec<Swing>,
}

/// A file of swings to append to those of a plan.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Swings {
    /// Changes of the load over the run.
    pub swings: Vec<Swing>,
}

/// A class of requests.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name in the report.
    pub name: String,
    /// API key, sent as the bearer token.
    pub key: String,
    /// Mean arrivals a second.
    pub rate: f64,
    /// The completion to request; excludes `plain`.
    pub completion: Option<Completion>,
    /// The plain service to call; excludes `completion`.
    pub plain: Option<Plain>,
    /// Time limits within which a request counts as good.
    pub contract: Contract,
    /// Whether the caller may repeat a call without a key.
    #[serde(default = "default_true")]
    pub repeatable: bool,
    /// Whether the caller sends an `Idempotency-Key`.
    #[serde(default)]
    pub keyed: bool,
    /// Limit for attempts after the first.
    #[serde(default = "default_retries")]
    pub retries: u32,
    /// Time limit for an answer to begin before another entry is tried; without it there is none.
    #[serde(default, with = "humantime_serde")]
    pub attempt_timeout: Option<Duration>,
    /// The caller gives up after its deadline times this factor.
    #[serde(default = "default_patience")]
    pub patience: f64,
}

/// A completion or chat completion.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Completion {
    /// Model or catalogue entry, as the caller names it.
    pub model: String,
    /// Whether it is requested as a chat.
    #[serde(default)]
    pub chat: bool,
    /// Whether it is streamed.
    #[serde(default = "default_true")]
    pub stream: bool,
    /// Tokens of the prompt after its shared prefix.
    pub prompt: Size,
    /// Tokens of the answer.
    pub output: Size,
    /// Prefixes shared by requests.
    pub prefix: Option<Prefix>,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plain {
    /// HTTP method.
    #[serde(default = "default_method")]
    pub method: String,
    /// Path from the root.
    pub path: String,
    /// Size of the body's filler in bytes.
    #[serde(default)]
    pub body_bytes: usize,
}

/// A log-normal distribution of token counts.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Median.
    pub median: f64,
    /// Standard deviation of the logarithm; 0 makes it constant.
    #[serde(default)]
    pub sigma: f64,
    /// Upper limit; greater draws are set to it.
    pub max: u32,
}

/// Prefixes shared by requests of a class, so that prefix caches have hits.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prefix {
    /// Number of different prefixes.
    pub count: u32,
    /// Tokens of each.
    pub tokens: u32,
    /// Fraction of the requests that use one.
    #[serde(default = "default_factor")]
    pub share: f64,
}

/// Time limits within which a request counts as good.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Time until the whole answer is received.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Time until the first token is received.
    #[serde(default, with = "humantime_serde")]
    pub first_token: Option<Duration>,
    /// Mean time between two tokens of one answer.
    #[serde(default, with = "humantime_serde")]
    pub between_tokens: Option<Duration>,
}

/// A change of the load over the run.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Swing {
    /// Classes that it changes.
    pub classes: Vec<String>,
    /// What it multiplies.
    pub quantity: swing::Quantity,
    /// How the factor changes over time.
    pub shape: swing::Shape,
}

const fn default_seed() -> u64 {
    1
}

const fn default_retries() -> u32 {
    2
}

const fn default_factor() -> f64 {
    1.0
}

const fn default_patience() -> f64 {
    2.0
}

const fn default_true() -> bool {
    true
}

const fn default_max_open() -> usize {
    20_000
}

const fn default_bucket() -> Duration {
    Duration::from_secs(1)
}

const fn default_grace() -> Duration {
    Duration::from_secs(10)
}

fn default_method() -> String {
    "POST".to_owned()
}
