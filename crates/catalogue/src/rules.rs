//! The acceptance rules by version. All processes apply the version that the log declares in
//! force, even if they know a newer one, so that processes of different software versions accept
//! the same edits; see `docs/design/catalogue.md`.

use crate::fields::name_problem;
use crate::finding::nearest;
use crate::table::View;
use crate::{Entity, Entry, Findings, Key, Kind, Limits, Model, Owner, PoolKind, Target, Version};

/// An entity in a record, not parsed yet.
#[derive(Clone, Copy, Debug)]
pub struct RawEntity<'a> {
    /// Kind of the entity.
    pub kind: Kind,
    /// Name of the entity.
    pub name: &'a str,
    /// JSON of its fields.
    pub json: &'a str,
}

/// One version of the rules. A version that has been in force must never change; software that
/// drops it can no longer parse entities that were accepted under it.
#[derive(Clone, Copy, Debug)]
pub struct RuleSet {
    /// Version of the rules.
    pub version: Version,
    /// Parses an entity and checks it on its own.
    pub parse: fn(&RawEntity<'_>) -> Result<Entity, Findings>,
    /// Validates an entity against the others, with the edit applied.
    pub validate: fn(&View, &Entity, &mut Findings),
}

/// All rule sets that this software knows.
#[derive(Clone, Debug)]
pub struct Rules {
    sets: Vec<RuleSet>,
}

/// Version in force until a record raises it.
pub(crate) const FIRST_VERSION: Version = 1;

impl Rules {
    /// Creates rules from given sets, for tests with mixed software versions.
    pub fn new(sets: Vec<RuleSet>) -> Self {
        Self { sets }
    }

    /// Returns the rule set of a version, if this software knows it.
    pub fn get(&self, version: Version) -> Option<&RuleSet> {
        self.sets.iter().find(|set| set.version == version)
    }

