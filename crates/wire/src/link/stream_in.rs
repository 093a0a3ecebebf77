//! The answer to a message, frame by frame.

use crate::{Error, Result, error::Kind};
use std::time::Duration;
use tokio::sync::oneshot;

/// Frames of an answer. Dropped, it cancels the stream.
#[derive(Debug)]
pub struct StreamIn {
    rx: flume::Receiver<Result<Vec<u8>>>,
    /// Closed on drop, which ends the task that reads the stream.
    _cancel: oneshot::Sender<()>,
    ended: bool,
}

impl StreamIn {
    pub(crate) fn new(rx: flume::Receiver<Result<Vec<u8>>>, cancel: oneshot::Sender<()>) -> Self {
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
            Ok(Ok(frame)) => Ok(Some(frame)),
            Ok(Err(e)) => {
                self.ended = true;
                Err(e)
            }
            Err(flume::RecvTimeoutError::Disconnected) => {
                self.ended = true;
                Ok(None)
            }
            Err(flume::RecvTimeoutError::Timeout) => {
                Err(Error::new(Kind::Timeout, format!("no frame in {silence:?}")))
            }
        }
    }
}
