//! Load balancing: the choice of an upstream among the members of a pool.

mod context;

use clock::Moment;
use rand::{RngExt, rngs::SmallRng};
use smallvec::SmallVec;

use self::context::Context;
use crate::{
    affinity::{self, History},
    class::Class,
    cost::Cost,
    load::Load,
    member::Member,
    members::Members,
    pool::Config,
    request::{Model, Prefix, Request},
    upstream::{Id, Role},
};

/// Random draws for an allowed candidate before all are scanned.
const MAX_DRAWS: usize = 4;

/// Seconds by which the home of an unseen prefix may cost more than the best candidate. The bound
/// spreads a popular prefix instead of overloading its home.
const HOME_SLACK_S: f64 = 0.05;

/// Load balancing policy. All but [`Policy::Affinity`] are baselines for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Round robin.
    RoundRobin,
    /// Uniformly random.
    Random,
    /// Fewest outstanding requests of this entry alone.
    LeastOutstanding,
    /// Power of two choices: the better of two random candidates.
    TwoChoices,
    /// DRILL: the best of `samples` random candidates and the `memory` best of the last decision.
    Drill {
        /// Random candidates.
        samples: usize,
        /// Candidates remembered.
        memory: usize,
    },
    /// Lowest estimated cost of all upstreams.
    FullScan,
    /// Home of the prompt's first prefix, regardless of load.
    PrefixHash,
    /// Like `Drill`, with decayed views of the peers' work and with the holders of the prompt's
    /// prefix as further candidates.
    Affinity {
        /// Random candidates.
        samples: usize,
        /// Candidates remembered.
        memory: usize,
    },
}

impl Default for Policy {
    fn default() -> Self {
        Self::Affinity {
            samples: 4,
            memory: 0,
        }
    }
}

/// The work that an upstream is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct Work<'a> {
    /// Model that must be loaded.
    pub model: Option<&'a Model>,
    /// Tokens to prefill.
    pub prompt: u32,
    /// Tokens to generate.
    pub output: u32,
    /// Prefixes of the prompt, from shortest to longest.
    pub prefixes: &'a [Prefix],
    /// Roles that may take the work, in any order.
    pub roles: &'a [Role],
    /// Upstreams that must not be chosen because they were tried before.
    pub excluded: &'a [Id],
}

impl<'a> Work<'a> {
    /// Prefill and decode of a request at one upstream.
    pub fn whole(request: &'a Request, roles: &'a [Role], excluded: &'a [Id]) -> Self {
        Self {
            model: request.model.as_ref(),
            prompt: request.prompt_tokens,
            output: request.output_tokens,
            prefixes: &request.prefixes,
            roles,
            excluded,
        }
    }
}

/// A chosen upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pick {
    /// Position among the members.
    pub position: usize,
    /// Tokens of the prompt expected to be cached there.
    pub cached: u32,
    /// Estimated cost there.
    pub cost: Cost,
    /// Estimated outstanding work there.
    pub load: Load,
}

/// State of the policy: one decision engine, in DRILL's terms.
#[derive(Clone, Debug)]
pub struct Chooser {
    rng: SmallRng,
    last_index: usize,
    memory: SmallVec<[usize; 4]>,
}

