//! Generator of the [`wire`] crate's types from `proto/`, run by hand: `cargo run -p wiregen`
//! rewrites `crates/wire/src/generated/`, and `cargo run -p wiregen -- --check` fails if that
//! folder is stale. The output is committed so that builds don't depend on the generator.
//!
//! [`wire`]: ../wire/index.html

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::{env, fs, io};

/// The protocol files; each comes after the files that it imports.
const PROTOS: [&str; 3] = ["record.proto", "peer.proto", "gateway.proto"];

fn main() -> ExitCode {
    let check = env::args().any(|arg| arg == "--check");
    let root = workspace_root();
    let target = root.join("crates/wire/src/generated");
    let result = if check {
        check_up_to_date(&root, &target)
    } else {
        generate(&root, &target)
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wiregen: {error}");
            ExitCode::FAILURE
        }
    }
}

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn generate(root: &Path, target: &Path) -> io::Result<()> {
    let protos = root.join("proto");
    let files = protox::compile(PROTOS, [protos]).map_err(io::Error::other)?;
    fs::create_dir_all(target)?;
    prost_build::Config::new()
        .out_dir(target)
        .compile_fds(files)
}

/// Fails if files generated into a scratch folder differ from the committed ones.
fn check_up_to_date(root: &Path, target: &Path) -> io::Result<()> {
    let scratch = env::temp_dir().join(format!("wiregen-{}", std::process::id()));
    generate(root, &scratch)?;
    let stale = stale_files(&scratch, target)?;
    fs::remove_dir_all(&scratch)?;
    if stale.is_empty() {
        return Ok(());
    }
    let names = stale.join(", ");
    Err(io::Error::other(format!(
        "stale: {names}; run `cargo run -p wiregen`"
    )))
}

fn stale_files(fresh: &Path, committed: &Path) -> io::Result<Vec<String>> {
    let mut stale = Vec::new();
    for entry in fs::read_dir(fresh)? {
        let name = entry?.file_name();
        let new = fs::read(fresh.join(&name))?;
        let old = fs::read(committed.join(&name)).unwrap_or_default();
        if new != old {
            stale.push(name.to_string_lossy().into_owned());
        }
    }
    Ok(stale)
}
