//! Choice of an upstream among the members of a pool.

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

/// Tries to draw a candidate that serves the model before all are walked.
const MAX_DRAWS: usize = 4;

/// Seconds by which the home of an unseen prefix may be worse than the best candidate: bounded
/// load, so that a popular prefix spreads instead of filling its home.
const HOME_SLACK_S: f64 = 0.05;

/// How an upstream is chosen. All but [`Policy::Affinity`] are baselines to compare with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// One after the other.
    RoundRobin,
    /// Uniformly at random.
    Random,
    /// The fewest outstanding requests of this entry alone.
    LeastOutstanding,
    /// The better of two drawn at random.
    TwoChoices,
    /// The best of `samples` drawn at random and the `memory` best of the last decision (DRILL).
    Drill {
        /// Candidates drawn.
        samples: usize,
        /// Candidates remembered.
        memory: usize,
    },
    /// The best of all by the view at hand.
    FullScan,
    /// The home of the prompt's first prefix, whatever its load.
    PrefixHash,
    /// Like `Drill`, with faded views of others and the holders of the prompt's prefix as further
    /// candidates.
    Affinity {
        /// Candidates drawn.
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

/// What the choice is for.
#[derive(Clone, Copy, Debug)]
pub struct Work<'a> {
    /// Model that must be loaded.
    pub model: Option<&'a Model>,
    /// Tokens to prefill there.
    pub prompt: u32,
    /// Tokens to generate there.
    pub output: u32,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: &'a [Prefix],
    /// Roles that may do it, in no order.
    pub roles: &'a [Role],
    /// Upstreams that must not be chosen (tried before).
    pub excluded: &'a [Id],
}

impl<'a> Work<'a> {
    /// A whole request at one upstream.
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
    /// Estimated work before it there.
    pub load: Load,
}

/// A choice's own state: one decision engine, as DRILL calls it.
#[derive(Clone, Debug)]
pub struct Chooser {
    rng: SmallRng,
    last_index: usize,
    memory: SmallVec<[usize; 4]>,
}

