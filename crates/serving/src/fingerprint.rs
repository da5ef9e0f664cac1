//! Identifies repeats of the same request of a caller, which arrive under new ids, and the parts that
//! prompts share.

use smallvec::SmallVec;

/// Value shared by all repeats of a request, or by all requests with a part of a prompt, at every
/// instance and after restarts.
pub type Fingerprint = u128;

/// Fingerprints of the parts of a prompt, in their order.
pub type PartFingerprints = SmallVec<[Fingerprint; 4]>;

/// The fields that make up a fingerprint. Ids, deadlines and sizes that a caller estimates differ
/// between repeats and are left out.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The credentials that the caller presents, a key or an authorisation header; empty if callers
    /// present none, who then share the fingerprints of equal requests. The address of the
    /// connection is not used: a caller has several, and they change.
    pub credentials: [&'a [u8]; 2],
    /// HTTP method.
    pub method: &'a str,
    /// Host without the port.
    pub host: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// The complete body.
    pub body: &'a [u8],
}

/// Computes the fingerprint of a request.
///
/// A caller that can make two requests collide gets one of them judged by what the other does; with
/// 128 bits of a cryptographic hash that takes 2^64 tries. Each field is preceded by its length, so
/// that bytes cannot move from one field to the next.
pub fn of(request: &Request) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    let fields = [request.method, request.host, request.path].map(str::as_bytes);
    for field in fields
        .into_iter()
        .chain(request.credentials)
        .chain([request.body])
    {
        update_with_length(&mut hasher, field);
    }
    finish(&hasher)
}

/// Context that keeps the hashes of parts apart from those of requests.
const PART_CONTEXT: &str = "tarragonswitch part of a prompt";

/// Computes the fingerprint of a part of a model's prompts. Unlike [`crate::parts::id`] it is long
/// enough that no caller finds a part that collides with another's, which would be judged by it.
///
/// The id is a hexadecimal number, so neither case nor leading zeros distinguish parts.
pub fn of_part(model: &str, id: &str) -> Fingerprint {
    let mut hasher = blake3::Hasher::new_derive_key(PART_CONTEXT);
    let id = id.trim_start_matches('0').to_ascii_lowercase();
    for field in [model, &id] {
        update_with_length(&mut hasher, field.as_bytes());
    }
    finish(&hasher)
}

fn update_with_length(hasher: &mut blake3::Hasher, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_le_bytes());
    hasher.update(field);
}

fn finish(hasher: &blake3::Hasher) -> Fingerprint {
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Fingerprint::from_le_bytes(first)
}
