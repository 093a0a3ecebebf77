//! Management API of an engine for daemons: running requests, load reports, cache events, KV
//! caches and orders.

use crate::{
    cache::CacheEvent,
    engine::Shared,
    http::{self, HttpRefusal, Refusal},
    kv::{KvState, RetainedKv},
    orders,
    state::EngineState,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::sync::Arc;
use tiny_http::{Method, Request};
use wire::{
    FencingToken, Incarnation, RequestId, Tokens,
    border::upstream::{Order, OrderAction, OrderResult},
};

/// Body of a request that names a KV cache.
#[derive(Deserialize)]
struct HandleBody {
    handle: RequestId,
}

/// Response to `GET /requests`.
#[derive(Serialize)]
struct RunningRequests {
    incarnation: Incarnation,
    memory_tokens_used: Tokens,
    requests: Vec<MemoryHolder>,
    kv: Vec<MemoryHolder>,
}

/// A request or a KV cache that holds memory.
#[derive(Serialize)]
struct MemoryHolder {
    id: RequestId,
    memory_tokens: Tokens,
    fence: Option<FencingToken>,
}

/// Response to `GET /cache-events`.
#[derive(Serialize)]
struct CacheEvents {
    incarnation: Incarnation,
    events: Vec<CacheEvent>,
}

/// Serves any request that is not a completion.
pub(crate) fn handle(shared: &Arc<Shared>, req: Request, body: &[u8]) {
    let url = req.url().to_string();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    match (req.method(), path) {
        (Method::Get, "/requests") => http::respond_json(req, 200, &list_requests(&shared.lock())),
        (Method::Get, "/load") => http::respond_json(req, 200, &shared.lock().published_load()),
        (Method::Get, "/cache-events") => cache_events(shared, req, query),
        (Method::Post, "/orders") => respond_result(req, execute_order(shared, body)),
        (Method::Post, "/kv/export") => respond_result(req, export_kv(shared, body)),
        (Method::Post, "/kv/import") => respond_result(req, import_kv(shared, body)),
        (Method::Post, "/kv/release") => release_kv(shared, req, body),
        (Method::Post, path) if path.starts_with("/cancel/") => {
            cancel_request(shared, req, &path["/cancel/".len()..]);
        }
        _ => Refusal::new("not_found", format!("no such path: {path}")).respond(req, 404),
    }
}

/// Responds with the value, or with the refusal.
fn respond_result<T: Serialize>(req: Request, result: Result<T, HttpRefusal>) {
    match result {
        Ok(value) => http::respond_json(req, 200, &value),
        Err(HttpRefusal(status, refusal)) => refusal.respond(req, status),
    }
}

/// Parses a JSON body.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, HttpRefusal> {
    serde_json::from_slice(body)
        .map_err(|e| HttpRefusal(400, Refusal::new("bad_json", e.to_string())))
}

/// Everything that holds KV memory.
fn list_requests(state: &EngineState) -> RunningRequests {
    let requests = state.batch.iter().map(|job| MemoryHolder {
        id: job.id.clone(),
        memory_tokens: job.memory_tokens,
        fence: job.fence,
    });
    let kv = state.kv.retained.values().map(|retained| MemoryHolder {
        id: retained.state.handle.clone(),
        memory_tokens: retained.memory_tokens,
        fence: retained.fence,
    });
    RunningRequests {
        incarnation: state.incarnation,
        memory_tokens_used: state.memory_used(),
        requests: requests.collect(),
        kv: kv.collect(),
    }
}

/// Responds with the cache events after the number `since` in the query, or all of them.
fn cache_events(shared: &Shared, req: Request, query: &str) {
    let since = query.split('&').find_map(|pair| pair.strip_prefix("since="));
    let Ok(since) = since.unwrap_or("0").parse() else {
        return Refusal::new("bad_query", "since is not a number").respond(req, 400);
    };
    let state = shared.lock();
    let cfg = &state.cfg;
    let events = state.cache.events(since, cfg.cache_event_lag, cfg.cache_event_gap);
    let report = CacheEvents { incarnation: state.incarnation, events };
    drop(state);
    http::respond_json(req, 200, &report);
}

/// Executes an order. Only loading a model has an effect; other orders are just recorded.
fn execute_order(shared: &Shared, body: &[u8]) -> Result<OrderResult, HttpRefusal> {
    let order: Order = parse(body)?;
    let mut state = shared.lock();
    let is_enforced = state.cfg.checks_fences;
    let executed = state.orders.execute(order, is_enforced)?;
    if let (OrderAction::LoadModel, Some(model)) = (executed.action, executed.target)
        && !state.cfg.models.contains(&model)
    {
        state.cfg.models.push(model);
    }
    Ok(OrderResult { accepted: true, reason: None })
}

/// Exports a retained KV cache, which keeps its memory here until it is released.
fn export_kv(shared: &Shared, body: &[u8]) -> Result<KvState, HttpRefusal> {
    let HandleBody { handle } = parse(body)?;
    let state = shared.lock();
    let retained: Option<&RetainedKv> = state.kv.retained.get(&handle);
    retained.map(|retained| retained.state.clone()).ok_or_else(|| unknown_handle(&handle))
}

/// Imports a KV cache that a later completion request can continue.
fn import_kv(shared: &Shared, body: &[u8]) -> Result<KvState, HttpRefusal> {
    let kv: KvState = parse(body)?;
    let mut state = shared.lock();
    state.kv.imported.insert(kv.handle.clone(), kv.clone());
    Ok(kv)
}

/// Refusal of a handle that names no KV cache.
fn unknown_handle(handle: &str) -> HttpRefusal {
    HttpRefusal(404, Refusal::new("unknown_handle", format!("no KV cache {handle}")))
}

/// Releases a retained or imported KV cache.
fn release_kv(shared: &Shared, req: Request, body: &[u8]) {
    let handle = match parse::<HandleBody>(body) {
        Ok(body) => body.handle,
        Err(HttpRefusal(status, refusal)) => return refusal.respond(req, status),
    };
    let is_released = shared.lock().kv.release(&handle);
    shared.notify_all();
    let status = if is_released { 200 } else { 404 };
    http::respond_json(req, status, &serde_json::json!({ "released": is_released }));
}

/// Cancels a running request, unless its fencing token is outdated.
fn cancel_request(shared: &Shared, req: Request, id: &str) {
    let fence = match orders::fence_header(&req) {
        Ok(fence) => fence,
        Err(HttpRefusal(status, refusal)) => return refusal.respond(req, status),
    };
    if fence.is_some() {
        let mut state = shared.lock();
        let is_enforced = state.cfg.checks_fences;
        if let Err(HttpRefusal(status, refusal)) = state.orders.check_fence(fence, is_enforced) {
            drop(state);
            return refusal.respond(req, status);
        }
    }
    let is_cancelled = shared.cancel(id);
    let status = if is_cancelled { 200 } else { 404 };
    http::respond_json(req, status, &serde_json::json!({ "cancelled": is_cancelled }));
}
