//! One connection from a caller: whole requests in, answers out piece by piece, and the news that
//! the caller has gone while its request is being served.

use std::future::pending;
use std::io;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{Request, RequestHead, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tokio_util::codec::{Decoder as _, Encoder as _};

use crate::socket::{Step, try_read, try_write, tune};
use crate::{Config, RequestError, TcpTimeouts};

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Longest time from the first byte of a head to its end, and for the body after it.
    pub head_time: Duration,
    /// Longest silence between two requests.
    pub idle: Duration,
}

/// A whole request of a caller.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Method, target, headers.
    pub head: RequestHead,
    /// The whole body.
    pub body: Bytes,
    /// When its first byte was read.
    pub started_at: Instant,
}

/// A connection from a caller.
pub struct Server {
    reader: Reader,
    writer: Writer,
}

/// The side that reads; while a request is served it watches for the caller's leaving.
pub struct Reader {
    stream: std::rc::Rc<TcpStream>,
    received: BytesMut,
}

/// The side that writes answers.
pub struct Writer {
    stream: std::rc::Rc<TcpStream>,
    codec: Codec,
    unsent: BytesMut,
    begun: bool,
}

/// Most bytes kept of what a caller sends ahead of its answer.
const READ_AHEAD: usize = 64 * 1024;

impl Server {
    /// Takes an accepted connection.
    ///
    /// # Errors
    ///
    /// If the socket's options cannot be set, because it is closed already.
    pub fn new(stream: TcpStream, patience: &TcpTimeouts, config: &Config) -> io::Result<Self> {
        tune(&stream, patience)?;
        let stream = std::rc::Rc::new(stream);
        let reader = Reader {
            stream: stream.clone(),
            received: BytesMut::new(),
        };
        let writer = Writer {
            stream,
            codec: Codec::new(config.clone()),
            unsent: BytesMut::new(),
            begun: false,
        };
        Ok(Self { reader, writer })
    }

    /// Both sides, for use at the same time.
    pub fn split(&mut self) -> (&mut Reader, &mut Writer) {
        (&mut self.reader, &mut self.writer)
    }

    /// Whether bytes of a further request have been read already.
    pub fn has_more(&self) -> bool {
        !self.reader.received.is_empty()
    }

    /// Waits for the first byte of a request, for as long as a connection may be idle.
    ///
    /// # Errors
    ///
    /// [`Bad::Gone`] if none comes.
    pub async fn wait_for_request(&mut self, limits: &Limits) -> Result<(), RequestError> {
        let until = Instant::now() + limits.idle;
        while self.reader.received.is_empty() {
            self.reader
                .fill(until)
                .await
                .map_err(|_| RequestError::Disconnected)?;
        }
        Ok(())
    }

    /// Reads a whole request.
    ///
    /// # Errors
    ///
    /// What is wrong with the bytes; no answer has been sent then.
    pub async fn read_request(&mut self, limits: &Limits) -> Result<IncomingRequest, RequestError> {
        let begun = Instant::now();
        let until = begun + limits.head_time;
        let request = self.head(limits, until).await?;
        if request.head().expect() {
            self.writer
                .go_on()
                .await
                .map_err(|_| RequestError::Disconnected)?;
        }
        let body = match self.writer.codec.message_type() {
            MessageType::None => Bytes::new(),
            MessageType::Payload | MessageType::Stream => self.body(limits, until).await?,
        };
        let head = owned_head(request);
        self.writer.begun = false;
        Ok(IncomingRequest {
            head,
            body,
            started_at: begun,
        })
    }

    async fn head(&mut self, limits: &Limits, until: Instant) -> Result<Request, RequestError> {
        loop {
            let before = self.reader.received.len();
            match self.writer.codec.decode(&mut self.reader.received) {
                Ok(Some(Message::Item(request))) => {
                    let size = before - self.reader.received.len();
                    return if size > limits.head {
                        Err(RequestError::HeadTooLarge)
                    } else {
                        Ok(request)
                    };
                }
                Ok(Some(Message::Chunk(_))) | Err(_) => return Err(RequestError::Malformed),
                Ok(None) if before > limits.head => return Err(RequestError::HeadTooLarge),
                Ok(None) => self.reader.fill(until).await?,
            }
        }
    }

