//! Completions of prompts that exceed the memory of one engine, on a gang of engines.
//!
//! The engines prefill the segments of the prompt in order. Each prefills one
//! segment on top of the KV cache that the previous engine has exported, and
//! keeps its own cache until the response has ended; the last engine also
//! decodes the response. A gang thus passes the KV cache on through export and
//! import, whereas the helpers of an engine prefill parts of a prompt in memory
//! that is reserved on them.
//!
//! However the request ends, all caches are released.
//! When a release gets lost, reconciliation releases the cache later.

use crate::{
    client::{Client, Shared, Target},
    error::{Error, ErrorReason, Result},
    http::Header,
    manage,
    stream::{self, StreamEvent, StreamRequest, StreamStatus, TokenStream},
    stream_run::StreamRun,
};
use serde::Serialize;
use std::{sync::Arc, time::Instant};
use wire::{ModelId, RequestId, Tokens, Verdict};

/// Path of the API that takes the prompt as plain text.
const COMPLETIONS_PATH: &str = "/v1/completions";

/// The part of a prompt that one engine prefills.
#[derive(Clone, Debug)]
pub struct PromptSegment {
    /// The engine that prefills it.
    pub target: Target,
    /// The text of the segment.
    pub text: String,
}

/// A completion on several engines. The owner has reserved memory for each
/// segment, and on the last engine also for the response.
#[derive(Clone, Debug)]
pub struct GangRequest {
    /// Id of the request.
    pub id: RequestId,
    /// The model.
    pub model: ModelId,
    /// Segments of the prompt, in order.
    pub segments: Vec<PromptSegment>,
    /// Maximum number of tokens of the response.
    pub max_tokens: Tokens,
    /// Further headers, such as the priority and the fencing token.
    pub headers: Vec<Header>,
    /// Instant by which the stream must have ended.
    pub deadline: Instant,
}

/// Splits a prompt at character boundaries into segments of at most `sizes` bytes
/// each. `None` when the sizes don't suffice for the whole prompt.
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
        let (segment, remaining) = rest.split_at(rest.floor_char_boundary(*size));
        segments.push(segment);
        rest = remaining;
    }
    rest.is_empty().then_some(segments)
}

/// Body of the completion request for one segment.
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

/// KV caches on the engines of a gang. Dropping it releases them.
#[derive(Default)]
struct HeldCaches {
    held: Vec<(Target, RequestId)>,
}

impl Drop for HeldCaches {
    fn drop(&mut self) {
        for (target, handle) in self.held.drain(..) {
            if let Err(e) = manage::release(&target.address, &handle) {
                log::info!(
                    "failed to release KV cache {handle} on {}; left to reconciliation: {e}",
                    target.upstream
                );
            }
        }
    }
}

impl Client {
    /// Starts a completion on several engines, on a thread of its own.
    ///
    /// It fails as soon as one engine fails; the owner may then try other
    /// engines. Dropping the stream cancels the request and releases all memory;
    /// the owner drops it when an engine that holds an earlier segment is gone.
    pub fn stream_gang(&self, req: GangRequest) -> TokenStream {
        let shared = Arc::clone(&self.shared);
        self.spawn(req.id.clone(), req.deadline, move |status, tx| {
            GangRun { shared, req, status, tx, caches: HeldCaches::default() }.run();
        })
    }
}

/// Execution of one gang request, on the thread of its stream.
struct GangRun {
    shared: Arc<Shared>,
    req: GangRequest,
    status: StreamStatus,
    tx: flume::Sender<StreamEvent>,
    caches: HeldCaches,
}

impl GangRun {
    fn run(mut self) {
        if let Err(error) = self.prefill_segments() {
            let retry_after = self.shared.cfg.backoff.cap;
            // Releases the memory before the consumer learns of the failure, so that it is
            // free when the consumer retries.
            self.caches = HeldCaches::default();
            let _ = self.tx.send(StreamEvent::Failed { error, retry_after });
            return;
        }
        self.prefill_last_and_decode();
    }

    /// Prefills all segments but the last, and imports each cache into the next engine.
    fn prefill_segments(&mut self) -> Result<()> {
        if self.req.segments.is_empty() {
            let message = "a gang needs a segment";
            return Err(Error::new(ErrorReason::Invalid, Verdict::NotRun, message));
        }
        for index in 0..self.req.segments.len() - 1 {
            self.prefill_segment(index)?;
            self.transfer_cache(index)?;
        }
        Ok(())
    }

    /// Handle of the KV cache of a segment, which is also the id of its request.
    fn cache_handle(&self, index: usize) -> RequestId {
        format!("{}.{index}", self.req.id)
    }

    fn segment_request(&self, index: usize, is_last: bool) -> StreamRequest {
        let previous_handle = index.checked_sub(1).map(|index| self.cache_handle(index));
        let body = Body {
            model: &self.req.model,
            prompt: &self.req.segments[index].text,
            max_tokens: if is_last { self.req.max_tokens } else { 0 },
            stream: true,
            kv_retain: !is_last,
            kv_handle: previous_handle.as_deref(),
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let id = if is_last { self.req.id.clone() } else { self.cache_handle(index) };
        let mut req = StreamRequest::new(id, COMPLETIONS_PATH, body, self.req.deadline);
        req.headers = self.req.headers.clone();
        req
    }

    /// Has an engine prefill its segment and retain the KV cache.
    fn prefill_segment(&mut self, index: usize) -> Result<()> {
        let target = self.req.segments[index].target.clone();
        // Added before the request is sent: the cache may exist even if the response is lost.
        self.caches.held.push((target.clone(), self.cache_handle(index)));
        let (result_tx, result_rx) = flume::bounded(1);
        let tx = self.tx.clone();
        let sink = move |event| match event {
            StreamEvent::Finished(_) => result_tx.try_send(Ok(())).is_ok(),
            StreamEvent::Failed { error, .. } => result_tx.try_send(Err(error)).is_ok(),
            event => stream::send_event(&tx, event),
        };
        let req = self.segment_request(index, false);
        let shared = Arc::clone(&self.shared);
        let stream_run = StreamRun::new(shared, req, self.status.clone(), Box::new(sink));
        stream_run.run(move |failed| failed.is_none().then(|| target.clone()));
        result_rx.try_recv().unwrap_or_else(|_| {
            let message = "the caller has gone";
            Err(Error::new(ErrorReason::Cancelled, Verdict::MayHaveRun, message))
        })
    }

    /// Exports the KV cache of a segment and imports it into the engine of the next one.
    fn transfer_cache(&mut self, index: usize) -> Result<()> {
        let handle = self.cache_handle(index);
        let from = &self.req.segments[index].target;
        let to = self.req.segments[index + 1].target.clone();
        let kv_state = manage::export(&from.address, &handle)?;
        self.caches.held.push((to.clone(), handle));
        manage::import(&to.address, &kv_state)
    }

    /// Has the last engine prefill its segment and decode the response.
    fn prefill_last_and_decode(self) {
        let last = self.req.segments.len() - 1;
        let target = self.req.segments[last].target.clone();
        let req = self.segment_request(last, true);
        let mut caches = Some(self.caches);
        let sink = move |event: StreamEvent| {
            if event.is_last() {
                // Releases the memory before the consumer learns of the end.
                caches.take();
            }
            stream::send_event(&self.tx, event)
        };
        let stream_run = StreamRun::new(self.shared, req, self.status, Box::new(sink));
        stream_run.run(move |failed| failed.is_none().then(|| target.clone()));
    }
}
