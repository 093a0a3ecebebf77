//! Inbound messages, and the handles with which handlers reply to them.

use super::exchange::ReplyFrame;
use crate::{DaemonId, Error, Message, Result, error::Kind};
use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// Handles inbound messages. It runs on a thread where it may block, unless
/// [`LinkConfig::inline_handler`](crate::LinkConfig::inline_handler) is set.
pub type InboundHandler = Arc<dyn Fn(Inbound) + Send + Sync>;

type CancelHook = Box<dyn FnOnce() + Send>;

/// A message from another daemon.
#[derive(Debug)]
pub struct Inbound {
    /// Daemon that sent the message, as authenticated by the handshake of the link.
    pub peer: DaemonId,
    /// Protocol version of the link.
    pub version: u32,
    /// Service name and content.
    pub message: Message,
    /// Time that the sender waits for the complete reply.
    pub timeout: Duration,
    /// Sends the reply.
    pub responder: Responder,
}

/// Replies to a message with any number of frames. The methods that send a frame block while the
/// queue of the stream is full because the peer reads slowly.
///
/// If it is dropped before [`finish`](Self::finish), the peer receives an error. For a
/// notification, whose sender expects no reply, [`send`](Self::send) fails.
pub struct Responder {
    tx: flume::Sender<ReplyFrame>,
    cancel: Arc<Cancellation>,
}

/// Cancellation of one stream by its peer, and the hook to call on it.
#[derive(Default)]
pub(crate) struct Cancellation {
    state: Mutex<CancelState>,
}

#[derive(Default)]
struct CancelState {
    cancelled: bool,
    hook: Option<CancelHook>,
}

impl Responder {
    pub(crate) fn new(tx: flume::Sender<ReplyFrame>, cancel: Arc<Cancellation>) -> Self {
        Self { tx, cancel }
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// Fails if the peer has cancelled the stream, its time limit has passed, or the link is lost.
    pub fn send(&self, frame: impl Into<Vec<u8>>) -> Result<()> {
        self.send_frame(ReplyFrame::Content(frame.into()))
    }

    /// Marks the reply as complete.
    ///
    /// # Errors
    ///
    /// As for [`send`](Self::send).
    pub fn finish(self) -> Result<()> {
        self.send_frame(ReplyFrame::End)
    }

    /// Sends a reply that consists of one frame.
    ///
    /// # Errors
    ///
    /// As for [`send`](Self::send).
    pub fn reply(self, frame: impl Into<Vec<u8>>) -> Result<()> {
        self.send(frame)?;
        self.finish()
    }

    /// Refuses the message, which must not have been acted on. Call it only before the first
    /// frame is sent; after one, the peer reports the reply as lost.
    ///
    /// # Errors
    ///
    /// As for [`send`](Self::send).
    pub fn refuse(self, reason: &str) -> Result<()> {
        self.send_frame(ReplyFrame::Refused { overloaded: false, reason: reason.to_owned() })
    }

    /// Whether the peer no longer waits for the reply.
    pub fn is_cancelled(&self) -> bool {
        self.cancel.is_cancelled()
    }

    /// Calls `hook` once when the peer stops waiting for the reply, or immediately if it already
    /// has. A later hook replaces an earlier one. The hook is discarded once the reply is complete
    /// or the responder is dropped.
    pub fn on_cancel(&self, hook: impl FnOnce() + Send + 'static) {
        self.cancel.on_cancel(Box::new(hook));
    }

    fn send_frame(&self, frame: ReplyFrame) -> Result<()> {
        let sent = self.tx.send(frame).is_ok();
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

impl Cancellation {
    /// Records the cancellation and calls the hook on the current thread.
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

    /// Discards the hook, once the reply is complete.
    pub(crate) fn clear_hook(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).hook = None;
    }

    fn is_cancelled(&self) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).cancelled
    }

    fn on_cancel(&self, hook: CancelHook) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.cancelled {
            drop(state);
            return hook();
        }
        state.hook = Some(hook);
    }
}
