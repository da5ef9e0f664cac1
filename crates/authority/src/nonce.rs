//! Nonces of appends: by its nonce a process finds its own record again after the answer to the
//! append was lost.

/// Identifies one append; it is never used twice.
pub type Nonce = [u8; 16];

/// Gives nonces that differ from those of every other source whose seed differs.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct NonceSource {
    seed: u64,
    next: u64,
}

impl NonceSource {
    /// A source whose nonces start with `seed`, which the caller draws at random once per source;
    /// two sources with the same seed would take each other's records for their own.
    pub fn new(seed: u64) -> Self {
        Self { seed, next: 0 }
    }

    /// A nonce that this source has not given before.
    pub fn next_nonce(&mut self) -> Nonce {
        self.next += 1;
        let mut nonce = [0; 16];
        nonce[..8].copy_from_slice(&self.seed.to_be_bytes());
        nonce[8..].copy_from_slice(&self.next.to_be_bytes());
        nonce
    }

    /// A number in `0..1000` that depends on the seed and on how many nonces were drawn; it spreads
    /// retries and challenges of different processes.
    pub fn jitter_permille(&self) -> u32 {
        // The finaliser of SplitMix64: neighbouring seeds give unrelated numbers.
        let mut mixed = self.seed ^ self.next.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) % 1000) as u32
    }
}
