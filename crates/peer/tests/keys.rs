//! Authentication of peers, and rotation of keys while the mesh runs.

#![allow(clippy::unwrap_used, reason = "a test fails by it")]

mod support;

use std::sync::Arc;

use assert_matches::assert_matches;
use peer::issue::{self, Authority};
use peer::keys::{Pem, Source};
use peer::{Error, Event, Mesh, Peer};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use support::{Process, config, confirm, connect, connected, loopback};
use wire::Message;
use wire::peer::Frame;
use wire::record::Author;

/// The same keys, trusting several authorities as during a change of authority.
fn trusting(own: &Source, authorities: &[&Authority]) -> Source {
    let texts: Vec<&str> = authorities.iter().map(|one| one.pem()).collect();
    Source {
        ca: Pem::Inline(texts.join("\n")),
        ..own.clone()
    }
}

fn text(pem: &Pem) -> &[u8] {
    match pem {
        Pem::Inline(text) => text.as_bytes(),
        Pem::Path(_) => panic!("keys of tests are inline"),
    }
}

/// Opens a QUIC connection without a mesh, for an instance with valid keys that misbehaves.
async fn connect_by_hand(keys: &Source, to: &Peer) -> quinn::Connection {
    let mut roots = rustls::RootCertStore::empty();
    roots
        .add(CertificateDer::from_pem_slice(text(&keys.ca)).unwrap())
        .unwrap();
    let chain = vec![CertificateDer::from_pem_slice(text(&keys.cert)).unwrap()];
    let key = PrivateKeyDer::from_pem_slice(text(&keys.key)).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .unwrap();
    tls.alpn_protocols = vec![b"tarragon-peer/1".to_vec()];
    let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(tls).unwrap();
    let client = quinn::ClientConfig::new(Arc::new(crypto));
    let endpoint = quinn::Endpoint::client(loopback()).unwrap();
    let connecting = endpoint.connect_with(client, to.address, &to.id);
    connecting.unwrap().await.unwrap()
}

// Instance c, with valid keys, sends a confirmation with the sender "b". If the name in the frame
// were trusted, a closing would count as confirmed by an entry that never confirmed it.
#[actix_rt::test]
async fn a_frame_under_another_name_closes_the_connection() {
    let authority = Authority::new("test").unwrap();
    let mut a = Process::start(&authority, "a");
    let connection = connect_by_hand(&authority.issue("c").unwrap(), &a.peer()).await;
    a.wait_up("c").await;
    let frame = Frame {
        from: Some(Author {
            instance: "b".to_owned(),
            incarnation: 1,
        }),
        sequence: 1,
        body: Some(confirm(5)),
    };
    let mut stream = connection.open_uni().await.unwrap();
    stream.write_all(&frame.encode_to_vec()).await.unwrap();
    stream.finish().unwrap();
    let seen = a
        .wait_for(|event| match event {
            Event::Frame(frame) => Some(format!("taken: {frame:?}")),
            Event::Down(id) => Some(format!("down: {id}")),
            _ => None,
        })
        .await;
    assert_eq!(seen, "down: c");
    assert_eq!(a.mesh.traffic().refused, 1);
}

// The list has an outdated address of b at which c now listens. If the address stood for the
// identity, frames for b would reach c.
#[actix_rt::test]
async fn a_certificate_for_another_name_is_refused() {
    let authority = Authority::new("test").unwrap();
    let mut a = Process::start(&authority, "a");
    let c = Process::start(&authority, "c");
    let mut b = Process::start(&authority, "b");
    let impostor = Peer {
        id: "b".to_owned(),
        address: c.peer().address,
    };
    a.mesh.set_members(&[impostor]);
    let earlier = a.wait_handshake_failed().await;
    assert!(earlier.is_empty(), "{earlier:?}");
    a.mesh.set_members(&[b.peer()]);
    a.wait_up("b").await;
    b.wait_up("a").await;
    assert_eq!(a.mesh.status()[0].address, b.peer().address);
}

#[actix_rt::test]
async fn a_certificate_of_another_authority_is_refused() {
    let (ours, theirs) = (
        Authority::new("test").unwrap(),
        Authority::new("test").unwrap(),
    );
    let mut a = Process::start(&ours, "a");
    // b trusts our authority, so that only a's check of its certificate can fail.
    let stranger = trusting(&theirs.issue("b").unwrap(), &[&ours]);
    let b = Process::start_with_config(config("b", 1, stranger));
    b.mesh.set_members(&[a.peer()]);
    let earlier = a.wait_handshake_failed().await;
    assert!(earlier.is_empty(), "{earlier:?}");
}

