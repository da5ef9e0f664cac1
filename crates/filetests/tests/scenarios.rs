//! Runs each scenario file in `filetests/` as a test.

use std::path::{Path, PathBuf};

use filetests::{Command, World};
use libtest_mimic::{Arguments, Failed, Trial};

fn main() {
    let arguments = Arguments::from_args();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../filetests");
    let mut files = Vec::new();
    collect(&root, &mut files);
    files.sort();
    assert!(!files.is_empty(), "no scenario under {}", root.display());
    let trials = files.into_iter().map(|file| trial(&root, file)).collect();
    libtest_mimic::run(&arguments, trials).exit();
}

fn collect(directory: &Path, files: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(directory).expect("the directory of the scenarios");
    for path in entries.map(|entry| entry.expect("an entry").path()) {
        if path.is_dir() {
            collect(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "txt") {
            files.push(path);
        }
    }
}

fn trial(root: &Path, file: PathBuf) -> Trial {
    let name = file.strip_prefix(root).unwrap_or(&file);
    let name = name.with_extension("").display().to_string();
    Trial::test(name, move || run(&file))
}

fn run(file: &Path) -> Result<(), Failed> {
    let text = std::fs::read_to_string(file)?;
    let has_text = |line: &str, start: &str| line.starts_with(start) && line.len() > start.len();
    let mut lines = text.lines();
    let promise = lines
        .next()
        .is_some_and(|line| has_text(line, "# Promise: "));
    let fault = lines
        .next()
        .is_some_and(|line| has_text(line, "# Goes wrong: "));
    if !promise || !fault {
        return Err("the first lines must be `# Promise:` and `# Goes wrong:`".into());
    }
    // `datadriven` rewrites the expected output only if REWRITE is set.
    datadriven::walk(&file.to_string_lossy(), |file| {
        let mut world = World::new();
        file.run(|case| world.execute(&Command::from(&*case)));
    });
    Ok(())
}
