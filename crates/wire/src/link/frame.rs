//! Frames in a stream of bytes: a length of 4 bytes, then as many bytes.

use crate::{Error, Result, error::Kind};
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Bytes of a frame's length.
pub(crate) const LENGTH_BYTES: usize = 4;

/// Cuts a stream of bytes into frames of a bounded size.
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
    /// A decoder of frames of at most so many bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self { buf: BytesMut::new(), max_bytes }
    }

    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole frame, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the next frame is larger than the limit, before it has arrived.
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

    /// Whether the bytes so far end between two frames.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

/// Appends a frame to a buffer.
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
