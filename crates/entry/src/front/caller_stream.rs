//! A caller's connection, of which a little is read at a time.
//!
//! The HTTP library reads as much as its buffer has room for, which doubles each time that a part is left over,
//! up to 256 KiB, and decodes it before the call gets any of its body. What it buffers counts for no call.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes after which reading stops until they are decoded.
pub const MAX_READ_BYTES: usize = 8 * 1024;

/// A caller's connection.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    /// Bytes read since reading stopped last.
    read: usize,
}

impl CallerStream {
    /// Wraps an accepted connection. Small responses are sent at once.
    ///
    /// # Errors
    ///
    /// If the caller has disconnected.
    pub fn open(stream: TcpStream) -> io::Result<(Self, Option<SocketAddr>)> {
        stream.set_nodelay(true)?;
        let peer = stream.peer_addr().ok();
        Ok((Self { stream, read: 0 }, peer))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read >= MAX_READ_BYTES {
            self.read = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let room = buffer.remaining().min(MAX_READ_BYTES - self.read);
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(room));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut limited))?;
        let length = limited.filled().len();
        buffer.advance(length);
        self.read += length;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
