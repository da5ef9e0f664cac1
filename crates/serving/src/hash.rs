//! Hashes of text that are equal on all instances.

/// A 64-bit hash.
pub fn hash64(text: &str) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// A 32-bit hash. Among a thousand engines two collide once in ten thousand days of new ids, among ten
/// thousand once in about ninety; the work of one is then counted at the other for a while.
pub fn hash32(text: &str) -> u32 {
    #[allow(clippy::cast_possible_truncation)]
    let short = hash64(text) as u32;
    short
}

/// Mixes the bits of a number: the finalizer of MurmurHash3.
pub(crate) fn mix64(number: u64) -> u64 {
    let mut mixed = number;
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}

/// Two 32-bit hashes combined and mapped to the range from 0 to 1. A placement combines them for each of
/// thousands of engines.
pub fn combined_unit_interval(first: u32, second: u32) -> f64 {
    let mixed = mix64(u64::from(first) << 32 | u64::from(second));
    #[allow(clippy::cast_possible_truncation)]
    let high = (mixed >> 32) as u32;
    f64::from(high) / f64::from(u32::MAX)
}

/// A hash mapped to the range from 0 to 1.
pub fn unit_interval(text: &str) -> f64 {
    f64::from(hash32(text)) / f64::from(u32::MAX)
}
