//! A TCP stream that reports EOF as an error.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A TCP stream whose reads fail with [`ErrorKind::UnexpectedEof`] at EOF.
///
/// Without it, the response of a service that dies while sending it looks complete: the caller gets
/// the first part with status 200. The client stops reading at the end of a complete body, so the
/// error occurs only if data is missing, or on an idle connection, which is then dropped.
#[derive(Debug)]
pub struct StrictStream {
    stream: TcpStream,
}

impl StrictStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream }
    }

    fn stream(self: Pin<&mut Self>) -> Pin<&mut TcpStream> {
        Pin::new(&mut self.get_mut().stream)
    }
}

impl AsyncRead for StrictStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled_before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        ready!(self.stream().poll_read(cx, buffer))?;
        if has_room && buffer.filled().len() == filled_before {
            return Poll::Ready(Err(Error::from(ErrorKind::UnexpectedEof)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        self.stream().poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.stream().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.stream().poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.stream().poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
