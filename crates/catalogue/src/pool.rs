//! Pools of interchangeable upstreams, and the models that engines can load.

use std::time::Duration;

use smallvec::SmallVec;

use crate::fields::Fields;
use crate::{Findings, RawEntity};

/// Type of the upstreams of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Plain HTTP services.
    Service,
}

/// Phases of a request that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Prefill and decode in mixed batches.
    Mixed,
    /// Prefill only; the KV cache is exported.
    Prefill,
    /// Decode only; the KV cache is imported.
    Decode,
}

/// Number of engines that may have a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleRange {
    /// Planned changes never leave fewer.
    pub min: u32,
    /// Planned changes never make more.
    pub max: u32,
    /// Number at the start.
    pub initial: u32,
}

/// Cost of changing the role of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleChange {
    /// Factor on the engine-seconds lost: a change is made only if its expected gain exceeds the
    /// loss times this price. Low values favour goodput, high values keep engines available.
    pub price: f64,
    /// How long an engine is unavailable during the change.
    pub takes: Duration,
}

/// Policy that selects an upstream; implemented in `routing`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The best of sampled upstreams and the remembered best one.
    Drill,
    /// The better of two sampled upstreams.
    TwoChoices,
    /// The least loaded of all upstreams.
    Scan,
    /// The one with the fewest outstanding requests of this process.
    LeastOutstanding,
    /// Each upstream in turn.
    RoundRobin,
    /// Uniformly at random.
    Random,
    /// One that is expected to have the prefix cached, with bounded load.
    Affinity,
}

/// Policy that plans roles; implemented in `routing`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planner {
    /// Keeps the initial split.
    Static,
    /// Thresholds with hysteresis.
    Threshold,
    /// Weighs the expected gain against the price of a change.
    Gain,
}

/// A group of interchangeable upstreams. Control is leased per pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name within the catalogue.
    pub name: String,
    /// Whether the upstreams are engines or services.
    pub kind: PoolKind,
    /// Number of engines for each role; roles that are not listed are not used.
    pub roles: SmallVec<[(Role, RoleRange); 3]>,
    /// Cost of a role change; for engines only.
    pub role_change: RoleChange,
    /// Whether the engines refuse orders with an outdated fencing token; false if unknown.
    pub checks_fence: bool,
    /// Policy that selects an upstream.
    pub choice: Choice,
    /// Policy that plans roles.
    pub planner: Planner,
    /// Maximum number of requests that one entry instance queues for the pool.
    pub queue_limit: u32,
    /// How long control of the pool lasts without a renewal.
    pub lease: Duration,
}

impl Pool {
    /// Returns the range of a role, if the pool uses it.
    pub fn role_range(&self, role: Role) -> Option<RoleRange> {
        self.roles
            .iter()
            .find(|(used, _)| *used == role)
            .map(|(_, span)| *span)
    }
}

const DEFAULT_QUEUE_LIMIT: u32 = 256;
const DEFAULT_LEASE: Duration = Duration::from_secs(6);
const DEFAULT_ROLE_CHANGE: RoleChange = RoleChange {
    price: 1.0,
    takes: Duration::from_secs(5),
};

const KINDS: [(&str, PoolKind); 2] = [("engine", PoolKind::Engine), ("service", PoolKind::Service)];
const ROLES: [(&str, Role); 3] = [
    ("mixed", Role::Mixed),
    ("prefill", Role::Prefill),
    ("decode", Role::Decode),
];
const CHOICES: [(&str, Choice); 7] = [
    ("drill", Choice::Drill),
    ("two-choices", Choice::TwoChoices),
    ("scan", Choice::Scan),
    ("least-outstanding", Choice::LeastOutstanding),
    ("round-robin", Choice::RoundRobin),
    ("random", Choice::Random),
    ("affinity", Choice::Affinity),
];
const PLANNERS: [(&str, Planner); 3] = [
    ("static", Planner::Static),
    ("threshold", Planner::Threshold),
    ("gain", Planner::Gain),
];

