//! Deterministic completion text. A token is a word; the text depends only on the prompt and the
//! number of tokens, so that a test can check that a caller got the complete response to its own
//! request.

/// Identifies a prompt.
pub type Digest = u64;

/// Counts the tokens of a text: its whitespace-separated words.
pub fn count(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Returns the digest of a prompt.
pub fn digest(prompt: &str) -> Digest {
    first_u64(&blake3::hash(prompt.as_bytes()))
}

/// Returns the first eight bytes of a hash as a number.
pub(super) fn first_u64(hash: &blake3::Hash) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(word)
}

/// Returns the prompt of a chat: a line `role: content` per message.
pub fn chat_prompt<'a>(messages: impl IntoIterator<Item = (&'a str, &'a str)>) -> String {
    let lines = messages
        .into_iter()
        .map(|(role, content)| format!("{role}: {content}"));
    lines.collect::<Vec<_>>().join("\n")
}

/// Returns the text that the engine generates for a prompt with `max_tokens` tokens.
pub fn expected_text(prompt: &str, max_tokens: u32) -> String {
    text(digest(prompt), max_tokens)
}

/// Returns token `index`, from 0, of the completion of a prompt, with its leading space.
pub fn token(prompt: &str, index: u32) -> String {
    let mut out = Vec::with_capacity(TOKEN_BYTES);
    write(digest(prompt), index, &mut out);
    String::from_utf8_lossy(&out).into_owned()
}

/// Bytes of a token, including its leading space.
pub(super) const TOKEN_BYTES: usize = 10;

/// Returns the first `tokens` tokens for a digest.
pub(super) fn text(digest: Digest, tokens: u32) -> String {
    let mut out = Vec::with_capacity(TOKEN_BYTES * tokens as usize);
    for index in 0..tokens {
        write(digest, index, &mut out);
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Appends a token: `w` and eight hexadecimal digits, with a leading space unless it is the first.
pub(super) fn write(digest: Digest, index: u32, out: &mut Vec<u8>) {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    if index > 0 {
        out.push(b' ');
    }
    out.push(b'w');
    let value = mix(digest.wrapping_add(u64::from(index)));
    for shift in (32..64).step_by(4).rev() {
        out.push(DIGITS[(value >> shift) as usize & 15]);
    }
}

/// The finalizer of splitmix64: spreads neighbouring numbers over the full range.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
