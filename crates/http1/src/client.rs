//! A client connection that sends one request at a time.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio::io::Interest;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::consume_budget;
use tokio::time::{Instant, timeout};
use tokio_util::codec::{Decoder as _, Encoder as _};

use crate::failure::SILENT_WITHIN_BODY;
use crate::framing::{BodyEnd, body_end};
use crate::socket::{Transfer, set_acknowledge_timeout, set_options, try_read, try_write};
use crate::{Config, Failure, TcpTimeouts};

/// How the end of a response body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The response has no body.
    Empty,
    /// By a length or the last chunk.
    Delimited,
    /// By the orderly close of the connection.
    UntilClose,
}

/// Head of a response, and the framing of its body.
#[derive(Debug)]
pub struct ResponseStart {
    /// Status, headers and version.
    pub head: ResponseHead,
    /// How the end of the body is determined.
    pub framing: Framing,
}

enum State {
    Idle(ClientCodec),
    Body(ClientPayloadCodec),
    /// A body of which so many bytes are left. The codec does not expect it, so nothing can follow.
    Sized(u64),
    UntilClose,
    Unusable,
}

/// An open connection to a peer.
pub struct Client {
    stream: TcpStream,
    received: BytesMut,
    unsent: BytesMut,
    /// The part of the request's body that is not in `unsent` yet.
    unsent_body: Bytes,
    /// Why the rest of the request could not be sent.
    write_error: Option<io::Error>,
    state: State,
    eof: bool,
    /// Bytes received since the last head or piece of a body.
    overhead: usize,
    /// Method of the current request.
    method: Method,
    /// Announced length of the current response's body.
    length: Option<u64>,
    peer: SocketAddr,
    acknowledge: Duration,
    opened_at: Instant,
    /// Whether the caller has found out which process the peer is.
    is_identified: bool,
}

/// Maximum number of bytes read ahead of the consumer.
const READ_AHEAD_BYTES: usize = 256 * 1024;
/// Part of a request's body that is encoded at a time.
const WRITE_BYTES: usize = 64 * 1024;
/// Maximum number of bytes before the end of a response's head, interim responses included.
const MAX_HEAD_BYTES: usize = 128 * 1024;
/// Maximum number of bytes of a body's framing between two pieces of the body, and after the last one.
const MAX_FRAMING_BYTES: usize = 64 * 1024;

impl Client {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Always [`Failure::NotSent`].
    pub async fn open(
        peer: SocketAddr,
        timeouts: &TcpTimeouts,
        config: &Config,
    ) -> Result<Self, Failure> {
        let connecting = TcpStream::connect(peer);
        Self::open_with(connecting, peer, timeouts, config).await
    }

    /// Opens a connection from a local address, by which the peer recognizes this process.
    ///
    /// # Errors
    ///
    /// Always [`Failure::NotSent`].
    pub async fn open_from(
        local: IpAddr,
        peer: SocketAddr,
        timeouts: &TcpTimeouts,
        config: &Config,
    ) -> Result<Self, Failure> {
        let connecting = async {
            let socket = match local {
                IpAddr::V4(_) => TcpSocket::new_v4()?,
                IpAddr::V6(_) => TcpSocket::new_v6()?,
            };
            socket.bind(SocketAddr::new(local, 0))?;
            socket.connect(peer).await
        };
        Self::open_with(connecting, peer, timeouts, config).await
    }

    async fn open_with(
        connecting: impl Future<Output = io::Result<TcpStream>>,
        peer: SocketAddr,
        timeouts: &TcpTimeouts,
        config: &Config,
    ) -> Result<Self, Failure> {
        let stream = connect(connecting, timeouts)
            .await
            .map_err(Failure::NotSent)?;
        Ok(Self {
            stream,
            received: BytesMut::new(),
            unsent: BytesMut::new(),
            unsent_body: Bytes::new(),
            write_error: None,
            state: State::Idle(ClientCodec::new(config.clone())),
            eof: false,
            overhead: 0,
            method: Method::GET,
            length: None,
            peer,
            acknowledge: timeouts.acknowledge,
            opened_at: Instant::now(),
            is_identified: false,
        })
    }

