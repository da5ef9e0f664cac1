//! Builders of log records.
#![allow(dead_code)]

use authority::author::Author;
use authority::order::{Order, Role, Verdict};
use authority::{Fence, Offset, OrderId};
use wire::record::{self, Record, record::Body};

pub(crate) const SCOPE: &str = "llm-pool";

pub(crate) fn author(instance: &str) -> Author {
    Author {
        instance: instance.to_owned(),
        incarnation: 1,
    }
}

pub(crate) fn record(instance: &str, body: Body) -> Record {
    Record {
        nonce: vec![0; 16],
        rules: 1,
        author: Some((&author(instance)).into()),
        body: Some(body),
    }
}

pub(crate) fn claim(instance: &str, replaces: Fence, seen: Offset) -> Record {
    let scope = SCOPE.to_owned();
    record(
        instance,
        Body::ScopeClaim(record::ScopeClaim {
            scope,
            replaces,
            seen,
        }),
    )
}

pub(crate) fn renewal(instance: &str, fence: Fence) -> Record {
    let scope = SCOPE.to_owned();
    record(instance, Body::Renewal(record::Renewal { scope, fence }))
}

pub(crate) fn release(instance: &str, fence: Fence) -> Record {
    let scope = SCOPE.to_owned();
    record(instance, Body::Release(record::Release { scope, fence }))
}

pub(crate) fn intent(instance: &str, fence: Fence, upstream: &str, previous: OrderId) -> Record {
    let intent = record::Intent {
        scope: SCOPE.to_owned(),
        fence,
        upstream: upstream.to_owned(),
        order: Some((&Order::SetRole(Role::Decode)).into()),
        previous,
    };
    record(instance, Body::Intent(intent))
}

pub(crate) fn outcome(instance: &str, fence: Fence, order: OrderId, verdict: Verdict) -> Record {
    let outcome = record::Outcome {
        scope: SCOPE.to_owned(),
        fence,
        order,
        verdict: verdict.to_wire(),
        detail: String::new(),
    };
    record(instance, Body::Outcome(outcome))
}
