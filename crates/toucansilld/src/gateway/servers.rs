//! Servers of a gateway daemon: for callers, other entries, readiness checks, control requests and
//! metrics.

use super::{
    compress::DOCUMENT_BYTES_MAX,
    control::{ControlMember, status_of},
    entry::CallerHandler,
    messages::ControlHttpRequest,
    relay_server::RelayHandler,
    settings::{ControlSettings, EntrySettings, GatewaySettings},
    unanswered::{RefusedCall, RefusedLine},
    view::View,
};
use crate::error::{Error, Result};
use http::{Request, Response, StatusCode, request::Parts};
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use proxy::{Body, ConnectionCount, Server, ServerConfig, empty, full, read_request_body, serve};
use routing::HttpLimits;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{sync::watch, time::sleep};

/// Maximum number of connections to the control address. Each upstream keeps one to a member, and with
/// fewer they would make new ones all the time. A member with a disk has no callers that need any.
const MAX_CONTROL_CONNECTIONS: usize = 3_000;
/// Maximum number of connections to each of the readiness and metrics addresses.
const MAX_INTERNAL_CONNECTIONS: usize = 512;
/// Maximum number of messages that are relayed at a time. Each uses two connections.
const MAX_RELAY_CONNECTIONS: usize = 256;
/// Timeout for the body of an HTTP control request.
const CONTROL_BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the samples of histograms are aggregated. Without it they would pile up in
/// memory.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// What happened to calls that are logged together.
const UNANSWERED: &str = "not answered";
const UNREAD: &str = "not read";
pub(super) const INVALID: &str = "refused";

/// Server for callers.
pub(super) struct CallerServer {
    pub(super) connections: ConnectionCount,
    /// Task that accepts connections. Aborting it closes the listening socket.
    pub(super) listener: tokio::task::JoinHandle<()>,
}

/// Starts the server for callers.
pub(super) fn serve_entry(
    cfg: &EntrySettings,
    entry: Arc<CallerHandler>,
    is_stopping: watch::Receiver<bool>,
) -> Result<CallerServer> {
    let limits = HttpLimits::default();
    let server_cfg = ServerConfig {
        max_head_bytes: usize::try_from(limits.head_bytes).unwrap_or(usize::MAX),
        idle_timeout: limits.idle_timeout,
        max_connections: cfg.max_connections,
    };
    let server = bind("entry.callers", cfg.callers, server_cfg)?;
    let connections = server.connection_count();
    let listener =
        tokio::spawn(serve(server, is_stopping, move |req| Arc::clone(&entry).handle(req)));
    Ok(CallerServer { connections, listener })
}

/// Starts the server for messages that other entries want to be sent on. Returns the number of its
/// connections.
pub(super) fn serve_relay(
    address: SocketAddr,
    relay: RelayHandler,
    is_stopping: watch::Receiver<bool>,
) -> Result<ConnectionCount> {
    let limits = HttpLimits::default();
    let server_cfg = ServerConfig {
        // What a caller may send, and what its entry adds.
        max_head_bytes: usize::try_from(limits.head_bytes).unwrap_or(usize::MAX) * 2,
        idle_timeout: limits.idle_timeout,
        max_connections: MAX_RELAY_CONNECTIONS,
    };
    let server = bind("entry.relay", address, server_cfg)?;
    let connections = server.connection_count();
    let relay = Arc::new(relay);
    tokio::spawn(serve(server, is_stopping, move |req| Arc::clone(&relay).handle(req)));
    Ok(connections)
}

