//! Sends requests on to engines for instances that do not reach them. The requesting side is
//! [`crate::forward`].

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use actix_http::body::BodySize;
use actix_http::header::{HeaderMap, HeaderValue};
use actix_http::{ResponseHead, StatusCode};
use adapter::{ingress, upstream};
use bytes::Bytes;
use http1::{Client, Failure, Framing, IncomingRequest, RequestError, Server, Writer};
use serving::EngineId;
use serving::reachability::Path;
use tokio::net::{TcpListener, TcpStream};

use crate::connection::{CALLER_PATIENCE, DRAIN_TIME, MAX_DRAINED_BYTES, accept_failed, limits};
use crate::connection_memory::Holder;
use crate::engine_links::Target;
use crate::forward::{
    CONNECT_ONLY, FORWARD_TO, NOT_FORWARDED, NotForwarded, Response, UNTIL_CLOSE,
};
use crate::instance::Instance;
use crate::{announcements, engine_links};

/// Most requests that this instance sends for others at a time; each holds two connections.
const MAX_FORWARDED: usize = 256;

/// Serves other instances until the process ends.
pub(crate) async fn run(instance: Rc<Instance>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if instance.peers.borrow().is_registered(peer.ip()) {
                    drop(actix_rt::spawn(serve(instance.clone(), stream)));
                } else {
                    log::warn!(from:% = peer; "refused a connection from an address that is no instance's");
                }
            }
            Err(error) => accept_failed(&error).await,
        }
    }
}

async fn serve(instance: Rc<Instance>, stream: TcpStream) {
    let from = stream.peer_addr().map(|peer| peer.ip());
    let (Ok(server), Ok(from)) = (Server::new(stream, &CALLER_PATIENCE, &instance.codec), from)
    else {
        return;
    };
    let holder = Holder::open_for_peer(&instance.connection_memory);
    let mut server = server.with_account(holder.account());
    loop {
        let limits = limits(&instance);
        // An instance that closes the connection instead of declining a request would leave the call's
        // fate unknown, so connections stay open until the process ends.
        if server.wait_for_request(&limits).await.is_err() {
            return;
        }
        let _in_hand = instance.lifecycle.enter();
        let arrival = match server.read_request(&limits).await {
            Ok(arrival) => arrival,
            Err(why) => {
                if why == RequestError::NoMemory {
                    decline_unread(&mut server).await;
                }
                return;
            }
        };
        let (reader, writer) = server.split();
        let is_complete = tokio::select! {
            biased;
            is_complete = respond(&instance, from, &arrival, writer) => is_complete,
            () = reader.closed() => false,
        };
        if !is_complete {
            return;
        }
    }
}

/// Declines a request for which there is no memory. The connection is closed then.
async fn decline_unread(server: &mut Server) {
    log::info!("a request of another instance is declined for want of memory");
    let (_, writer) = server.split();
    if refuse(NotForwarded::Busy, writer).await {
        server.drain(MAX_DRAINED_BYTES, DRAIN_TIME).await;
    }
}

/// Sends one request on and passes the response back. Returns whether the response is complete.
async fn respond(
    instance: &Rc<Instance>,
    from: IpAddr,
    arrival: &IncomingRequest,
    writer: &mut Writer,
) -> bool {
    let Some(engine) = parse_target(&arrival.head.headers) else {
        log::warn!(from:% = from; "a request to forward names no engine");
        return false;
    };
    let _open = OpenGuard::new(&instance.forwarding);
    if arrival.head.headers.contains_key(CONNECT_ONLY) {
        return respond_whether_reached(instance, &engine, writer).await;
    }
    let id = ingress::request_id(&arrival.head).unwrap_or_default();
    let sent = match check(instance, &engine) {
        Ok(()) => send(instance, &engine, arrival).await,
        Err(why) => Err(SendError::Declined(why)),
    };
    match sent {
        Ok(response) => {
            let Response {
                head,
                framing,
                mut client,
            } = *response;
            log::info!(id = id, engine = &*engine.id, from:% = from, status = head.status.as_u16(); "sent for another instance");
            let reply = upstream::parse_reply(&head, id, "");
            let on_chunk = || instance.links.on_received(&engine.service, instance.now());
            let is_complete = pass_back(&head, framing, &mut client, on_chunk, writer).await;
            if is_complete && framing != Framing::UntilClose {
                let now = instance.now();
                instance.pool.put(&engine.id, client, reply.keep_alive, now);
            }
            is_complete
        }
        Err(SendError::Declined(why)) => {
            log::info!(id = id, engine = &*engine.id, from:% = from, why = why.name(); "not sent for another instance");
            refuse(why, writer).await
        }
        Err(SendError::Lost(failure)) => {
            log::info!(id = id, engine = &*engine.id, from:% = from, failure:% = failure; "the answer for another instance was lost");
            false
        }
    }
}

