//! Inbound messages and the way to answer them.

use super::exchange::Answer;
use crate::{DaemonId, Error, Message, Result, error::Kind};
use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// Handles inbound messages. It runs on a thread that may wait.
pub type InboundHandler = Arc<dyn Fn(Inbound) + Send + Sync>;

type Hook = Box<dyn FnOnce() + Send>;

/// One message from another daemon.
#[derive(Debug)]
pub struct Inbound {
    /// Daemon that sent it, which has proved the region secret.
    pub peer: DaemonId,
    /// Protocol version of the link.
    pub version: u32,
    /// The message.
    pub message: Message,
    /// Time that the sender waits for the whole answer.
    pub timeout: Duration,
    /// Answers it.
    pub responder: Responder,
}

/// Answers one message with any number of frames. Its methods wait while the
/// other end is slow.
///
/// Dropped before [`finish`](Self::finish), the other end gets an error. For a
/// notification, whose sender waits for no answer, [`send`](Self::send) fails.
pub struct Responder {
    tx: flume::Sender<Answer>,
    cancel: Arc<Cancel>,
}

/// What is known about a cancelled stream.
#[derive(Default)]
pub(crate) struct Cancel {
    state: Mutex<CancelState>,
}

#[derive(Default)]
struct CancelState {
    cancelled: bool,
    hook: Option<Hook>,
}

impl Responder {
    pub(crate) fn new(tx: flume::Sender<Answer>, cancel: Arc<Cancel>) -> Self {
        Self { tx, cancel }
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// Fails if the other end has cancelled or is lost.
    pub fn send(&self, frame: impl Into<Vec<u8>>) -> Result<()> {
        self.put(Answer::Frame(frame.into()))
    }

    /// Says that the answer is whole.
    pub fn finish(self) -> Result<()> {
        self.put(Answer::End)
    }

    /// Sends one frame, the whole answer.
    pub fn reply(self, frame: impl Into<Vec<u8>>) -> Result<()> {
        self.send(frame)?;
        self.finish()
    }

    /// Says that the message was not acted upon. Only before the first frame.
    pub fn refuse(self, reason: &str) -> Result<()> {
        self.put(Answer::Refused { overloaded: false, reason: reason.to_owned() })
    }

    /// Whether the other end no longer waits for the answer.
    pub fn is_cancelled(&self) -> bool {
        self.cancel.is_cancelled()
    }

    /// Calls the hook once when the other end no longer waits for the answer,
    /// at once if that has already happened.
    pub fn on_cancel(&self, hook: impl FnOnce() + Send + 'static) {
        self.cancel.on_cancel(Box::new(hook));
    }

    fn put(&self, answer: Answer) -> Result<()> {
        let sent = self.tx.send(answer).is_ok();
        match sent {
            true => Ok(()),
            false => Err(Error::new(Kind::Cancelled, "the other end no longer waits")),
        }
    }
}

impl fmt::Debug for Responder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Responder").field("cancelled", &self.is_cancelled()).finish()
    }
}

impl Cancel {
    pub(crate) fn cancel(&self) {
        let hook = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.cancelled = true;
            state.hook.take()
        };
        if let Some(hook) = hook {
            hook();
        }
    }

    /// Forgets the hook, as the answer is whole.
    pub(crate) fn disarm(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).hook = None;
    }

    fn is_cancelled(&self) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).cancelled
    }

    fn on_cancel(&self, hook: Hook) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.cancelled {
            drop(state);
            return hook();
        }
        state.hook = Some(hook);
    }
}
