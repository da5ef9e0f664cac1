//! Chooses the instances that place calls, and which of them an instance asks.
//!
//! A good placement requires knowing what other instances sent to the engine a moment ago. Consider
//! hundreds of instances with one or two calls per second each, most of whose prompts share parts.
//! If every instance told all others about each call, the cost of receiving would grow with the
//! fleet until it crowds out the calls; if each knew only a part of the fleet, the same shared
//! parts would be read again in every part. So a few instances per data centre know all engines and
//! place calls, and the others ask one of them before they send. No agreement is needed and no
//! lease is held: the placers follow from the live instances in an order common to all, and a
//! wrong, duplicate or missing placer costs time but no call. See `docs/design/knowledge.md`.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;

use crate::{EngineId, hash};

/// Placers per data centre. Two, so that one remains when the other ends. Each further placer has
/// to be told of every call, and may place calls before it hears of those of the others.
pub const PLACERS_PER_ZONE: usize = 2;
/// Additional delay per preceding instance before an instance fills a vacancy, if it cannot know
/// whether the preceding ones are alive. A new placer announces itself in less.
const VACANCY_STEP: Duration = Duration::from_millis(150);
/// Share of the bound for leaving engines for which a placement counts.
const CURRENT_SHARE: f64 = 0.4;

/// Hash of a data centre's name.
pub type ZoneHash = u32;

/// An instance as known to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its address for other instances.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: ZoneHash,
    /// Its position in the common order; lower ones place first.
    pub order: u64,
    /// Whether it was heard from lately, or may have just started.
    pub alive: bool,
}

/// The current placers, as seen by one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placers {
    /// Whether the instance itself is one.
    pub includes_self: bool,
    /// The other placers.
    pub others: Vec<(SocketAddr, ZoneHash)>,
}

/// Tracks whether an instance is a placer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Election {
    vacant_since: Option<Moment>,
    placing: bool,
}

impl Election {
    /// Determines the current placers. `others` are all registered instances, in any order.
    ///
    /// An instance hears only from placers, so it mostly does not know whether the instances before
    /// it are alive. If all filled a vacancy at once, every call would be announced to all of them
    /// for a moment. So each one waits for as long as the instances before it need.
    pub fn update(&mut self, own: &Member, others: &[Member], now: Moment) -> Placers {
        let mut live: Vec<&Member> = others.iter().filter(|other| other.alive).collect();
        live.sort_unstable_by_key(|other| (other.zone, other.order));
        let same_zone = live.iter().filter(|other| other.zone == own.zone);
        let before = same_zone.filter(|other| other.order < own.order).count();
        self.placing = before < PLACERS_PER_ZONE && self.may_fill(own, others, now);
        if before >= PLACERS_PER_ZONE {
            self.vacant_since = None;
        }
        let mut placers = Placers {
            includes_self: self.placing,
            others: Vec::new(),
        };
        for zone_members in live.chunk_by(|a, b| a.zone == b.zone) {
            let is_own = zone_members
                .first()
                .is_some_and(|first| first.zone == own.zone);
            let vacancies = PLACERS_PER_ZONE - usize::from(is_own && self.placing);
            let chosen = zone_members.iter().take(vacancies);
            placers
                .others
                .extend(chosen.map(|chosen| (chosen.address, chosen.zone)));
        }
        placers
    }

    fn may_fill(&mut self, own: &Member, others: &[Member], now: Moment) -> bool {
        let since = *self.vacant_since.get_or_insert(now);
        let uncertain = others
            .iter()
            .filter(|other| !other.alive && other.zone == own.zone && other.order < own.order);
        let unknown = u32::try_from(uncertain.count()).unwrap_or(u32::MAX);
        self.placing || now.saturating_sub(since) >= VACANCY_STEP.saturating_mul(unknown)
    }
}

/// Number of placers that precede `own` in the order specific to an engine. All placers compute the
/// same order, so work can be divided among them without communication.
pub fn rank(engine: &EngineId, own: SocketAddr, others: &[(SocketAddr, ZoneHash)]) -> usize {
    let weight = |address: SocketAddr| hash::hash64(&format!("{address} {engine}"));
    let own = weight(own);
    let before = others.iter().filter(|(other, _)| weight(*other) > own);
    before.count()
}

/// The order in which placers are asked for a call: those of the own data centre first. Calls with
/// the same beginning ask the same one first, so that two simultaneous ones are placed with
/// knowledge of each other.
pub fn ask_order(
    placers: &[(SocketAddr, ZoneHash)],
    own: ZoneHash,
    prefix: u32,
) -> Vec<SocketAddr> {
    let (mut own_zone, mut other_zones): (Vec<_>, Vec<_>) =
        placers.iter().partition(|(_, at)| *at == own);
    for group in [&mut own_zone, &mut other_zones] {
        if !group.is_empty() {
            let first = prefix as usize % group.len();
            group.rotate_left(first);
        }
    }
    own_zone.append(&mut other_zones);
    own_zone.into_iter().map(|(address, _)| address).collect()
}

/// Whether a placement still counts that was true at `chosen`, if an engine that leaves must get no more requests
/// after `drain`.
pub fn is_current(chosen: Moment, drain: Duration, now: Moment) -> bool {
    now.saturating_sub(chosen) < drain.mul_f64(CURRENT_SHARE)
}
