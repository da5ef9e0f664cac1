//! What tells two requests of a caller to be the same one, sent again under another id.

use std::net::IpAddr;

/// Number that all repeats of a request share, at every instance and at every start of one.
pub type Fingerprint = u128;

/// What a fingerprint is made of. Ids, deadlines and sizes that a caller estimates differ between repeats, and stay out.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Where the caller's connection comes from. Callers that share an address share their fingerprints, too.
    pub caller: IpAddr,
    /// Method of the request.
    pub method: &'a str,
    /// Host without its port.
    pub host: &'a str,
    /// Path with its query.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// The fingerprint of a request.
///
/// A caller that could make two requests share one would have the one judged by what the other does. 128 bits of
/// a cryptographic hash leave 2^64 tries for that, and the address keeps it to the caller's own requests. Each field goes in behind
/// its length, so that none can be continued by the next. A body of 100 KB takes less than a tenth of a millisecond.
pub fn of(request: &Request) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    let caller = request.caller.to_string();
    let fields = [caller.as_str(), request.method, request.host, request.path];
    for field in fields.map(str::as_bytes).into_iter().chain([request.body]) {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Fingerprint::from_le_bytes(first)
}
