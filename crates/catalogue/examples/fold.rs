//! Placeholder of the measurement of folding.
fn main() {}
