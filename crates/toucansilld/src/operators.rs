//! Operators' HTTP API: status, sheets, voters, drain, back-up and metrics.
//!
//! All requests but those to `/metrics` and `/healthz` need the operators' token.

mod report;
mod sheets;
mod voters;

use crate::{
    control_client::{ControlClient, ControlError},
    control_messages::ControlRequest,
    entry::Entry,
    owner::Owner,
    session::SessionService,
    voter::Voter,
};
use edge::{ApiError, CallerRequest, OperatorToken};
use event::Recorder;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use wire::Verdict;

/// Maximum time to wait for the control group.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time to wait for a membership change or a back-up.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(120);

/// Components used by operators' requests.
pub(crate) struct OperatorContext {
    /// Session of this daemon.
    pub(crate) session: Arc<SessionService>,
    /// Client of the control group.
    pub(crate) control: Arc<ControlClient>,
    /// Owner of this daemon.
    pub(crate) owner: Arc<Owner>,
    /// Entry of this daemon.
    pub(crate) entry: Arc<Entry>,
    /// Voter on this VM, if there is one.
    pub(crate) voter: Option<Arc<Voter>>,
    /// Recorder of this daemon's events.
    pub(crate) recorder: Arc<Recorder>,
    /// Renders the metrics of this process.
    pub(crate) metrics: PrometheusHandle,
    /// Token that operators must send.
    pub(crate) token: OperatorToken,
    /// Receives a message when an operator requests a drain.
    pub(crate) drain: flume::Sender<()>,
}

/// Result of an operators' request.
type Result<T> = std::result::Result<T, ApiError>;

/// Query parameters of a request by name.
type Query = BTreeMap<String, String>;

/// Handles requests on the operators' listener.
pub(crate) struct Operators {
    cx: OperatorContext,
}

impl Operators {
    pub(crate) fn new(cx: OperatorContext) -> Self {
        Self { cx }
    }

    /// Handles one request.
    pub(crate) fn handle(&self, req: CallerRequest) {
        let is_public = matches!(req.path.as_str(), "/metrics" | "/healthz");
        let sent = match self.authorize(&req, is_public) {
            Ok(()) if req.path == "/metrics" => {
                let text = self.cx.metrics.render();
                req.response.bytes(200, "text/plain; version=0.0.4", text, Verdict::Ran)
            }
            Ok(()) if req.path == "/backup" => self.back_up(req),
            Ok(()) => match self.handle_json(&req) {
                Ok(body) => req.response.json(200, body, Verdict::Ran),
                Err(err) => req.response.error(err),
            },
            Err(err) => req.response.error(err),
        };
        if let Err(err) = sent {
            log::debug!("the operator has disconnected: {err}");
        }
    }

    fn authorize(&self, req: &CallerRequest, is_public: bool) -> Result<()> {
        if is_public { Ok(()) } else { self.cx.token.authenticate(&req.headers) }
    }

    /// Handles a request whose response is JSON.
    fn handle_json(&self, req: &CallerRequest) -> Result<String> {
        let query = parse_query(&req.query);
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/healthz") => Ok(String::from(r#"{"alive":true}"#)),
            ("GET", "/status") => report::status(&self.cx),
            ("POST", "/sheet/plan") => sheets::plan(&self.cx, &req.body),
            ("POST", "/sheet/apply") => sheets::apply(&self.cx, &query, &req.body),
            ("GET", "/timeline") => to_json(&self.cx.recorder.recent()),
            ("GET", "/in-force") => sheets::in_force(&self.cx, &query),
            ("GET", "/voters") => voters::list(&self.cx),
            ("POST", "/voters/add") => voters::add(&self.cx, &query),
            ("POST", "/voters/remove") => voters::remove(&self.cx, &query),
            ("POST", "/voters/replace") => voters::replace(&self.cx, &query),
            ("POST", "/drain") => self.drain(),
            (method, path) => {
                let reason = format!("no operators' request {method} {path}");
                Err(ApiError::refusal(404, "unknown_path", reason))
            }
        }
    }

    /// Requests a drain. A further request while one is pending has no effect.
    fn drain(&self) -> Result<String> {
        let _ = self.cx.drain.try_send(());
        Ok(String::from(r#"{"draining":true}"#))
    }

    fn back_up(&self, req: CallerRequest) -> edge::Result<()> {
        match voters::back_up(&self.cx) {
            Ok(body) => req.response.bytes(200, "application/octet-stream", body, Verdict::Ran),
            Err(err) => req.response.error(err),
        }
    }
}

/// Sends a request to the leader of the control group.
fn request_control(
    cx: &OperatorContext,
    req: &ControlRequest,
) -> Result<crate::control_messages::ControlReply> {
    let timeout = match req {
        ControlRequest::ChangeVoters(_) | ControlRequest::BackUp => CHANGE_TIMEOUT,
        _ => CONTROL_TIMEOUT,
    };
    cx.control.request(req, timeout).map_err(|err| control_error(&err))
}

/// Error of a request that the control group refused or did not serve.
fn control_error(err: &ControlError) -> ApiError {
    if err.is_refusal() {
        return ApiError::refusal(409, "refused", err.to_string());
    }
    let verdict = if err.is_unknown() { Verdict::MayHaveRun } else { Verdict::NotRun };
    ApiError::new(503, "no_control_group", err.to_string(), verdict)
        .with_retry_after(Duration::from_secs(1))
}

/// Error of a reply that does not fit its request.
fn unexpected_reply(reply: &impl std::fmt::Debug) -> ApiError {
    ApiError::new(500, "internal", format!("unexpected answer {reply:?}"), Verdict::MayHaveRun)
}

fn to_json(value: &impl Serialize) -> Result<String> {
    serde_json::to_string(value)
        .map_err(|err| ApiError::new(500, "internal", err.to_string(), Verdict::Ran))
}

/// Splits a query into its parameters, without decoding percent escapes.
fn parse_query(query: &str) -> Query {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (String::from(name), String::from(value)))
        .collect()
}

fn number_param(query: &Query, name: &str) -> Result<u64> {
    let value = text_param(query, name)?;
    value.parse().map_err(|_| bad_query(name, "is not a whole number"))
}

fn text_param(query: &Query, name: &str) -> Result<String> {
    query.get(name).cloned().ok_or_else(|| bad_query(name, "is missing"))
}

fn bad_query(name: &str, reason: &str) -> ApiError {
    ApiError::refusal(400, "bad_query", format!("query parameter {name} {reason}"))
}
