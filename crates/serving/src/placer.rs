//! Which instances place calls, and who is asked.
//!
//! A place is good only if whoever chooses it knows what others have sent to the engine a moment ago. The load that
//! this answers: hundreds of instances with a call or two a second each, most of whose prompts share parts. If
//! each told all others of each of its calls, taking that in would cost it more with every other instance, until it takes the
//! link and the processor from the calls; if each knew only a part of the fleet, the same shared parts would be read
//! in every part of it. So few instances of each data centre know all engines and place, and the others ask one of
//! them before they send. Nothing is agreed on and nothing is held: who places follows from who lives, in one
//! order that all share, and a placer that is wrong, doubled or missing costs time and no call. See
//! `docs/design/knowledge.md`.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;

use crate::{EngineId, hash};

/// Instances of a data centre that place calls. Two, so that the end of one leaves one that knows; each one more is told of
/// every call as well, and may place a call in the moment before it hears of another one.
pub const PLACERS_PER_ZONE: usize = 2;
/// How much longer than the one before it an instance waits before it fills a vacancy, where it cannot know
/// whether the one before it lives. A new placer makes itself known in less.
const VACANCY_STEP: Duration = Duration::from_millis(150);

/// Hash of a data centre's name.
pub type ZoneHash = u32;

/// An instance, as another one knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Where it listens for others.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: ZoneHash,
    /// Its place in the common order; lower ones place first.
    pub order: u64,
    /// Whether it was heard of lately, or may have just started.
    pub alive: bool,
}

/// Who places, as one instance sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placers {
    /// Whether the instance itself does.
    pub includes_self: bool,
    /// Other instances that do.
    pub others: Vec<(SocketAddr, ZoneHash)>,
}

/// How an instance follows who places.
#[derive(Clone, Copy, Debug, Default)]
pub struct Election {
    vacant_since: Option<Moment>,
    placing: bool,
}

impl Election {
    /// Who places now. `others` are all that are registered and may live, in any order.
    ///
    /// An instance hears of placers only, so that of those before itself it mostly does not know whether they live. If
    /// all filled a vacancy at once, a data centre would have as many placers as instances for a moment, and each
    /// call would be told to all of them. So each waits for as long as those before it need.
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

/// Placers that come before one in the order of an engine. All compute it alike from those that they know, so that what is
/// divided among placers needs no word between them.
pub fn rank(engine: &EngineId, own: SocketAddr, others: &[(SocketAddr, ZoneHash)]) -> usize {
    let weight = |address: SocketAddr| hash::hash64(&format!("{address} {engine}"));
    let own = weight(own);
    let before = others.iter().filter(|(other, _)| weight(*other) > own);
    before.count()
}

/// In which order placers are asked for a call: those of the own data centre first, calls with one beginning the same one
/// first, so that two that come at once are placed with each other in mind.
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
