//! Bounded queues of messages to an internal service.

use crate::{Error, Result};
use std::time::Duration;

/// Sending end of the queue of a service. Clones send to the same queue.
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
    /// Name of the service, for errors.
    name: String,
    tx: flume::Sender<T>,
}

/// Creates the queue of the service `name`, which holds at most `capacity` messages.
pub fn mailbox<T>(name: &str, capacity: usize) -> (Mailbox<T>, flume::Receiver<T>) {
    let (tx, rx) = flume::bounded(capacity);
    (Mailbox { name: name.to_owned(), tx }, rx)
}

impl<T> Mailbox<T> {
    /// Puts a message into the queue without blocking.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full or the service has ended, that is, its receiver was dropped.
    pub fn send(&self, message: T) -> Result<()> {
        match self.tx.try_send(message) {
            Ok(()) => Ok(()),
            Err(flume::TrySendError::Full(_)) => Err(Error::queue_full(&self.name)),
            Err(flume::TrySendError::Disconnected(_)) => Err(Error::ended(&self.name)),
        }
    }

    /// Puts a message into the queue and, if it is full, blocks for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the queue is still full after the timeout, or the service has ended.
    pub fn send_timeout(&self, message: T, timeout: Duration) -> Result<()> {
        match self.tx.send_timeout(message, timeout) {
            Ok(()) => Ok(()),
            Err(flume::SendTimeoutError::Timeout(_)) => Err(Error::queue_full(&self.name)),
            Err(flume::SendTimeoutError::Disconnected(_)) => Err(Error::ended(&self.name)),
        }
    }

    /// Number of messages in the queue.
    pub fn len(&self) -> usize {
        self.tx.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.tx.is_empty()
    }
}

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Self {
        Self { name: self.name.clone(), tx: self.tx.clone() }
    }
}
