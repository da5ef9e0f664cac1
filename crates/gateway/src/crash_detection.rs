//! Tells a crashed engine from other causes of a broken response.
//!
//! A broken connection says little: after a reset, a lost response or a truncated body the engine
//! still runs, and a silent link may hide one that works. An engine that has ended refuses
//! connections, since nothing listens at its address until it is back seconds later. So the engine
//! of a broken call is probed with a connection, and only a refusal, or another engine that answers
//! there, counts as a crash. An engine that announced its leaving has not crashed, whatever becomes
//! of its last calls.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use clock::Moment;
use http1::{Client, Failure, TcpTimeouts};
use serving::EngineId;
use serving::engine::Record;
use serving::fingerprint::Fingerprint;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use crate::attempt::Request;
use crate::engine_call::Progress;
use crate::instance::Instance;
use crate::suspects::{self, Subject};
use crate::{engine_links, placement};

/// Time for a connection to open or to be refused.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
const PATIENCE: TcpTimeouts = TcpTimeouts::within(CONNECT_TIMEOUT);
/// Time within which an ending process closes all its sockets, on a busy machine too. Its calls may
/// break before its listener closes, so a connection proves that the engine runs only after it has
/// lasted this long.
const SOCKET_CLOSE_TIME: Duration = Duration::from_millis(350);
/// Pause between two checks whether such a connection is still open.
const CONNECTION_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Pause between two probes of an engine that does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Probes of an engine that does not answer; on a silent link each takes the whole connect
/// time-out. Engines restart within seconds, after which a probe says nothing of the former
/// process.
const MAX_PROBES: usize = 8;
/// An engine that a call crashes ends within this time of the call's start there. A caller that
/// leaves sooner does not see it.
const CRASH_WINDOW: Duration = Duration::from_millis(500);
/// Longest wait for the verdict whether an engine has crashed, before a suspect is sent again or a stream counts
/// as complete.
const MAX_VERDICT_WAIT: Duration = Duration::from_millis(400);

/// What one probe shows of an engine.
enum ProbeResult {
    Ended,
    Alive,
    Silent,
    /// The path to it is broken.
    Unknown,
}

/// Ongoing crash detection.
#[derive(Debug, Default)]
pub(crate) struct CrashDetection {
    /// Engines being probed; each channel turns true once its engine is known to have ended.
    probes: RefCell<BTreeMap<EngineId, watch::Receiver<bool>>>,
    /// Calls that broke off at engines whose verdict is pending, one entry per break.
    pending: RefCell<Vec<Fingerprint>>,
}

impl CrashDetection {
    fn remove_pending(&self, call: Fingerprint) {
        let mut pending = self.pending.borrow_mut();
        if let Some(found) = pending.iter().position(|other| *other == call) {
            pending.swap_remove(found);
        }
    }
}

/// Handles an engine's response that broke off. If the verdict decides what is done with the call
/// next, returns only once it is known.
pub(crate) async fn on_broken_response(
    instance: &Rc<Instance>,
    request: &Request,
    engine: &Record,
    progress: Progress,
) {
    if is_leaving(instance, &engine.id) {
        return;
    }
    let at = suspects::now(instance);
    let call = request.fingerprint();
    let must_wait = instance.suspects.may_be_held_next(request)
        || instance.crash_detection.pending.borrow().contains(&call);
    instance.crash_detection.pending.borrow_mut().push(call);
    let mut verdict = probe(instance, engine);
    let recording = {
        let (instance, engine, subject) =
            (instance.clone(), engine.clone(), request.subject(progress));
        let verdict = verdict.clone();
        async move {
            record_crash(&instance, &subject, &engine, at, verdict).await;
            instance.crash_detection.remove_pending(call);
        }
    };
    let recording = actix_rt::spawn(recording);
    if must_wait {
        let recorded = async {
            drop(verdict.wait_for(|ended| *ended).await);
            drop(recording.await);
        };
        if timeout(MAX_VERDICT_WAIT, recorded).await.is_err() {
            log::debug!(engine = &*engine.id; "it is not known yet whether an engine has ended");
        }
    }
}

/// Whether an engine has crashed whose connection closed in an orderly way, as a kernel closes those of a
/// process that has ended. Waits for at most `limit` until that is known.
pub(crate) async fn has_crashed(instance: &Rc<Instance>, engine: &Record, limit: Duration) -> bool {
    if is_leaving(instance, &engine.id) {
        return false;
    }
    let mut verdict = probe(instance, engine);
    let ended = verdict.wait_for(|ended| *ended);
    let ended = timeout(limit.min(MAX_VERDICT_WAIT), ended).await;
    ended.is_ok_and(|ended| ended.is_ok())
}

