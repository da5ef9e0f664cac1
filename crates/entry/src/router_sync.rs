//! Follows the control's views and turns them into what the router decides by.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use catalogue::{Choice, Kind, Limits, Pool, PoolKind, Role};
use clock::Moment;
use control::View;
use control::view::Upstream;
use routing::choice::Policy;
use routing::limit::{Demand, Quota};
use routing::load::Load;
use routing::peers::Outstanding;
use routing::pool::Config;
use routing::router::Router;
use routing::upstream;

use crate::policy::Overrides;
use crate::shared::Shared;

/// One-way time to an upstream in the same data centre.
const NEAR: Duration = Duration::from_micros(100);

/// One-way time to an upstream in another data centre.
const FAR: Duration = Duration::from_millis(1);

/// Seconds that the transfer of one token's KV cache takes between two engines, as long as the
/// pool's own figure is not known: 128 KiB a token over 100 Gbit/s.
const TRANSFER: f64 = 131_072.0 / 12.5e9;

/// Follows the views until the control stops.
pub async fn follow_views(shared: Arc<Shared>) {
    let mut views = shared.control.watch();
    let mut before = Arc::new(View::empty());
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        let data_centre = shared.settings.instance.data_centre.as_str();
        shared.dispatcher.with_router(|now, router| {
            let step = Step {
                now,
                data_centre,
                policy: &shared.policy,
                before: &before,
                view: &view,
            };
            step.apply(router);
        });
        // Only now does no request choose by an older view any more; the control may then confirm
        // that a closed upstream gets no new work from here.
        shared.applied.store(view.sequence, Ordering::Release);
        if view.revision != before.revision {
            shared.retain_entries(&view);
        }
        before = view;
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// The step from one view to the next.
struct Step<'a> {
    now: Moment,
    data_centre: &'a str,
    policy: &'a Overrides,
    before: &'a View,
    view: &'a View,
}

impl Step<'_> {
    fn apply(&self, router: &mut Router) {
        if self.view.revision != self.before.revision {
            self.catalogue(router);
        }
        let pools_changed = self.view.revision != self.before.revision;
        if pools_changed || self.view.upstreams != self.before.upstreams {
            self.upstreams(router);
            self.reports(router);
        }
        if self.view.peers != self.before.peers {
            self.peers(router);
        }
    }

    fn catalogue(&self, router: &mut Router) {
        let Some(catalogue) = self.view.catalogue.as_deref() else {
            return;
        };
        let pools = catalogue
            .names(Kind::Pool)
            .filter_map(|name| catalogue.pool(name));
        let configs = pools.map(|pool| config(pool, self.policy));
        router.set_pools(self.now, configs.collect());
        router.set_quotas(self.now, terms(catalogue));
    }

    fn upstreams(&self, router: &mut Router) {
        let Some(catalogue) = self.view.catalogue.as_deref() else {
            return;
        };
        let mut by_pool: BTreeMap<&str, Vec<upstream::View>> = catalogue
            .names(Kind::Pool)
            .map(|pool| (pool, Vec::new()))
            .collect();
        for upstream in self.view.upstreams.iter() {
            if let Some(views) = by_pool.get_mut(&*upstream.pool) {
                views.push(self.upstream(upstream));
            }
        }
        for (pool, views) in by_pool {
            router.set_upstreams(self.now, pool, views);
        }
    }

    fn upstream(&self, upstream: &Upstream) -> upstream::View {
        let models = upstream.models.iter();
        upstream::View {
            id: Arc::clone(&upstream.id),
            one_way_latency: if *upstream.data_centre == *self.data_centre {
                NEAR
            } else {
                FAR
            },
            role: upstream.role.map_or_else(Default::default, role),
            models: models.map(|model| Arc::from(model_name(model))).collect(),
            open: upstream.takes_work,
            health: upstream::Health::Up,
            up_since: upstream.up_since,
        }
    }

    fn reports(&self, router: &mut Router) {
        for upstream in self.view.upstreams.iter() {
            let Some(report) = &upstream.report else {
                continue;
            };
            let known = self.before.upstream(&upstream.id);
            let known = known.and_then(|known| known.report.as_ref());
            if known.is_none_or(|known| known.measured_at != report.measured_at) {
                router.report(&upstream.pool, &upstream.id, routing_report(report));
            }
        }
    }

    fn peers(&self, router: &mut Router) {
        let ids: BTreeSet<&str> = self
            .view
            .peers
            .iter()
            .map(|peer| peer.id.as_str())
            .collect();
        router.set_peers(ids.iter().map(|id| Arc::from(*id)));
        for gone in self.before.peers.iter() {
            if !ids.contains(gone.id.as_str()) {
                router.peer_gone(&gone.id);
            }
        }
        for peer in self.view.peers.iter() {
            let known = self.before.peers.iter().find(|known| known.id == peer.id);
            if let Some((at, load)) = &peer.load
                && known.is_none_or(|known| known.load != peer.load)
            {
                router.update_peer(
                    self.now,
                    &peer.id,
                    *at,
                    load.iter().map(outstanding).collect(),
                );
            }
            if let Some((_, demands)) = &peer.demand
                && known.is_none_or(|known| known.demand != peer.demand)
            {
                let demands: Vec<Demand> = demands.iter().map(demand).collect();
                router.update_peer_demand(self.now, &Arc::from(peer.id.as_str()), &demands);
            }
        }
    }
}

