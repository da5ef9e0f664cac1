//! Transport and counting of frames and queries.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use peer::issue::Authority;
use peer::traffic::Kind;
use peer::{Error, Event, SendError};
use support::{Process, config, confirm, connect, connected};
use wire::peer::{Empty, Load, Outstanding, Query, Reply, frame::Body, query, reply};

const QUERY_TIMEOUT: Duration = Duration::from_secs(10);

fn status_query() -> Query {
    Query {
        kind: Some(query::Kind::Status(Empty {})),
    }
}

fn status_reply(text: &str) -> Reply {
    Reply {
        kind: Some(reply::Kind::StatusJson(text.to_owned())),
    }
}

#[actix_rt::test]
async fn broadcast_uses_one_connection_for_each_pair() {
    let authority = Authority::new("test").unwrap();
    let mut a = Process::start(&authority, "a");
    let mut b = Process::start(&authority, "b");
    let mut c = Process::start(&authority, "c");
    connect(&mut [&mut a, &mut b, &mut c]).await;
    assert_eq!(a.mesh.broadcast(confirm(7)), 2);
    assert_eq!(b.wait_confirmed(7).await, "a");
    assert_eq!(c.wait_confirmed(7).await, "a");
    let peers: Vec<_> = a.mesh.status().into_iter().map(|one| one.id).collect();
    assert_eq!(peers, ["b", "c"]);
}

#[actix_rt::test]
async fn a_frame_too_large_for_a_datagram_is_sent_on_a_stream() {
    let authority = Authority::new("test").unwrap();
    let (a, mut b) = connected(&authority).await;
    let outstanding = (0..200)
        .map(|n| Outstanding {
            upstream: format!("engine-{n}"),
            ..Outstanding::default()
        })
        .collect();
    let load = Body::Load(Load { outstanding });
    assert_eq!(a.mesh.send("b", load.clone()), Ok(()));
    let received = b
        .wait_for(|event| match event {
            Event::Frame(frame) => frame.body,
            _ => None,
        })
        .await;
    assert_eq!(received, load);
}

#[actix_rt::test]
async fn a_query_gets_its_own_reply() {
    let authority = Authority::new("test").unwrap();
    let (a, mut b) = connected(&authority).await;
    // The two queries are answered in reverse order.
    let serve = async {
        let first = b.wait_for(responder).await;
        let second = b.wait_for(responder).await;
        second.send(status_reply("second"));
        first.send(status_reply("first"));
    };
    let ask = async {
        let first = a.mesh.query("b", status_query(), QUERY_TIMEOUT);
        let second = async {
            tokio::task::yield_now().await;
            a.mesh.query("b", status_query(), QUERY_TIMEOUT).await
        };
        tokio::join!(first, second)
    };
    let (_, (first, second)) = tokio::join!(serve, ask);
    assert_eq!(first.unwrap(), status_reply("first"));
    assert_eq!(second.unwrap(), status_reply("second"));
}

#[actix_rt::test]
async fn a_query_fails_when_dropped_unanswered_or_its_reply_is_too_large() {
    let authority = Authority::new("test").unwrap();
    let mut a = Process::start(&authority, "a");
    let keys = authority.issue("b").unwrap();
    let mut small = config("b", 1, keys);
    small.limits.max_reply_bytes = 8;
    let mut b = Process::start_with_config(small);
    connect(&mut [&mut a, &mut b]).await;

    let dropped = async { drop(b.wait_for(responder).await) };
    let (_, reply) = tokio::join!(dropped, a.mesh.query("b", status_query(), QUERY_TIMEOUT));
    assert_matches!(reply.unwrap_err().current_context(), Error::Broken(_));

    let large = async { b.wait_for(responder).await.send(status_reply("0123456789")) };
    let (_, reply) = tokio::join!(large, a.mesh.query("b", status_query(), QUERY_TIMEOUT));
    assert_matches!(reply.unwrap_err().current_context(), Error::Broken(_));

    let silent = a.mesh.query("b", status_query(), Duration::from_millis(50));
    assert_matches!(
        silent.await.unwrap_err().current_context(),
        Error::TimedOut(_)
    );
    let unknown = a.mesh.query("c", status_query(), QUERY_TIMEOUT).await;
    assert_matches!(
        unknown.unwrap_err().current_context(),
        Error::NotConnected(_)
    );
}

#[actix_rt::test]
async fn traffic_is_counted_by_kind_and_direction() {
    let authority = Authority::new("test").unwrap();
    let (a, mut b) = connected(&authority).await;
    for order in 1..=3 {
        a.mesh.send("b", confirm(order)).unwrap();
        b.wait_confirmed(order).await;
    }
    assert_eq!(a.mesh.send("z", confirm(4)), Err(SendError::NotConnected));
    let sent = a.mesh.traffic();
    let received = b.mesh.traffic();
    assert_eq!(sent.kinds[&Kind::Confirm].sent.messages, 3);
    assert_eq!(
        sent.kinds[&Kind::Confirm].sent,
        received.kinds[&Kind::Confirm].received
    );
    assert_eq!(sent.unsent, 1);
    let confirms = sent.kinds[&Kind::Confirm].sent;
    a.mesh.send("b", confirm(5)).unwrap();
    let later = a.mesh.traffic().kinds[&Kind::Confirm].sent;
    assert_eq!(later.since(confirms).messages, 1);
    assert!(sent.udp.sent.bytes > sent.kinds[&Kind::Confirm].sent.bytes);
}

// b dies without closing its connection, and a new b dials a. If a kept the dead connection because
// the lower id dialed it, the new b would not be heard until the idle time-out.
#[actix_rt::test]
async fn a_restarted_peer_replaces_its_dead_connection() {
    let authority = Authority::new("test").unwrap();
    let (a, _former) = connected(&authority).await;
    // The former b stays in memory and never closes, so its connection remains open at a.
    let mut successor = Process::start_with_config(config("b", 2, authority.issue("b").unwrap()));
    successor.mesh.set_members(&[a.peer()]);
    successor.wait_up("a").await;
    let wait = async {
        // Sent until it arrives, since a may add the new connection slightly later than b.
        loop {
            let _not_yet = a.mesh.send("b", confirm(9));
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        from = successor.wait_confirmed(9) => assert_eq!(from, "a"),
        () = wait => {}
    }
}

fn responder(event: Event) -> Option<peer::Responder> {
    match event {
        Event::Query { responder, .. } => Some(responder),
        _ => None,
    }
}
