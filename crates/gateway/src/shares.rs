//! Exchanges organisations' usage of engines between placers; [`serving::shares`] decides.

use std::time::Duration;

use clock::Moment;
use serving::ServiceName;
use serving::organisation;
use serving::place::{Choice, Refusal};
use serving::shares::Use;
use wire::gateway::{OrganisationUse, ServiceUse};

use crate::attempt::Request;
use crate::instance::Instance;

/// Interval between log lines of a placer about contended services.
pub(crate) const LOG_INTERVAL: Duration = Duration::from_secs(3);
/// Organisations that such a line names.
const MAX_LOGGED: usize = 8;

/// The organisation that a call is for, if there is one.
pub(crate) fn organisation_of(request: &Request) -> Option<organisation::Id> {
    let organisation = request.principal.organisation();
    organisation.map(|organisation| organisation::id(&organisation.name))
}

/// Counts a call that is refused because its organisation is over its share.
pub(crate) fn note_refusal(instance: &Instance, service: &ServiceName, choice: &Choice) {
    if let Choice::Refuse {
        reason: Refusal::OverShare,
        ..
    } = choice
    {
        instance.metrics.refused_over_share(service);
    }
}

/// The organisation of a call in messages, if the configuration names it.
pub(crate) fn known_organisation(
    instance: &Instance,
    id: organisation::Id,
) -> Option<organisation::Id> {
    let table = instance.table()?;
    let directory = table.organisations.as_ref()?;
    directory.name(id).map(|_| id)
}

/// The usage that this instance has counted as a placer.
pub(crate) fn encode(uses: Vec<Use>) -> Vec<ServiceUse> {
    let encode_one = |used: Use| ServiceUse {
        service: used.service.to_string(),
        largest: used.largest.iter().map(encode_use).collect(),
        rest: used.rest,
        rest_count: used.rest_count,
    };
    uses.into_iter().map(encode_one).collect()
}

fn encode_use((organisation, cost): &(organisation::Id, f64)) -> OrganisationUse {
    #[allow(clippy::cast_possible_truncation)]
    let cost = *cost as f32;
    OrganisationUse {
        organisation: *organisation,
        cost,
    }
}

/// Merges another placer's usage. Services and organisations that this instance does not know are
/// ignored: its configuration may be older or newer.
pub(crate) fn merge_from_peer(instance: &Instance, peer: u64, uses: &[ServiceUse], now: Moment) {
    if uses.is_empty() {
        return;
    }
    let Some(table) = instance.table() else {
        return;
    };
    let Some(directory) = &table.organisations else {
        return;
    };
    let known = uses.iter().filter_map(|used| {
        let service = ServiceName::from(used.service.as_str());
        table.service(&service)?;
        let largest = used.largest.iter();
        let largest = largest.filter(|used| directory.name(used.organisation).is_some());
        Some(Use {
            service,
            largest: largest
                .map(|used| (used.organisation, f64::from(used.cost)))
                .collect(),
            rest: used.rest,
            rest_count: used.rest_count,
        })
    });
    let known: Vec<Use> = known.collect();
    let ignored = instance.fleet.borrow_mut().shares.merge(peer, &known, now);
    if ignored > 0 {
        log::warn!(ignored = ignored; "another instance announces impossible usage of organisations");
    }
}

/// Logs the contended services with the organisations over their share, and their usage in
/// milliseconds of engine time per second. Returns whether there are any.
pub(crate) fn log_contended(instance: &Instance, now: Moment) -> bool {
    let contended = instance.fleet.borrow().shares.contended(now);
    let table = instance.table();
    let directory = table
        .as_ref()
        .and_then(|table| table.organisations.as_ref());
    for contention in &contended {
        let over = contention.over.iter();
        let named = over.filter_map(|(id, usage)| Some((directory?.name(*id)?, usage)));
        let named = named.map(|(name, usage)| format!("{name}:{usage:.0}"));
        let named: Vec<String> = named.take(MAX_LOGGED).collect();
        log::info!(
            service = &*contention.service, level:% = format!("{:.0}", contention.level),
            over = contention.over.len(), organisations = named.join(",").as_str();
            "shares"
        );
    }
    !contended.is_empty()
}
