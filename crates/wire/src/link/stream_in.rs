//! The reply to a message, read frame by frame.

use crate::{Error, Result, error::Kind};
use std::time::Duration;
use tokio::sync::oneshot;

/// Result that the task that reads a stream passes to its [`StreamIn`]: a frame, or `None` at the
/// end of a complete reply.
pub(crate) type StreamItem = Result<Option<Vec<u8>>>;

/// Frames of a reply. Dropping it cancels the stream.
#[derive(Debug)]
pub struct StreamIn {
    rx: flume::Receiver<StreamItem>,
    /// Closed on drop, which stops the task that reads the stream.
    _cancel: oneshot::Sender<()>,
    ended: bool,
}

impl StreamIn {
    pub(crate) fn new(rx: flume::Receiver<StreamItem>, cancel: oneshot::Sender<()>) -> Self {
        Self { rx, _cancel: cancel, ended: false }
    }

    /// Returns the next frame, or `None` when the reply is complete. Waits at most `frame_timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the peer refuses the message, if the link is lost, if no frame arrives within
    /// `frame_timeout`, or if the time limit of the whole stream has passed.
    pub fn recv(&mut self, frame_timeout: Duration) -> Result<Option<Vec<u8>>> {
        if self.ended {
            return Ok(None);
        }
        match self.rx.recv_timeout(frame_timeout) {
            Ok(item) => {
                self.ended = !matches!(item, Ok(Some(_)));
                item
            }
            Err(flume::RecvTimeoutError::Disconnected) => {
                self.ended = true;
                Err(Error::new(Kind::Lost, "links stopped before the answer was whole"))
            }
            Err(flume::RecvTimeoutError::Timeout) => {
                Err(Error::new(Kind::Timeout, format!("no frame in {frame_timeout:?}")))
            }
        }
    }
}
