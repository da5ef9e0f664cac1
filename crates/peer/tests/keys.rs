//! Who may speak, and how keys change while the mesh runs.

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

/// Keys that trust several authorities while one replaces the other.
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

/// A QUIC connection made by hand, by an instance with valid keys that misbehaves afterwards.
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

// Symptom: a closing counts as confirmed by an entry that never confirmed it.
// Sequence: instance c, with valid keys, sends a confirmation whose sender reads "b".
// Cause: the name in a frame was believed rather than the certificate.
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
        .wait_for_event(|event| match event {
            Event::Frame(frame) => Some(format!("taken: {frame:?}")),
            Event::Down(id) => Some(format!("down: {id}")),
            _ => None,
        })
        .await;
    assert_eq!(seen, "down: c");
    assert_eq!(a.mesh.traffic().refused, 1);
}

// Symptom: frames meant for b reach another instance.
// Sequence: the list gives b's address, but c listens there by now.
// Cause: an address was taken for an identity.
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
    // It trusts ours, so that only a's check of its certificate can refuse it.
    let stranger = trusting(&theirs.issue("b").unwrap(), &[&ours]);
    let b = Process::start_with_config(config("b", 1, stranger));
    b.mesh.set_members(&[a.peer()]);
    let earlier = a.wait_handshake_failed().await;
    assert!(earlier.is_empty(), "{earlier:?}");
}

#[actix_rt::test]
async fn all_findings_of_bad_keys_come_at_once() {
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

// Symptom: after a change of keys, entries count as silent, or the old keys still open the mesh.
// Sequence: every instance first trusts both authorities, then bears a certificate of the new one,
// then trusts the new one only.
// Cause: connections are not renewed, or are closed before their successors stand.
#[actix_rt::test]
async fn keys_rotate_without_restart_and_without_a_gap() {
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
        // Both connections were renewed when each side has one that is younger than the reload.
        let reloaded = tokio::time::Instant::now();
        while [&a, &b]
            .iter()
            .any(|process| process.mesh.status()[0].age > reloaded.elapsed())
        {
            order += 1;
            a.mesh.send("b", confirm(order)).unwrap();
            let from = b
                .wait_for_event(|event| match event {
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

// Symptom: an instance whose authority is no longer trusted goes on confirming for ever.
// Sequence: a trusts the new authority only; b never reloads.
// Cause: a connection that stands outlives the trust that it was made with.
#[actix_rt::test]
async fn a_peer_left_behind_by_a_rotation_is_cut_off() {
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
async fn a_bad_reload_keeps_the_keys_in_use() {
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
async fn made_keys_serve_and_the_authority_is_kept() {
    let dir = tempfile::tempdir().unwrap();
    let first = issue::write_keys(dir.path(), &["a".to_owned()]).unwrap();
    let second = issue::write_keys(dir.path(), &["b".to_owned()]).unwrap();
    let mut a = Process::start_with_config(config("a", 1, first[0].clone()));
    let mut b = Process::start_with_config(config("b", 1, second[0].clone()));
    connect(&mut [&mut a, &mut b]).await;
}