impl Chooser {
    /// A chooser with its own random number generator.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            rng,
            last_index: 0,
            memory: SmallVec::new(),
        }
    }

    /// Forgets the remembered candidates, whose positions are invalid once the members change.
    pub fn reset(&mut self) {
        self.memory.clear();
    }

    /// Chooses an upstream, or none if no member may take the work.
    pub fn choose(
        &mut self,
        now: Moment,
        config: &Config,
        members: &Members,
        history: &History,
        work: &Work<'_>,
    ) -> Option<Pick> {
        let context = Context::new(now, config, members, history, work);
        let pick = self.pick_by_policy(&context)?;
        Some(context.with_cached(pick))
    }

    fn pick_by_policy(&mut self, context: &Context<'_>) -> Option<Pick> {
        match context.config.policy {
            Policy::RoundRobin => self.round_robin(context),
            Policy::Random => self.draw(context).map(|position| context.pick(position)),
            Policy::LeastOutstanding => {
                self.pick_least(context, |member| member.ledger.own().requests)
            }
            Policy::TwoChoices => self.best_sampled(context, 2, 0),
            Policy::Drill { samples, memory } => self.best_sampled(context, samples, memory),
            Policy::FullScan => {
                self.pick_least(context, |member| context.cost(member, 0).total_work)
            }
            Policy::PrefixHash => self
                .pick_home(context)
                .or_else(|| self.round_robin(context)),
            Policy::Affinity { samples, memory } => self.pick_affine(context, samples, memory),
        }
    }

    /// First member with room for the work, scanning from a random start: under load all entries
    /// look for room, and a common order would send them all to the same member.
    pub fn any_with_room(
        &mut self,
        now: Moment,
        config: &Config,
        members: &Members,
        class: Class,
        work: &Work<'_>,
    ) -> Option<Pick> {
        let history = History::new(1);
        let context = Context::new(now, config, members, &history, work);
        let count = context.candidate_count();
        if count == 0 {
            return None;
        }
        let start = self.rng.random_range(0..count);
        (0..count)
            .map(|step| context.candidate((start + step) % count))
            .find(|position| context.is_allowed(*position) && context.has_room(*position, class))
            .map(|position| context.pick(position))
    }

    /// Member with room for the work where the first token is expected earliest.
    pub fn earliest_with_room(
        &mut self,
        now: Moment,
        config: &Config,
        members: &Members,
        class: Class,
        work: &Work<'_>,
    ) -> Option<Pick> {
        let history = History::new(1);
        let context = Context::new(now, config, members, &history, work);
        let positions = (0..context.candidate_count()).map(|index| context.candidate(index));
        positions
            .filter(|position| context.is_allowed(*position) && context.has_room(*position, class))
            .map(|position| context.pick(position))
            .min_by(|a, b| a.cost.first_token.total_cmp(&b.cost.first_token))
    }

    fn round_robin(&mut self, context: &Context<'_>) -> Option<Pick> {
        let count = context.candidate_count();
        for _ in 0..count {
            self.last_index = (self.last_index + 1) % count;
            let position = context.candidate(self.last_index);
            if context.is_allowed(position) {
                return Some(context.pick(position));
            }
        }
        None
    }

    /// Draws an allowed candidate. After a few misses it scans from the last draw, so that a model
    /// loaded by few engines is still found.
    fn draw(&mut self, context: &Context<'_>) -> Option<usize> {
        let count = context.candidate_count();
        if count == 0 {
            return None;
        }
        let mut start = 0;
        for _ in 0..MAX_DRAWS {
            start = self.rng.random_range(0..count);
            let position = context.candidate(start);
            if context.is_allowed(position) {
                return Some(position);
            }
        }
        (0..count)
            .map(|step| context.candidate((start + step) % count))
            .find(|position| context.is_allowed(*position))
    }

    /// Member with the least `measure`. Ties are broken by a random start: a fixed order would
    /// send all entries to the same member.
    fn pick_least(
        &mut self,
        context: &Context<'_>,
        measure: impl Fn(&Member) -> f64,
    ) -> Option<Pick> {
        let count = context.candidate_count();
        if count == 0 {
            return None;
        }
        let start = self.rng.random_range(0..count);
        let mut best: Option<(f64, usize)> = None;
        for step in 0..count {
            let position = context.candidate((start + step) % count);
            if !context.is_allowed(position) {
                continue;
            }
            let value = measure(context.members.at(position));
            if best.is_none_or(|(least, _)| value < least) {
                best = Some((value, position));
            }
        }
        best.map(|(_, position)| context.pick(position))
    }

    fn best_sampled(
        &mut self,
        context: &Context<'_>,
        samples: usize,
        memory: usize,
    ) -> Option<Pick> {
        let mut picks: SmallVec<[Pick; 8]> = SmallVec::new();
        self.collect_candidates(context, samples, &mut picks);
        self.sort_and_remember(&mut picks, memory);
        picks.first().copied()
    }

    /// Collects random candidates and the remembered ones that are still allowed.
    fn collect_candidates(
        &mut self,
        context: &Context<'_>,
        samples: usize,
        picks: &mut SmallVec<[Pick; 8]>,
    ) {
        let remembered = std::mem::take(&mut self.memory);
        for position in remembered {
            if position < context.members.list().len() && context.is_candidate(position) {
                push_candidate(picks, context, position);
            }
        }
        for _ in 0..samples {
            if let Some(position) = self.draw(context) {
                push_candidate(picks, context, position);
            }
        }
    }

    /// Sorts the candidates, best first, and remembers the first `memory` of them.
    fn sort_and_remember(&mut self, picks: &mut SmallVec<[Pick; 8]>, memory: usize) {
        picks.sort_by(|a, b| a.cost.total_work.total_cmp(&b.cost.total_work));
        self.memory = picks
            .iter()
            .take(memory)
            .map(|pick| pick.position)
            .collect();
    }

    fn pick_affine(
        &mut self,
        context: &Context<'_>,
        samples: usize,
        memory: usize,
    ) -> Option<Pick> {
        let mut picks: SmallVec<[Pick; 8]> = SmallVec::new();
        self.collect_candidates(context, samples, &mut picks);
        self.sort_and_remember(&mut picks, memory);
        let best = picks.first().copied()?;
        let holder = context.best_holder();
        if let Some(holder) = holder
            && holder.cost.total_work <= best.cost.total_work
        {
            return Some(holder);
        }
        if holder.is_some() || context.work.prefixes.is_empty() {
            return Some(best);
        }
        let home = self.pick_home(context);
        let near = home.filter(|home| home.cost.total_work <= best.cost.total_work + HOME_SLACK_S);
        Some(near.unwrap_or(best))
    }

    /// Home of the prompt's first prefix by rendezvous hashing.
    fn pick_home(&self, context: &Context<'_>) -> Option<Pick> {
        let prefix = context.work.prefixes.first()?;
        let mut best: Option<(u64, usize)> = None;
        for index in 0..context.candidate_count() {
            let position = context.candidate(index);
            let weight = affinity::rendezvous(prefix.hash, context.members.at(position).seed);
            if best.is_none_or(|(most, _)| weight > most) && context.is_allowed(position) {
                best = Some((weight, position));
            }
        }
        best.map(|(_, position)| context.pick(position))
    }
}

fn push_candidate(picks: &mut SmallVec<[Pick; 8]>, context: &Context<'_>, position: usize) {
    if !picks.iter().any(|pick| pick.position == position) {
        picks.push(context.pick(position));
    }
}
