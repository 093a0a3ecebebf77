//! HTTP API of an engine: completions, streamed or in one response.

use crate::{
    batch::{EVENT_QUEUE_CAPACITY, Job, JobEvent},
    body::{Choice, Chunk, CompletionBody, Content, Usage},
    cache, control,
    engine::Shared,
    http::{self, EventWriter, HttpRefusal, Refusal},
    orders,
    state::EngineState,
    text::{PromptDigest, count_tokens},
};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tiny_http::{Method, Request};
use wire::{RequestId, Tokens};

/// Time without an event after which a stream sends a comment.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Priority of a request that is marked urgent.
const URGENT_PRIORITY: u8 = 10;
/// Priority of a request that names none. A lower number is more urgent.
const DEFAULT_PRIORITY: u8 = 100;

/// Number in the id of the next request that comes without an id.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// API of a completion request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Api {
    Chat,
    Text,
}

/// Serves one request.
pub(crate) fn handle(shared: &Arc<Shared>, mut req: Request) {
    let body = match http::read_body(&mut req) {
        Ok(body) => body,
        Err(e) => return Refusal::new("bad_body", e.to_string()).respond(req, 400),
    };
    let path = req.url().split('?').next().unwrap_or_default().to_string();
    match (req.method(), path.as_str()) {
        (Method::Post, "/v1/chat/completions") => complete(shared, req, &body, Api::Chat),
        (Method::Post, "/v1/completions") => complete(shared, req, &body, Api::Text),
        _ => control::handle(shared, req, &body),
    }
}

/// A request that the engine has accepted.
struct AcceptedRequest {
    id: RequestId,
    /// Id in the response: a wrong one after [`crate::Engine::respond_with_wrong_id`].
    response_id: RequestId,
    model: String,
    digest: PromptDigest,
    /// Offset of the first token to send.
    first_offset: Tokens,
    rx: flume::Receiver<JobEvent>,
    /// Whether this request brings the memory in use above what the cold-start ramp allows.
    is_overload: bool,
}

/// Serves a completion request. Crashes the engine if the prompt contains the configured text, or
/// if the request needs more memory than the cold-start ramp allows.
fn complete(shared: &Arc<Shared>, req: Request, body: &[u8], api: Api) {
    let body: CompletionBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(e) => return Refusal::new("bad_json", e.to_string()).respond(req, 400),
    };
    let text = body.text();
    if is_crash_prompt(shared, &text) {
        return Shared::crash(shared);
    }
    let accepted = match accept(shared, &req, &body, &text) {
        Ok(accepted) => accepted,
        Err(HttpRefusal(status, refusal)) => {
            shared.lock().stats.refused += 1;
            return refusal.respond(req, status);
        }
    };
    if accepted.is_overload {
        return Shared::crash(shared);
    }
    shared.notify_all();
    let result = if body.stream {
        stream(req, &accepted, api)
    } else {
        respond_whole(req, &accepted, api);
        Ok(())
    };
    if let Err(e) = result {
        log::debug!("stream {} ended early: {e}", accepted.id);
    }
}

/// Whether the engine is set to crash on this prompt.
fn is_crash_prompt(shared: &Shared, text: &str) -> bool {
    let state = shared.lock();
    state.cfg.crash_on.as_ref().is_some_and(|pattern| text.contains(pattern.as_str()))
}

/// Admits a request to the batch, or resumes the stream of a running or finished one.
fn accept(
    shared: &Shared,
    req: &Request,
    body: &CompletionBody,
    text: &str,
) -> Result<AcceptedRequest, HttpRefusal> {
    let id = request_id(req, body);
    let resume = resume_offset(req, body)?;
    let fence = orders::fence_header(req)?;
    let (tx, rx) = flume::bounded(EVENT_QUEUE_CAPACITY);
    let mut state = shared.lock();
    check_serving(&state, body)?;
    if fence.is_some() {
        let is_enforced = state.cfg.checks_fences;
        state.orders.check_fence(fence, is_enforced)?;
    }
    let segment = PromptSegment::new(&state, body, text)?;
    let first_offset = resume.unwrap_or_default();
    let response_id = state.response_id(&id);
    let model = body.model.clone();
    // A response with a wrong id has another text too.
    let digest = match response_id == id {
        true => segment.digest,
        false => segment.digest.extend(response_id.as_bytes()),
    };
    let mut accepted =
        AcceptedRequest { id, response_id, model, digest, first_offset, rx, is_overload: false };
    if resume.is_some() {
        return resume_request(&mut state, accepted, tx);
    }
    if state.holds_id(&accepted.id) {
        let message = format!("request {} is running", accepted.id);
        return Err(HttpRefusal(409, Refusal::new("duplicate_request", message)));
    }
    let memory = segment.tokens + body.max_tokens();
    check_memory(&state, memory)?;
    let cache_capacity = state.cache_capacity().saturating_sub(memory);
    state.cache.shrink(cache_capacity);
    let cached_tokens = state.cache.lookup(&segment.block_digests);
    state.stats.admitted += 1;
    state.batch.push(Job {
        id: accepted.id.clone(),
        fence,
        priority: priority_header(req),
        digest: segment.digest,
        prompt_tokens: segment.tokens + segment.imported_tokens,
        cached_tokens,
        prefill_remaining: segment.tokens.saturating_sub(cached_tokens),
        next_offset: first_offset,
        max_tokens: body.max_tokens(),
        memory_tokens: memory,
        kv_retain: body.kv_retain,
        block_digests: segment.block_digests,
        tx: Some(tx),
    });
    accepted.is_overload = state.is_overloaded();
    state.stats.overloads += u64::from(accepted.is_overload);
    Ok(accepted)
}

