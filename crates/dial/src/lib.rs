//! Connections to upstreams that report a truncated response as an error. The HTTP client treats
//! EOF as the end of the body, even if bytes of its length or the last chunk are missing, so a
//! caller would take a truncated response for a complete one. [`connector`] returns the client's
//! own connector over [`StrictStream`], for which EOF is an error; complete responses end before
//! it, by length or last chunk. The upstream client of `entry` uses it.

mod strict_stream;

use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector as Tcp, Resolver};
use awc::Connector;
use awc::http::Uri;

pub use crate::strict_stream::StrictStream;

/// A connector for `awc::Client::builder().connector(...)` over [`StrictStream`]s.
///
/// A response delimited only by the end of its connection is an error as well, since truncation
/// can't be detected; upstreams are expected to send a length or chunks.
pub fn connector() -> Connector<
    impl Service<ConnectInfo<Uri>, Response = Connection<Uri, StrictStream>, Error = ConnectError>
    + Clone
    + 'static,
> {
    let tcp = Tcp::new(Resolver::default()).service();
    let strict = ServiceExt::<ConnectInfo<Uri>>::map(tcp, |connection| {
        let (stream, uri) = Connection::into_parts(connection);
        Connection::new(uri, StrictStream::new(stream))
    });
    Connector::new().connector(strict)
}
