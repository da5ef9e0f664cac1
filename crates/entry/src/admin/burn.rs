//! `GET /admin/v1/burn`.

use std::collections::BTreeMap;

use catalogue::Kind;
use control::View;
use report::{Counters, Objective, Report};
use wire::peer::Burn;

use crate::shared::{Shared, unix_time};

/// The report of this entry, or merged over all reachable entries.
pub async fn report(shared: &Shared, merged: bool) -> Report {
    let view = shared.view();
    let objectives = objectives(&view);
    let now = unix_time(&shared.clock).as_secs();
    if !merged {
        return Report::new(now, &shared.burn(), &objectives);
    }
    let all = shared.control.merged_burn().await;
    let mut counters = Counters::new();
    for buckets in all.values() {
        counters.merge(&Burn {
            buckets: buckets.clone(),
        });
    }
    let mut report = Report::new(now, &counters, &objectives);
    report.sources = all.len();
    let missing = view.peers.iter().filter(|peer| !all.contains_key(&peer.id));
    report.missing = missing.map(|peer| peer.id.clone()).collect();
    report
}

fn objectives(view: &View) -> BTreeMap<String, Objective> {
    let Some(catalogue) = view.catalogue.as_deref() else {
        return BTreeMap::new();
    };
    catalogue
        .names(Kind::Entry)
        .filter_map(|name| {
            let objective = catalogue.entry(name)?.contract.objective;
            Some((name.to_owned(), Objective::try_from(objective).ok()?))
        })
        .collect()
}
