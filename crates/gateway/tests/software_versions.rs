//! Streams while engines of two software versions serve side by side.

mod harness;

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use harness::streams::{EVENT_PAUSE, Received, STREAMS_PER_ROUND};
use harness::streams::{
    add_engine, record_changed_versions, resume, round, stream, wait_until_mixed,
};
use harness::{FAST_LINK_MBPS, Gateway, wait_until};
use platform_standin::engine::{Behaviour, EarlyEnd};
use platform_standin::store::{Fault, Link};
use platform_standin::{Ending, Engine, Store};
use tokio::time::sleep;

/// Two gateways, with two engines of each software version.
async fn start_mixed() -> ([Gateway; 2], Vec<Engine>) {
    let (first, _app, pool) = Gateway::start().await;
    pool.set_stream(4, EVENT_PAUSE);
    let second = first.start_another();
    second.wait_until_ready(true).await;
    let mut engines = vec![pool];
    for (id, software) in [("pool-2", "v1"), ("pool-3", "v2"), ("pool-4", "v2")] {
        engines.push(add_engine(&first, id, software).await);
    }
    wait_until_mixed(&first, "w").await;
    wait_until_mixed(&second, "x").await;
    ([first, second], engines)
}

/// Guards against resuming a broken stream at an engine of another version, within one answer.
#[actix_rt::test]
async fn a_broken_stream_resumes_only_at_its_own_software_version() {
    let (gateway, _app, pool) = Gateway::start().await;
    let other = add_engine(&gateway, "pool-2", "v2").await;
    wait_until_mixed(&gateway, "w").await;
    let breaks_off = Behaviour::EndEarly(EarlyEnd {
        events: 2,
        within_event: true,
        ending: Ending::Reset,
    });
    for engine in [&pool, &other] {
        engine.set_behaviour(breaks_off.clone());
    }
    for (_, received) in round(&gateway, "b", usize::MAX).await {
        assert!(!received.is_complete, "{received:?}");
        assert_eq!(received.versions.len(), 2, "{received:?}");
    }
    let third = add_engine(&gateway, "pool-3", "v2").await;
    third.set_behaviour(breaks_off);
    let mut number = 0;
    wait_until(async || {
        number += 1;
        let received = stream(&gateway, &format!("c{number}"), &[], usize::MAX).await;
        let is_mixed = received
            .versions
            .iter()
            .any(|version| *version != received.versions[0]);
        assert!(!is_mixed, "{received:?}");
        received.is_complete
    })
    .await;
}

/// Guards against resuming a stream at another version where its caller turns to another instance,
/// whether the first one lives or not.
#[actix_rt::test]
async fn a_stream_resumes_at_its_own_software_version_at_another_instance() {
    let ([first, second], _engines) = start_mixed().await;
    for signal in ["-CONT", "-STOP", "-KILL"] {
        let began = round(&first, &format!("s{signal}"), 2).await;
        first.signal(signal);
        let resumed = began.iter().map(async |(id, began)| {
            let received = resume(&second, &format!("r{id}"), id).await;
            assert!(received.is_complete, "{received:?}");
            assert_eq!(received.versions, [began.versions[0].as_str(); 2]);
        });
        join_all(resumed).await;
        first.signal("-CONT");
    }
}

/// Guards against refusing or mixing streams at an instance that starts between two tries of a caller.
#[actix_rt::test]
async fn a_stream_resumes_at_its_own_software_version_at_a_new_instance() {
    let ([first, _second], _engines) = start_mixed().await;
    let began = round(&first, "s", 2).await;
    let third = first.start_another();
    third.wait_until_ready(true).await;
    let resumed = began.iter().map(async |(id, began)| {
        let received = resume(&third, &format!("r{id}"), id).await;
        assert!(received.is_complete, "{received:?}");
        assert_eq!(received.versions, [began.versions[0].as_str(); 2]);
    });
    join_all(resumed).await;
}

