//! Runs the role planners on the state of the pools.

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

use crate::fleet_state::FleetState;
use crate::order::from_role;
use crate::publisher::PeerFrames;

/// Age at which the demand of a peer is no longer counted.
const MAX_DEMAND_AGE: Duration = Duration::from_secs(5);

/// Maximum number of concurrent role changes in a pool; more have almost no benefit, see
/// `docs/design/roles.md`.
const MAX_PARALLEL_CHANGES: usize = 1;

/// Answer tokens a second of one decode slot, as assumed by `routing`.
const DECODE_TOKENS_PER_SLOT_S: f64 = 40.0;

/// Prefill and decode rates of an engine in each role relative to the mixed role, and how far both
/// are reached at once. Reports do not contain the rates of other roles, so these are derived from
/// the stand-in engine; see `docs/design/roles.md`.
const ROLE_SHAPES: [RoleShape; 3] = [
    RoleShape {
        role: Role::Mixed,
        prefill: 1.0,
        decode: 1.0,
        overlap: 0.57,
    },
    RoleShape {
        role: Role::Prefill,
        prefill: 1.26,
        decode: 0.2,
        overlap: 0.5,
    },
    RoleShape {
        role: Role::Decode,
        prefill: 0.72,
        decode: 1.0,
        overlap: 0.57,
    },
];

#[derive(Clone, Copy)]
struct RoleShape {
    role: Role,
    prefill: f64,
    decode: f64,
    overlap: f64,
}

/// State that the planners use.
pub(crate) struct RoleInputs<'a> {
    pub(crate) now: Moment,
    pub(crate) catalogue: &'a catalogue::View,
    pub(crate) authority: &'a authority::state::State,
    pub(crate) fleet: &'a FleetState,
    pub(crate) frames: &'a PeerFrames,
    /// Demand at this entry.
    pub(crate) local_demand: &'a [PoolDemand],
    /// Number of open requests of this entry at an upstream.
    pub(crate) open_requests: &'a dyn Fn(&str) -> u32,
}

/// A proposed change: the engine and its order.
pub(crate) type ProposedChange = (String, Order);

/// The role planners by pool.
#[derive(Default)]
pub(crate) struct RolePlanners {
    planners: BTreeMap<String, Planner>,
}

impl RolePlanners {
    /// Steps the planners and returns the changes that they propose, with their pools. Must be
    /// called once a second.
    pub(crate) fn step(&mut self, inputs: &RoleInputs<'_>) -> Vec<(String, ProposedChange)> {
        let pools = inputs.catalogue.names(Kind::Pool);
        let pools: Vec<&catalogue::Pool> = pools
            .filter_map(|name| inputs.catalogue.pool(name))
            .filter(|pool| pool.kind == PoolKind::Engine)
            .collect();
        self.planners
            .retain(|name, _| pools.iter().any(|pool| pool.name == *name));
        let mut proposed = Vec::new();
        for pool in pools {
            let engines = inputs.engines(&pool.name);
            let config = inputs.config(pool);
            let planner = self.planners.entry(pool.name.clone());
            let planner = planner.or_insert_with(|| Planner::new(config.clone()));
            planner.configure(config);
            let input = Input {
                demand: inputs.demand(&pool.name),
                engines: &engines,
            };
            for change in planner.step(inputs.now, &input) {
                let order = Order::SetRole(to_authority(change.role));
                proposed.push((pool.name.clone(), (change.engine.to_string(), order)));
            }
        }
        proposed
    }
}

impl RoleInputs<'_> {
    /// Demand on a pool, summed over this entry and all entries with recent frames.
    fn demand(&self, pool: &str) -> Demand {
        let frames = self.frames.pools.values();
        let fresh = frames.filter(|(at, _)| self.now.saturating_sub(*at) < MAX_DEMAND_AGE);
        let peers = fresh.flat_map(|(_, pools)| pools);
        let all = peers
            .chain(self.local_demand)
            .filter(|one| one.pool == pool);
        all.fold(Demand::default(), |sum, one| Demand {
            prefill: sum.prefill + f64::from(one.prefill),
            decode: sum.decode + f64::from(one.decode),
        })
    }

    fn engines(&self, pool: &str) -> Vec<Engine> {
        let upstreams = self.fleet.upstreams.iter();
        let listed = upstreams.filter(|one| one.pool == pool && one.listed.is_some());
        let engine = |one: &fleet::upstream::Upstream| {
            let pending = self.authority.pending_order(&one.id);
            let ordered = pending.and_then(|pending| match pending.action {
                Order::SetRole(role) => Some(from_authority(role)),
                Order::LoadModel(_) | Order::UnloadModel(_) => None,
            });
            let reported = self.fleet.report(&one.id);
            let reported = reported.map(|report| from_authority(from_role(report.content.role)));
            Some(Engine {
                id: Arc::from(one.id.as_str()),
                role: ordered.or(reported)?,
                changing: ordered.is_some(),
                eligible: one.state == State::Live && pending.is_none(),
                in_flight: self.in_flight(&one.id),
            })
        };
        listed.filter_map(engine).collect()
    }

    /// Number of requests of all entries that are open at an engine.
    fn in_flight(&self, upstream: &str) -> u32 {
        let frames = self.frames.loads.values();
        let peers = frames.flat_map(|(_, work)| work.iter());
        let there = peers.filter(|work| work.upstream == upstream);
        there.map(|work| work.requests).sum::<u32>() + (self.open_requests)(upstream)
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
            max_parallel: MAX_PARALLEL_CHANGES,
            bounds: [
                span(PoolRole::Mixed),
                span(PoolRole::Prefill),
                span(PoolRole::Decode),
            ],
            frontiers: self.frontiers(&pool.name),
        }
    }

    /// The frontiers of the engines of a pool, from their reports converted to the mixed role.
    fn frontiers(&self, pool: &str) -> Frontiers {
        let upstreams = self.fleet.upstreams.iter();
        let reports = upstreams.filter(|one| one.pool == pool);
        let reports = reports.filter_map(|one| self.fleet.report(&one.id));
        let all: Vec<&EngineReport> = reports.map(|report| &*report.content).collect();
        let prefill = mean(&all, |_| true, mixed_prefill);
        // The few slots of a prefill engine say little about its decode rate in another role.
        let decode_capable = |report: &EngineReport| report.role != platform::Role::Prefill;
        let decode =
            mean(&all, decode_capable, mixed_decode).or(mean(&all, |_| true, mixed_decode));
        let frontier = |shape: RoleShape| Frontier {
            prefill: prefill.unwrap_or(0.0) * shape.prefill,
            decode: decode.unwrap_or(0.0) * shape.decode,
            overlap: shape.overlap,
        };
        Frontiers {
            mixed: frontier(ROLE_SHAPES[0]),
            prefill: frontier(ROLE_SHAPES[1]),
            decode: frontier(ROLE_SHAPES[2]),
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

/// Prefill rate of the engine in the mixed role, in tokens a second.
fn mixed_prefill(report: &EngineReport) -> f64 {
    report.prefill_rate / shape(report).prefill
}

/// Decode rate of the engine in the mixed role, in tokens a second.
fn mixed_decode(report: &EngineReport) -> f64 {
    f64::from(report.decode_slots) * DECODE_TOKENS_PER_SLOT_S / shape(report).decode
}

fn shape(report: &EngineReport) -> RoleShape {
    let role = from_authority(from_role(report.role));
    let known = ROLE_SHAPES.into_iter().find(|shape| shape.role == role);
    known.unwrap_or(ROLE_SHAPES[0])
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