/// The subject under which an entry's own limits are counted; owners stand under their names.
pub fn entry_subject(entry: &str) -> Arc<str> {
    // A name of the catalogue has no colon, so that an owner cannot be taken for an entry.
    Arc::from(format!("entry:{entry}"))
}

fn outstanding(said: &wire::peer::Outstanding) -> Outstanding {
    Outstanding {
        upstream: Arc::from(said.upstream.as_str()),
        load: Load {
            requests: f64::from(said.requests),
            prefill: said.prefill_tokens as f64,
            decode: said.decode_tokens as f64,
        },
    }
}

fn demand(said: &wire::peer::Demand) -> Demand {
    Demand {
        subject: Arc::from(said.owner.as_str()),
        requests: f64::from(said.requests),
        tokens: f64::from(said.tokens),
        in_flight: said.open,
    }
}

fn routing_report(report: &control::view::Report) -> upstream::Report {
    let said = &report.content;
    let kv_total = (said.kv_total as f64).max(1.0);
    upstream::Report {
        at: report.measured_at,
        load: Load {
            requests: f64::from(said.running) + f64::from(said.waiting),
            prefill: said.prefill_tokens_waiting as f64,
            decode: said.decode_tokens_left as f64,
        },
        waiting: said.waiting,
        kv_used: said.kv_used as f64 / kv_total,
        prefill_rate: said.prefill_rate,
        decode_slots: said.decode_slots,
        draining: said.draining,
    }
}

fn role(role: control::view::Role) -> upstream::Role {
    match role {
        control::view::Role::Mixed => upstream::Role::Mixed,
        control::view::Role::Prefill => upstream::Role::Prefill,
        control::view::Role::Decode => upstream::Role::Decode,
    }
}

fn model_name(model: &control::view::Model) -> String {
    match model.adapter.as_str() {
        "" => format!("{}@{}", model.model, model.version),
        adapter => format!("{}@{}+{adapter}", model.model, model.version),
    }
}

fn config(pool: &Pool, overrides: &Overrides) -> Config {
    let apart = pool.role_range(Role::Prefill).is_some() && pool.role_range(Role::Decode).is_some();
    let mut config = Config::new(pool.name.as_str());
    config.policy = overrides.choice.unwrap_or_else(|| policy(pool.choice));
    config.queue_capacity = pool.queue_limit as usize;
    if pool.kind == PoolKind::Engine && apart && overrides.transfer != Some(false) {
        config.transfer_s_per_token = TRANSFER;
    }
    config
}

fn policy(choice: Choice) -> Policy {
    match choice {
        Choice::Drill => Policy::Drill {
            samples: 2,
            memory: 1,
        },
        Choice::TwoChoices => Policy::TwoChoices,
        Choice::Scan => Policy::FullScan,
        Choice::LeastOutstanding => Policy::LeastOutstanding,
        Choice::RoundRobin => Policy::RoundRobin,
        Choice::Random => Policy::Random,
        Choice::Affinity => Policy::default(),
    }
}

fn terms(catalogue: &catalogue::View) -> Vec<Quota> {
    let owners = catalogue
        .names(Kind::Owner)
        .filter_map(|name| catalogue.owner(name))
        .map(|owner| (Arc::from(owner.name.as_str()), owner.limits));
    let entries = catalogue
        .names(Kind::Entry)
        .filter_map(|name| catalogue.entry(name))
        .map(|entry| (entry_subject(&entry.name), entry.limits));
    owners
        .chain(entries)
        .filter(|(_, limits)| *limits != Limits::default())
        .map(|(subject, limits)| Quota {
            subject,
            requests: limits.requests_per_second,
            tokens: limits.tokens_per_second,
            concurrent: limits.concurrent,
        })
        .collect()
}
