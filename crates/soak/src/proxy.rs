//! A link on loopback whose behaviour changes from outside, on open connections as on new ones.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::plan::LinkState;

/// A link to one address.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    link: watch::Sender<LinkState>,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Proxy {
    /// Starts a link that passes all on.
    ///
    /// # Panics
    ///
    /// If loopback has no port left.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("loopback has a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let (link, seen) = watch::channel(LinkState::Pass);
        actix_rt::spawn(async move {
            let mut refuses = seen.clone();
            loop {
                let accepted = tokio::select! {
                    biased;
                    () = wait_for_state(&mut refuses, |link| link == LinkState::Refuse) => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = accepted else { return };
                actix_rt::spawn(forward_connection(stream, target, seen.clone()));
            }
        });
        Self { address, link }
    }

    /// Changes what the link does.
    pub fn set_state(&self, link: LinkState) {
        self.link.send_replace(link);
    }
}

async fn forward_connection(
    near: TcpStream,
    target: SocketAddr,
    mut link: watch::Receiver<LinkState>,
) {
    // Without this, small pieces wait for acknowledgements, which is no fault that a plan names.
    drop(near.set_nodelay(true));
    let near_end = SockRef::from(&near).try_clone();
    if *link.borrow() == LinkState::Reset {
        return reset(near_end);
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return reset(near_end);
    };
    drop(far.set_nodelay(true));
    let far_end = SockRef::from(&far).try_clone();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let up = forward(near_read, far_write, link.clone(), Direction::ToTarget);
    let down = forward(far_read, near_write, link.clone(), Direction::FromTarget);
    let broken = tokio::select! {
        (up, down) = async { tokio::join!(up, down) } => !(up && down),
        () = wait_for_state(&mut link, |link| matches!(link, LinkState::Reset | LinkState::Refuse)) => true,
    };
    if broken {
        reset(near_end);
        reset(far_end);
    }
}

/// Closes so that the peer sees a reset and not an end.
fn reset(socket: std::io::Result<socket2::Socket>) {
    if let Ok(socket) = socket {
        drop(socket.set_linger(Some(Duration::ZERO)));
        drop(socket.shutdown(std::net::Shutdown::Both));
    }
}

/// Passes bytes on. Says whether their source came to an orderly end.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<LinkState>,
    direction: Direction,
) -> bool {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(size) = from.read(&mut buffer).await else {
            return false;
        };
        wait_for_state(&mut link, |link| forwards(link, direction)).await;
        let delay = *link.borrow();
        if let LinkState::Delay(delay) = delay {
            tokio::time::sleep(delay).await;
        }
        if size == 0 {
            return to.shutdown().await.is_ok();
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            return false;
        }
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
    // The sender lives as long as the run; after it nothing is to be passed on.
    if link.wait_for(|link| state(*link)).await.is_err() {
        std::future::pending::<()>().await;
    }
}
