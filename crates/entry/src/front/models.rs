//! `GET /v1/models`.

use catalogue::{Owner, Target, View};
use serde::Serialize;

#[derive(Serialize)]
struct List<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    owned_by: &'a str,
    model: &'a str,
    version: &'a str,
}

/// The owner's entries that serve a model, as an OpenAI model list.
pub fn list(catalogue: &View, owner: &Owner) -> Vec<u8> {
    let data = catalogue
        .entries_of(&owner.name)
        .filter_map(|entry| match &entry.target {
            Target::Model { model, version, .. } => Some(Model {
                id: &entry.name,
                object: "model",
                created: 0,
                owned_by: &owner.name,
                model,
                version,
            }),
            Target::Path { .. } => None,
        })
        .collect();
    let list = List {
        object: "list",
        data,
    };
    serde_json::to_vec(&list).unwrap_or_default()
}
