//! Handle of a running control, usable from all threads of the daemon.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use authority::order::Order;
use catalogue::{DecidedEdit, Document, Findings, Revision};
use claims::{Call, CallEnd, CallId, Decision, Digest, OutagePolicy};
use clock::Moment;
use fleet::upstream::Observation;
use routing::rate::Rate;
use tokio::sync::{oneshot, watch};
use wire::peer::{Answer, PoolDemand};

use crate::core::Core;
use crate::edits::EditError;
use crate::hooks::{Hooks, Key};
use crate::message::{Message, Sender};
use crate::order::{ChangeRequest, OrderError};
use crate::status::{Burn, Entities, Orders, Status};
use crate::view::View;

/// Maximum number of observations queued for the next tick; more are dropped. At that rate the
/// fleet is very busy and a few lost ones do not matter, or the control is blocked.
const MAX_QUEUED_OBSERVATIONS: usize = 4096;

/// Time constant for smoothing demand; the role planner assumes a delay of about this.
const DEMAND_SMOOTHING: Duration = Duration::from_secs(3);

/// State shared by the handles and the control.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    hooks: RwLock<Arc<Hooks>>,
    observations: Mutex<Vec<(Arc<str>, Observation)>>,
    last_call_id: AtomicU64,
    demand: Mutex<BTreeMap<Arc<str>, DemandRates>>,
}

/// Tokens a second requested from a pool.
#[derive(Clone, Copy, Debug)]
struct DemandRates {
    prefill: Rate,
    decode: Rate,
}

impl Shared {
    pub(crate) fn hooks(&self) -> Arc<Hooks> {
        Arc::clone(&self.hooks.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn take_observations(&self) -> Vec<(Arc<str>, Observation)> {
        let mut held = self
            .observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *held)
    }

    fn record_demand(&self, now: Moment, pool: &Arc<str>, prefill: f64, decode: f64) {
        let mut held = self.demand.lock().unwrap_or_else(PoisonError::into_inner);
        let rates = held.entry(Arc::clone(pool)).or_insert_with(|| DemandRates {
            prefill: Rate::new(now, DEMAND_SMOOTHING),
            decode: Rate::new(now, DEMAND_SMOOTHING),
        });
        rates.prefill.record(now, prefill);
        rates.decode.record(now, decode);
    }

    /// Demand at this entry on each pool.
    pub(crate) fn pool_demand(&self, now: Moment) -> Vec<PoolDemand> {
        let held = self.demand.lock().unwrap_or_else(PoisonError::into_inner);
        let demand = held.iter().map(|(pool, rates)| PoolDemand {
            pool: pool.to_string(),
            prefill: rates.prefill.per_second(now) as f32,
            decode: rates.decode.per_second(now) as f32,
        });
        demand.collect()
    }
}

/// A call whose key is claimed; see [`claims::Call`].
#[derive(Clone, Debug)]
pub struct Claim {
    /// Digest of the idempotency key.
    pub key: Digest,
    /// Digest of the request.
    pub fingerprint: Digest,
    /// Request id.
    pub request: String,
    /// The caller's `Idempotency-Attempt`.
    pub attempt: Option<u32>,
    /// What to do during an outage of the log.
    pub policy: OutagePolicy,
    /// When the call must no longer be run.
    pub deadline: Moment,
}

/// The decision on a call.
#[derive(Clone, Debug)]
pub struct Claimed {
    /// Identifies the call for [`Handle::conclude`].
    pub call_id: CallId,
    /// What to do with the call.
    pub decision: Decision,
}

/// When dropped before the decision, tells the control that the caller has gone.
struct CallerGuard {
    sender: Sender,
    call_id: CallId,
    decided: bool,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let call_id = self.call_id;
        if !self.decided {
            let job = Box::new(move |core: &mut Core| core.caller_gone(call_id));
            crate::message::send(&self.sender, Message::Run(job));
        }
    }
}

/// Handle of a running control, which is ended by [`Handle::stop`]. Clones refer to the same
/// control.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(crate) sender: Sender,
    pub(crate) shared: Arc<Shared>,
    pub(crate) view: watch::Receiver<Arc<View>>,
}

impl Handle {
    /// The newest view.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Watches the views.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Replaces the hooks of the data plane.
    pub fn set_hooks(&self, hooks: Hooks) {
        let mut held = self
            .shared
            .hooks
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *held = Arc::new(hooks);
    }

    /// Claims the key of a call and waits for the decision. If the future is dropped, the caller
    /// counts as gone and the call is not run.
    pub async fn claim(&self, claim: Claim) -> Claimed {
        let call_id = self.shared.last_call_id.fetch_add(1, Ordering::Relaxed) + 1;
        let call = Call {
            id: call_id,
            key: claim.key,
            fingerprint: claim.fingerprint,
            request: claim.request,
            attempt: claim.attempt,
            policy: claim.policy,
            deadline: claim.deadline,
        };
        let executed = call.executed();
        let (reply, decision) = oneshot::channel();
        self.run(move |core| core.claim(call, reply));
        let mut guard = CallerGuard {
            sender: self.sender.clone(),
            call_id,
            decided: false,
        };
        let decision = decision.await;
        guard.decided = true;
        // The control has stopped before it decided to run the call.
        let decision = decision.unwrap_or(Decision::Refused { executed });
        Claimed { call_id, decision }
    }

