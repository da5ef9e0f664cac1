//! Orders engines to read prompts or to generate, as `serving::roles` plans it. Any instance may; a
//! claim in the store sees to it that only one does at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use adapter::orders::{self, Answer, CLAIM, CLAIMS};
use adapter::store::{Store, Trouble};
use clock::{Clock as _, Moment};
use http1::{Client, Failure, Patience};
use serving::engine::Changing;
use serving::roles::{Change, Changes, Planner};
use serving::turn::{self, Fence, Turns};
use serving::{Record, ServiceName};
use tokio::time::{sleep, timeout};

use crate::attempt::{self, MOST};
use crate::instance::Instance;
use crate::metrics::Ordered;

/// Pause between two looks at the split.
const LOOK: Duration = Duration::from_millis(250);
/// Pause after a claim that did not succeed.
const RETRY: Duration = Duration::from_millis(1_000);
/// Pause after an engine refused an order: it carries out another one, or has ended, which takes seconds
/// to show.
const REFUSED: Duration = Duration::from_secs(4);
/// How much longer than the instance before it an instance waits with its claim. The first one
/// needs a fraction of it, so that the others see engines change and need no call to the store.
const STAGGER: Duration = Duration::from_millis(2_500);
/// Instances that wait for each other; all further ones wait as long as the last of these.
const STAGGERED: u32 = 4;
/// Time for an engine's answer to an order.
const ANSWER: Duration = Duration::from_millis(400);
/// An order that is not acknowledged by then is given up by the kernel, so that it does not arrive
/// after another instance's.
const ENGINE: Patience = Patience {
    connect: Duration::from_millis(250),
    acknowledge: Duration::from_millis(400),
    probe: ANSWER,
    probes: 1,
};

/// Why no order may be given now.
#[derive(Debug)]
enum Denied {
    /// Another instance gave orders a moment ago.
    NotOurTurn,
    /// The store did not carry the claim out, or may have.
    Store(Trouble),
    /// Another claim came first.
    Overtaken,
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotOurTurn => f.write_str("another instance gave orders a moment ago"),
            Self::Store(trouble) => trouble.fmt(f),
            Self::Overtaken => f.write_str("another instance's claim came first"),
        }
    }
}

impl From<Trouble> for Denied {
    fn from(trouble: Trouble) -> Self {
        match trouble {
            Trouble::Moved(_) => Self::Overtaken,
            other => Self::Store(other),
        }
    }
}

/// The right to give orders, for a moment.
#[derive(Clone, Copy, Debug)]
struct Grant {
    fence: Fence,
    /// On the clock that runs on while the machine is suspended.
    until: Moment,
}

struct Orders {
    instance: Rc<Instance>,
    planners: BTreeMap<ServiceName, Planner>,
    store: Store,
    turns: Turns,
    /// Since when something is to be changed.
    due: Option<Moment>,
}

/// Plans and orders until the process is asked to end.
pub(crate) async fn run(instance: Rc<Instance>) {
    let (store, lease) = {
        let settings = instance.settings.borrow();
        (settings.store, settings.bounds.lease)
    };
    let mut orders = Orders {
        store: Store::new(store, instance.codec.clone()),
        planners: BTreeMap::new(),
        turns: Turns::new(lease),
        due: None,
        instance,
    };
    while !orders.instance.phase.is_leaving() {
        let pause = orders.look().await;
        sleep(pause).await;
    }
}

impl Orders {
    /// Looks once, and orders what is due. Gives the pause until the next look.
    async fn look(&mut self) -> Duration {
        let now = self.instance.now();
        let changes = self.plan(now);
        if changes.is_empty() {
            self.due = None;
            return LOOK;
        }
        let due = *self.due.get_or_insert(now);
        if now.saturating_sub(due) < self.patience(now) {
            return LOOK;
        }
        match self.claim().await {
            Ok(grant) => {
                self.due = None;
                if self.order_all(&changes, grant).await {
                    LOOK
                } else {
                    REFUSED
                }
            }
            Err(denied) => {
                log::info!(why:% = denied; "no orders may be given now");
                RETRY
            }
        }
    }

    fn plan(&mut self, now: Moment) -> Changes {
        // Others are not told of all work.
        if !self.instance.engines_known.get() || !self.instance.is_placing() {
            return Changes::new();
        }
        let fleet = self.instance.fleet.borrow();
        let with_stage = fleet.all().filter(|engine| engine.record.stage.is_some());
        // Entries may name services that no configuration knows; their engines are nobody's to order.
        let table = self.instance.table();
        let is_known = |name: &ServiceName| {
            let table = table.as_ref();
            table.is_some_and(|table| table.service(name).is_some())
        };
        let services = with_stage.map(|engine| engine.record.service.clone());
        let services: BTreeSet<ServiceName> = services.filter(is_known).collect();
        self.planners.retain(|name, _| services.contains(name));
        let mut changes = Changes::new();
        for service in services {
            let planner = self.planners.entry(service.clone()).or_default();
            changes.extend(planner.plan(&fleet, &service, now));
        }
        changes
    }