/// Guards against losing the streams that began before the second version came.
#[actix_rt::test]
async fn streams_that_began_before_the_second_version_came_resume_at_the_first() {
    let (first, _app, pool) = Gateway::start().await;
    pool.set_stream(4, EVENT_PAUSE);
    let second = first.start_another();
    second.wait_until_ready(true).await;
    let began = round(&first, "s", 2).await;
    add_engine(&first, "pool-2", "v2").await;
    wait_until_mixed(&first, "w").await;
    wait_until_mixed(&second, "x").await;
    first.signal("-KILL");
    let resumed = began.iter().map(async |(id, _)| {
        let received = resume(&second, &format!("r{id}"), id).await;
        assert!(received.is_complete, "{received:?}");
        assert_eq!(received.versions, ["v1", "v1"]);
    });
    join_all(resumed).await;
}

/// Guards against guessing the version of a stream that no instance knows, and against refusing such
/// streams where all engines have the same version.
#[actix_rt::test]
async fn a_stream_of_unknown_version_is_refused_only_while_versions_differ() {
    let (gateway, _app, pool) = Gateway::start().await;
    let received = resume(&gateway, "u1", "lost-1").await;
    assert!(received.is_complete, "{received:?}");
    let other = add_engine(&gateway, "pool-2", "v2").await;
    wait_until_mixed(&gateway, "w").await;
    for number in 0..STREAMS_PER_ROUND {
        let id = format!("v{number}");
        let received = resume(&gateway, &id, "lost-2").await;
        assert_eq!(received.status, 503);
        assert_eq!(pool.run_count(&id) + other.run_count(&id), 0);
    }
}

/// Waits until the store knows the software versions of both services.
async fn wait_until_recorded(gateway: &Gateway) {
    wait_until(async || {
        let keys = gateway.store.newest("keyed.instances");
        let recorded = keys.iter().filter(|key| key.starts_with("versions/"));
        recorded.count() == 2
    })
    .await;
}

/// Two gateways before one engine of each service, whose versions the store knows.
async fn start_recorded() -> ([Gateway; 2], [Engine; 2]) {
    let (first, app, pool) = Gateway::start().await;
    pool.set_stream(4, EVENT_PAUSE);
    wait_until_recorded(&first).await;
    let second = first.start_another();
    second.wait_until_ready(true).await;
    ([first, second], [app, pool])
}

/// Ends the engine `pool-1` and all gateways, and starts another gateway.
async fn replace_all(gateways: [&Gateway; 2], pool: &Engine) -> Gateway {
    gateways[0].store.put("keyed.servers", "pool-1", None);
    pool.stop();
    for gateway in gateways {
        gateway.signal("-KILL");
    }
    let next = gateways[0].start_another();
    next.wait_until_ready(true).await;
    next
}

/// Guards against resuming streams at another version after all instances have ended, where its engines are
/// the only ones left.
#[actix_rt::test]
async fn a_stream_is_not_resumed_at_another_version_after_all_instances_ended() {
    let ([first, second], [_app, pool]) = start_recorded().await;
    let began = round(&first, "s", 2).await;
    let new = add_engine(&first, "pool-2", "v2").await;
    wait_until_mixed(&first, "w").await;
    let third = replace_all([&first, &second], &pool).await;
    for (id, _) in &began {
        let again = format!("r{id}");
        let received = resume(&third, &again, id).await;
        assert_eq!(received.status, 503, "{received:?}");
        assert_eq!(new.run_count(&again), 0);
    }
    let received = stream(&third, "n", &[], usize::MAX).await;
    assert!(received.is_complete, "{received:?}");
    assert_eq!(received.versions, ["v2"; 4]);
}

