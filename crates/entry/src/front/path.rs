//! Paths that mean one thing to the entry and another to an upstream are refused.

use crate::front::problem::{Kind, Problem};

/// Checks a path.
///
/// # Errors
///
/// It has a segment `.` or `..`, also percent-encoded. The entry would look up the catalogue entry
/// by the path as it stands while an upstream may resolve it to one that another entry, with other
/// owners and rules on repeats, stands for.
pub fn check(path: &str) -> Result<(), Problem> {
    if path.split('/').any(is_dots) {
        return Err(Problem::not_run(
            Kind::BadRequest,
            "the path must not have segments . or ..",
        ));
    }
    Ok(())
}

fn is_dots(segment: &str) -> bool {
    if segment.len() > "%2e%2e".len() {
        return false;
    }
    matches!(
        segment.to_ascii_lowercase().replace("%2e", ".").as_str(),
        "." | ".."
    )
}
