//! A server connection, which reads whole requests, writes responses in chunks, and detects that
//! the caller has disconnected while its request is being served.

use std::future::pending;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{ConnectionType, Method, Request, RequestHead, Response, StatusCode, Version};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::consume_budget;
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::{Decoder as _, Encoder as _};

use crate::account::{Account, Held};
use crate::body::Body;
use crate::framing::{allows_body, length};
use crate::socket::{Transfer, set_options, set_reset_on_close, try_read, try_write};
use crate::{Config, RequestError, TcpTimeouts};

/// Limits on the size and the duration of a caller's requests.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Time limit of the whole request, head and body, from the start of reading.
    pub head_time: Duration,
    /// Time limit for the first byte of a request on an open connection.
    pub idle: Duration,
}

/// A complete request from a caller.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Method, target, headers.
    pub head: RequestHead,
    /// The complete body.
    pub body: Bytes,
    /// When reading of the request started.
    pub started_at: Instant,
}

/// A connection from a caller.
pub struct Server {
    reader: Reader,
    writer: Writer,
    /// Head of the last request, if its body could not be read.
    refused: Option<RequestHead>,
}

/// The reading half; while a request is served it detects that the caller disconnects.
pub struct Reader {
    stream: Rc<TcpStream>,
    received: BytesMut,
    held: Rc<Held>,
}

/// The writing half.
pub struct Writer {
    stream: Rc<TcpStream>,
    held: Rc<Held>,
    codec: Codec,
    unsent: BytesMut,
    head_written: bool,
    /// Method of the current request.
    method: Method,
    /// Version of the current request.
    version: Version,
    /// Whether the connection closes after the response.
    closes: bool,
}

/// Maximum number of bytes buffered of what a caller sends before its response is complete.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Buffer space for a read, and the least for which no new buffer is allocated.
const READ_BYTES: usize = 8 * 1024;
const MIN_READ_BYTES: usize = 2 * 1024;
/// Most bytes of framing for each byte of a body, beside those that a head may have. A chunk of one byte has
/// five.
const MAX_FRAMING_PER_BYTE: usize = 16;
/// Part of a whole response that is encoded at a time.
const WRITE_BYTES: usize = 64 * 1024;
/// Largest write whose buffer is kept for the next one.
const MAX_KEPT_BYTES: usize = 8 * 1024;

impl Server {
    /// Wraps an accepted connection.
    ///
    /// # Errors
    ///
    /// If the socket options cannot be set because the socket is already closed.
    pub fn new(stream: TcpStream, timeouts: &TcpTimeouts, config: &Config) -> io::Result<Self> {
        set_options(&stream, timeouts)?;
        let stream = Rc::new(stream);
        let reader = Reader {
            stream: stream.clone(),
            received: BytesMut::new(),
            held: Rc::default(),
        };
        let writer = Writer {
            stream,
            held: Rc::default(),
            codec: Codec::new(config.clone()),
            unsent: BytesMut::new(),
            head_written: false,
            method: Method::GET,
            version: Version::HTTP_11,
            closes: false,
        };
        Ok(Self {
            reader,
            writer,
            refused: None,
        })
    }

    /// Accounts from now on for what the connection holds: what has been received, and the body of the
    /// current request until the next one is waited for.
    #[must_use]
    pub fn with_account(mut self, account: Account) -> Self {
        let held = Rc::new(Held::new(account));
        self.reader.held = held.clone();
        self.writer.held = held;
        self
    }

    /// Both halves, for concurrent use.
    pub fn split(&mut self) -> (&mut Reader, &mut Writer) {
        (&mut self.reader, &mut self.writer)
    }

    /// Whether bytes of a further request have already been read.
    pub fn has_more(&self) -> bool {
        !self.reader.received.is_empty()
    }

    /// Waits for the first byte of a request, up to the idle time limit.
    ///
    /// # Errors
    ///
    /// [`RequestError::Disconnected`] if none arrives.
    pub async fn wait_for_request(&mut self, limits: &Limits) -> Result<(), RequestError> {
        self.refused = None;
        self.reader.held.set_body(0);
        self.reader.held.release_head();
        self.reader.release_buffer();
        let deadline = Instant::now() + limits.idle;
        while self.reader.received.is_empty() {
            self.reader
                .fill(limits.head, deadline)
                .await
                .map_err(|_| RequestError::Disconnected)?;
        }
        Ok(())
    }

