//! Bodies of responses to callers.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use std::{
    error, fmt,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::sync::mpsc;

/// Maximum number of chunks of a streamed body that wait for a slow caller. While the queue is
/// full, [`BodySender::send`] waits, so that the stream of the upstream is read no faster.
const MAX_QUEUED_CHUNKS: usize = 8;

/// Body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, IncompleteBody>;

/// Error of a body that ended before it was complete. The server then closes the connection before
/// the end of the body, so the caller can tell that the body is incomplete.
#[derive(Clone, Copy, Debug)]
pub struct IncompleteBody;

impl fmt::Display for IncompleteBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response body ended before it was complete")
    }
}

impl error::Error for IncompleteBody {}

/// Creates a body of these bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body without bytes.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Sending end of a streamed body. If it is dropped without [`BodySender::finish`], the connection
/// to the caller is closed before the end of the body, so the caller can tell that the body is
/// incomplete.
#[derive(Debug)]
pub struct BodySender {
    tx: mpsc::Sender<Item>,
    finished: bool,
}

type Item = Result<Bytes, IncompleteBody>;

/// Creates a body whose bytes are sent chunk by chunk.
pub fn channel() -> (BodySender, Body) {
    let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let body = StreamBody::new(ChunkStream { rx, has_ended: false });
    (BodySender { tx, finished: false }, body.boxed_unsync())
}

impl BodySender {
    /// Sends a chunk; waits while the caller reads too slowly. Returns false if the caller has
    /// disconnected. `bytes` must not be empty: an empty chunk ends the body.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.tx.send(Ok(bytes)).await.is_ok()
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Ends the body as complete.
    pub async fn finish(mut self) {
        self.finished = true;
        // An empty chunk marks the end. An error means that the caller has disconnected.
        let _ = self.tx.send(Ok(Bytes::new())).await;
    }
}

/// Stream of the chunks that a [`BodySender`] sends. It ends with [`IncompleteBody`] if the sender
/// is dropped without the empty chunk that marks the end.
struct ChunkStream {
    rx: mpsc::Receiver<Item>,
    has_ended: bool,
}

impl futures_core::Stream for ChunkStream {
    type Item = Result<Frame<Bytes>, IncompleteBody>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let item = match self.rx.poll_recv(cx) {
            Poll::Ready(item) => item,
            Poll::Pending => return Poll::Pending,
        };
        match item {
            Some(Ok(bytes)) if bytes.is_empty() => {
                self.has_ended = true;
                Poll::Ready(None)
            }
            Some(Ok(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(Err(err)) => Poll::Ready(Some(Err(err))),
            None => {
                self.has_ended = true;
                Poll::Ready(Some(Err(IncompleteBody)))
            }
        }
    }
}
