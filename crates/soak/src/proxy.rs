//! A link on loopback whose behaviour changes from outside, on open connections as on new ones.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::plan::Link;

/// A link to one address.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
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
        let (link, seen) = watch::channel(Link::Pass);
        actix_rt::spawn(async move {
            let mut refuses = seen.clone();
            loop {
                let accepted = tokio::select! {
                    biased;
                    () = until(&mut refuses, |link| link == Link::Refuse) => return,
                    accepted = listener.accept() => accepted,
                };
                let Ok((stream, _)) = accepted else { return };
                actix_rt::spawn(connection(stream, target, seen.clone()));
            }
        });
        Self { address, link }
    }

    /// Changes what the link does.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

async fn connection(near: TcpStream, target: SocketAddr, mut link: watch::Receiver<Link>) {
    // Without this, small pieces wait for acknowledgements, which is no fault that a plan names.
    drop(near.set_nodelay(true));
    let near_end = SockRef::from(&near).try_clone();
    if *link.borrow() == Link::Reset {
        return reset(near_end);
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return reset(near_end);
    };
    drop(far.set_nodelay(true));
    let far_end = SockRef::from(&far).try_clone();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let up = pump(near_read, far_write, link.clone(), Way::ToTarget);
    let down = pump(far_read, near_write, link.clone(), Way::FromTarget);
    let broken = tokio::select! {
        (up, down) = async { tokio::join!(up, down) } => !(up && down),
        () = until(&mut link, |link| matches!(link, Link::Reset | Link::Refuse)) => true,
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
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    way: Way,
) -> bool {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(size) = from.read(&mut buffer).await else {
            return false;
        };
        until(&mut link, |link| passes(link, way)).await;
        let delay = *link.borrow();
        if let Link::Delay(delay) = delay {
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

fn passes(link: Link, way: Way) -> bool {
    match link {
        Link::Pass | Link::Delay(_) => true,
        Link::Silent | Link::Reset | Link::Refuse => false,
        Link::OneWay => way == Way::ToTarget,
    }
}

async fn until(link: &mut watch::Receiver<Link>, state: impl Fn(Link) -> bool) {
    // The sender lives as long as the run; after it nothing is to be passed on.
    if link.wait_for(|link| state(*link)).await.is_err() {
        std::future::pending::<()>().await;
    }
}
