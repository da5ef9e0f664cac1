//! The plan as it is written in YAML, before any rule was applied to it.

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
    /// How long the run waits for answers after the last arrival.
    #[serde(default = "default_grace", with = "humantime_serde")]
    pub grace: Duration,
    /// Width of a step of the goodput curve.
    #[serde(default = "default_bucket", with = "humantime_serde")]
    pub bucket: Duration,
    /// Divides every time of the plan and multiplies its rates.
    #[serde(default = "default_factor")]
    pub time_scale: f64,
    /// Most requests that may be open at once; arrivals beyond are counted as unsent.
    #[serde(default = "default_max_open")]
    pub max_open: usize,
    /// Kinds of requests.
    pub classes: Vec<Class>,
    /// Changes of the mix over the run.
    #[serde(default)]
    pub swings: Vec<Swing>,
}

/// A file of swings that is laid over a plan.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Swings {
    /// Changes of the mix over the run.
    pub swings: Vec<Swing>,
}

/// One kind of request.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name in the report.
    pub name: String,
    /// Key that the caller shows as its bearer token.
    pub key: String,
    /// Mean arrivals a second.
    pub rate: f64,
    /// A completion, if this is one.
    pub completion: Option<Completion>,
    /// A call of a plain service, if this is one.
    pub plain: Option<Plain>,
    /// What the caller was promised.
    pub contract: Contract,
    /// Whether the caller may send it again without a key.
    #[serde(default = "default_true")]
    pub repeatable: bool,
    /// Whether the caller sends an `Idempotency-Key`.
    #[serde(default)]
    pub keyed: bool,
    /// How often the caller tries again.
    #[serde(default = "default_retries")]
    pub retries: u32,
    /// The caller tries again at another entry if no answer has begun after this; never, if left
    /// out.
    #[serde(default, with = "humantime_serde")]
    pub attempt_timeout: Option<Duration>,
    /// The caller goes away after its deadline times this.
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
    /// Whether it is asked as a chat.
    #[serde(default)]
    pub chat: bool,
    /// Whether it is streamed.
    #[serde(default = "default_true")]
    pub stream: bool,
    /// Tokens of the prompt after its shared prefix.
    pub prompt: Size,
    /// Tokens of the answer.
    pub output: Size,
    /// Prefixes that requests share.
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
    /// Bytes of the body besides its id.
    #[serde(default)]
    pub body_bytes: usize,
}

/// A log-normal distribution of token counts.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Half of the draws are below it.
    pub median: f64,
    /// Standard deviation of the logarithm; 0 makes it constant.
    #[serde(default)]
    pub sigma: f64,
    /// Draws above are cut to it.
    pub max: u32,
}

/// Prefixes that requests of a class share, so that a prefix cache has something to hold.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Prefix {
    /// How many different ones there are.
    pub count: u32,
    /// Tokens of each.
    pub tokens: u32,
    /// Part of the requests that use one.
    #[serde(default = "default_factor")]
    pub share: f64,
}

/// What a caller was promised.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Until the whole answer is there.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
    /// Until the first token is there.
    #[serde(default, with = "humantime_serde")]
    pub first_token: Option<Duration>,
    /// Mean time between two tokens of one answer.
    #[serde(default, with = "humantime_serde")]
    pub between_tokens: Option<Duration>,
}

/// A change of the mix over the run.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Swing {
    /// Classes that it changes.
    pub classes: Vec<String>,
    /// What of them it multiplies.
    pub quantity: swing::Quantity,
    /// How the factor moves with time.
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
