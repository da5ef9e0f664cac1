//! Changed records of the store, queued for all instances.

use std::time::Duration;

use clock::Moment;
use wire::gateway::News;

use super::{Departure, Peers, Topic};

/// Times that an engine's record is sent, since datagrams are lost.
const TRANSMISSIONS: u8 = 2;
/// Interval between frames of updates, which are batched meanwhile.
pub(crate) const NEWS_INTERVAL: Duration = Duration::from_millis(350);
/// Bytes of an engine's hash in a frame.
const HASH_BYTES: usize = 4;
/// Bytes of a removed record in a frame besides its key.
const REMOVAL_BYTES: usize = 20;
/// Most bytes of updates in one frame, unless a single record is larger.
pub(crate) const MAX_NEWS_BYTES: usize = 8 * 1024;

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

    /// Whether updates may be sent now.
    pub(crate) fn is_news_due(&self, now: Moment) -> bool {
        let is_early = |last_sent: Moment| now.saturating_sub(last_sent) < NEWS_INTERVAL;
        !self.news.is_empty() && !self.news_sent.is_some_and(is_early)
    }

    /// Updates for the next frames, with at most `max_bytes` of records unless a single one is larger.
    pub(crate) fn take_news(&mut self, max_bytes: usize, now: Moment) -> Vec<Vec<News>> {
        self.news_sent = Some(now);
        let mut room = max_bytes;
        let mut frames = Vec::new();
        let mut repeated = Vec::new();
        while !self.news.is_empty() {
            let count = self.frame_length();
            let bytes: usize = self.news[..count].iter().map(|(news, _)| size(news)).sum();
            if bytes > room && !frames.is_empty() {
                break;
            }
            room = room.saturating_sub(bytes);
            let sent = self.news.drain(..count).collect::<Vec<_>>();
            frames.push(sent.iter().map(|(news, _)| news.clone()).collect());
            let remaining = sent
                .into_iter()
                .filter(|(_, transmissions)| *transmissions > 1);
            repeated.extend(remaining.map(|(news, transmissions)| (news, transmissions - 1)));
        }
        self.news.extend(repeated);
        frames
    }

    /// Number of queued updates that fit into one frame; at least one.
    fn frame_length(&self) -> usize {
        let mut bytes = 0;
        let fits = self.news.iter().take_while(|(news, _)| {
            bytes += size(news);
            bytes <= MAX_NEWS_BYTES
        });
        fits.count().max(1)
    }
}

/// Bytes of an update's record.
fn size(news: &News) -> usize {
    news.value.as_ref().map_or(0, Vec::len)
}
