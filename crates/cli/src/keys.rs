//! `tarragonctl keys`.

use std::io::{self, Read};

use error_stack::{Report, ResultExt};
use serde_json::json;

use crate::args::Keys;
use crate::failure::Failure;
use crate::output::Output;

/// Runs the command.
///
/// # Errors
/// See [`Failure`].
pub fn run(action: &Keys) -> Result<Output, Report<Failure>> {
    match action {
        Keys::Make { dir, instances } => {
            let failed = || Failure::Usage(format!("cannot make keys in {}", dir.display()));
            peer::issue::write_keys(dir, instances).change_context_lazy(failed)?;
            let text = format!("{} certificates in {}\n", instances.len(), dir.display());
            Ok(Output::new(
                json!({ "dir": dir, "instances": instances }),
                text,
            ))
        }
        Keys::Digest => {
            let mut key = String::new();
            let unreadable = Failure::Usage("cannot read the key".to_owned());
            io::stdin()
                .read_to_string(&mut key)
                .change_context(unreadable)?;
            Ok(digest(key.trim_end_matches(['\r', '\n'])))
        }
    }
}

/// Computes the digest that an owner lists for a key.
fn digest(key: &str) -> Output {
    let hex: String = catalogue::digest(key)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    Output::new(json!({ "digest": hex }), format!("{hex}\n"))
}
