//! The decisions of `routing` behind one short lock, as the data plane's threads use them: admit,
//! wait, send, tell how it went.
//!
//! The lock is held for one call of the router and never across an await. Results for waiting
//! requests are delivered after it is released, because a receiver that is gone gives its attempt
//! back through the same lock.

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

/// When to come back if a place in the queue was lost.
const AFTER_LOSS: Duration = Duration::from_secs(1);

type Placed = Result<Attempt, Refusal>;

#[derive(Debug)]
struct Inner {
    router: Router,
    waiting: HashMap<Ticket, oneshot::Sender<Placed>>,
}

/// The router with the requests that wait for it. Clones share both.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    inner: Arc<Mutex<Inner>>,
    clock: System,
}

/// What becomes of a request whose attempt failed.
#[derive(Debug)]
pub enum Retry {
    /// It goes to another upstream.
    Again(Attempt),
    /// It was not refused for load: the failure itself is the answer.
    Final,
    /// No upstream can take it any more.
    Refused(Refusal),
}

impl Dispatcher {
    /// A dispatch over a router.
    pub fn new(router: Router, clock: System) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                router,
                waiting: HashMap::new(),
            })),
            clock,
        }
    }

    /// The moment on the clock that the router's deadlines are on.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Runs a short piece of work on the router and delivers what it frees.
    pub fn with_router<R>(&self, work: impl FnOnce(Moment, &mut Router) -> R) -> R {
        let now = self.now();
        let mut inner = self.lock();
        let result = work(now, &mut inner.router);
        let outputs = inner.router.tick(now);
        self.deliver(inner, outputs);
        result
    }

    /// Admits a request and waits until it may be sent.
    ///
    /// # Errors
    ///
    /// It is refused; it was not run.
    pub async fn admit(&self, request: Request) -> Placed {
        let receiver = {
            let now = self.now();
            let mut inner = self.lock();
            match inner.router.admit(now, request) {
                Decision::Send(sending) => return Ok(self.attempt(sending)),
                Decision::Refuse(refusal) => return Err(refusal),
                Decision::Wait(ticket) => self.wait(&mut inner, ticket),
            }
        };
        receiver.placed().await
    }

    /// Lets time pass; to be called every [`routing::router::TICK`].
    pub fn tick(&self) {
        let now = self.now();
        let mut inner = self.lock();
        let outputs = inner.router.tick(now);
        self.deliver(inner, outputs);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A panic under the lock would be a defect of the router; its counters are still whole
        // enough to serve on, and refusing all requests from then on would be worse.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn attempt(&self, sending: Assignment) -> Attempt {
        Attempt {
            dispatch: self.clone(),
            sending,
            ended: false,
        }
    }

    fn wait(&self, inner: &mut Inner, ticket: Ticket) -> Waiting {
        let (sender, receiver) = oneshot::channel();
        inner.waiting.insert(ticket, sender);
        Waiting {
            dispatch: self.clone(),
            ticket,
            receiver,
            placed: false,
        }
    }

    fn deliver(&self, mut inner: MutexGuard<'_, Inner>, outputs: Outputs) {
        if outputs.is_empty() {
            return;
        }
        let results: Vec<(Option<oneshot::Sender<Placed>>, Placed)> = outputs
            .into_iter()
            .map(|output| match output {
                Output::Send {
                    ticket,
                    assignment: sending,
                } => (inner.waiting.remove(&ticket), Ok(self.attempt(sending))),
                Output::Refuse { ticket, refusal } => (inner.waiting.remove(&ticket), Err(refusal)),
            })
            .collect();
        drop(inner);
        for (sender, placed) in results {
            if let Some(sender) = sender {
                // A failed delivery drops the attempt, which frees its place in the router.
                let _ = sender.send(placed);
            }
        }
    }
}

/// A place in the queue; given up when dropped, because its caller is gone.
#[derive(Debug)]
struct Waiting {
    dispatch: Dispatcher,
    ticket: Ticket,
    receiver: oneshot::Receiver<Placed>,
    placed: bool,
}

impl Waiting {
    async fn placed(mut self) -> Placed {
        let result = (&mut self.receiver).await;
        self.placed = true;
        // The sender lives in the router's lock, which this waits on; it is never lost.
        result.unwrap_or(Err(Refusal {
            reason: Reason::NoPool,
            retry_after: AFTER_LOSS,
        }))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if !self.placed {
            let mut inner = self.dispatch.lock();
            inner.waiting.remove(&self.ticket);
            inner.router.cancel(self.ticket);
        }
    }
}

/// An attempt in hand. Dropping it tells the router that it ended.
#[derive(Debug)]
pub struct Attempt {
    dispatch: Dispatcher,
    sending: Assignment,
    ended: bool,
}

impl Attempt {
    /// Where it goes.
    pub fn assignment(&self) -> &Assignment {
        &self.sending
    }

    /// The prefill is done.
    pub fn prefill_done(&self) {
        self.progress(Progress::Prefilled);
    }

    /// So many tokens came.
    pub fn tokens_received(&self, count: u32) {
        self.progress(Progress::Tokens(count));
    }

    /// The KV transfer failed; the answering engine prefills as well.
    pub fn transfer_failed(&self) {
        let now = self.dispatch.now();
        let attempt = self.sending.attempt;
        self.dispatch.lock().router.transfer_failed(now, attempt);
    }

    /// The attempt failed before the caller got any of the answer.
    pub async fn fail(mut self, ran: Execution) -> Retry {
        self.ended = true;
        let waiting = {
            let now = self.dispatch.now();
            let mut inner = self.dispatch.lock();
            match inner.router.failed(now, self.sending.attempt, ran) {
                RetryDecision::Final => return Retry::Final,
                RetryDecision::Wait(ticket) => self.dispatch.wait(&mut inner, ticket),
            }
        };
        self.dispatch.tick();
        match waiting.placed().await {
            Ok(attempt) => Retry::Again(attempt),
            Err(refusal) => Retry::Refused(refusal),
        }
    }

    fn progress(&self, progress: Progress) {
        let now = self.dispatch.now();
        let attempt = self.sending.attempt;
        self.dispatch.lock().router.progress(now, attempt, progress);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let now = self.dispatch.now();
        let mut inner = self.dispatch.lock();
        let outputs = inner.router.finished(now, self.sending.attempt);
        self.dispatch.deliver(inner, outputs);
    }
}
