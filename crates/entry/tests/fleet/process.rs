//! Processes started by a test.

use std::io::{BufRead as _, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::OnceLock;

/// A running process that has printed its address.
pub(crate) struct Process {
    child: Child,
    pub(crate) address: String,
    /// Further addresses that an entry prints, by name.
    pub(crate) named_addresses: Vec<(String, String)>,
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
        let mut named_addresses = Vec::new();
        let address = loop {
            let line = lines
                .next()
                .expect("the process exited before it listened")
                .unwrap();
            if let Some(address) = line.strip_prefix("listening ") {
                break address.to_owned();
            }
            if let Some((name, address)) = line.split_once(' ') {
                named_addresses.push((name.to_owned(), address.to_owned()));
            }
        };
        // The pipe is read to its end, so that the process never blocks on writing.
        std::thread::spawn(move || lines.for_each(drop));
        Self {
            child,
            address,
            named_addresses,
        }
    }

    /// A further address by its name.
    pub(crate) fn named_address(&self, name: &str) -> &str {
        let found = self.named_addresses.iter().find(|(known, _)| known == name);
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

    /// Stops the process with SIGSTOP and waits until all its threads have stopped: the signal is
    /// delivered to one thread, and the others run until that one is scheduled.
    pub(crate) fn stop(&self) {
        self.signal("STOP");
        let tasks = format!("/proc/{}/task", self.child.id());
        let is_stopped = |task: std::fs::DirEntry| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            let state = stat.rsplit(')').next().unwrap_or_default();
            state.trim_start().starts_with('T')
        };
        while !std::fs::read_dir(&tasks).unwrap().flatten().all(is_stopped) {
            std::thread::yield_now();
        }
    }

    /// Waits for the process to exit.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// Largest resident memory so far, in bytes.
    pub(crate) fn peak_memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
        kib.unwrap().parse::<usize>().unwrap() * 1_024
    }

    /// Number of open descriptors.
    pub(crate) fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).unwrap().count()
    }

    /// The exit status, if the process has exited.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a stopped process.
        self.kill();
    }
}

/// Path of a stand-in, which is next to the entry's binary. The stand-ins are built once, in case
/// only these tests are run.
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
