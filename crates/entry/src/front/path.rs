//! Rejects paths that the entry and an upstream could resolve differently.

use crate::front::problem::{Kind, Problem};

/// Checks a path.
///
/// # Errors
///
/// The path has a `.` or `..` segment, possibly percent-encoded. The catalogue is searched with the
/// path as given, while an upstream may resolve it to the path of another catalogue entry, with
/// another owner and other rules on repeats.
pub fn check(path: &str) -> Result<(), Problem> {
    if path.split('/').any(is_dot_segment) {
        return Err(Problem::not_run(
            Kind::BadRequest,
            "the path must not have segments . or ..",
        ));
    }
    Ok(())
}

fn is_dot_segment(segment: &str) -> bool {
    if segment.len() > "%2e%2e".len() {
        return false;
    }
    matches!(
        segment.to_ascii_lowercase().replace("%2e", ".").as_str(),
        "." | ".."
    )
}
