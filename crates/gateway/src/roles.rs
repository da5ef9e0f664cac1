//! Orders engines to prefill or to decode, as `serving::roles` plans. [`crate::duties`] decides
//! which instance gives the orders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use adapter::orders::{self, Answer};
use clock::Moment;
use http1::{Failure, TcpTimeouts};
use serving::engine::StageChange;
use serving::roles::{Planner, RoleChange, RoleChanges};
use serving::{Record, ServiceName};
use tokio::time::timeout;

use crate::attempt::MAX_BODY_BYTES;
use crate::claims::Grant;
use crate::instance::Instance;
use crate::metrics::OrderAnswer;
use crate::placement;
use crate::{announcements, limits};

/// Time-out of an order.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// The kernel gives up an order that is not acknowledged in time, so that it does not arrive after
/// another instance's.
const ENGINE_PATIENCE: TcpTimeouts = TcpTimeouts {
    connect: Duration::from_millis(250),
    acknowledge: Duration::from_millis(400),
    probe_interval: ANSWER_TIMEOUT,
    probe_count: 1,
};

/// Planners by service.
#[derive(Default)]
pub(crate) struct Roles {
    planners: BTreeMap<ServiceName, Planner>,
}

impl Roles {
    /// Engines that should change their role now.
    pub(crate) fn plan(&mut self, instance: &Instance, now: Moment) -> RoleChanges {
        let fleet = instance.fleet.borrow();
        let with_stage = fleet.all().filter(|engine| engine.record.stage.is_some());
        // Records may name services that the configuration lacks; their engines get no orders.
        let table = instance.table();
        let is_known = |name: &ServiceName| {
            let table = table.as_ref();
            table.is_some_and(|table| table.service(name).is_some())
        };
        let services = with_stage.map(|engine| engine.record.service.clone());
        let services: BTreeSet<ServiceName> = services.filter(is_known).collect();
        self.planners.retain(|name, _| services.contains(name));
        let mut changes = RoleChanges::new();
        for service in services {
            let planner = self.planners.entry(service.clone()).or_default();
            changes.extend(planner.plan(&fleet, &service, now));
        }
        changes
    }

    /// Gives the orders. Returns whether no engine refused.
    pub(crate) async fn order_all(
        &self,
        instance: &Instance,
        changes: &RoleChanges,
        grant: Grant,
    ) -> bool {
        let mut none_refused = true;
        for change in changes {
            if !grant.is_valid(&instance.clock) {
                log::info!(fence = grant.fence; "the time for orders is over");
                return none_refused;
            }
            let Some(engine) = placement::record(instance, &change.engine) else {
                continue;
            };
            match order(instance, &engine, change, grant).await {
                Some(Answer::Superseded) => return false,
                Some(Answer::Busy | Answer::Refused(_)) => none_refused = false,
                Some(Answer::Accepted | Answer::Holds) | None => {}
            }
        }
        none_refused
    }
}

/// Gives one order. An engine that does not answer may carry it out, so it gets no calls.
async fn order(
    instance: &Instance,
    engine: &Record,
    change: &RoleChange,
    grant: Grant,
) -> Option<Answer> {
    let changing = StageChange {
        stage: change.stage,
        since: instance.now(),
        own: true,
    };
    let running = {
        let mut fleet = instance.fleet.borrow_mut();
        fleet.begin_stage_change(&change.engine, changing);
        fleet
            .get(&change.engine)
            .map_or(0, |engine| engine.running_calls())
    };
    instance.frame_due.notify_one();
    let answer = timeout(ANSWER_TIMEOUT, send(instance, engine, change, grant)).await;
    let answer = answer.ok().and_then(|sent| match sent {
        Ok(answer) => answer,
        Err(failure) => {
            log::info!(engine = &*engine.id, failure:% = failure; "the order failed");
            None
        }
    });
    log::info!(
        engine = &*engine.id, stage:? = change.stage, fence = grant.fence, running = running,
        answer:? = answer;
        "ordered"
    );
    instance.metrics.order_given(match answer {
        None => OrderAnswer::Unanswered,
        Some(Answer::Accepted | Answer::Holds) => OrderAnswer::Taken,
        Some(_) => OrderAnswer::Refused,
    });
    if answer.is_some_and(|answer| !matches!(answer, Answer::Accepted | Answer::Holds)) {
        instance
            .fleet
            .borrow_mut()
            .cancel_stage_change(&change.engine);
    }
    answer
}

/// Sends an order. Returns `None` if the claim is over once the connection is open.
async fn send(
    instance: &Instance,
    engine: &Record,
    change: &RoleChange,
    grant: Grant,
) -> Result<Option<Answer>, Failure> {
    let holder = instance.address.to_string();
    let (head, body) = orders::stage_order(engine, change.stage, &holder, grant.fence);
    let mut client = instance.connect(engine.address, &ENGINE_PATIENCE).await?;
    if !grant.is_valid(&instance.clock) {
        return Ok(None);
    }
    limits::charge(instance, &engine.id);
    let answer = client.send(head, &body).await?;
    announcements::observe_own(instance, &engine.id, &answer.head);
    let status = answer.head.status.as_u16();
    client.body(MAX_BODY_BYTES).await?;
    Ok(Some(orders::parse_answer(status)))
}
