//! Feeds the planners of roles with what is known of the pools.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use authority::order::Order;
use catalogue::{Kind, PoolKind, Role as PoolRole};
use clock::Moment;
use fleet::upstream::State;
use platform::EngineReport;
use routing::plan::capacity::{Demand, Frontier, Frontiers};
use routing::plan::{self, Config, Engine, Input, Planner, RoleBounds};
use routing::upstream::Role;
use wire::peer::PoolDemand;

use crate::census::Census;
use crate::order::from_role;
use crate::publisher::Frames;

/// Age at which a peer's demand is no longer counted.
const STALE: Duration = Duration::from_secs(5);

/// Changes of roles that may be in work at once in a pool; more bring next to nothing, see
/// `docs/design/roles.md`.
const PARALLEL: usize = 1;

/// Answer tokens a second of one decode slot, as `routing` takes them.
const SLOT_RATE: f64 = 40.0;

/// What an engine reaches of its prefill and decode rates in each role, relative to a mixed one, and
/// what of both at once. Worked out from the stand-in engine, see `docs/design/roles.md`; reports do
/// not tell it of a role that an engine is not in.
const SHAPES: [Shape; 3] = [
    Shape {
        role: Role::Mixed,
        prefill: 1.0,
        decode: 1.0,
        overlap: 0.57,
    },
    Shape {
        role: Role::Prefill,
        prefill: 1.26,
        decode: 0.2,
        overlap: 0.5,
    },
    Shape {
        role: Role::Decode,
        prefill: 0.72,
        decode: 1.0,
        overlap: 0.57,
    },
];

#[derive(Clone, Copy)]
struct Shape {
    role: Role,
    prefill: f64,
    decode: f64,
    overlap: f64,
}

/// What the planners look at.
pub(crate) struct Outside<'a> {
    pub(crate) now: Moment,
    pub(crate) catalogue: &'a catalogue::View,
    pub(crate) authority: &'a authority::state::State,
    pub(crate) census: &'a Census,
    pub(crate) frames: &'a Frames,
    /// Demand at this entry.
    pub(crate) own: &'a [PoolDemand],
    /// Requests of this entry that are open at an upstream.
    pub(crate) open: &'a dyn Fn(&str) -> u32,
}

/// A change that a planner proposes.
pub(crate) type Wanted = (String, Order);

/// The planners by pool.
#[derive(Default)]
pub(crate) struct Roles {
    planners: BTreeMap<String, Planner>,
}

impl Roles {
    /// Lets the planners see the moment; gives what they propose. To be called once a second.
    pub(crate) fn step(&mut self, outside: &Outside<'_>) -> Vec<(String, Wanted)> {
        let pools = outside.catalogue.names(Kind::Pool);
        let pools: Vec<&catalogue::Pool> = pools
            .filter_map(|name| outside.catalogue.pool(name))
            .filter(|pool| pool.kind == PoolKind::Engine)
            .collect();
        self.planners
            .retain(|name, _| pools.iter().any(|pool| pool.name == *name));
        let mut wanted = Vec::new();
        for pool in pools {
            let engines = outside.engines(&pool.name);
            let config = outside.config(pool);
            let planner = self.planners.entry(pool.name.clone());
            let planner = planner.or_insert_with(|| Planner::new(config.clone()));
            planner.configure(config);
            let input = Input {
                demand: outside.demand(&pool.name),
                engines: &engines,
            };
            for change in planner.step(outside.now, &input) {
                let order = Order::SetRole(to_authority(change.role));
                wanted.push((pool.name.clone(), (change.engine.to_string(), order)));
            }
        }
        wanted
    }
}

