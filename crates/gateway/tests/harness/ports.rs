//! Ports that no other test uses, in this process or another one.

use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::ops::Range;
use std::sync::{Mutex, PoisonError};

use super::SPAWN_LOCK;

/// Ports that tests use; the kernel assigns connections none of them.
const PORTS: Range<u16> = 21_000..32_768;
/// Ports that a process takes for itself at a time.
const PORTS_PER_CLAIM: usize = 200;
/// Address at whose ports processes keep the sockets that claim theirs. No test listens there.
const CLAIM_IP: Ipv4Addr = Ipv4Addr::new(127, 2, 0, 1);

/// Ports that no other process takes for as long as this one runs: tests of several checkouts may run at once.
struct Claim {
    _socket: UdpSocket,
    ports: Range<u16>,
}

impl Claim {
    fn new() -> Self {
        let mut firsts = PORTS.step_by(PORTS_PER_CLAIM);
        let claimed = firsts.find_map(|first| {
            let socket = UdpSocket::bind((CLAIM_IP, first)).ok()?;
            let count = u16::try_from(PORTS_PER_CLAIM).expect("a claim fits into all ports");
            Some(Self {
                _socket: socket,
                ports: first..first.saturating_add(count).min(PORTS.end),
            })
        });
        claimed.expect("some ports are not claimed")
    }
}

/// A port that nothing listens on and that no other test gets.
///
/// A port that the kernel assigns and gets back may go to another test or connection before the
/// gateway binds it; the gateway then ends, and the test waits for its readiness in vain.
pub(crate) fn free_port() -> u16 {
    static CLAIMS: Mutex<Vec<Claim>> = Mutex::new(Vec::new());
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut claims = CLAIMS.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let Some(port) = claims.last_mut().and_then(|claim| claim.ports.next()) else {
            claims.push(Claim::new());
            continue;
        };
        let tcp = TcpListener::bind(("127.0.0.1", port));
        let udp = UdpSocket::bind(("127.0.0.1", port));
        if tcp.is_ok() && udp.is_ok() {
            return port;
        }
    }
}
