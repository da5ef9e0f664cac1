//! Owners' limits, held over all entries without a coordinator.
//!
//! Each entry may use a share of a limit. The shares follow the demand that the entries tell each
//! other; every entry computes all shares by the same function, so that they agree as soon as they
//! have heard the same. An entry lowers its own share at once and raises it only after the others had
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

/// What an owner or an entry of the catalogue may use, over all entries of the fleet together.
#[derive(Clone, Debug, PartialEq)]
pub struct Quota {
    /// Whom it binds.
    pub subject: Subject,
    /// Requests a second.
    pub requests: Option<f64>,
    /// Prompt and answer tokens a second.
    pub tokens: Option<f64>,
    /// Requests in hand at once.
    pub concurrent: Option<u32>,
}

/// What is asked for at one entry, as told to the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// For whom.
    pub subject: Subject,
    /// Requests a second that were asked for, the refused ones included.
    pub requests: f64,
    /// Tokens a second that were asked for, the refused ones included.
    pub tokens: f64,
    /// Requests in hand.
    pub in_flight: u32,
}

/// Times on which the sharing depends.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Entries to reckon with as long as the real ones are not known.
    pub expected_entries: usize,
    /// Time without a frame after which a peer's share is frozen. Several times the spacing of the
    /// frames.
    pub silence_timeout: Duration,
    /// Time that the others get to lower their shares before an entry raises its own: longer than a
    /// frame travels.
    pub raise_delay: Duration,
}

impl Config {
    /// Time over which a peer's part is remembered, to be reserved should it fall silent. It covers
    /// the time until silence is noticed, in which this entry may have raised its own share
    /// although the peer has not heard why.
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

/// Time between two computations of the shares.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);

/// All limits at one entry.
#[derive(Clone, Debug)]
pub struct Limits {
    config: Config,
    own: peers::Id,
    /// The peers that are listed or heard, this entry not among them; none until they are known.
    peers: Option<BTreeSet<peers::Id>>,
    accounts: BTreeMap<Subject, Account>,
    shared_at: Option<Moment>,
}

impl Limits {
    /// No limits yet. `own` is the instance id of this entry.
    pub fn new(config: Config, own: impl Into<peers::Id>) -> Self {
        Self {
            config,
            own: own.into(),
            peers: None,
            accounts: BTreeMap::new(),
            shared_at: None,
        }
    }

    /// Replaces the limits. What is in hand stays counted.
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

    /// Says which peers live, this entry left out. One that is listed but was never heard keeps an
    /// equal share reserved. One that is left out is gone for sure, and its share is reclaimed.
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

    /// Takes in what a peer tells. A subject that it leaves out has no demand there.
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

    /// What to tell the peers now. The shares are computed from what was told, so that all entries
    /// compute with the same numbers.
    pub fn demand(&mut self, now: Moment) -> Vec<Demand> {
        let accounts = self.accounts.iter_mut();
        accounts
            .filter_map(|(subject, account)| account.advertise(now, subject))
            .collect()
    }

    /// Takes a request of `tokens` from all limits that bind it, or from none and says which one
    /// refuses.
    pub fn check(
        &mut self,
        now: Moment,
        subjects: &[Subject],
        tokens: u64,
    ) -> Result<(), LimitExceeded> {
        self.refresh(now);
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

    /// A request that was let in has ended: it is in hand no more, and what it used in truth
    /// replaces what was expected.
    pub fn release(&mut self, subjects: &[Subject], used: Usage) {
        for subject in subjects {
            if let Some(account) = self.accounts.get_mut(subject) {
                account.release(used);
            }
        }
    }

    /// Computes the shares anew when it is time.
    pub fn refresh(&mut self, now: Moment) {
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