impl Outside<'_> {
    /// What callers ask of a pool, over all entries that were heard lately.
    fn demand(&self, pool: &str) -> Demand {
        let frames = self.frames.pools.values();
        let fresh = frames.filter(|(at, _)| self.now.saturating_sub(*at) < STALE);
        let peers = fresh.flat_map(|(_, pools)| pools);
        let all = peers.chain(self.own).filter(|one| one.pool == pool);
        all.fold(Demand::default(), |sum, one| Demand {
            prefill: sum.prefill + f64::from(one.prefill),
            decode: sum.decode + f64::from(one.decode),
        })
    }

    fn engines(&self, pool: &str) -> Vec<Engine> {
        let upstreams = self.census.upstreams.iter();
        let listed = upstreams.filter(|one| one.pool == pool && one.listed.is_some());
        let engine = |one: &fleet::upstream::Upstream| {
            let pending = self.authority.pending_order(&one.id);
            let ordered = pending.and_then(|pending| match pending.action {
                Order::SetRole(role) => Some(from_authority(role)),
                Order::LoadModel(_) | Order::UnloadModel(_) => None,
            });
            let reported = self.census.report(&one.id);
            let reported = reported.map(|report| from_authority(from_role(report.content.role)));
            Some(Engine {
                id: Arc::from(one.id.as_str()),
                role: ordered.or(reported)?,
                changing: ordered.is_some(),
                eligible: one.state == State::Live && pending.is_none(),
                in_flight: self.open_at(&one.id),
            })
        };
        listed.filter_map(engine).collect()
    }

    /// Requests that all entries have open at an engine.
    fn open_at(&self, upstream: &str) -> u32 {
        let frames = self.frames.loads.values();
        let peers = frames.flat_map(|(_, work)| work.iter());
        let there = peers.filter(|work| work.upstream == upstream);
        there.map(|work| work.requests).sum::<u32>() + (self.open)(upstream)
    }

    fn config(&self, pool: &catalogue::Pool) -> Config {
        let span = |role| {
            let span = pool.role_range(role);
            span.map_or(RoleBounds { min: 0, max: 0 }, |span| RoleBounds {
                min: span.min,
                max: span.max,
            })
        };
        Config {
            kind: match pool.planner {
                catalogue::Planner::Static => plan::Kind::Static,
                catalogue::Planner::Threshold => plan::Kind::Threshold,
                catalogue::Planner::Gain => plan::Kind::Gain,
            },
            price: pool.role_change.price,
            change_duration: pool.role_change.takes,
            max_parallel: PARALLEL,
            bounds: [
                span(PoolRole::Mixed),
                span(PoolRole::Prefill),
                span(PoolRole::Decode),
            ],
            frontiers: self.frontiers(&pool.name),
        }
    }

    /// The frontiers of a pool's engines by their reports, taken back to those of a mixed engine.
    fn frontiers(&self, pool: &str) -> Frontiers {
        let upstreams = self.census.upstreams.iter();
        let reports = upstreams.filter(|one| one.pool == pool);
        let reports = reports.filter_map(|one| self.census.report(&one.id));
        let all: Vec<&EngineReport> = reports.map(|report| &*report.content).collect();
        let prefill = mean(&all, |_| true, mixed_prefill);
        // A prefill engine's few slots say little of what it would decode in another role.
        let decodes = |report: &EngineReport| report.role != platform::Role::Prefill;
        let decode = mean(&all, decodes, mixed_decode).or(mean(&all, |_| true, mixed_decode));
        let frontier = |shape: Shape| Frontier {
            prefill: prefill.unwrap_or(0.0) * shape.prefill,
            decode: decode.unwrap_or(0.0) * shape.decode,
            overlap: shape.overlap,
        };
        Frontiers {
            mixed: frontier(SHAPES[0]),
            prefill: frontier(SHAPES[1]),
            decode: frontier(SHAPES[2]),
        }
    }
}

fn mean(
    reports: &[&EngineReport],
    counts: impl Fn(&EngineReport) -> bool,
    measure: fn(&EngineReport) -> f64,
) -> Option<f64> {
    let values: Vec<f64> = reports
        .iter()
        .filter(|report| counts(report))
        .map(|report| measure(report))
        .collect();
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

/// Tokens a second that the engine would prefill in the mixed role.
fn mixed_prefill(report: &EngineReport) -> f64 {
    report.prefill_rate / shape(report).prefill
}

/// Tokens a second that it would decode in the mixed role.
fn mixed_decode(report: &EngineReport) -> f64 {
    f64::from(report.decode_slots) * SLOT_RATE / shape(report).decode
}

fn shape(report: &EngineReport) -> Shape {
    let role = from_authority(from_role(report.role));
    let known = SHAPES.into_iter().find(|shape| shape.role == role);
    known.unwrap_or(SHAPES[0])
}

fn from_authority(role: authority::order::Role) -> Role {
    match role {
        authority::order::Role::Mixed => Role::Mixed,
        authority::order::Role::Prefill => Role::Prefill,
        authority::order::Role::Decode => Role::Decode,
    }
}

fn to_authority(role: Role) -> authority::order::Role {
    match role {
        Role::Mixed => authority::order::Role::Mixed,
        Role::Prefill => authority::order::Role::Prefill,
        Role::Decode => authority::order::Role::Decode,
    }
}