/// Sends the events of a running or finished request to `tx`, starting at the requested offset.
fn resume_request(
    state: &mut EngineState,
    accepted: AcceptedRequest,
    tx: flume::Sender<JobEvent>,
) -> Result<AcceptedRequest, HttpRefusal> {
    if let Some(job) = state.batch.get_mut(&accepted.id) {
        // The text is a function of the prompt, so earlier tokens can be generated again.
        job.next_offset = accepted.first_offset;
        job.tx = Some(tx);
    } else if let Some(usage) = state.finished_jobs.usage(&accepted.id) {
        state.batch.push(Job::replay(&accepted.id, accepted.first_offset, usage, tx));
    } else {
        let message = format!("request {} is not known", accepted.id);
        return Err(HttpRefusal(404, Refusal::new("unknown_request", message)));
    }
    state.stats.resumed += 1;
    Ok(accepted)
}

/// The part of a prompt that this engine prefills.
struct PromptSegment {
    /// Digest of the prompt so far, over all segments.
    digest: PromptDigest,
    /// Length of this segment.
    tokens: Tokens,
    /// Length of the earlier segments, which other engines have prefilled.
    imported_tokens: Tokens,
    /// Digests of its blocks for the prefix cache; none after an imported segment.
    block_digests: Vec<u64>,
}

impl PromptSegment {
    /// Segment of a request, which may continue an imported KV cache.
    fn new(state: &EngineState, body: &CompletionBody, text: &str) -> Result<Self, HttpRefusal> {
        let tokens = count_tokens(text.len() as u64);
        let Some(handle) = &body.kv_handle else {
            let digest = PromptDigest::EMPTY.extend(text.as_bytes());
            let block_digests = cache::block_digests(text.as_bytes());
            return Ok(Self { digest, tokens, imported_tokens: 0, block_digests });
        };
        let Some(kv) = state.kv.imported.get(handle) else {
            let message = format!("no KV cache {handle} was imported");
            return Err(HttpRefusal(404, Refusal::new("unknown_handle", message)));
        };
        let digest = kv.digest().extend(text.as_bytes());
        Ok(Self { digest, tokens, imported_tokens: kv.tokens, block_digests: Vec::new() })
    }
}

/// Refuses a request if the engine is stopping or hasn't loaded the model.
fn check_serving(state: &EngineState, body: &CompletionBody) -> Result<(), HttpRefusal> {
    if !state.is_running || state.is_draining {
        return Err(HttpRefusal(503, Refusal::new("stopping", "the engine accepts no requests")));
    }
    if !state.cfg.models.contains(&body.model) {
        let message = format!("model {} is not loaded", body.model);
        return Err(HttpRefusal(404, Refusal::new("unknown_model", message)));
    }
    Ok(())
}

/// Refuses a request that needs more memory than the engine has, or has free.
fn check_memory(state: &EngineState, memory: Tokens) -> Result<(), HttpRefusal> {
    let capacity = state.cfg.memory_tokens;
    if memory > capacity {
        let message = format!("{memory} tokens exceed this engine's memory of {capacity}");
        return Err(HttpRefusal(413, Refusal::new("too_long", message)));
    }
    let used = state.memory_used();
    if used + memory > capacity {
        let message = format!("{memory} tokens do not fit: {used} of {capacity} are in use");
        return Err(HttpRefusal(503, Refusal::new("out_of_memory", message)));
    }
    Ok(())
}

