//! What one instance at a time does for all: it orders engines to change what they do, reports what organisations use, and orders how
//! many engines there are. Any instance may; a claim in the store sees to it that only one does at a time. See
//! `docs/design/duties.md`.

use std::rc::Rc;
use std::time::Duration;

use adapter::duties::{Answer, EngineTarget};
use adapter::settings;
use adapter::store::Store;
use clock::Moment;
use serving::roles::RoleChanges;
use serving::scaling::Reason;
use serving::usage::Report;
use tokio::time::sleep;

use crate::claims::{Claims, Denied, Grant};
use crate::instance::Instance;
use crate::metrics::Ordered;
use crate::roles::Roles;
use crate::usage::{Platform, REPORTERS};

/// Pause between two looks at what is due.
const LOOK: Duration = Duration::from_millis(250);
/// Pause after a claim that did not succeed, or a call that was not answered or refused.
const RETRY: Duration = Duration::from_millis(1_000);
/// Pause after an engine refused an order: it carries out another one, or has ended, which takes seconds
/// to show.
const REFUSED: Duration = Duration::from_secs(4);
/// How much longer than the instance before it an instance waits with its claim. The first one
/// needs a fraction of it, so that the others see what it did and need no call to the store.
const STAGGER: Duration = Duration::from_millis(2_500);
/// Instances that wait for each other; all further ones wait as long as the last of these.
const STAGGERED: u32 = 4;

/// What is due now.
struct Due {
    changes: RoleChanges,
    reports: bool,
    sizes: bool,
}

impl Due {
    fn is_empty(&self) -> bool {
        self.changes.is_empty() && !self.reports && !self.sizes
    }
}

struct Duties {
    instance: Rc<Instance>,
    roles: Roles,
    claims: Claims,
    /// Since when something has been due.
    since: Option<Moment>,
}

/// Looks and does what is due, until the process is asked to end.
pub(crate) async fn run(instance: Rc<Instance>) {
    let (store, lease, is_first_start) = {
        let settings = instance.settings.borrow();
        (
            settings.store,
            settings.bounds.lease,
            settings.is_first_start,
        )
    };
    let claims = Claims::new(
        Store::new(store, instance.codec.clone()),
        lease,
        instance.clock,
        instance.address.to_string(),
        instance.incarnation,
        is_first_start,
    );
    let mut duties = Duties {
        roles: Roles::default(),
        claims,
        since: None,
        instance,
    };
    while !duties.instance.phase.is_leaving() {
        let pause = duties.look().await;
        sleep(pause).await;
    }
}

impl Duties {
    /// Looks once, and does what is due. Gives the pause until the next look.
    async fn look(&mut self) -> Duration {
        if let Some(fence) = self.instance.claim_log.announced() {
            self.claims.heard(fence);
        }
        if let Some(era) = self.instance.era.get() {
            self.claims.on_era(era);
        }
        let now = self.instance.now();
        let due = self.due(now);
        if due.is_empty() {
            self.since = None;
            return LOOK;
        }
        let since = *self.since.get_or_insert(now);
        if now.saturating_sub(since) < self.patience(now) || !self.claims.rests().is_zero() {
            return LOOK;
        }
        match self.claim().await {
            Ok(grant) => {
                self.since = None;
                self.perform(&due, grant).await
            }
            Err(denied) => {
                log::info!(why:% = denied; "no orders may be given now");
                RETRY
            }
        }
    }

    fn due(&mut self, now: Moment) -> Due {
        let instance = &self.instance;
        // Others are not told of all work.
        let is_synced = instance.engines_known.get() && instance.is_placing();
        if !is_synced {
            return Due {
                changes: RoleChanges::new(),
                reports: false,
                sizes: false,
            };
        }
        let unix = instance.unix();
        let is_first = {
            let peers = instance.peers.borrow();
            peers.placers_before(instance.order(), now) < REPORTERS
        };
        let mut ledger = instance.usage.borrow_mut();
        if let Some(ledger) = ledger.as_mut() {
            ledger.expire(unix);
        }
        Due {
            changes: self.roles.plan(instance, now),
            reports: is_first && ledger.as_ref().is_some_and(|ledger| ledger.is_due(unix)),
            sizes: is_first && !plan_sizes(instance).is_empty(),
        }
    }

    /// How long this instance leaves what is due to those before it in the common order.
    fn patience(&self, now: Moment) -> Duration {
        let peers = self.instance.peers.borrow();
        let before = peers.live_before(self.instance.order(), now);
        STAGGER * before.min(STAGGERED)
    }

