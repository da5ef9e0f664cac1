//! Distributed rate limits without a coordinator.
//!
//! Each entry may use a share of a limit. Entries advertise their demand to each other and compute
//! all shares with the same function, so that they agree once they have received the same
//! advertisements. An entry lowers its share at once, but raises it only after the others have had
//! time to lower theirs. See docs/design/limits.md.

mod account;
mod bucket;
mod group;
mod share;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use clock::Moment;

use self::account::Account;
pub use self::account::{Kind, LimitExceeded, Usage};
use self::group::Group;
use crate::{decision::Reason, peers, request::Subject};

/// Limits of an owner or a catalogue entry, over all entries of the fleet together.
#[derive(Clone, Debug, PartialEq)]
pub struct Quota {
    /// Subject of the limits.
    pub subject: Subject,
    /// Requests per second.
    pub requests: Option<f64>,
    /// Prompt and answer tokens per second.
    pub tokens: Option<f64>,
    /// Concurrent requests.
    pub concurrent: Option<u32>,
}

/// Demand at one entry, as advertised to its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Subject of the demand.
    pub subject: Subject,
    /// Requests per second, refused ones included.
    pub requests: f64,
    /// Tokens per second, refused ones included.
    pub tokens: f64,
    /// Requests in flight.
    pub in_flight: u32,
}

/// Settings of the division into shares.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Entries assumed as long as the actual number is unknown.
    pub expected_entries: usize,
    /// Time without a frame after which a peer's share is frozen: several times the frame
    /// interval.
    pub silence_timeout: Duration,
    /// Time for the peers to lower their shares before an entry raises its own: longer than a
    /// frame's delivery.
    pub raise_delay: Duration,
}

impl Config {
    /// Time for which a peer's peak share is remembered, to be reserved if it falls silent. It
    /// covers the time until the silence is noticed, during which this entry may have raised its
    /// own share although the peer has not learned why.
    fn peak_memory(&self) -> Duration {
        self.silence_timeout * 2
    }
}

impl Default for Config {
    fn default() -> Self {
        Self {
            expected_entries: 8,
            silence_timeout: Duration::from_millis(1_200),
            raise_delay: Duration::from_millis(300),
        }
    }
}

/// Interval between computations of the shares.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);

/// All limits, as enforced by one entry.
#[derive(Clone, Debug)]
pub struct Limits {
    config: Config,
    own: peers::Id,
    /// Peers that are listed or have been heard, without this entry; none until they are known.
    peers: Option<BTreeSet<peers::Id>>,
    accounts: BTreeMap<Subject, Account>,
    shared_at: Option<Moment>,
}

impl Limits {
    /// Creates an instance without limits. `own` is the instance id of this entry.
    pub fn new(config: Config, own: impl Into<peers::Id>) -> Self {
        Self {
            config,
            own: own.into(),
            peers: None,
            accounts: BTreeMap::new(),
            shared_at: None,
        }
    }

    /// Replaces the limits. Requests in flight stay counted.
    pub fn set_quotas(&mut self, now: Moment, quotas: Vec<Quota>) {
        let mut old = std::mem::take(&mut self.accounts);
        for quota in quotas {
            let subject = quota.subject.clone();
            let mut account = old
                .remove(&subject)
                .unwrap_or_else(|| Account::new(now, self.initial_share()));
            account.set_quota(now, &quota);
            self.accounts.insert(subject, account);
        }
        self.shared_at = None;
    }

    /// Sets the live peers, without this entry. A listed peer that was never heard keeps an equal
    /// share reserved. A peer that is not listed is gone for certain, and its share is reclaimed.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = peers::Id>) {
        let peers: BTreeSet<peers::Id> = peers.into_iter().collect();
        for account in self.accounts.values_mut() {
            account.retain_peers(&peers);
        }
        self.peers = Some(peers);
    }

    /// Reclaims the share of a peer that is known to be gone.
    pub fn remove_peer(&mut self, peer: &str) {
        if let Some(peers) = &mut self.peers {
            peers.remove(peer);
        }
        for account in self.accounts.values_mut() {
            account.remove_peer(peer);
        }
    }

    /// Applies a peer's advertised demand. A subject that it leaves out has no demand there.
    pub fn update_peer(&mut self, now: Moment, peer: &peers::Id, demand: &[Demand]) {
        self.peers.get_or_insert_default().insert(peer.clone());
        let by_subject: BTreeMap<&Subject, &Demand> = demand
            .iter()
            .map(|demand| (&demand.subject, demand))
            .collect();
        for (subject, account) in &mut self.accounts {
            account.update_peer(now, peer, by_subject.get(subject).copied());
        }
    }

    /// Demand to advertise now. Shares are computed from the advertised values, so that all
    /// entries compute with the same numbers.
    pub fn advertise(&mut self, now: Moment) -> Vec<Demand> {
        let accounts = self.accounts.iter_mut();
        accounts
            .filter_map(|(subject, account)| account.advertise(now, subject))
            .collect()
    }

    /// Charges a request to all limits of its subjects, or to none of them if one refuses it.
    pub fn try_acquire(
        &mut self,
        now: Moment,
        subjects: &[Subject],
        tokens: u64,
    ) -> Result<(), LimitExceeded> {
        self.refresh_shares(now);
        let tokens = tokens as f64;
        for subject in subjects {
            if let Some(account) = self.accounts.get_mut(subject) {
                account.record_request(now, tokens);
            }
        }
        for subject in subjects {
            if let Some(account) = self.accounts.get_mut(subject) {
                account.check(now, tokens)?;
            }
        }
        for subject in subjects {
            if let Some(account) = self.accounts.get_mut(subject) {
                account.charge(tokens);
            }
        }
        Ok(())
    }

    /// Ends an admitted request: it is no longer in flight, and its actual usage replaces the
    /// expected one.
    pub fn release(&mut self, subjects: &[Subject], usage: Usage) {
        for subject in subjects {
            if let Some(account) = self.accounts.get_mut(subject) {
                account.release(usage);
            }
        }
    }

    /// Recomputes the shares when due.
    pub fn refresh_shares(&mut self, now: Moment) {
        let due = self
            .shared_at
            .is_none_or(|last| now.saturating_sub(last) >= SHARE_INTERVAL);
        if !due {
            return;
        }
        self.shared_at = Some(now);
        let group = Group {
            now,
            own: &self.own,
            peers: self.peers.as_ref(),
            config: &self.config,
        };
        for account in self.accounts.values_mut() {
            account.update_shares(&group);
        }
    }

    fn initial_share(&self) -> f64 {
        let count = self.peers.as_ref().map(|peers| peers.len() + 1);
        share::initial(count.unwrap_or(self.config.expected_entries))
    }
}

impl From<Kind> for Reason {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Requests => Self::RequestLimit,
            Kind::Tokens => Self::TokenLimit,
            Kind::Concurrent => Self::ConcurrencyLimit,
        }
    }
}
