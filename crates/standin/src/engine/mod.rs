//! The model engine.
