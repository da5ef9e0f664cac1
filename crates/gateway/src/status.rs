//! Serves status requests (readiness, metrics) on listeners of their own, apart from callers'
//! traffic.

use std::rc::Rc;

use actix_http::Response;
use bytes::Bytes;
use http1::Server;
use tokio::net::{TcpListener, TcpStream};

use crate::connection::{CALLER_PATIENCE, DEFAULT_LIMITS, accept_failed};
use crate::instance::Instance;

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
    let Ok(mut server) = Server::new(stream, &CALLER_PATIENCE, &instance.codec) else {
        return;
    };
    while server.wait_for_request(&DEFAULT_LIMITS).await.is_ok() {
        let Ok(arrival) = server.read_request(&DEFAULT_LIMITS).await else {
            return;
        };
        let (head, body) = handler(&instance, arrival.head.uri.path());
        let (_, writer) = server.split();
        if writer.write_response(head, body).await.is_err() || !writer.keep_alive() {
            return;
        }
    }
}
