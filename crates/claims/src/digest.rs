//! Digests of keys and calls. The log contains neither the keys nor the bodies of callers.

use crate::Digest;

/// The digest under which a key is claimed. It covers the owner and the entry, so that different
/// owners never share a key.
pub fn key_digest(owner: &str, entry: &str, key: &str) -> Digest {
    digest_of(&[owner.as_bytes(), entry.as_bytes(), key.as_bytes()])
}

/// The digest of a call's content, which detects reuse of a key for a different call.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> Digest {
    digest_of(&[method.as_bytes(), path.as_bytes(), body])
}

/// Prefixes each part with its length, so that different lists of parts hash different bytes.
fn digest_of(parts: &[&[u8]]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut digest = Digest::default();
    hasher.finalize_xof().fill(&mut digest);
    digest
}
