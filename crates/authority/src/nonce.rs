//! Nonces of appends. They let a process recognise its own record in the log when the answer to the
//! append was lost.

/// Identifies one append. Never reused.
pub type Nonce = [u8; 16];

/// Generates nonces. Sources with different seeds never produce the same nonce.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct NonceSource {
    seed: u64,
    drawn: u64,
}

impl NonceSource {
    /// Creates a source whose nonces start with `seed`. The caller draws the seed at random for
    /// each source: two sources with the same seed would mistake each other's records for their own.
    pub fn new(seed: u64) -> Self {
        Self { seed, drawn: 0 }
    }

    /// Returns a nonce that this source has not returned before.
    pub fn next_nonce(&mut self) -> Nonce {
        self.drawn += 1;
        let mut nonce = [0; 16];
        nonce[..8].copy_from_slice(&self.seed.to_be_bytes());
        nonce[8..].copy_from_slice(&self.drawn.to_be_bytes());
        nonce
    }

    /// Returns jitter in `0..1000` that depends on the seed and on the number of nonces drawn. It
    /// spreads the challenges of different processes.
    pub fn jitter_permille(&self) -> u32 {
        // The finaliser of SplitMix64, so that similar seeds give unrelated numbers.
        let mut mixed = self.seed ^ self.drawn.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) % 1000) as u32
    }
}
