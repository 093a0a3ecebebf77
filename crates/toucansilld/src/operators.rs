//! Operators' HTTP: status, sheets, voters, drain, back-up and metrics.

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

/// Longest wait for the control group.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for a change of voters or a back-up.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(120);

/// Services that operators' requests use.
pub(crate) struct OperatorContext {
    /// Session of this daemon.
    pub(crate) session: Arc<SessionService>,
    /// Control group.
    pub(crate) control: Arc<ControlClient>,
    /// The owner on this daemon.
    pub(crate) owner: Arc<Owner>,
    /// The entry on this daemon.
    pub(crate) entry: Arc<Entry>,
    /// The voter on this VM, if there is one.
    pub(crate) voter: Option<Arc<Voter>>,
    /// Time line of this daemon.
    pub(crate) recorder: Arc<Recorder>,
    /// Metrics.
    pub(crate) metrics: PrometheusHandle,
    /// Token that operators send.
    pub(crate) token: OperatorToken,
    /// Asks the daemon to stop as planned.
    pub(crate) drain: flume::Sender<()>,
}

/// Result of one operators' request.
type Result<T> = std::result::Result<T, ApiError>;

/// Query of a request by names.
type Query = BTreeMap<String, String>;

/// Handles requests at the operators' address.
pub(crate) struct Operators {
    cx: OperatorContext,
}

impl Operators {
    pub(crate) fn new(cx: OperatorContext) -> Self {
        Self { cx }
    }

    /// Handles one request.
    pub(crate) fn handle(&self, req: CallerRequest) {
        let is_open = matches!(req.path.as_str(), "/metrics" | "/healthz");
        let answered = match self.authorize(&req, is_open) {
            Ok(()) if req.path == "/metrics" => {
                let text = self.cx.metrics.render();
                req.reply.bytes(200, "text/plain; version=0.0.4", text, Verdict::Ran)
            }
            Ok(()) if req.path == "/backup" => self.back_up(req),
            Ok(()) => match self.answer(&req) {
                Ok(body) => req.reply.json(200, body, Verdict::Ran),
                Err(err) => req.reply.error(err),
            },
            Err(err) => req.reply.error(err),
        };
        if let Err(err) = answered {
            log::debug!("the operator is gone: {err}");
        }
    }

    fn authorize(&self, req: &CallerRequest, is_open: bool) -> Result<()> {
        if is_open { Ok(()) } else { self.cx.token.authorize(&req.headers) }
    }

    fn answer(&self, req: &CallerRequest) -> Result<String> {
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

    fn drain(&self) -> Result<String> {
        let _ = self.cx.drain.try_send(());
        Ok(String::from(r#"{"draining":true}"#))
    }

    fn back_up(&self, req: CallerRequest) -> edge::Result<()> {
        match voters::back_up(&self.cx) {
            Ok(body) => req.reply.bytes(200, "application/octet-stream", body, Verdict::Ran),
            Err(err) => req.reply.error(err),
        }
    }
}

/// Asks the control group.
fn ask(
    cx: &OperatorContext,
    req: &ControlRequest,
) -> Result<crate::control_messages::ControlReply> {
    let timeout = match req {
        ControlRequest::ChangeVoters(_) | ControlRequest::BackUp => CHANGE_TIMEOUT,
        _ => CONTROL_TIMEOUT,
    };
    cx.control.ask(req, timeout).map_err(|err| no_answer(&err))
}

fn no_answer(err: &ControlError) -> ApiError {
    if err.is_refusal() {
        return ApiError::refusal(409, "refused", err.to_string());
    }
    let verdict = if err.is_unknown() { Verdict::MayHaveRun } else { Verdict::NotRun };
    ApiError::new(503, "no_control_group", err.to_string(), verdict)
        .with_retry_after(Duration::from_secs(1))
}

fn unexpected(what: &impl std::fmt::Debug) -> ApiError {
    ApiError::new(500, "internal", format!("unexpected answer {what:?}"), Verdict::MayHaveRun)
}

fn to_json(value: &impl Serialize) -> Result<String> {
    serde_json::to_string(value)
        .map_err(|err| ApiError::new(500, "internal", err.to_string(), Verdict::Ran))
}

fn parse_query(query: &str) -> Query {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (String::from(name), String::from(value)))
        .collect()
}

fn number(query: &Query, name: &str) -> Result<u64> {
    let value = text(query, name)?;
    value.parse().map_err(|_| bad_query(name, "is not a whole number"))
}

fn text(query: &Query, name: &str) -> Result<String> {
    query.get(name).cloned().ok_or_else(|| bad_query(name, "is missing"))
}

fn bad_query(name: &str, reason: &str) -> ApiError {
    ApiError::refusal(400, "bad_query", format!("query parameter {name} {reason}"))
}
