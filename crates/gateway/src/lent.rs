//! Calls that other instances placed for this one, and what is to be reported of them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use clock::Moment;
use serving::engine::Ticket;
use serving::health::Outcome;
use wire::gateway::{self, Report};

use crate::{frame, peers};

/// What one placer is to be told.
#[derive(Debug, Default)]
struct Books {
    read: Vec<(Ticket, Moment)>,
    ended: Vec<(Ticket, Option<Outcome>)>,
    open: BTreeSet<Ticket>,
}

impl Books {
    fn has_reports(&self) -> bool {
        !(self.read.is_empty() && self.ended.is_empty())
    }
}

/// Calls of this instance by who placed them.
#[derive(Debug, Default)]
pub(crate) struct Lent(RefCell<BTreeMap<SocketAddr, Books>>);

impl Lent {
    /// A call is about to be sent where a placer said.
    pub(crate) fn begun(&self, (placer, ticket): (SocketAddr, Ticket)) {
        let mut all = self.0.borrow_mut();
        all.entry(placer).or_default().open.insert(ticket);
    }

    /// Its prompt was read.
    pub(crate) fn read(&self, (placer, ticket): (SocketAddr, Ticket), now: Moment) {
        let mut all = self.0.borrow_mut();
        all.entry(placer).or_default().read.push((ticket, now));
    }

    /// It has ended.
    pub(crate) fn ended(&self, (placer, ticket): (SocketAddr, Ticket), outcome: Option<Outcome>) {
        let mut all = self.0.borrow_mut();
        let books = all.entry(placer).or_default();
        books.open.remove(&ticket);
        books.ended.push((ticket, outcome));
    }

    /// Reports that were not told yet, by placer.
    pub(crate) fn take_reports(&self, now: Moment) -> Vec<(SocketAddr, gateway::Lent)> {
        let mut all = self.0.borrow_mut();
        let due = all.iter_mut().filter(|(_, books)| books.has_reports());
        due.map(|(placer, books)| (*placer, reports(books, now)))
            .collect()
    }

    /// Those that have placed calls which are in hand, each with these calls. Whoever has none left is told so once.
    pub(crate) fn take_open(&self) -> Vec<(SocketAddr, gateway::Lent)> {
        let mut all = self.0.borrow_mut();
        let told = all.iter().map(|(placer, books)| {
            let open = gateway::Lent {
                open: books.open.iter().copied().collect(),
                says_open: true,
                ..gateway::Lent::default()
            };
            (*placer, open)
        });
        let told = told.collect();
        all.retain(|_, books| books.has_reports() || !books.open.is_empty());
        told
    }
}

fn reports(books: &mut Books, now: Moment) -> gateway::Lent {
    let read = books.read.drain(..).map(|(ticket, at)| Report {
        ticket,
        age_ms: peers::millis(at, now),
        ..Report::default()
    });
    let ended = books.ended.drain(..).map(|(ticket, outcome)| Report {
        ticket,
        outcome: frame::told_outcome(outcome).into(),
        ..Report::default()
    });
    gateway::Lent {
        read: read.collect(),
        ended: ended.collect(),
        ..gateway::Lent::default()
    }
}