/// Starts the server for readiness checks. The daemon is ready once it knows routing, until the
/// stop signal.
pub(super) fn serve_readiness(
    cfg: &EntrySettings,
    view: Arc<View>,
    is_stopping: watch::Receiver<bool>,
) -> Result<()> {
    let server = bind("entry.readiness", cfg.readiness, internal_config())?;
    let stopping = is_stopping.clone();
    let handler = move |req: Request<Incoming>| {
        let is_ready = !*stopping.borrow() && view.table().is_some();
        let status = match (req.uri().path(), is_ready) {
            (platform::control::READY_PATH, true) => StatusCode::OK,
            (platform::control::READY_PATH, false) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        async move { with_status(status) }
    };
    // Keeps serving while the daemon drains, to report that it is not ready: this channel never
    // turns true.
    let (never_tx, never) = watch::channel(false);
    tokio::spawn(async move {
        serve(server, never, handler).await;
        drop(never_tx);
    });
    drop(is_stopping);
    Ok(())
}

/// Starts the server for HTTP control requests.
pub(super) fn serve_control(
    cfg: &ControlSettings,
    control: Arc<ControlMember>,
    is_stopping: watch::Receiver<bool>,
) -> Result<()> {
    let server_cfg = ServerConfig { max_connections: MAX_CONTROL_CONNECTIONS, ..internal_config() };
    let server = bind("control.listen", cfg.listen, server_cfg)?;
    let handler = move |req: Request<Incoming>| handle_control_request(Arc::clone(&control), req);
    tokio::spawn(serve(server, is_stopping, handler));
    Ok(())
}

/// Reads and handles one HTTP control request.
async fn handle_control_request(
    control: Arc<ControlMember>,
    req: Request<Incoming>,
) -> Response<Body> {
    let (parts, body) = req.into_parts();
    let body = match read_request_body(body, DOCUMENT_BYTES_MAX, CONTROL_BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(status) => {
            let call = refused_call(&parts, status);
            let reason = status.canonical_reason().unwrap_or("no reason");
            let line = control.unread.add(control.now(), reason, call);
            line.iter().for_each(|line| log_refused(&control, UNREAD, line));
            return with_status(status);
        }
    };
    let request = ControlHttpRequest {
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        body: body.to_vec(),
    };
    let control_response = control.handle_control(request).await;
    let status = status_of(&control_response);
    if status.is_server_error() {
        let reason = control_response.reason();
        let call = refused_call(&parts, status);
        let line = control.unanswered.add(control.now(), &reason, call);
        line.iter().for_each(|line| log_refused(&control, UNANSWERED, line));
    }
    let mut response = Response::new(full(control_response.body));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}

fn refused_call(parts: &Parts, status: StatusCode) -> RefusedCall {
    RefusedCall {
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        status: status.as_u16(),
    }
}

/// Logs how many calls were refused since the last lines that say so, where a line is due.
pub(super) fn log_refused_calls(control: &ControlMember) {
    let now = control.now();
    let kinds =
        [(UNANSWERED, &control.unanswered), (UNREAD, &control.unread), (INVALID, &control.invalid)];
    for (what, calls) in kinds {
        calls.take_due(now).iter().for_each(|line| log_refused(control, what, line));
    }
}

/// Logs calls that were refused. `what` says how. If they were not answered as no leader is known, the line says
/// which votes are missing.
pub(super) fn log_refused(control: &ControlMember, what: &str, line: &RefusedLine) {
    let RefusedCall { method, path, status } = &line.last;
    let votes = control.missing_votes().filter(|_| what == UNANSWERED);
    let votes = votes.map(|votes| format!(" ({votes})")).unwrap_or_default();
    log::warn!(
        method = method.as_str(), path = path.as_str(), status = *status,
        count = line.repeated.count, since_ms = line.repeated.since_first.as_millis() as u64;
        "{}{votes}", line.text(what)
    );
}

/// Starts the server for metrics, and their periodic aggregation.
pub(super) fn serve_metrics(
    settings: &GatewaySettings,
    metrics: PrometheusHandle,
    is_stopping: watch::Receiver<bool>,
) -> Result<()> {
    let server = bind("metrics", settings.metrics, internal_config())?;
    let upkeep = metrics.clone();
    tokio::spawn(async move {
        loop {
            sleep(METRICS_UPKEEP_INTERVAL).await;
            upkeep.run_upkeep();
        }
    });
    let handler = move |req: Request<Incoming>| {
        let text = (req.uri().path() == "/metrics").then(|| metrics.render());
        async move {
            match text {
                Some(text) => Response::new(full(text)),
                None => with_status(StatusCode::NOT_FOUND),
            }
        }
    };
    tokio::spawn(serve(server, is_stopping, handler));
    Ok(())
}

/// Listens on an address. The error names the setting that it comes from.
fn bind(setting: &str, address: SocketAddr, cfg: ServerConfig) -> Result<Server> {
    Server::bind(address, cfg).map_err(|err| Error::start(setting, format!("{address}: {err}")))
}

/// Bounds of the servers that are not for callers.
fn internal_config() -> ServerConfig {
    let limits = HttpLimits::default();
    ServerConfig {
        max_head_bytes: usize::try_from(limits.head_bytes).unwrap_or(usize::MAX),
        idle_timeout: limits.idle_timeout,
        max_connections: MAX_INTERNAL_CONNECTIONS,
    }
}

/// Response with a status and no body.
fn with_status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}
