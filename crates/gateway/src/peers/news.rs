//! Changed records of the store, queued for all instances.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use wire::gateway::News;

use super::{Departure, Peers, Topic};

/// Times that an engine's record is sent, since datagrams are lost.
const TRANSMISSIONS: u8 = 2;
/// Interval between frames of updates, which are batched meanwhile.
const NEWS_INTERVAL: Duration = Duration::from_millis(350);
/// Bytes of an engine's hash in a frame.
const HASH_BYTES: usize = 4;
/// Bytes of a removed record in a frame besides its key.
const REMOVAL_BYTES: usize = 20;
/// Most bytes of updates in one frame, unless a single record is larger.
const MAX_NEWS_BYTES: usize = 8 * 1024;
/// Up to this many instances, updates are sent to each directly.
const MAX_DIRECT_PEERS: usize = 12;

/// Groups of instances for forwarding updates: the first of each group receives them and forwards
/// them to the rest, so that one slow link does not carry them to all.
pub(crate) fn forwarding_groups(
    addresses: &[SocketAddr],
) -> impl Iterator<Item = (SocketAddr, &[SocketAddr])> {
    let size = if addresses.len() <= MAX_DIRECT_PEERS {
        1
    } else {
        addresses.len().isqrt() + 1
    };
    let groups = addresses.chunks(size);
    groups.filter_map(|group| group.split_first().map(|(first, rest)| (*first, rest)))
}

impl Peers {
    /// Queues a changed record for sending.
    ///
    /// Of configurations only the newest is sent, and at most one per [`NEWS_INTERVAL`]: operators
    /// that edit in quick succession would otherwise take the links of small instances from calls.
    pub(crate) fn queue_news(&mut self, news: News) {
        if news.configuration {
            self.news.retain(|(known, _)| !known.configuration);
        }
        // A lost configuration shows in the versions that all announce, and is too large to send
        // twice.
        let transmissions = if news.configuration { 1 } else { TRANSMISSIONS };
        self.news.push((news, transmissions));
    }

    /// Queues an engine that takes no more calls. Unlike news, departures do not wait for the news
    /// before them.
    pub(crate) fn queue_departure(&mut self, departure: Departure, now: Moment) {
        let bytes = match &departure {
            Departure::Leaving(_) => HASH_BYTES,
            Departure::Removed(news) => REMOVAL_BYTES + news.key.len(),
        };
        self.departures.push(departure, bytes, now);
    }

    /// Time until departures are due; zero if some are.
    pub(crate) fn departures_due(&self, now: Moment) -> Option<Duration> {
        let due = self.departures.next_due()?;
        Some(due.saturating_sub(now))
    }

    /// Departures for the next frame.
    pub(crate) fn take_departures(&mut self, now: Moment) -> Vec<Departure> {
        self.departures.take(MAX_NEWS_BYTES, now)
    }

    /// Leaves a record to another reader, with the position that the topic reaches with it.
    pub(crate) fn defer_news(&mut self, news: News, upto: u64, now: Moment) {
        self.deferred.defer(news, upto, now);
    }

    /// Queues the records that the readers before `order` do not know although they have had time
    /// to read them.
    pub(crate) fn promote_deferred(&mut self, order: u64, now: Moment) {
        let mut deferred = std::mem::take(&mut self.deferred);
        let known = |news: &News| {
            let before = self
                .reader_states(Topic::of(news))
                .filter(|reader| reader.order < order);
            let fresh = before.filter(|reader| reader.is_fresh(now));
            fresh.map(|reader| reader.state.upto).max()
        };
        let due = deferred.take_due(known, now);
        self.deferred = deferred;
        for news in due {
            self.queue_news(news);
        }
    }

    /// Updates for the next frame.
    pub(crate) fn take_news(&mut self, now: Moment) -> Vec<News> {
        let last_sent = self.news_sent;
        if last_sent.is_some_and(|last_sent| now.saturating_sub(last_sent) < NEWS_INTERVAL)
            || self.news.is_empty()
        {
            return Vec::new();
        }
        self.news_sent = Some(now);
        let mut bytes = 0;
        let mut count = 0;
        for (news, _) in &self.news {
            bytes += news.value.as_ref().map_or(0, Vec::len);
            if count > 0 && bytes > MAX_NEWS_BYTES {
                break;
            }
            count += 1;
        }
        let mut batch = Vec::with_capacity(count);
        for (news, transmissions) in self.news.drain(..count).collect::<Vec<_>>() {
            batch.push(news.clone());
            if transmissions > 1 {
                self.news.push((news, transmissions - 1));
            }
        }
        batch
    }
}
