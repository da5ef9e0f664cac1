//! What tells two requests of a caller to be the same one, sent again under another id.

/// Number that all repeats of a request share, at every instance and at every start of one.
pub type Fingerprint = u128;

/// What a fingerprint is made of. Ids, deadlines and sizes that a caller estimates differ between repeats, and stay out.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// By what its caller shows who it is, a key or an authorisation; empty where callers show nothing, who then share the fingerprints of equal requests.
    /// The address of a connection does not tell: one caller has several, and they change.
    pub credentials: [&'a [u8]; 2],
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
/// a cryptographic hash leave 2^64 tries for that. Each field goes in behind its length, so that none can be continued by the
/// next.
pub fn of(request: &Request) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    let fields = [request.method, request.host, request.path].map(str::as_bytes);
    for field in fields
        .into_iter()
        .chain(request.credentials)
        .chain([request.body])
    {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Fingerprint::from_le_bytes(first)
}