impl TryFrom<&RawEntity<'_>> for Pool {
    type Error = Findings;

    fn try_from(raw: &RawEntity<'_>) -> Result<Self, Findings> {
        let mut fields = Fields::open(raw)?;
        let kind = fields.required_keyword("kind", &KINDS);
        if kind == Some(PoolKind::Service) {
            for field in ["roles", "role_change", "checks_fence", "planner"] {
                if fields.has(field) {
                    fields.report(field, "is for pools of engines only");
                }
            }
        }
        let pool = Self {
            name: raw.name.to_owned(),
            kind: kind.unwrap_or(PoolKind::Service),
            roles: roles(&mut fields),
            role_change: role_change(&mut fields),
            checks_fence: fields.optional("checks_fence").unwrap_or(false),
            choice: fields
                .keyword("choice", &CHOICES)
                .unwrap_or(Choice::Affinity),
            planner: fields
                .keyword("planner", &PLANNERS)
                .unwrap_or(Planner::Gain),
            queue_limit: fields
                .positive_integer("queue_limit")
                .unwrap_or(DEFAULT_QUEUE_LIMIT),
            lease: fields.duration("lease").unwrap_or(DEFAULT_LEASE),
        };
        fields.finish(pool)
    }
}

fn roles(fields: &mut Fields<'_>) -> SmallVec<[(Role, RoleRange); 3]> {
    let read = |inner: &mut Fields<'_>| {
        ROLES
            .iter()
            .filter_map(|(word, role)| Some((*role, inner.nested(word, role_range)?)))
            .collect()
    };
    fields.nested("roles", read).unwrap_or_default()
}

fn role_range(fields: &mut Fields<'_>) -> RoleRange {
    let min = fields.optional("min").unwrap_or(0);
    let max = fields.optional("max").unwrap_or(u32::MAX);
    let initial = fields.optional("initial").unwrap_or(min);
    if min > max {
        fields.report("min", "must not be above max");
    } else if initial < min || initial > max {
        fields.report("initial", "must be from min to max");
    }
    RoleRange { min, max, initial }
}

fn role_change(fields: &mut Fields<'_>) -> RoleChange {
    let read = |inner: &mut Fields<'_>| RoleChange {
        price: inner.positive("price").unwrap_or(DEFAULT_ROLE_CHANGE.price),
        takes: inner.duration("takes").unwrap_or(DEFAULT_ROLE_CHANGE.takes),
    };
    fields
        .nested("role_change", read)
        .unwrap_or(DEFAULT_ROLE_CHANGE)
}

/// A model that engines can load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Name within the catalogue.
    pub name: String,
    /// Versions that entries may use; several during an upgrade.
    pub versions: SmallVec<[String; 2]>,
    /// Adapters that entries may use.
    pub adapters: SmallVec<[String; 4]>,
    /// Pools of engines that may serve it.
    pub pools: SmallVec<[String; 2]>,
}

impl TryFrom<&RawEntity<'_>> for Model {
    type Error = Findings;

    fn try_from(raw: &RawEntity<'_>) -> Result<Self, Findings> {
        let mut fields = Fields::open(raw)?;
        let model = Self {
            name: raw.name.to_owned(),
            versions: fields.required("versions").unwrap_or_default(),
            adapters: fields.optional("adapters").unwrap_or_default(),
            pools: fields.required("pools").unwrap_or_default(),
        };
        distinct(&mut fields, "versions", &model.versions);
        distinct(&mut fields, "adapters", &model.adapters);
        distinct(&mut fields, "pools", &model.pools);
        fields.finish(model)
    }
}

fn distinct(fields: &mut Fields<'_>, field: &str, words: &[String]) {
    for (position, word) in words.iter().enumerate() {
        let path = format!("{field}[{position}]");
        if word.is_empty() {
            fields.report(&path, "must not be empty");
        } else if words[..position].contains(word) {
            fields.report(&path, format!("`{word}` stands twice"));
        }
    }
}
