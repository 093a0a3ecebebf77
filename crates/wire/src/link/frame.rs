//! Frames in a stream of bytes: a little-endian 4-byte length, then the payload of that length.

use crate::{Error, Result, error::Kind};
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Size of the length prefix of a frame.
pub(crate) const LENGTH_BYTES: usize = 4;

/// Splits a stream of bytes into frames of bounded size.
///
/// ```
/// let mut decoder = wire::FrameDecoder::new(16);
/// decoder.push(&[2, 0, 0, 0, b'h']);
/// assert_eq!(decoder.next_frame()?, None);
/// decoder.push(b"i");
/// assert_eq!(decoder.next_frame()?.as_deref(), Some(&b"hi"[..]));
///
/// decoder.push(&[17, 0, 0, 0]);
/// assert!(decoder.next_frame().is_err_and(|e| e.is_too_large()));
/// # Ok::<(), wire::Error>(())
/// ```
#[derive(Debug)]
pub struct FrameDecoder {
    buf: BytesMut,
    max_bytes: usize,
}

impl FrameDecoder {
    /// Creates a decoder that accepts payloads of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self { buf: BytesMut::new(), max_bytes }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the payload of the next frame, or `None` if it has not arrived completely.
    ///
    /// # Errors
    ///
    /// Fails if the length of the next frame exceeds the limit, as soon as the length has arrived.
    pub fn next_frame(&mut self) -> Result<Option<Bytes>> {
        let Some(mut header) = self.buf.get(..LENGTH_BYTES) else { return Ok(None) };
        let length = header.get_u32_le() as usize;
        if length > self.max_bytes {
            let context = format!("frame of {length} bytes, at most {}", self.max_bytes);
            return Err(Error::new(Kind::TooLarge, context));
        }
        if self.buf.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        Ok(Some(self.buf.split_to(length).freeze()))
    }

    /// Whether no bytes are left after the frames that were returned.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

/// Appends a frame to a buffer.
///
/// # Errors
///
/// Fails if the payload is larger than `max_bytes`.
pub(crate) fn append_frame(buf: &mut BytesMut, payload: &[u8], max_bytes: usize) -> Result<()> {
    let length = u32::try_from(payload.len()).ok().filter(|n| *n as usize <= max_bytes);
    let Some(length) = length else {
        let context = format!("frame of {} bytes, at most {max_bytes}", payload.len());
        return Err(Error::new(Kind::TooLarge, context));
    };
    buf.reserve(LENGTH_BYTES + payload.len());
    buf.put_u32_le(length);
    buf.put_slice(payload);
    Ok(())
}
