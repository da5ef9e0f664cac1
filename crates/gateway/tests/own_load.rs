//! Gateways whose own link carries less than what they are sent.

mod harness;

use std::cell::RefCell;

use actix_http::Method;
use bytes::Bytes;
use futures_util::future::join_all;
use harness::{Gateway, send_call, wait_until};
use http1::Client;
use platform_standin::engine::Behaviour;
use platform_standin::{Cut, Engine, request};

/// A link on which [`LARGE_BODY`] takes over a second.
const NARROW_LINK_MBPS: u32 = 1;
const LARGE_BODY: usize = 200_000;
/// A link on which four of [`LARGEST_BODY`] take three seconds.
const MODERATE_LINK_MBPS: u32 = 10;
const LARGEST_BODY: usize = 900_000;

/// Calls that come at once, each on a connection of its own, and their size: together they take over
/// three seconds on the narrow link, and half a percent of that on a fast one.
const BURST: usize = 20;
const BURST_BODY: usize = 20_000;

const CLOSED: &str = "connections are closed unread";
const REOPENED: &str = "connections are accepted again";
const ISOLATED: &str = "no engine can be reached from here";

/// Sends a call with a body. Returns the status, or `None` if the connection was closed instead.
async fn post(caller: &mut Client, id: &str, bytes: usize) -> Option<u16> {
    let mut head = request::call("/once/", id, 20_000, &[]);
    head.method = Method::POST;
    let body = Bytes::from(vec![b'x'; bytes]);
    let answer = caller.send(head, &body).await;
    answer.ok().map(|answer| answer.head.status.as_u16())
}

/// Sends a burst. Returns how many calls were served, and how many connections were refused or closed
/// unread.
async fn send_burst(gateway: &Gateway) -> (usize, usize) {
    let calls = (0..BURST).map(async |_| {
        let mut caller = gateway.try_connect().await?;
        post(&mut caller, &gateway.fresh_id(), BURST_BODY).await
    });
    let answers = join_all(calls).await;
    let count = |status| answers.iter().filter(|answer| **answer == status).count();
    (count(Some(200)), count(None))
}

/// Sends a call on a connection of its own. Returns whether the connection may be used again, or
/// `None` if it was refused or closed unread.
async fn is_kept_after_call(gateway: &Gateway) -> Option<bool> {
    let mut caller = gateway.try_connect().await?;
    call_on(gateway, &mut caller).await
}

async fn call_on(gateway: &Gateway, caller: &mut Client) -> Option<bool> {
    assert_eq!(post(caller, &gateway.fresh_id(), 1).await?, 200);
    caller.body(1 << 20).await.expect("the response is whole");
    Some(caller.is_reusable())
}

/// Opens a connection that has served a call and may be used again.
async fn connect_kept(gateway: &Gateway) -> Client {
    let kept = RefCell::new(None);
    wait_until(async || {
        let mut caller = gateway.connect().await;
        let is_kept = call_on(gateway, &mut caller).await == Some(true);
        kept.replace(is_kept.then_some(caller));
        is_kept
    })
    .await;
    kept.into_inner().expect("it has been opened")
}

async fn closed_unread(gateway: &Gateway) -> usize {
    let page = gateway.metrics_page().await;
    let counter = r#"tarragon_connections_closed_unread_total{reason="link"} "#;
    let mut lines = page.lines();
    let line = lines.find_map(|line| line.strip_prefix(counter));
    line.map_or(0, |count| count.parse().expect("it is a number"))
}

/// Guards against reading more requests than the own link carries, whose callers then wait instead of
/// trying elsewhere, and against losing those that were read.
#[actix_rt::test]
async fn connections_beyond_what_the_link_carries_are_closed_unread() {
    let (first, app, _pool) = Gateway::start().await;
    let gateway = first.start_another_at(first.store.address, NARROW_LINK_MBPS);
    gateway.wait_until_ready(true).await;
    let mut kept = connect_kept(&gateway).await;
    let before = app.request_count("/once/");
    let (served, closed) = send_burst(&gateway).await;
    assert!(served > 0 && closed > 0, "{served} served, {closed} closed");
    assert_eq!(served + closed, BURST);
    assert_eq!(app.request_count("/once/") - before, served);
    // The kernel resets the connections that wait when the listener is closed, and counts none.
    assert!(closed_unread(&gateway).await <= closed);
    assert_eq!(gateway.count_log_lines(CLOSED), 1);
    assert!(call_on(&gateway, &mut kept).await.is_some());
    wait_until(async || is_kept_after_call(&gateway).await == Some(true)).await;
    wait_until(async || gateway.count_log_lines(REOPENED) == gateway.count_log_lines(CLOSED)).await;
}

/// Guards against callers sending their requests on connections that are closed then, which fills
/// the link in the receiving direction, and against the listener staying closed.
#[actix_rt::test]
async fn the_listener_is_closed_while_the_own_link_is_full() {
    let (first, _app, _pool) = Gateway::start().await;
    let gateway = first.start_another_at(first.store.address, NARROW_LINK_MBPS);
    gateway.wait_until_ready(true).await;
    wait_until(async || {
        send_burst(&gateway).await;
        gateway.try_connect().await.is_none()
    })
    .await;
    wait_until(async || is_kept_after_call(&gateway).await == Some(true)).await;
}

