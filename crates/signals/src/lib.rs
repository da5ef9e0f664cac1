//! What a daemon is asked for by signals, from the first step of its process on. It stands before everything else that
//! a daemon does.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What was asked for while the process was starting.
///
/// Without a handler these signals end a process. An operator who changes the settings of a machine that is
/// just starting would see its process die of SIGHUP, before its first line of log. So they are remembered from the
/// first step on, until [`Signals`] receives them.
#[derive(Debug)]
pub struct EarlySignals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl EarlySignals {
    /// Remembers signals from now on.
    ///
    /// # Errors
    ///
    /// If the system takes no handler.
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

/// What a process can be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// To come to an orderly end.
    Stop,
    /// To read its settings again.
    Reload,
}

/// Signals as they come, the early ones first.
#[derive(Debug)]
pub struct Signals {
    early: EarlySignals,
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    /// Receives signals from now on, on this thread's runtime.
    ///
    /// # Errors
    ///
    /// If the system takes no handler.
    pub fn new(early: EarlySignals) -> io::Result<Self> {
        Ok(Self {
            early,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// The next request. One that came early may be told twice, which does no harm.
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
