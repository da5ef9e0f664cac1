//! The tasks that read from and write to a connection.

use std::rc::Rc;

use quinn::{RecvStream, SendStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use wire::peer::frame::Body;
use wire::peer::{Frame, Query};
use wire::record::Author;

use crate::codec::{self, Encoded};
use crate::config::Direction;
use crate::event::{Event, Responder};
use crate::inner::Inner;
use crate::link::{FALSE_NAME, Link};
use crate::traffic::Kind;

/// Serves a connection until it is closed.
pub(crate) async fn run(inner: Rc<Inner>, link: Rc<Link>, queue: mpsc::Receiver<Encoded>) {
    tokio::join!(
        read_datagrams(&inner, &link),
        read_streams(&inner, &link),
        serve_queries(&inner, &link),
        write(&inner, &link, queue),
    );
}

async fn read_datagrams(inner: &Rc<Inner>, link: &Rc<Link>) {
    while let Ok(bytes) = link.connection.read_datagram().await {
        receive(inner, link, &bytes);
    }
}

async fn read_streams(inner: &Rc<Inner>, link: &Rc<Link>) {
    while let Ok(stream) = link.connection.accept_uni().await {
        let (inner, link) = (Rc::clone(inner), Rc::clone(link));
        actix_rt::spawn(async move {
            let limit = inner.config.limits.max_frame_bytes;
            match read_stream(&inner, stream, limit).await {
                Some(bytes) => receive(&inner, &link, &bytes),
                None => inner.count_refused(),
            }
        });
    }
}

async fn serve_queries(inner: &Rc<Inner>, link: &Rc<Link>) {
    while let Ok((send, stream)) = link.connection.accept_bi().await {
        let (inner, link) = (Rc::clone(inner), Rc::clone(link));
        actix_rt::spawn(async move {
            let limit = inner.config.limits.max_query_bytes;
            match read_stream(&inner, stream, limit).await {
                Some(bytes) => answer_query(&inner, &link, &bytes, send).await,
                None => inner.count_refused(),
            }
        });
    }
}

async fn write(inner: &Rc<Inner>, link: &Rc<Link>, mut queue: mpsc::Receiver<Encoded>) {
    loop {
        let encoded = tokio::select! {
            encoded = queue.recv() => encoded,
            _ = link.connection.closed() => None,
        };
        let Some(encoded) = encoded else { return };
        if write_one(link, &encoded).await.is_err() {
            inner.count_unsent();
        }
    }
}

async fn write_one(link: &Link, encoded: &Encoded) -> Result<(), quinn::WriteError> {
    let mut stream = link.connection.open_uni().await?;
    stream.write_all(&encoded.bytes).await?;
    // `finish` fails only if called twice, and this is the only call.
    let _finished_before = stream.finish();
    Ok(())
}

async fn read_stream(inner: &Inner, mut stream: RecvStream, limit: usize) -> Option<Vec<u8>> {
    let read = stream.read_to_end(limit);
    timeout(inner.config.limits.query_timeout, read)
        .await
        .ok()?
        .ok()
}

/// Decodes and counts a frame. Closes the connection if the frame is malformed or names another
/// sender than the peer's certificate.
fn decode_frame(inner: &Inner, link: &Link, bytes: &[u8]) -> Option<(Author, Frame)> {
    if inner.config.drops(Direction::In, &link.id) {
        return None;
    }
    let Some((author, frame)) = codec::decode(bytes, &link.id) else {
        inner.count_refused();
        log::warn!(peer = link.id.as_str(); "frame is malformed or names another sender than the certificate");
        link.connection.close(FALSE_NAME, b"false name");
        return None;
    };
    let kind = Kind::from(frame.body.as_ref());
    inner.count(kind, Direction::In, bytes.len());
    Some((author, frame))
}

fn receive(inner: &Inner, link: &Link, bytes: &[u8]) {
    let Some((_, frame)) = decode_frame(inner, link, bytes) else {
        return;
    };
    // Queries and replies use bidirectional streams, which match a reply with its query.
    if matches!(frame.body, Some(Body::Query(_) | Body::Reply(_))) {
        inner.count_refused();
        return;
    }
    (inner.handler)(Event::Frame(frame));
}

async fn answer_query(inner: &Inner, link: &Link, bytes: &[u8], mut send: SendStream) {
    let Some((from, frame)) = decode_frame(inner, link, bytes) else {
        return;
    };
    let Some(Body::Query(query)) = frame.body else {
        inner.count_refused();
        return;
    };
    let Some(body) = call_handler(inner, from, query).await else {
        return;
    };
    let encoded = inner.encode(body);
    let fits = encoded.bytes.len() <= inner.config.limits.max_reply_bytes;
    if !fits || inner.config.drops(Direction::Out, &link.id) {
        return;
    }
    inner.count(encoded.kind, Direction::Out, encoded.bytes.len());
    if send.write_all(&encoded.bytes).await.is_ok() {
        // `finish` fails only if called twice, and this is the only call.
        let _finished_before = send.finish();
    }
}

async fn call_handler(inner: &Inner, from: Author, query: Query) -> Option<Body> {
    let (reply, waiting) = oneshot::channel();
    let responder = Responder { reply };
    (inner.handler)(Event::Query {
        from,
        query,
        responder,
    });
    let reply = timeout(inner.config.limits.query_timeout, waiting).await;
    reply.ok()?.ok().map(Body::Reply)
}

/// Sends a query to a peer and waits for its reply.
pub(crate) async fn exchange(inner: &Inner, link: &Link, query: &Encoded) -> Exchange {
    let Ok((mut send, mut stream)) = link.connection.open_bi().await else {
        return Exchange::Broken;
    };
    if send.write_all(&query.bytes).await.is_err() || send.finish().is_err() {
        return Exchange::Broken;
    }
    let bytes = match stream
        .read_to_end(inner.config.limits.max_reply_bytes)
        .await
    {
        Ok(bytes) => bytes,
        Err(quinn::ReadToEndError::TooLong) => return Exchange::Malformed,
        Err(quinn::ReadToEndError::Read(_)) => return Exchange::Broken,
    };
    if bytes.is_empty() {
        return Exchange::Broken;
    }
    match decode_frame(inner, link, &bytes) {
        Some((
            _,
            Frame {
                body: Some(Body::Reply(reply)),
                ..
            },
        )) => Exchange::Replied(reply),
        _ => Exchange::Malformed,
    }
}

/// Result of [`exchange`].
#[derive(Debug)]
pub(crate) enum Exchange {
    Replied(wire::peer::Reply),
    Broken,
    Malformed,
}
