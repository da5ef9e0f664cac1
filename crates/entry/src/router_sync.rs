//! Updates the router from the control's views.

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

/// One-way latency to an upstream in the same data centre.
const SAME_DATA_CENTRE_LATENCY: Duration = Duration::from_micros(100);

/// One-way latency to an upstream in another data centre.
const CROSS_DATA_CENTRE_LATENCY: Duration = Duration::from_millis(1);

/// Time to transfer the KV cache of one token between two engines, in seconds, until a figure of
/// the pool is known: 128 KiB per token at 100 Gbit/s.
const TRANSFER_S_PER_TOKEN: f64 = 131_072.0 / 12.5e9;

/// Applies the control's views to the router until the control stops.
pub async fn follow_views(shared: Arc<Shared>) {
    let mut views = shared.control.watch();
    let mut previous = Arc::new(View::empty());
    loop {
        let view = Arc::clone(&views.borrow_and_update());
        let data_centre = shared.settings.instance.data_centre.as_str();
        shared.dispatcher.with_router(|now, router| {
            let change = ViewChange {
                now,
                data_centre,
                policy: &shared.policy,
                previous: &previous,
                view: &view,
            };
            change.apply(router);
        });
        // From here on no request is routed by an older view, so the control may confirm that a
        // closed upstream gets no new work from this entry.
        shared.applied.store(view.sequence, Ordering::Release);
        if view.revision != previous.revision {
            shared.retain_entries(&view);
        }
        previous = view;
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// The change from one view to the next.
struct ViewChange<'a> {
    now: Moment,
    data_centre: &'a str,
    policy: &'a Overrides,
    previous: &'a View,
    view: &'a View,
}

impl ViewChange<'_> {
    fn apply(&self, router: &mut Router) {
        if self.view.revision != self.previous.revision {
            self.apply_catalogue(router);
        }
        let pools_changed = self.view.revision != self.previous.revision;
        if pools_changed || self.view.upstreams != self.previous.upstreams {
            self.apply_upstreams(router);
            self.apply_reports(router);
        }
        if self.view.peers != self.previous.peers {
            self.apply_peers(router);
        }
    }

    fn apply_catalogue(&self, router: &mut Router) {
        let Some(catalogue) = self.view.catalogue.as_deref() else {
            return;
        };
        let pools = catalogue
            .names(Kind::Pool)
            .filter_map(|name| catalogue.pool(name));
        let configs = pools.map(|pool| pool_config(pool, self.policy));
        router.set_pools(self.now, configs.collect());
        router.set_quotas(self.now, quotas(catalogue));
    }

    fn apply_upstreams(&self, router: &mut Router) {
        let Some(catalogue) = self.view.catalogue.as_deref() else {
            return;
        };
        let mut by_pool: BTreeMap<&str, Vec<upstream::View>> = catalogue
            .names(Kind::Pool)
            .map(|pool| (pool, Vec::new()))
            .collect();
        for upstream in self.view.upstreams.iter() {
            if let Some(views) = by_pool.get_mut(&*upstream.pool) {
                views.push(self.router_upstream(upstream));
            }
        }
        for (pool, views) in by_pool {
            router.set_upstreams(self.now, pool, views);
        }
    }

    fn router_upstream(&self, upstream: &Upstream) -> upstream::View {
        let models = upstream.models.iter();
        upstream::View {
            id: Arc::clone(&upstream.id),
            one_way_latency: if *upstream.data_centre == *self.data_centre {
                SAME_DATA_CENTRE_LATENCY
            } else {
                CROSS_DATA_CENTRE_LATENCY
            },
            role: upstream.role.map_or_else(Default::default, role),
            models: models.map(|model| Arc::from(model_name(model))).collect(),
            open: upstream.takes_work,
            health: upstream::Health::Up,
            up_since: upstream.up_since,
        }
    }

    fn apply_reports(&self, router: &mut Router) {
        for upstream in self.view.upstreams.iter() {
            let Some(report) = &upstream.report else {
                continue;
            };
            let known = self.previous.upstream(&upstream.id);
            let known = known.and_then(|known| known.report.as_ref());
            if known.is_none_or(|known| known.measured_at != report.measured_at) {
                router.report(&upstream.pool, &upstream.id, routing_report(report));
            }
        }
    }

    fn apply_peers(&self, router: &mut Router) {
        let ids: BTreeSet<&str> = self
            .view
            .peers
            .iter()
            .map(|peer| peer.id.as_str())
            .collect();
        router.set_peers(ids.iter().map(|id| Arc::from(*id)));
        for gone in self.previous.peers.iter() {
            if !ids.contains(gone.id.as_str()) {
                router.peer_gone(&gone.id);
            }
        }
        for peer in self.view.peers.iter() {
            let known = self.previous.peers.iter().find(|known| known.id == peer.id);
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

/// The quota subject of a catalogue entry. The subject of an owner is its name.
pub fn entry_subject(entry: &str) -> Arc<str> {
    // Names in the catalogue contain no colon, so that the subjects of owners and entries differ.
    Arc::from(format!("entry:{entry}"))
}

fn outstanding(reported: &wire::peer::Outstanding) -> Outstanding {
    Outstanding {
        upstream: Arc::from(reported.upstream.as_str()),
        load: Load {
            requests: f64::from(reported.requests),
            prefill: reported.prefill_tokens as f64,
            decode: reported.decode_tokens as f64,
        },
    }
}

fn demand(reported: &wire::peer::Demand) -> Demand {
    Demand {
        subject: Arc::from(reported.owner.as_str()),
        requests: f64::from(reported.requests),
        tokens: f64::from(reported.tokens),
        in_flight: reported.open,
    }
}

fn routing_report(report: &control::view::Report) -> upstream::Report {
    let reported = &report.content;
    let kv_total = (reported.kv_total as f64).max(1.0);
    upstream::Report {
        at: report.measured_at,
        load: Load {
            requests: f64::from(reported.running) + f64::from(reported.waiting),
            prefill: reported.prefill_tokens_waiting as f64,
            decode: reported.decode_tokens_left as f64,
        },
        waiting: reported.waiting,
        kv_used: reported.kv_used as f64 / kv_total,
        prefill_rate: reported.prefill_rate,
        decode_slots: reported.decode_slots,
        draining: reported.draining,
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

fn pool_config(pool: &Pool, overrides: &Overrides) -> Config {
    let split_roles =
        pool.role_range(Role::Prefill).is_some() && pool.role_range(Role::Decode).is_some();
    let mut config = Config::new(pool.name.as_str());
    config.policy = overrides.choice.unwrap_or_else(|| policy(pool.choice));
    config.queue_capacity = pool.queue_limit as usize;
    if pool.kind == PoolKind::Engine && split_roles && overrides.transfer != Some(false) {
        config.transfer_s_per_token = TRANSFER_S_PER_TOKEN;
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

fn quotas(catalogue: &catalogue::View) -> Vec<Quota> {
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
