//! Bounded queues of messages to a service.

use crate::{Error, Result};
use std::time::Duration;

/// Sending end of a service's queue. Clones send to the same queue.
///
/// ```
/// let (tx, rx) = kernel::mailbox("log", 1);
/// tx.send("first")?;
/// let e = tx.send("second").unwrap_err();
/// assert!(e.is_full() && e.to_string().contains("log"));
/// assert_eq!(rx.recv(), Ok("first"));
/// # Ok::<(), kernel::Error>(())
/// ```
#[derive(Debug)]
pub struct Mailbox<T> {
    name: String,
    tx: flume::Sender<T>,
}

/// Makes a queue of at most `capacity` messages.
pub fn mailbox<T>(name: &str, capacity: usize) -> (Mailbox<T>, flume::Receiver<T>) {
    let (tx, rx) = flume::bounded(capacity);
    (Mailbox { name: name.to_owned(), tx }, rx)
}

impl<T> Mailbox<T> {
    /// Sends a message without waiting.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full, or the service has ended.
    pub fn send(&self, message: T) -> Result<()> {
        match self.tx.try_send(message) {
            Ok(()) => Ok(()),
            Err(flume::TrySendError::Full(_)) => Err(Error::full(&self.name)),
            Err(flume::TrySendError::Disconnected(_)) => Err(Error::ended(&self.name)),
        }
    }

    /// Sends a message, and waits at most so long for room.
    ///
    /// # Errors
    ///
    /// Fails if the queue stays full, or the service has ended.
    pub fn send_timeout(&self, message: T, timeout: Duration) -> Result<()> {
        match self.tx.send_timeout(message, timeout) {
            Ok(()) => Ok(()),
            Err(flume::SendTimeoutError::Timeout(_)) => Err(Error::full(&self.name)),
            Err(flume::SendTimeoutError::Disconnected(_)) => Err(Error::ended(&self.name)),
        }
    }

    /// Messages that wait.
    pub fn len(&self) -> usize {
        self.tx.len()
    }

    /// Whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.tx.is_empty()
    }
}

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Self {
        Self { name: self.name.clone(), tx: self.tx.clone() }
    }
}
