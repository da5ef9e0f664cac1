//! Callers' connections: serves one request after the other, and cancels a request whose caller
//! disconnects.

use std::cell::Cell;
use std::future::pending;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::os::fd::AsRawFd as _;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use http1::{IncomingRequest, Limits, RequestError, Server, TcpTimeouts};
use serving::intake::Reason;
use serving::memory::Shortage;
use serving::route;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};

use crate::connection_memory::Holder;
use crate::instance::Instance;
use crate::lifecycle::CallGuard;
use crate::own_load::Admitted;
use crate::refusal::{Refusal, refuse};
use crate::{attempt::Request, generate, plain};

/// A caller's connection counts as dead after about six seconds without an acknowledgement, which
/// is longer than callers wait for most responses.
pub(crate) const CALLER_PATIENCE: TcpTimeouts = TcpTimeouts {
    connect: Duration::from_secs(1),
    acknowledge: Duration::from_secs(5),
    probe_interval: Duration::from_secs(2),
    probe_count: 2,
};

/// Limits until a configuration sets others.
pub(crate) const DEFAULT_LIMITS: Limits = Limits {
    head: 16 * 1024,
    body: 4 * 1024 * 1024,
    head_time: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

/// Pause after a failed accept. Descriptors may have run out, and a busy loop would take the
/// processor from the calls that free them.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

pub(crate) async fn accept_failed(error: &io::Error) {
    log::warn!(error:% = error; "a connection could not be accepted");
    tokio::time::sleep(ACCEPT_PAUSE).await;
}

/// Accepts callers until shortly before the process ends. Then the listener is closed: a caller
/// whose connection is refused goes to another instance at once, even while the balancer still
/// lists this one.
pub(crate) async fn accept(instance: Rc<Instance>, mut listener: TcpListener) {
    let mut reopened_at: Option<Instant> = None;
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => admit(&instance, stream, peer.ip()),
                Err(error) => accept_failed(&error).await,
            },
            () = instance.own_load.wait_until_filled() => {}
            () = raise_backlog(&listener, reopened_at), if reopened_at.is_some() => {
                reopened_at = None;
            }
            () = instance.lifecycle.wait_for_closing() => return,
        }
        let Some(reason) = instance.own_load.refusal_reason() else {
            continue;
        };
        let Ok(address) = listener.local_addr() else {
            continue;
        };
        instance.own_load.on_closed(reason, 0, None);
        drop(listener);
        tokio::select! {
            reopened = reopen(&instance, address) => listener = reopened,
            () = instance.lifecycle.wait_for_closing() => return,
        }
        reopened_at = Some(Instant::now());
    }
}

/// Interval between checks whether connections are accepted again.
const REOPEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Serves an accepted connection, or closes it unread: the platform sends the caller's next try to
/// another instance.
fn admit(instance: &Rc<Instance>, stream: TcpStream, caller: IpAddr) {
    let load = &instance.own_load;
    let admitted = load.admit(stream.as_raw_fd()).and_then(|admitted| {
        let holder = Holder::open(&instance.connection_memory);
        let holder = holder.map_err(|Shortage| {
            load.on_closed(Reason::Memory, 1, None);
            Reason::Memory
        })?;
        Ok((admitted, holder))
    });
    match admitted {
        Ok((admitted, holder)) => {
            let serving = serve(instance.clone(), stream, caller, admitted, holder);
            drop(actix_rt::spawn(serving));
        }
        Err(reason) => {
            if reason == Reason::Descriptors {
                instance.connection_memory.free_descriptors();
            }
            instance.metrics.connection_closed_unread(reason);
        }
    }
}

/// Connections that may wait to be accepted after the listener was closed. Each sends up to ten
/// packets of its request, whether it is admitted or not. Fewer would drop handshakes, whose callers
/// repeat them after a second, while the process waits a tenth of a second for the processor.
const REOPENED_BACKLOG: i32 = 16;
/// Time without closing the listener after which the backlog is raised again.
const REOPENED_TIME: Duration = Duration::from_secs(1);

async fn raise_backlog(listener: &TcpListener, reopened_at: Option<Instant>) {
    if let Some(at) = reopened_at {
        sleep_until(at + REOPENED_TIME).await;
    }
    if let Err(error) = http1::set_backlog(listener, http1::BACKLOG) {
        log::warn!(error:% = error; "the backlog cannot be changed");
    }
}

