//! Inputs of one choice.

use std::time::Duration;

use clock::Moment;

use super::{Pick, Policy, Work};
use crate::{
    affinity::History,
    class::Class,
    cost::{self, Cost},
    ledger::NO_DECAY,
    load::Load,
    member::Member,
    members::Members,
    pool::Config,
};

/// Inputs of one choice.
pub(super) struct Context<'a> {
    pub(super) now: Moment,
    pub(super) config: &'a Config,
    pub(super) members: &'a Members,
    pub(super) history: &'a History,
    pub(super) work: &'a Work<'a>,
    pub(super) mean_load: Load,
    pub(super) decay_time: Duration,
}

impl<'a> Context<'a> {
    pub(super) fn new(
        now: Moment,
        config: &'a Config,
        members: &'a Members,
        history: &'a History,
        work: &'a Work<'a>,
    ) -> Self {
        let decay_time = match config.policy {
            Policy::Affinity { .. } => config.decay_time,
            _ => NO_DECAY,
        };
        Self {
            now,
            config,
            members,
            history,
            work,
            mean_load: members.mean_load(),
            decay_time,
        }
    }

    /// Number of members that accept work in one of the allowed roles.
    pub(super) fn candidate_count(&self) -> usize {
        let roles = self.work.roles.iter();
        roles.map(|role| self.members.ready(*role).len()).sum()
    }

    /// Position of the `index`-th of these.
    pub(super) fn candidate(&self, mut index: usize) -> usize {
        for role in self.work.roles {
            let ready = self.members.ready(*role);
            if index < ready.len() {
                return ready[index];
            }
            index -= ready.len();
        }
        0
    }

    /// Whether a member that accepts work may take this work.
    pub(super) fn is_allowed(&self, position: usize) -> bool {
        let member = self.members.at(position);
        member.serves(self.work.model) && !self.work.excluded.contains(&member.view.id)
    }

    /// Whether a member may take this work, for positions that were not drawn from the ready
    /// members.
    pub(super) fn is_candidate(&self, position: usize) -> bool {
        let member = self.members.at(position);
        let ready = self.members.ready(member.view.role);
        self.work.roles.contains(&member.view.role)
            && ready.binary_search(&position).is_ok()
            && self.is_allowed(position)
    }

    pub(super) fn load(&self, member: &Member) -> Load {
        member
            .ledger
            .estimate(self.now, self.mean_load, self.decay_time, &member.speed)
    }

    pub(super) fn has_room(&self, position: usize, class: Class) -> bool {
        let load = self.load(self.members.at(position));
        self.members.has_room(position, class, load)
    }

    pub(super) fn cost(&self, member: &Member, cached: u32) -> Cost {
        let load = self.load(member);
        let prompt = f64::from(self.work.prompt.saturating_sub(cached));
        let mut cost = cost::estimate(
            &member.effective_speed(),
            load,
            prompt,
            f64::from(self.work.output),
        );
        let share = member.slow_start_share(self.now, self.config.slow_start);
        let round_trip = 2.0 * member.view.one_way_latency.as_secs_f64();
        cost.first_token = cost.first_token / share + round_trip;
        cost.wait /= share;
        cost.total_work = cost.total_work / share + round_trip;
        cost
    }

    pub(super) fn pick(&self, position: usize) -> Pick {
        self.pick_cached(position, 0)
    }

    pub(super) fn pick_cached(&self, position: usize, cached: u32) -> Pick {
        let member = self.members.at(position);
        Pick {
            position,
            cached,
            cost: self.cost(member, cached),
            load: self.load(member),
        }
    }

    /// Accounts for cached tokens in a pick that was made without regard to them.
    pub(super) fn with_cached(&self, pick: Pick) -> Pick {
        if pick.cached > 0 || self.work.prefixes.is_empty() {
            return pick;
        }
        let id = &self.members.at(pick.position).view.id;
        let hits = self.history.find(self.work.prefixes);
        let hit = hits.iter().find(|hit| hit.upstream == *id);
        hit.map_or(pick, |hit| self.pick_cached(pick.position, hit.tokens))
    }

    /// Cheapest upstream that probably has part of the prompt cached.
    pub(super) fn best_holder(&self) -> Option<Pick> {
        let mut best: Option<Pick> = None;
        for hit in self.history.find(self.work.prefixes) {
            let Some(position) = self.members.position(&hit.upstream) else {
                continue;
            };
            if !self.is_candidate(position) {
                continue;
            }
            let pick = self.pick_cached(position, hit.tokens);
            if best.is_none_or(|best| pick.cost.total_work < best.cost.total_work) {
                best = Some(pick);
            }
        }
        best
    }
}
