//! Short requests to an engine's management API, by `minreq`.
//!
//! They are rare and small, so neither connection reuse nor a timeout for
//! silence is needed: a total timeout is right for them.

use crate::{
    client::{Client, Target},
    error::{Error, ErrorReason, Result},
    http::VERDICT_HEADER,
};
use serde::{Deserialize, Serialize};
use wire::{Fence, Incarnation, RequestId, Tokens, Verdict};

/// Longest time for one request, in seconds.
const TIMEOUT_S: u64 = 3;
/// Status of a refusal of an old fencing number.
const CONFLICT: u16 = 409;

/// A request or a KV cache that holds memory of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct MemoryHolder {
    /// Its id.
    pub id: RequestId,
    /// Memory that it holds.
    #[serde(default)]
    pub memory_tokens: Tokens,
    /// Fencing number of the owner that sent it.
    #[serde(default)]
    pub fence: Option<Fence>,
}

/// What an engine reports as running: the answer of `GET /requests`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct EngineInventory {
    /// Number of the engine's present start.
    pub incarnation: Incarnation,
    /// Running requests.
    #[serde(default)]
    pub requests: Vec<MemoryHolder>,
    /// KV caches that wait to be released.
    #[serde(default)]
    pub kv: Vec<MemoryHolder>,
}

/// A KV cache on its way from one engine to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct KvState {
    pub(crate) handle: RequestId,
    /// Everything else is the engines' business.
    #[serde(flatten)]
    rest: serde_json::Map<String, serde_json::Value>,
}

#[derive(Serialize)]
struct HandleBody<'a> {
    handle: &'a str,
}

impl Client {
    /// Asks an engine what it runs.
    ///
    /// # Errors
    ///
    /// When the engine can't be reached or answers with something else.
    pub fn inventory(&self, target: &Target) -> Result<EngineInventory> {
        let url = format!("http://{}/requests", target.address);
        let reply = checked(minreq::get(url).with_timeout(TIMEOUT_S).send())?;
        serde_json::from_slice(reply.as_bytes()).map_err(|e| bad_answer(&e))
    }

    /// Releases an exported or imported KV cache.
    ///
    /// # Errors
    ///
    /// When the engine can't be reached. A cache that is gone already is no error.
    pub fn release_kv_cache(&self, target: &Target, handle: &str) -> Result<()> {
        release(&target.address, handle)
    }
}

/// See [`Client::release_kv_cache`].
pub(crate) fn release(address: &str, handle: &str) -> Result<()> {
    match post(address, "/kv/release", &HandleBody { handle }) {
        Err(e) if e.reason() != ErrorReason::Refused(404) => Err(e),
        _ => Ok(()),
    }
}

/// Exports the KV cache that a request has left behind.
pub(crate) fn export(address: &str, handle: &str) -> Result<KvState> {
    let reply = post(address, "/kv/export", &HandleBody { handle })?;
    serde_json::from_slice(reply.as_bytes()).map_err(|e| bad_answer(&e))
}

/// Imports another engine's KV cache.
pub(crate) fn import(address: &str, state: &KvState) -> Result<()> {
    post(address, "/kv/import", state).map(|_| ())
}

/// Posts JSON, and gives the answer if its status says that it was taken.
pub(crate) fn post(address: &str, path: &str, body: &impl Serialize) -> Result<minreq::Response> {
    let body = serde_json::to_vec(body)
        .map_err(|e| Error::new(ErrorReason::Invalid, Verdict::NotRun, e.to_string()))?;
    let sent = minreq::post(format!("http://{address}{path}"))
        .with_header("Content-Type", "application/json")
        .with_body(body)
        .with_timeout(TIMEOUT_S)
        .send();
    checked(sent)
}

fn checked(sent: std::result::Result<minreq::Response, minreq::Error>) -> Result<minreq::Response> {
    let reply = sent.map_err(|e| {
        // minreq does not say whether the connection was open by then.
        Error::new(ErrorReason::Incomplete, Verdict::MayHaveRun, e.to_string())
    })?;
    if (200..300).contains(&reply.status_code) {
        return Ok(reply);
    }
    // Without the engine's word it may have run: minreq makes up a status 503
    // when the connection ends before any answer.
    let says_not_run = reply.header(VERDICT_HEADER) == Some(Verdict::NotRun.as_str());
    let verdict = if says_not_run { Verdict::NotRun } else { Verdict::MayHaveRun };
    let text = reply.as_str().unwrap_or_default();
    let message = format!("the engine refused with status {}: {text}", reply.status_code);
    let reason = match reply.status_code {
        CONFLICT => ErrorReason::Stale,
        status => ErrorReason::Refused(status),
    };
    Err(Error::new(reason, verdict, message))
}

fn bad_answer(e: &serde_json::Error) -> Error {
    Error::new(ErrorReason::InvalidResponse, Verdict::MayHaveRun, format!("no valid answer: {e}"))
}
