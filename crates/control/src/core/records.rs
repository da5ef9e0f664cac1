//! Records read from the log.

use catalogue::{Applied, Verdict};
use claims::LogStatus;
use clock::{Clock as _, Moment};
use platform::{Chunk, Event};
use wire::record::Snapshot;

use crate::Offset;
use crate::core::Core;
use crate::replica::FoldStep;
use crate::view;

/// Added to the long-poll wait and `log_down_after`: silence for longer than the sum counts as an
/// outage even if no read has failed.
const READ_SLACK: std::time::Duration = std::time::Duration::from_secs(1);

impl Core {
    /// Handles an event of the reader. If the reader has stopped, returns the offset from which to
    /// restart it.
    pub(super) fn handle_log_event(&mut self, event: Event) -> Option<Offset> {
        let now = self.clock.now();
        match event {
            Event::Chunk {
                requested_at: asked,
                chunk,
            } => {
                self.reader.last_answer = Some(now);
                self.reader.failing = false;
                self.handle_chunk(now, asked, chunk);
                None
            }
            Event::Unavailable => {
                self.reader.failing = true;
                None
            }
            Event::Gone { first, next } => {
                log::warn!(first, next, folded = self.replica.folded(); "log no longer retains the next records");
                self.reader.last_answer = Some(now);
                self.calls.forget_before(first);
                self.replica.discard_before(first, next);
                Some(first)
            }
        }
    }

    fn handle_chunk(&mut self, now: Moment, sent_at: Moment, chunk: Chunk) {
        let first = chunk.first;
        let records = self.replica.push(chunk);
        self.calls
            .forget_before(first.min(records.first().map_or(first, |(offset, _)| *offset)));
        for (offset, record) in &records {
            self.calls.fold(now, *offset, record, &self.appends);
        }
        self.fold(now);
        if self.replica.is_up_to_date() {
            self.handle_up_to_date(now, sent_at);
        }
        if !records.is_empty() {
            let (scopes, context) = self.scopes_and_context(now);
            scopes.tick(&context);
        }
    }

    /// Handles that all records up to the end of the log, as of a read sent at `sent_at`, are
    /// folded.
    fn handle_up_to_date(&mut self, now: Moment, sent_at: Moment) {
        if !self.flags.caught_up {
            log::info!(folded = self.replica.folded(), revision = self.replica.catalogue().revision(); "caught up with the log");
            self.flags.caught_up = true;
            self.flags.publish_now = true;
        }
        if self.flags.paused_at.is_some_and(|at| sent_at >= at) {
            self.flags.paused_at = None;
            self.flags.publish_now = true;
        }
        self.update_claims_status(now);
        let (scopes, context) = self.scopes_and_context(now);
        scopes.log_read(&context, sent_at);
    }

    /// Handles the state of a peer.
    pub(super) fn handle_peer_state(&mut self, now: Moment, snapshot: Box<Snapshot>) {
        let before = self.replica.folded();
        self.replica.offer_snapshot(snapshot);
        self.fold(now);
        if self.replica.folded() > before && !self.flags.caught_up {
            log::info!(folded = self.replica.folded(); "state taken from a peer, the log is out");
            self.flags.caught_up = true;
        }
    }

    fn fold(&mut self, now: Moment) {
        let mut changed = false;
        while let Some(fold) = self.replica.step() {
            match fold {
                FoldStep::Restored => {
                    changed = true;
                    self.scopes.restore(now, self.replica.authority());
                }
                FoldStep::Record(folded) => {
                    let authority = self.replica.authority();
                    let record = &folded.record;
                    self.scopes.apply(now, folded.offset, record, authority);
                    changed |= changes_state(&folded.applied, &folded.effect);
                    if let Applied::Edit(verdict) = &folded.applied {
                        self.edits.resolve(&record.nonce, verdict);
                    }
                }
            }
        }
        if changed {
            let (catalogue, authority) = (self.replica.catalogue(), self.replica.authority());
            self.scopes
                .follow_catalogue(now, catalogue.view(), authority);
            self.fleet.apply_closings(now, authority, catalogue.view());
            self.flags.publish_now = true;
        }
    }

    /// Tells the claims whether the log is up. It counts as down until all retained records are
    /// folded, since an unread claim could be the first of its key.
    pub(super) fn update_claims_status(&mut self, now: Moment) {
        let up = self.log_state(now) == view::Log::Up && self.replica.is_up_to_date();
        let status = if up { LogStatus::Up } else { LogStatus::Down };
        // Records that are not folded yet between two reads are no outage.
        let lagging = !up
            && self.log_state(now) == view::Log::Up
            && self.reader.claims_status == LogStatus::Up;
        if status != self.reader.claims_status && !lagging {
            self.reader.claims_status = status;
            self.calls.set_log_status(now, status, &self.appends);
        }
    }

    /// Whether the log is up. A single failed read does not count as an outage.
    pub(super) fn log_state(&self, now: Moment) -> view::Log {
        let last_answer = self.reader.last_answer.unwrap_or(self.reader.started);
        let silent = now.saturating_sub(last_answer);
        let down_after = self.options.log_down_after;
        let max_silence = self.options.log_poll_wait + down_after + READ_SLACK;
        let down = (self.reader.failing && silent >= down_after) || silent >= max_silence;
        if down || self.reader.last_answer.is_none() {
            view::Log::DownSince(last_answer)
        } else {
            view::Log::Up
        }
    }
}

/// Whether a record changed state that the data plane or the scopes use.
fn changes_state(applied: &Applied, effect: &authority::effect::Effect) -> bool {
    use authority::effect::Effect;
    let catalogue = matches!(
        applied,
        Applied::Edit(Verdict::Accepted { .. }) | Applied::Frozen(_)
    );
    let orders = matches!(effect, Effect::Intended { .. } | Effect::Concluded { .. });
    catalogue || orders
}
