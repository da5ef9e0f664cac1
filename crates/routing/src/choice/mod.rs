//! Choice of an upstream among the members of a pool.

mod scene;

use clock::Moment;
use rand::{RngExt, rngs::SmallRng};
use smallvec::SmallVec;

use self::scene::Scene;
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
const DRAWS: usize = 4;

/// Seconds by which the home of an unseen prefix may be worse than the best candidate: bounded
/// load, so that a popular prefix spreads instead of filling its home.
const HOME_SLACK: f64 = 0.05;

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
    pub except: &'a [Id],
}

impl<'a> Work<'a> {
    /// A whole request at one upstream.
    pub fn whole(request: &'a Request, roles: &'a [Role], except: &'a [Id]) -> Self {
        Self {
            model: request.model.as_ref(),
            prompt: request.prompt_tokens,
            output: request.output_tokens,
            prefixes: &request.prefixes,
            roles,
            except,
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
    turn: usize,
    memory: SmallVec<[usize; 4]>,
}

impl Chooser {
    /// A chooser with its own random numbers.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            rng,
            turn: 0,
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
        let scene = Scene::new(now, config, members, history, work);
        let pick = self.by_policy(&scene)?;
        Some(scene.with_cached(pick))
    }

    fn by_policy(&mut self, scene: &Scene<'_>) -> Option<Pick> {
        match scene.config.policy {
            Policy::RoundRobin => self.next(scene),
            Policy::Random => self.draw(scene).map(|position| scene.pick(position)),
            Policy::LeastOutstanding => self.least(scene, |member| member.ledger.own().requests),
            Policy::TwoChoices => self.sampled(scene, 2, 0),
            Policy::Drill { samples, memory } => self.sampled(scene, samples, memory),
            Policy::FullScan => self.least(scene, |member| scene.cost(member, 0).total_work),
            Policy::PrefixHash => self.home(scene).or_else(|| self.next(scene)),
            Policy::Affinity { samples, memory } => self.affine(scene, samples, memory),
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
        let scene = Scene::new(now, config, members, &history, work);
        let count = scene.count();
        if count == 0 {
            return None;
        }
        let start = self.rng.random_range(0..count);
        (0..count)
            .map(|step| scene.candidate((start + step) % count))
            .find(|position| scene.allows(*position) && scene.has_room(*position, class))
            .map(|position| scene.pick(position))
    }

    /// The member where the first token comes soonest, of those with room for the work.
    pub fn soonest(
        &mut self,
        now: Moment,
        config: &Config,
        members: &Members,
        class: Class,
        work: &Work<'_>,
    ) -> Option<Pick> {
        let history = History::new(1);
        let scene = Scene::new(now, config, members, &history, work);
        let positions = (0..scene.count()).map(|index| scene.candidate(index));
        positions
            .filter(|position| scene.allows(*position) && scene.has_room(*position, class))
            .map(|position| scene.pick(position))
            .min_by(|a, b| a.cost.first_token.total_cmp(&b.cost.first_token))
    }

    fn next(&mut self, scene: &Scene<'_>) -> Option<Pick> {
        let count = scene.count();
        for _ in 0..count {
            self.turn = (self.turn + 1) % count;
            let position = scene.candidate(self.turn);
            if scene.allows(position) {
                return Some(scene.pick(position));
            }
        }
        None
    }

    /// Draws one candidate that may take the work. After a few misses it walks on from the last
    /// draw, so that a model that few engines have loaded is still found.
    fn draw(&mut self, scene: &Scene<'_>) -> Option<usize> {
        let count = scene.count();
        if count == 0 {
            return None;
        }
        let mut start = 0;
        for _ in 0..DRAWS {
            start = self.rng.random_range(0..count);
            let position = scene.candidate(start);
            if scene.allows(position) {
                return Some(position);
            }
        }
        (0..count)
            .map(|step| scene.candidate((start + step) % count))
            .find(|position| scene.allows(*position))
    }

    /// The least of all by a measure, ties broken at random: a fixed order among equals would send
    /// every entry to the same one.
    fn least(&mut self, scene: &Scene<'_>, measure: impl Fn(&Member) -> f64) -> Option<Pick> {
        let count = scene.count();
        if count == 0 {
            return None;
        }
        let start = self.rng.random_range(0..count);
        let mut best: Option<(f64, usize)> = None;
        for step in 0..count {
            let position = scene.candidate((start + step) % count);
            if !scene.allows(position) {
                continue;
            }
            let value = measure(scene.members.at(position));
            if best.is_none_or(|(least, _)| value < least) {
                best = Some((value, position));
            }
        }
        best.map(|(_, position)| scene.pick(position))
    }

    fn sampled(&mut self, scene: &Scene<'_>, samples: usize, memory: usize) -> Option<Pick> {
        let mut picks: SmallVec<[Pick; 8]> = SmallVec::new();
        self.gather(scene, samples, &mut picks);
        self.remember(&mut picks, memory);
        picks.first().copied()
    }

    /// Draws candidates and adds the remembered ones that still may take work.
    fn gather(&mut self, scene: &Scene<'_>, samples: usize, picks: &mut SmallVec<[Pick; 8]>) {
        let remembered = std::mem::take(&mut self.memory);
        for position in remembered {
            if position < scene.members.list().len() && scene.ready(position) {
                push(picks, scene, position);
            }
        }
        for _ in 0..samples {
            if let Some(position) = self.draw(scene) {
                push(picks, scene, position);
            }
        }
    }

    /// Sorts the candidates, best first, and remembers the best.
    fn remember(&mut self, picks: &mut SmallVec<[Pick; 8]>, memory: usize) {
        picks.sort_by(|a, b| a.cost.total_work.total_cmp(&b.cost.total_work));
        self.memory = picks
            .iter()
            .take(memory)
            .map(|pick| pick.position)
            .collect();
    }

    fn affine(&mut self, scene: &Scene<'_>, samples: usize, memory: usize) -> Option<Pick> {
        let mut picks: SmallVec<[Pick; 8]> = SmallVec::new();
        self.gather(scene, samples, &mut picks);
        self.remember(&mut picks, memory);
        let best = picks.first().copied()?;
        let holder = scene.holder();
        if let Some(holder) = holder
            && holder.cost.total_work <= best.cost.total_work
        {
            return Some(holder);
        }
        if holder.is_some() || scene.work.prefixes.is_empty() {
            return Some(best);
        }
        let home = self.home(scene);
        let near = home.filter(|home| home.cost.total_work <= best.cost.total_work + HOME_SLACK);
        Some(near.unwrap_or(best))
    }

    /// The home of the prompt's first prefix by rendezvous hashing.
    fn home(&self, scene: &Scene<'_>) -> Option<Pick> {
        let prefix = scene.work.prefixes.first()?;
        let mut best: Option<(u64, usize)> = None;
        for index in 0..scene.count() {
            let position = scene.candidate(index);
            let weight = affinity::rendezvous(prefix.hash, scene.members.at(position).seed);
            if best.is_none_or(|(most, _)| weight > most) && scene.allows(position) {
                best = Some((weight, position));
            }
        }
        best.map(|(_, position)| scene.pick(position))
    }
}

fn push(picks: &mut SmallVec<[Pick; 8]>, scene: &Scene<'_>, position: usize) {
    if !picks.iter().any(|pick| pick.position == position) {
        picks.push(scene.pick(position));
    }
}
