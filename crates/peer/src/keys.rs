//! Loads and checks the keys and builds the QUIC configurations from them.

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::client::Resumption;
use rustls::crypto::{CryptoProvider, ring};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;

use crate::Id;
use crate::config::Limits;

/// Protocol name of the handshake, in which other versions are refused.
const ALPN: &[u8] = b"tarragon-peer/1";

/// Bytes of datagrams that are buffered for each connection and direction.
const DATAGRAM_BUFFER: usize = 64 << 10;

/// Source of a PEM text.
#[derive(Clone, Eq, PartialEq)]
pub enum Pem {
    /// A file, which is read at each load so that rotated files take effect.
    Path(PathBuf),
    /// The text itself.
    Inline(String),
}

impl fmt::Debug for Pem {
    /// Omits the inline text, which may be a private key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Path(path) => write!(f, "Path({})", path.display()),
            Self::Inline(_) => write!(f, "Inline"),
        }
    }
}

impl Pem {
    fn read(&self) -> Result<Vec<u8>, String> {
        match self {
            Self::Inline(text) => Ok(text.clone().into_bytes()),
            Self::Path(path) => {
                std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))
            }
        }
    }
}

/// Sources of the keys of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Source {
    /// Certificates of the trusted authorities; two during a change of authority.
    pub ca: Pem,
    /// Certificate of the instance, followed by intermediate certificates.
    pub cert: Pem,
    /// Its private key.
    pub key: Pem,
}

/// A problem with the keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// `ca`, `cert` or `key`.
    pub place: &'static str,
    /// What is wrong.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.text)
    }
}

/// Checked configurations of the server and the client side.
#[derive(Clone, Debug)]
pub(crate) struct Keys {
    pub(crate) server: quinn::ServerConfig,
    pub(crate) client: quinn::ClientConfig,
}

/// Reads the keys and checks that they match each other and are issued for `own`.
///
/// # Errors
///
/// All findings.
pub fn check(source: &Source, own: &str) -> Result<(), Vec<Finding>> {
    load(source, own, &Limits::default()).map(|_| ())
}

pub(crate) fn load(source: &Source, own: &str, limits: &Limits) -> Result<Keys, Vec<Finding>> {
    let mut findings = Vec::new();
    let roots = roots(&source.ca).map_err(|text| findings.push(finding("ca", text)));
    let chain = chain(&source.cert, own).map_err(|text| findings.push(finding("cert", text)));
    let key = key(&source.key).map_err(|text| findings.push(finding("key", text)));
    let (Ok(roots), Ok(chain), Ok(key)) = (roots, chain, key) else {
        return Err(findings);
    };
    configure(Arc::new(roots), chain, key, limits).map_err(|text| vec![finding("key", text)])
}

/// The name in the certificate of the peer. It must be the only one, because with a certificate for
/// two instances either could impersonate the other.
pub(crate) fn identity(connection: &quinn::Connection) -> Option<Id> {
    let identity = connection.peer_identity()?;
    let chain = identity
        .downcast_ref::<Vec<CertificateDer<'static>>>()?
        .first()?;
    certificate_name(chain).ok()
}

fn finding(place: &'static str, text: String) -> Finding {
    Finding { place, text }
}

fn roots(pem: &Pem) -> Result<RootCertStore, String> {
    let text = pem.read()?;
    let mut roots = RootCertStore::empty();
    for certificate in CertificateDer::pem_slice_iter(&text) {
        let certificate = certificate.map_err(|error| error.to_string())?;
        roots.add(certificate).map_err(|error| error.to_string())?;
    }
    if roots.is_empty() {
        return Err("holds no certificate".to_owned());
    }
    Ok(roots)
}

fn chain(pem: &Pem, own: &str) -> Result<Vec<CertificateDer<'static>>, String> {
    let text = pem.read()?;
    let chain: Vec<_> = CertificateDer::pem_slice_iter(&text)
        .collect::<Result<_, _>>()
        .map_err(|error| error.to_string())?;
    let first = chain
        .first()
        .ok_or_else(|| "holds no certificate".to_owned())?;
    let name = certificate_name(first)?;
    if name != own {
        return Err(format!("is for {name}, not for {own}"));
    }
    Ok(chain)
}

fn key(pem: &Pem) -> Result<PrivateKeyDer<'static>, String> {
    PrivateKeyDer::from_pem_slice(&pem.read()?).map_err(|error| error.to_string())
}

fn certificate_name(certificate: &CertificateDer<'_>) -> Result<Id, String> {
    let parsed = webpki::EndEntityCert::try_from(certificate).map_err(|error| error.to_string())?;
    let mut names = parsed.valid_dns_names();
    match (names.next(), names.next()) {
        (Some(name), None) if !name.contains('*') => Ok(name.to_owned()),
        (Some(name), None) => Err(format!("bears the wildcard {name}")),
        (Some(_), Some(_)) => Err("bears several names".to_owned()),
        (None, _) => Err("bears no DNS name".to_owned()),
    }
}

fn configure(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    limits: &Limits,
) -> Result<Keys, String> {
    let provider = Arc::new(ring::default_provider());
    let transport = Arc::new(transport(limits));
    let server = server(
        &provider,
        Arc::clone(&roots),
        chain.clone(),
        key.clone_key(),
    )?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(Arc::clone(&transport));
    let mut client = quinn::ClientConfig::new(Arc::new(client(&provider, roots, chain, key)?));
    client.transport_config(transport);
    Ok(Keys { server, client })
}

/// Session resumption is off on both sides: a resumed session could outlive its certificates, and
/// there are too few connections for it to save much.
fn server(
    provider: &Arc<CryptoProvider>,
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<QuicServerConfig, String> {
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(provider))
        .build()
        .map_err(|error| error.to_string())?;
    let mut config = rustls::ServerConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| error.to_string())?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(|error| error.to_string())?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    config.send_tls13_tickets = 0;
    QuicServerConfig::try_from(config).map_err(|error| error.to_string())
}

fn client(
    provider: &Arc<CryptoProvider>,
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<QuicClientConfig, String> {
    let mut config = rustls::ClientConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| error.to_string())?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(|error| error.to_string())?;
    config.alpn_protocols = vec![ALPN.to_vec()];
    config.resumption = Resumption::disabled();
    QuicClientConfig::try_from(config).map_err(|error| error.to_string())
}

/// Heartbeats keep a connection alive, so keep-alive packets are normally not sent. Path MTU
/// discovery is off: frames are small, and probes would cost more than a minute of heartbeats.
fn transport(limits: &Limits) -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    let streams = quinn::VarInt::from_u32(limits.max_streams);
    let idle = u32::try_from(limits.idle_timeout.as_millis()).unwrap_or(u32::MAX);
    transport
        .max_concurrent_bidi_streams(streams)
        .max_concurrent_uni_streams(streams)
        .max_idle_timeout(Some(quinn::VarInt::from_u32(idle).into()))
        .keep_alive_interval(Some(limits.idle_timeout.div_f64(KEEP_ALIVE_DIVISOR)))
        .mtu_discovery_config(None)
        .datagram_receive_buffer_size(Some(DATAGRAM_BUFFER))
        .datagram_send_buffer_size(DATAGRAM_BUFFER)
        .initial_rtt(INITIAL_RTT);
    transport
}

/// The keep-alive interval is the idle time-out divided by this.
const KEEP_ALIVE_DIVISOR: f64 = 2.5;

/// Initial estimate of the round trip; data centres are at most some milliseconds apart.
const INITIAL_RTT: Duration = Duration::from_millis(20);
