//! A gateway process: its settings file, ports, signals and restarts.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use platform_standin::configuration::{Duties, Settings};
use rustix::process::{Pid, Signal, kill_process};

/// A gateway process with its settings and log.
#[derive(Debug)]
pub struct Gateway {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address that engines see.
    pub ip: Ipv4Addr,
    /// Number of starts so far.
    pub starts: u32,
    program: PathBuf,
    settings: PathBuf,
    settings_text: String,
    log: PathBuf,
    /// Length of the log before this run; earlier runs of the seed have written to it.
    log_start: usize,
    child: Option<Child>,
    /// Whether the current process was told to exit, so that its exit is not a finding.
    exit_expected: bool,
}

/// Grace period for a shutdown. Calls of a run end within 3 s.
const SHUTDOWN_GRACE_S: u32 = 6;
/// Retries allowed beyond the ratio: more than the number of failing calls in a run.
const RETRY_SLACK: u32 = 500;
/// Lease duration, which separates orders of two instances; shorter than most faults.
const LEASE_MS: u32 = 1_500;

/// Number of polls for a signal handler. On a busy machine a program takes some milliseconds to
/// reach its first statement.
const HANDLER_POLLS: usize = 500;
const HANDLER_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Bit mask of the signals that a process handles, from `/proc/PID/status`.
fn caught_signals(status: &str) -> Option<u64> {
    let caught = status
        .lines()
        .find_map(|line| line.strip_prefix("SigCgt:"))?;
    u64::from_str_radix(caught.trim(), 16).ok()
}

/// Allocates free loopback addresses, each of them once.
///
/// A restarted process needs its ports back, but a concurrent soak that looks for ports could take
/// those of a process that has just exited, and every restart would then fail. Ports are therefore
/// reserved in blocks, by listening on the first port of each block until the run ends.
#[derive(Debug, Default)]
pub struct PortAllocator {
    next: u16,
    end: u16,
    /// Listeners on the first port of each block.
    reserved: Vec<TcpListener>,
}

/// Number of ports in a block, including the reserved first one.
const PORTS_PER_BLOCK: u16 = 64;
/// Ports to allocate from, below the kernel's ephemeral range, which starts at 32,768.
const PORT_RANGE: Range<u16> = 22_016..32_704;

impl PortAllocator {
    /// Allocates the next free address.
    ///
    /// # Panics
    ///
    /// If all blocks are reserved.
    pub fn allocate(&mut self) -> SocketAddr {
        loop {
            if self.next == self.end {
                self.reserve_block();
            }
            let address = loopback(self.next);
            self.next += 1;
            if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
                return address;
            }
        }
    }

    fn reserve_block(&mut self) {
        let firsts = PORT_RANGE.step_by(usize::from(PORTS_PER_BLOCK));
        let mut free = firsts.filter_map(|first| TcpListener::bind(loopback(first)).ok());
        let held = free.next().expect("a block of ports is free");
        let first = held
            .local_addr()
            .expect("a bound socket has an address")
            .port();
        self.reserved.push(held);
        self.next = first + 1;
        self.end = first + PORTS_PER_BLOCK;
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Gateway {
    /// Prepares a gateway without starting it.
    ///
    /// # Errors
    ///
    /// If its log cannot be read.
    pub fn new(
        program: &Path,
        directory: &Path,
        number: u8,
        store: SocketAddr,
        duties: Duties,
        ports: &mut PortAllocator,
    ) -> io::Result<Self> {
        let name = &format!("gateway-{number}");
        let (front, ready, mesh) = (ports.allocate(), ports.allocate(), ports.allocate());
        // Engines tell gateways apart by address.
        let ip = Ipv4Addr::new(127, 2, 0, number + 1);
        let mesh = SocketAddr::new(ip.into(), mesh.port());
        let settings = directory.join(format!("{name}.toml"));
        let values = Settings {
            name,
            store,
            front,
            ready,
            mesh,
            grace_s: SHUTDOWN_GRACE_S,
            retry_slack: RETRY_SLACK,
            lease_ms: LEASE_MS,
            duties: Some(duties),
        };
        let log = directory.join(format!("{name}.log"));
        let log_start = std::fs::read(&log).map_or(0, |earlier| earlier.len());
        Ok(Self {
            front,
            ready,
            ip,
            starts: 0,
            program: program.to_owned(),
            log,
            log_start,
            settings,
            settings_text: values.text(),
            child: None,
            exit_expected: false,
        })
    }

    /// Lines of this run's log that contain a text.
    ///
    /// # Errors
    ///
    /// If the log cannot be read.
    pub fn log_lines(&self, text: &str) -> io::Result<Vec<String>> {
        let log = std::fs::read(&self.log)?;
        let log = String::from_utf8_lossy(log.get(self.log_start..).unwrap_or_default());
        let lines = log.lines().filter(|line| line.contains(text));
        Ok(lines.map(str::to_owned).collect())
    }

    /// Starts the process unless it runs.
    ///
    /// # Errors
    ///
    /// If its settings cannot be written or the process cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        // As the platform does: only the first start of all is the whole system's.
        let is_first = self.starts == 0;
        let settings = format!("bootstrap = {is_first}\n{}", self.settings_text);
        std::fs::write(&self.settings, settings)?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        self.exit_expected = false;
        self.starts += 1;
        Ok(())
    }

    /// Sends a signal to the process if it runs.
    pub fn signal(&mut self, signal: Signal) {
        if matches!(signal, Signal::KILL | Signal::TERM) {
            self.exit_expected = true;
        }
        if signal == Signal::HUP {
            self.wait_for_handler(signal);
        }
        let pid = self.child.as_ref().map(Child::id);
        let pid = pid.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(pid) = pid {
            // The process may have exited already.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until the process handles a signal, for a bounded time.
    ///
    /// For about a millisecond between the start of a process and the first statement of its
    /// program, no handler can be installed and SIGHUP ends any process. The soak checks the
    /// program's behaviour after that; the gateway has a test of its own for how early it installs
    /// the handler.
    fn wait_for_handler(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        let status = format!("/proc/{}/status", child.id());
        let bit = 1_u64 << (signal.as_raw() - 1);
        for _ in 0..HANDLER_POLLS {
            let caught = std::fs::read_to_string(&status).ok();
            let caught = caught.and_then(|status| caught_signals(&status));
            if caught.is_none_or(|caught| caught & bit != 0) {
                return;
            }
            std::thread::sleep(HANDLER_POLL_INTERVAL);
        }
    }

    /// Whether no process runs.
    ///
    /// # Errors
    ///
    /// The exit status of a process that was not told to exit.
    pub fn has_exited(&mut self) -> Result<bool, ExitStatus> {
        let Some(child) = &mut self.child else {
            return Ok(true);
        };
        match child.try_wait() {
            Ok(Some(status)) => {
                self.child = None;
                if self.exit_expected {
                    Ok(true)
                } else {
                    Err(status)
                }
            }
            Ok(None) | Err(_) => Ok(false),
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // SIGKILL also ends a process that SIGSTOP has stopped.
            drop(child.kill());
            drop(child.wait());
        }
    }
}
