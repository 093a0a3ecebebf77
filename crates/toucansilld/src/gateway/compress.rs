//! Compresses routing documents for the replicated log and the links.
//!
//! Routing documents are repetitive: DEFLATE reduces them to about a tenth in the log, in
//! memory and on the links between data centres.

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use std::io::{self, Read, Write};

/// Longest document that is decompressed, in bytes, which is also the longest accepted body of a
/// HTTP control request. The limit keeps corrupt input from exhausting memory.
pub(crate) const DOCUMENT_BYTES_MAX: u64 = 16 << 20;

/// Compresses a document.
pub(crate) fn compress(document: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(document)?;
    encoder.finish()
}

/// Decompresses a document.
///
/// # Errors
///
/// Fails for invalid data and for documents longer than [`DOCUMENT_BYTES_MAX`].
pub(crate) fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let mut document = Vec::new();
    DeflateDecoder::new(compressed).take(DOCUMENT_BYTES_MAX + 1).read_to_end(&mut document)?;
    if document.len() as u64 > DOCUMENT_BYTES_MAX {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "longer than any document"));
    }
    Ok(document)
}
