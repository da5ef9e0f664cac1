//! Which instances keep a copy of what this one remembers of the streams that it began.
//!
//! While a service has one software version, nobody needs to know where a stream began, and the instances that
//! would be asked are told nothing. Once a second version comes they are told, and the instance that began the
//! streams may be killed, frozen or cut off by then. So it copies them to a few others beforehand, which tell
//! in its place. See `docs/design/stream-versions.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use smallvec::SmallVec;

use crate::{hash, origin};

/// Instances that keep a copy.
pub const BACKUPS: usize = 2;
/// Time for which streams are gathered before they are copied. Those that began within it are lost with the
/// instance.
pub const COPY_INTERVAL: Duration = Duration::from_millis(250);
/// Time without an acknowledgement after which another backup is chosen. It leaves room for a copy that is
/// lost on the way.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest delay of a copy by which this instance may be late. In a longer one it was stopped.
const MAX_USUAL_DELAY: Duration = COPY_INTERVAL;
/// Time for which a silent instance is not chosen again.
const SILENCE_BACKOFF: Duration = Duration::from_secs(60);

/// Which streams a backup is to get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All that may still be resumed: it has none of them.
    All,
    /// Those that began since the last copy.
    New,
}

#[derive(Clone, Debug)]
struct Backup {
    address: SocketAddr,
    /// The process that acknowledged last. Another one at this address has no copy.
    incarnation: Option<u64>,
    has_all: bool,
    /// When the first copy was sent that has not been acknowledged.
    unacknowledged_since: Option<Moment>,
}

/// The backups of this instance.
#[derive(Debug, Default)]
pub struct Backups {
    chosen: SmallVec<[Backup; BACKUPS]>,
    silent_until: BTreeMap<SocketAddr, Moment>,
    copied: Option<Moment>,
}

impl Backups {
    /// Whether the time to gather streams is over.
    pub fn is_due(&self, now: Moment) -> bool {
        let copied = self.copied;
        copied.is_none_or(|copied| now.saturating_sub(copied) >= COPY_INTERVAL)
    }

    /// Whom to send which streams now, from the addresses of the other instances. Those that do not
    /// acknowledge are replaced, and those that do are kept: a change of the members moves no copies.
    pub fn recipients(
        &mut self,
        own: SocketAddr,
        others: &[SocketAddr],
        now: Moment,
    ) -> SmallVec<[(SocketAddr, Scope); BACKUPS]> {
        let due = self.copied.map_or(now, |copied| copied + COPY_INTERVAL);
        self.copied = Some(now);
        // Acknowledgements may have waited for as long as this instance was late.
        let own_delay = now.saturating_sub(due);
        if own_delay > MAX_USUAL_DELAY {
            let waiting = self.chosen.iter_mut();
            for since in waiting.filter_map(|backup| backup.unacknowledged_since.as_mut()) {
                *since += own_delay;
            }
        }
        self.silent_until.retain(|_, until| now < *until);
        let silent_until = &mut self.silent_until;
        self.chosen.retain(|backup| {
            let since = backup.unacknowledged_since;
            let is_silent =
                since.is_some_and(|since| now.saturating_sub(since) >= RESPONSE_TIMEOUT);
            if is_silent {
                silent_until.insert(backup.address, now + SILENCE_BACKOFF);
            }
            !is_silent && others.contains(&backup.address)
        });
        self.choose(own, others);
        let chosen = self.chosen.iter();
        let scopes = chosen.map(|backup| {
            let scope = if backup.has_all {
                Scope::New
            } else {
                Scope::All
            };
            (backup.address, scope)
        });
        scopes.collect()
    }

    /// Notes that a backup was sent what [`Self::recipients`] told.
    pub fn on_sent(&mut self, to: SocketAddr, now: Moment) {
        if let Some(backup) = self.backup(to) {
            backup.has_all = true;
            backup.unacknowledged_since.get_or_insert(now);
        }
    }

    /// Notes that a process acknowledges a copy.
    pub fn on_acknowledged(&mut self, from: SocketAddr, incarnation: u64) {
        if let Some(backup) = self.backup(from) {
            let before = backup.incarnation.replace(incarnation);
            backup.has_all &= before.is_none_or(|before| before == incarnation);
            backup.unacknowledged_since = None;
        }
    }

    fn backup(&mut self, address: SocketAddr) -> Option<&mut Backup> {
        let mut chosen = self.chosen.iter_mut();
        chosen.find(|backup| backup.address == address)
    }

    fn choose(&mut self, own: SocketAddr, others: &[SocketAddr]) {
        let is_free = |other: &SocketAddr| {
            !self.silent_until.contains_key(other)
                && self.chosen.iter().all(|backup| backup.address != *other)
        };
        let free = others.iter().copied().filter(is_free);
        // Each instance draws others, so that the copies are spread.
        let key = hash::hash64(&own.to_string());
        let missing = BACKUPS - self.chosen.len();
        let drawn = origin::holders(key, free, missing);
        self.chosen.extend(drawn.into_iter().map(|address| Backup {
            address,
            incarnation: None,
            has_all: false,
            unacknowledged_since: None,
        }));
    }
}
