//! Turns what is known of the catalogue and the fleet into what the router and the data plane use.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use catalogue::{Choice, Kind, Limits, Pool, PoolKind, Role, View};
use clock::Moment;
use routing::choice::Policy;
use routing::limit::Terms;
use routing::pool::Config;
use routing::router::Router;
use routing::upstream;

/// One-way time to an upstream in the same data centre.
const NEAR: Duration = Duration::from_micros(100);

/// One-way time to an upstream in another data centre.
const FAR: Duration = Duration::from_millis(1);

/// Seconds that the transfer of one token's KV cache takes between two engines, as long as the
/// pool's own figure is not known: 128 KiB a token over 100 Gbit/s.
const TRANSFER: f64 = 131_072.0 / 12.5e9;

/// An upstream as the entry knows it.
#[derive(Clone, Debug)]
pub struct Known {
    /// Pool that it serves.
    pub pool: String,
    /// Data centre in which it stands.
    pub data_centre: String,
    /// What the router sees of it but for the distance.
    pub view: upstream::View,
}

/// Gives the router the pools, limits and upstreams that are in force.
pub fn apply(
    now: Moment,
    router: &mut Router,
    catalogue: &View,
    known: &[Known],
    data_centre: &str,
) {
    let pools: Vec<Config> = catalogue
        .names(Kind::Pool)
        .filter_map(|name| catalogue.pool(name))
        .map(config)
        .collect();
    let mut by_pool: BTreeMap<Arc<str>, Vec<upstream::View>> = pools
        .iter()
        .map(|pool| (Arc::clone(&pool.id), Vec::new()))
        .collect();
    for upstream in known {
        if let Some(views) = by_pool.get_mut(upstream.pool.as_str()) {
            let mut view = upstream.view.clone();
            view.distance = if upstream.data_centre == data_centre {
                NEAR
            } else {
                FAR
            };
            views.push(view);
        }
    }
    router.set_pools(now, pools);
    for (pool, views) in by_pool {
        router.set_upstreams(now, &pool, views);
    }
    router.set_terms(now, terms(catalogue));
}

/// The subject under which an entry's own limits are counted; owners stand under their names.
pub fn entry_subject(entry: &str) -> Arc<str> {
    // A name of the catalogue has no colon, so that an owner cannot be taken for an entry.
    Arc::from(format!("entry:{entry}"))
}

fn config(pool: &Pool) -> Config {
    let apart = pool.span(Role::Prefill).is_some() && pool.span(Role::Decode).is_some();
    let mut config = Config::new(pool.name.as_str());
    config.policy = policy(pool.choice);
    config.queue = pool.queue_limit as usize;
    if pool.kind == PoolKind::Engine && apart {
        config.transfer = TRANSFER;
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

fn terms(catalogue: &View) -> Vec<Terms> {
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
        .map(|(subject, limits)| Terms {
            subject,
            requests: limits.requests_per_second,
            tokens: limits.tokens_per_second,
            concurrent: limits.concurrent,
        })
        .collect()
}
