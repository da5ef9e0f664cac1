//! Connections of callers: one request after the other, each watched for its caller's leaving.

use std::cell::Cell;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use http1::{Bad, Limits, Patience, Server};
use serving::route;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

use crate::instance::Instance;
use crate::refusal::{Refusal, refuse};
use crate::{attempt::Request, generate, plain};

/// A caller's connection counts as dead after about six seconds of silence of its machine, which is
/// longer than callers wait for most answers.
pub(crate) const CALLER: Patience = Patience {
    connect: Duration::from_secs(1),
    acknowledge: Duration::from_secs(5),
    probe: Duration::from_secs(2),
    probes: 2,
};

/// Limits until a configuration names others.
pub(crate) const LIMITS: Limits = Limits {
    head: 16 * 1024,
    body: 4 * 1024 * 1024,
    head_time: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};

/// Pause after a failed accept. Descriptors may have run out, and a loop without a pause would
/// take the processor from the calls that free them.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

pub(crate) async fn accept_failed(error: &io::Error) {
    log::warn!(error:% = error; "a connection could not be accepted");
    tokio::time::sleep(ACCEPT_PAUSE).await;
}

/// Accepts callers until the process is about to end. Then the listener is closed: a caller that is
/// refused goes to another instance at once, also where the balancer still names this one.
pub(crate) async fn accept(instance: Rc<Instance>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = instance.phase.closing() => return,
        };
        match accepted {
            Ok((stream, peer)) => drop(actix_rt::spawn(serve(instance.clone(), stream, peer.ip()))),
            Err(error) => accept_failed(&error).await,
        }
    }
}

async fn serve(instance: Rc<Instance>, stream: TcpStream, caller: IpAddr) {
    let Ok(mut server) = Server::new(stream, &CALLER, &instance.codec) else {
        return;
    };
    loop {
        let limits = limits(&instance);
        tokio::select! {
            biased;
            begun = server.wait(&limits) => if begun.is_err() { return },
            () = instance.phase.closing(), if !server.has_more() => return,
        }
        if !one(&instance, &mut server, &limits, caller).await {
            return;
        }
    }
}

fn limits(instance: &Instance) -> Limits {
    let table = instance.table.borrow();
    let limits: Option<route::Limits> = table.as_ref().map(|table| table.limits);
    limits.map_or(LIMITS, |limits| Limits {
        head: limits.head_bytes,
        body: limits.body_bytes,
        head_time: limits.head_timeout,
        idle: limits.idle_timeout,
    })
}

/// Serves one request. Says whether another may follow on the connection.
async fn one(
    instance: &Rc<Instance>,
    server: &mut Server,
    limits: &Limits,
    caller: IpAddr,
) -> bool {
    let _in_hand = instance.phase.begin();
    let arrival = match server.request(limits).await {
        Ok(arrival) => arrival,
        Err(bad) => {
            answer_bad(server, bad).await;
            return false;
        }
    };
    let (reader, writer) = server.sides();
    tokio::select! {
        biased;
        done = respond(instance, arrival, caller, writer) => done && writer.keeps_open(),
        () = reader.gone() => false,
    }
}

async fn answer_bad(server: &mut Server, bad: Bad) {
    let Some(status) = bad.status() else { return };
    log::info!(status = status.as_u16(), why:? = bad; "a request cannot be read");
    let (_, writer) = server.sides();
    let refusal = Refusal {
        status,
        id: None,
        retry_after: None,
        detail: "The request cannot be read.",
        may_have_run: false,
    };
    // The caller may have gone, and the connection is closed either way.
    drop(refuse(writer, refusal, true).await);
}

/// Answers a request. Says whether the answer is whole.
async fn respond(
    instance: &Rc<Instance>,
    arrival: http1::Arrival,
    caller: IpAddr,
    writer: &mut http1::Writer,
) -> bool {
    let leaving = instance.phase.is_leaving();
    if instance.phase.is_closing() {
        // What is begun now may not be finished in the time that is left.
        let refusal = Refusal {
            status: StatusCode::SERVICE_UNAVAILABLE,
            id: adapter::ingress::request_id(&arrival.head),
            retry_after: Some(CLOSING_AFTER),
            detail: "The instance is about to end.",
            may_have_run: false,
        };
        return refuse(writer, refusal, true).await.is_ok();
    }
    until_known(instance).await;
    match Request::new(instance, arrival, caller) {
        Ok(asked) => answer(instance, &asked, writer).await,
        Err(unserved) => {
            unserved.log();
            refuse(writer, unserved.as_refusal(), leaving).await.is_ok()
        }
    }
}

/// Longest time for which a call waits at an instance that has just started and is being told what the store holds. Most are told
/// sooner; one that is not sends its callers elsewhere.
const KNOWING: Duration = Duration::from_millis(300);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(10);

/// Waits until the configuration and the engines are known, if not for long.
///
/// After a restart of all, a caller that is refused by one instance is refused by the next one, and many come back only once. One
/// would notice it by refusals on all instances in the second after such a restart.
async fn until_known(instance: &Instance) {
    let until = Instant::now() + KNOWING;
    let lacks = || !instance.knows_all() || !knows_held(instance);
    while lacks() && Instant::now() < until {
        sleep(LOOK).await;
    }
}

/// Time after the start of a process in which it has read from the store which calls are held, if the store is well.
const HELD_READ: Duration = Duration::from_millis(500);

/// Whether this instance knows which calls are held, as far as it can be waited for.
///
/// All instances may have been killed at once. One that sent a held call before it has read of it would have the call end an engine after
/// each such restart.
fn knows_held(instance: &Instance) -> bool {
    instance.is_registered.get() || instance.now() >= HELD_READ
}

async fn answer(instance: &Rc<Instance>, asked: &Request, writer: &mut http1::Writer) -> bool {
    let waiting = Waiting {
        asked,
        is_answered: Cell::new(false),
    };
    let done = if asked.route.kind.is_stream() {
        generate::answer(instance, asked, writer).await
    } else {
        plain::answer(instance, asked, writer).await
    };
    waiting.is_answered.set(true);
    done
}

/// A caller that waits for its answer.
///
/// One that leaves ends everything that is done for its call, wherever that stands, so that no other line tells its end.
/// Without this one the request could not be told from one whose instance was killed.
struct Waiting<'a> {
    asked: &'a Request,
    is_answered: Cell<bool>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.is_answered.get() {
            return;
        }
        let asked = self.asked;
        log::info!(
            id = asked.call.id.as_str(), route = asked.route.name.as_str(), ms:% = asked.elapsed().as_millis(),
            left_ms:% = asked.remaining().as_millis();
            "the caller left"
        );
    }
}

/// When a caller may come back after an instance that ends refused it: at once, elsewhere.
const CLOSING_AFTER: Duration = Duration::from_millis(10);

/// Status of a request that no route matches.
pub(crate) const NO_ROUTE: StatusCode = StatusCode::NOT_FOUND;
