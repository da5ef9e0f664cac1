//! Tests of `standin-engine` over HTTP.

use std::net::SocketAddr;

use crate::common::{Reply, engine, fault, get, platform, post, send, spawn};
use actix_http::Method;
use serde_json::{Value, json};
use standin::engine::{chat_prompt, expected_text};

/// Options with a high time scale, to keep the tests short.
const FAST: [&str; 2] = ["--time-scale", "50"];

async fn complete(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Value,
) -> Result<Reply, String> {
    send(Method::POST, address, path, headers, body.to_string()).await
}

/// Returns the numbers of the events and the text of their tokens.
fn events(text: &str) -> (Vec<u32>, String) {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let numbers = ids.map(|id| id.rsplit_once(':').unwrap().1.parse().unwrap());
    let data = text.lines().filter_map(|line| line.strip_prefix("data: {"));
    let tokens = data.map(|data| {
        let chunk: Value = serde_json::from_str(&format!("{{{data}")).unwrap();
        let choice = &chunk["choices"][0];
        let token = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        token.unwrap_or_default().to_owned()
    });
    (numbers.collect(), tokens.collect())
}

#[actix_rt::test]
async fn complete_responses_have_the_expected_text_and_usage() {
    for options in [["--time-scale", "50"].as_slice(), &["--instant"]] {
        let address = engine(options);
        let body = json!({ "model": "m", "prompt": "one two three", "max_tokens": 40 });
        let headers = [("x-request-id", "r1")];
        let reply = complete(address, "/v1/completions", &headers, body)
            .await
            .unwrap();
        assert_eq!((reply.status, reply.request_id.as_str()), (200, "r1"));
        let answer = reply.json();
        assert_eq!(
            answer["choices"][0]["text"],
            expected_text("one two three", 40)
        );
        assert_eq!(answer["usage"]["prompt_tokens"], 3);
        assert_eq!(answer["usage"]["completion_tokens"], 40);
        let body = json!({
            "model": "m", "max_tokens": 5, "messages": [{ "role": "user", "content": "hi" }],
        });
        let reply = complete(address, "/v1/chat/completions", &[], body)
            .await
            .unwrap();
        let expected = expected_text(&chat_prompt([("user", "hi")]), 5);
        assert_eq!(reply.json()["choices"][0]["message"]["content"], expected);
    }
}

#[actix_rt::test]
async fn dropped_stream_resumes_with_each_event_once() {
    // Guards against lost or repeated events after a connection drops partway, as when the entry in
    // between crashes: seven events are sent, then another connection asks for the rest.
    let address = engine(&FAST);
    fault(address, json!({ "drop_streams": 1, "after_events": 7 })).await;
    let headers = [("x-stream-id", "s1")];
    let body = json!({ "prompt": "p", "max_tokens": 30, "stream": true });
    let broken = complete(address, "/v1/completions", &headers, body).await;
    // All events sent before the drop arrived, so resuming after them completes the response.
    let before = broken.err().unwrap();
    assert!(events(&before).0.into_iter().eq(0..7));
    let all = get(address, "/engine/streams/s1?from=0").await.text;
    let (numbers, text) = events(&all);
    assert!(numbers.into_iter().eq(0..32));
    assert_eq!(text, expected_text("p", 30));
    let rest = get(address, "/engine/streams/s1?from=7").await.text;
    assert!(events(&rest).0.into_iter().eq(7..32));
    assert!(rest.ends_with("id: s1:31\ndata: [DONE]\n\n"));
    assert_eq!(all.split_at(all.len() - rest.len()).1, rest);
    assert_eq!(
        get(address, "/engine/streams/other?from=0").await.status,
        404
    );
}

#[actix_rt::test]
async fn cut_stream_cannot_be_resumed() {
    let address = engine(&FAST);
    fault(address, json!({ "cut_streams": 1, "after_events": 2 })).await;
    let body = json!({ "prompt": "p", "max_tokens": 30, "stream": true });
    let headers = [("x-stream-id", "s1")];
    assert!(
        complete(address, "/v1/completions", &headers, body)
            .await
            .is_err()
    );
    assert_eq!(get(address, "/engine/streams/s1?from=2").await.status, 404);
}

#[actix_rt::test]
async fn crash_within_a_stream_keeps_the_events_already_sent() {
    // Guards against losing events that were sent before an engine crash: three events are sent,
    // then the process exits and no longer listens at its address.
    let (mut child, address) = spawn(env!("CARGO_BIN_EXE_standin-engine"));
    fault(address, json!({ "exit_streams": 1, "after_events": 3 })).await;
    let body = json!({ "prompt": "p", "max_tokens": 30, "stream": true });
    let before = complete(address, "/v1/completions", &[], body).await.err();
    assert!(events(&before.unwrap()).0.into_iter().eq(0..3));
    assert_eq!(child.wait().unwrap().code(), Some(70));
}

#[actix_rt::test]
async fn failed_order_leaves_the_engine_unchanged_and_stuck_order_keeps_running() {
    let address = engine(&["--time-scale", "500"]);
    fault(address, json!({ "fail_orders": 1 })).await;
    let order = |id: u64| json!({ "order": id, "fence": 1, "kind": "set_role", "role": "decode" });
    assert_eq!(post(address, "/engine/orders", order(7)).await.status, 202);
    while get(address, "/engine/state").await.json()["order"]["state"] != "failed" {}
    assert_eq!(get(address, "/engine/state").await.json()["role"], "mixed");
    fault(
        address,
        json!({ "stuck_orders": 1, "lose_order_answers": 1 }),
    )
    .await;
    let lost = complete(address, "/engine/orders", &[], order(8)).await;
    assert!(lost.is_err());
    // Only the response was lost: repeating the order shows that it is running.
    let repeat = post(address, "/engine/orders", order(8)).await;
    assert_eq!(
        (repeat.status, &repeat.json()["state"]),
        (202, &json!("running"))
    );
}

