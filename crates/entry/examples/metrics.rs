//! Prints the table of the section "Metrics" in `docs/OPERATORS.md`.

fn main() {
    print!("{}", entry::metrics::markdown_table("tarragon"));
}
