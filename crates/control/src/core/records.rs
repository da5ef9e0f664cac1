//! What is read from the log.

use catalogue::{Applied, Verdict};
use claims::LogStatus;
use clock::{Clock as _, Moment};
use platform::{Chunk, Event};
use wire::record::Snapshot;

use crate::Offset;
use crate::core::Core;
use crate::ledger::Fold;
use crate::view;

/// Silence of the log beyond the wait of a read after which it counts as out although no read has
/// failed yet.
const READ_SLACK: std::time::Duration = std::time::Duration::from_secs(1);

impl Core {
    /// Takes an event of the reader in; gives the offset from which to read anew if the reader has
    /// stopped.
    pub(super) fn log_event(&mut self, event: Event) -> Option<Offset> {
        let now = self.clock.now();
        match event {
            Event::Chunk { asked, chunk } => {
                self.reader.heard = Some(now);
                self.reader.failing = false;
                self.chunk(now, asked, chunk);
                None
            }
            Event::Down => {
                self.reader.failing = true;
                None
            }
            Event::Gone { first, next } => {
                log::warn!(first, next, folded = self.ledger.folded(); "records are past retention");
                self.reader.heard = Some(now);
                self.calls.forget(first);
                self.ledger.forget(first, next);
                Some(first)
            }
        }
    }

    fn chunk(&mut self, now: Moment, asked: Moment, chunk: Chunk) {
        let first = chunk.first;
        let records = self.ledger.push(chunk);
        self.calls
            .forget(first.min(records.first().map_or(first, |(offset, _)| *offset)));
        for (offset, record) in &records {
            self.calls.fold(now, *offset, record, &self.appends);
        }
        self.fold(now);
        if self.ledger.is_whole() {
            self.whole(now, asked);
        }
        if !records.is_empty() {
            let (scopes, around) = self.split(now);
            scopes.tick(&around);
        }
    }

    /// All that the log held when the read was sent is folded.
    fn whole(&mut self, now: Moment, asked: Moment) {
        if !self.flags.caught_up {
            log::info!(folded = self.ledger.folded(), revision = self.ledger.catalogue().revision(); "caught up with the log");
            self.flags.caught_up = true;
            self.flags.urgent = true;
        }
        if self.flags.paused_at.is_some_and(|at| asked >= at) {
            self.flags.paused_at = None;
            self.flags.urgent = true;
        }
        self.reach(now);
        let (scopes, around) = self.split(now);
        scopes.read(&around, asked);
    }

    /// A peer gave its state.
    pub(super) fn offered(&mut self, now: Moment, snapshot: Box<Snapshot>) {
        let before = self.ledger.folded();
        self.ledger.offer(snapshot);
        self.fold(now);
        if self.ledger.folded() > before && !self.flags.caught_up {
            log::info!(folded = self.ledger.folded(); "state taken from a peer, the log is out");
            self.flags.caught_up = true;
        }
    }

    fn fold(&mut self, now: Moment) {
        let mut changed = false;
        while let Some(fold) = self.ledger.step() {
            match fold {
                Fold::Restored => {
                    changed = true;
                    self.scopes.restore(now, self.ledger.authority());
                }
                Fold::Record(folded) => {
                    let authority = self.ledger.authority();
                    let record = &folded.record;
                    self.scopes.apply(now, folded.offset, record, authority);
                    changed |= changes(&folded.applied, &folded.effect);
                    if let Applied::Edit(verdict) = &folded.applied {
                        self.edits.judged(&record.nonce, verdict);
                    }
                }
            }
        }
        if changed {
            let (catalogue, authority) = (self.ledger.catalogue(), self.ledger.authority());
            self.scopes.follow(now, catalogue.view(), authority);
            self.census.follow(now, authority, catalogue.view());
            self.flags.urgent = true;
        }
    }

    /// Tells the claims whether the log answers. They decide nothing before all that it retains is
    /// folded: a claim that was not read yet could be the first of its key.
    pub(super) fn reach(&mut self, now: Moment) {
        let up = self.log_state(now) == view::Log::Up && self.ledger.is_whole();
        let reach = if up { LogStatus::Up } else { LogStatus::Down };
        // Between two reads records may stand that are not folded yet, which is no outage.
        let lagging =
            !up && self.log_state(now) == view::Log::Up && self.reader.reach == LogStatus::Up;
        if reach != self.reader.reach && !lagging {
            self.reader.reach = reach;
            self.calls.reach(now, reach, &self.appends);
        }
    }

    /// Whether the log answers. One failed read makes no outage.
    pub(super) fn log_state(&self, now: Moment) -> view::Log {
        let heard = self.reader.heard.unwrap_or(self.reader.started);
        let silent = now.saturating_sub(heard);
        let patience = self.options.log_down_after;
        let slack = self.options.log_poll_wait + patience + READ_SLACK;
        let out = (self.reader.failing && silent >= patience) || silent >= slack;
        if out || self.reader.heard.is_none() {
            view::Log::DownSince(heard)
        } else {
            view::Log::Up
        }
    }
}

/// Whether a record changed what the data plane or the scopes look at.
fn changes(applied: &Applied, effect: &authority::effect::Effect) -> bool {
    use authority::effect::Effect;
    let catalogue = matches!(
        applied,
        Applied::Edit(Verdict::Accepted { .. }) | Applied::Frozen(_)
    );
    let orders = matches!(effect, Effect::Intended { .. } | Effect::Concluded { .. });
    catalogue || orders
}
