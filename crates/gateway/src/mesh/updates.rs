//! Sends changed records and engines that leave to all instances that need them, in the groups of
//! [`serving::fanout`].

use std::net::SocketAddr;
use std::rc::Rc;

use clock::Moment;
use serving::fanout;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use wire::gateway::{Frame, News};

use super::{LINK_SHARE, broadcast};
use crate::frame::{pack_address, unpack_address};
use crate::instance::Instance;
use crate::peers::{self, Departure, Peers};

/// Sends the changed records that are due.
pub(super) fn send_news(instance: &Instance, socket: &UdpSocket, now: Moment) {
    let order = instance.order();
    instance.peers.borrow_mut().promote_deferred(order, now);
    if !instance.peers.borrow().is_news_due(now) {
        return;
    }
    let holders = {
        let engines = instance.registry.borrow().count();
        instance.peers.borrow().holders(engines)
    };
    let frames = {
        let mut peers = instance.peers.borrow_mut();
        let max_bytes = news_budget(instance, &peers, &holders);
        peers.take_news(max_bytes, now)
    };
    for news in frames {
        let (configurations, engines): (Vec<News>, Vec<News>) =
            news.into_iter().partition(|news| news.configuration);
        let all = instance.peers.borrow().in_order();
        for (news, recipients) in [(configurations, all), (engines, holders.clone())] {
            if !news.is_empty() {
                let frame = Frame {
                    news,
                    ..instance.frame()
                };
                send_to_groups(socket, &frame, recipients);
            }
        }
    }
}

/// Bytes of engines' records that may be sent to their holders in one interval: they take a share of
/// the slowest link of those that forward them.
fn news_budget(instance: &Instance, peers: &Peers, holders: &[SocketAddr]) -> usize {
    let own = instance.settings.borrow().link_mbps;
    let slowest = peers.slowest_link(holders).min(own);
    let bytes_per_second = slowest * 1e6 / 8.0 * LINK_SHARE;
    #[allow(clippy::cast_precision_loss)]
    let copies = fanout::group_size(holders.len()) as f64;
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let budget = (bytes_per_second * peers::NEWS_INTERVAL.as_secs_f64() / copies) as usize;
    budget.max(peers::MAX_NEWS_BYTES)
}

/// Sends a frame to instances, which are given in the common order, through the first of each
/// forwarding group. Returns the bytes put on the link.
fn send_to_groups(socket: &UdpSocket, frame: &Frame, in_order: Vec<SocketAddr>) -> usize {
    let groups = fanout::groups(in_order, rand::random());
    let sent = groups.into_iter().map(|group| {
        let pass_to = group
            .rest
            .iter()
            .filter_map(|address| pack_address(*address));
        let frame = Frame {
            pass_to: pass_to.collect(),
            ..frame.clone()
        };
        broadcast(socket, &frame, &[group.first])
    });
    sent.sum()
}

/// Tells all instances of engines that take no more calls.
///
/// These frames wait for no others: hundreds of engines may start or be ordered down at once, and a
/// call that is sent to one that leaves is lost when the engine ends.
pub(super) async fn send_departures(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    loop {
        let due = instance.peers.borrow().departures_due(instance.now());
        let repeat = async {
            match due {
                Some(due) => sleep(due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = instance.departure_due.notified() => {}
            () = repeat => {}
        }
        loop {
            let departures = instance.peers.borrow_mut().take_departures(instance.now());
            if departures.is_empty() {
                break;
            }
            let mut frame = instance.frame();
            for departure in departures {
                match departure {
                    Departure::Leaving(engine) => frame.leaving.push(engine),
                    Departure::Removed(news) => frame.news.push(news),
                }
            }
            let all = instance.peers.borrow().in_order();
            let bytes = send_to_groups(&socket, &frame, all);
            sleep(instance.transmission_time(bytes)).await;
        }
    }
}

/// Forwards updates and departures to the rest of this instance's group.
pub(super) fn forward(socket: &UdpSocket, frame: &Frame) {
    let rest: Vec<SocketAddr> = frame
        .pass_to
        .iter()
        .map(|packed| unpack_address(*packed))
        .collect();
    let frame = Frame {
        incarnation: frame.incarnation,
        news: frame.news.clone(),
        leaving: frame.leaving.clone(),
        ..Frame::default()
    };
    broadcast(socket, &frame, &rest);
}
