//! Generated types of everything that crosses a process border of ours: the records of the
//! platform's log ([`record`]), the frames between entries ([`peer`]) and those between gateways
//! ([`gateway`]). The pure crates turn
//! them into checked types with `TryFrom`; nothing here knows a rule. The sources are in `proto/`
//! and the generator is `crates/wiregen`; see `docs/DESIGN.md`.

/// Records of the platform's log.
pub mod record {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/tarragon.record.rs");
}

/// Frames between instances.
pub mod peer {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/tarragon.peer.rs");
}

/// Frames between gateway instances.
pub mod gateway {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/tarragon.gateway.rs");
}

/// Re-exported so that users encode with the same library version that generated the types.
pub use prost::Message;
