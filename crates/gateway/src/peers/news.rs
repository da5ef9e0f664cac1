//! Records of the store that changed, to be told to all instances.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Moment;
use wire::gateway::News;

use super::{Peers, Topic};

/// Times that news of engines are told, since datagrams are lost.
const TELLINGS: u8 = 2;
/// Pause between two frames of news, which is gathered meanwhile.
const NEWS_PACE: Duration = Duration::from_millis(350);
/// Most bytes of news in one frame, unless a single record is larger.
const NEWS_BYTES: usize = 8 * 1024;
/// Instances up to which news are sent to each directly.
const DIRECT: usize = 12;

/// Groups of instances that pass news on: the first of each group gets them and passes them to the
/// rest, so that one slow link does not carry them to all.
pub(crate) fn groups(
    addresses: &[SocketAddr],
) -> impl Iterator<Item = (SocketAddr, &[SocketAddr])> {
    let size = if addresses.len() <= DIRECT {
        1
    } else {
        addresses.len().isqrt() + 1
    };
    let groups = addresses.chunks(size);
    groups.filter_map(|group| group.split_first().map(|(first, rest)| (*first, rest)))
}

impl Peers {
    /// Notes a record that changed, to be told.
    ///
    /// Of configurations only the newest is told, and not more often than [`NEWS_PACE`]: operators
    /// that edit in quick succession would else take the links of small instances from calls.
    pub(crate) fn add_news(&mut self, news: News) {
        if news.configuration {
            self.news.retain(|(known, _)| !known.configuration);
        }
        // A lost configuration shows in the versions that all tell, and is large to tell twice.
        let tellings = if news.configuration { 1 } else { TELLINGS };
        self.news.push((news, tellings));
    }

    /// Notes a record that another reader is to tell, and how far whoever has read it knows the topic.
    pub(crate) fn defer_news(&mut self, news: News, upto: u64, now: Moment) {
        self.deferred.defer(news, upto, now);
    }

    /// Takes over what the readers before `order` do not know although they have had time to read it.
    pub(crate) fn take_over(&mut self, order: u64, now: Moment) {
        let mut deferred = std::mem::take(&mut self.deferred);
        let known = |news: &News| {
            let before = self.said(Topic::of(news)).filter(|said| said.order < order);
            let fresh = before.filter(|said| said.is_fresh(now));
            fresh.map(|said| said.state.upto).max()
        };
        let due = deferred.take_due(known, now);
        self.deferred = deferred;
        for news in due {
            self.add_news(news);
        }
    }

    /// News for the next frame.
    pub(crate) fn take_news(&mut self, now: Moment) -> Vec<News> {
        let told = self.news_told;
        if told.is_some_and(|told| now.saturating_sub(told) < NEWS_PACE) || self.news.is_empty() {
            return Vec::new();
        }
        self.news_told = Some(now);
        let mut bytes = 0;
        let mut most = 0;
        for (news, _) in &self.news {
            bytes += news.value.as_ref().map_or(0, Vec::len);
            if most > 0 && bytes > NEWS_BYTES {
                break;
            }
            most += 1;
        }
        let mut told = Vec::with_capacity(most);
        for (news, tellings) in self.news.drain(..most).collect::<Vec<_>>() {
            told.push(news.clone());
            if tellings > 1 {
                self.news.push((news, tellings - 1));
            }
        }
        told
    }
}
