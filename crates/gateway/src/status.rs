//! Serves status requests (readiness, metrics) on listeners of their own, apart from callers'
//! traffic.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Response;
use bytes::Bytes;
use http1::{Limits, RequestError, Server};
use tokio::net::{TcpListener, TcpStream};

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

/// Accepts connections until the process ends.
pub(crate) async fn serve(instance: Rc<Instance>, listener: TcpListener, handler: Handler) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(actix_rt::spawn(serve_connection(
                instance.clone(),
                stream,
                handler,
            ))),
            Err(error) => accept_failed(&error).await,
        }
    }
}

async fn serve_connection(instance: Rc<Instance>, stream: TcpStream, handler: Handler) {
    let opened = Server::new(stream, &CALLER_PATIENCE, &instance.codec);
    let (Ok(server), Ok(holder)) = (opened, Holder::open(&instance.connection_memory)) else {
        return;
    };
    holder.set_waiting(true);
    let mut server = server.with_account(holder.account());
    tokio::select! {
        () = serve_requests(&instance, &mut server, handler) => {}
        () = holder.wait_until_evicted() => {}
    }
}

async fn serve_requests(instance: &Instance, server: &mut Server, handler: Handler) {
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
