//! Short questions that are answered at once, on listeners of their own beside that of the callers.

use std::rc::Rc;

use actix_http::Response;
use bytes::Bytes;
use http1::Server;
use tokio::net::{TcpListener, TcpStream};

use crate::front::{CALLER, LIMITS, accept_failed};
use crate::instance::Instance;

/// What a path is answered with.
pub(crate) type Reply = fn(&Instance, &str) -> (Response<()>, Bytes);

/// Accepts questions until the process ends.
pub(crate) async fn accept(instance: Rc<Instance>, listener: TcpListener, reply: Reply) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(actix_rt::spawn(answer(instance.clone(), stream, reply))),
            Err(error) => accept_failed(&error).await,
        }
    }
}

async fn answer(instance: Rc<Instance>, stream: TcpStream, reply: Reply) {
    let Ok(mut server) = Server::new(stream, &CALLER, &instance.codec) else {
        return;
    };
    while server.wait(&LIMITS).await.is_ok() {
        let Ok(arrival) = server.request(&LIMITS).await else {
            return;
        };
        let (head, body) = reply(&instance, arrival.head.uri.path());
        let (_, writer) = server.sides();
        if writer.whole(head, body).await.is_err() || !writer.keeps_open() {
            return;
        }
    }
}
