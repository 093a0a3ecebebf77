//! Requests to an engine's management API: inventory, KV caches and orders.
//!
//! They are rare and small, so they use `minreq` with a total timeout and
//! without connection reuse or a read timeout.

use crate::{
    client::{Client, Target},
    error::{Error, ErrorReason, Result},
    http::VERDICT_HEADER,
};
use serde::{Deserialize, Serialize};
use wire::{FencingToken, Incarnation, RequestId, Tokens, Verdict};

/// Total timeout of one request, in seconds.
const TIMEOUT_S: u64 = 3;
/// HTTP status with which an engine refuses an outdated fencing token.
const CONFLICT: u16 = 409;

/// A request or a KV cache that holds memory of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct MemoryHolder {
    /// Id of the request, or handle of the KV cache.
    pub id: RequestId,
    /// Memory that it holds, in tokens.
    #[serde(default)]
    pub memory_tokens: Tokens,
    /// Fencing token of the owner that sent it.
    #[serde(default)]
    pub fence: Option<FencingToken>,
}

/// What an engine holds, as it reports in the response to `GET /requests`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct EngineInventory {
    /// Number of the engine's present start; each restart raises it.
    pub incarnation: Incarnation,
    /// Running requests.
    #[serde(default)]
    pub requests: Vec<MemoryHolder>,
    /// KV caches that are kept until they are released.
    #[serde(default)]
    pub kv: Vec<MemoryHolder>,
}

/// An exported KV cache, to be imported by another engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct KvState {
    pub(crate) handle: RequestId,
    /// Further fields are passed on unchanged; only engines interpret them.
    #[serde(flatten)]
    rest: serde_json::Map<String, serde_json::Value>,
}

#[derive(Serialize)]
struct HandleBody<'a> {
    handle: &'a str,
}

impl Client {
    /// Fetches the requests and KV caches that an engine holds.
    ///
    /// # Errors
    ///
    /// When the engine can't be reached, responds with an error status, or sends an invalid
    /// response. An unreachable engine gives [`ErrorReason::Incomplete`], because `minreq`
    /// doesn't tell whether a connection was open.
    pub fn inventory(&self, target: &Target) -> Result<EngineInventory> {
        let url = format!("http://{}/requests", target.address);
        let response = check_response(minreq::get(url).with_timeout(TIMEOUT_S).send())?;
        serde_json::from_slice(response.as_bytes()).map_err(|e| invalid_response(&e))
    }

    /// Releases an exported or imported KV cache.
    ///
    /// # Errors
    ///
    /// When the engine can't be reached, which gives [`ErrorReason::Incomplete`] as for
    /// [`inventory`](Self::inventory), or responds with an error status. A cache that no
    /// longer exists is not an error.
    pub fn release_kv_cache(&self, target: &Target, handle: &str) -> Result<()> {
        release(&target.address, handle)
    }
}

/// See [`Client::release_kv_cache`].
pub(crate) fn release(address: &str, handle: &str) -> Result<()> {
    match post(address, "/kv/release", &HandleBody { handle }) {
        Err(e) if e.reason() != ErrorReason::ErrorStatus(404) => Err(e),
        _ => Ok(()),
    }
}

/// Exports the KV cache that a finished request has retained.
pub(crate) fn export(address: &str, handle: &str) -> Result<KvState> {
    let response = post(address, "/kv/export", &HandleBody { handle })?;
    serde_json::from_slice(response.as_bytes()).map_err(|e| invalid_response(&e))
}

/// Imports a KV cache that another engine has exported.
pub(crate) fn import(address: &str, state: &KvState) -> Result<()> {
    post(address, "/kv/import", state).map(|_| ())
}

/// Posts JSON, and returns the response if its status is 2xx.
pub(crate) fn post(address: &str, path: &str, body: &impl Serialize) -> Result<minreq::Response> {
    let body = serde_json::to_vec(body)
        .map_err(|e| Error::new(ErrorReason::Invalid, Verdict::NotRun, e.to_string()))?;
    let result = minreq::post(format!("http://{address}{path}"))
        .with_header("Content-Type", "application/json")
        .with_body(body)
        .with_timeout(TIMEOUT_S)
        .send();
    check_response(result)
}

fn check_response(
    result: std::result::Result<minreq::Response, minreq::Error>,
) -> Result<minreq::Response> {
    let response = result.map_err(|e| {
        // minreq doesn't tell whether the connection was already open.
        Error::new(ErrorReason::Incomplete, Verdict::MayHaveRun, e.to_string())
    })?;
    if (200..300).contains(&response.status_code) {
        return Ok(response);
    }
    // Only the verdict header proves that the request didn't run: minreq itself
    // reports status 503 when the connection ends before any response.
    let is_not_run = response.header(VERDICT_HEADER) == Some(Verdict::NotRun.as_str());
    let verdict = if is_not_run { Verdict::NotRun } else { Verdict::MayHaveRun };
    let text = response.as_str().unwrap_or_default();
    let message = format!("the engine refused with status {}: {text}", response.status_code);
    let reason = match response.status_code {
        CONFLICT => ErrorReason::Stale,
        status => ErrorReason::ErrorStatus(status),
    };
    Err(Error::new(reason, verdict, message))
}

fn invalid_response(e: &serde_json::Error) -> Error {
    Error::new(ErrorReason::InvalidResponse, Verdict::MayHaveRun, format!("no valid answer: {e}"))
}
