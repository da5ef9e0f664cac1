//! One gateway process: its settings file, its starts and ends.

use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use platform_standin::configuration::{Duties, Settings};
use rustix::process::{Pid, Signal, kill_process};

/// A gateway and the files that it needs.
#[derive(Debug)]
pub struct Gateway {
    /// Where callers are served.
    pub front: SocketAddr,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    /// Starts so far.
    pub starts: u32,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Whether its present process is to end, so that its end is no finding.
    exit_expected: bool,
}

/// Seconds from the request to end until the kill. Calls of a run end within three.
const SHUTDOWN_GRACE_S: u32 = 6;
/// Repeats beyond the ratio; more than a run has calls that fail.
const RETRY_SLACK: u32 = 500;
/// Milliseconds between orders of two instances; less than most faults last.
const LEASE_MS: u32 = 1_500;

/// Looks for a handler, a pause apart; a program takes some milliseconds to its first line on a busy machine.
const HANDLER_POLLS: usize = 500;
const HANDLER_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The signals that a process has handlers for, from its status, as a bit each.
fn caught_signals(status: &str) -> Option<u64> {
    let caught = status
        .lines()
        .find_map(|line| line.strip_prefix("SigCgt:"))?;
    u64::from_str_radix(caught.trim(), 16).ok()
}

/// Addresses that nobody listens on, each given out once.
///
/// Processes that are started again need their ports back, while another soak beside this one looks for
/// ports: it would find those of a process that has just ended, and the process would end by itself from then
/// on. So ports are taken by blocks, and the first port of each is held for as long as the run lasts.
#[derive(Debug, Default)]
pub struct PortAllocator {
    next: u16,
    end: u16,
    /// The first port of each block.
    reserved: Vec<TcpListener>,
}

/// Ports of a block.
const PORTS_PER_BLOCK: u16 = 64;
/// Ports that are given out; the kernel gives connections none below 32,768.
const PORT_RANGE: Range<u16> = 22_016..32_704;

impl PortAllocator {
    /// The next one.
    ///
    /// # Panics
    ///
    /// If soaks hold all ports.
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
    /// Writes the settings of a gateway. It does not run yet.
    ///
    /// # Errors
    ///
    /// If the files cannot be written.
    pub fn new(
        program: &Path,
        directory: &Path,
        name: &str,
        store: SocketAddr,
        duties: Duties,
        ports: &mut PortAllocator,
    ) -> io::Result<Self> {
        let (front, ready, mesh) = (ports.allocate(), ports.allocate(), ports.allocate());
        let settings = directory.join(format!("{name}.toml"));
        let values = Settings {
            name,
            store,
            front,
            ready,
            port: mesh.port(),
            grace_s: SHUTDOWN_GRACE_S,
            retry_slack: RETRY_SLACK,
            lease_ms: LEASE_MS,
            duties: Some(duties),
        };
        std::fs::write(&settings, values.text())?;
        Ok(Self {
            front,
            ready,
            starts: 0,
            program: program.to_owned(),
            log: directory.join(format!("{name}.log")),
            settings,
            child: None,
            exit_expected: false,
        })
    }

    /// Starts a process, if none runs.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
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

    /// Sends a signal to the process, if one runs.
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
            // It may have ended a moment ago.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until the process has a handler for a signal.
    ///
    /// Between the start of a process and the first line of its program lies a millisecond in which the system is at
    /// work for it and no program can have handlers: SIGHUP ends any process then. What the program makes of it from its
    /// first line on is what is checked here, and its own test holds how early that is.
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

    /// Whether no process runs. `Err` tells how one ended that nobody asked to.
    ///
    /// # Errors
    ///
    /// The status of a process that ended by itself.
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
            // A stopped process takes this signal, too.
            drop(child.kill());
            drop(child.wait());
        }
    }
}
