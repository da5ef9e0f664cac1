//! Calls that placers placed for this instance, and the reports on them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use serving::engine::Ticket;
use serving::health::Outcome;
use wire::gateway::{self, Report};

use crate::frame;

/// Reports for one placer.
#[derive(Debug, Default)]
struct PlacerReports {
    read: Vec<(Ticket, Moment)>,
    ended: Vec<(Ticket, Option<Outcome>, Moment)>,
    open: BTreeSet<Ticket>,
    /// When it last got a placement request.
    last_requested: Moment,
}

/// Time after a placement request for which the placer gets the list of open calls.
///
/// It may have placed a call whose answer came too late or was not followed, and would keep
/// counting it: engines would look busy while idle. Must exceed the time after which the placer
/// assumes that a call which is not listed is over.
const OPEN_REPORT_TIME: Duration = Duration::from_secs(3);

impl PlacerReports {
    fn has_reports(&self) -> bool {
        !(self.read.is_empty() && self.ended.is_empty())
    }
}

/// Calls of this instance by placer.
#[derive(Debug, Default)]
pub struct Reports(RefCell<BTreeMap<SocketAddr, PlacerReports>>);

impl Reports {
    /// Notes a placement request to a placer.
    pub fn placement_requested(&self, placer: SocketAddr, now: Moment) {
        let mut all = self.0.borrow_mut();
        all.entry(placer).or_default().last_requested = now;
    }

    /// Notes that a call is about to be sent to the engine that the placer chose.
    pub fn call_started(&self, (placer, ticket): (SocketAddr, Ticket)) {
        let mut all = self.0.borrow_mut();
        all.entry(placer).or_default().open.insert(ticket);
    }

    /// Notes that a call's prefill completed.
    pub fn prompt_read(&self, (placer, ticket): (SocketAddr, Ticket), now: Moment) {
        let mut all = self.0.borrow_mut();
        all.entry(placer).or_default().read.push((ticket, now));
    }

    /// Notes that a call has ended.
    pub fn call_ended(
        &self,
        (placer, ticket): (SocketAddr, Ticket),
        outcome: Option<Outcome>,
        now: Moment,
    ) {
        let mut all = self.0.borrow_mut();
        let reports = all.entry(placer).or_default();
        reports.open.remove(&ticket);
        reports.ended.push((ticket, outcome, now));
    }

    /// Takes the unsent reports, by placer.
    pub fn take_reports(&self, now: Moment) -> Vec<(SocketAddr, gateway::Reports)> {
        let mut all = self.0.borrow_mut();
        let due = all.iter_mut().filter(|(_, reports)| reports.has_reports());
        due.map(|(placer, reports)| (*placer, drain(reports, now)))
            .collect()
    }

    /// The open calls for each placer that has some or got a request recently.
    pub fn take_open(&self, now: Moment) -> Vec<(SocketAddr, gateway::Reports)> {
        let mut all = self.0.borrow_mut();
        let open = all.iter().map(|(placer, reports)| {
            let open = gateway::Reports {
                open: reports.open.iter().copied().collect(),
                says_open: true,
                ..gateway::Reports::default()
            };
            (*placer, open)
        });
        let open = open.collect();
        let is_recent = |requested: Moment| now.saturating_sub(requested) < OPEN_REPORT_TIME;
        all.retain(|_, reports| {
            reports.has_reports() || !reports.open.is_empty() || is_recent(reports.last_requested)
        });
        open
    }
}

fn drain(reports: &mut PlacerReports, now: Moment) -> gateway::Reports {
    let read = reports.read.drain(..).map(|(ticket, at)| Report {
        ticket,
        age_ms: frame::elapsed_ms(at, now),
        ..Report::default()
    });
    let ended = reports.ended.drain(..).map(|(ticket, outcome, at)| Report {
        ticket,
        age_ms: frame::elapsed_ms(at, now),
        outcome: frame::encode_outcome(outcome).into(),
    });
    gateway::Reports {
        read: read.collect(),
        ended: ended.collect(),
        ..gateway::Reports::default()
    }
}
