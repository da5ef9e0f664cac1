//! Signals that come before the daemon can act on them. It stands before everything else that a process
//! does; [`crate::daemon`] asks it once it listens for signals itself.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::flag;

/// What was asked for while the process was starting.
///
/// Without a handler SIGHUP ends a process. An operator who changes the settings of a machine that is
/// just starting would see its process die of it, before its first line of log. So both signals are
/// remembered from the first step on, until the daemon receives them.
#[derive(Debug)]
pub(crate) struct Early {
    terminate: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Early {
    /// Remembers signals from now on.
    ///
    /// # Errors
    ///
    /// If the system takes no handler.
    pub(crate) fn new() -> io::Result<Self> {
        let early = Self {
            terminate: Arc::default(),
            reload: Arc::default(),
        };
        flag::register(SIGTERM, early.terminate.clone())?;
        flag::register(SIGHUP, early.reload.clone())?;
        Ok(early)
    }

    /// Whether the process was asked to end.
    pub(crate) fn is_terminated(&self) -> bool {
        self.terminate.load(Ordering::Relaxed)
    }

    /// Whether the settings were said to have changed.
    pub(crate) fn is_reloaded(&self) -> bool {
        self.reload.load(Ordering::Relaxed)
    }
}
