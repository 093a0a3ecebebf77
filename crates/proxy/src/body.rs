//! Bodies of answers to callers.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use std::{
    error, fmt,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::sync::mpsc;

/// Pieces of a stream that wait for a slow caller before its upstream is held back.
const PIECES: usize = 8;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, IncompleteBody>;

/// An answer that ends before its end; the connection shows it to the caller.
#[derive(Clone, Copy, Debug)]
pub struct IncompleteBody;

impl fmt::Display for IncompleteBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was broken off")
    }
}

impl error::Error for IncompleteBody {}

/// A body of these bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body without bytes.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// The writing end of a streamed body. Dropped before [`BodySender::finish`], the
/// connection to the caller is broken off, so that the answer does not look complete.
#[derive(Debug)]
pub struct BodySender {
    tx: mpsc::Sender<Item>,
    finished: bool,
}

type Item = Result<Bytes, IncompleteBody>;

/// A body that is written piece by piece.
pub fn channel() -> (BodySender, Body) {
    let (tx, rx) = mpsc::channel(PIECES);
    let body = StreamBody::new(Pieces { rx, has_ended: false });
    (BodySender { tx, finished: false }, body.boxed_unsync())
}

impl BodySender {
    /// Sends a piece; waits while the caller is slow. False if the caller has left.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.tx.send(Ok(bytes)).await.is_ok()
    }

    /// Returns once the caller has left.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// The body is complete.
    pub async fn finish(mut self) {
        self.finished = true;
        // An empty piece marks the end; a caller that has left needs none.
        let _ = self.tx.send(Ok(Bytes::new())).await;
    }
}

/// Pieces that a [`BodySender`] sends. The end of the channel without the mark of the end
/// is a broken body.
struct Pieces {
    rx: mpsc::Receiver<Item>,
    has_ended: bool,
}

impl futures_core::Stream for Pieces {
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