impl Chooser {
    /// A chooser with its own random numbers.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            rng,
            last_index: 0,
            memory: SmallVec::new(),
        }
    }

    /// Forgets remembered candidates, whose positions are void once the members changed.
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
        let scene = Context::new(now, config, members, history, work);
        let pick = self.pick_by_policy(&scene)?;
        Some(scene.with_cached(pick))
    }

    fn pick_by_policy(&mut self, scene: &Context<'_>) -> Option<Pick> {
        match scene.config.policy {
            Policy::RoundRobin => self.round_robin(scene),
            Policy::Random => self.draw(scene).map(|position| scene.pick(position)),
            Policy::LeastOutstanding => {
                self.pick_least(scene, |member| member.ledger.own().requests)
            }
            Policy::TwoChoices => self.best_sampled(scene, 2, 0),
            Policy::Drill { samples, memory } => self.best_sampled(scene, samples, memory),
            Policy::FullScan => self.pick_least(scene, |member| scene.cost(member, 0).total_work),
            Policy::PrefixHash => self.pick_home(scene).or_else(|| self.round_robin(scene)),
            Policy::Affinity { samples, memory } => self.pick_affine(scene, samples, memory),
        }
    }

    /// Any member with room for the work, the first found from a random start: under load every
    /// entry looks for room, and a common order would send all to the same one.
    pub fn any_with_room(
        &mut self,
        now: Moment,
        config: &Config,
        members: &Members,
        class: Class,
        work: &Work<'_>,
    ) -> Option<Pick> {
        let history = History::new(1);
        let scene = Context::new(now, config, members, &history, work);
        let count = scene.candidate_count();
        if count == 0 {
            return None;
        }
        let start = self.rng.random_range(0..count);
        (0..count)
            .map(|step| scene.candidate((start + step) % count))
            .find(|position| scene.is_allowed(*position) && scene.has_room(*position, class))
            .map(|position| scene.pick(position))
    }

    /// The member where the first token comes soonest, of those with room for the work.
    pub fn earliest_with_room(
        &mut self,
        now: Moment,
        config: &Config,
        members: &Members,
        class: Class,
        work: &Work<'_>,
    ) -> Option<Pick> {
        let history = History::new(1);
        let scene = Context::new(now, config, members, &history, work);
        let positions = (0..scene.candidate_count()).map(|index| scene.candidate(index));
        positions
            .filter(|position| scene.is_allowed(*position) && scene.has_room(*position, class))
            .map(|position| scene.pick(position))
            .min_by(|a, b| a.cost.first_token.total_cmp(&b.cost.first_token))
    }

    fn round_robin(&mut self, scene: &Context<'_>) -> Option<Pick> {
        let count = scene.candidate_count();
        for _ in 0..count {
            self.last_index = (self.last_index + 1) % count;
            let position = scene.candidate(self.last_index);
            if scene.is_allowed(position) {
                return Some(scene.pick(position));
            }
        }
        None
    }

    /// Draws one candidate that may take the work. After a few misses it walks on from the last
    /// draw, so that a model that few engines have loaded is still found.
    fn draw(&mut self, scene: &Context<'_>) -> Option<usize> {
        let count = scene.candidate_count();
        if count == 0 {
            return None;
        }
        let mut start = 0;
        for _ in 0..MAX_DRAWS {
            start = self.rng.random_range(0..count);
            let position = scene.candidate(start);
            if scene.is_allowed(position) {
                return Some(position);
            }
        }
        (0..count)
            .map(|step| scene.candidate((start + step) % count))
            .find(|position| scene.is_allowed(*position))
    }

    /// The least of all by a measure, ties broken at random: a fixed order among equals would send
    /// every entry to the same one.
    fn pick_least(
        &mut self,
        scene: &Context<'_>,
        measure: impl Fn(&Member) -> f64,
    ) -> Option<Pick> {
        let count = scene.candidate_count();
        if count == 0 {
            return None;
        }
        let start = self.rng.random_range(0..count);
        let mut best: Option<(f64, usize)> = None;
        for step in 0..count {
            let position = scene.candidate((start + step) % count);
            if !scene.is_allowed(position) {
                continue;
            }
            let value = measure(scene.members.at(position));
            if best.is_none_or(|(least, _)| value < least) {
                best = Some((value, position));
            }
        }
        best.map(|(_, position)| scene.pick(position))
    }

    fn best_sampled(&mut self, scene: &Context<'_>, samples: usize, memory: usize) -> Option<Pick> {
        let mut picks: SmallVec<[Pick; 8]> = SmallVec::new();
        self.collect_candidates(scene, samples, &mut picks);
        self.sort_and_remember(&mut picks, memory);
        picks.first().copied()
    }

    /// Draws candidates and adds the remembered ones that still may take work.
    fn collect_candidates(
        &mut self,
        scene: &Context<'_>,
        samples: usize,
        picks: &mut SmallVec<[Pick; 8]>,
    ) {
        let remembered = std::mem::take(&mut self.memory);
        for position in remembered {
            if position < scene.members.list().len() && scene.is_candidate(position) {
                push_candidate(picks, scene, position);
            }
        }
        for _ in 0..samples {
            if let Some(position) = self.draw(scene) {
                push_candidate(picks, scene, position);
            }
        }
    }

    /// Sorts the candidates, best first, and remembers the best.
    fn sort_and_remember(&mut self, picks: &mut SmallVec<[Pick; 8]>, memory: usize) {
        picks.sort_by(|a, b| a.cost.total_work.total_cmp(&b.cost.total_work));
        self.memory = picks
            .iter()
            .take(memory)
            .map(|pick| pick.position)
            .collect();
    }

    fn pick_affine(&mut self, scene: &Context<'_>, samples: usize, memory: usize) -> Option<Pick> {
        let mut picks: SmallVec<[Pick; 8]> = SmallVec::new();
        self.collect_candidates(scene, samples, &mut picks);
        self.sort_and_remember(&mut picks, memory);
        let best = picks.first().copied()?;
        let holder = scene.best_holder();
        if let Some(holder) = holder
            && holder.cost.total_work <= best.cost.total_work
        {
            return Some(holder);
        }
        if holder.is_some() || scene.work.prefixes.is_empty() {
            return Some(best);
        }
        let home = self.pick_home(scene);
        let near = home.filter(|home| home.cost.total_work <= best.cost.total_work + HOME_SLACK_S);
        Some(near.unwrap_or(best))
    }

    /// The home of the prompt's first prefix by rendezvous hashing.
    fn pick_home(&self, scene: &Context<'_>) -> Option<Pick> {
        let prefix = scene.work.prefixes.first()?;
        let mut best: Option<(u64, usize)> = None;
        for index in 0..scene.candidate_count() {
            let position = scene.candidate(index);
            let weight = affinity::rendezvous(prefix.hash, scene.members.at(position).seed);
            if best.is_none_or(|(most, _)| weight > most) && scene.is_allowed(position) {
                best = Some((weight, position));
            }
        }
        best.map(|(_, position)| scene.pick(position))
    }
}

fn push_candidate(picks: &mut SmallVec<[Pick; 8]>, scene: &Context<'_>, position: usize) {
    if !picks.iter().any(|pick| pick.position == position) {
        picks.push(scene.pick(position));
    }
}
