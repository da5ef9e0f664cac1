//! Which receipt the client returns for an order, and how it reads an engine's state.

use std::time::Duration;

use platform::{Action, EngineClient, Order, Receipt, Role};

use crate::fake::{FakeServer, Reply, ok};

const TIMEOUT: Duration = Duration::from_millis(200);

async fn send_order(reply: Reply) -> Receipt {
    let server = FakeServer::start(vec![reply]).await;
    let order = Order {
        order: 31,
        fence: 12,
        action: Action::SetRole { role: Role::Decode },
    };
    let engines = EngineClient::new(TIMEOUT);
    engines
        .order(&server.address.to_string(), &order, TIMEOUT)
        .await
}

// Symptom: an engine executes an order that its sender treats as never sent.
// Sequence: the engine accepts the order, and the connection closes before the response.
// Cause: awc reports the closed connection as a connect error.
#[actix_rt::test]
async fn order_without_an_answer_is_unknown() {
    assert_eq!(send_order(Reply::Close).await, Receipt::Unknown);
    assert_eq!(send_order(Reply::NoResponse).await, Receipt::Unknown);
    let server_error = Reply::Response("500 Internal Server Error", "", String::new());
    assert_eq!(send_order(server_error).await, Receipt::Unknown);
}

#[actix_rt::test]
async fn conflict_names_the_fencing_token_or_the_running_order() {
    let conflict = |body: &str| Reply::Response("409 Conflict", "", body.to_owned());
    let superseded = send_order(conflict(r#"{"fence":14}"#)).await;
    assert_eq!(superseded, Receipt::Superseded(14));
    let busy = send_order(conflict(r#"{"order":30}"#)).await;
    assert_eq!(busy, Receipt::Busy(30));
    let accepted = Reply::Response("202 Accepted", "", "{}".to_owned());
    assert_eq!(send_order(accepted).await, Receipt::Accepted);
}

#[actix_rt::test]
async fn state_without_an_order_is_read() {
    let server = FakeServer::start(vec![ok(
        r#"{"engine":"e","incarnation":7,"role":"mixed","models":[{"model":"m","version":"1","adapter":null}],
            "order":null,"fence":0,"checks_fence":true,"open":2}"#,
    )])
    .await;
    let engines = EngineClient::new(TIMEOUT);
    let state = engines.state(&server.address.to_string(), TIMEOUT).await;
    let state = state.expect("a valid state");
    assert_eq!((state.incarnation, state.open, state.order), (7, 2, None));
    assert_eq!(state.models[0].adapter, "");
}