/// Guards against refusing streams after all instances have ended, where all engines have the same version
/// and had it before.
#[actix_rt::test]
async fn a_stream_resumes_after_all_instances_ended_where_there_is_one_version() {
    let ([first, second], [_app, pool]) = start_recorded().await;
    let began = round(&first, "s", 2).await;
    // One engine is replaced by one of the same version meanwhile.
    add_engine(&first, "pool-2", "v1").await;
    let third = replace_all([&first, &second], &pool).await;
    for (id, _) in &began {
        let received = resume(&third, &format!("r{id}"), id).await;
        assert!(received.is_complete, "{received:?}");
    }
}

/// Guards against resuming streams at another version after all instances have ended, where the store has come
/// back from a copy whose engines and record of versions both lack the one that began them.
#[actix_rt::test]
async fn a_stream_is_not_resumed_at_another_version_after_all_ended_beside_a_store_restore() {
    let ([first, second], [_app, pool]) = start_recorded().await;
    let copy = first.store.backup();
    let new = add_engine(&first, "pool-2", "v2").await;
    wait_until_mixed(&first, "w").await;
    let began = round(&first, "s", 2).await;
    for gateway in [&first, &second] {
        gateway.signal("-KILL");
    }
    first.store.restore(copy);
    let third = first.start_another();
    third.wait_until_ready(true).await;
    for (id, _) in &began {
        let again = format!("r{id}");
        let received = resume(&third, &again, id).await;
        assert_eq!(received.status, 503, "{received:?}");
        assert_eq!(pool.run_count(&again) + new.run_count(&again), 0);
    }
    let received = stream(&third, "n", &[], usize::MAX).await;
    assert!(received.is_complete, "{received:?}");
}

/// Waits until a gateway keeps copies of so many streams that others began.
async fn wait_until_copied(gateway: &Gateway, count: usize) {
    let line = format!("tarragon_remembered_streams{{source=\"backup\"}} {count}\n");
    wait_until(async || gateway.metrics_page().await.contains(&line)).await;
}

/// Guards against losing the streams of an instance that is frozen or killed before a second version comes,
/// and has told nobody where they began.
#[actix_rt::test]
async fn streams_of_an_instance_that_is_gone_as_the_second_version_comes_resume_at_the_first() {
    for signal in ["-STOP", "-KILL"] {
        let (first, _app, pool) = Gateway::start().await;
        pool.set_stream(4, EVENT_PAUSE);
        wait_until_recorded(&first).await;
        let (second, third) = (first.start_another(), first.start_another());
        for gateway in [&second, &third] {
            gateway.wait_until_ready(true).await;
        }
        let began = round(&first, "s", 2).await;
        for gateway in [&second, &third] {
            wait_until_copied(gateway, STREAMS_PER_ROUND).await;
        }
        first.signal(signal);
        add_engine(&first, "pool-2", "v2").await;
        wait_until_mixed(&second, "w").await;
        wait_until_mixed(&third, "x").await;
        let resumed = began.iter().enumerate().map(async |(number, (id, _))| {
            let gateway = [&second, &third][number % 2];
            let received = resume(gateway, &format!("r{id}"), id).await;
            assert!(received.is_complete, "{received:?}");
            assert_eq!(received.versions, ["v1", "v1"]);
        });
        join_all(resumed).await;
        first.signal("-CONT");
    }
}

/// Guards against mixing at an instance that has been cut off from the store and all others since before a
/// second version came, and against refusing streams where only the store is away.
#[actix_rt::test]
async fn an_instance_that_is_cut_off_guesses_no_version() {
    let (first, _app, pool) = Gateway::start().await;
    pool.set_stream(4, EVENT_PAUSE);
    wait_until_recorded(&first).await;
    let link = first.store.open_link().await;
    let second = first.start_another_at(link.address, FAST_LINK_MBPS);
    second.wait_until_ready(true).await;
    link.fault(Fault::Silent);
    wait_until(async || second.count_log_lines("the store does not answer") > 0).await;
    let received = resume(&second, "u1", "lost-1").await;
    assert!(received.is_complete, "{received:?}");
    first.signal("-STOP");
    let mut number = 0;
    wait_until(async || {
        number += 1;
        let id = format!("u2-{number}");
        resume(&second, &id, &format!("lost-{id}")).await.status == 503
    })
    .await;
    // A thread writes the line, possibly after the response.
    let basis = "basis=engines not known";
    wait_until(async || second.count_log_lines_with("resumed by its caller", basis) > 0).await;
    first.signal("-CONT");
}

