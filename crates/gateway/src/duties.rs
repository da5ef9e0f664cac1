//! Performs the duties that one instance at a time has for all: changing engines' roles, reporting
//! organisations' usage, and ordering engines. Any instance may; a claim in the store ensures that
//! only one does at a time. See `docs/design/duties.md`.

use std::rc::Rc;
use std::time::Duration;

use adapter::duties::Answer;
use adapter::settings;
use adapter::store::Store;
use clock::Moment;
use serving::roles::RoleChanges;
use serving::usage::Report;
use tokio::time::sleep;

use crate::claims::{Claims, Denied, Grant};
use crate::instance::Instance;
use crate::metrics::OrderAnswer;
use crate::pool_sizes::Target;
use crate::roles::Roles;
use crate::usage::{Platform, REPORTERS};

/// Interval between checks of what is due.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed claim, or a call that was refused or not answered.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause after an engine refused an order: it is carrying out another one, or has ended, which
/// takes seconds to show.
const REFUSED_RETRY_INTERVAL: Duration = Duration::from_secs(4);
/// Additional wait of each instance, in read order, before it claims. The first needs a fraction of
/// it, so that the others see its result without a call to the store.
const STAGGER: Duration = Duration::from_millis(2_500);
/// Instances that are staggered; all further ones wait as long as the last of these.
const MAX_STAGGERED: u32 = 4;

/// Duties that are due now.
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
    /// Since when a duty has been due.
    due_since: Option<Moment>,
}

/// Performs what is due until the process is asked to end.
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
        due_since: None,
        instance,
    };
    while !duties.instance.lifecycle.is_leaving() {
        let pause = duties.step().await;
        sleep(pause).await;
    }
}

impl Duties {
    /// Performs once what is due. Returns the pause until the next step.
    async fn step(&mut self) -> Duration {
        if let Some(fence) = self.instance.claim_log.announced() {
            self.claims.note_peer_claim(fence);
        }
        if let Some(era) = self.instance.era.get() {
            self.claims.on_era(era);
        }
        let now = self.instance.now();
        let due = self.find_due(now);
        if due.is_empty() {
            self.due_since = None;
            return POLL_INTERVAL;
        }
        let since = *self.due_since.get_or_insert(now);
        if now.saturating_sub(since) < self.stagger(now) || !self.claims.wait_time().is_zero() {
            return POLL_INTERVAL;
        }
        match self.claim().await {
            Ok(grant) => {
                self.due_since = None;
                self.perform(&due, grant).await
            }
            Err(denied) => {
                log::info!(why:% = denied; "no orders may be given now");
                RETRY_INTERVAL
            }
        }
    }

    fn find_due(&mut self, now: Moment) -> Due {
        let instance = &self.instance;
        // Instances that do not place calls do not know the work of all others.
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

    /// How long this instance waits for those before it in the read order.
    fn stagger(&self, now: Moment) -> Duration {
        let peers = self.instance.peers.borrow();
        let before = peers.live_before(self.instance.order(), now);
        STAGGER * before.min(MAX_STAGGERED)
    }

    /// Claims the right to perform the duties, and fixes the reports in the claim.
    async fn claim(&mut self) -> Result<Grant, Denied> {
        let mut standing = self.claims.read_newest().await?;
        let reports = self.propose(standing.reports.take());
        let numbers = {
            let mut sizes = self.instance.claim_log.target_sizes();
            sizes.set_wishes(std::mem::take(&mut standing.wishes));
            // Peers may have announced later numbers.
            if sizes.is_empty() {
                sizes.adopt(&standing.numbers, self.instance.now());
            }
            sizes.last_ordered_counts(self.instance.now())
        };
        let grant = self.claims.claim(&standing, &reports, numbers).await?;
        self.instance.claim_log.record(grant.fence);
        if let Some(ledger) = self.instance.usage.borrow_mut().as_mut() {
            ledger.merge_fixed(reports);
        }
        Ok(grant)
    }

    /// Reports for the claim, following those that the last claim fixed.
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
        let all_reported = self.report(grant).await && self.resize(grant).await;
        let none_refused = self
            .roles
            .order_all(&self.instance, &due.changes, grant)
            .await;
        match (none_refused, all_reported) {
            (false, _) => REFUSED_RETRY_INTERVAL,
            (true, false) => RETRY_INTERVAL,
            (true, true) => POLL_INTERVAL,
        }
    }

    /// Orders engines. Returns whether the platform accepted all orders.
    async fn resize(&self, grant: Grant) -> bool {
        let instance = &self.instance;
        let Some(duties) = instance.settings.borrow().duties else {
            return true;
        };
        let name = instance.settings.borrow().instance.clone();
        let platform = platform(instance, &duties, &name, grant);
        let mut all_accepted = true;
        // Planned again, from what the previous claim says was ordered.
        let sizes = plan_sizes(instance);
        for target in &sizes {
            let answer = platform.order(target).await;
            instance.metrics.engines_ordered(metric_answer(answer));
            let mut sizes = instance.claim_log.target_sizes();
            sizes.on_answer(&target.size, answer, instance.now());
            all_accepted &= answer == Some(Answer::Taken);
        }
        all_accepted
    }

    /// Sends the fixed reports. Returns whether all were accepted.
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
            instance.metrics.usage_reported(metric_answer(answer));
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

fn plan_sizes(instance: &Instance) -> Vec<Target> {
    let duties = instance.settings.borrow().duties;
    let table = instance
        .table()
        .filter(|_| duties.is_some_and(|duties| duties.scaling));
    table.map_or_else(Vec::new, |table| {
        let fleet = instance.fleet.borrow();
        let now = instance.now();
        let knows_most_calls = instance.peers.borrow().hears_most(now);
        let mut sizes = instance.claim_log.target_sizes();
        sizes.plan(&table, &fleet, knows_most_calls, now)
    })
}

fn metric_answer(answer: Option<Answer>) -> OrderAnswer {
    match answer {
        None => OrderAnswer::Unanswered,
        Some(Answer::Taken) => OrderAnswer::Taken,
        Some(_) => OrderAnswer::Refused,
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
