//! An engine's HTTP API.

use crate::{
    batch::{EMISSION_QUEUE, Emission, Job},
    body::{Choice, Chunk, CompletionBody, Content, Usage},
    cache, control,
    engine::Shared,
    http::{self, EventWriter, Refusal, Refused},
    orders,
    state::Core,
    text::{Digest, count_tokens},
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

/// Longest time without a byte on a stream.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Priority of a request that is marked urgent.
const URGENT_PRIORITY: u8 = 10;
/// Priority of a request that names none; urgent ones have a lower number.
const DEFAULT_PRIORITY: u8 = 100;

/// Number of the next request that came without an id.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Which of the two completion APIs a request came by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Api {
    Chat,
    Plain,
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
        (Method::Post, "/v1/completions") => complete(shared, req, &body, Api::Plain),
        _ => control::handle(shared, req, &body),
    }
}

/// A request that the engine has taken in.
struct Accepted {
    id: RequestId,
    /// Id in the answer: another one after [`crate::Engine::respond_with_wrong_id`].
    shown_id: RequestId,
    model: String,
    digest: Digest,
    first: Tokens,
    rx: flume::Receiver<Emission>,
    /// Whether it is more than the cold-start ramp allows.
    is_overload: bool,
}

fn complete(shared: &Arc<Shared>, req: Request, body: &[u8], api: Api) {
    let body: CompletionBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(e) => return Refusal::new("bad_json", e.to_string()).respond(req, 400),
    };
    let text = body.text();
    if must_crash(shared, &text) {
        return Shared::crash(shared);
    }
    let accepted = match accept(shared, &req, &body, &text) {
        Ok(accepted) => accepted,
        Err(Refused(status, refusal)) => {
            shared.lock().stats.refused += 1;
            return refusal.respond(req, status);
        }
    };
    if accepted.is_overload {
        return Shared::crash(shared);
    }
    shared.wake();
    let ended = if body.stream {
        stream(req, &accepted, api)
    } else {
        answer(req, &accepted, api);
        Ok(())
    };
    if let Err(e) = ended {
        log::debug!("stream {} ended early: {e}", accepted.id);
    }
}

fn must_crash(shared: &Shared, text: &str) -> bool {
    let core = shared.lock();
    core.cfg.crash_on.as_ref().is_some_and(|poison| text.contains(poison.as_str()))
}

/// Takes a request in, or takes up a running one again.
fn accept(
    shared: &Shared,
    req: &Request,
    body: &CompletionBody,
    text: &str,
) -> Result<Accepted, Refused> {
    let id = request_id(req, body);
    let resume = resume_offset(req, body)?;
    let fence = orders::fence_of(req)?;
    let (tx, rx) = flume::bounded(EMISSION_QUEUE);
    let mut core = shared.lock();
    check_serving(&core, body)?;
    if fence.is_some() {
        let checks = core.cfg.checks_fences;
        core.orders.check(fence, checks)?;
    }
    let segment = Segment::of(&core, body, text)?;
    let first = resume.unwrap_or_default();
    let shown_id = core.shown_id(&id);
    let model = body.model.clone();
    // The text of a crossed answer differs too.
    let digest = match shown_id == id {
        true => segment.digest,
        false => segment.digest.extend(shown_id.as_bytes()),
    };
    let mut accepted = Accepted { id, shown_id, model, digest, first, rx, is_overload: false };
    if resume.is_some() {
        return take_up(&mut core, accepted, tx);
    }
    if core.holds(&accepted.id) {
        let message = format!("request {} is running", accepted.id);
        return Err(Refused(409, Refusal::new("duplicate_request", message)));
    }
    let memory = segment.tokens + body.max_tokens();
    check_memory(&core, memory)?;
    let room = core.cache_capacity().saturating_sub(memory);
    core.cache.shrink(room);
    let cached_tokens = core.cache.lookup(&segment.blocks);
    core.stats.admitted += 1;
    core.batch.push(Job {
        id: accepted.id.clone(),
        fence,
        priority: priority(req),
        digest: segment.digest,
        prompt_tokens: segment.tokens + segment.imported,
        cached_tokens,
        prefill_left: segment.tokens.saturating_sub(cached_tokens),
        next: first,
        max_tokens: body.max_tokens(),
        memory,
        kv_retain: body.kv_retain,
        blocks: segment.blocks,
        tx: Some(tx),
    });
    accepted.is_overload = core.is_overloaded();
    core.stats.overloads += u64::from(accepted.is_overload);
    Ok(accepted)
}

