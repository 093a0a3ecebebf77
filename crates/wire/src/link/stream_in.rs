//! The answer to a message, frame by frame.

use crate::{Error, Result, error::Kind};
use std::time::Duration;
use tokio::sync::oneshot;

/// What the task that reads a stream passes on: a frame, or `None` at the end
/// of a whole answer.
pub(crate) type Item = Result<Option<Vec<u8>>>;

/// Frames of an answer. Dropped, it cancels the stream.
#[derive(Debug)]
pub struct StreamIn {
    rx: flume::Receiver<Item>,
    /// Closed on drop, which ends the task that reads the stream.
    _cancel: oneshot::Sender<()>,
    ended: bool,
}

impl StreamIn {
    pub(crate) fn new(rx: flume::Receiver<Item>, cancel: oneshot::Sender<()>) -> Self {
        Self { rx, _cancel: cancel, ended: false }
    }

    /// The next frame, or `None` when the answer is whole. Waits at most
    /// `silence` for it.
    ///
    /// # Errors
    ///
    /// Fails if the other end refuses, is lost or stays silent, or the time of
    /// the whole stream is over.
    pub fn recv(&mut self, silence: Duration) -> Result<Option<Vec<u8>>> {
        if self.ended {
            return Ok(None);
        }
        match self.rx.recv_timeout(silence) {
            Ok(item) => {
                self.ended = !matches!(item, Ok(Some(_)));
                item
            }
            Err(flume::RecvTimeoutError::Disconnected) => {
                self.ended = true;
                Err(Error::new(Kind::Lost, "links stopped before the answer was whole"))
            }
            Err(flume::RecvTimeoutError::Timeout) => {
                Err(Error::new(Kind::Timeout, format!("no frame in {silence:?}")))
            }
        }
    }
}
