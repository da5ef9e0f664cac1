//! Starts the daemon, serves, and shuts down in order.

use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use actix_rt::System;
use actix_rt::time::{interval, sleep, timeout};
use clock::Clock as _;
use control::{Handle, Options};
use error_stack::{Report, ResultExt as _};
use rand::RngExt as _;
use routing::router::{self, Router};
use settings::Settings;
use signals::{EarlySignals, Request, Signals};

use crate::dispatcher::Dispatcher;
use crate::front::{request_id, server};
use crate::held_answers::HeldAnswers;
use crate::hooks::hooks;
use crate::memory_budget::MemoryBudget;
use crate::metrics::{self, Metric, Metrics};
use crate::policy::Overrides;
use crate::process::pause_detector::{PauseDetector, TICK_INTERVAL};
use crate::process::phase::{Lifecycle, Phase};
use crate::router_sync;
use crate::shared::Shared;
use crate::stream::event_id;
use crate::stream::resumed_streams::ResumedStreams;
use crate::token_estimator::TokenEstimator;

/// Least time that the control gets to hand over what it holds.
const MIN_HANDOVER_TIME: Duration = Duration::from_millis(500);

/// Why the daemon ended with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The overrides of the routing policy are invalid.
    Policy,
    /// The control could not be started.
    Control,
    /// An address could not be bound.
    Bind,
    /// Signals cannot be received.
    Signals,
    /// An HTTP server failed.
    Server,
    /// The shutdown limit passed before all work had finished.
    Overdue,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Policy => "the routing policy overrides are invalid",
            Self::Control => "the control could not be started",
            Self::Bind => "an address could not be bound",
            Self::Signals => "signals cannot be received",
            Self::Server => "a server failed",
            Self::Overdue => "the shutdown limit passed with work in progress",
        })
    }
}

impl std::error::Error for Failure {}

/// Serves until a signal requests a shutdown.
///
/// # Errors
///
/// The process could not start, or its shutdown was not orderly.
pub fn run(settings: Settings, early: EarlySignals) -> Result<(), Report<Failure>> {
    System::new().block_on(serve(settings, early))
}

async fn serve(settings: Settings, early: EarlySignals) -> Result<(), Report<Failure>> {
    let mut signals = Signals::new(early).change_context(Failure::Signals)?;
    let shared = Arc::new(build_shared(settings)?);
    shared.control.set_hooks(hooks(&shared));
    let mut front = server::start(&shared).change_context(Failure::Bind)?;
    if let Some(admin) = front.admin {
        println!("admin {admin}");
    }
    println!("listening {}", front.address);
    log::info!(address:% = front.address, instance = shared.settings.instance.id.as_str(); "serving callers");
    actix_rt::spawn(router_sync::follow_views(Arc::clone(&shared)));
    actix_rt::spawn(detect_pauses(Arc::clone(&shared)));
    actix_rt::spawn(tick_router(Arc::clone(&shared)));
    actix_rt::spawn(send_metrics(Arc::clone(&shared)));
    tokio::select! {
        result = &mut front.server => return result.change_context(Failure::Server),
        () = stop_requested(&mut signals) => {}
    }
    actix_rt::spawn(front.server);
    shut_down(&shared, front.handle).await
}

fn build_shared(settings: Settings) -> Result<Shared, Report<Failure>> {
    let clock = clock::System::new();
    let control = start_control(&settings, clock)?;
    let mut random = rand::rng();
    let secret = match &settings.resume.secret {
        Some(secret) => secret.expose().to_vec(),
        None => random.random::<[u8; 32]>().to_vec(),
    };
    let router = Router::new(
        router::Settings::default(),
        &settings.instance.id,
        random.random(),
    );
    Ok(Shared {
        policy: Overrides::try_from(&settings.policy).change_context(Failure::Policy)?,
        control,
        applied: AtomicU64::new(0),
        resumed: ResumedStreams::default(),
        dispatcher: Dispatcher::new(router, clock),
        id_generator: request_id::IdGenerator::new(random.random()),
        event_ids: event_id::Mint::new(&secret, settings.resume.time),
        held_answers: Mutex::new(HeldAnswers::new(settings.hold.bytes)),
        memory: MemoryBudget::new(settings.limits.memory),
        token_estimator: TokenEstimator::default(),
        metrics: Metrics::new(),
        burn: Mutex::default(),
        lifecycle: Lifecycle::new(),
        pause_detector: PauseDetector::new(clock.now()),
        clock,
        settings,
    })
}

fn start_control(settings: &Settings, clock: clock::System) -> Result<Handle, Report<Failure>> {
    let options = Options::from_settings(settings, incarnation()).map_err(|findings| {
        let findings = findings.iter().map(|finding| format!("{finding:?}"));
        Report::new(Failure::Control).attach(findings.collect::<Vec<_>>().join("\n"))
    })?;
    control::start(options, clock).change_context(Failure::Control)
}

/// Shuts down in order: reports not ready, waits for the balancer to notice, refuses new work and
/// finishes the work in progress. The balancer only polls `/readyz`; without the wait, the requests
/// that it still sends would be refused.
async fn shut_down(
    shared: &Shared,
    handle: actix_server::ServerHandle,
) -> Result<(), Report<Failure>> {
    let times = &shared.settings.shutdown;
    log::info!(balancer:? = times.balancer, limit:? = times.limit; "stopping");
    shared.lifecycle.advance(Phase::Leaving);
    sleep(times.balancer).await;
    shared.lifecycle.advance(Phase::Finishing);
    shared.control.leave();
    let finish_time = times.limit.saturating_sub(times.balancer);
    let until = shared.clock.now() + finish_time;
    let finished = timeout(finish_time, async {
        handle.stop(true).await;
        shared.lifecycle.wait_for_tasks().await;
    })
    .await;
    shared.lifecycle.advance(Phase::Abandoning);
    let handover_time = until
        .saturating_sub(shared.clock.now())
        .max(MIN_HANDOVER_TIME);
    shared.control.stop(handover_time).await;
    log::info!(in_time = finished.is_ok(), open = shared.metrics.get(Metric::Open); "stopped");
    finished.change_context(Failure::Overdue)
}

async fn detect_pauses(shared: Arc<Shared>) {
    let mut interval = interval(TICK_INTERVAL);
    loop {
        interval.tick().await;
        if shared.pause_detector.tick(shared.clock.now()) {
            shared.metrics.add(Metric::Pauses, 1);
            log::warn!("the process was paused");
        }
    }
}

async fn tick_router(shared: Arc<Shared>) {
    let mut interval = interval(router::TICK);
    loop {
        interval.tick().await;
        shared.dispatcher.tick();
    }
}

async fn send_metrics(shared: Arc<Shared>) {
    let statsd = &shared.settings.statsd;
    let client = metrics::client(&statsd.prefix, statsd.address);
    let mut interval = interval(metrics::SEND_INTERVAL);
    loop {
        interval.tick().await;
        if let Ok(mut held) = shared.held_answers.lock() {
            held.expire(shared.clock.now());
            shared.metrics.set(Metric::HeldBytes, held.size() as u64);
        }
        shared.metrics.send(&client);
    }
}

/// Waits for a signal that requests a shutdown. A request to reload the settings is only logged: by
/// default SIGHUP would end the process, and with it the calls of its callers.
async fn stop_requested(signals: &mut Signals) {
    while signals.next().await == Request::Reload {
        log::warn!("settings are read at the start only; start the process again to change them");
    }
}

/// Milliseconds since the Unix epoch, which distinguish two starts of an instance.
fn incarnation() -> u64 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
