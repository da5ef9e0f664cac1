//! Running attempts: progress, completion, failure, and the observations made from them.

use std::time::Duration;

use clock::Moment;

use super::{Backoff, Outputs, Router, Running};
use crate::{
    decision::{Assignment, Attempt, Execution, Progress, RetryDecision},
    disaggregation::Placement,
    limit::Usage,
    queue::Pending,
};

/// Upper bound of the time after which a prefill without any report is presumed done.
const MAX_PREFILL_S: f64 = 600.0;

impl Router {
    /// Records progress of an attempt.
    pub fn progress(&mut self, now: Moment, attempt: Attempt, progress: Progress) {
        let Some(running) = self.running.get_mut(&attempt) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&running.pending.request.pool) else {
            return;
        };
        if let Some(member) = pool.members.get_mut(running.reservation.active_upstream()) {
            member.passive_health.record_response(now);
        }
        match progress {
            Progress::Prefilled => {
                if running.reservation.prefill.is_none() && running.first_token.is_none() {
                    running.first_token = Some(now);
                    let took = now.saturating_sub(running.sent).as_secs_f64();
                    let class = running.pending.request.class;
                    pool.record_first_token(now, class, running.expected_first_token, took);
                }
                running.reservation.finish_prefill(now, pool);
            }
            Progress::Tokens(count) => {
                running.generated += u64::from(count);
                running.reservation.record_tokens(now, pool, count);
            }
        }
    }

    /// Records a failed KV transfer: the answering upstream prefills as well. The entry sends it
    /// the request without a transfer.
    pub fn transfer_failed(&mut self, now: Moment, attempt: Attempt) {
        let Some(running) = self.running.get_mut(&attempt) else {
            return;
        };
        let request = &running.pending.request;
        if let Some(pool) = self.pools.get_mut(&request.pool) {
            running
                .reservation
                .move_prefill(now, pool, request.prompt_tokens);
        }
    }

    /// Presumes the prefill of unstreamed answers done at its expected time.
    ///
    /// Such an answer reports nothing before its end. Otherwise its prompt would count as
    /// outstanding during the whole decode, and requests that would be in time would be refused
    /// for their deadline with most slots free.
    pub(super) fn presume_prefilled(&mut self, now: Moment) {
        while let Some((due, attempt)) = self.presumed_prefills.first().copied() {
            if due > now {
                return;
            }
            self.presumed_prefills.pop_first();
            let Some(running) = self.running.get_mut(&attempt) else {
                continue;
            };
            if let Some(pool) = self.pools.get_mut(&running.pending.request.pool)
                && running.reservation.prefill.is_none()
            {
                running.reservation.finish_prefill(now, pool);
            }
        }
    }

    /// Ends an attempt that was answered, or cancelled because its caller is gone.
    pub fn finished(&mut self, now: Moment, attempt: Attempt) -> Outputs {
        let mut outputs = Outputs::new();
        if let Some(running) = self.release(now, attempt) {
            self.settle_limits(&running);
            self.record_speed(now, &running);
            self.serve(now, &running.pending.request.pool, &mut outputs);
        }
        outputs
    }

    /// Ends an attempt that failed before the caller received any of the answer.
    pub fn failed(&mut self, now: Moment, attempt: Attempt, ran: Execution) -> RetryDecision {
        let Some(mut running) = self.release(now, attempt) else {
            return RetryDecision::Final;
        };
        let request = &running.pending.request;
        if let Some(pool) = self.pools.get_mut(&request.pool)
            && let Some(member) = pool.members.get_mut(running.reservation.active_upstream())
        {
            member.passive_health.record_failure(now);
        }
        running.pending.attempts += 1;
        running
            .pending
            .tried
            .push(running.reservation.upstream.clone());
        let Some(due) = self.retry_at(now, &running.pending, ran) else {
            self.settle_limits(&running);
            return RetryDecision::Final;
        };
        let ticket = self.next_number();
        let pending = running.pending;
        self.backoffs
            .insert((due, ticket), Backoff { ticket, pending });
        RetryDecision::Wait(ticket)
    }

    /// Time of the next attempt, if the request may be retried.
    pub(super) fn retry_at(
        &mut self,
        now: Moment,
        pending: &Pending,
        ran: Execution,
    ) -> Option<Moment> {
        let safe = ran == Execution::NotRun || pending.request.repeatable;
        if !safe || !self.budget.withdraw(pending.attempts) {
            return None;
        }
        let due = now + self.budget.backoff(&mut self.rng, pending.attempts);
        (due < pending.request.deadline).then_some(due)
    }

    /// Records the speed of an upstream from a finished attempt. An attempt without any output was
    /// cancelled and is ignored.
    pub(super) fn record_speed(&mut self, now: Moment, running: &Running) {
        let request = &running.pending.request;
        let no_output = running.generated == 0 && running.first_token.is_none();
        if no_output && request.output_tokens > 0 {
            return;
        }
        let Some(pool) = self.pools.get_mut(&request.pool) else {
            return;
        };
        if let Some(member) = pool.members.get_mut(&running.reservation.upstream) {
            let streamed = running.first_token.is_some();
            let time = running
                .first_token
                .map_or(Duration::ZERO, |first| now.saturating_sub(first));
            member
                .passive_health
                .record_answer(now, streamed, running.generated, time);
        }
    }

    /// Charges the actual usage of an attempt to its limits.
    pub(super) fn settle_limits(&mut self, running: &Running) {
        let request = &running.pending.request;
        let actual = u64::from(request.prompt_tokens) + running.generated;
        let used = Usage {
            expected: request.tokens(),
            actual,
        };
        self.limits.release(&request.subjects, used);
    }

    /// Starts an attempt. Returns none only if the pool was removed after the placement.
    pub(super) fn send(
        &mut self,
        now: Moment,
        pending: Pending,
        placement: &Placement,
    ) -> Option<Assignment> {
        let attempt = self.next_number();
        let request = &pending.request;
        let pool = self.pools.get_mut(&request.pool)?;
        let expected_first_token = pool.expected_first_token(now, request, placement);
        let reservation = pool.commit(now, request, placement);
        let assignment = Assignment {
            attempt,
            upstream: reservation.upstream.clone(),
            prefill: reservation.prefill.as_ref().map(|(id, _)| id.clone()),
            priority: request.priority,
        };
        if !request.streamed && request.prompt_tokens > 0 {
            let due = now + Duration::from_secs_f64(expected_first_token.clamp(0.0, MAX_PREFILL_S));
            self.presumed_prefills.insert((due, attempt));
        }
        self.running.insert(
            attempt,
            Running {
                pending,
                reservation,
                sent: now,
                expected_first_token,
                first_token: None,
                generated: 0,
            },
        );
        Some(assignment)
    }

    pub(super) fn release(&mut self, now: Moment, attempt: Attempt) -> Option<Running> {
        let running = self.running.remove(&attempt)?;
        if let Some(pool) = self.pools.get_mut(&running.pending.request.pool) {
            running.reservation.release(now, pool);
        }
        Some(running)
    }
}
