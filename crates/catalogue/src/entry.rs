//! Entries: what callers may request, how it is served and with which service levels.

use std::time::Duration;

use smallvec::SmallVec;

use crate::fields::Fields;
use crate::owner::limits;
use crate::{Findings, Key, Kind, Limits, RawEntity};

/// Class of work, which decides what goes first under overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Short calls with a hard deadline: a late answer is worthless.
    Authorisation,
    /// Short reports from devices, with a hard deadline.
    Status,
    /// A person waits for the answer or reads its tokens as they come.
    Interactive,
    /// The result is needed within hours.
    Dispatch,
    /// The result has no urgent deadline, so the work may wait for long.
    Batch,
}

impl Class {
    /// Default priority at upstreams; 0 is the highest.
    pub fn priority(self) -> u8 {
        match self {
            Self::Authorisation => 0,
            Self::Status => 1,
            Self::Interactive => 2,
            Self::Dispatch => 3,
            Self::Batch => 4,
        }
    }

    /// Name of the class in the catalogue, metrics and reports.
    pub fn label(self) -> &'static str {
        match self {
            Self::Authorisation => "authorisation",
            Self::Status => "status",
            Self::Interactive => "interactive",
            Self::Dispatch => "dispatch",
            Self::Batch => "batch",
        }
    }
}

/// Handling of keyed calls that are not repeatable while the log is unavailable; see
/// `docs/design/at-most-once.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// The call is refused as not run.
    Refuse,
    /// The attempt that the caller declares as the first runs without a claim; later ones do not
    /// run.
    FirstAttempt,
}

/// Service levels of an entry. A time of `None` has no objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contract {
    /// Share of requests that must meet the times, above 0 and below 1.
    pub objective: f64,
    /// Time from the request to the first token.
    pub first_token: Option<Duration>,
    /// Mean time between two tokens of one answer.
    pub between_tokens: Option<Duration>,
    /// Time from the request to the end of the answer.
    pub whole: Option<Duration>,
    /// Time after which the answer is useless and work on it is dropped.
    pub deadline: Duration,
}

/// An HTTP method.
pub type Method = String;

/// Target of an entry within its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model on a pool of engines.
    Model {
        /// Name of the model in the catalogue.
        model: String,
        /// Version, one of those of the model.
        version: String,
        /// Adapter, one of those of the model, if any.
        adapter: Option<String>,
    },
    /// A path on a pool of services.
    Path {
        /// Serves this path and all below it. Begins with `/` and does not end with one.
        prefix: String,
        /// Methods that are served; all if empty.
        methods: SmallVec<[Method; 2]>,
    },
}

/// A model or path that the callers of one owner may request.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Name within the catalogue.
    pub name: String,
    /// Owner whose keys may call it.
    pub owner: String,
    /// Class of its work.
    pub class: Class,
    /// Priority at the upstream, 0 (highest) to 4.
    pub priority: u8,
    /// Limits of this entry, at most those of its owner.
    pub limits: Limits,
    /// Pool that serves it.
    pub pool: String,
    /// Model or path that serves it.
    pub target: Target,
    /// Service levels.
    pub contract: Contract,
    /// Whether a call may run twice without harm.
    pub repeatable: bool,
    /// Handling of keyed calls while the log is unavailable.
    pub outage: Outage,
    /// Whether calls without an idempotency key are refused.
    pub require_key: bool,
    /// Maximum size of a request body in bytes.
    pub max_body: u64,
    /// How long a complete answer is kept for repeats with the same key.
    pub hold_answer: Duration,
}

impl Entry {
    /// Keys of the entities that the entry refers to.
    pub(crate) fn references(&self) -> SmallVec<[Key; 4]> {
        let mut keys = SmallVec::new();
        keys.push(Key::new(Kind::Owner, &self.owner));
        keys.push(Key::new(Kind::Pool, &self.pool));
        if let Target::Model { model, .. } = &self.target {
            keys.push(Key::new(Kind::Model, model));
        }
        keys
    }
}

const DEFAULT_MAX_BODY: u64 = 1 << 20;
const DEFAULT_HOLD_ANSWER: Duration = Duration::from_secs(60);
const LOWEST_PRIORITY: u8 = 4;
const CLASSES: [(&str, Class); 5] = [
    ("authorisation", Class::Authorisation),
    ("status", Class::Status),
    ("interactive", Class::Interactive),
    ("dispatch", Class::Dispatch),
    ("batch", Class::Batch),
];
const OUTAGES: [(&str, Outage); 2] = [
    ("refuse", Outage::Refuse),
    ("first-attempt", Outage::FirstAttempt),
];

