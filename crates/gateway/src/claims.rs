//! Claims in the store of the right to order engines and to perform duties. [`serving::claim`]
//! decides who may claim.

use std::fmt;
use std::time::Duration;

use adapter::orders::{
    self, CLAIM_KEY, CLAIMS_TOPIC, EngineCounts, OVERRIDES_KEY, ScalingOverrides,
};
use adapter::store::{self, Era, KeyedRecord, Offset, Store, StoreError};
use clock::{Clock as _, Moment, System};
use serving::claim::{self, Claimant, Fence};
use serving::usage::Report;

/// Why no orders may be given now.
#[derive(Debug)]
pub(crate) enum Denied {
    /// Another instance gave orders a moment ago.
    NotOurTurn,
    /// The store did not append the claim, or did not confirm it.
    Store(StoreError),
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

impl From<StoreError> for Denied {
    fn from(trouble: StoreError) -> Self {
        match trouble {
            StoreError::EndMismatch(_) => Self::Overtaken,
            other => Self::Store(other),
        }
    }
}

/// The right to give orders and to perform duties for a short time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    pub(crate) fence: Fence,
    /// On the clock that includes the machine's suspensions.
    until: Moment,
}

impl Grant {
    /// Whether a call may still be sent. After a suspension, a grant may long be over.
    pub(crate) fn is_valid(&self, clock: &System) -> bool {
        clock.now_boottime() < self.until
    }
}

/// The log of claims as read at a moment when this instance may claim.
pub(crate) struct ClaimsView {
    end: Offset,
    /// Reports fixed in the newest claim; missing if it cannot be read.
    pub(crate) reports: Option<Vec<Report>>,
    /// Numbers of engines that other instances ordered last.
    pub(crate) numbers: Vec<EngineCounts>,
    /// What operators requested.
    pub(crate) wishes: ScalingOverrides,
}

/// Reads and appends claims for this instance.
pub(crate) struct Claims {
    store: Store,
    turns: Claimant,
    clock: System,
    /// Name under which other instances know this one.
    holder: String,
    incarnation: u64,
}

impl Claims {
    pub(crate) fn new(
        store: Store,
        lease: Duration,
        clock: System,
        holder: String,
        incarnation: u64,
        is_first_start: bool,
    ) -> Self {
        Self {
            store,
            turns: Claimant::new(lease, is_first_start),
            clock,
            holder,
            incarnation,
        }
    }

    /// Notes a claim that another instance announced.
    pub(crate) fn note_peer_claim(&mut self, fence: Fence) {
        self.turns.observe_claim(fence, self.clock.now());
    }

    /// Notes the store's era.
    pub(crate) fn on_era(&mut self, era: Era) {
        self.turns.observe_era(era, self.clock.now());
    }

    /// Time until another read can be of use.
    pub(crate) fn wait_time(&self) -> Duration {
        self.turns.time_to_wait(self.clock.now())
    }

    /// Reads the newest claim, and checks whether this instance may claim after it.
    pub(crate) async fn read_newest(&mut self) -> Result<ClaimsView, Denied> {
        let newest = self.store.newest(CLAIMS_TOPIC).await?;
        let record = newest.records.iter().find(|record| record.key == CLAIM_KEY);
        let value = record.and_then(|record| record.value.as_ref());
        let parsed = value.and_then(|value| match orders::Claim::from_bytes(value) {
            Ok(claim) => Some(claim),
            Err(error) => {
                log::error!(error:% = error; "a claim cannot be read; it counts as another instance's");
                None
            }
        });
        let claim = record.map(|record| claim::Claim {
            fence: fence(record.offset),
            holder: parsed.as_ref().map_or("", |claim| &claim.holder),
        });
        let now = self.clock.now();
        self.turns.observe_era(store::era(newest.end), now);
        if !self.turns.may_claim(claim, &self.holder, now) {
            return Err(Denied::NotOurTurn);
        }
        let is_unreadable = record.is_some() && parsed.is_none();
        let (reports, numbers) = parsed.map_or_else(Default::default, |claim| {
            // A claim of this process lacks what it has ordered since.
            let is_own = claim.incarnation == self.incarnation;
            let numbers = if is_own { Vec::new() } else { claim.numbers };
            (claim.reports, numbers)
        });
        let reports = reports.into_iter().map(Report::from).collect();
        Ok(ClaimsView {
            end: newest.end,
            reports: (!is_unreadable).then_some(reports),
            numbers,
            wishes: wishes(&newest.records),
        })
    }

    /// Claims, and fixes these reports in the claim: the store appends both or neither, and only if
    /// nobody has claimed since the log was read.
    pub(crate) async fn claim(
        &mut self,
        standing: &ClaimsView,
        reports: &[Report],
        numbers: Vec<EngineCounts>,
    ) -> Result<Grant, Denied> {
        let until = self.clock.now_boottime() + claim::ORDER_WINDOW;
        let claim = orders::Claim {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            reports: reports.iter().map(Into::into).collect(),
            numbers,
        };
        let value = claim.to_bytes();
        let at = Some(standing.end);
        let offset = self
            .store
            .append(CLAIMS_TOPIC, CLAIM_KEY, &value, at)
            .await?;
        let fence = fence(offset);
        log::info!(fence = fence, reports = reports.len(); "may give orders");
        Ok(Grant { fence, until })
    }
}

/// Operators' requests from the records of the log of claims.
pub(crate) fn wishes(records: &[KeyedRecord]) -> ScalingOverrides {
    let record = records.iter().find(|record| record.key == OVERRIDES_KEY);
    let Some(value) = record.and_then(|record| record.value.as_ref()) else {
        return ScalingOverrides::default();
    };
    ScalingOverrides::from_bytes(value).unwrap_or_else(|error| {
        log::error!(error:% = error; "operators' requests cannot be parsed; no engines are ordered");
        ScalingOverrides {
            held: true,
            ..ScalingOverrides::default()
        }
    })
}

/// The fencing token of a claim; tokens start at 1.
fn fence(offset: Offset) -> Fence {
    offset + 1
}
