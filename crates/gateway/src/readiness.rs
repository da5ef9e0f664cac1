//! Readiness: whether the balancer may send callers here.

use actix_http::{Response, StatusCode};
use bytes::Bytes;

use crate::instance::Instance;

/// The response, for any path.
pub(crate) fn reply(instance: &Instance, _path: &str) -> (Response<()>, Bytes) {
    let status = if is_ready(instance) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    (Response::with_body(status, ()), Bytes::new())
}

/// An instance is ready once it knows a configuration and the engines, until it is asked to end.
fn is_ready(instance: &Instance) -> bool {
    let is_synced = instance.is_synced();
    is_synced && !instance.lifecycle.is_leaving()
}