/// Waits without a listener until the load allows connections again.
///
/// A caller sends up to ten packets of its request before it sees that a connection was closed
/// unread, which keeps the receiving direction of the link full. A refused connection costs two
/// packets.
async fn reopen(instance: &Instance, address: SocketAddr) -> TcpListener {
    loop {
        sleep(REOPEN_POLL_INTERVAL).await;
        if instance.own_load.refusal_reason().is_some() {
            continue;
        }
        match http1::listen_with_backlog(address, REOPENED_BACKLOG) {
            Ok(listener) => return listener,
            Err(error) => accept_failed(&error).await,
        }
    }
}

async fn serve(
    instance: Rc<Instance>,
    stream: TcpStream,
    caller: IpAddr,
    admitted: Admitted,
    holder: Rc<Holder>,
) {
    let mut admitted = Some(admitted);
    let Ok(server) = Server::new(stream, &CALLER_PATIENCE, &instance.codec) else {
        return;
    };
    let mut server = server.with_account(holder.account());
    loop {
        holder.set_waiting(true);
        let limits = limits(&instance);
        let overdue = async {
            match &admitted {
                Some(admitted) => admitted.wait_until_overdue().await,
                None => pending().await,
            }
        };
        let (_in_hand, arrival) = tokio::select! {
            biased;
            read = read_request(&instance, &mut server, &limits) => match read {
                Some(read) => read,
                None => return,
            },
            reason = overdue => {
                instance.metrics.connection_closed_unread(reason);
                return;
            }
            () = holder.wait_until_evicted() => {
                instance.metrics.connection_closed_unread(Reason::Memory);
                return;
            }
        };
        holder.set_waiting(false);
        if !serve_request(
            &instance,
            &mut server,
            arrival,
            caller,
            admitted.take(),
            &holder,
        )
        .await
        {
            return;
        }
    }
}

pub(crate) fn limits(instance: &Instance) -> Limits {
    let table = instance.table.borrow();
    let limits: Option<route::Limits> = table.as_ref().map(|table| table.limits);
    limits.map_or(DEFAULT_LIMITS, |limits| Limits {
        head: limits.head_bytes,
        body: limits.body_bytes,
        head_time: limits.head_timeout,
        idle: limits.idle_timeout,
    })
}

/// Reads a request, if another one comes. The guard marks it as in progress.
async fn read_request<'a>(
    instance: &'a Instance,
    server: &mut Server,
    limits: &Limits,
) -> Option<(CallGuard<'a>, IncomingRequest)> {
    tokio::select! {
        biased;
        received = server.wait_for_request(limits) => received.ok()?,
        () = instance.lifecycle.wait_for_closing(), if !server.has_more() => return None,
    }
    let in_hand = instance.lifecycle.enter();
    match server.read_request(limits).await {
        Ok(arrival) => Some((in_hand, arrival)),
        Err(why) => {
            refuse_unread(server, why).await;
            None
        }
    }
}

/// Serves one request. Returns whether another may follow on the connection.
async fn serve_request(
    instance: &Rc<Instance>,
    server: &mut Server,
    arrival: IncomingRequest,
    caller: IpAddr,
    admitted: Option<Admitted>,
    holder: &Rc<Holder>,
) -> bool {
    let load = &instance.own_load;
    let _load = load.on_request(arrival.body.len(), admitted);
    let (reader, writer) = server.split();
    let is_kept = tokio::select! {
        biased;
        done = respond(instance, arrival, caller, holder, writer) => done && writer.keep_alive(),
        () = reader.closed() => false,
        () = holder.wait_until_evicted() => {
            log::info!(caller:% = caller; "an answer that is not read is dropped for want of memory");
            false
        }
    };
    holder.release_answer();
    is_kept
}

