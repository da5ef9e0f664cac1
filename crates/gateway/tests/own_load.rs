//! Gateways whose own link carries less than what they are sent.

mod harness;

use actix_http::Method;
use bytes::Bytes;
use harness::{Gateway, send_call, wait_until};
use platform_standin::engine::Behaviour;
use platform_standin::{Cut, request};

/// A link on which [`LARGE_BODY`] takes over a second.
const NARROW_LINK_MBPS: u32 = 1;
const LARGE_BODY: usize = 200_000;

const ISOLATED: &str = "no engine can be reached from here";

/// Guards against taking time-outs while the own link is full for lost paths to the engines, and
/// against overlooking lost paths once it is empty.
#[actix_rt::test]
async fn time_outs_on_a_full_own_link_are_no_evidence_of_lost_paths() {
    let (first, app, _pool) = Gateway::start().await;
    let gateway = first.start_another_at(first.store.address, NARROW_LINK_MBPS);
    gateway.wait_until_ready(true).await;
    let [mut large, mut small] = [gateway.connect().await, gateway.connect().await];
    // Leaves an idle connection to the engine.
    let answer = send_call(&mut large, "/once/", &gateway.fresh_id(), &[]).await;
    assert_eq!(answer.status, 200);
    app.cut_off(&[gateway.ip()], Cut::SilentNew);
    app.set_behaviour(Behaviour::Hang);
    let id = gateway.fresh_id();
    let mut head = request::head(
        "/once/",
        &[("request-id", id.as_str()), ("request-deadline", "20000")],
    );
    head.method = Method::POST;
    let body = Bytes::from(vec![b'x'; LARGE_BODY]);
    let mut hanging = Box::pin(large.send(head, &body));
    tokio::select! {
        _ = &mut hanging => panic!("the engine does not answer"),
        () = wait_until(async || app.run_count(&id) == 1) => {}
    }
    app.set_behaviour(Behaviour::Run);
    // The idle connection is in use, and no new one opens.
    send_call(&mut small, "/once/", &gateway.fresh_id(), &[]).await;
    assert_eq!(gateway.count_log_lines(ISOLATED), 0);
    wait_until(async || {
        send_call(&mut small, "/once/", &gateway.fresh_id(), &[]).await;
        gateway.count_log_lines(ISOLATED) == 1
    })
    .await;
}
