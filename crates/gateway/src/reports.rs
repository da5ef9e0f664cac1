//! Calls that other instances placed for this one, and what is to be reported of them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use serving::engine::Ticket;
use serving::health::Outcome;
use wire::gateway::{self, Report};

use crate::frame;

/// What one placer is to be told.
#[derive(Debug, Default)]
struct Books {
    read: Vec<(Ticket, Moment)>,
    ended: Vec<(Ticket, Option<Outcome>)>,
    open: BTreeSet<Ticket>,
    /// When it was last asked.
    asked: Moment,
}

/// Time after a question for which its addressee is told which calls are in hand.
///
/// It may have placed a call whose answer came too late or was not followed, which stands in its books then while nobody
/// sends it. One would notice it by engines that look busy and are idle. Longer than it waits before it takes a call that is
/// not named for over.
const ASKED: Duration = Duration::from_secs(3);

impl Books {
    fn has_reports(&self) -> bool {
        !(self.read.is_empty() && self.ended.is_empty())
    }
}

/// Calls of this instance by who placed them.
#[derive(Debug, Default)]
pub struct Reports(RefCell<BTreeMap<SocketAddr, Books>>);

impl Reports {
    /// A placer is asked for a place.
    pub fn asked(&self, placer: SocketAddr, now: Moment) {
        let mut all = self.0.borrow_mut();
        all.entry(placer).or_default().asked = now;
    }

    /// A call is about to be sent where a placer said.
    pub fn begun(&self, (placer, ticket): (SocketAddr, Ticket)) {
        let mut all = self.0.borrow_mut();
        all.entry(placer).or_default().open.insert(ticket);
    }

    /// Its prompt was read.
    pub fn read(&self, (placer, ticket): (SocketAddr, Ticket), now: Moment) {
        let mut all = self.0.borrow_mut();
        all.entry(placer).or_default().read.push((ticket, now));
    }

    /// It has ended.
    pub fn ended(&self, (placer, ticket): (SocketAddr, Ticket), outcome: Option<Outcome>) {
        let mut all = self.0.borrow_mut();
        let books = all.entry(placer).or_default();
        books.open.remove(&ticket);
        books.ended.push((ticket, outcome));
    }

    /// Reports that were not told yet, by placer.
    pub fn take_reports(&self, now: Moment) -> Vec<(SocketAddr, gateway::Reports)> {
        let mut all = self.0.borrow_mut();
        let due = all.iter_mut().filter(|(_, books)| books.has_reports());
        due.map(|(placer, books)| (*placer, drained(books, now)))
            .collect()
    }

    /// Those that have placed calls which are in hand, or were asked a while ago, each with the calls in hand.
    pub fn take_open(&self, now: Moment) -> Vec<(SocketAddr, gateway::Reports)> {
        let mut all = self.0.borrow_mut();
        let told = all.iter().map(|(placer, books)| {
            let open = gateway::Reports {
                open: books.open.iter().copied().collect(),
                says_open: true,
                ..gateway::Reports::default()
            };
            (*placer, open)
        });
        let told = told.collect();
        let is_recent = |asked: Moment| now.saturating_sub(asked) < ASKED;
        all.retain(|_, books| {
            books.has_reports() || !books.open.is_empty() || is_recent(books.asked)
        });
        told
    }
}

fn drained(books: &mut Books, now: Moment) -> gateway::Reports {
    let read = books.read.drain(..).map(|(ticket, at)| Report {
        ticket,
        age_ms: frame::since(at, now),
        ..Report::default()
    });
    let ended = books.ended.drain(..).map(|(ticket, outcome)| Report {
        ticket,
        outcome: frame::told_outcome(outcome).into(),
        ..Report::default()
    });
    gateway::Reports {
        read: read.collect(),
        ended: ended.collect(),
        ..gateway::Reports::default()
    }
}