    /// Reads a complete request.
    ///
    /// # Errors
    ///
    /// Why the request could not be read; no response has been sent then.
    pub async fn read_request(&mut self, limits: &Limits) -> Result<IncomingRequest, RequestError> {
        let started_at = Instant::now();
        let deadline = started_at + limits.head_time;
        let request = self.read_head(limits, deadline).await?;
        // The codec expects another protocol behind an offer to change to it, which is never accepted.
        let message = self.writer.codec.message_type();
        let expects_continue = request.head().expect();
        self.writer.closes = message == MessageType::Stream || request.head().upgrade();
        self.writer.head_written = false;
        let head = owned_head(request);
        self.writer.method = head.method.clone();
        self.writer.version = head.version;
        let body = self.read_body(message, &head, expects_continue, limits, deadline);
        match body.await {
            Ok(body) => Ok(IncomingRequest {
                head,
                body,
                started_at,
            }),
            Err(error) => {
                self.reader.held.set_body(0);
                self.refused = Some(head);
                Err(error)
            }
        }
    }

    /// The head of the last request, if its body could not be read.
    pub fn refused_head(&self) -> Option<&RequestHead> {
        self.refused.as_ref()
    }

    async fn read_body(
        &mut self,
        message: MessageType,
        head: &RequestHead,
        expects_continue: bool,
        limits: &Limits,
        deadline: Instant,
    ) -> Result<Bytes, RequestError> {
        let length = length(&head.headers).map_err(|_| RequestError::Malformed)?;
        let length = length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if length.is_some_and(|length| length > limits.body) {
            return Err(RequestError::BodyTooLarge);
        }
        if expects_continue {
            let written = self.writer.write_continue().await;
            written.map_err(|_| RequestError::Disconnected)?;
        }
        match message {
            MessageType::None => Ok(Bytes::new()),
            MessageType::Payload => self.read_payload(length, limits, deadline).await,
            MessageType::Stream => {
                let length = length.unwrap_or_default();
                self.read_sized_body(length, limits, deadline).await
            }
        }
    }

    /// Ends the sending direction, then reads and discards what the caller still sends, up to a number of
    /// bytes and a time.
    ///
    /// A connection that is closed with unread bytes ends with a reset, which may overtake the response.
    pub async fn drain(&mut self, max_bytes: usize, limit: Duration) {
        if self.writer.shutdown().is_err() {
            return;
        }
        let deadline = Instant::now() + limit;
        let mut drained = 0;
        while drained < max_bytes {
            self.reader.received.clear();
            if self.reader.fill(READ_BYTES, deadline).await.is_err() {
                return;
            }
            drained += self.reader.received.len();
        }
    }

    async fn read_head(
        &mut self,
        limits: &Limits,
        deadline: Instant,
    ) -> Result<Request, RequestError> {
        loop {
            let buffered = self.reader.received.len();
            match self.writer.codec.decode(&mut self.reader.received) {
                Ok(Some(Message::Item(request))) => {
                    self.reader.held.keep_head();
                    let size = buffered - self.reader.received.len();
                    return if size > limits.head {
                        Err(RequestError::HeadTooLarge)
                    } else {
                        Ok(request)
                    };
                }
                Ok(Some(Message::Chunk(_))) | Err(_) => return Err(RequestError::Malformed),
                Ok(None) if buffered > limits.head => return Err(RequestError::HeadTooLarge),
                Ok(None) => self.reader.fill(limits.head, deadline).await?,
            }
        }
    }

    async fn read_sized_body(
        &mut self,
        length: usize,
        limits: &Limits,
        deadline: Instant,
    ) -> Result<Bytes, RequestError> {
        let held = self.reader.held.clone();
        let mut body = Body::new(&held, Some(length), length)?;
        loop {
            let missing = length - body.len();
            let available = missing.min(self.reader.received.len());
            body.push(&self.reader.received.split_to(available))?;
            if available == missing {
                return Ok(body.into_bytes());
            }
            self.reader.fill(limits.head, deadline).await?;
        }
    }