#[actix_rt::test]
async fn all_findings_of_invalid_keys_are_reported_together() {
    let authority = Authority::new("test").unwrap();
    let keys = Source {
        ca: Pem::Inline("nothing".to_owned()),
        key: Pem::Path("/no/such/key.pem".into()),
        ..authority.issue("b").unwrap()
    };
    let error = Mesh::start(config("a", 1, keys), |_| {}).err().unwrap();
    let Error::Keys(findings) = error.current_context() else {
        panic!("{error:?}");
    };
    let places: Vec<_> = findings.iter().map(|one| one.place).collect();
    assert_eq!(places, ["ca", "cert", "key"]);
    assert_eq!(findings[1].text, "is for b, not for a");
}

// All instances first trust both authorities, then use certificates of the new one, then trust only
// the new one. If connections were closed before their successors are open, entries would count as
// silent; if they were not renewed, the old keys would still give access.
#[actix_rt::test]
async fn keys_rotate_without_restart_or_interruption() {
    let (old, new) = (
        Authority::new("old").unwrap(),
        Authority::new("new").unwrap(),
    );
    let (mut a, mut b) = connected(&old).await;
    let mut order = 0;
    for step in ["trust both", "bear new", "trust new"] {
        for process in [&a, &b] {
            let bearer = if step == "trust both" { &old } else { &new };
            let trusted: &[&Authority] = match step {
                "trust new" => &[&new],
                _ => &[&old, &new],
            };
            let keys = trusting(&bearer.issue(&process.id).unwrap(), trusted);
            process.mesh.reload(&keys).unwrap();
        }
        // The connection is renewed when each side has one that is younger than the reload.
        let reloaded = tokio::time::Instant::now();
        while [&a, &b]
            .iter()
            .any(|process| process.mesh.status()[0].age > reloaded.elapsed())
        {
            order += 1;
            a.mesh.send("b", confirm(order)).unwrap();
            let from = b
                .wait_for(|event| match event {
                    Event::Down(id) => Some(format!("lost {id}")),
                    Event::Frame(frame) => frame.from.map(|from| from.instance),
                    _ => None,
                })
                .await;
            assert_eq!(from, "a", "while: {step}");
        }
    }
    while a.events.try_recv().is_ok() {}
    let late =
        Process::start_with_config(config("c", 1, trusting(&old.issue("c").unwrap(), &[&new])));
    late.mesh.set_members(&[a.peer()]);
    let earlier = a.wait_handshake_failed().await;
    assert!(earlier.is_empty(), "{earlier:?}");
}

// a reloads keys that trust only the new authority, and b never reloads. If the open connection
// were kept, an instance of an untrusted authority could go on confirming.
#[actix_rt::test]
async fn a_peer_with_outdated_keys_is_disconnected_after_a_rotation() {
    let (old, new) = (
        Authority::new("old").unwrap(),
        Authority::new("new").unwrap(),
    );
    let (mut a, mut b) = connected(&old).await;
    a.mesh.reload(&new.issue("a").unwrap()).unwrap();
    a.wait_down("b").await;
    b.wait_down("a").await;
}

#[actix_rt::test]
async fn a_failed_reload_keeps_the_current_keys() {
    let authority = Authority::new("test").unwrap();
    let (a, mut b) = connected(&authority).await;
    let wrong = authority.issue("c").unwrap();
    assert_matches!(
        a.mesh.reload(&wrong).unwrap_err().current_context(),
        Error::Keys(_)
    );
    a.mesh.send("b", confirm(1)).unwrap();
    assert_eq!(b.wait_confirmed(1).await, "a");
}

#[actix_rt::test]
async fn written_keys_connect_and_the_authority_is_reused() {
    let dir = tempfile::tempdir().unwrap();
    let first = issue::write_keys(dir.path(), &["a".to_owned()]).unwrap();
    let second = issue::write_keys(dir.path(), &["b".to_owned()]).unwrap();
    let mut a = Process::start_with_config(config("a", 1, first[0].clone()));
    let mut b = Process::start_with_config(config("b", 1, second[0].clone()));
    connect(&mut [&mut a, &mut b]).await;
}