#[actix_rt::test]
async fn cancel_ends_the_job_and_is_idempotent() {
    let address = engine(&["--time-scale", "0.001"]);
    let body = json!({ "prompt": "p", "max_tokens": 30 });
    let headers = [("x-stream-id", "s1")];
    let call = complete(address, "/v1/completions", &headers, body);
    let cancel = async {
        while get(address, "/engine/state").await.json()["open"] != 1 {}
        for _ in 0..2 {
            let path = "/engine/streams/s1";
            let reply = send(Method::DELETE, address, path, &[], String::new()).await;
            assert_eq!(reply.unwrap().status, 200);
        }
    };
    let (answer, ()) = futures_util::future::join(call, cancel).await;
    assert!(answer.is_err());
    assert_eq!(get(address, "/engine/state").await.json()["open"], 0);
}

#[actix_rt::test]
async fn order_cuts_open_requests_and_outdated_fencing_tokens_are_rejected() {
    let address = engine(&["--time-scale", "0.01"]);
    let body = json!({ "prompt": "p", "max_tokens": 30 });
    let open = complete(address, "/v1/completions", &[], body.clone());
    let order = |id: u64, fence: u64| json!({ "order": id, "fence": fence, "kind": "set_role", "role": "decode" });
    let change = async {
        while get(address, "/engine/state").await.json()["open"] != 1 {}
        let begun = post(address, "/engine/orders", order(31, 12)).await;
        assert_eq!(
            (begun.status, &begun.json()["state"]),
            (202, &json!("running"))
        );
    };
    let (cut, ()) = futures_util::future::join(open, change).await;
    assert!(cut.is_err());
    let refused = post(address, "/v1/completions", body).await;
    assert_eq!(
        (refused.status, &refused.json()["ran"]),
        (503, &json!("no"))
    );
    assert_eq!(
        post(address, "/engine/orders", order(31, 12)).await.status,
        202
    );
    let busy = post(address, "/engine/orders", order(32, 12)).await;
    assert_eq!((busy.status, busy.json()), (409, json!({ "order": 31 })));
    let old = post(address, "/engine/orders", order(30, 11)).await;
    assert_eq!((old.status, old.json()), (409, json!({ "fence": 12 })));
    let cancel = json!({ "order": 30, "fence": 11 });
    assert_eq!(
        post(address, "/engine/cancel-order", cancel).await.status,
        409
    );
}

#[actix_rt::test]
async fn model_load_fetches_weights_from_the_weight_store() {
    let store = platform(&["--weight-bytes", "200000"]).to_string();
    let address = engine(&["--time-scale", "500", "--weights", &store, "--model", "m@1"]);
    let body = json!({ "model": "k", "prompt": "p", "max_tokens": 2 });
    let unknown = post(address, "/v1/completions", body.clone()).await;
    assert_eq!(
        (unknown.status, &unknown.json()["ran"]),
        (404, &json!("no"))
    );
    let order = json!({
        "order": 7, "fence": 1, "kind": "load_model", "model": "k", "version": "2", "adapter": "",
    });
    assert_eq!(post(address, "/engine/orders", order).await.status, 202);
    while get(address, "/engine/state").await.json()["order"]["state"] != "done" {}
    assert_eq!(post(address, "/v1/completions", body).await.status, 200);
}

#[actix_rt::test]
async fn imported_kv_replaces_the_prefill() {
    let prefill = engine(&["--role", "prefill", "--time-scale", "50"]);
    let decode = engine(&["--role", "decode", "--time-scale", "50"]);
    let prompt = "word ".repeat(300);
    let request = json!({ "model": "m", "prompt": prompt, "max_tokens": 9 });
    let export = post(prefill, "/engine/kv/export", request.clone())
        .await
        .json();
    assert_eq!(export["tokens"], 300);
    assert_eq!(export["first_token"], expected_text(&prompt, 1));
    let import = json!({ "from": prefill.to_string(), "handle": export["handle"] });
    let imported = post(decode, "/engine/kv/import", import.clone())
        .await
        .json();
    let handle = imported["handle"].as_str().unwrap();
    let headers = [("x-kv-handle", handle)];
    let reply = complete(decode, "/v1/completions", &headers, request.clone()).await;
    let answer = reply.unwrap().json();
    assert_eq!(answer["choices"][0]["text"], expected_text(&prompt, 9));
    assert_eq!(answer["usage"]["cached_tokens"], 300);
    // Both handles are consumed; a completion that names one anyway runs its prefill.
    assert_eq!(post(decode, "/engine/kv/import", import).await.status, 502);
    let reply = complete(prefill, "/v1/completions", &headers, request).await;
    assert_eq!(reply.unwrap().json()["usage"]["cached_tokens"], 288);
}

#[actix_rt::test]
async fn crossed_response_belongs_to_the_previous_request() {
    let address = engine(&FAST);
    let send_prompt = |id: &'static str| {
        let body = json!({ "prompt": id, "max_tokens": 4 });
        async move {
            let headers = [("x-request-id", id)];
            let reply = complete(address, "/v1/completions", &headers, body)
                .await
                .unwrap();
            let text = reply.json()["choices"][0]["text"]
                .as_str()
                .unwrap()
                .to_owned();
            (reply.request_id, text)
        }
    };
    let expected = |id: &str| (id.to_owned(), expected_text(id, 4));
    assert_eq!(send_prompt("r1").await, expected("r1"));
    fault(address, json!({ "crossed": 1 })).await;
    assert_eq!(send_prompt("r2").await, expected("r1"));
    assert_eq!(send_prompt("r3").await, expected("r3"));
}
