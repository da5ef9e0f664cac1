//! One connection to a peer that answers requests, one at a time.

use std::io;
use std::net::SocketAddr;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead};
use bytes::{Bytes, BytesMut};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Decoder as _, Encoder as _};

use crate::socket::{Step, try_read, try_write, tune};
use crate::{Config, Failure, TcpTimeouts};

/// How the end of an answer's body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// By a length or by a last chunk.
    Delimited,
    /// By the orderly end of the connection.
    UntilClose,
}

/// Head of an answer.
#[derive(Debug)]
pub struct ResponseStart {
    /// Status, headers and version.
    pub head: ResponseHead,
    /// How its body ends.
    pub framing: Framing,
}

enum State {
    Idle(ClientCodec),
    Body(ClientPayloadCodec),
    UntilClose,
    Spent,
}

/// An open connection to a peer.
pub struct Client {
    stream: TcpStream,
    received: BytesMut,
    unsent: BytesMut,
    state: State,
    ended: bool,
    peer: SocketAddr,
}

/// Most bytes read ahead of the consumer.
const READ_AHEAD: usize = 256 * 1024;

impl Client {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`], always: nothing was sent yet.
    pub async fn open(
        peer: SocketAddr,
        patience: &TcpTimeouts,
        config: &Config,
    ) -> Result<Self, Failure> {
        let stream = connect(peer, patience).await.map_err(Failure::NotSent)?;
        Ok(Self {
            stream,
            received: BytesMut::new(),
            unsent: BytesMut::new(),
            state: State::Idle(ClientCodec::new(config.clone())),
            ended: false,
            peer,
        })
    }

    /// The peer's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether another request may be sent: the last answer is whole, nothing is left over, and
    /// the peer has neither closed nor said anything since.
    ///
    /// A peer may close an idle connection, or send an answer that nobody asked for. A request
    /// that is sent all the same is lost, or meets the answer to another one. One notices it by
    /// requests that fail in the moment of their sending; a look at the socket before the use
    /// finds all but those that cross.
    pub fn is_reusable(&mut self) -> bool {
        let idle = matches!(self.state, State::Idle(_));
        if !idle || self.ended || !self.received.is_empty() || !self.unsent.is_empty() {
            return false;
        }
        matches!(
            try_read(&self.stream, &mut self.received),
            Ok(Step::Blocked)
        )
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// All but [`Failure::NotSent`], since bytes may have left.
    pub async fn send(
        &mut self,
        head: RequestHead,
        body: &Bytes,
    ) -> Result<ResponseStart, Failure> {
        let State::Idle(mut codec) = std::mem::replace(&mut self.state, State::Spent) else {
            return Err(Failure::Broken("the connection is not idle"));
        };
        let bodiless = head.method == Method::HEAD;
        self.queue(&mut codec, head, body)
            .map_err(Failure::NoResponse)?;
        loop {
            if let Some(answer) = self.take_head(&mut codec)? {
                return self.begin_body(answer, codec, bodiless);
            }
            self.advance_head().await?;
        }
    }

    /// Waits for the head of a further answer on the same request, where the one before did not
    /// belong to it. The body of the one before must have been read to its end.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn next_response(&mut self) -> Result<ResponseStart, Failure> {
        let State::Idle(mut codec) = std::mem::replace(&mut self.state, State::Spent) else {
            return Err(Failure::Broken("no further answer can follow"));
        };
        loop {
            if let Some(answer) = self.take_head(&mut codec)? {
                return self.begin_body(answer, codec, false);
            }
            self.advance_head().await?;
        }
    }

    /// The next piece of the answer's body, or nothing at its end.
    ///
    /// # Errors
    ///
    /// [`Failure::Broken`] if the body ends early.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            if let Some(outcome) = self.take_chunk()? {
                return Ok(outcome);
            }
            if self.ended {
                return self.end_of_stream();
            }
            if self.pump().await.is_err() {
                self.state = State::Spent;
                return Err(Failure::Broken("the connection was reset within the body"));
            }
        }
    }

    /// The whole body.
    ///
    /// # Errors
    ///
    /// As [`Client::chunk`], and [`Failure::Broken`] beyond `most` bytes.
    pub async fn body(&mut self, most: usize) -> Result<Bytes, Failure> {
        let Some(first) = self.chunk().await? else {
            return Ok(Bytes::new());
        };
        let Some(second) = self.chunk().await? else {
            return Ok(first);
        };
        let mut whole = BytesMut::from(&first[..]);
        whole.extend_from_slice(&second);
        while let Some(piece) = self.chunk().await? {
            if whole.len() + piece.len() > most {
                return Err(Failure::Broken("the body is larger than allowed"));
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    fn queue(
        &mut self,
        codec: &mut ClientCodec,
        head: RequestHead,
        body: &Bytes,
    ) -> io::Result<()> {
        let size = BodySize::Sized(body.len() as u64);
        let size = if body.is_empty() && is_bodiless(&head.method) {
            BodySize::None
        } else {
            size
        };
        let message = (RequestHeadType::from(head), size);
        codec.encode(Message::Item(message), &mut self.unsent)?;
        if !body.is_empty() {
            codec.encode(Message::Chunk(Some(body.clone())), &mut self.unsent)?;
        }
        Ok(())
    }

    fn take_head(&mut self, codec: &mut ClientCodec) -> Result<Option<ResponseHead>, Failure> {
        loop {
            let head = codec
                .decode(&mut self.received)
                .map_err(|_| Failure::Broken("these bytes are no answer"))?;
            match head {
                Some(head) if head.status.is_informational() => {}
                other => return Ok(other),
            }
        }
    }

    async fn advance_head(&mut self) -> Result<(), Failure> {
        if self.ended {
            return Err(if self.received.is_empty() {
                Failure::Closed
            } else {
                Failure::Broken("the answer ends within its head")
            });
        }
        self.pump().await.map_err(Failure::NoResponse)
    }

    fn begin_body(
        &mut self,
        head: ResponseHead,
        codec: ClientCodec,
        bodiless: bool,
    ) -> Result<ResponseStart, Failure> {
        let framing = framing(&head, &codec, bodiless);
        let keep = codec.keep_alive();
        self.state = match framing {
            Framing::Delimited => State::Body(codec.into_payload_codec()),
            Framing::UntilClose => State::UntilClose,
            Framing::Empty if keep => State::Idle(codec),
            Framing::Empty => State::Spent,
        };
        Ok(ResponseStart { head, framing })
    }

    fn take_chunk(&mut self) -> Result<Option<Option<Bytes>>, Failure> {
        match std::mem::replace(&mut self.state, State::Spent) {
            State::Body(mut codec) => match codec.decode(&mut self.received) {
                Ok(Some(None)) => {
                    self.finish(codec);
                    Ok(Some(None))
                }
                Ok(piece) => {
                    self.state = State::Body(codec);
                    Ok(piece)
                }
                Err(_) => Err(Failure::Broken("the body's framing is broken")),
            },
            State::UntilClose => {
                self.state = State::UntilClose;
                let piece = self.received.split().freeze();
                Ok((!piece.is_empty()).then_some(Some(piece)))
            }
            idle => {
                self.state = idle;
                Ok(Some(None))
            }
        }
    }

    fn finish(&mut self, codec: ClientPayloadCodec) {
        if codec.keep_alive() {
            self.state = State::Idle(codec.into_message_codec());
        }
    }

    fn end_of_stream(&mut self) -> Result<Option<Bytes>, Failure> {
        match std::mem::replace(&mut self.state, State::Spent) {
            State::UntilClose => Ok(None),
            _ => Err(Failure::Broken("the connection ends within the body")),
        }
    }

    /// Writes what is unsent and reads what is there, whichever comes first. Both at once, because
    /// a peer may answer before it has read the whole request.
    async fn pump(&mut self) -> io::Result<()> {
        let reads = self.received.len() < READ_AHEAD;
        let interest = match (self.unsent.is_empty(), reads) {
            (true, _) => Interest::READABLE,
            (false, true) => Interest::READABLE | Interest::WRITABLE,
            (false, false) => Interest::WRITABLE,
        };
        let ready = self.stream.ready(interest).await?;
        if ready.is_writable() && !self.unsent.is_empty() {
            let written = try_write(&self.stream, &mut self.unsent);
            if let Err(error) = written {
                self.unsent.clear();
                // The peer's answer may lie in the buffer although it takes no more bytes.
                if !ready.is_readable() {
                    return Err(error);
                }
            }
        }
        if ready.is_readable() || ready.is_read_closed() {
            match try_read(&self.stream, &mut self.received)? {
                Step::End => self.ended = true,
                Step::Moved | Step::Blocked => {}
            }
        }
        Ok(())
    }
}

async fn connect(peer: SocketAddr, patience: &TcpTimeouts) -> io::Result<TcpStream> {
    let stream = timeout(patience.connect, TcpStream::connect(peer))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    tune(&stream, patience)?;
    Ok(stream)
}

fn is_bodiless(method: &Method) -> bool {
    *method == Method::GET || *method == Method::HEAD || *method == Method::DELETE
}

/// The codec takes an answer that has neither a length nor chunks for one without a body; in
/// HTTP/1.1 its body goes on until the connection ends. Without this a caller would get an empty
/// body as a whole one.
fn framing(head: &ResponseHead, codec: &ClientCodec, bodiless: bool) -> Framing {
    let code = head.status.as_u16();
    if bodiless || code == 204 || code == 304 {
        return Framing::Empty;
    }
    let marked =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    match codec.message_type() {
        MessageType::None if marked => Framing::Empty,
        MessageType::None | MessageType::Stream => Framing::UntilClose,
        MessageType::Payload if marked => Framing::Delimited,
        MessageType::Payload => Framing::UntilClose,
    }
}
