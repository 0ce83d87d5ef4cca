//! Deflated datagrams: rows are text, and hundreds of instances get them over slow links.

use std::io::{self, Read as _, Write as _};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Bytes from which a datagram is deflated; a shorter one saves less than its time.
pub const PACK_FROM: usize = 8 * 1024;

/// Most bytes of a datagram, or of a copy of a table, once inflated.
const MOST_UNPACKED: u64 = 16 * 1024 * 1024;

/// Deflates bytes.
///
/// # Errors
///
/// When the library cannot.
pub fn deflated(plain: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(plain)?;
    encoder.finish()
}

/// Inflates bytes, up to a bound.
///
/// # Errors
///
/// When they were not deflated, or are longer than the bound.
pub fn inflated(packed: &[u8]) -> io::Result<Vec<u8>> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(MOST_UNPACKED + 1);
    decoder.read_to_end(&mut plain)?;
    if plain.len() as u64 > MOST_UNPACKED {
        return Err(io::Error::other("longer than any datagram"));
    }
    Ok(plain)
}
