//! The HTTP server towards callers.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;

use actix_http::{HttpService, KeepAlive, Request};
use actix_server::{Server, ServerHandle};
use actix_service::{fn_factory, fn_service};

use crate::front::handler::handle;
use crate::shared::{Shared, Worker};

/// A server that listens, to be polled until it has stopped.
pub struct Front {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Stops it.
    pub handle: ServerHandle,
    /// Runs it.
    pub server: Server,
}

/// Binds and starts the server.
///
/// # Errors
///
/// The address cannot be bound.
pub fn start(shared: &Arc<Shared>) -> io::Result<Front> {
    let settings = &shared.settings;
    let listener = TcpListener::bind(settings.listen.address)?;
    let address = listener.local_addr()?;
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
    let shared = Arc::clone(shared);
    let server = builder
        .listen("callers", listener, move || {
            let limits = &shared.settings.limits;
            let listen = &shared.settings.listen;
            let worker = Worker::new(Arc::clone(&shared));
            let stopping = stopping.clone();
            HttpService::build()
                .keep_alive(KeepAlive::Timeout(listen.keep_alive))
                .client_request_timeout(limits.head_time)
                .client_disconnect_timeout(limits.head_time)
                .tcp_nodelay(true)
                // A caller that closes its side is gone; without this its request would run on and
                // its stream would never be cancelled.
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
                }))
                .tcp()
        })?
        .run();
    Ok(Front {
        address,
        handle: server.handle(),
        server,
    })
}
