//! Shares the router between the threads of the data plane: admits and queues requests and reports
//! the progress and results of attempts.
//!
//! The lock is held for one call of the router and never across an await. Results for queued
//! requests are delivered after it is released: if the receiver is gone, dropping the attempt takes
//! the same lock.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use clock::{Clock as _, Moment, System};
use routing::decision::{
    Assignment, Decision, Execution, Output, Progress, Reason, Refusal, RetryDecision, Ticket,
};
use routing::request::Request;
use routing::router::{Outputs, Router};
use tokio::sync::oneshot;

/// `Retry-After` if the sender of a queued request was lost.
const LOST_TICKET_RETRY_AFTER: Duration = Duration::from_secs(1);

type Admission = Result<Attempt, Refusal>;

#[derive(Debug)]
struct Inner {
    router: Router,
    waiting: HashMap<Ticket, oneshot::Sender<Admission>>,
}

/// The router with its queued requests. Clones share both.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    inner: Arc<Mutex<Inner>>,
    clock: System,
}

/// The decision on a request whose attempt failed.
#[derive(Debug)]
pub enum Retry {
    /// The request is sent again in a new attempt.
    Again(Attempt),
    /// The request is not retried; the failure itself is reported.
    Final,
    /// The retry was refused.
    Refused(Refusal),
}

impl Dispatcher {
    /// Creates a dispatcher for a router.
    pub fn new(router: Router, clock: System) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                router,
                waiting: HashMap::new(),
            })),
            clock,
        }
    }

    /// The current time on the clock that the router's deadlines refer to.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Runs a short operation on the router and delivers the resulting admissions.
    pub fn with_router<R>(&self, work: impl FnOnce(Moment, &mut Router) -> R) -> R {
        let now = self.now();
        let mut inner = self.lock();
        let result = work(now, &mut inner.router);
        let outputs = inner.router.tick(now);
        self.deliver(inner, outputs);
        result
    }

    /// Asks the router for admission and waits until the request may be sent.
    ///
    /// # Errors
    ///
    /// The request is refused and was not run.
    pub async fn admit(&self, request: Request) -> Admission {
        let queued = {
            let now = self.now();
            let mut inner = self.lock();
            match inner.router.admit(now, request) {
                Decision::Send(assignment) => return Ok(self.attempt(assignment)),
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Wait(ticket) => self.enqueue(&mut inner, ticket),
            }
        };
        queued.admission().await
    }

    /// Advances the router's time; to be called every [`routing::router::TICK`].
    pub fn tick(&self) {
        let now = self.now();
        let mut inner = self.lock();
        let outputs = inner.router.tick(now);
        self.deliver(inner, outputs);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Only a bug in the router can poison the lock. Its state is still good enough to continue,
        // and refusing all further requests would be worse.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn attempt(&self, assignment: Assignment) -> Attempt {
        Attempt {
            dispatcher: self.clone(),
            assignment,
            reported: false,
        }
    }

    fn enqueue(&self, inner: &mut Inner, ticket: Ticket) -> QueuedRequest {
        let (sender, receiver) = oneshot::channel();
        inner.waiting.insert(ticket, sender);
        QueuedRequest {
            dispatcher: self.clone(),
            ticket,
            receiver,
            resolved: false,
        }
    }

    fn deliver(&self, mut inner: MutexGuard<'_, Inner>, outputs: Outputs) {
        if outputs.is_empty() {
            return;
        }
        let results: Vec<(Option<oneshot::Sender<Admission>>, Admission)> = outputs
            .into_iter()
            .map(|output| match output {
                Output::Send { ticket, assignment } => {
                    (inner.waiting.remove(&ticket), Ok(self.attempt(assignment)))
                }
                Output::Refuse { ticket, refusal } => (inner.waiting.remove(&ticket), Err(refusal)),
            })
            .collect();
        drop(inner);
        for (sender, admission) in results {
            if let Some(sender) = sender {
                // A failed delivery drops the attempt, which releases its capacity in the router.
                let _ = sender.send(admission);
            }
        }
    }
}

/// A queued request. Dropping it, when its caller is gone, removes it from the queue.
#[derive(Debug)]
struct QueuedRequest {
    dispatcher: Dispatcher,
    ticket: Ticket,
    receiver: oneshot::Receiver<Admission>,
    resolved: bool,
}

impl QueuedRequest {
    async fn admission(mut self) -> Admission {
        let result = (&mut self.receiver).await;
        self.resolved = true;
        // The sender is owned by the dispatcher, which `self` keeps alive, so it is never lost.
        result.unwrap_or(Err(Refusal {
            reason: Reason::NoPool,
            retry_after: LOST_TICKET_RETRY_AFTER,
        }))
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if !self.resolved {
            let mut inner = self.dispatcher.lock();
            inner.waiting.remove(&self.ticket);
            inner.router.cancel(self.ticket);
        }
    }
}

/// An attempt in progress. Dropping it reports its end to the router.
#[derive(Debug)]
pub struct Attempt {
    dispatcher: Dispatcher,
    assignment: Assignment,
    reported: bool,
}

impl Attempt {
    /// The upstreams that the router assigned.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Reports that the prefill is done.
    pub fn prefill_done(&self) {
        self.progress(Progress::Prefilled);
    }

    /// Reports tokens received from the upstream.
    pub fn tokens_received(&self, count: u32) {
        self.progress(Progress::Tokens(count));
    }

    /// Reports that the KV transfer failed and that the decoding engine prefills as well.
    pub fn transfer_failed(&self) {
        let now = self.dispatcher.now();
        let attempt = self.assignment.attempt;
        self.dispatcher.lock().router.transfer_failed(now, attempt);
    }

    /// Reports that the attempt failed before any part of the answer was sent to the caller.
    pub async fn fail(mut self, ran: Execution) -> Retry {
        self.reported = true;
        let queued = {
            let now = self.dispatcher.now();
            let mut inner = self.dispatcher.lock();
            match inner.router.failed(now, self.assignment.attempt, ran) {
                RetryDecision::Final => return Retry::Final,
                RetryDecision::Wait(ticket) => self.dispatcher.enqueue(&mut inner, ticket),
            }
        };
        self.dispatcher.tick();
        match queued.admission().await {
            Ok(attempt) => Retry::Again(attempt),
            Err(refusal) => Retry::Refused(refusal),
        }
    }

    fn progress(&self, progress: Progress) {
        let now = self.dispatcher.now();
        let attempt = self.assignment.attempt;
        self.dispatcher
            .lock()
            .router
            .progress(now, attempt, progress);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.reported {
            return;
        }
        let now = self.dispatcher.now();
        let mut inner = self.dispatcher.lock();
        let outputs = inner.router.finished(now, self.assignment.attempt);
        self.dispatcher.deliver(inner, outputs);
    }
}