/// Takes up a request again that runs or has finished.
fn take_up(
    core: &mut Core,
    accepted: Accepted,
    tx: flume::Sender<Emission>,
) -> Result<Accepted, Refused> {
    if let Some(job) = core.batch.get_mut(&accepted.id) {
        // The tokens are a function of the prompt: generate them again.
        job.next = accepted.first;
        job.tx = Some(tx);
    } else if let Some(usage) = core.finished.usage(&accepted.id) {
        core.batch.push(Job::replay(&accepted.id, accepted.first, usage, tx));
    } else {
        let message = format!("request {} is not known", accepted.id);
        return Err(Refused(404, Refusal::new("unknown_request", message)));
    }
    core.stats.resumed += 1;
    Ok(accepted)
}

/// The part of a prompt that this engine reads.
struct Segment {
    /// Digest of the prompt so far, over all segments.
    digest: Digest,
    tokens: Tokens,
    /// Tokens of the segments before, on other engines.
    imported: Tokens,
    blocks: Vec<u64>,
}

impl Segment {
    fn of(core: &Core, body: &CompletionBody, text: &str) -> Result<Self, Refused> {
        let tokens = count_tokens(text.len() as u64);
        let Some(handle) = &body.kv_handle else {
            let digest = Digest::EMPTY.extend(text.as_bytes());
            let blocks = cache::block_digests(text.as_bytes());
            return Ok(Self { digest, tokens, imported: 0, blocks });
        };
        let Some(state) = core.kv.imported.get(handle) else {
            let message = format!("no KV cache {handle} was imported");
            return Err(Refused(404, Refusal::new("unknown_handle", message)));
        };
        let digest = state.digest().extend(text.as_bytes());
        Ok(Self { digest, tokens, imported: state.tokens, blocks: Vec::new() })
    }
}

fn check_serving(core: &Core, body: &CompletionBody) -> Result<(), Refused> {
    if !core.running || core.draining {
        return Err(Refused(503, Refusal::new("stopping", "the engine takes no new requests")));
    }
    if !core.cfg.models.contains(&body.model) {
        let message = format!("model {} is not loaded", body.model);
        return Err(Refused(404, Refusal::new("unknown_model", message)));
    }
    Ok(())
}

fn check_memory(core: &Core, memory: Tokens) -> Result<(), Refused> {
    let whole = core.cfg.memory_tokens;
    if memory > whole {
        let message = format!("{memory} tokens exceed this engine's memory of {whole}");
        return Err(Refused(413, Refusal::new("too_long", message)));
    }
    let used = core.memory_used();
    if used + memory > whole {
        let message = format!("{memory} tokens do not fit: {used} of {whole} are in use");
        return Err(Refused(503, Refusal::new("out_of_memory", message)));
    }
    Ok(())
}