    async fn read_payload(
        &mut self,
        length: Option<usize>,
        limits: &Limits,
        deadline: Instant,
    ) -> Result<Bytes, RequestError> {
        let held = self.reader.held.clone();
        let mut body = Body::new(&held, length, limits.body)?;
        // Bytes of framing since the last piece of the body, and of all its framing.
        let (mut overhead, mut framing) = (0, 0);
        loop {
            let before = self.reader.received.len();
            let decoded = self.writer.codec.decode(&mut self.reader.received);
            let consumed = before - self.reader.received.len();
            match decoded {
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    body.push(&chunk)?;
                    overhead = 0;
                    framing += consumed - chunk.len();
                    // Small pieces take far longer than large ones to decode.
                    consume_budget().await;
                }
                Ok(Some(Message::Chunk(None))) => return Ok(body.into_bytes()),
                Ok(Some(Message::Item(_))) | Err(_) => return Err(RequestError::Malformed),
                Ok(None) => {
                    overhead += consumed;
                    framing += consumed;
                    let max_framing = limits.head + MAX_FRAMING_PER_BYTE * body.len();
                    if overhead > limits.head || framing > max_framing {
                        return Err(RequestError::Malformed);
                    }
                    self.reader.fill(limits.head, deadline).await?;
                }
            }
        }
    }
}

impl Reader {
    async fn fill(&mut self, max_kept: usize, deadline: Instant) -> Result<(), RequestError> {
        loop {
            // A socket that always has bytes would give other tasks no turn, nor the time-out.
            let readable = async {
                consume_budget().await;
                self.stream.readable().await
            };
            match timeout_at(deadline, readable).await {
                Err(_) => return Err(RequestError::TimedOut),
                Ok(Err(_)) => return Err(RequestError::Disconnected),
                Ok(Ok(())) => {}
            }
            if !self.make_room(max_kept) {
                return Err(RequestError::NoMemory);
            }
            match try_read(&self.stream, &mut self.received) {
                Ok(Transfer::Progress) => return Ok(()),
                Ok(Transfer::WouldBlock) => {}
                Ok(Transfer::Eof) | Err(_) => return Err(RequestError::Disconnected),
            }
        }
    }

    /// Makes room in the buffer for a read. Returns whether there is memory for it.
    ///
    /// A buffer that is too small for what has to be kept grows to its final size at once: many that grow
    /// step by step leave as much free space between them.
    fn make_room(&mut self, max_kept: usize) -> bool {
        let kept = self.received.len();
        if self.received.capacity() - kept >= MIN_READ_BYTES {
            return true;
        }
        let capacity = match kept + MIN_READ_BYTES <= READ_BYTES {
            true => READ_BYTES,
            false => kept.max(max_kept) + READ_BYTES,
        };
        if !self.held.set_received(capacity) {
            return false;
        }
        let mut larger = BytesMut::with_capacity(capacity);
        larger.extend_from_slice(&self.received);
        self.received = larger;
        true
    }

    /// Frees the buffer if nothing is in it.
    fn release_buffer(&mut self) {
        if self.received.is_empty() {
            self.received = BytesMut::new();
            self.held.set_received(0);
        }
    }

    /// Completes when the caller has closed the connection. Until then buffers what it sends, up to
    /// a limit; beyond that, or without memory, the future never completes.
    pub async fn closed(&mut self) {
        loop {
            if self.received.len() >= READ_AHEAD_BYTES {
                return pending().await;
            }
            if self.stream.readable().await.is_err() {
                return;
            }
            if !self.make_room(READ_AHEAD_BYTES) {
                return pending().await;
            }
            match try_read(&self.stream, &mut self.received) {
                Ok(Transfer::Progress | Transfer::WouldBlock) => {}
                Ok(Transfer::Eof) | Err(_) => return,
            }
        }
    }
}

impl Writer {
    /// Whether the head of the response to the current request has been written.
    pub fn has_written_head(&self) -> bool {
        self.head_written
    }

    /// Whether the connection stays open after the response, as its head announced.
    pub fn keep_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Writes the head of a response; its body, if any, follows by [`Writer::write_chunk`]. A response
    /// that can't have a body gets none, whatever is written of it.
    ///
    /// Callers of HTTP/1.0 know no chunks, so a body of unknown size ends with their connection. Until
    /// [`Writer::finish`] the connection is set to end with a reset, even if the process is killed, and
    /// they cannot take a broken body for a complete one.
    ///
    /// # Errors
    ///
    /// If the caller has disconnected.
    pub async fn write_head(&mut self, mut head: Response<()>, size: BodySize) -> io::Result<()> {
        self.head_written = true;
        let size = self.allowed_size(&head, size);
        if size == BodySize::Stream && self.version < Version::HTTP_11 {
            head.head_mut().no_chunking(true);
            head.head_mut().set_connection_type(ConnectionType::Close);
            set_reset_on_close(&self.stream, true)?;
        }
        self.announce_close(&mut head);
        self.codec
            .encode(Message::Item((head, size)), &mut self.unsent)?;
        self.flush().await
    }

