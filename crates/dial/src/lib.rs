//! Connections towards upstreams that report a broken answer as an error. The HTTP client takes
//! the end of a connection for the end of the body, also where the length or the last chunk is
//! still missing, so a caller would get half an answer as a whole one. [`connector`] gives the
//! client's own connector with [`StrictStream`] underneath, for which the end of the connection is an error;
//! whole answers end before it by length or by last chunk. It sits below `entry`'s upstream client.

mod strict_stream;

use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector as Tcp, Resolver};
use awc::Connector;
use awc::http::Uri;

pub use crate::strict_stream::StrictStream;

/// A connector for `awc::Client::builder().connector(...)` whose connections are [`StrictStream`].
///
/// An answer that is delimited only by the end of its connection reads as an error as well, since
/// nobody can tell whether it is whole; upstreams are expected to send a length or chunks.
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