/// Two gateways that know nothing of each other, and the same engine of the first version. Streams begin at the
/// second version at the first one, which then ends.
struct OutOfStep {
    gateway: Gateway,
    link: Link,
    engines: [Engine; 3],
    /// Streams of the second version, with their ids.
    begun: Vec<(String, Received)>,
}

impl OutOfStep {
    async fn start() -> Self {
        let (first, app, pool) = Gateway::start().await;
        pool.set_stream(4, EVENT_PAUSE);
        let store = Rc::new(Store::start().await);
        let link = store.open_link().await;
        app.register(&store, "app", "ready", None);
        pool.register(&store, "pool", "ready", Some("decode"));
        let gateway = Gateway::start_unconfigured_at(store, link.address);
        gateway.configure(1, "app");
        gateway.wait_until_ready(true).await;
        let new = add_engine(&first, "pool-2", "v2").await;
        wait_until_mixed(&first, "w").await;
        let begun = round(&first, "s", 2).await;
        first.signal("-KILL");
        let begun = begun.into_iter();
        let begun = begun.filter(|(_, received)| received.versions[0] == "v2");
        Self {
            gateway,
            link,
            engines: [app, pool, new],
            begun: begun.collect(),
        }
    }

    /// Resumes all streams, which have to be refused.
    async fn assert_refused(&self) {
        assert!(!self.begun.is_empty());
        let resumed = self.begun.iter().map(async |(id, _)| {
            let again = format!("r{id}");
            let received = resume(&self.gateway, &again, id).await;
            assert_eq!(received.status, 503, "{received:?}");
            assert_eq!(self.engines[1].run_count(&again), 0);
        });
        join_all(resumed).await;
    }
}

/// Guards against mixing at an instance that read the engines shortly before it was cut off from the store and
/// from all others, and against refusing streams of the only version there is.
#[actix_rt::test]
async fn a_stream_is_not_resumed_by_a_list_from_before_a_cut() {
    let fleet = OutOfStep::start().await;
    let received = resume(&fleet.gateway, "u1", "lost-1").await;
    assert!(received.is_complete, "{received:?}");
    fleet.link.fault(Fault::Silent);
    fleet.assert_refused().await;
}

/// Guards against mixing at an instance that was stopped while a second version came, began streams and went.
#[actix_rt::test]
async fn a_stream_is_not_resumed_at_an_instance_that_was_stopped_while_its_version_came_and_went() {
    let fleet = OutOfStep::start().await;
    let (gateway, new) = (&fleet.gateway, &fleet.engines[2]);
    wait_until_recorded(gateway).await;
    gateway.signal("-STOP");
    new.register(&gateway.store, "pool", "ready", Some("decode"));
    gateway.store.put("keyed.servers", &new.id, None);
    record_changed_versions(&gateway.store);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    gateway.signal("-CONT");
    let calls = gateway.store.calls();
    wait_until(async || gateway.store.calls() > calls + 4).await;
    fleet.assert_refused().await;
}

