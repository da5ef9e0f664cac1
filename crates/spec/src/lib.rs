//! Model checking of the control protocol: small configurations of the transition functions that
//! the daemon runs, explored exhaustively. Each guard has a mutant without it that must yield a
//! counterexample, which shows that the property depends on the guard. `docs/PROOFS.md` lists the
//! bounds, the state counts and what is not covered.

pub mod calls;
pub mod edits;
pub mod explore;
pub mod lease;
pub mod log;
pub mod orders;
pub mod suite;
