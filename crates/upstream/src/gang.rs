//! Prompts beyond one engine's memory: a gang of engines reads them in turn.
//!
//! Each engine reads one segment on top of the KV cache that the one before
//! has exported, and keeps its part until the answer has ended. All caches are
//! released on every way out; a release that gets lost is left to
//! reconciliation.

use crate::{
    client::{Client, Shared, Target},
    error::{Error, ErrorReason, Result},
    http::Header,
    manage,
    stream::{self, Presence, StreamEvent, StreamRequest, TokenStream},
    transfer::Transfer,
};
use serde::Serialize;
use std::{sync::Arc, time::Instant};
use wire::{ModelId, RequestId, Tokens, Verdict};

/// The API that reads raw prompt text.
const PATH: &str = "/v1/completions";

/// The part of a prompt that one engine reads.
#[derive(Clone, Debug)]
pub struct PromptSegment {
    /// The engine.
    pub target: Target,
    /// The text.
    pub text: String,
}

/// A completion over several engines. Memory for each segment, and for the
/// answer on the last engine, is promised before.
#[derive(Clone, Debug)]
pub struct GangRequest {
    /// Id of the request.
    pub id: RequestId,
    /// The model.
    pub model: ModelId,
    /// The prompt, in order.
    pub segments: Vec<PromptSegment>,
    /// Most tokens of the answer.
    pub max_tokens: Tokens,
    /// Further headers, such as the priority and the fencing number.
    pub headers: Vec<Header>,
    /// When the stream must have ended.
    pub deadline: Instant,
}

/// Splits a prompt into segments of at most the stated bytes each, between
/// characters. `None` when the sizes don't suffice.
///
/// ```
/// use upstream::gang::split_prompt;
///
/// assert_eq!(split_prompt("abcdef", &[4, 4]), Some(vec!["abcd", "ef"]));
/// assert_eq!(split_prompt("äöü", &[3, 4]), Some(vec!["ä", "öü"]));
/// assert_eq!(split_prompt("abcdef", &[4]), None);
/// ```
pub fn split_prompt<'a>(prompt: &'a str, sizes: &[usize]) -> Option<Vec<&'a str>> {
    let mut rest = prompt;
    let mut segments = Vec::new();
    for size in sizes {
        if rest.is_empty() {
            break;
        }
        let (segment, after) = rest.split_at(rest.floor_char_boundary(*size));
        segments.push(segment);
        rest = after;
    }
    rest.is_empty().then_some(segments)
}

/// Body of one segment's completion.
#[derive(Serialize)]
struct Body<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: Tokens,
    stream: bool,
    kv_retain: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    kv_handle: Option<&'a str>,
}

/// KV caches to release, wherever the gang ends.
#[derive(Default)]
struct Caches {
    held: Vec<(Target, RequestId)>,
}

impl Drop for Caches {
    fn drop(&mut self) {
        for (target, handle) in self.held.drain(..) {
            if let Err(e) = manage::release(&target.address, &handle) {
                log::info!(
                    "KV cache {handle} on {} is left to reconciliation: {e}",
                    target.upstream
                );
            }
        }
    }
}

impl Client {
    /// Starts a completion over several engines, on a thread of its own.
    ///
    /// It fails with the first engine that fails; the caller may then try other
    /// engines. Dropping the stream cancels it and releases all memory, as the
    /// owner does when an engine that holds an earlier segment is gone.
    pub fn stream_gang(&self, req: GangRequest) -> TokenStream {
        let shared = Arc::clone(&self.shared);
        self.spawn(req.id.clone(), req.deadline, move |presence, tx| {
            Gang { shared, req, presence, tx, caches: Caches::default() }.run();
        })
    }
}

/// A gang at work.
struct Gang {
    shared: Arc<Shared>,
    req: GangRequest,
    presence: Presence,
    tx: flume::Sender<StreamEvent>,
    caches: Caches,
}

impl Gang {
    fn run(mut self) {
        if let Err(error) = self.read_segments() {
            let retry_after = self.shared.cfg.backoff.cap;
            // The memory is free before the caller can come back.
            self.caches = Caches::default();
            let _ = self.tx.send(StreamEvent::Failed { error, retry_after });
            return;
        }
        self.answer();
    }

    /// Lets all engines but the last read their segments.
    fn read_segments(&mut self) -> Result<()> {
        if self.req.segments.is_empty() {
            let message = "a gang needs a segment";
            return Err(Error::new(ErrorReason::Invalid, Verdict::NotRun, message));
        }
        for number in 0..self.req.segments.len() - 1 {
            self.read_segment(number)?;
            self.hand_on(number)?;
        }
        Ok(())
    }

    fn handle(&self, number: usize) -> RequestId {
        format!("{}.{number}", self.req.id)
    }

    fn segment_request(&self, number: usize, is_last: bool) -> StreamRequest {
        let before = number.checked_sub(1).map(|before| self.handle(before));
        let body = Body {
            model: &self.req.model,
            prompt: &self.req.segments[number].text,
            max_tokens: if is_last { self.req.max_tokens } else { 0 },
            stream: true,
            kv_retain: !is_last,
            kv_handle: before.as_deref(),
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let id = if is_last { self.req.id.clone() } else { self.handle(number) };
        let mut req = StreamRequest::new(id, PATH, body, self.req.deadline);
        req.headers = self.req.headers.clone();
        req
    }

    /// Lets one engine read its segment and keep the KV cache.
    fn read_segment(&mut self, number: usize) -> Result<()> {
        let target = self.req.segments[number].target.clone();
        // Held from now on: the cache may be there even if the answer gets lost.
        self.caches.held.push((target.clone(), self.handle(number)));
        let (result, ended) = flume::bounded(1);
        let tx = self.tx.clone();
        let sink = move |event| match event {
            StreamEvent::Finished(_) => result.try_send(Ok(())).is_ok(),
            StreamEvent::Failed { error, .. } => result.try_send(Err(error)).is_ok(),
            event => stream::send(&tx, event),
        };
        let req = self.segment_request(number, false);
        let shared = Arc::clone(&self.shared);
        let transfer = Transfer::new(shared, req, self.presence.clone(), Box::new(sink));
        transfer.run(move |failed| failed.is_none().then(|| target.clone()));
        ended.try_recv().unwrap_or_else(|_| {
            let message = "the caller has gone";
            Err(Error::new(ErrorReason::Cancelled, Verdict::MayHaveRun, message))
        })
    }

    /// Hands the KV cache of one segment to the engine of the next.
    fn hand_on(&mut self, number: usize) -> Result<()> {
        let handle = self.handle(number);
        let from = &self.req.segments[number].target;
        let to = self.req.segments[number + 1].target.clone();
        let state = manage::export(&from.address, &handle)?;
        self.caches.held.push((to.clone(), handle));
        manage::import(&to.address, &state)
    }

    /// Lets the last engine read its segment and answer.
    fn answer(self) {
        let last = self.req.segments.len() - 1;
        let target = self.req.segments[last].target.clone();
        let req = self.segment_request(last, true);
        let mut caches = Some(self.caches);
        let sink = move |event: StreamEvent| {
            if event.is_last() {
                // The memory is free before the caller learns of the end.
                caches.take();
            }
            stream::send(&self.tx, event)
        };
        let transfer = Transfer::new(self.shared, req, self.presence, Box::new(sink));
        transfer.run(move |failed| failed.is_none().then(|| target.clone()));
    }
}
