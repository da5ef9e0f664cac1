//! Receives datagrams and dates them by [`serving::receipt`].

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use clock::{Clock as _, Moment, System};
use serving::receipt::{EMPTY_CHECK_INTERVAL, Inbox, Receipt};
use tokio::net::UdpSocket;
use tokio::task::coop;
use tokio::time::timeout;

/// A datagram that was written into the caller's buffer.
pub(super) struct Datagram {
    pub size: usize,
    pub from: SocketAddr,
    pub receipt: Receipt,
}

/// The socket for frames.
pub(super) struct DatagramInbox {
    pub socket: Rc<UdpSocket>,
    /// The same socket, for reads that always ask the kernel: the runtime takes a socket for empty until it
    /// has been told otherwise, which is after the timers of a process that was stopped.
    direct: std::net::UdpSocket,
    inbox: Inbox,
    clock: System,
}

impl DatagramInbox {
    pub(super) fn bind(address: SocketAddr, clock: System) -> io::Result<Self> {
        let direct = std::net::UdpSocket::bind(address)?;
        direct.set_nonblocking(true)?;
        Ok(Self {
            socket: Rc::new(UdpSocket::from_std(direct.try_clone()?)?),
            direct,
            inbox: Inbox::new(clock.now()),
            clock,
        })
    }

    /// Waits for the next datagram. `on_empty` is called with each moment at which there was none.
    pub(super) async fn receive(
        &mut self,
        buffer: &mut [u8],
        on_empty: impl Fn(Moment),
    ) -> io::Result<Datagram> {
        coop::consume_budget().await;
        loop {
            if let Some(datagram) = self.try_receive(buffer)? {
                return Ok(datagram);
            }
            on_empty(self.inbox.empty_at());
            if let Ok(ready) = timeout(EMPTY_CHECK_INTERVAL, self.socket.readable()).await {
                ready?;
            }
        }
    }

    fn try_receive(&mut self, buffer: &mut [u8]) -> io::Result<Option<Datagram>> {
        let is_empty = |error: &io::Error| error.kind() == io::ErrorKind::WouldBlock;
        let checked = self.clock.now();
        // Clears the runtime's note that there is something to read, which the direct read does not.
        let received = self.socket.try_recv_from(buffer);
        let received = match received {
            Err(error) if is_empty(&error) => self.direct.recv_from(buffer),
            received => received,
        };
        match received {
            Ok((size, from)) => Ok(Some(Datagram {
                size,
                from,
                receipt: self.inbox.receipt(self.clock.now()),
            })),
            Err(error) if is_empty(&error) => {
                self.inbox.on_empty(checked);
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }
}