/// Id from the header or the body, or a new one.
fn request_id(req: &Request, body: &CompletionBody) -> RequestId {
    let header = http::header(req, http::REQUEST_ID_HEADER).map(str::to_string);
    header
        .or_else(|| body.request_id.clone())
        .unwrap_or_else(|| format!("local-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed)))
}

/// Offset at which to resume a stream, from the header or the body.
fn resume_offset(req: &Request, body: &CompletionBody) -> Result<Option<Tokens>, HttpRefusal> {
    let Some(text) = http::header(req, "toucansill-resume-offset") else {
        return Ok(body.resume);
    };
    let message = format!("toucansill-resume-offset is not a number: {text}");
    text.parse().map(Some).map_err(|_| HttpRefusal(400, Refusal::new("bad_header", message)))
}

/// Priority from the header: `urgent` or a number.
fn priority_header(req: &Request) -> u8 {
    match http::header(req, "toucansill-priority") {
        Some("urgent") => URGENT_PRIORITY,
        value => value.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_PRIORITY),
    }
}

/// Sends the completion as a stream of events, one for each token.
fn stream(req: Request, accepted: &AcceptedRequest, api: Api) -> io::Result<()> {
    let mut writer = EventWriter::start(req)?;
    let mut next_offset = accepted.first_offset;
    loop {
        let event = match accepted.rx.recv_timeout(HEARTBEAT) {
            Ok(event) => event,
            Err(flume::RecvTimeoutError::Timeout) => {
                writer.comment("waiting")?;
                continue;
            }
            // The engine has crashed, and the fault proxy cuts the connection.
            Err(flume::RecvTimeoutError::Disconnected) => return Ok(()),
        };
        let data = match event {
            JobEvent::PrefillProgress => {
                writer.comment("prefill")?;
                continue;
            }
            JobEvent::Token(offset) => {
                next_offset = offset + 1;
                token_event(accepted, api, offset)
            }
            JobEvent::Finished(usage) => {
                end_event(accepted, api, next_offset, "length", Some(usage))
            }
            JobEvent::Cancelled => end_event(accepted, api, next_offset, "cancelled", None),
        };
        writer.data(&data)?;
        if !matches!(event, JobEvent::Token(_)) {
            return writer.data("[DONE]");
        }
    }
}

/// Data of the event for the token at `offset`.
fn token_event(accepted: &AcceptedRequest, api: Api, offset: Tokens) -> String {
    let text = accepted.digest.token(offset);
    let choice = match api {
        Api::Chat => {
            Choice { delta: Some(Content { role: None, content: Some(text) }), ..Choice::default() }
        }
        Api::Text => Choice { text: Some(text), ..Choice::default() },
    };
    chunk(accepted, api, offset, choice, None)
}

/// Data of the last event, with the reason of the end.
fn end_event(
    accepted: &AcceptedRequest,
    api: Api,
    offset: Tokens,
    reason: &'static str,
    usage: Option<Usage>,
) -> String {
    let mut choice = Choice { finish_reason: Some(reason), ..Choice::default() };
    match api {
        Api::Chat => choice.delta = Some(Content { role: None, content: None }),
        Api::Text => choice.text = Some(String::new()),
    }
    chunk(accepted, api, offset, choice, usage)
}

/// JSON document of an event.
fn chunk(
    accepted: &AcceptedRequest,
    api: Api,
    offset: Tokens,
    choice: Choice,
    usage: Option<Usage>,
) -> String {
    let object = match api {
        Api::Chat => "chat.completion.chunk",
        Api::Text => "text_completion",
    };
    let chunk = Chunk {
        id: &accepted.response_id,
        object,
        model: &accepted.model,
        offset,
        choices: [choice],
        usage,
    };
    serde_json::to_string(&chunk).unwrap_or_default()
}

/// Sends the whole completion as one JSON document.
fn respond_whole(req: Request, accepted: &AcceptedRequest, api: Api) {
    let mut text = String::new();
    let mut outcome = None;
    for event in &accepted.rx {
        match event {
            JobEvent::PrefillProgress => {}
            JobEvent::Token(offset) => text.push_str(&accepted.digest.token(offset)),
            JobEvent::Finished(usage) => outcome = Some(("length", Some(usage))),
            JobEvent::Cancelled => outcome = Some(("cancelled", None)),
        }
    }
    // Without an outcome the engine has crashed, and the fault proxy cuts the connection.
    let Some((reason, usage)) = outcome else {
        return;
    };
    let mut choice = Choice { finish_reason: Some(reason), ..Choice::default() };
    let object = match api {
        Api::Chat => {
            choice.message = Some(Content { role: Some("assistant"), content: Some(text) });
            "chat.completion"
        }
        Api::Text => {
            choice.text = Some(text);
            "text_completion"
        }
    };
    let id = &accepted.response_id;
    let model = &accepted.model;
    let offset = accepted.first_offset;
    http::respond_json(req, 200, &Chunk { id, object, model, offset, choices: [choice], usage });
}
