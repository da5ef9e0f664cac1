//! TCP proxy on loopback whose behaviour can be changed at run time, for open and new connections.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use platform_standin::Cut;
use platform_standin::partition::Partition;
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::plan::LinkState;

/// Proxy to one address.
#[derive(Debug)]
pub struct Proxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    link: watch::Sender<LinkState>,
    partition: Partition,
}

/// Direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Proxy {
    /// Starts a proxy that forwards everything.
    ///
    /// # Panics
    ///
    /// If loopback has no free port.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let (link, state) = watch::channel(LinkState::Pass);
        let (partition, handle) = Partition::new(&listener).expect("a socket can be duplicated");
        let own = partition.clone();
        actix_rt::spawn(async move {
            let _open = handle;
            let mut refuses = state.clone();
            loop {
                let accepted = tokio::select! {
                    biased;
                    () = wait_for_state(&mut refuses, |link| link == LinkState::Refuse) => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = accepted else { return };
                let Ok(mut connection) = own.accept(&stream) else {
                    continue;
                };
                let forwarding = forward_connection(stream, target, state.clone());
                actix_rt::spawn(async move {
                    tokio::select! {
                        biased;
                        () = connection.wait_for_reset() => {}
                        () = forwarding => {}
                    }
                });
            }
        });
        Self {
            address,
            link,
            partition,
        }
    }

    /// Cuts the paths from these addresses; all others pass.
    ///
    /// # Panics
    ///
    /// If the kernel refuses the filter that drops the packets.
    pub fn cut_off(&self, sources: &[Ipv4Addr], cut: Cut) {
        let set = self.partition.set(sources, cut);
        set.expect("packets can be filtered");
    }

    /// Changes the behaviour of the link.
    pub fn set(&self, link: LinkState) {
        self.link.send_replace(link);
    }
}

async fn forward_connection(
    mut near: TcpStream,
    target: SocketAddr,
    mut link: watch::Receiver<LinkState>,
) {
    // With Nagle's algorithm small writes wait for acknowledgements, a delay that no plan asks for.
    drop(near.set_nodelay(true));
    if *link.borrow() == LinkState::Reset {
        return reset_on_close(&near);
    }
    let Ok(mut far) = TcpStream::connect(target).await else {
        return reset_on_close(&near);
    };
    drop(far.set_nodelay(true));
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let up = forward(near_read, far_write, link.clone(), Direction::ToTarget);
    let down = forward(far_read, near_write, link.clone(), Direction::FromTarget);
    let broken = tokio::select! {
        result = async { tokio::try_join!(up, down) } => result.is_err(),
        () = wait_for_state(&mut link, |link| matches!(link, LinkState::Reset | LinkState::Refuse)) => true,
    };
    if broken {
        reset_on_close(&near);
        reset_on_close(&far);
    }
}

/// Makes the peer see a reset instead of an orderly close. A shutdown before, as by dropping an owned half,
/// would send an orderly close first.
fn reset_on_close(stream: &TcpStream) {
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}

/// Forwards bytes until the source closes in an orderly way, and closes the destination alike.
async fn forward(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut link: watch::Receiver<LinkState>,
    direction: Direction,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let size = from.read(&mut buffer).await?;
        wait_for_state(&mut link, |link| forwards(link, direction)).await;
        let delay = *link.borrow();
        if let LinkState::Delay(delay) = delay {
            tokio::time::sleep(delay).await;
        }
        if size == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..size]).await?;
    }
}

fn forwards(link: LinkState, direction: Direction) -> bool {
    match link {
        LinkState::Pass | LinkState::Delay(_) => true,
        LinkState::Silent | LinkState::Reset | LinkState::Refuse => false,
        LinkState::OneWay => direction == Direction::ToTarget,
    }
}

async fn wait_for_state(link: &mut watch::Receiver<LinkState>, state: impl Fn(LinkState) -> bool) {
    // The sender is dropped at the end of the run, after which nothing needs to be forwarded.
    if link.wait_for(|link| state(*link)).await.is_err() {
        std::future::pending::<()>().await;
    }
}