/// Answers whether a connection to the engine opens.
async fn respond_whether_reached(
    instance: &Rc<Instance>,
    engine: &Target,
    writer: &mut Writer,
) -> bool {
    if instance.links.state().is_isolated(&engine.service) {
        return refuse(NotForwarded::Isolated, writer).await;
    }
    if instance.links.state().is_suspected(&engine.service) {
        return refuse(NotForwarded::Unavailable, writer).await;
    }
    match engine_links::reaches(instance, engine).await {
        Some(true) => {}
        Some(false) => return refuse(NotForwarded::Unreachable, writer).await,
        // It is not certain, so calls may still be sent from here.
        None => return refuse(NotForwarded::Unavailable, writer).await,
    }
    let response = actix_http::Response::with_body(StatusCode::NO_CONTENT, ());
    writer.write_response(response, Bytes::new()).await.is_ok()
}

/// Why a request that was sent on has no response.
enum SendError {
    /// It was not sent.
    Declined(NotForwarded),
    /// The engine may have run it.
    Lost(Failure),
}

fn parse_target(headers: &HeaderMap) -> Option<Target> {
    let target = headers.get(FORWARD_TO)?.to_str().ok()?;
    Target::try_from(target).ok()
}

/// Whether this instance may send a request to the engine now.
fn check(instance: &Instance, engine: &Target) -> Result<(), NotForwarded> {
    let is_full = instance.forwarding.get() > MAX_FORWARDED;
    if is_full || instance.lifecycle.is_closing() {
        return Err(NotForwarded::Busy);
    }
    let links = instance.links.state();
    if links.is_isolated(&engine.service) {
        return Err(NotForwarded::Isolated);
    }
    // A request is forwarded once; this instance would need a third one.
    if links.path(&engine.id, &engine.service) == Path::Forwarded {
        return Err(why_unreachable(instance, engine));
    }
    is_available(instance, &engine.id)
}

/// Why an engine that could not be reached gets no requests from here: its own fault, or one that may be
/// this instance's.
fn why_unreachable(instance: &Instance, engine: &Target) -> NotForwarded {
    match instance.links.state().is_at_fault(&engine.id) {
        true => NotForwarded::Unreachable,
        false => NotForwarded::Unavailable,
    }
}

/// Whether the engine takes requests from this instance, as far as it is known here. An engine's
/// pause holds for the instance that sends, whoever has the caller.
fn is_available(instance: &Instance, engine: &EngineId) -> Result<(), NotForwarded> {
    let fleet = instance.fleet.borrow();
    let is_leaving = fleet.get(engine).is_some_and(|known| !known.takes_calls());
    if is_leaving || fleet.is_paused(engine, instance.now()) {
        return Err(NotForwarded::Unavailable);
    }
    Ok(())
}

async fn send(
    instance: &Rc<Instance>,
    engine: &Target,
    arrival: &IncomingRequest,
) -> Result<Box<Response>, SendError> {
    // Whether the call may be repeated is decided where its caller is.
    let opened = engine_links::open(instance, engine, false).await;
    let Ok(mut client) = opened else {
        return Err(SendError::Declined(why_unreachable(instance, engine)));
    };
    // It may have asked for a pause while the connection was opened.
    is_available(instance, &engine.id).map_err(SendError::Declined)?;
    let head = upstream::forwarded_head(&arrival.head, &[FORWARD_TO]);
    let sent_at = instance.now();
    match client.send(head, &arrival.body).await {
        Ok(response) => {
            instance.links.on_received(&engine.service, instance.now());
            announcements::observe_own(instance, &engine.id, &response.head);
            Ok(Box::new(Response {
                head: response.head,
                framing: response.framing,
                client,
            }))
        }
        Err(failure) => {
            engine_links::on_lost(instance, engine, sent_at, &failure);
            Err(SendError::Lost(failure))
        }
    }
}

/// Passes a response back as it arrives. One that the engine breaks off is broken off here too.
async fn pass_back(
    head: &ResponseHead,
    framing: Framing,
    client: &mut Client,
    on_chunk: impl Fn(),
    writer: &mut Writer,
) -> bool {
    let mut head = ingress::relayed_head(head, false);
    if framing == Framing::UntilClose {
        let present = HeaderValue::from_static("1");
        head.headers_mut().insert(UNTIL_CLOSE, present);
    }
    if framing == Framing::Empty {
        return writer.write_response(head, Bytes::new()).await.is_ok();
    }
    if writer.write_head(head, BodySize::Stream).await.is_err() {
        return false;
    }
    loop {
        match client.chunk().await {
            Ok(Some(chunk)) => {
                on_chunk();
                if writer.write_chunk(chunk).await.is_err() {
                    return false;
                }
            }
            Ok(None) => return writer.finish().await.is_ok(),
            Err(failure) => {
                log::debug!(failure:% = failure; "an engine broke off a response for another instance");
                return false;
            }
        }
    }
}

async fn refuse(why: NotForwarded, writer: &mut Writer) -> bool {
    let mut response = actix_http::Response::with_body(StatusCode::SERVICE_UNAVAILABLE, ());
    let why = HeaderValue::from_static(why.name());
    response.headers_mut().insert(NOT_FORWARDED, why);
    writer.write_response(response, Bytes::new()).await.is_ok()
}

/// Counts a request until this is dropped.
struct OpenGuard<'a>(&'a Cell<usize>);

impl<'a> OpenGuard<'a> {
    fn new(open: &'a Cell<usize>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