/// Handles a suspect that was abandoned while an engine had it. Its caller no longer sees the
/// engine end; without this, a call whose caller never waits could crash engines undetected.
pub(crate) fn on_abandoned(
    instance: &Rc<Instance>,
    request: &Request,
    engine: &EngineId,
    progress: Progress,
) {
    if !instance.suspects.has_crashes(request) || is_leaving(instance, engine) {
        return;
    }
    let Some(engine) = placement::record(instance, engine) else {
        return;
    };
    let (instance, subject) = (instance.clone(), request.subject(progress));
    actix_rt::spawn(async move {
        let at = suspects::now(&instance);
        sleep(CRASH_WINDOW).await;
        if !is_leaving(&instance, &engine.id) {
            let verdict = probe(&instance, &engine);
            record_crash(&instance, &subject, &engine, at, verdict).await;
        }
    });
}

/// Records a crash under a call if the probe finds that the engine has ended.
async fn record_crash(
    instance: &Instance,
    subject: &Subject,
    engine: &Record,
    at: Moment,
    mut verdict: watch::Receiver<bool>,
) {
    // The probe drops its sender without a value if the verdict stays open.
    if verdict.wait_for(|ended| *ended).await.is_ok() {
        instance.suspects.on_crash(subject, engine, at);
        instance.frame_due.notify_one();
    }
}

/// Whether an engine is leaving or has left, in which case its end says nothing of its calls.
fn is_leaving(instance: &Instance, engine: &EngineId) -> bool {
    let fleet = instance.fleet.borrow();
    let known = fleet.get(engine);
    known.is_none_or(|known| known.record_gone || known.leaving)
}

/// Returns the verdict on an engine once it is known. Calls that break at once share one probe.
fn probe(instance: &Rc<Instance>, engine: &Record) -> watch::Receiver<bool> {
    let mut probes = instance.crash_detection.probes.borrow_mut();
    if let Some(verdict) = probes.get(&engine.id) {
        return verdict.clone();
    }
    let (sender, verdict) = watch::channel(false);
    probes.insert(engine.id.clone(), verdict.clone());
    let (instance, engine) = (instance.clone(), engine.clone());
    actix_rt::spawn(async move {
        if has_ended(&instance, &engine).await {
            sender.send_replace(true);
        }
        instance
            .crash_detection
            .probes
            .borrow_mut()
            .remove(&engine.id);
    });
    verdict
}

async fn has_ended(instance: &Instance, engine: &Record) -> bool {
    for _ in 0..MAX_PROBES {
        match probe_once(instance, engine).await {
            ProbeResult::Ended => return true,
            ProbeResult::Alive => {
                log::info!(engine = &*engine.id; "an engine whose answer broke off lives");
                return false;
            }
            ProbeResult::Unknown => return false,
            ProbeResult::Silent => sleep(RETRY_INTERVAL).await,
        }
    }
    false
}

async fn probe_once(instance: &Instance, engine: &Record) -> ProbeResult {
    let is_replaced = {
        let fleet = instance.fleet.borrow();
        let known = fleet.get(&engine.id);
        known.is_some_and(|known| known.health.has_ended())
    };
    if is_replaced {
        return ProbeResult::Ended;
    }
    match instance.connect(engine.address, &PATIENCE).await {
        Ok(mut client) => {
            if !stays_open(&mut client).await {
                return ProbeResult::Silent;
            }
            instance.pool.put(&engine.id, client, None, instance.now());
            ProbeResult::Alive
        }
        Err(Failure::NotSent(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            // A broken path of this instance's own may refuse connections too.
            let asked = instance.now();
            if engine_links::is_reached_by_others(instance, &engine.into()).await {
                log::info!(engine = &*engine.id; "an engine that refuses connections is reached by another instance");
                return ProbeResult::Unknown;
            }
            if instance.own_load.explains_silence(asked) {
                // The others may have answered too late for this instance.
                return ProbeResult::Silent;
            }
            ProbeResult::Ended
        }
        Err(_) => ProbeResult::Silent,
    }
}

/// Whether a connection outlasts the end of a process that was ending when it opened.
async fn stays_open(client: &mut Client) -> bool {
    let until = Instant::now() + SOCKET_CLOSE_TIME;
    while client.is_reusable() {
        if Instant::now() >= until {
            return true;
        }
        sleep(CONNECTION_POLL_INTERVAL).await;
    }
    false
}
