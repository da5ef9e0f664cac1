//! Processes of a test.

use std::io::{BufRead as _, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::OnceLock;

/// A running program that told its address.
pub(crate) struct Process {
    child: Child,
    pub(crate) address: String,
    /// Further addresses that an entry tells, by name.
    pub(crate) others: Vec<(String, String)>,
}

impl Process {
    /// Starts a stand-in.
    pub(crate) fn standin(name: &str, options: &[&str]) -> Self {
        Self::start(&binary(name), options)
    }

    /// Starts an entry.
    pub(crate) fn entry(options: &[&str]) -> Self {
        Self::start(&env!("CARGO_BIN_EXE_tarragon-entry").into(), options)
    }

    fn start(path: &PathBuf, options: &[&str]) -> Self {
        let mut child = Command::new(path)
            .args(options)
            .env(
                "RUST_LOG",
                std::env::var("RUST_LOG").unwrap_or("warn".into()),
            )
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut others = Vec::new();
        let address = loop {
            let line = lines.next().expect("it ended before it listened").unwrap();
            if let Some(address) = line.strip_prefix("listening ") {
                break address.to_owned();
            }
            if let Some((name, address)) = line.split_once(' ') {
                others.push((name.to_owned(), address.to_owned()));
            }
        };
        // The pipe stays open and is read to its end, so that the program can go on writing.
        std::thread::spawn(move || lines.for_each(drop));
        Self {
            child,
            address,
            others,
        }
    }

    /// A further address by its name.
    pub(crate) fn other(&self, name: &str) -> &str {
        let found = self.others.iter().find(|(other, _)| other == name);
        &found.unwrap().1
    }

    /// Sends a signal by its name, for example `KILL`.
    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Stops it and waits until all of its threads stand still: the signal reaches one of them, and
    /// the others run on until that one is scheduled.
    pub(crate) fn stop(&self) {
        self.signal("STOP");
        let tasks = format!("/proc/{}/task", self.child.id());
        let stands = |task: std::fs::DirEntry| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            let state = stat.rsplit(')').next().unwrap_or_default();
            state.trim_start().starts_with('T')
        };
        while !std::fs::read_dir(&tasks).unwrap().flatten().all(stands) {
            std::thread::yield_now();
        }
    }

    /// Waits for the end.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// Whether it has ended, and how.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Ends it at once.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A stopped process dies of SIGKILL as well.
        self.kill();
    }
}

/// The stand-ins stand beside the entry; they are built once if somebody runs these tests alone.
fn binary(name: &str) -> PathBuf {
    static BUILT: OnceLock<()> = OnceLock::new();
    let entry = PathBuf::from(env!("CARGO_BIN_EXE_tarragon-entry"));
    let directory = entry.parent().unwrap().to_owned();
    BUILT.get_or_init(|| {
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--quiet", "--package", "standin", "--bins"]);
        if directory.ends_with("release") {
            build.arg("--release");
        }
        assert!(build.status().unwrap().success());
    });
    directory.join(name)
}