    /// Returns the newest version that this software knows.
    pub fn newest(&self) -> Version {
        self.sets.iter().map(|set| set.version).max().unwrap_or(0)
    }
}

impl Default for Rules {
    fn default() -> Self {
        Self::new(vec![RuleSet {
            version: FIRST_VERSION,
            parse,
            validate,
        }])
    }
}

fn parse(raw: &RawEntity<'_>) -> Result<Entity, Findings> {
    Ok(match raw.kind {
        Kind::Owner => Entity::Owner(raw.try_into()?),
        Kind::Pool => Entity::Pool(raw.try_into()?),
        Kind::Model => Entity::Model(raw.try_into()?),
        Kind::Entry => Entity::Entry(raw.try_into()?),
        Kind::Drain => Entity::Drain(raw.try_into()?),
    })
}

fn validate(view: &View, entity: &Entity, findings: &mut Findings) {
    match entity {
        Entity::Owner(owner) => validate_owner(view, owner, findings),
        Entity::Model(model) => validate_model(view, model, findings),
        Entity::Entry(entry) => validate_entry(view, entry, findings),
        Entity::Pool(_) | Entity::Drain(_) => {}
    }
}

fn validate_owner(view: &View, owner: &Owner, findings: &mut Findings) {
    for (position, key) in owner.keys.iter().enumerate() {
        for other in view.index().owners_with_key(key) {
            if **other != *owner.name {
                let path = format!("keys[{position}]");
                let problem = format!("is also a key of owner {other}");
                findings.add(Kind::Owner, &owner.name, &path, problem);
            }
        }
    }
}

fn validate_model(view: &View, model: &Model, findings: &mut Findings) {
    for (position, name) in model.pools.iter().enumerate() {
        let path = format!("pools[{position}]");
        check_engine_pool(
            view,
            &Key::new(Kind::Model, &model.name),
            &path,
            name,
            findings,
        );
    }
}

fn validate_entry(view: &View, entry: &Entry, findings: &mut Findings) {
    let key = Key::new(Kind::Entry, &entry.name);
    match view.owner(&entry.owner) {
        Some(owner) => check_owner_limits(entry, owner, findings),
        None => report_missing(view, &key, "owner", Kind::Owner, &entry.owner, findings),
    }
    match &entry.target {
        Target::Model { model, .. } => {
            check_engine_pool(view, &key, "pool", &entry.pool, findings);
            match view.model(model) {
                Some(model) => validate_target(entry, model, findings),
                None => report_missing(view, &key, "model", Kind::Model, model, findings),
            }
        }
        Target::Path { .. } => {
            match view.pool(&entry.pool).map(|pool| pool.kind) {
                Some(PoolKind::Service) => {}
                Some(PoolKind::Engine) => {
                    let problem =
                        format!("{} is a pool of engines, a path needs services", entry.pool);
                    findings.add(Kind::Entry, &entry.name, "pool", problem);
                }
                None => report_missing(view, &key, "pool", Kind::Pool, &entry.pool, findings),
            }
            validate_path(view, entry, findings);
        }
    }
}

fn validate_target(entry: &Entry, model: &Model, findings: &mut Findings) {
    let Target::Model {
        version, adapter, ..
    } = &entry.target
    else {
        return;
    };
    let mut report = |path: &str, problem: String| {
        findings.add(Kind::Entry, &entry.name, path, problem);
    };
    if !model.versions.contains(version) {
        report(
            "version",
            format!("model {} has no version `{version}`", model.name),
        );
    }
    if let Some(adapter) = adapter
        && !model.adapters.contains(adapter)
    {
        report(
            "adapter",
            format!("model {} has no adapter `{adapter}`", model.name),
        );
    }
    if !model.pools.contains(&entry.pool) {
        report(
            "pool",
            format!("model {} is not served by pool {}", model.name, entry.pool),
        );
    }
}

/// With two entries at the same path and method, the limits and the retry rule that apply to a
/// call would be arbitrary.
fn validate_path(view: &View, entry: &Entry, findings: &mut Findings) {
    let Target::Path { prefix, .. } = &entry.target else {
        return;
    };
    for other in view.index().sharing_path(entry) {
        let problem = format!("`{prefix}` is taken by entry {other} with the same method");
        findings.add(Kind::Entry, &entry.name, "path", problem);
    }
}

/// Refuses limits above those of the owner, since they could never be reached.
fn check_owner_limits(entry: &Entry, owner: &Owner, findings: &mut Findings) {
    let above = |ours: Option<f64>, bound: Option<f64>| match (ours, bound) {
        (Some(ours), Some(bound)) => ours > bound,
        _ => false,
    };
    let concurrent = |limits: &Limits| limits.concurrent.map(f64::from);
    let (ours, bound) = (&entry.limits, &owner.limits);
    for (field, ours, bound) in [
        (
            "requests_per_second",
            ours.requests_per_second,
            bound.requests_per_second,
        ),
        (
            "tokens_per_second",
            ours.tokens_per_second,
            bound.tokens_per_second,
        ),
        ("concurrent", concurrent(ours), concurrent(bound)),
    ] {
        if above(ours, bound) {
            let path = format!("limits.{field}");
            let problem = format!("is above the limit of owner {}", owner.name);
            findings.add(Kind::Entry, &entry.name, &path, problem);
        }
    }
}

fn check_engine_pool(view: &View, key: &Key, path: &str, name: &str, findings: &mut Findings) {
    match view.pool(name).map(|pool| pool.kind) {
        Some(PoolKind::Engine) => {}
        Some(PoolKind::Service) => {
            let problem = format!("{name} is a pool of services, a model needs engines");
            findings.add(key.kind, &key.name, path, problem);
        }
        None => report_missing(view, key, path, Kind::Pool, name, findings),
    }
}

fn report_missing(
    view: &View,
    key: &Key,
    path: &str,
    kind: Kind,
    name: &str,
    findings: &mut Findings,
) {
    if name.is_empty() || name_problem(name).is_some() {
        findings.add(
            key.kind,
            &key.name,
            path,
            format!("`{name}` is no name of a {kind}"),
        );
        return;
    }
    let known: Vec<&str> = view.names(kind).collect();
    let problem = match nearest(name, &known) {
        Some(near) => format!("there is no {kind} {name}, perhaps {near} was meant"),
        None => format!("there is no {kind} {name}"),
    };
    findings.add(key.kind, &key.name, path, problem);
}
