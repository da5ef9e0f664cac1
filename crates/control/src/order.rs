//! Planned changes requested by operators.

use std::error::Error;
use std::fmt;

use authority::order::{Model, Order, Role};
use serde::{Deserialize, Serialize};

/// An operator's request for a planned change.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(expecting = "struct Wish")]
pub struct ChangeRequest {
    /// Instance id of the engine.
    pub upstream: String,
    /// The change.
    #[serde(flatten)]
    pub action: Action,
}

/// A planned change of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
#[serde(
    tag = "kind",
    rename_all = "snake_case",
    expecting = "internally tagged enum What"
)]
pub enum Action {
    /// Change the role.
    SetRole {
        /// The role.
        role: platform::Role,
    },
    /// Load a model.
    LoadModel(platform::Model),
    /// Unload a model.
    UnloadModel(platform::Model),
}

impl From<&Action> for Order {
    fn from(action: &Action) -> Self {
        match action {
            Action::SetRole { role } => Self::SetRole(from_role(*role)),
            Action::LoadModel(model) => Self::LoadModel(from_model(model)),
            Action::UnloadModel(model) => Self::UnloadModel(from_model(model)),
        }
    }
}

/// Why a requested change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderError {
    /// No engine with this id is listed.
    UnknownEngine,
    /// No entry holds the scope of its pool at the moment.
    NoHolder,
    /// The holder of the scope cannot be reached.
    HolderAway(String),
    /// The holder refused, with its reason.
    Refused(String),
    /// The control has stopped.
    Stopped,
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownEngine => f.write_str("no engine of this id is listed"),
            Self::NoHolder => f.write_str("nobody holds control of its pool"),
            Self::HolderAway(holder) => write!(f, "{holder} holds control and can't be asked"),
            Self::Refused(why) => write!(f, "the holder refused: {why}"),
            Self::Stopped => f.write_str("the control has stopped"),
        }
    }
}

impl Error for OrderError {}

pub(crate) fn from_role(role: platform::Role) -> Role {
    match role {
        platform::Role::Mixed => Role::Mixed,
        platform::Role::Prefill => Role::Prefill,
        platform::Role::Decode => Role::Decode,
    }
}

pub(crate) fn to_role(role: Role) -> platform::Role {
    match role {
        Role::Mixed => platform::Role::Mixed,
        Role::Prefill => platform::Role::Prefill,
        Role::Decode => platform::Role::Decode,
    }
}

pub(crate) fn from_model(model: &platform::Model) -> Model {
    Model {
        model: model.model.clone(),
        adapter: model.adapter.clone(),
        version: model.version.clone(),
    }
}

pub(crate) fn to_platform_action(order: &Order) -> platform::Action {
    let model = |model: &Model| platform::Model {
        model: model.model.clone(),
        version: model.version.clone(),
        adapter: model.adapter.clone(),
    };
    match order {
        Order::SetRole(role) => platform::Action::SetRole {
            role: to_role(*role),
        },
        Order::LoadModel(load) => platform::Action::LoadModel(model(load)),
        Order::UnloadModel(unload) => platform::Action::UnloadModel(model(unload)),
    }
}

/// Formats an order for the status.
pub(crate) fn describe(order: &Order) -> String {
    let model = |model: &Model| {
        let adapter = match model.adapter.as_str() {
            "" => String::new(),
            adapter => format!("+{adapter}"),
        };
        format!("{}@{}{adapter}", model.model, model.version)
    };
    match order {
        Order::SetRole(role) => format!("set_role {role:?}").to_lowercase(),
        Order::LoadModel(load) => format!("load_model {}", model(load)),
        Order::UnloadModel(unload) => format!("unload_model {}", model(unload)),
    }
}
