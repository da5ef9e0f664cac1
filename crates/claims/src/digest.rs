//! Digests of keys and calls: the log holds neither keys nor bodies of callers.

use crate::Digest;

/// The digest under which the key of a call is claimed. Owner and entry take part, so that two
/// owners never share a key.
pub fn key_digest(owner: &str, entry: &str, key: &str) -> Digest {
    over(&[owner.as_bytes(), entry.as_bytes(), key.as_bytes()])
}

/// The digest by which a key that is used again for another call is noticed.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> Digest {
    over(&[method.as_bytes(), path.as_bytes(), body])
}

/// Each part goes in with its length, so that no two lists of parts give the same bytes.
fn over(parts: &[&[u8]]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let mut digest = Digest::default();
    hasher.finalize_xof().fill(&mut digest);
    digest
}
