//! Starts a control on its own thread.

use std::error::Error;
use std::fmt;
use std::sync::Arc;
use std::sync::mpsc as sync_mpsc;

use actix_rt::System;
use clock::System as Clock;
use error_stack::{Report, ResultExt as _};
use tokio::sync::{mpsc, watch};

use crate::core::{Core, Wiring};
use crate::handle::{Handle, Shared};
use crate::options::Options;
use crate::view::View;

/// Why a control did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The thread could not be started.
    Thread,
    /// The mesh could not start because of its keys or address.
    Mesh,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Thread => f.write_str("the thread of the control could not be started"),
            Self::Mesh => f.write_str("the mesh between entries did not start"),
        }
    }
}

impl Error for StartError {}

/// Starts a control. It runs until [`Handle::stop`], also while the log is down.
///
/// # Errors
///
/// [`StartError`] if the control does not run.
pub fn start(options: Options, clock: Clock) -> Result<Handle, Report<StartError>> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let (view_sender, view) = watch::channel(Arc::new(View::empty()));
    let shared = Arc::new(Shared::default());
    let wiring = Wiring {
        sender: sender.clone(),
        shared: Arc::clone(&shared),
        view: view_sender,
        clock,
    };
    let (started, outcome) = sync_mpsc::channel();
    let thread = std::thread::Builder::new().name("control".to_owned());
    let main = move || {
        System::new().block_on(async move {
            let core = Core::start(options, wiring);
            let core = match core {
                Ok(core) => {
                    let _starter_waits = started.send(Ok(()));
                    core
                }
                Err(report) => {
                    let _starter_waits = started.send(Err(report));
                    return;
                }
            };
            core.run(receiver).await;
        });
    };
    thread.spawn(main).change_context(StartError::Thread)?;
    let outcome = outcome.recv().change_context(StartError::Thread)?;
    outcome.change_context(StartError::Mesh)?;
    Ok(Handle {
        sender,
        shared,
        view,
    })
}