    /// The peer's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Time since the connection was opened. Its peer is the same process all the while.
    pub fn age(&self) -> Duration {
        self.opened_at.elapsed()
    }

    /// Whether [`Client::set_identified`] was called.
    pub fn is_identified(&self) -> bool {
        self.is_identified
    }

    /// Records that the peer is the process that the caller takes it for.
    pub fn set_identified(&mut self) {
        self.is_identified = true;
    }

    /// Sets how long the peer may take to acknowledge what is sent from now on, and how long it may be
    /// silent.
    ///
    /// # Errors
    ///
    /// If the socket is closed.
    pub fn set_acknowledge_timeout(&mut self, limit: Duration) -> io::Result<()> {
        if self.acknowledge != limit {
            set_acknowledge_timeout(&self.stream, limit)?;
            self.acknowledge = limit;
        }
        Ok(())
    }

    /// Whether another request may be sent: the last response is complete, no bytes are left over,
    /// and the peer has neither closed the connection nor sent anything since.
    ///
    /// A peer may close an idle connection, or send an unsolicited response. A request sent then
    /// fails at once, or gets the response to another request. Checking the socket before each use
    /// finds all cases but those in which the peer acts while the request is being sent.
    pub fn is_reusable(&mut self) -> bool {
        let idle = matches!(self.state, State::Idle(_));
        let has_failed = self.eof || self.write_error.is_some();
        if !idle || has_failed || !self.received.is_empty() || !self.unsent.is_empty() {
            return false;
        }
        matches!(
            try_read(&self.stream, &mut self.received),
            Ok(Transfer::WouldBlock)
        )
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Any but [`Failure::NotSent`], since bytes may have been sent.
    pub async fn send(
        &mut self,
        head: RequestHead,
        body: &Bytes,
    ) -> Result<ResponseStart, Failure> {
        let State::Idle(mut codec) = std::mem::replace(&mut self.state, State::Unusable) else {
            return Err(Failure::Broken("the connection is not idle"));
        };
        self.method = head.method.clone();
        self.encode_request(&mut codec, head, body)
            .map_err(Failure::NoResponse)?;
        self.receive_response(codec).await
    }

    /// Waits for the head of a further response to the same request, if the previous one did not
    /// belong to it. The body of the previous one must have been read to its end.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn next_response(&mut self) -> Result<ResponseStart, Failure> {
        let State::Idle(codec) = std::mem::replace(&mut self.state, State::Unusable) else {
            return Err(Failure::Broken("no further answer can follow"));
        };
        self.receive_response(codec).await
    }

