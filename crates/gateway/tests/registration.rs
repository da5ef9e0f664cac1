//! How gateways that start together find each other.

mod harness;

use std::net::SocketAddr;
use std::time::Duration;

use harness::{Gateway, wait_until};
use tokio::time::sleep;

const GATEWAYS: usize = 12;

/// Guards against a line of registrations that grows with the fleet: in a start of all, those that
/// find others in the list are registered by these.
#[actix_rt::test]
async fn gateways_that_start_together_register_for_each_other() {
    let gateways = Gateway::start_first(GATEWAYS).await;
    let first = &gateways[0];
    first.configure(1, "app");
    first.register_ended_engine("app-1", "app");
    for gateway in &gateways {
        gateway.wait_until_ready(true).await;
    }
    // The topic also has records that are not about instances.
    let registered = || {
        let keys = first.store.newest("keyed.instances").into_iter();
        keys.filter(|key| key.parse::<SocketAddr>().is_ok()).count()
    };
    wait_until(async || registered() == GATEWAYS).await;
    let by_others = gateways
        .iter()
        .map(|gateway| gateway.count_log_lines("registered other instances"));
    assert!(by_others.sum::<usize>() > 0);
    // All know all, also those that registered after them.
    for gateway in &gateways {
        wait_until(async || {
            let page = gateway.metrics_page().await;
            page.lines()
                .any(|line| line == format!("tarragon_instances {GATEWAYS}"))
        })
        .await;
    }
}

/// Guards against a list that names each instance that was ever replaced, and against losing one that was only
/// stopped.
#[actix_rt::test]
async fn an_instance_that_is_gone_leaves_the_list_and_one_that_was_stopped_comes_back() {
    let gateways = Gateway::start_first(4).await;
    let first = &gateways[0];
    first.configure(1, "app");
    first.register_ended_engine("app-1", "app");
    for gateway in &gateways {
        gateway.wait_until_ready(true).await;
    }
    let listed = || {
        let keys = first.store.newest("keyed.instances");
        let listed = keys.iter().filter(|key| key.parse::<SocketAddr>().is_ok());
        listed.count()
    };
    wait_until(async || listed() == 4).await;
    gateways[2].signal("-STOP");
    gateways[3].signal("-KILL");
    wait_until(async || listed() == 2).await;
    gateways[2].signal("-CONT");
    wait_until(async || listed() == 3).await;
    for gateway in &gateways[..3] {
        wait_until(async || {
            let page = gateway.metrics_page().await;
            page.lines().any(|line| line == "tarragon_instances 3")
        })
        .await;
    }
}

/// Guards against keeping an instance for good that left the list while this one was stopped: what it had sent before
/// waited, and seemed to show that it lives.
#[actix_rt::test]
async fn an_instance_that_was_stopped_forgets_one_that_left_meanwhile() {
    // One that places calls sends its state to all. The last one on a slow link places none.
    let (gone, _app, _pool) = Gateway::start().await;
    let others = [gone.start_another(), gone.start_another()];
    let stopped = gone.start_another_on_slow_link();
    for gateway in others.iter().chain([&stopped]) {
        gateway.wait_until_ready(true).await;
    }
    let knows = async |count: usize| {
        let page = stopped.metrics_page().await;
        page.lines()
            .any(|line| line == format!("tarragon_instances {count}"))
    };
    wait_until(async || knows(4).await).await;
    stopped.signal("-STOP");
    // Some states of all others wait in its socket.
    sleep(Duration::from_secs(2)).await;
    gone.signal("-KILL");
    let is_listed = |gateway: &Gateway| {
        let keys = stopped.store.newest("keyed.instances");
        keys.contains(&gateway.mesh.to_string())
    };
    wait_until(async || !is_listed(&gone) && !is_listed(&stopped)).await;
    stopped.signal("-CONT");
    wait_until(async || is_listed(&stopped)).await;
    wait_until(async || knows(3).await).await;
}
