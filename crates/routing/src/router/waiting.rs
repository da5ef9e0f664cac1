//! Queued requests: they are sent when there is room, and refused as soon as they cannot meet
//! their deadline or have to be shed.

use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use super::{Backoff, Outputs, Router, SWEEP_INTERVAL};
use crate::{
    decision::{Decision, Output, Reason, Ticket},
    disaggregation::Placement,
    limit::Usage,
    pool,
    queue::{Pending, expected_wait},
    request::Model,
    scheduler::Blocked,
};

impl Router {
    /// Sends queued requests in order of service while there is room.
    pub(super) fn serve(&mut self, now: Moment, pool_id: &pool::Id, outputs: &mut Outputs) {
        self.shed(now, pool_id, outputs);
        while let Some((ticket, placement)) = self.next_waiting(now, pool_id) {
            match placement {
                Some(placement) => self.send_waiting(now, ticket, &placement, outputs),
                None => self.refuse_waiting(ticket, Reason::Deadline, Duration::ZERO, outputs),
            }
        }
    }

    /// The next request to leave the queue: with its placement, or without one if it would be late
    /// anywhere.
    fn next_waiting(
        &mut self,
        now: Moment,
        pool_id: &pool::Id,
    ) -> Option<(Ticket, Option<Placement>)> {
        let pool = self.pools.get_mut(pool_id)?;
        if pool.queue.is_empty() {
            return None;
        }
        // Heads are ordered by class: later ones for a model without room find none either.
        let mut full: SmallVec<[Option<Model>; 4]> = SmallVec::new();
        for (_, ticket) in pool.queue.heads() {
            let Some(pending) = pool.queue.get(ticket).cloned() else {
                continue;
            };
            if full.contains(&pending.request.model) {
                continue;
            }
            match pool.place(now, &pending) {
                Ok(placement) => return Some((ticket, Some(placement))),
                Err(Blocked::TooLate) => return Some((ticket, None)),
                Err(Blocked::NoRoom | Blocked::NoUpstream) => full.push(pending.request.model),
            }
        }
        None
    }

    fn send_waiting(
        &mut self,
        now: Moment,
        ticket: Ticket,
        placement: &Placement,
        outputs: &mut Outputs,
    ) {
        let Some(pending) = self.withdraw(ticket) else {
            return;
        };
        if let Some(assignment) = self.send(now, pending, placement) {
            outputs.push(Output::Send { ticket, assignment });
        }
    }

    /// Sheds requests beyond the queue's capacity, lowest class first.
    pub(super) fn shed(&mut self, now: Moment, pool_id: &pool::Id, outputs: &mut Outputs) {
        loop {
            let Some(pool) = self.pools.get_mut(pool_id) else {
                return;
            };
            if !pool.queue.is_over_capacity() {
                return;
            }
            let Some(ticket) = pool.queue.victim() else {
                return;
            };
            let class = pool.queue.get(ticket).map(|pending| pending.request.class);
            let wait = expected_wait(pool.queue.len() as f64, pool.drain_rate(now));
            let reason = class.map_or(Reason::NoPool, Reason::Overload);
            self.refuse_waiting(ticket, reason, wait, outputs);
        }
    }

    /// Refuses requests that can no longer meet their deadline, or could not at the next sweep.
    pub(super) fn sweep(&mut self, now: Moment, pool_id: &pool::Id, outputs: &mut Outputs) {
        let Some(pool) = self.pools.get_mut(pool_id) else {
            return;
        };
        pool.refresh_statistics(now);
        if pool.queue.is_empty() {
            return;
        }
        let per_second = pool.drain_rate(now);
        let infeasible = pool
            .queue
            .infeasible(now + SWEEP_INTERVAL, per_second, |request| {
                pool.typical_first_token_time(now, request)
            });
        let wait = expected_wait(pool.queue.len() as f64, per_second);
        for ticket in infeasible {
            self.refuse_waiting(ticket, Reason::Deadline, wait, outputs);
        }
    }

    /// Schedules retries whose backoff is over.
    pub(super) fn resume(&mut self, now: Moment, outputs: &mut Outputs) {
        while let Some(entry) = self.backoffs.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let Backoff { ticket, pending } = entry.remove();
            match self.schedule(now, pending) {
                Decision::Send(assignment) => outputs.push(Output::Send { ticket, assignment }),
                Decision::Refuse(refusal) => outputs.push(Output::Refuse { ticket, refusal }),
                Decision::Wait(new) => self.restore_ticket(now, new, ticket),
            }
        }
    }

    /// Moves a queued retry back to the ticket that the entry knows.
    pub(super) fn restore_ticket(&mut self, now: Moment, new: Ticket, known: Ticket) {
        let Some(pool_id) = self.tickets.remove(&new) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&pool_id) else {
            return;
        };
        if let Some(pending) = pool.remove(new) {
            self.enqueue(now, pool_id, known, pending);
        }
    }

    /// Refuses requests queued for removed pools.
    pub(super) fn refuse_orphans(&mut self, outputs: &mut Outputs) {
        for (ticket, pending) in std::mem::take(&mut self.orphans) {
            self.tickets.remove(&ticket);
            self.release_unused(&pending);
            let refusal = self.refusal(Reason::NoPool, Duration::ZERO);
            outputs.push(Output::Refuse { ticket, refusal });
        }
    }

    /// Removes a request from its queue or its backoff.
    pub(super) fn withdraw(&mut self, ticket: Ticket) -> Option<Pending> {
        if let Some(pool) = self.tickets.remove(&ticket) {
            return self.pools.get_mut(&pool)?.remove(ticket);
        }
        let mut backoffs = self.backoffs.keys();
        let key = *backoffs.find(|(_, number)| *number == ticket)?;
        self.backoffs.remove(&key).map(|backoff| backoff.pending)
    }

    pub(super) fn release_unused(&mut self, pending: &Pending) {
        let request = &pending.request;
        self.limits
            .release(&request.subjects, Usage::none(request.tokens()));
    }

    pub(super) fn refuse_waiting(
        &mut self,
        ticket: Ticket,
        reason: Reason,
        wait: Duration,
        outputs: &mut Outputs,
    ) {
        if let Some(pending) = self.withdraw(ticket) {
            self.release_unused(&pending);
        }
        let refusal = self.refusal(reason, wait);
        outputs.push(Output::Refuse { ticket, refusal });
    }
}
