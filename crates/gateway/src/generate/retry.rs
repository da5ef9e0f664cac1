//! What becomes of a call after an attempt.

use serving::EngineId;
use serving::place::Refusal;

use super::{REFUSED_RETRY_AFTER, Run, Stream};
use crate::attempt::EngineResponse;
use crate::conclusion;
use crate::placement;
use crate::plain::{End, NO_PATH_RETRY_AFTER, WholeAnswer, take_retry};

/// Next step after an attempt.
pub(super) enum NextStep {
    Retry,
    Done(Stream),
}

impl Run<'_> {
    /// Handles an engine's error response: retries elsewhere if the call allows it, else passes it
    /// to the caller.
    pub(super) async fn after_failure(
        &mut self,
        mut response: EngineResponse,
        engine: &EngineId,
    ) -> NextStep {
        let body = self.request.read_answer(&mut response.client).await;
        let reply = response.reply;
        let Ok(body) = body else {
            return self.after_loss("The engine's failure is broken.");
        };
        conclusion::return_to_pool(self.instance, engine, response.client, &reply);
        self.runs += 1;
        if self.may_retry() {
            return NextStep::Retry;
        }
        if self.relay.has_begun() {
            return NextStep::Done(Stream::Broken("the engine failed"));
        }
        let end = if reply.promises_not_run() {
            End::Unknown("The engine failed.")
        } else {
            let head = response.head;
            End::Answer(Box::new(WholeAnswer { head, reply }), body)
        };
        NextStep::Done(Stream::Unserved(end))
    }

    pub(super) fn after_rejection(&mut self, arrived: bool) -> NextStep {
        if self.failed_sends.count(arrived) && (!arrived || take_retry(self.instance, self.request))
        {
            return NextStep::Retry;
        }
        let after = placement::retry_after(self.instance, self.request, REFUSED_RETRY_AFTER);
        NextStep::Done(self.refusal(after, Refusal::TooMuchWork, None))
    }

    /// Another engine would not be reached either.
    pub(super) fn after_no_path(&self) -> NextStep {
        NextStep::Done(self.refusal(NO_PATH_RETRY_AFTER, Refusal::Unreachable, None))
    }

    pub(super) fn after_loss(&mut self, why: &'static str) -> NextStep {
        self.runs += 1;
        if self.may_retry() {
            return NextStep::Retry;
        }
        if self.relay.has_begun() {
            return NextStep::Done(Stream::Broken(why));
        }
        NextStep::Done(Stream::Unserved(End::Unknown(why)))
    }

    pub(super) fn may_retry(&self) -> bool {
        let route = &self.request.route;
        route.kind.is_idempotent()
            && self.relay.is_resumable()
            && self.runs < route.max_attempts
            && take_retry(self.instance, self.request)
    }
}