    /// How long this instance leaves a change to those before it in the common order.
    fn patience(&self, now: Moment) -> Duration {
        let peers = self.instance.peers.borrow();
        let before = peers.before(self.instance.order(), now);
        STAGGER * before.min(STAGGERED)
    }

    /// Claims the right to give orders.
    async fn claim(&mut self) -> Result<Grant, Denied> {
        let me = self.instance.address.to_string();
        let newest = self.store.newest(CLAIMS).await?;
        let record = newest.records.iter().find(|record| record.key == CLAIM);
        let value = record.and_then(|record| record.value.as_ref());
        let held = value.and_then(|value| match orders::Claim::read(value) {
            Ok(claim) => Some(claim),
            Err(error) => {
                log::error!(error:% = error; "a claim cannot be read; it counts as another instance's");
                None
            }
        });
        let claim = record.map(|record| turn::Claim {
            fence: record.offset,
            holder: held.as_ref().map_or("", |claim| &claim.holder),
        });
        if !self.turns.may_claim(claim, &me, self.instance.now()) {
            return Err(Denied::NotOurTurn);
        }
        let until = self.instance.clock.boot() + turn::ORDERS;
        let value = orders::Claim {
            holder: me,
            incarnation: self.instance.incarnation,
        };
        let value = value.bytes();
        let at = Some(newest.end);
        let fence = self.store.append(CLAIMS, CLAIM, &value, at).await?;
        log::info!(fence = fence; "may give orders");
        let fence = fence + 1;
        Ok(Grant { fence, until })
    }

    /// Gives the orders. Says whether no engine refused.
    async fn order_all(&mut self, changes: &Changes, grant: Grant) -> bool {
        let mut taken = true;
        for change in changes {
            // A suspended machine would send an order whose turn is long over.
            if self.instance.clock.boot() >= grant.until {
                log::info!(fence = grant.fence; "the time for orders is over");
                return taken;
            }
            let Some(engine) = attempt::record(&self.instance, &change.engine) else {
                continue;
            };
            match self.order(&engine, change, grant.fence).await {
                Some(Answer::Superseded) => return false,
                Some(Answer::Busy | Answer::Refused(_)) => taken = false,
                Some(Answer::Accepted | Answer::Holds) | None => {}
            }
        }
        taken
    }

    /// Gives one order. An engine that does not answer may carry it out, so it gets no calls.
    async fn order(&self, engine: &Record, change: &Change, fence: Fence) -> Option<Answer> {
        let changing = Changing {
            stage: change.stage,
            since: self.instance.now(),
            own: true,
        };
        let running = {
            let mut fleet = self.instance.fleet.borrow_mut();
            fleet.change(&change.engine, changing);
            fleet
                .get(&change.engine)
                .map_or(0, |engine| engine.running())
        };
        self.instance.stirred.notify_one();
        let answer = timeout(ANSWER, self.send(engine, change, fence)).await;
        let answer = answer.ok().and_then(|sent| match sent {
            Ok(answer) => Some(answer),
            Err(failure) => {
                log::info!(engine = &*engine.id, failure:% = failure; "the order failed");
                None
            }
        });
        log::info!(
            engine = &*engine.id, stage:? = change.stage, fence = fence, running = running,
            answer:? = answer;
            "ordered"
        );
        self.instance.metrics.ordered(match answer {
            None => Ordered::Unanswered,
            Some(Answer::Accepted | Answer::Holds) => Ordered::Taken,
            Some(_) => Ordered::Refused,
        });
        if answer.is_some_and(|answer| !matches!(answer, Answer::Accepted | Answer::Holds)) {
            self.instance
                .fleet
                .borrow_mut()
                .change_failed(&change.engine);
        }
        answer
    }

    async fn send(
        &self,
        engine: &Record,
        change: &Change,
        fence: Fence,
    ) -> Result<Answer, Failure> {
        let holder = self.instance.address.to_string();
        let (head, body) = orders::change(engine, change.stage, &holder, fence);
        let mut client = Client::open(engine.address, &ENGINE, &self.instance.codec).await?;
        let status = client.send(head, &body).await?.head.status.as_u16();
        client.body(MOST).await?;
        Ok(orders::answer(status))
    }
}
