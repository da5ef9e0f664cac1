//! Numbers that every instance computes alike for a text.

/// A number for a text, evenly spread.
pub fn hash64(text: &str) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// A short number for a text. Of a thousand engines, two share one once in ten thousand days of
/// new ids; the work of one is then seen at the other for a while.
pub fn hash32(text: &str) -> u32 {
    #[allow(clippy::cast_possible_truncation)]
    let short = hash64(text) as u32;
    short
}

/// A number from 0 to 1 for a text.
pub fn unit_interval(text: &str) -> f64 {
    f64::from(hash32(text)) / f64::from(u32::MAX)
}
