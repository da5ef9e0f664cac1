//! Signals that arrive while a process starts.

mod harness;

use std::fs::File;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use platform_standin::configuration::Settings;
use rustix::fs::{CWD, FileType, Mode};
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

/// A process that is reading its settings, from a pipe to which nothing is written until the test
/// does.
struct StartingProcess {
    child: Child,
    pipe: File,
    path: PathBuf,
    _directory: TempDir,
}

impl StartingProcess {
    fn new() -> Self {
        let directory = TempDir::new().expect("a scratch directory can be created");
        let path = directory.path().join("node.toml");
        rustix::fs::mknodat(CWD, &path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0)
            .expect("a pipe can be created");
        let mut command = Command::new(env!("CARGO_BIN_EXE_tarragon-gateway"));
        command
            .args(["serve", "--settings"])
            .arg(&path)
            .stdout(Stdio::null());
        let child = harness::spawn(&mut command).expect("the gateway starts");
        // Returns only once the process opens the other end.
        let pipe = File::options().write(true).open(&path);
        Self {
            child,
            pipe: pipe.expect("the pipe can be opened"),
            path,
            _directory: directory,
        }
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("ids of processes are small");
        let pid = Pid::from_raw(id).expect("ids of processes are above zero");
        kill_process(pid, signal).expect("the process runs");
    }

    /// Provides the settings through the pipe, and as a file for later reads.
    fn provide_settings(&mut self, settings: &str) {
        std::fs::remove_file(&self.path).expect("the pipe can be removed");
        std::fs::write(&self.path, settings).expect("a scratch file can be written");
        // The write fails if the process has ended.
        let _ = self.pipe.write_all(settings.as_bytes());
        self.pipe = File::open("/dev/null").expect("there is a null device");
    }

    fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }
}

/// Settings of a process, and its address for callers.
fn settings() -> (String, SocketAddr) {
    let address = || SocketAddr::from(([127, 0, 0, 1], harness::free_port()));
    let front = address();
    let settings = Settings {
        name: "front-a-1",
        store: address(),
        front,
        ready: address(),
        mesh: harness::free_mesh_address(),
        grace_s: 8,
        retry_slack: 0,
        lease_ms: 0,
        duties: None,
    };
    (settings.text(), front)
}

/// An operator changes the settings and sends SIGHUP while the process reads them at its start.
/// When signals were handled only after that, the default action of SIGHUP ended the process
/// without a log line.
#[actix_rt::test]
async fn sighup_during_the_start_does_not_end_the_process() {
    let (text, front) = settings();
    let mut process = StartingProcess::new();
    process.signal(Signal::HUP);
    process.provide_settings(&text);
    harness::wait_until(async || {
        let ended = process.child.try_wait();
        assert!(matches!(ended, Ok(None)), "the process ended: {ended:?}");
        TcpStream::connect(front).is_ok()
    })
    .await;
    process.signal(Signal::TERM);
    assert!(process.wait().success());
}

/// SIGTERM arrives while the process reads its settings. When signals were handled only after that,
/// the process died by the signal, and a stop of a machine that had just started counted as a
/// crash.
#[actix_rt::test]
async fn sigterm_during_the_start_ends_the_process_with_success() {
    let (text, _) = settings();
    let mut process = StartingProcess::new();
    process.signal(Signal::TERM);
    process.provide_settings(&text);
    assert!(process.wait().success());
}
