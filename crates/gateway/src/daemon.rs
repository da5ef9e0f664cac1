//! Starts and stops the tasks of a process.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use adapter::settings::{self, Settings};
use error_stack::{Report, ResultExt as _};
use signals::{EarlySignals, Request, Signals};

use crate::instance::Instance;
use crate::{connection, duties, mesh, metrics, own_load, readiness, status, store_reader};

/// Why the process cannot serve.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Failure {
    Signals,
    Listen,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Signals => "signals cannot be received",
            Self::Listen => "cannot listen on an address",
        })
    }
}

impl std::error::Error for Failure {}

/// Serves until SIGTERM or SIGINT.
pub(crate) fn run(
    path: PathBuf,
    settings: Settings,
    port: Option<u16>,
    early: EarlySignals,
) -> Result<(), Report<Failure>> {
    actix_rt::System::new().block_on(serve(path, settings, port, early))
}

async fn serve(
    path: PathBuf,
    settings: Settings,
    port: Option<u16>,
    early: EarlySignals,
) -> Result<(), Report<Failure>> {
    let mut signals = Signals::new(early).change_context(Failure::Signals)?;
    let instance = Rc::new(Instance::new(settings));
    let listen = instance.settings.borrow().listen;
    log::info!(
        instance = instance.settings.borrow().instance.as_str(),
        incarnation = instance.incarnation, link_mbps = instance.settings.borrow().link_mbps,
        front:% = listen.front;
        "started"
    );
    let front = http1::listen(listen.front).change_context(Failure::Listen)?;
    let ready = http1::listen(listen.ready).change_context(Failure::Listen)?;
    actix_rt::spawn(own_load::run(instance.own_load.clone()));
    actix_rt::spawn(connection::accept(instance.clone(), front));
    actix_rt::spawn(status::serve(instance.clone(), ready, readiness::reply));
    if let Some(port) = port {
        metrics::start(&instance, port);
    }
    store_reader::start(&instance);
    actix_rt::spawn(store_reader::sweep(instance.clone()));
    actix_rt::spawn(duties::run(instance.clone()));
    mesh::start(&instance)
        .await
        .change_context(Failure::Listen)?;
    let mut file = FileStamp::of(&path);
    loop {
        tokio::select! {
            request = signals.next() => match request {
                Request::Stop => break,
                Request::Reload => {
                    file = FileStamp::of(&path);
                    reload(&instance, &path);
                }
            },
            () = tokio::time::sleep(FILE_POLL_INTERVAL) => {
                let now = FileStamp::of(&path);
                if std::mem::replace(&mut file, now) != now {
                    reload(&instance, &path);
                }
            }
        }
    }
    log::info!("asked to end");
    let grace = instance.settings.borrow().bounds.grace;
    instance.lifecycle.shut_down(grace).await;
    Ok(())
}

/// Interval between checks whether the settings file has changed.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Modification time and length, by which a change of the file is detected; `None` if it cannot be
/// read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileStamp(Option<(SystemTime, u64)>);

impl FileStamp {
    fn of(path: &Path) -> Self {
        let found = std::fs::metadata(path).ok();
        Self(found.and_then(|found| Some((found.modified().ok()?, found.len()))))
    }
}

/// Reloads the settings. Bound addresses stay; invalid settings leave the current ones in force.
fn reload(instance: &Instance, path: &Path) {
    match settings::load(path) {
        Ok(settings) => {
            instance
                .budgets
                .borrow_mut()
                .set_limit(settings.bounds.retry_budget);
            instance.own_load.set_limits(&settings);
            instance
                .connection_memory
                .set_machine_bytes(settings.memory);
            *instance.settings.borrow_mut() = settings;
            log::info!("settings reloaded");
        }
        Err(findings) => {
            for finding in findings {
                log::error!(finding:% = finding; "the settings are not good; the old ones stay");
            }
        }
    }
}
