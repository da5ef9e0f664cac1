//! Reads and folds the log.

use authority::effect::Effect;
use catalogue::{Applied, Kind, Refusal, Verdict};
use clock::Moment;
use fleet::upstream;
use wire::record::Record;
use wire::record::record::Body;

use super::{Append, Process, Source};
use crate::log::Log;
use crate::{Line, Offset};

impl Process {
    /// Reads the log to its end. If the next record is no longer retained, the process first adopts
    /// the newest retained snapshot.
    pub(crate) fn read(&mut self, now: Moment, log: &Log) -> Vec<Line> {
        let mut lines = Vec::new();
        if self.read_upto + 1 < log.first() {
            lines.extend(self.restore_snapshot(now, log));
        }
        for (offset, record) in log.read(self.read_upto + 1) {
            self.read_upto = offset;
            lines.extend(self.fold(now, offset, record));
        }
        self.view_is_current = true;
        let read = authority::lease::Input::Read { sent_at: now };
        let outputs = self.lease.step(now, &read);
        lines.extend(self.handle_lease(outputs));
        lines
    }

    fn restore_snapshot(&mut self, now: Moment, log: &Log) -> Vec<Line> {
        let snapshots = log
            .read(log.first())
            .filter_map(|(_, record)| match &record.body {
                Some(Body::Snapshot(snapshot)) => Some(snapshot),
                _ => None,
            });
        let newest = snapshots.max_by_key(|snapshot| snapshot.upto).cloned();
        self.batcher.forget_before(log.first());
        self.read_upto = log.first() - 1;
        let Some(snapshot) = newest else {
            return vec![self.line("finds no snapshot")];
        };
        let mut lines = Vec::new();
        match self.catalogue.adopt(&snapshot) {
            Ok(true) => {
                lines.push(self.line(format!("starts from the snapshot of {}", snapshot.upto)));
            }
            Ok(false) => {}
            Err(error) => lines.push(self.line(error)),
        }
        if self.authority.folded() < snapshot.upto
            && let Ok(state) = authority::state::State::try_from(&snapshot)
        {
            self.authority = state;
            let outputs = self.lease.restore(now, &self.authority);
            lines.extend(self.handle_lease(outputs));
        }
        lines
    }

    fn fold(&mut self, now: Moment, offset: Offset, record: &Record) -> Vec<Line> {
        let mut lines = Vec::new();
        let before = self.catalogue.revision();
        let applied = self.catalogue.apply(offset, record);
        lines.extend(describe(offset, &applied).map(|text| self.line(text)));
        if self.catalogue.revision() < before {
            lines.push(self.line("VIOLATION the catalogue goes back"));
        }
        self.follow_drains(now, &mut lines);
        let outputs = self.batcher.fold(now, offset, record);
        lines.extend(self.handle_claims(outputs));
        let effect = self.authority.apply(offset, record);
        self.follow_orders(now, effect, &mut lines);
        let outputs = self.lease.apply(now, offset, record, &self.authority);
        lines.extend(self.handle_lease(outputs));
        lines
    }

    fn follow_drains(&mut self, now: Moment, lines: &mut Vec<Line>) {
        let view = self.catalogue.view();
        let drains: Vec<String> = view.names(Kind::Drain).map(str::to_owned).collect();
        let outputs = self.upstreams.step(now, upstream::Input::Drains(&drains));
        lines.extend(self.handle_upstreams(outputs));
    }

    fn follow_orders(&mut self, now: Moment, effect: Effect, lines: &mut Vec<Line>) {
        match effect {
            Effect::Intended {
                order, upstream, ..
            } => {
                self.drain.begin(now, order, &upstream);
                let upstream = &upstream;
                let close = upstream::Input::Close { order, upstream };
                let outputs = self.upstreams.step(now, close);
                lines.extend(self.handle_upstreams(outputs));
            }
            Effect::Concluded { order, .. } => {
                self.drain.end(order);
                let outputs = self.upstreams.step(now, upstream::Input::Open { order });
                lines.extend(self.handle_upstreams(outputs));
            }
            _ => {}
        }
    }

    /// Queues a record to be appended.
    pub(super) fn queue(&mut self, source: Source, nonce: [u8; 16], body: Body) {
        let record = self.record(nonce, body);
        let append = Append {
            source,
            nonce,
            record,
        };
        self.outbox.push_back(append);
    }
}

fn describe(offset: Offset, applied: &Applied) -> Option<String> {
    Some(match applied {
        Applied::Edit(Verdict::Accepted { .. }) => format!("edit {offset} accepted"),
        Applied::Edit(Verdict::Refused(refusal)) => match refusal {
            Refusal::Invalid(findings) => format!("edit {offset} invalid: {findings}"),
            refusal => format!("edit {offset} refused: {refusal}"),
        },
        Applied::Edit(Verdict::Undecided { rules }) => {
            format!("edit {offset} undecided, needs rules {rules}")
        }
        Applied::Raised(rules) => format!("rules {rules} in force"),
        Applied::Frozen(frozen) if frozen.offset == offset => {
            format!("frozen, needs rules {}", frozen.rules)
        }
        Applied::SnapshotDiffers => format!("snapshot {offset} differs from the fold"),
        Applied::Gap { missing } => format!("cannot judge {offset}, {missing} is missing"),
        Applied::Frozen(_) | Applied::NoEffect | Applied::AlreadyFolded => return None,
    })
}