    /// Returns the next chunk of the response body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// [`Failure::Broken`] if the body ends early.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            // A socket that always has bytes never makes its reader wait, and other tasks and time-outs
            // would get no turn.
            consume_budget().await;
            if let Some(decoded) = self.decode_chunk()? {
                self.overhead = 0;
                return Ok(decoded);
            }
            if self.eof {
                return self.finish_at_eof();
            }
            if self.overhead > MAX_FRAMING_BYTES {
                self.state = State::Unusable;
                return Err(Failure::Broken("the body's framing is larger than allowed"));
            }
            if let Err(error) = self.transfer().await {
                self.state = State::Unusable;
                return Err(broken_within_body(&error));
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// As [`Client::chunk`], and [`Failure::Broken`] if the body exceeds `max_bytes`.
    pub async fn body(&mut self, max_bytes: usize) -> Result<Bytes, Failure> {
        self.body_within(max_bytes, async |_| {}).await
    }

    /// As [`Client::body`]. Waits for `reserve` before this number of bytes is allocated for the body.
    ///
    /// # Errors
    ///
    /// As [`Client::body`].
    pub async fn body_within(
        &mut self,
        max_bytes: usize,
        reserve: impl AsyncFn(usize),
    ) -> Result<Bytes, Failure> {
        let Some(first) = self.chunk().await? else {
            return Ok(Bytes::new());
        };
        let Some(second) = self.chunk().await? else {
            return Ok(first);
        };
        let announced = usize::try_from(self.length.unwrap_or_default()).unwrap_or(usize::MAX);
        let mut body = Vec::new();
        for piece in [&first, &second] {
            extend(&mut body, piece, announced.min(max_bytes), &reserve).await;
        }
        while let Some(chunk) = self.chunk().await? {
            if body.len() + chunk.len() > max_bytes {
                return Err(Failure::Broken("the body is larger than allowed"));
            }
            extend(&mut body, &chunk, 0, &reserve).await;
        }
        Ok(body.into())
    }

    fn encode_request(
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
        self.unsent_body = body.clone();
        self.encode_body();
        Ok(())
    }

    /// Encodes the next piece of the body. All of it would be a second copy, for as long as the peer does
    /// not read. A body of a known length is sent as it is.
    fn encode_body(&mut self) {
        let length = self.unsent_body.len().min(WRITE_BYTES);
        self.unsent
            .extend_from_slice(&self.unsent_body.split_to(length));
    }

    async fn receive_response(&mut self, mut codec: ClientCodec) -> Result<ResponseStart, Failure> {
        loop {
            if let Some(response) = self.decode_head(&mut codec)? {
                return self.start_body(response, codec);
            }
            self.receive_head().await?;
        }
    }

    fn decode_head(&mut self, codec: &mut ClientCodec) -> Result<Option<ResponseHead>, Failure> {
        loop {
            let head = codec
                .decode(&mut self.received)
                .map_err(|_| Failure::Broken("these bytes are no answer"))?;
            match head {
                Some(head) if head.status.is_informational() => check_interim(&head, codec)?,
                other => return Ok(other),
            }
        }
    }

    async fn receive_head(&mut self) -> Result<(), Failure> {
        if self.overhead > MAX_HEAD_BYTES {
            return Err(Failure::Broken("the answer's head is larger than allowed"));
        }
        if self.eof {
            return Err(match self.connection_error() {
                _ if !self.received.is_empty() => {
                    Failure::Broken("the answer ends within its head")
                }
                Some(error) => Failure::NoResponse(error),
                None => Failure::Closed,
            });
        }
        consume_budget().await;
        self.transfer().await.map_err(Failure::NoResponse)
    }

    fn start_body(
        &mut self,
        head: ResponseHead,
        codec: ClientCodec,
    ) -> Result<ResponseStart, Failure> {
        self.overhead = 0;
        let end = body_end(&self.method, &head).map_err(Failure::Broken)?;
        self.length = match end {
            BodyEnd::Length(length) => Some(length),
            _ => None,
        };
        let expects_body = codec.message_type() != MessageType::None;
        let (framing, state) = match end {
            // A codec that expects a body all the same would read the next head as one.
            BodyEnd::Head if codec.keep_alive() && !expects_body => {
                (Framing::Empty, State::Idle(codec))
            }
            BodyEnd::Head => (Framing::Empty, State::Unusable),
            BodyEnd::Length(length) if !expects_body => (Framing::Delimited, State::Sized(length)),
            BodyEnd::Length(_) | BodyEnd::LastChunk => {
                (Framing::Delimited, State::Body(codec.into_payload_codec()))
            }
            BodyEnd::Close => (Framing::UntilClose, State::UntilClose),
        };
        self.state = state;
        Ok(ResponseStart { head, framing })
    }

    fn decode_chunk(&mut self) -> Result<Option<Option<Bytes>>, Failure> {
        match std::mem::replace(&mut self.state, State::Unusable) {
            State::Body(mut codec) => match codec.decode(&mut self.received) {
                Ok(Some(None)) => {
                    self.finish_body(codec);
                    Ok(Some(None))
                }
                Ok(chunk) => {
                    self.state = State::Body(codec);
                    Ok(chunk)
                }
                Err(_) => Err(Failure::Broken("the body's framing is broken")),
            },
            State::Sized(0) => Ok(Some(None)),
            State::Sized(left) => {
                let available = usize::try_from(left).unwrap_or(usize::MAX);
                let chunk = self.received.split_to(available.min(self.received.len()));
                self.state = State::Sized(left - chunk.len() as u64);
                Ok((!chunk.is_empty()).then_some(Some(chunk.freeze())))
            }
            State::UntilClose => {
                self.state = State::UntilClose;
                let chunk = self.received.split().freeze();
                Ok((!chunk.is_empty()).then_some(Some(chunk)))
            }
            other => {
                self.state = other;
                Ok(Some(None))
            }
        }
    }

    fn finish_body(&mut self, codec: ClientPayloadCodec) {
        if codec.keep_alive() {
            self.state = State::Idle(codec.into_message_codec());
        }
    }

    fn finish_at_eof(&mut self) -> Result<Option<Bytes>, Failure> {
        match std::mem::replace(&mut self.state, State::Unusable) {
            State::UntilClose => match self.connection_error() {
                Some(error) => Err(broken_within_body(&error)),
                None => Ok(None),
            },
            _ => Err(Failure::Broken("the connection ends within the body")),
        }
    }

    /// The error that ended the connection before the peer closed it, if a write has consumed it: the
    /// kernel reports an error once, and a read after it looks like an orderly end.
    ///
    /// A write after an orderly end fails as well, with an error of its own.
    fn connection_error(&mut self) -> Option<io::Error> {
        let error = self.write_error.take()?;
        (error.kind() != io::ErrorKind::BrokenPipe).then_some(error)
    }

    /// Waits until the socket is readable or writable, then sends unsent bytes and receives
    /// available ones. Both, because a peer may respond before it has read the whole request.
    async fn transfer(&mut self) -> io::Result<()> {
        let has_room = self.received.len() < READ_AHEAD_BYTES;
        let interest = match (self.unsent.is_empty(), has_room) {
            (true, _) => Interest::READABLE,
            (false, true) => Interest::READABLE | Interest::WRITABLE,
            (false, false) => Interest::WRITABLE,
        };
        let ready = self.stream.ready(interest).await?;
        if ready.is_writable()
            && !self.unsent.is_empty()
            && let Err(error) = try_write(&self.stream, &mut self.unsent)
        {
            // The response may be in the receive buffer although the peer accepts no more bytes, so its
            // end is left to a read.
            self.unsent.clear();
            self.unsent_body.clear();
            self.write_error = Some(error);
        }
        if self.unsent.is_empty() {
            // An idle connection would keep the buffer of its last request.
            self.unsent = BytesMut::new();
            self.encode_body();
        }
        if ready.is_readable() || ready.is_read_closed() {
            let before = self.received.len();
            match try_read(&self.stream, &mut self.received)? {
                Transfer::Eof => self.eof = true,
                Transfer::Progress | Transfer::WouldBlock => {}
            }
            self.overhead += self.received.len() - before;
        }
        Ok(())
    }
}

/// Appends a piece to a body, which is allocated with at least so many bytes.
async fn extend(body: &mut Vec<u8>, piece: &[u8], min_bytes: usize, reserve: impl AsyncFn(usize)) {
    let length = body.len() + piece.len();
    if length > body.capacity() {
        let capacity = length.max(2 * body.capacity()).max(min_bytes);
        reserve(capacity).await;
        body.reserve_exact(capacity - body.len());
    }
    body.extend_from_slice(piece);
}

/// What follows an interim response is the next head, unless it switches protocols, which no request asks
/// for, or names a body, which it may not have.
fn check_interim(head: &ResponseHead, codec: &ClientCodec) -> Result<(), Failure> {
    if head.status == StatusCode::SWITCHING_PROTOCOLS || codec.message_type() != MessageType::None {
        return Err(Failure::Broken("no head follows the interim answer"));
    }
    Ok(())
}

fn broken_within_body(error: &io::Error) -> Failure {
    Failure::Broken(match error.kind() {
        io::ErrorKind::TimedOut => SILENT_WITHIN_BODY,
        _ => "the connection was reset within the body",
    })
}

async fn connect(
    connecting: impl Future<Output = io::Result<TcpStream>>,
    timeouts: &TcpTimeouts,
) -> io::Result<TcpStream> {
    let stream = timeout(timeouts.connect, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream, timeouts)?;
    Ok(stream)
}

fn is_bodiless(method: &Method) -> bool {
    *method == Method::GET || *method == Method::HEAD || *method == Method::DELETE
}