fn request_id(req: &Request, body: &CompletionBody) -> RequestId {
    let sent = http::header(req, http::REQUEST_ID_HEADER).map(str::to_string);
    sent.or_else(|| body.request_id.clone())
        .unwrap_or_else(|| format!("local-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed)))
}

fn resume_offset(req: &Request, body: &CompletionBody) -> Result<Option<Tokens>, Refused> {
    let Some(text) = http::header(req, "toucansill-resume-offset") else {
        return Ok(body.resume);
    };
    let message = format!("toucansill-resume-offset is no number: {text}");
    text.parse().map(Some).map_err(|_| Refused(400, Refusal::new("bad_header", message)))
}

fn priority(req: &Request) -> u8 {
    match http::header(req, "toucansill-priority") {
        Some("urgent") => URGENT_PRIORITY,
        sent => sent.and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_PRIORITY),
    }
}

/// Sends the answer token by token.
fn stream(req: Request, accepted: &Accepted, api: Api) -> io::Result<()> {
    let mut writer = EventWriter::start(req)?;
    let mut next = accepted.first;
    loop {
        let emission = match accepted.rx.recv_timeout(HEARTBEAT) {
            Ok(emission) => emission,
            Err(flume::RecvTimeoutError::Timeout) => {
                writer.comment("waiting")?;
                continue;
            }
            // The engine has crashed: the relay cuts the connection.
            Err(flume::RecvTimeoutError::Disconnected) => return Ok(()),
        };
        let event = match emission {
            Emission::Prefilled => {
                writer.comment("prefill")?;
                continue;
            }
            Emission::Token(offset) => {
                next = offset + 1;
                token_event(accepted, api, offset)
            }
            Emission::Finished(usage) => end_event(accepted, api, next, "length", Some(usage)),
            Emission::Cancelled => end_event(accepted, api, next, "cancelled", None),
        };
        writer.data(&event)?;
        if !matches!(emission, Emission::Token(_)) {
            return writer.data("[DONE]");
        }
    }
}

fn token_event(accepted: &Accepted, api: Api, offset: Tokens) -> String {
    let text = accepted.digest.token(offset);
    let choice = match api {
        Api::Chat => {
            Choice { delta: Some(Content { role: None, content: Some(text) }), ..Choice::default() }
        }
        Api::Plain => Choice { text: Some(text), ..Choice::default() },
    };
    chunk(accepted, api, offset, choice, None)
}

fn end_event(
    accepted: &Accepted,
    api: Api,
    offset: Tokens,
    reason: &'static str,
    usage: Option<Usage>,
) -> String {
    let mut choice = Choice { finish_reason: Some(reason), ..Choice::default() };
    match api {
        Api::Chat => choice.delta = Some(Content { role: None, content: None }),
        Api::Plain => choice.text = Some(String::new()),
    }
    chunk(accepted, api, offset, choice, usage)
}

fn chunk(
    accepted: &Accepted,
    api: Api,
    offset: Tokens,
    choice: Choice,
    usage: Option<Usage>,
) -> String {
    let object = match api {
        Api::Chat => "chat.completion.chunk",
        Api::Plain => "text_completion",
    };
    let chunk = Chunk {
        id: &accepted.shown_id,
        object,
        model: &accepted.model,
        offset,
        choices: [choice],
        usage,
    };
    serde_json::to_string(&chunk).unwrap_or_default()
}

/// Sends the answer as one JSON document.
fn answer(req: Request, accepted: &Accepted, api: Api) {
    let mut text = String::new();
    let mut end = None;
    for emission in &accepted.rx {
        match emission {
            Emission::Prefilled => {}
            Emission::Token(offset) => text.push_str(&accepted.digest.token(offset)),
            Emission::Finished(usage) => end = Some(("length", Some(usage))),
            Emission::Cancelled => end = Some(("cancelled", None)),
        }
    }
    // Without an end the engine has crashed, and the relay cuts the connection.
    let Some((reason, usage)) = end else {
        return;
    };
    let mut choice = Choice { finish_reason: Some(reason), ..Choice::default() };
    let object = match api {
        Api::Chat => {
            choice.message = Some(Content { role: Some("assistant"), content: Some(text) });
            "chat.completion"
        }
        Api::Plain => {
            choice.text = Some(text);
            "text_completion"
        }
    };
    let id = &accepted.shown_id;
    let model = &accepted.model;
    let offset = accepted.first;
    http::respond_json(req, 200, &Chunk { id, object, model, offset, choices: [choice], usage });
}
