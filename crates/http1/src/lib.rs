//! HTTP/1.1 over the library's codec, with the truth about every exchange kept: [`Client`] tells
//! whether a request can have reached its peer and whether an answer is whole, [`Server`] tells
//! whether its caller is still there. It stands below the `gateway` daemon and the platform's
//! adapter, which both need to know what a pooling client hides; see
//! [`docs/design/platform.md`](../../../docs/design/platform.md), "Connections".

mod client;
mod failure;
mod server;
mod socket;

pub use client::{Client, Framing, ResponseStart};
pub use failure::{Failure, RequestError};
pub use server::{IncomingRequest, Limits, Reader, Server, Writer};
pub use socket::{TcpTimeouts, listen};

/// Configuration of the library's codec, shared by all connections of a thread.
pub type Config = actix_http::ServiceConfig;

/// A codec configuration that keeps connections open between requests.
pub fn config() -> Config {
    Config::default()
}
