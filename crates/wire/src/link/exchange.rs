//! What travels in one stream, and how it is written and read.

use super::frame::{FrameDecoder, append_frame};
use crate::{Error, Message, Result, decode, encode, error::Kind};
use bincode::{Decode, Encode};
use bytes::{Bytes, BytesMut};
use h2::{Reason, RecvStream, SendStream};
use std::future::poll_fn;

/// First and only frame from the side that opens a stream.
#[derive(Debug, Decode, Encode)]
pub(crate) struct Open {
    pub(crate) message: Message,
    /// Time that the sender waits for the whole answer, in milliseconds.
    pub(crate) timeout_ms: u64,
    /// Whether the sender waits for no answer but that the message arrived.
    pub(crate) notify: bool,
}

/// Frames from the side that answers.
#[derive(Debug, Decode, Encode)]
pub(crate) enum Answer {
    /// One frame of the service.
    Frame(Vec<u8>),
    /// The answer is whole.
    End,
    /// Not acted upon.
    Refused {
        /// Whether it is refused for lack of room.
        overloaded: bool,
        /// Why.
        reason: String,
    },
}

/// Bytes that an encoded value may need beyond its payload.
const ENVELOPE_BYTES: usize = 1024;

/// Largest frame that carries a message of the given size.
pub(crate) fn max_frame_bytes(max_message_bytes: usize) -> usize {
    max_message_bytes + ENVELOPE_BYTES
}

/// Encodes one value as a frame.
pub(crate) fn frame_of<T: Encode>(value: &T, max_message_bytes: usize) -> Result<BytesMut> {
    let mut buf = BytesMut::new();
    append_frame(&mut buf, &encode(value)?, max_frame_bytes(max_message_bytes))?;
    Ok(buf)
}

/// Sends bytes as the flow control of the stream allows.
pub(crate) async fn send_all(
    tx: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end_of_stream: bool,
) -> Result<()> {
    while !bytes.is_empty() {
        tx.reserve_capacity(bytes.len());
        let capacity = match poll_fn(|cx| tx.poll_capacity(cx)).await {
            Some(Ok(capacity)) => capacity,
            Some(Err(e)) => return Err(lost("stream", &e)),
            None => return Err(Error::new(Kind::Lost, "stream closed")),
        };
        let part = bytes.split_to(capacity.min(bytes.len()));
        let last = end_of_stream && bytes.is_empty();
        tx.send_data(part, last).map_err(|e| lost("stream", &e))?;
    }
    Ok(())
}

/// Reads frames from a stream.
pub(crate) struct FrameReader {
    rx: RecvStream,
    decoder: FrameDecoder,
}

impl FrameReader {
    pub(crate) fn new(rx: RecvStream, max_message_bytes: usize) -> Self {
        Self { rx, decoder: FrameDecoder::new(max_frame_bytes(max_message_bytes)) }
    }

    /// The next value, or `None` at the end of the stream.
    pub(crate) async fn next<T: Decode<()>>(&mut self) -> Result<Option<T>> {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                return decode(&frame).map(Some);
            }
            match self.rx.data().await {
                Some(Ok(bytes)) => self.push(&bytes)?,
                Some(Err(e)) => return Err(lost("stream", &e)),
                None if self.decoder.is_empty() => return Ok(None),
                None => return Err(Error::new(Kind::Malformed, "stream ends within a frame")),
            }
        }
    }

    fn push(&mut self, bytes: &Bytes) -> Result<()> {
        self.decoder.push(bytes);
        // The window opens again only now, so a slow reader holds back the sender.
        self.rx.flow_control().release_capacity(bytes.len()).map_err(|e| lost("stream", &e))
    }
}

/// What an error of h2 means to a message that is under way.
pub(crate) fn lost(context: &str, e: &h2::Error) -> Error {
    let kind = match e.reason() {
        Some(Reason::CANCEL) if e.is_remote() => Kind::Cancelled,
        Some(Reason::REFUSED_STREAM) if e.is_remote() => Kind::Overloaded,
        _ => Kind::Lost,
    };
    Error::new(kind, format!("{context}: {e}"))
}
