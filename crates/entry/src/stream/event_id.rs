//! Event ids for callers. An id holds all that another entry needs to resume the stream at its
//! engine and is authenticated with a secret shared by all entries, so that entries need not
//! replicate state. See [docs/design/streams.md](../../../../docs/design/streams.md).
//!
//! An id is `<location>.<n>`. The location names the engine, the stream, the catalogue entry and
//! the request, with an expiry; its MAC also covers the owner, so that a leaked id is of no use to
//! another owner. The event number `n` is not covered: a caller that changes it only reads other
//! events of its own stream, and each id then costs a copy instead of a MAC.

use std::fmt;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use subtle::ConstantTimeEq as _;

/// Number of an event in its stream, from 0.
pub type EventNumber = u64;

/// Length of the MAC in an id, in bytes.
const MAC_BYTES: usize = 16;

/// Context for deriving the MAC key; must change with the format of the ids.
const KEY_CONTEXT: &str = "tarragonswitch event id 2026-12 v1";

/// Separates the fields; instance, stream, entry and request ids cannot contain it.
const SEPARATOR: char = '\n';

/// Identifies a stream and the engine that runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamLocation {
    /// Instance id of the engine.
    pub engine: String,
    /// Id of the stream at the engine.
    pub stream: String,
    /// Name of the catalogue entry.
    pub entry: String,
    /// Id of the request that started the stream, which the engine echoes.
    pub request: String,
}

/// Why an event id is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventIdError {
    /// The id is malformed, was altered, or belongs to another owner.
    Forged,
    /// The id has expired.
    Expired,
}

/// Mints and verifies event ids.
#[derive(Clone)]
pub struct Mint {
    key: [u8; blake3::KEY_LEN],
    validity: Duration,
}

impl fmt::Debug for Mint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Mint")
            .field("time", &self.validity)
            .finish_non_exhaustive()
    }
}

impl Mint {
    /// A mint with the shared secret; its ids expire after `validity`.
    pub fn new(secret: &[u8], validity: Duration) -> Self {
        Self {
            key: blake3::derive_key(KEY_CONTEXT, secret),
            validity,
        }
    }

    /// Time after which ids expire.
    pub fn validity(&self) -> Duration {
        self.validity
    }

    /// Encodes the part of the ids before the number, minted at `unix_time` (since the Unix epoch).
    pub fn encode(&self, location: &StreamLocation, owner: &str, unix_time: Duration) -> String {
        let expiry = (unix_time + self.validity).as_secs();
        let payload = [
            expiry.to_string().as_str(),
            &location.engine,
            &location.stream,
            &location.entry,
            &location.request,
        ]
        .join(&SEPARATOR.to_string());
        let mut bytes = Vec::with_capacity(MAC_BYTES + payload.len());
        bytes.extend_from_slice(&self.mac(owner, payload.as_bytes()));
        bytes.extend_from_slice(payload.as_bytes());
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Verifies and decodes the id of the last event that a caller received.
    ///
    /// # Errors
    ///
    /// The id is forged, belongs to another owner, or has expired.
    pub fn decode(
        &self,
        id: &str,
        owner: &str,
        unix_time: Duration,
    ) -> Result<(StreamLocation, EventNumber), EventIdError> {
        let (location, number) = id.rsplit_once('.').ok_or(EventIdError::Forged)?;
        let number = number.parse().map_err(|_| EventIdError::Forged)?;
        let bytes = URL_SAFE_NO_PAD
            .decode(location)
            .map_err(|_| EventIdError::Forged)?;
        let (mac, payload) = bytes
            .split_at_checked(MAC_BYTES)
            .ok_or(EventIdError::Forged)?;
        if !bool::from(mac.ct_eq(&self.mac(owner, payload))) {
            return Err(EventIdError::Forged);
        }
        let payload = std::str::from_utf8(payload).map_err(|_| EventIdError::Forged)?;
        let mut fields = payload.split(SEPARATOR);
        let mut field = || fields.next().ok_or(EventIdError::Forged);
        let expiry: u64 = field()?.parse().map_err(|_| EventIdError::Forged)?;
        let location = StreamLocation {
            engine: field()?.to_owned(),
            stream: field()?.to_owned(),
            entry: field()?.to_owned(),
            request: field()?.to_owned(),
        };
        if unix_time.as_secs() > expiry {
            return Err(EventIdError::Expired);
        }
        Ok((location, number))
    }

    fn mac(&self, owner: &str, payload: &[u8]) -> [u8; MAC_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&(owner.len() as u64).to_le_bytes());
        hasher.update(owner.as_bytes());
        hasher.update(payload);
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }
}
