//! What an engine can be ordered to do, and how an order can end.

use crate::statement::Malformed;
use wire::record;

/// What an engine does with prompts and outputs.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Prefill and decode.
    Mixed,
    /// Prefill only; the KV cache is exported.
    Prefill,
    /// Decode only; the KV cache is imported.
    Decode,
}

impl Role {
    /// The role of a wire value; `None` for an unspecified or unknown one.
    pub fn from_wire(raw: i32) -> Option<Self> {
        match record::Role::try_from(raw) {
            Ok(record::Role::Mixed) => Some(Self::Mixed),
            Ok(record::Role::Prefill) => Some(Self::Prefill),
            Ok(record::Role::Decode) => Some(Self::Decode),
            Ok(record::Role::Unspecified) | Err(_) => None,
        }
    }

    /// The wire value.
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
    /// Name of the model.
    pub model: String,
    /// Adapter on it; empty for the bare model.
    pub adapter: String,
    /// Version of the weights.
    pub version: String,
}

impl Model {
    /// Whether both fill the same place in an engine, whatever their versions.
    pub fn same_slot(&self, other: &Self) -> bool {
        self.model == other.model && self.adapter == other.adapter
    }
}

/// One thing that an engine is told to do.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Order {
    /// Take a role.
    SetRole(Role),
    /// Load a model, in place of another version of it.
    LoadModel(Model),
    /// Forget a model.
    UnloadModel(Model),
}

impl Order {
    /// Whether carrying it out fetches weights from the rate-limited store.
    pub fn uses_weight_store(&self) -> bool {
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
                checked(&load.model, &load.version, &load.adapter).map(Self::LoadModel)
            }
            Kind::UnloadModel(unload) => {
                checked(&unload.model, &unload.version, &unload.adapter).map(Self::UnloadModel)
            }
        }
    }
}

fn checked(model: &str, version: &str, adapter: &str) -> Result<Model, Malformed> {
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
    /// The engine was read back in the state that the order asks for.
    Done,
    /// The engine was read back in another state, and the order cannot act any more.
    Undone,
    /// The upstream has left the instance list.
    Gone,
}

impl Verdict {
    /// The verdict of a wire value; `None` for an unspecified or unknown one.
    pub fn from_wire(raw: i32) -> Option<Self> {
        match record::Verdict::try_from(raw) {
            Ok(record::Verdict::Done) => Some(Self::Done),
            Ok(record::Verdict::Undone) => Some(Self::Undone),
            Ok(record::Verdict::Gone) => Some(Self::Gone),
            Ok(record::Verdict::Unspecified) | Err(_) => None,
        }
    }

    /// The wire value.
    pub fn to_wire(self) -> i32 {
        let raw = match self {
            Self::Done => record::Verdict::Done,
            Self::Undone => record::Verdict::Undone,
            Self::Gone => record::Verdict::Gone,
        };
        raw as i32
    }
}
