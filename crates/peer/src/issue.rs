//! Issues certificates for tests, trials and `tarragonctl keys make`. A production fleet uses
//! certificates of its own authority; see `docs/design/tls.md`.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};

use crate::Error;
use crate::keys::{Pem, Source};

/// File of the authority's certificate.
const CA_FILE: &str = "ca.pem";
/// File of the authority's private key.
const CA_KEY_FILE: &str = "ca-key.pem";

/// A certificate authority for instances.
#[derive(Debug)]
pub struct Authority {
    pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    /// Creates an authority with a new key.
    ///
    /// # Errors
    ///
    /// [`Error::Issue`] if no key can be generated.
    pub fn new(name: &str) -> Result<Self, Report<Error>> {
        let key = KeyPair::generate().change_context(Error::Issue)?;
        let pem = authority(name)
            .self_signed(&key)
            .change_context(Error::Issue)?
            .pem();
        Ok(Self::assemble(name, pem, key))
    }

    /// The authority's certificate.
    pub fn pem(&self) -> &str {
        &self.pem
    }

    /// Issues the keys of an instance as PEM texts. Its id must be a DNS name.
    ///
    /// # Errors
    ///
    /// [`Error::Issue`] if the id is not valid in a certificate.
    pub fn issue(&self, id: &str) -> Result<Source, Report<Error>> {
        let key = KeyPair::generate().change_context(Error::Issue)?;
        let mut params =
            CertificateParams::new(vec![id.to_owned()]).change_context(Error::Issue)?;
        params.distinguished_name.push(DnType::CommonName, id);
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let certificate = params
            .signed_by(&key, &self.issuer)
            .change_context(Error::Issue)?;
        Ok(Source {
            ca: Pem::Inline(self.pem.clone()),
            cert: Pem::Inline(certificate.pem()),
            key: Pem::Inline(key.serialize_pem()),
        })
    }

    fn assemble(name: &str, pem: String, key: KeyPair) -> Self {
        let issuer = Issuer::new(authority(name), key);
        Self { pem, issuer }
    }

    /// Loads the authority of this directory, or creates it. Its name is always [`TRIAL_NAME`],
    /// because certificates name their issuer.
    fn open(dir: &Path) -> Result<Self, Report<Error>> {
        let (ca, key) = (dir.join(CA_FILE), dir.join(CA_KEY_FILE));
        if ca.exists() && key.exists() {
            let pem = fs::read_to_string(&ca).change_context(Error::Issue)?;
            let key = fs::read_to_string(&key).change_context(Error::Issue)?;
            let key = KeyPair::from_pem(&key).change_context(Error::Issue)?;
            return Ok(Self::assemble(TRIAL_NAME, pem, key));
        }
        let authority = Self::new(TRIAL_NAME)?;
        write(&ca, &authority.pem).change_context(Error::Issue)?;
        write(&key, &authority.issuer.key().serialize_pem()).change_context(Error::Issue)?;
        Ok(authority)
    }
}

/// Name of the authority that [`write_keys`] stores in a directory.
const TRIAL_NAME: &str = "tarragonswitch trial authority";

/// Writes `ID.pem` and `ID-key.pem` for each instance into a directory. The authority is in
/// `ca.pem` and `ca-key.pem`; it is created if missing and reused otherwise. Returns the paths of
/// the keys of each instance.
///
/// # Errors
///
/// [`Error::Issue`] if a file cannot be written or an id is not valid in a certificate.
pub fn write_keys(dir: &Path, ids: &[String]) -> Result<Vec<Source>, Report<Error>> {
    fs::create_dir_all(dir).change_context(Error::Issue)?;
    let authority = Authority::open(dir)?;
    ids.iter()
        .map(|id| write_one(dir, &authority, id))
        .collect()
}

fn write_one(dir: &Path, authority: &Authority, id: &str) -> Result<Source, Report<Error>> {
    let source = authority.issue(id)?;
    let cert = dir.join(format!("{id}.pem"));
    let key = dir.join(format!("{id}-key.pem"));
    for (path, pem) in [(&cert, &source.cert), (&key, &source.key)] {
        let Pem::Inline(text) = pem else { continue };
        write(path, text).change_context(Error::Issue)?;
    }
    Ok(Source {
        ca: Pem::Path(dir.join(CA_FILE)),
        cert: Pem::Path(cert),
        key: Pem::Path(key),
    })
}

/// Replaces the file atomically, so that a reloading process never reads a partial key. Only the
/// owner can read the files, since some are private keys.
fn write(path: &Path, text: &str) -> io::Result<()> {
    let partial = PathBuf::from(format!("{}.partial", path.display()));
    let mut options = fs::OpenOptions::new();
    options.write(true).create(true).truncate(true);
    #[cfg(unix)]
    std::os::unix::fs::OpenOptionsExt::mode(&mut options, OWNER_ONLY);
    io::Write::write_all(&mut options.open(&partial)?, text.as_bytes())?;
    fs::rename(&partial, path)
}

/// Read and write for the owner only.
#[cfg(unix)]
const OWNER_ONLY: u32 = 0o600;

fn authority(name: &str) -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, name);
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
}
