//! What the client says is certain about an order.

use std::time::Duration;

use platform::{Action, EngineClient, Order, Receipt, Role};

use crate::fake::{Fake, Reply, ok};

const LIMIT: Duration = Duration::from_millis(200);

async fn order_against(reply: Reply) -> Receipt {
    let fake = Fake::start(vec![reply]).await;
    let order = Order {
        order: 31,
        fence: 12,
        action: Action::SetRole { role: Role::Decode },
    };
    let engines = EngineClient::new(LIMIT);
    engines
        .order(&fake.address.to_string(), &order, LIMIT)
        .await
}

// Symptom: an order acts although its sender took it for never sent.
// Sequence: the engine takes the order, and the connection closes before the answer.
// Cause: awc reports the closed connection as a failure to connect.
#[actix_rt::test]
async fn order_without_an_answer_is_unknown() {
    assert_eq!(order_against(Reply::Close).await, Receipt::Unknown);
    assert_eq!(order_against(Reply::Silence).await, Receipt::Unknown);
    let failed = Reply::Answer("500 Internal Server Error", "", String::new());
    assert_eq!(order_against(failed).await, Receipt::Unknown);
}

#[actix_rt::test]
async fn refusals_tell_what_stands_in_the_way() {
    let conflict = |body: &str| Reply::Answer("409 Conflict", "", body.to_owned());
    let superseded = order_against(conflict(r#"{"fence":14}"#)).await;
    assert_eq!(superseded, Receipt::Superseded(14));
    let busy = order_against(conflict(r#"{"order":30}"#)).await;
    assert_eq!(busy, Receipt::Busy(30));
    let taken = Reply::Answer("202 Accepted", "", "{}".to_owned());
    assert_eq!(order_against(taken).await, Receipt::Accepted);
}

#[actix_rt::test]
async fn state_without_an_order_is_read() {
    let fake = Fake::start(vec![ok(
        r#"{"engine":"e","incarnation":7,"role":"mixed","models":[{"model":"m","version":"1","adapter":null}],
            "order":null,"fence":0,"checks_fence":true,"open":2}"#,
    )])
    .await;
    let engines = EngineClient::new(LIMIT);
    let state = engines.state(&fake.address.to_string(), LIMIT).await;
    let state = state.expect("it is whole");
    assert_eq!((state.incarnation, state.open, state.order), (7, 2, None));
    assert_eq!(state.models[0].adapter, "");
}
