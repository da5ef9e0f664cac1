//! Generated types of all messages between our processes: the records of the platform's log
//! ([`record`]), the frames between entries ([`peer`]) and those between gateways ([`gateway`]).
//! The types are unchecked; the pure crates convert them into checked types with `TryFrom`. The
//! sources are in `proto/` and the generator is `crates/wiregen`; see `docs/DESIGN.md`.

/// Records of the platform's log.
pub mod record {
    #![allow(missing_docs, clippy::all, clippy::pedantic)]
    include!("generated/tarragon.record.rs");
}

/// Frames between entries.
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
