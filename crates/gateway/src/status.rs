//! Serves status requests (readiness, metrics) on listeners of their own, apart from callers'
//! traffic.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Response;
use bytes::Bytes;
use http1::{Limits, RequestError, Server};
use serving::connection_limit::{Connections, Id};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::connection::{CALLER_PATIENCE, accept_failed};
use crate::connection_memory::Holder;
use crate::instance::Instance;

/// Limits of status requests, which have no body.
const LIMITS: Limits = Limits {
    head: 16 * 1024,
    body: 1_024,
    head_time: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

/// Maps the path of a status request to its response.
pub(crate) type Handler = fn(&Instance, &str) -> (Response<()>, Bytes);

/// Connections to a listener at a time. The platform and operators need a few.
const MAX_CONNECTIONS: usize = 64;

/// Accepts connections until the process ends.
pub(crate) async fn serve(instance: Rc<Instance>, listener: TcpListener, handler: Handler) {
    let slots = Rc::new(Slots::new());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(actix_rt::spawn(serve_connection(
                instance.clone(),
                stream,
                handler,
                Slot::take(&slots),
            ))),
            Err(error) => accept_failed(&error).await,
        }
    }
}

/// The connections that a listener may have; [`serving::connection_limit`] decides which ones stay.
struct Slots {
    connections: RefCell<Connections>,
    evictions: RefCell<HashMap<Id, Rc<Notify>>>,
}

impl Slots {
    fn new() -> Self {
        Self {
            connections: RefCell::new(Connections::new(MAX_CONNECTIONS)),
            evictions: RefCell::default(),
        }
    }
}

/// The place of one connection, until this is dropped.
struct Slot {
    all: Rc<Slots>,
    id: Id,
    evicted: Rc<Notify>,
}

impl Slot {
    /// Takes a place. Another connection is closed for it if none is free.
    fn take(all: &Rc<Slots>) -> Self {
        let (id, to_close) = all.connections.borrow_mut().add();
        let mut evictions = all.evictions.borrow_mut();
        if let Some(eviction) = to_close.and_then(|other| evictions.remove(&other)) {
            eviction.notify_one();
        }
        let evicted = Rc::new(Notify::new());
        evictions.insert(id, evicted.clone());
        Self {
            all: all.clone(),
            id,
            evicted,
        }
    }

    fn on_served(&self) {
        self.all.connections.borrow_mut().on_served(self.id);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.all.connections.borrow_mut().remove(self.id);
        self.all.evictions.borrow_mut().remove(&self.id);
    }
}

async fn serve_connection(instance: Rc<Instance>, stream: TcpStream, handler: Handler, slot: Slot) {
    let server = Server::new(stream, &CALLER_PATIENCE, &instance.codec);
    let (Ok(server), Ok(holder)) = (server, Holder::open(&instance.connection_memory)) else {
        return;
    };
    holder.set_waiting(true);
    let mut server = server.with_account(holder.account());
    tokio::select! {
        () = serve_requests(&instance, &mut server, handler, &slot) => {}
        () = holder.wait_until_evicted() => {}
        () = slot.evicted.notified() => {}
    }
}

async fn serve_requests(instance: &Instance, server: &mut Server, handler: Handler, slot: &Slot) {
    while server.wait_for_request(&LIMITS).await.is_ok() {
        let arrival = match server.read_request(&LIMITS).await {
            Ok(arrival) => arrival,
            Err(why) => return refuse(server, why).await,
        };
        let (head, body) = handler(instance, arrival.head.uri.path());
        let (_, writer) = server.split();
        if writer.write_response(head, body).await.is_err() || !writer.keep_alive() {
            return;
        }
        slot.on_served();
    }
}

/// Refuses a request that could not be read. The connection is closed then.
async fn refuse(server: &mut Server, why: RequestError) {
    let Some(status) = why.status() else { return };
    let (_, writer) = server.split();
    let head = Response::with_body(status, ());
    // The connection is closed either way.
    drop(writer.write_response(head, Bytes::new()).await);
}
