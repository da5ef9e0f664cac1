//! Compresses configurations, whose routes are alike, so that they fit into datagrams.

use std::io::{self, Read as _, Write as _};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

/// Largest configuration that is accepted; a small datagram may decompress to any size.
const MAX_BYTES: u64 = 8 * 1024 * 1024;

/// Compresses bytes in the zlib format.
pub(crate) fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Reverses [`compress`]; fails on damaged input and on more than [`MAX_BYTES`] of output.
pub(crate) fn decompress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut output = Vec::new();
    ZlibDecoder::new(bytes)
        .take(MAX_BYTES + 1)
        .read_to_end(&mut output)?;
    if output.len() as u64 > MAX_BYTES {
        return Err(io::Error::other("the decompressed bytes are too many"));
    }
    Ok(output)
}
