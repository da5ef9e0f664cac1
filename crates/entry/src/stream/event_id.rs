//! Event ids towards callers: they carry what another entry needs to resume the stream at its
//! engine, authenticated with the secret that all entries share, so that no entry keeps state for
//! another. See [docs/design/streams.md](../../../../docs/design/streams.md).
//!
//! An id is `<place>.<n>`. The place names the engine, the stream and the catalogue entry with an
//! expiry; its MAC covers the owner too, so that a leaked id is of no use to another owner. The
//! number `n` of the event is outside of the MAC: a caller that changes it only reads other events
//! of its own stream, and leaving it out makes an id one copy instead of one MAC per event.

use std::fmt;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use subtle::ConstantTimeEq as _;

/// Number of an event in its stream, from 0.
pub type EventNumber = u64;

/// Bytes of the MAC that an id carries.
const MAC: usize = 16;

/// Derivation context of the MAC key; it changes with the format of the ids.
const CONTEXT: &str = "tarragonswitch event id 2026-12 v1";

/// Separates the fields; no id of an instance, a stream or an entry has it.
const SEPARATOR: char = '\n';

/// Where a stream is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamLocation {
    /// Instance id of the engine.
    pub engine: String,
    /// Id of the stream at the engine.
    pub stream: String,
    /// Name of the catalogue entry.
    pub entry: String,
    /// Id of the request that began it, under which the engine answers.
    pub request: String,
}

/// Why an event id is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventIdError {
    /// It is not one of ours, was changed, or belongs to another owner.
    Forged,
    /// Its time is over.
    Expired,
}

/// Makes and checks event ids.
#[derive(Clone)]
pub struct Mint {
    key: [u8; blake3::KEY_LEN],
    time: Duration,
}

impl fmt::Debug for Mint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Mint")
            .field("time", &self.time)
            .finish_non_exhaustive()
    }
}

impl Mint {
    /// A mint over the shared secret; its ids are good for `time`.
    pub fn new(secret: &[u8], time: Duration) -> Self {
        Self {
            key: blake3::derive_key(CONTEXT, secret),
            time,
        }
    }

    /// How long a place is good for.
    pub fn validity(&self) -> Duration {
        self.time
    }

    /// The part of the ids before the number, good from `wall` (since the Unix epoch) on.
    pub fn encode(&self, place: &StreamLocation, owner: &str, wall: Duration) -> String {
        let expiry = (wall + self.time).as_secs();
        let payload = [
            expiry.to_string().as_str(),
            &place.engine,
            &place.stream,
            &place.entry,
            &place.request,
        ]
        .join(&SEPARATOR.to_string());
        let mut bytes = Vec::with_capacity(MAC + payload.len());
        bytes.extend_from_slice(&self.mac(owner, payload.as_bytes()));
        bytes.extend_from_slice(payload.as_bytes());
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads the id of the last event that a caller saw.
    ///
    /// # Errors
    ///
    /// The id is forged, of another owner, or expired.
    pub fn decode(
        &self,
        id: &str,
        owner: &str,
        wall: Duration,
    ) -> Result<(StreamLocation, EventNumber), EventIdError> {
        let (place, number) = id.rsplit_once('.').ok_or(EventIdError::Forged)?;
        let number = number.parse().map_err(|_| EventIdError::Forged)?;
        let bytes = URL_SAFE_NO_PAD
            .decode(place)
            .map_err(|_| EventIdError::Forged)?;
        let (mac, payload) = bytes.split_at_checked(MAC).ok_or(EventIdError::Forged)?;
        if !bool::from(mac.ct_eq(&self.mac(owner, payload))) {
            return Err(EventIdError::Forged);
        }
        let payload = std::str::from_utf8(payload).map_err(|_| EventIdError::Forged)?;
        let mut fields = payload.split(SEPARATOR);
        let mut field = || fields.next().ok_or(EventIdError::Forged);
        let expiry: u64 = field()?.parse().map_err(|_| EventIdError::Forged)?;
        let place = StreamLocation {
            engine: field()?.to_owned(),
            stream: field()?.to_owned(),
            entry: field()?.to_owned(),
            request: field()?.to_owned(),
        };
        if wall.as_secs() > expiry {
            return Err(EventIdError::Expired);
        }
        Ok((place, number))
    }

    fn mac(&self, owner: &str, payload: &[u8]) -> [u8; MAC] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&(owner.len() as u64).to_le_bytes());
        hasher.update(owner.as_bytes());
        hasher.update(payload);
        let mut mac = [0; MAC];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC]);
        mac
    }
}