/// Bytes and time for which a caller whose body is refused may go on sending, until it reads the refusal.
pub(crate) const MAX_DRAINED_BYTES: usize = 4 * 1024 * 1024;
pub(crate) const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Retry-after of a request for which there is no memory here. Another instance is likely to have some.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Refuses a request that could not be read. The connection is closed then.
async fn refuse_unread(server: &mut Server, why: RequestError) {
    let Some(status) = why.status() else { return };
    let id = server.refused_head().and_then(adapter::ingress::request_id);
    let id = id.map(str::to_owned);
    log::info!(id = id.as_deref().unwrap_or_default(), status = status.as_u16(), why:? = why; "a request cannot be read");
    let (_, writer) = server.split();
    let (retry_after, detail) = match why {
        RequestError::NoMemory => (
            Some(MEMORY_RETRY_AFTER),
            "There is no memory for the request now.",
        ),
        _ => (None, "The request cannot be read."),
    };
    let refusal = Refusal {
        status,
        id: id.as_deref(),
        retry_after,
        detail,
        may_have_run: false,
    };
    if refuse(writer, refusal, true).await.is_ok() && why.leaves_body_unread() {
        server.drain(MAX_DRAINED_BYTES, DRAIN_TIME).await;
    }
}

/// Responds to a request. Returns whether the response is complete.
async fn respond(
    instance: &Rc<Instance>,
    arrival: IncomingRequest,
    caller: IpAddr,
    holder: &Rc<Holder>,
    writer: &mut http1::Writer,
) -> bool {
    let leaving = instance.lifecycle.is_leaving();
    if instance.lifecycle.is_closing() {
        // A call that begins now may not complete in the time that is left.
        let refusal = Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            id: adapter::ingress::request_id(&arrival.head),
            retry_after: Some(CLOSING_RETRY_AFTER),
            detail: "The instance is about to end.",
            may_have_run: false,
        };
        return refuse(writer, refusal, true).await.is_ok();
    }
    wait_until_synced(instance).await;
    match Request::new(instance, arrival, caller, holder.clone()) {
        Ok(request) => answer(instance, &request, writer).await,
        Err(rejection) => {
            rejection.log();
            refuse(writer, rejection.as_refusal(), leaving)
                .await
                .is_ok()
        }
    }
}

/// Longest wait of a call at an instance that has just started and is still receiving state. Most
/// sync sooner; one that does not sends its callers elsewhere.
const SYNC_TIMEOUT: Duration = Duration::from_millis(300);
const SYNC_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits a short time for the configuration and the engines.
///
/// After a restart of all instances, a caller that one refuses is refused by the next one too, and
/// many retry only once; all instances would refuse calls in the second after such a restart.
async fn wait_until_synced(instance: &Instance) {
    let until = Instant::now() + SYNC_TIMEOUT;
    let is_unsynced = || !instance.is_synced() || !knows_held(instance);
    while is_unsynced() && Instant::now() < until {
        sleep(SYNC_POLL_INTERVAL).await;
    }
}

/// Time after the start within which the held calls have been read, while the store is healthy.
const HELD_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether this instance knows the held calls, or has waited long enough for them.
///
/// All instances may have been killed at once. One that sent a held call before reading its record
/// would let the call crash an engine after each such restart.
fn knows_held(instance: &Instance) -> bool {
    instance.peers_discovered.get() || instance.now() >= HELD_READ_TIMEOUT
}

async fn answer(instance: &Rc<Instance>, request: &Request, writer: &mut http1::Writer) -> bool {
    let waiting = AnswerGuard {
        request,
        is_answered: Cell::new(false),
    };
    let done = if request.route.kind.is_stream() {
        generate::answer(instance, request, writer).await
    } else {
        plain::answer(instance, request, writer).await
    };
    waiting.is_answered.set(true);
    done
}

/// Logs a caller that disconnects before its response.
///
/// Its disconnection cancels all work for the call, wherever that stands, so that no other line
/// logs the call's end. Without this one, the request could not be told from one whose instance was
/// killed.
struct AnswerGuard<'a> {
    request: &'a Request,
    is_answered: Cell<bool>,
}

impl Drop for AnswerGuard<'_> {
    fn drop(&mut self) {
        if self.is_answered.get() {
            return;
        }
        let request = self.request;
        log::info!(
            id = request.call.id.as_str(), route = request.route.name.as_str(), ms:% = request.elapsed().as_millis(),
            left_ms:% = request.remaining().as_millis();
            "the caller left"
        );
    }
}

/// Retry-after of an instance that is shutting down: at once, at another instance.
const CLOSING_RETRY_AFTER: Duration = Duration::from_millis(10);

pub(crate) const NO_ROUTE_STATUS: StatusCode = StatusCode::NOT_FOUND;