    /// Reports how a call that was run has ended.
    pub fn conclude(&self, call_id: CallId, end: CallEnd) {
        self.run(move |core| core.conclude(call_id, end));
    }

    /// Reports the outcome of an attempt at an upstream. It takes a short lock and does not wake
    /// the control, which reads the observations at its ticks.
    pub fn observe(&self, upstream: &Arc<str>, observation: Observation) {
        let shared = &self.shared.observations;
        let mut held = shared.lock().unwrap_or_else(PoisonError::into_inner);
        if held.len() < MAX_QUEUED_OBSERVATIONS {
            held.push((Arc::clone(upstream), observation));
        }
    }

    /// Counts a request to a pool of engines, admitted or not, for the planning of roles: prompt
    /// tokens that are not expected in a cache, and expected tokens of the answer.
    pub fn record_demand(&self, now: Moment, pool: &Arc<str>, prefill: u32, decode: u32) {
        let shared = &self.shared;
        shared.record_demand(now, pool, f64::from(prefill), f64::from(decode));
    }

    /// Submits an edit and waits for its verdict.
    ///
    /// # Errors
    ///
    /// [`EditError`] if the edit is not known to be in force.
    pub async fn submit_edit(&self, document: &Document) -> Result<Revision, EditError> {
        let (reply, answer) = oneshot::channel();
        let edit = wire::record::Edit::from(document);
        self.run(move |core| core.edit(edit, reply));
        answer.await.unwrap_or(Err(EditError::Unknown))
    }

    /// Checks changes against the current catalogue without making them.
    pub async fn check(&self, document: &Document) -> Findings {
        let changes = document.changes();
        let checked = self.ask(move |core| core.check(&changes)).await;
        checked.unwrap_or_else(|| {
            let mut findings = Findings::new();
            findings.add_edit_finding("", "the control has stopped");
            findings
        })
    }

    /// Decided edits, newest first.
    pub async fn history(&self) -> Vec<DecidedEdit> {
        self.ask(|core| core.history()).await.unwrap_or_default()
    }

    /// The entities of the catalogue in force.
    pub async fn entities(&self) -> Entities {
        self.ask(|core| core.entities()).await.unwrap_or_default()
    }

    /// Status of the control; `None` once it has stopped.
    pub async fn status(&self) -> Option<Status> {
        self.ask(|core| core.status()).await
    }

    /// Unresolved and recent orders; `None` once the control has stopped.
    pub async fn orders(&self) -> Option<Orders> {
        self.ask(|core| core.orders()).await
    }

    /// Passes a planned change to the holder of the pool. Success means that it was accepted;
    /// [`Handle::orders`] shows its progress.
    ///
    /// # Errors
    ///
    /// [`OrderError`] if the change was not accepted.
    pub async fn submit_order(
        &self,
        request: &ChangeRequest,
        operator: &str,
    ) -> Result<(), OrderError> {
        let (reply, answer) = oneshot::channel();
        let (upstream, operator) = (request.upstream.clone(), operator.to_owned());
        let action = Order::from(&request.action);
        self.run(move |core| core.request_change(upstream, &action, operator, reply));
        answer.await.unwrap_or(Err(OrderError::Stopped))
    }

    /// Queries a peer for the held answer of a key.
    pub async fn held_answer(&self, instance: &str, key: Key) -> Option<Answer> {
        let (reply, answer) = oneshot::channel();
        let instance = instance.to_owned();
        self.run(move |core| core.query_held_answer(&instance, key, reply));
        answer.await.ok().flatten()
    }

    /// The burn counters of all reachable entries, including this one.
    pub async fn merged_burn(&self) -> Burn {
        let (reply, answer) = oneshot::channel();
        self.run(move |core| core.query_burn(reply));
        answer.await.unwrap_or_default()
    }

    /// Announces to the other entries that this one takes no new work, and hands over its scopes.
    pub fn leave(&self) {
        self.run(Core::leave);
    }

    /// Stops the control after the data plane has ended, completing the hand-over within `limit`.
    pub async fn stop(&self, limit: Duration) {
        let (reply, stopped) = oneshot::channel();
        self.run(move |core| core.stop(limit, reply));
        // If the control has already ended, there is nothing to wait for.
        let _stopped = stopped.await;
    }

    /// Ends the control without a hand-over, like a crash. For tests.
    pub fn abort(&self) {
        self.run(Core::abort);
    }

    fn run(&self, job: impl FnOnce(&mut Core) + Send + 'static) {
        crate::message::send(&self.sender, Message::Run(Box::new(job)));
    }

    async fn ask<T: Send + 'static>(
        &self,
        job: impl FnOnce(&mut Core) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.run(move |core| {
            let _gone = reply.send(job(core));
        });
        answer.await.ok()
    }
}
