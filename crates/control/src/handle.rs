//! The handle of a running control, for all threads of the daemon.

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

/// Observations that wait for the control's next look. Beyond, a fleet is either very busy, and a
/// few lost answers change nothing, or the control stands still.
const MAX_QUEUED_OBSERVATIONS: usize = 4096;

/// Time over which demand is smoothed; the planner of roles reckons with about as much delay.
const DEMAND_SMOOTHING: Duration = Duration::from_secs(3);

/// What handles and the control share.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    hooks: RwLock<Arc<Hooks>>,
    observations: Mutex<Vec<(Arc<str>, Observation)>>,
    last_call_id: AtomicU64,
    demand: Mutex<BTreeMap<Arc<str>, DemandRates>>,
}

/// Tokens that callers ask of a pool.
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
        let asked = held.entry(Arc::clone(pool)).or_insert_with(|| DemandRates {
            prefill: Rate::new(now, DEMAND_SMOOTHING),
            decode: Rate::new(now, DEMAND_SMOOTHING),
        });
        asked.prefill.record(now, prefill);
        asked.decode.record(now, decode);
    }

    /// What callers ask here of each pool.
    pub(crate) fn pool_demand(&self, now: Moment) -> Vec<PoolDemand> {
        let held = self.demand.lock().unwrap_or_else(PoisonError::into_inner);
        let demand = held.iter().map(|(pool, asked)| PoolDemand {
            pool: pool.to_string(),
            prefill: asked.prefill.per_second(now) as f32,
            decode: asked.decode.per_second(now) as f32,
        });
        demand.collect()
    }
}

/// A call whose key is to be claimed; see [`claims::Call`].
#[derive(Clone, Debug)]
pub struct Claim {
    /// Digest of its key.
    pub key: Digest,
    /// Digest of what it asks for.
    pub fingerprint: Digest,
    /// Request id.
    pub request: String,
    /// The caller's `Idempotency-Attempt`.
    pub attempt: Option<u32>,
    /// What its entry says on outages.
    pub policy: OutagePolicy,
    /// When it is no longer worth running.
    pub deadline: Moment,
}

/// What was decided for a call.
#[derive(Clone, Debug)]
pub struct Claimed {
    /// Its name for [`Handle::conclude`].
    pub call_id: CallId,
    /// What to do with it.
    pub decision: Decision,
}

/// Tells the control that a caller has gone before its call was decided.
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

/// A running control. Clones are handles of the same one; it stops by [`Handle::stop`].
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

    /// Follows the views.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Registers what the data plane tells when asked, in place of what was registered before.
    pub fn set_hooks(&self, hooks: Hooks) {
        let mut held = self
            .shared
            .hooks
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *held = Arc::new(hooks);
    }

    /// Claims the key of a call and waits for the decision. If the future is dropped the call
    /// counts as one whose caller has gone; it does not run then.
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
        // The control has stopped: the call was never told to run.
        let decision = decision.unwrap_or(Decision::Refused { executed });
        Claimed { call_id, decision }
    }

    /// Tells how a call ended that was to run.
    pub fn conclude(&self, call_id: CallId, end: CallEnd) {
        self.run(move |core| core.conclude(call_id, end));
    }

    /// Tells how an attempt at an upstream ended. It costs a short lock and no wake-up of the
    /// control, which looks at the observations a few times a second.
    pub fn observe(&self, upstream: &Arc<str>, observation: Observation) {
        let shared = &self.shared.observations;
        let mut held = shared.lock().unwrap_or_else(PoisonError::into_inner);
        if held.len() < MAX_QUEUED_OBSERVATIONS {
            held.push((Arc::clone(upstream), observation));
        }
    }

    /// Counts a request that a caller asks of a pool of engines, whether it is admitted or not:
    /// prompt tokens that are not expected in a cache, and expected tokens of the answer. Roles are
    /// planned by it.
    pub fn record_demand(&self, now: Moment, pool: &Arc<str>, prefill: u32, decode: u32) {
        let shared = &self.shared;
        shared.record_demand(now, pool, f64::from(prefill), f64::from(decode));
    }

    /// Makes an edit and waits until it is judged.
    ///
    /// # Errors
    ///
    /// [`EditError`], which tells what is known about it.
    pub async fn submit_edit(&self, document: &Document) -> Result<Revision, EditError> {
        let (reply, answer) = oneshot::channel();
        let edit = wire::record::Edit::from(document);
        self.run(move |core| core.edit(edit, reply));
        answer.await.unwrap_or(Err(EditError::Unknown))
    }

    /// Says what would be wrong with changes that were made now.
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

    /// The catalogue in force, entity by entity.
    pub async fn entities(&self) -> Entities {
        self.ask(|core| core.entities()).await.unwrap_or_default()
    }

    /// The state of this entry's control; `None` once it has stopped.
    pub async fn status(&self) -> Option<Status> {
        self.ask(|core| core.status()).await
    }

    /// Unresolved and recent orders; `None` once the control has stopped.
    pub async fn orders(&self) -> Option<Orders> {
        self.ask(|core| core.orders()).await
    }

    /// Hands a planned change to the holder of the pool. That it was taken does not say that it is
    /// done: [`Handle::orders`] tells.
    ///
    /// # Errors
    ///
    /// [`OrderError`].
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

    /// Asks a peer for the held answer of a key.
    pub async fn held_answer(&self, instance: &str, key: Key) -> Option<Answer> {
        let (reply, answer) = oneshot::channel();
        let instance = instance.to_owned();
        self.run(move |core| core.query_held_answer(&instance, key, reply));
        answer.await.ok().flatten()
    }

    /// The burn counters of all entries that can be asked, this one among them.
    pub async fn merged_burn(&self) -> Burn {
        let (reply, answer) = oneshot::channel();
        self.run(move |core| core.query_burn(reply));
        answer.await.unwrap_or_default()
    }

    /// Tells the other entries that this one takes no new work, and hands its scopes over.
    pub fn leave(&self) {
        self.run(Core::leave);
    }

    /// Stops after the data plane has ended: hands over what is left within `limit`.
    pub async fn stop(&self, limit: Duration) {
        let (reply, stopped) = oneshot::channel();
        self.run(move |core| core.stop(limit, reply));
        // It is the end either way.
        let _stopped = stopped.await;
    }

    /// Ends at once and hands nothing over, as a crash would. For tests.
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
