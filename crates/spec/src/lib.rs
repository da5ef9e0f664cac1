//! Model checking of the control protocol: small configurations of the very transition functions
//! that the daemon runs, explored exhaustively. For each guard there is a mutant without it, which
//! must yield a counterexample, so that a property that holds holds because of the guards. Bounds,
//! counts and what is not covered stand in `docs/PROOFS.md`.

pub mod calls;
pub mod edits;
pub mod explore;
pub mod lease;
pub mod log;
pub mod orders;
pub mod suite;
