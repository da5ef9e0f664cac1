//! Answers whether callers may be sent here.

use std::rc::Rc;

use actix_http::{Response, StatusCode};
use bytes::Bytes;
use http1::{Limits, Patience, Server};
use tokio::net::{TcpListener, TcpStream};

use crate::front::{CALLER, LIMITS};
use crate::instance::Instance;

/// Accepts questions until the process ends.
pub(crate) async fn accept(instance: Rc<Instance>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(actix_rt::spawn(answer(instance.clone(), stream))),
            Err(error) => crate::front::accept_failed(&error).await,
        }
    }
}

async fn answer(instance: Rc<Instance>, stream: TcpStream) {
    let patience: Patience = CALLER;
    let Ok(mut server) = Server::new(stream, &patience, &instance.codec) else {
        return;
    };
    let limits: Limits = LIMITS;
    while server.wait(&limits).await.is_ok() {
        if server.request(&limits).await.is_err() {
            return;
        }
        let status = if is_ready(&instance) {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        let (_, writer) = server.sides();
        let head = Response::with_body(status, ());
        if writer.whole(head, Bytes::new()).await.is_err() || !writer.keeps_open() {
            return;
        }
    }
}

/// An instance is ready once it knows a configuration and the engines, until it is asked to end.
fn is_ready(instance: &Instance) -> bool {
    let knows = instance.table.borrow().is_some() && instance.engines_known.get();
    knows && !instance.phase.is_leaving()
}
