//! Records beside the list of instances that take more than one answer of the store.

mod harness;

use std::time::Duration;

use harness::streams::record_changed_versions;
use harness::{Gateway, generation, wait_until};
use tokio::time::sleep;

/// Records of this size, of which the store sends six in one answer.
const FILLER_BYTES: usize = 200 * 1024;

/// Guards against ending a gap by a read that was cut at its largest size: the record of a version that came and went
/// while this instance was stopped is in the next answer, and a stream of that version goes on at the other one.
#[actix_rt::test]
async fn a_gap_does_not_end_with_the_first_of_several_answers() {
    let (gateway, _app, _pool) = Gateway::start().await;
    let is_recorded = |key: &String| key.starts_with("versions/");
    wait_until(async || {
        let keys = gateway.store.newest("keyed.instances");
        keys.iter().filter(|key| is_recorded(key)).count() == 2
    })
    .await;
    // The read soon after the registration is over; the next one is due after a minute.
    sleep(Duration::from_millis(3_000)).await;
    gateway.signal("-STOP");
    for number in 0..8 {
        let key = format!("filler-{number}");
        gateway
            .store
            .put_bytes("keyed.instances", &key, &vec![b' '; FILLER_BYTES]);
    }
    record_changed_versions(&gateway.store);
    sleep(Duration::from_millis(2_500)).await;
    gateway.signal("-CONT");
    let calls = gateway.store.calls();
    wait_until(async || gateway.store.calls() > calls + 4).await;
    let mut headers = vec![("resumes", "lost"), ("last-event-id", "2")];
    headers.extend(generation());
    let response = gateway.call("/resume/a", "taken-up", &headers).await;
    assert_eq!(response.status, 503);
}
