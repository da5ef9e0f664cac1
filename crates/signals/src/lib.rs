//! Signals that stop a daemon or reload its settings, handled from the start of the process.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Records signals that arrive during start-up, until [`Signals`] receives them.
///
/// Without a handler these signals terminate the process: a SIGHUP sent after a change of settings
/// would kill a process that is still starting, before its first log line.
#[derive(Debug)]
pub struct EarlySignals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl EarlySignals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// If a handler cannot be installed.
    pub fn new() -> io::Result<Self> {
        let early = Self {
            stop: Arc::default(),
            reload: Arc::default(),
        };
        flag::register(SIGTERM, early.stop.clone())?;
        flag::register(SIGINT, early.stop.clone())?;
        flag::register(SIGHUP, early.reload.clone())?;
        Ok(early)
    }
}

/// A request made by a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Shut down in order.
    Stop,
    /// Reload the settings.
    Reload,
}

/// Receives signals, starting with those of [`EarlySignals`].
#[derive(Debug)]
pub struct Signals {
    early: EarlySignals,
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    /// Receives signals on the runtime of this thread.
    ///
    /// # Errors
    ///
    /// If a handler cannot be installed.
    pub fn new(early: EarlySignals) -> io::Result<Self> {
        Ok(Self {
            early,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next request. An early one may be returned twice, which is harmless.
    pub async fn next(&mut self) -> Request {
        if self.early.stop.swap(false, Ordering::Relaxed) {
            return Request::Stop;
        }
        if self.early.reload.swap(false, Ordering::Relaxed) {
            return Request::Reload;
        }
        tokio::select! {
            _ = self.terminate.recv() => Request::Stop,
            _ = self.interrupt.recv() => Request::Stop,
            _ = self.reload.recv() => Request::Reload,
        }
    }
}