impl TryFrom<&RawEntity<'_>> for Entry {
    type Error = Findings;

    fn try_from(raw: &RawEntity<'_>) -> Result<Self, Findings> {
        let mut fields = Fields::open(raw)?;
        let class = fields
            .required_keyword("class", &CLASSES)
            .unwrap_or(Class::Batch);
        let target = target(&mut fields);
        let entry = Self {
            name: raw.name.to_owned(),
            owner: fields.required("owner").unwrap_or_default(),
            class,
            priority: priority(&mut fields).unwrap_or(class.priority()),
            limits: limits(&mut fields),
            pool: fields.required("pool").unwrap_or_default(),
            contract: contract(&mut fields, &target),
            target,
            repeatable: fields.required("repeatable").unwrap_or(false),
            outage: fields.keyword("outage", &OUTAGES).unwrap_or(Outage::Refuse),
            require_key: fields.optional("require_key").unwrap_or(false),
            max_body: fields.optional("max_body").unwrap_or(DEFAULT_MAX_BODY),
            hold_answer: fields
                .duration("hold_answer")
                .unwrap_or(DEFAULT_HOLD_ANSWER),
        };
        check_entry(&mut fields, &entry);
        fields.finish(entry)
    }
}

fn priority(fields: &mut Fields<'_>) -> Option<u8> {
    let priority = fields.optional("priority")?;
    if priority > LOWEST_PRIORITY {
        fields.report("priority", "must be from 0 (highest) to 4");
        return None;
    }
    Some(priority)
}

fn target(fields: &mut Fields<'_>) -> Target {
    if !fields.has("path") {
        return Target::Model {
            model: fields.required("model").unwrap_or_default(),
            version: fields.required("version").unwrap_or_default(),
            adapter: fields.optional("adapter"),
        };
    }
    let prefix: String = fields.required("path").unwrap_or_default();
    let valid = prefix.starts_with('/') && (prefix.len() == 1 || !prefix.ends_with('/'));
    if !valid || prefix.contains("//") || prefix.contains(['?', '#', '%', ' ']) {
        fields.report(
            "path",
            "must be a plain path that begins with `/` and does not end with one",
        );
    }
    let methods: SmallVec<[Method; 2]> = fields.optional("methods").unwrap_or_default();
    for (position, method) in methods.iter().enumerate() {
        let path = format!("methods[{position}]");
        if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
            fields.report(&path, "must be an HTTP method in capitals");
        } else if methods[..position].contains(method) {
            fields.report(&path, format!("`{method}` stands twice"));
        }
    }
    Target::Path { prefix, methods }
}

fn contract(fields: &mut Fields<'_>, target: &Target) -> Contract {
    let is_model = matches!(target, Target::Model { .. });
    let read = |inner: &mut Fields<'_>| {
        let contract = Contract {
            objective: inner.required("objective").unwrap_or(0.5),
            first_token: inner.duration("first_token"),
            between_tokens: inner.duration("between_tokens"),
            whole: inner.duration("whole"),
            deadline: inner.required_duration("deadline").unwrap_or(Duration::MAX),
        };
        check_contract(inner, &contract, is_model);
        contract
    };
    fields
        .required_nested("contract", read)
        .unwrap_or(Contract {
            objective: 0.5,
            first_token: None,
            between_tokens: None,
            whole: None,
            deadline: Duration::MAX,
        })
}

fn check_contract(fields: &mut Fields<'_>, contract: &Contract, is_model: bool) {
    if !(contract.objective > 0.0 && contract.objective < 1.0) {
        fields.report("objective", "must be above 0 and below 1");
    }
    for (field, time) in [
        ("first_token", contract.first_token),
        ("between_tokens", contract.between_tokens),
    ] {
        if time.is_some() && !is_model {
            fields.report(field, "is for entries that name a model only");
        }
    }
    for (field, time) in [
        ("first_token", contract.first_token),
        ("whole", contract.whole),
    ] {
        if time.is_some_and(|time| time > contract.deadline) {
            fields.report(field, "must not be above the deadline");
        }
    }
}

/// Checks the fields that depend on each other. Without a key, a retry cannot be told from a new
/// call, so `first-attempt` requires a key on every call.
fn check_entry(fields: &mut Fields<'_>, entry: &Entry) {
    if entry.max_body == 0 {
        fields.report("max_body", "must be above 0");
    }
    if entry.outage == Outage::FirstAttempt {
        if entry.repeatable {
            fields.report(
                "outage",
                "`first-attempt` is for calls that are not repeatable only",
            );
        }
        if !entry.require_key {
            fields.report("outage", "`first-attempt` needs `require_key: true`");
        }
    }
}
