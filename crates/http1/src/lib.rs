//! HTTP/1.1 connections over the codec of `actix_http` that expose the state of each exchange:
//! [`Client`] reports whether a request can have reached its peer and whether a response is
//! complete, [`Server`] whether its caller is still connected. The `gateway` daemon and the
//! platform's adapter use them, since a pooling client hides this; see
//! [`docs/design/platform.md`](../../../docs/design/platform.md), "Connections".

mod account;
mod body;
mod client;
mod failure;
mod framing;
mod server;
mod socket;

pub use account::Account;
pub use client::{Client, Framing, ResponseStart};
pub use failure::{Failure, RequestError};
pub use server::{IncomingRequest, Limits, Reader, Server, Writer};
pub use socket::{
    BACKLOG, TcpTimeouts, Traffic, listen, listen_with_backlog, set_backlog, traffic,
};

/// Configuration of the `actix_http` codec, shared by all connections of a thread.
pub type Config = actix_http::ServiceConfig;

/// A codec configuration that keeps connections open between requests.
pub fn config() -> Config {
    Config::default()
}
