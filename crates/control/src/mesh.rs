//! Access to the mesh between entries, if it is enabled.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use fleet::Members;
use fleet::list::{Kind, Mark, View};
use peer::{Config, Event, SendError, Traffic};
use wire::peer::frame::Body;
use wire::peer::{Query, Reply};
use wire::record::Author;

use crate::message::{Message, Sender, send};
use crate::options;

/// Time limit of a query to a peer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// The mesh, or `None` if this is the only entry.
#[derive(Clone, Default)]
pub(crate) struct Mesh {
    mesh: Option<peer::Mesh>,
}

impl Mesh {
    /// Listens, and reports all that happens as messages.
    pub(crate) fn start(
        own: Author,
        options: Option<&options::Mesh>,
        sender: Sender,
    ) -> Result<Self, Report<peer::Error>> {
        let Some(options) = options else {
            return Ok(Self::default());
        };
        let config = Config::new(own, options.listen, options.keys.clone());
        let handler = move |event: Event| send(&sender, Message::Peer(event));
        let mesh = peer::Mesh::start(config, handler)?;
        actix_rt::spawn(reload_changed_keys(mesh.clone(), options.clone()));
        Ok(Self { mesh: Some(mesh) })
    }

    pub(crate) fn is_disabled(&self) -> bool {
        self.mesh.is_none()
    }

    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.mesh.as_ref()?.address().ok()
    }

    /// Sets the peers to dial: the live entries of the list. An open connection to a leaving entry
    /// is kept.
    pub(crate) fn set_members(&self, list: &View) {
        let Some(mesh) = &self.mesh else { return };
        let entries = list.iter().filter(|line| line.kind == Kind::Entry);
        let peers: Vec<peer::Peer> = entries
            .filter(|line| line.mark == Mark::Live)
            .filter_map(|line| {
                let address = line.address.parse().ok()?;
                let id = line.id.clone();
                Some(peer::Peer { id, address })
            })
            .collect();
        mesh.set_members(&peers);
    }

    pub(crate) fn send(&self, to: &str, body: Body) {
        if let Some(mesh) = &self.mesh {
            // The mesh counts unsent frames, and senders repeat the frames that matter.
            let _counted: Result<(), SendError> = mesh.send(to, body);
        }
    }

    pub(crate) fn broadcast(&self, body: Body) {
        if let Some(mesh) = &self.mesh {
            mesh.broadcast(body);
        }
    }

    pub(crate) fn query(
        &self,
        to: &str,
        query: Query,
    ) -> impl Future<Output = Option<Reply>> + use<> {
        let (mesh, to) = (self.mesh.clone(), to.to_owned());
        async move {
            let answer = mesh?.query(&to, query, QUERY_TIMEOUT).await;
            answer
                .inspect_err(
                    |error| log::debug!(peer = to, error:? = error; "query to a peer failed"),
                )
                .ok()
        }
    }

    pub(crate) fn traffic(&self) -> Traffic {
        let mesh = self.mesh.as_ref();
        mesh.map(peer::Mesh::traffic).unwrap_or_default()
    }

    pub(crate) fn status(&self) -> Vec<peer::Status> {
        let mesh = self.mesh.as_ref();
        mesh.map(peer::Mesh::status).unwrap_or_default()
    }

    pub(crate) async fn close(&self) {
        if let Some(mesh) = &self.mesh {
            mesh.close().await;
        }
    }
}

/// Polls the key files and reloads them after a change, so that keys rotate without a restart.
async fn reload_changed_keys(mesh: peer::Mesh, options: options::Mesh) {
    if options.reload.is_zero() {
        return;
    }
    let mut loaded = fingerprint(&options.keys);
    loop {
        actix_rt::time::sleep(options.reload).await;
        let found = fingerprint(&options.keys);
        if found == loaded || found.is_none() {
            continue;
        }
        match mesh.reload(&options.keys) {
            Ok(()) => {
                log::info!("keys reloaded");
                loaded = found;
            }
            Err(error) => log::error!(error:? = error; "new keys are invalid; keeping old ones"),
        }
    }
}

/// Digest of the key files; `None` if one cannot be read.
fn fingerprint(keys: &peer::keys::Source) -> Option<blake3::Hash> {
    let mut hasher = blake3::Hasher::new();
    for pem in [&keys.ca, &keys.cert, &keys.key] {
        match pem {
            peer::keys::Pem::Path(path) => hasher.update(&std::fs::read(path).ok()?),
            peer::keys::Pem::Inline(text) => hasher.update(text.as_bytes()),
        };
    }
    Some(hasher.finalize())
}

/// The alive or leaving entry with the highest folded offset beyond `folded`, to query for its
/// state.
pub(crate) fn most_advanced_peer(members: &Members, folded: crate::Offset) -> Option<String> {
    let ahead = members.iter().filter(|member| {
        let alive = matches!(
            member.state,
            fleet::member::State::Alive | fleet::member::State::Leaving
        );
        alive && member.progress.folded > folded
    });
    let best = ahead.max_by_key(|member| member.progress.folded)?;
    Some(best.id.clone())
}