    async fn body(&mut self, limits: &Limits, until: Instant) -> Result<Bytes, RequestError> {
        let mut body = BytesMut::new();
        loop {
            match self.writer.codec.decode(&mut self.reader.received) {
                Ok(Some(Message::Chunk(Some(piece)))) => body.extend_from_slice(&piece),
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(Some(Message::Item(_))) | Err(_) => return Err(RequestError::Malformed),
                Ok(None) => self.reader.fill(until).await?,
            }
            if body.len() > limits.body {
                return Err(RequestError::BodyTooLarge);
            }
        }
    }
}

impl Reader {
    async fn fill(&mut self, until: Instant) -> Result<(), RequestError> {
        loop {
            match timeout_at(until, self.stream.readable()).await {
                Err(_) => return Err(RequestError::TimedOut),
                Ok(Err(_)) => return Err(RequestError::Disconnected),
                Ok(Ok(())) => {}
            }
            match try_read(&self.stream, &mut self.received) {
                Ok(Step::Moved) => return Ok(()),
                Ok(Step::Blocked) => {}
                Ok(Step::End) | Err(_) => return Err(RequestError::Disconnected),
            }
        }
    }

    /// Returns when the caller has closed. Meanwhile keeps what it sends ahead, within bounds.
    pub async fn closed(&mut self) {
        loop {
            if self.received.len() >= READ_AHEAD {
                return pending().await;
            }
            if self.stream.readable().await.is_err() {
                return;
            }
            match try_read(&self.stream, &mut self.received) {
                Ok(Step::Moved | Step::Blocked) => {}
                Ok(Step::End) | Err(_) => return,
            }
        }
    }
}

impl Writer {
    /// Whether the head of an answer has been written for the present request.
    pub fn has_written_head(&self) -> bool {
        self.begun
    }

    /// Whether the connection stays open after the answer, as its head said.
    pub fn keep_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Writes the head of an answer, and its whole body if that is known.
    ///
    /// # Errors
    ///
    /// If the caller has gone.
    pub async fn write_head(&mut self, head: Response<()>, size: BodySize) -> io::Result<()> {
        self.begun = true;
        self.codec
            .encode(Message::Item((head, size)), &mut self.unsent)?;
        self.flush().await
    }

    /// Writes an answer whose body is known.
    ///
    /// # Errors
    ///
    /// If the caller has gone.
    pub async fn write_response(&mut self, head: Response<()>, body: Bytes) -> io::Result<()> {
        self.begun = true;
        let size = BodySize::Sized(body.len() as u64);
        self.codec
            .encode(Message::Item((head, size)), &mut self.unsent)?;
        if !body.is_empty() {
            self.codec
                .encode(Message::Chunk(Some(body)), &mut self.unsent)?;
        }
        self.codec.encode(Message::Chunk(None), &mut self.unsent)?;
        self.flush().await
    }

    /// Writes a piece of a body of unknown size.
    ///
    /// # Errors
    ///
    /// If the caller has gone.
    pub async fn write_chunk(&mut self, piece: Bytes) -> io::Result<()> {
        self.codec
            .encode(Message::Chunk(Some(piece)), &mut self.unsent)?;
        self.flush().await
    }

    /// Ends a body of unknown size.
    ///
    /// # Errors
    ///
    /// If the caller has gone.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.unsent)?;
        self.flush().await
    }

    async fn go_on(&mut self) -> io::Result<()> {
        self.unsent
            .extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        self.flush().await
    }

    async fn flush(&mut self) -> io::Result<()> {
        while !self.unsent.is_empty() {
            match try_write(&self.stream, &mut self.unsent)? {
                Step::Moved => {}
                Step::Blocked => self.stream.writable().await?,
                Step::End => return Err(io::ErrorKind::WriteZero.into()),
            }
        }
        Ok(())
    }
}

fn owned_head(mut request: Request) -> RequestHead {
    let mut head = RequestHead::default();
    let from = request.head_mut();
    std::mem::swap(&mut head.uri, &mut from.uri);
    std::mem::swap(&mut head.method, &mut from.method);
    std::mem::swap(&mut head.headers, &mut from.headers);
    head.version = from.version;
    head
}

impl RequestError {
    /// The status that tells the caller, or nothing where nobody is left to be told.
    pub fn status(self) -> Option<StatusCode> {
        match self {
            Self::Disconnected => None,
            Self::TimedOut => Some(StatusCode::REQUEST_TIMEOUT),
            Self::Malformed => Some(StatusCode::BAD_REQUEST),
            Self::HeadTooLarge => Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
            Self::BodyTooLarge => Some(StatusCode::PAYLOAD_TOO_LARGE),
        }
    }
}