/// Guards against starving the reads on which others rely, while streams that are taken up ask for reads of their
/// own: an instance that does not pass for a reader records no change of versions.
#[actix_rt::test]
async fn a_change_of_versions_is_recorded_while_streams_are_taken_up() {
    let (gateway, _app, pool) = Gateway::start().await;
    pool.set_stream(4, EVENT_PAUSE);
    wait_until_recorded(&gateway).await;
    let mut number = 0;
    let mut take_up = async |count: usize| {
        for _ in 0..count {
            number += 1;
            let received = resume(&gateway, &format!("u{number}"), &format!("lost-{number}")).await;
            assert!(received.is_complete, "{received:?}");
        }
    };
    let line = "the store knows the software versions of a service";
    take_up(30).await;
    let before = gateway.count_log_lines(line);
    let new = Engine::start("app-2").await;
    new.set_software("v2");
    new.register(&gateway.store, "app", "ready", None);
    for _ in 0..20 {
        take_up(5).await;
        if gateway.count_log_lines(line) > before {
            return;
        }
    }
    // Control: without streams that are taken up, it does.
    wait_until(async || gateway.count_log_lines(line) > before).await;
    panic!("the second version is recorded only once no streams are taken up");
}

/// Panics unless one of some streams that nobody remembers goes on, each a moment after the one before.
async fn assert_taken_up_soon(gateway: &Gateway) {
    for number in 0..40 {
        let received = resume(gateway, &format!("u{number}"), &format!("lost-{number}")).await;
        if received.is_complete {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("all streams are refused");
}

/// Guards against refusing the streams of the only version after the store was away for some seconds and has come
/// back from a copy.
#[actix_rt::test]
async fn a_stream_of_the_only_version_resumes_after_the_store_came_back_from_a_copy() {
    let (gateway, _app, pool) = Gateway::start().await;
    pool.set_stream(4, EVENT_PAUSE);
    wait_until_recorded(&gateway).await;
    let copy = gateway.store.backup();
    gateway.store.fault(Fault::Silent);
    tokio::time::sleep(Duration::from_secs(3)).await;
    gateway.store.restore(copy);
    gateway.store.fault(Fault::None);
    let line = "the store has come back from an older copy";
    wait_until(async || gateway.count_log_lines(line) > 0).await;
    assert_taken_up_soon(&gateway).await;
}

/// The same where the store comes back with all that it had.
#[actix_rt::test]
async fn a_stream_of_the_only_version_resumes_after_the_store_was_away() {
    let (gateway, _app, pool) = Gateway::start().await;
    pool.set_stream(4, EVENT_PAUSE);
    wait_until_recorded(&gateway).await;
    gateway.store.fault(Fault::Silent);
    tokio::time::sleep(Duration::from_secs(3)).await;
    gateway.store.fault(Fault::None);
    assert_taken_up_soon(&gateway).await;
}

/// Guards against taking another instance's answer to a question of the former process at an address for one to
/// a question of its own, which gives a stream the version of another one.
#[actix_rt::test]
async fn a_restarted_instance_takes_no_answers_to_questions_of_the_process_before() {
    let ([first, second], _engines) = start_mixed().await;
    let mut began = Vec::new();
    for number in 0..4 {
        began.extend(round(&first, &format!("s{number}"), 2).await);
    }
    let (v1, v2): (Vec<_>, Vec<_>) = began
        .iter()
        .partition(|(_, began)| began.versions[0] == "v1");
    first.signal("-STOP");
    second.restart().await;
    let asked = v2.iter().map(async |(id, _)| {
        let received = resume(&second, &format!("a{id}"), id).await;
        assert_eq!(received.status, 503, "{received:?}");
    });
    join_all(asked).await;
    second.restart().await;
    let wake = async {
        // The first questions are open by then.
        sleep(EVENT_PAUSE).await;
        first.signal("-CONT");
    };
    let ask = async {
        for some in v1.chunks(4) {
            let resumed = some.iter().map(async |(id, _)| {
                let received = resume(&second, &format!("r{id}"), id).await;
                assert!(
                    !received.versions.contains(&"v2".to_owned()),
                    "{received:?}"
                );
            });
            join_all(resumed).await;
        }
    };
    tokio::join!(ask, wake);
    let (id, _) = v1[0];
    let mut number = 0;
    wait_until(async || {
        number += 1;
        let received = resume(&second, &format!("l{number}"), id).await;
        received.versions == ["v1", "v1"]
    })
    .await;
}