    /// Writes a complete response.
    ///
    /// # Errors
    ///
    /// If the caller has disconnected.
    pub async fn write_response(
        &mut self,
        mut head: Response<()>,
        mut body: Bytes,
    ) -> io::Result<()> {
        self.head_written = true;
        self.announce_close(&mut head);
        let size = self.allowed_size(&head, BodySize::Sized(body.len() as u64));
        self.codec
            .encode(Message::Item((head, size)), &mut self.unsent)?;
        self.encode_pieces(&mut body).await?;
        self.codec.encode(Message::Chunk(None), &mut self.unsent)?;
        self.flush().await
    }

    /// Encodes a part of the body, and sends all but its last piece. The codec copies, so that a caller
    /// that does not read would hold it twice.
    async fn encode_pieces(&mut self, body: &mut Bytes) -> io::Result<()> {
        while !body.is_empty() {
            let piece = body.split_to(body.len().min(WRITE_BYTES));
            self.codec
                .encode(Message::Chunk(Some(piece)), &mut self.unsent)?;
            if !body.is_empty() {
                self.flush().await?;
            }
        }
        Ok(())
    }

    /// Writes a part of a body of unknown size, in as many chunks as it takes.
    ///
    /// # Errors
    ///
    /// If the caller has disconnected.
    pub async fn write_chunk(&mut self, mut chunk: Bytes) -> io::Result<()> {
        self.encode_pieces(&mut chunk).await?;
        self.flush().await
    }

    /// Ends a body of unknown size.
    ///
    /// # Errors
    ///
    /// If the caller has disconnected.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.unsent)?;
        self.flush().await?;
        if self.version < Version::HTTP_11 {
            set_reset_on_close(&self.stream, false)?;
        }
        Ok(())
    }

    /// Makes the connection end with a reset once both halves are dropped. The caller then cannot take
    /// its end for the end of a body without a length.
    ///
    /// # Errors
    ///
    /// If the socket is closed.
    pub fn abort(&self) -> io::Result<()> {
        set_reset_on_close(&self.stream, true)
    }

    fn shutdown(&self) -> io::Result<()> {
        SockRef::from(&*self.stream).shutdown(Shutdown::Write)
    }

    /// The codec omits the framing of a body from the head of a response that can't have one, and would
    /// still write the body.
    fn allowed_size(&self, head: &Response<()>, size: BodySize) -> BodySize {
        match allows_body(&self.method, head.status()) {
            true => size,
            false => BodySize::None,
        }
    }

    fn announce_close(&self, head: &mut Response<()>) {
        if self.closes {
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
    }

    async fn write_continue(&mut self) -> io::Result<()> {
        self.unsent
            .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        self.flush().await
    }

    async fn flush(&mut self) -> io::Result<()> {
        let is_large = self.unsent.len() > MAX_KEPT_BYTES;
        while !self.unsent.is_empty() {
            match try_write(&self.stream, &mut self.unsent)? {
                Transfer::Progress => {}
                Transfer::WouldBlock => {
                    self.held.set_blocked(true);
                    self.stream.writable().await?;
                    self.held.set_blocked(false);
                }
                Transfer::Eof => return Err(io::ErrorKind::WriteZero.into()),
            }
        }
        if is_large {
            self.unsent = BytesMut::new();
        }
        Ok(())
    }
}

fn owned_head(mut request: Request) -> RequestHead {
    let mut head = RequestHead::default();
    let source = request.head_mut();
    std::mem::swap(&mut head.uri, &mut source.uri);
    std::mem::swap(&mut head.method, &mut source.method);
    std::mem::swap(&mut head.headers, &mut source.headers);
    head.version = source.version;
    head
}

impl RequestError {
    /// Whether the caller may still be sending a body that is not read.
    pub fn leaves_body_unread(self) -> bool {
        matches!(self, Self::BodyTooLarge | Self::NoMemory)
    }

    /// The status of the response to the caller; `None` if the caller has disconnected.
    pub fn status(self) -> Option<StatusCode> {
        match self {
            Self::Disconnected => None,
            Self::TimedOut => Some(StatusCode::REQUEST_TIMEOUT),
            Self::Malformed => Some(StatusCode::BAD_REQUEST),
            Self::HeadTooLarge => Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
            Self::BodyTooLarge => Some(StatusCode::PAYLOAD_TOO_LARGE),
            Self::NoMemory => Some(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}
