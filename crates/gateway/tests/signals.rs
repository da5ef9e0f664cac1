//! Signals that come while a process starts.

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

/// A process that reads its settings: they lie in a pipe to which nothing is written until the test says so.
struct Starting {
    child: Child,
    pipe: File,
    path: PathBuf,
    _directory: TempDir,
}

impl Starting {
    fn new() -> Self {
        let directory = TempDir::new().expect("a scratch directory can be made");
        let path = directory.path().join("node.toml");
        rustix::fs::mknodat(CWD, &path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0)
            .expect("a pipe can be made");
        let mut command = Command::new(env!("CARGO_BIN_EXE_tarragon-gateway"));
        command
            .args(["serve", "--settings"])
            .arg(&path)
            .stdout(Stdio::null());
        let child = harness::spawn(&mut command).expect("the gateway starts");
        // Opens only once the process reads the other end.
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

    /// Gives the process its settings, and leaves them where it finds them again.
    fn go_on(&mut self, settings: &str) {
        std::fs::remove_file(&self.path).expect("the pipe can be removed");
        std::fs::write(&self.path, settings).expect("a scratch file can be written");
        // A process that has ended does not read.
        let _ = self.pipe.write_all(settings.as_bytes());
        self.pipe = File::open("/dev/null").expect("there is a null device");
    }

    fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }
}

/// Settings of a process, and where it serves callers by them.
fn settings() -> (String, SocketAddr) {
    let address = || SocketAddr::from(([127, 0, 0, 1], harness::free_port()));
    let front = address();
    let settings = Settings {
        name: "front-a-1",
        store: address(),
        front,
        ready: address(),
        port: harness::free_port(),
        grace_s: 8,
        retry_slack: 0,
        lease_ms: 0,
        duties: None,
    };
    (settings.text(), front)
}

/// Symptom: a process dies right after its start, without a line of log. Sequence: its machine starts; an
/// operator changes the settings and sends SIGHUP; the process reads its settings at that moment. Cause: signals
/// were received only once it had read them, and SIGHUP ends a process that does not receive it.
#[actix_rt::test]
async fn changed_settings_do_not_end_a_process_that_starts() {
    let (text, front) = settings();
    let mut starting = Starting::new();
    starting.signal(Signal::HUP);
    starting.go_on(&text);
    harness::wait_until(async || {
        let ended = starting.child.try_wait();
        assert!(matches!(ended, Ok(None)), "the process ended: {ended:?}");
        TcpStream::connect(front).is_ok()
    })
    .await;
    starting.signal(Signal::TERM);
    assert!(starting.wait().success());
}

/// Symptom: a stop of a machine that has just started counts as a crash. Sequence: SIGTERM comes while the
/// process reads its settings. Cause: as above, so that the process ends by the signal.
#[actix_rt::test]
async fn a_process_that_is_asked_to_end_while_it_starts_ends_in_order() {
    let (text, _) = settings();
    let mut starting = Starting::new();
    starting.signal(Signal::TERM);
    starting.go_on(&text);
    assert!(starting.wait().success());
}
