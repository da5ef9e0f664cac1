//! Prints the table of the section "Metrics" in `docs/OPERATORS.md`.

fn main() {
    print!("{}", entry::metrics::page("tarragon"));
}
