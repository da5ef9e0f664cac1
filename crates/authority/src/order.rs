//! Orders to engines and their verdicts.

use crate::authority_record::Malformed;
use wire::record;

/// Which phases of a request an engine runs.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Prefill and decode.
    Mixed,
    /// Prefill only. The engine exports the KV cache.
    Prefill,
    /// Decode only. The engine imports the KV cache.
    Decode,
}

impl Role {
    /// Converts a wire value. Returns `None` for an unspecified or unknown role.
    pub fn from_wire(raw: i32) -> Option<Self> {
        match record::Role::try_from(raw) {
            Ok(record::Role::Mixed) => Some(Self::Mixed),
            Ok(record::Role::Prefill) => Some(Self::Prefill),
            Ok(record::Role::Decode) => Some(Self::Decode),
            Ok(record::Role::Unspecified) | Err(_) => None,
        }
    }

    /// Returns the wire value.
    pub fn to_wire(self) -> i32 {
        let raw = match self {
            Self::Mixed => record::Role::Mixed,
            Self::Prefill => record::Role::Prefill,
            Self::Decode => record::Role::Decode,
        };
        raw as i32
    }
}

/// A model, or an adapter on a model, that an engine can load.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Model {
    /// Name of the base model.
    pub model: String,
    /// Name of the adapter; empty for the base model alone.
    pub adapter: String,
    /// Version of the weights.
    pub version: String,
}

impl Model {
    /// Whether both occupy the same slot of an engine. Versions are ignored: loading one version
    /// replaces another.
    pub fn same_slot(&self, other: &Self) -> bool {
        self.model == other.model && self.adapter == other.adapter
    }
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Order {
    /// Switch to a role.
    SetRole(Role),
    /// Load a model, replacing any other version of it.
    LoadModel(Model),
    /// Unload a model.
    UnloadModel(Model),
}

impl Order {
    /// The weights come from the rate-limited weight store.
    pub fn downloads_weights(&self) -> bool {
        matches!(self, Self::LoadModel(_))
    }
}

impl TryFrom<Option<&record::Order>> for Order {
    type Error = Malformed;

    fn try_from(raw: Option<&record::Order>) -> Result<Self, Malformed> {
        use record::order::Kind;
        let kind = raw.and_then(|order| order.kind.as_ref());
        match kind.ok_or(Malformed { field: "order" })? {
            Kind::SetRole(set) => Role::from_wire(set.role)
                .map(Self::SetRole)
                .ok_or(Malformed {
                    field: "order.role",
                }),
            Kind::LoadModel(load) => {
                checked_model(&load.model, &load.version, &load.adapter).map(Self::LoadModel)
            }
            Kind::UnloadModel(unload) => {
                checked_model(&unload.model, &unload.version, &unload.adapter)
                    .map(Self::UnloadModel)
            }
        }
    }
}

fn checked_model(model: &str, version: &str, adapter: &str) -> Result<Model, Malformed> {
    if model.is_empty() {
        return Err(Malformed {
            field: "order.model",
        });
    }
    Ok(Model {
        model: model.to_owned(),
        version: version.to_owned(),
        adapter: adapter.to_owned(),
    })
}

impl From<&Order> for record::Order {
    fn from(order: &Order) -> Self {
        use record::order::Kind;
        let kind = match order {
            Order::SetRole(role) => Kind::SetRole(record::SetRole {
                role: role.to_wire(),
            }),
            Order::LoadModel(model) => Kind::LoadModel(record::LoadModel {
                model: model.model.clone(),
                version: model.version.clone(),
                adapter: model.adapter.clone(),
            }),
            Order::UnloadModel(model) => Kind::UnloadModel(record::UnloadModel {
                model: model.model.clone(),
                version: model.version.clone(),
                adapter: model.adapter.clone(),
            }),
        };
        Self { kind: Some(kind) }
    }
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Verdict {
    /// The engine was read back in the requested state.
    Done,
    /// The engine was read back in another state, and the order can no longer take effect.
    Undone,
    /// The upstream has left the instance list.
    Gone,
}

impl Verdict {
    /// Converts a wire value. Returns `None` for an unspecified or unknown verdict.
    pub fn from_wire(raw: i32) -> Option<Self> {
        match record::Verdict::try_from(raw) {
            Ok(record::Verdict::Done) => Some(Self::Done),
            Ok(record::Verdict::Undone) => Some(Self::Undone),
            Ok(record::Verdict::Gone) => Some(Self::Gone),
            Ok(record::Verdict::Unspecified) | Err(_) => None,
        }
    }

    /// Returns the wire value.
    pub fn to_wire(self) -> i32 {
        let raw = match self {
            Self::Done => record::Verdict::Done,
            Self::Undone => record::Verdict::Undone,
            Self::Gone => record::Verdict::Gone,
        };
        raw as i32
    }
}