    /// Claims the right to do it, and fixes what is to be reported with the claim.
    async fn claim(&mut self) -> Result<Grant, Denied> {
        let mut standing = self.claims.read().await?;
        let reports = self.propose(standing.reports.take());
        let numbers = {
            let mut sizes = self.instance.claim_log.target_sizes();
            sizes.wish(std::mem::take(&mut standing.wishes));
            // Later ones may have been told.
            if sizes.is_empty() {
                sizes.adopt(&standing.numbers, self.instance.now());
            }
            sizes.numbers()
        };
        let grant = self.claims.claim(&standing, &reports, numbers).await?;
        self.instance.claim_log.record(grant.fence);
        if let Some(ledger) = self.instance.usage.borrow_mut().as_mut() {
            ledger.merge_fixed(reports);
        }
        Ok(grant)
    }

    /// Reports for the claim, by those that the last one fixed.
    fn propose(&self, fixed: Option<Vec<Report>>) -> Vec<Report> {
        let unix = self.instance.unix();
        let mut ledger = self.instance.usage.borrow_mut();
        let Some(ledger) = ledger.as_mut() else {
            return fixed.unwrap_or_default();
        };
        match fixed {
            Some(fixed) => ledger.merge_fixed(fixed),
            None => ledger.fixed_reports_lost(unix),
        }
        ledger.propose(unix)
    }

    async fn perform(&mut self, due: &Due, grant: Grant) -> Duration {
        let are_taken = self.report(grant).await && self.resize(grant).await;
        let are_ordered = self
            .roles
            .order_all(&self.instance, &due.changes, grant)
            .await;
        match (are_ordered, are_taken) {
            (false, _) => REFUSED,
            (true, false) => RETRY,
            (true, true) => LOOK,
        }
    }

    /// Orders engines. Says whether all were to be had.
    async fn resize(&self, grant: Grant) -> bool {
        let instance = &self.instance;
        let Some(duties) = instance.settings.borrow().duties else {
            return true;
        };
        let name = instance.settings.borrow().instance.clone();
        let platform = platform(instance, &duties, &name, grant);
        let mut are_had = true;
        // Planned anew, by what the claim before this one says that was ordered.
        let sizes = plan_sizes(instance);
        for (size, why) in &sizes {
            let answer = platform.order(size, *why).await;
            instance.metrics.sized(counted(answer));
            let mut sizes = instance.claim_log.target_sizes();
            sizes.answered(size, answer, instance.now());
            are_had &= answer == Some(Answer::Taken);
        }
        are_had
    }

    /// Sends the reports that are fixed. Says whether all were taken.
    async fn report(&self, grant: Grant) -> bool {
        let instance = &self.instance;
        let Some(duties) = instance.settings.borrow().duties else {
            return true;
        };
        let unix = instance.unix();
        let reports: Vec<Report> = {
            let ledger = instance.usage.borrow();
            let unsent = ledger.iter().flat_map(|ledger| ledger.unsent(unix));
            unsent.cloned().collect()
        };
        let name = instance.settings.borrow().instance.clone();
        let platform = platform(instance, &duties, &name, grant);
        for report in reports {
            let answer = platform.report(&report).await;
            instance.metrics.reported(counted(answer));
            if answer != Some(Answer::Taken) {
                return false;
            }
            if let Some(ledger) = instance.usage.borrow_mut().as_mut() {
                ledger.mark_taken(report.window);
            }
        }
        true
    }
}

fn plan_sizes(instance: &Instance) -> Vec<(EngineTarget, Reason)> {
    let duties = instance.settings.borrow().duties;
    let table = instance
        .table()
        .filter(|_| duties.is_some_and(|duties| duties.scaling));
    table.map_or_else(Vec::new, |table| {
        let fleet = instance.fleet.borrow();
        instance
            .claim_log
            .target_sizes()
            .plan(&table, &fleet, instance.now())
    })
}

fn counted(answer: Option<Answer>) -> Ordered {
    match answer {
        None => Ordered::Unanswered,
        Some(Answer::Taken) => Ordered::Taken,
        Some(_) => Ordered::Refused,
    }
}

fn platform<'a>(
    instance: &'a Instance,
    duties: &settings::Duties,
    name: &'a str,
    grant: Grant,
) -> Platform<'a> {
    Platform {
        address: duties.platform,
        holder: name,
        grant,
        clock: &instance.clock,
        codec: &instance.codec,
    }
}
