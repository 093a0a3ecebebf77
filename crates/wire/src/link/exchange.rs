//! Frames of one stream: a message in one direction, its reply in the other.

use super::frame::{FrameDecoder, append_frame};
use crate::{Error, Message, Result, decode, encode, error::Kind};
use bincode::{Decode, Encode};
use bytes::{Bytes, BytesMut};
use h2::{Reason, RecvStream, SendStream};
use std::future::poll_fn;

/// The only frame that the daemon that opened a stream sends on it.
#[derive(Debug, Decode, Encode)]
pub(crate) struct OpenFrame {
    pub(crate) message: Message,
    /// Time that the sender waits for the complete reply, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Whether the sender expects no reply except the acknowledgement that the message arrived.
    pub(crate) notify: bool,
}

/// Frames of the reply.
#[derive(Debug, Decode, Encode)]
pub(crate) enum ReplyFrame {
    /// One frame of content from the service.
    Content(Vec<u8>),
    /// The reply is complete.
    End,
    /// The message was refused before it was acted on.
    Refused {
        /// Whether the cause is the limit on concurrent messages.
        overloaded: bool,
        /// Cause, for the error of the sender.
        reason: String,
    },
}

/// Upper bound of the bytes that the encoding of a frame adds to its payload.
const ENVELOPE_BYTES: usize = 1024;

/// Largest size of a frame that carries a message body of `max_message_bytes`.
pub(crate) fn max_frame_bytes(max_message_bytes: usize) -> usize {
    max_message_bytes + ENVELOPE_BYTES
}

/// Encodes a value as one frame.
///
/// # Errors
///
/// Fails if the frame is larger than a message body of `max_message_bytes` needs.
pub(crate) fn encode_frame<T: Encode>(value: &T, max_message_bytes: usize) -> Result<BytesMut> {
    let mut buf = BytesMut::new();
    append_frame(&mut buf, &encode(value)?, max_frame_bytes(max_message_bytes))?;
    Ok(buf)
}

/// Sends bytes on a stream, waiting for flow-control capacity as needed.
pub(crate) async fn send_all(
    tx: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end_of_stream: bool,
) -> Result<()> {
    while !bytes.is_empty() {
        tx.reserve_capacity(bytes.len());
        let capacity = match poll_fn(|cx| tx.poll_capacity(cx)).await {
            Some(Ok(capacity)) => capacity,
            Some(Err(e)) => return Err(stream_error("stream", &e)),
            None => return Err(Error::new(Kind::Lost, "stream closed")),
        };
        let part = bytes.split_to(capacity.min(bytes.len()));
        let last = end_of_stream && bytes.is_empty();
        tx.send_data(part, last).map_err(|e| stream_error("stream", &e))?;
    }
    Ok(())
}

/// Reads encoded values from a stream, one from each frame.
pub(crate) struct FrameReader {
    rx: RecvStream,
    decoder: FrameDecoder,
}

impl FrameReader {
    pub(crate) fn new(rx: RecvStream, max_message_bytes: usize) -> Self {
        Self { rx, decoder: FrameDecoder::new(max_frame_bytes(max_message_bytes)) }
    }

    /// Returns the next value, or `None` at the end of the stream.
    pub(crate) async fn next<T: Decode<()>>(&mut self) -> Result<Option<T>> {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                return decode(&frame).map(Some);
            }
            match self.rx.data().await {
                Some(Ok(bytes)) => self.push(&bytes)?,
                Some(Err(e)) => return Err(stream_error("stream", &e)),
                None if self.decoder.is_empty() => return Ok(None),
                None => return Err(Error::new(Kind::Malformed, "stream ends within a frame")),
            }
        }
    }

    fn push(&mut self, bytes: &Bytes) -> Result<()> {
        self.decoder.push(bytes);
        // Capacity is released only when the data is taken, so that a slow reader slows the sender.
        self.rx.flow_control().release_capacity(bytes.len()).map_err(|e| stream_error("stream", &e))
    }
}

/// Converts an h2 error on a stream whose message is in flight.
pub(crate) fn stream_error(context: &str, e: &h2::Error) -> Error {
    let kind = match e.reason() {
        Some(Reason::CANCEL) if e.is_remote() => Kind::Cancelled,
        Some(Reason::REFUSED_STREAM) if e.is_remote() => Kind::Overloaded,
        _ => Kind::Lost,
    };
    Error::new(kind, format!("{context}: {e}"))
}
