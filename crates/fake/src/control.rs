//! An engine's API for daemons: what runs, load, cache events, KV and orders.

use crate::{
    cache::CacheEvent,
    engine::Shared,
    http::{self, Refusal, Refused},
    kv::{KvState, Retained},
    orders,
    state::Core,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::sync::Arc;
use tiny_http::{Method, Request};
use wire::{
    FencingToken, Incarnation, RequestId, Tokens,
    border::upstream::{Order, OrderAction, OrderResult},
};

/// A body that names a KV cache.
#[derive(Deserialize)]
struct HandleBody {
    handle: RequestId,
}

/// Answer of `GET /requests`.
#[derive(Serialize)]
struct Running {
    incarnation: Incarnation,
    memory_tokens_used: Tokens,
    requests: Vec<Holding>,
    kv: Vec<Holding>,
}

/// A request or a KV cache that holds memory.
#[derive(Serialize)]
struct Holding {
    id: RequestId,
    memory_tokens: Tokens,
    fence: Option<FencingToken>,
}

/// Answer of `GET /cache-events`.
#[derive(Serialize)]
struct CacheEvents {
    incarnation: Incarnation,
    events: Vec<CacheEvent>,
}

/// Serves a request that is no completion.
pub(crate) fn handle(shared: &Arc<Shared>, req: Request, body: &[u8]) {
    let url = req.url().to_string();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    match (req.method(), path) {
        (Method::Get, "/requests") => http::respond_json(req, 200, &running(&shared.lock())),
        (Method::Get, "/load") => http::respond_json(req, 200, &shared.lock().load()),
        (Method::Get, "/cache-events") => cache_events(shared, req, query),
        (Method::Post, "/orders") => answer(req, order(shared, body)),
        (Method::Post, "/kv/export") => answer(req, export(shared, body)),
        (Method::Post, "/kv/import") => answer(req, import(shared, body)),
        (Method::Post, "/kv/release") => release(shared, req, body),
        (Method::Post, path) if path.starts_with("/cancel/") => {
            cancel(shared, req, &path["/cancel/".len()..]);
        }
        _ => Refusal::new("not_found", format!("no such path: {path}")).respond(req, 404),
    }
}

fn answer<T: Serialize>(req: Request, result: Result<T, Refused>) {
    match result {
        Ok(value) => http::respond_json(req, 200, &value),
        Err(Refused(status, refusal)) => refusal.respond(req, status),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refused> {
    serde_json::from_slice(body).map_err(|e| Refused(400, Refusal::new("bad_json", e.to_string())))
}

fn running(core: &Core) -> Running {
    let requests = core.batch.iter().map(|job| Holding {
        id: job.id.clone(),
        memory_tokens: job.memory,
        fence: job.fence,
    });
    let kv = core.kv.retained.values().map(|retained| Holding {
        id: retained.state.handle.clone(),
        memory_tokens: retained.memory,
        fence: retained.fence,
    });
    Running {
        incarnation: core.incarnation,
        memory_tokens_used: core.memory_used(),
        requests: requests.collect(),
        kv: kv.collect(),
    }
}

fn cache_events(shared: &Shared, req: Request, query: &str) {
    let since = query.split('&').find_map(|pair| pair.strip_prefix("since="));
    let Ok(since) = since.unwrap_or("0").parse() else {
        return Refusal::new("bad_query", "since is no number").respond(req, 400);
    };
    let core = shared.lock();
    let cfg = &core.cfg;
    let events = core.cache.events(since, cfg.cache_event_lag, cfg.cache_event_gap);
    let answer = CacheEvents { incarnation: core.incarnation, events };
    drop(core);
    http::respond_json(req, 200, &answer);
}

fn order(shared: &Shared, body: &[u8]) -> Result<OrderResult, Refused> {
    let order: Order = parse(body)?;
    let mut core = shared.lock();
    let checks = core.cfg.checks_fences;
    let done = core.orders.execute(order, checks)?;
    if let (OrderAction::LoadModel, Some(model)) = (done.action, done.target)
        && !core.cfg.models.contains(&model)
    {
        core.cfg.models.push(model);
    }
    Ok(OrderResult { accepted: true, reason: None })
}

fn export(shared: &Shared, body: &[u8]) -> Result<KvState, Refused> {
    let HandleBody { handle } = parse(body)?;
    let core = shared.lock();
    let retained: Option<&Retained> = core.kv.retained.get(&handle);
    retained.map(|retained| retained.state.clone()).ok_or_else(|| unknown(&handle))
}

fn import(shared: &Shared, body: &[u8]) -> Result<KvState, Refused> {
    let state: KvState = parse(body)?;
    let mut core = shared.lock();
    core.kv.imported.insert(state.handle.clone(), state.clone());
    Ok(state)
}

fn unknown(handle: &str) -> Refused {
    Refused(404, Refusal::new("unknown_handle", format!("no KV cache {handle}")))
}

fn release(shared: &Shared, req: Request, body: &[u8]) {
    let handle = match parse::<HandleBody>(body) {
        Ok(body) => body.handle,
        Err(Refused(status, refusal)) => return refusal.respond(req, status),
    };
    let released = shared.lock().kv.release(&handle);
    shared.wake();
    let status = if released { 200 } else { 404 };
    http::respond_json(req, status, &serde_json::json!({ "released": released }));
}

fn cancel(shared: &Shared, req: Request, id: &str) {
    let fence = match orders::fence_of(&req) {
        Ok(fence) => fence,
        Err(Refused(status, refusal)) => return refusal.respond(req, status),
    };
    if fence.is_some() {
        let mut core = shared.lock();
        let checks = core.cfg.checks_fences;
        if let Err(Refused(status, refusal)) = core.orders.check(fence, checks) {
            drop(core);
            return refusal.respond(req, status);
        }
    }
    let cancelled = shared.cancel(id);
    let status = if cancelled { 200 } else { 404 };
    http::respond_json(req, status, &serde_json::json!({ "cancelled": cancelled }));
}
