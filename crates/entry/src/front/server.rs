//! The HTTP servers for callers and operators.

use std::convert::Infallible;
use std::future::ready;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;

use actix_http::error::DispatchError;
use actix_http::{HttpService, KeepAlive, Request};
use actix_server::{GracefulShutdownSignal, Server, ServerBuilder, ServerHandle};
use actix_service::{ServiceFactoryExt as _, fn_factory, fn_service};
use tokio::net::TcpSocket;

use crate::admin;
use crate::front::caller_stream::CallerStream;
use crate::front::handler::handle;
use crate::shared::{Shared, Worker};

/// Listen backlog.
const BACKLOG: u32 = 4096;

/// The listening servers; `server` must be polled until it has stopped.
pub struct Servers {
    /// The address for callers.
    pub address: SocketAddr,
    /// The address for operators; `None` without a token.
    pub admin: Option<SocketAddr>,
    /// Stops the servers.
    pub handle: ServerHandle,
    /// Runs the servers.
    pub server: Server,
}

/// Binds and starts the servers.
///
/// # Errors
///
/// An address cannot be bound.
pub fn start(shared: &Arc<Shared>) -> io::Result<Servers> {
    let settings = &shared.settings;
    let limit = settings
        .shutdown
        .limit
        .saturating_sub(settings.shutdown.balancer);
    let builder = Server::build()
        .workers(settings.listen.workers)
        .max_concurrent_connections(settings.listen.connections)
        .shutdown_timeout(limit.as_secs().max(1))
        .disable_signals();
    let stopping = builder.graceful_shutdown_signal();
    let listener = listen(settings.listen.address)?;
    let address = listener.local_addr()?;
    let builder = callers(builder, listener, Arc::clone(shared), stopping)?;
    let (builder, admin) = match settings.admin.token {
        Some(_) => {
            let listener = listen(settings.admin.address)?;
            let address = listener.local_addr()?;
            (
                operators(builder, listener, Arc::clone(shared))?,
                Some(address),
            )
        }
        None => (builder, None),
    };
    let server = builder.run();
    Ok(Servers {
        address,
        admin,
        handle: server.handle(),
        server,
    })
}

/// Binds a listener. The standard library's backlog of 128 overflows when all callers of a stopped
/// entry reconnect here at once, and each dropped connection waits a second for its SYN to be
/// retransmitted.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}

fn callers(
    builder: ServerBuilder,
    listener: TcpListener,
    shared: Arc<Shared>,
    stopping: GracefulShutdownSignal,
) -> io::Result<ServerBuilder> {
    builder.listen("callers", listener, move || {
        let limits = &shared.settings.limits;
        let worker = Worker::new(Arc::clone(&shared));
        let stopping = stopping.clone();
        let http = HttpService::build()
            .keep_alive(KeepAlive::Timeout(shared.settings.listen.keep_alive))
            .client_request_timeout(limits.head_time)
            .client_disconnect_timeout(limits.head_time)
            // Treats a half-closed connection as a disconnect; otherwise the request would continue
            // and its stream would never be cancelled.
            .h1_allow_half_closed(false)
            .graceful_shutdown_signal(move || {
                let stopping = stopping.clone();
                async move { stopping.notified().await }
            })
            .h1(fn_factory(move || {
                let worker = Rc::clone(&worker);
                async move {
                    Ok::<_, ()>(fn_service(move |request: Request| {
                        let worker = Rc::clone(&worker);
                        async move { Ok::<_, Infallible>(handle(worker, request).await) }
                    }))
                }
            }));
        let open = |stream| ready(CallerStream::open(stream).map_err(DispatchError::Io));
        fn_service(open).and_then(http)
    })
}

fn operators(
    builder: ServerBuilder,
    listener: TcpListener,
    shared: Arc<Shared>,
) -> io::Result<ServerBuilder> {
    builder.listen("operators", listener, move || {
        let limits = &shared.settings.limits;
        let shared = Arc::clone(&shared);
        HttpService::build()
            .client_request_timeout(limits.head_time)
            .client_disconnect_timeout(limits.head_time)
            .h1_allow_half_closed(false)
            .h1(fn_service(move |request: Request| {
                let shared = Arc::clone(&shared);
                async move { Ok::<_, Infallible>(admin::handler::handle(shared, request).await) }
            }))
            .tcp()
    })
}
