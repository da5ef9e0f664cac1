//! Sizes in bytes in human-readable form: `512`, `64KiB`, `8MiB`, `1GiB`.

const UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Parses a size in bytes. Only binary units are accepted, so that units are unambiguous.
pub fn parse(text: &str) -> Option<usize> {
    let text = text.trim();
    let (digits, factor) = UNITS
        .iter()
        .find_map(|(unit, factor)| Some((text.strip_suffix(unit)?, *factor)))
        .unwrap_or((text, 1));
    let count: u64 = digits.trim().parse().ok()?;
    usize::try_from(count.checked_mul(factor)?).ok()
}