/// Guards against accepting connections while a request on a kept one fills the link.
#[actix_rt::test]
async fn a_request_on_a_kept_connection_closes_the_listener() {
    let (first, _app, _pool) = Gateway::start().await;
    let gateway = first.start_another_at(first.store.address, MODERATE_LINK_MBPS);
    gateway.wait_until_ready(true).await;
    let mut kept = connect_kept(&gateway).await;
    assert_eq!(gateway.count_log_lines(CLOSED), 0);
    let answer = post(&mut kept, &gateway.fresh_id(), LARGEST_BODY).await;
    assert_eq!(answer, Some(200));
    wait_until(async || gateway.count_log_lines(CLOSED) == 1).await;
}

/// Guards against the load staying on kept connections, which are not refused.
#[actix_rt::test]
async fn kept_connections_are_asked_to_close_while_the_own_link_is_full() {
    let (first, _app, _pool) = Gateway::start().await;
    let gateway = first.start_another_at(first.store.address, NARROW_LINK_MBPS);
    gateway.wait_until_ready(true).await;
    wait_until(async || {
        let mut kept = connect_kept(&gateway).await;
        send_burst(&gateway).await;
        call_on(&gateway, &mut kept).await == Some(false)
    })
    .await;
}

/// Guards against callers waiting a second for a connection whose request cannot be received, when
/// their next try is late too.
#[actix_rt::test]
async fn connections_that_stay_unread_are_closed_while_the_own_link_is_full() {
    let (first, _app, _pool) = Gateway::start().await;
    let gateway = first.start_another_at(first.store.address, NARROW_LINK_MBPS);
    gateway.wait_until_ready(true).await;
    let mut unread = gateway.connect().await;
    wait_until(async || is_kept_after_call(&gateway).await == Some(true)).await;
    assert!(unread.is_reusable());
    wait_until(async || {
        send_burst(&gateway).await;
        !unread.is_reusable()
    })
    .await;
}

/// Guards against sending a body to two engines over a full link, where one of them can serve the call
/// alone.
#[actix_rt::test]
async fn a_body_is_sent_once_while_the_own_link_is_full() {
    let first = Gateway::start_unconfigured().await;
    // Known before the first call: the decode engine, which answers at once, would count as quick.
    let prefill = Engine::start("pool-2").await;
    prefill.register(&first.store, "pool", "ready", Some("prefill"));
    let (first, _app, decode) = first.add_engines().await;
    let gateway = first.start_another_at(first.store.address, MODERATE_LINK_MBPS);
    gateway.wait_until_ready(true).await;
    let [mut small, large @ ..] = [
        gateway.connect().await,
        gateway.connect().await,
        gateway.connect().await,
        gateway.connect().await,
        gateway.connect().await,
    ];
    // Whether the prompt of another generation is read at an engine of its own.
    let mut is_split = async || {
        let id = gateway.fresh_id();
        let parts = format!("a{id}:40000,b{id}:10000");
        let headers = request::generation_headers("50000,20", &parts);
        let answer = send_call(&mut small, "/stream/", &id, &headers).await;
        assert_eq!((answer.status, decode.run_count(&id)), (200, 1));
        prefill.received().iter().any(|read| read.id == id)
    };
    wait_until(async || is_split().await).await;
    let bodies = large
        .into_iter()
        .map(async |mut caller| post(&mut caller, &gateway.fresh_id(), LARGEST_BODY).await);
    assert_eq!(join_all(bodies).await, [Some(200); 4]);
    assert!(!is_split().await);
}

/// Guards against an instance closing connections whose requests it can carry.
#[actix_rt::test]
async fn a_burst_within_what_the_link_carries_is_accepted() {
    let (gateway, _app, _pool) = Gateway::start().await;
    assert_eq!(send_burst(&gateway).await, (BURST, 0));
    assert_eq!(closed_unread(&gateway).await, 0);
    assert_eq!(gateway.count_log_lines(CLOSED), 0);
    assert_eq!(is_kept_after_call(&gateway).await, Some(true));
}

/// Guards against taking time-outs while the own link is full for lost paths to the engines, and
/// against overlooking lost paths once it is empty.
#[actix_rt::test]
async fn time_outs_on_a_full_own_link_are_no_evidence_of_lost_paths() {
    let (first, app, _pool) = Gateway::start().await;
    let gateway = first.start_another_at(first.store.address, NARROW_LINK_MBPS);
    gateway.wait_until_ready(true).await;
    // Leaves an idle connection to the engine.
    let [mut large, mut small] = [connect_kept(&gateway).await, connect_kept(&gateway).await];
    app.cut_off(&[gateway.ip()], Cut::SilentNew);
    app.set_behaviour(Behaviour::Hang);
    let id = gateway.fresh_id();
    let mut hanging = Box::pin(post(&mut large, &id, LARGE_BODY));
    tokio::select! {
        _ = &mut hanging => panic!("the engine does not answer"),
        () = wait_until(async || app.run_count(&id) == 1) => {}
    }
    app.set_behaviour(Behaviour::Run);
    // The idle connection is in use, and no new one opens.
    send_call(&mut small, "/once/", &gateway.fresh_id(), &[]).await;
    assert_eq!(gateway.count_log_lines(ISOLATED), 0);
    wait_until(async || {
        let mut caller = gateway.connect().await;
        post(&mut caller, &gateway.fresh_id(), 1).await;
        gateway.count_log_lines(ISOLATED) == 1
    })
    .await;
}
