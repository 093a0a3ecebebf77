//! Packs documents for the log and the links.
//!
//! Routing documents repeat themselves: packed, they take a tenth of the room in the log,
//! in memory and on the links between data centres.

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use std::io::{self, Read, Write};

/// Longest document that is unpacked: the longest body of a call.
pub(crate) const DOCUMENT_BYTES_MAX: u64 = 16 << 20;

/// Packs a document.
pub(crate) fn compress(document: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(document)?;
    encoder.finish()
}

/// Unpacks a document.
pub(crate) fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut document = Vec::new();
    DeflateDecoder::new(compressed).take(DOCUMENT_BYTES_MAX + 1).read_to_end(&mut document)?;
    if document.len() as u64 > DOCUMENT_BYTES_MAX {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "longer than any document"));
    }
    Ok(document)
}
