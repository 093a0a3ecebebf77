//! Callers' requests and upstreams' announcements.

use edge::{ApiError, CallerRequest};
use kernel::SharedClock;
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read},
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};
use wire::{ModelId, ServiceId, UpstreamId, Verdict};

/// Time after the last announcement at which an upstream counts as gone.
const ANNOUNCEMENT_LIFE: Duration = Duration::from_secs(3);
/// Longest time for one request, in seconds.
const REQUEST_LIMIT_S: u64 = 600;

#[derive(Clone, Debug, Deserialize)]
struct Announced {
    id: UpstreamId,
    address: String,
    models: Option<Vec<ModelId>>,
    service: Option<ServiceId>,
}

#[derive(Deserialize)]
struct Completion {
    model: ModelId,
}

struct Entry {
    announced: Announced,
    seen: Instant,
    outstanding: u64,
}

/// Handles requests at the callers' address.
pub(crate) struct Callers {
    clock: SharedClock,
    upstreams: Mutex<BTreeMap<UpstreamId, Entry>>,
}

impl Callers {
    pub(crate) fn new(clock: SharedClock) -> Self {
        Self { clock, upstreams: Mutex::default() }
    }

    pub(crate) fn handle(&self, req: CallerRequest) {
        let result = match req.path.as_str() {
            "/upstreams" => self.announce(req),
            "/healthz" | "/readyz" => req.reply.json(200, r#"{"ok":true}"#, Verdict::Ran),
            "/v1/chat/completions" | "/v1/completions" => self.complete(req),
            _ => self.call(req),
        };
        if let Err(err) = result {
            log::debug!("the caller is gone: {err}");
        }
    }

    fn announce(&self, req: CallerRequest) -> edge::Result<()> {
        let announced: Announced = match serde_json::from_slice(&req.body) {
            Ok(announced) => announced,
            Err(err) => return req.reply.error(bad(&err.to_string())),
        };
        let seen = self.clock.now();
        let mut upstreams = self.lock();
        let outstanding = upstreams.get(&announced.id).map_or(0, |entry| entry.outstanding);
        upstreams.insert(announced.id.clone(), Entry { announced, seen, outstanding });
        drop(upstreams);
        req.reply.json(200, "{}", Verdict::Ran)
    }

    fn complete(&self, req: CallerRequest) -> edge::Result<()> {
        let completion: Completion = match serde_json::from_slice(&req.body) {
            Ok(completion) => completion,
            Err(err) => return req.reply.error(bad(&err.to_string())),
        };
        let serves = |upstream: &Announced| {
            upstream.models.iter().flatten().any(|model| *model == completion.model)
        };
        let Some(upstream) = self.take(serves) else {
            return req.reply.error(no_upstream(&completion.model));
        };
        let result = forward_stream(&upstream, req);
        self.give_back(&upstream.id);
        result
    }

    fn call(&self, req: CallerRequest) -> edge::Result<()> {
        let name = req.path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let name = String::from(name);
        let Some(upstream) = self.take(|upstream| upstream.service.as_ref() == Some(&name)) else {
            return req.reply.error(no_upstream(&name));
        };
        let result = forward_call(&upstream, req);
        self.give_back(&upstream.id);
        result
    }

    /// The upstream with the fewest outstanding requests among those that serve.
    fn take(&self, serves: impl Fn(&Announced) -> bool) -> Option<Announced> {
        let now = self.clock.now();
        let mut upstreams = self.lock();
        let entry = upstreams
            .values_mut()
            .filter(|entry| now.duration_since(entry.seen) < ANNOUNCEMENT_LIFE)
            .filter(|entry| serves(&entry.announced))
            .min_by_key(|entry| entry.outstanding)?;
        entry.outstanding += 1;
        Some(entry.announced.clone())
    }

    fn give_back(&self, id: &UpstreamId) {
        if let Some(entry) = self.lock().get_mut(id) {
            entry.outstanding = entry.outstanding.saturating_sub(1);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<UpstreamId, Entry>> {
        self.upstreams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn forward_stream(upstream: &Announced, req: CallerRequest) -> edge::Result<()> {
    let url = format!("http://{}{}", upstream.address, req.path);
    let sent = minreq::post(url)
        .with_header("Content-Type", "application/json")
        .with_body(req.body)
        .with_timeout(REQUEST_LIMIT_S)
        .send_lazy();
    let res = match sent {
        Ok(res) => res,
        Err(err) => return req.reply.error(unreachable_upstream(&err)),
    };
    let status = res.status_code;
    let streamed = res.headers.iter().any(|(_, value)| value.contains("event-stream"));
    if !streamed {
        let mut body = Vec::new();
        let _ = BufReader::new(res).read_to_end(&mut body);
        return req.reply.json(status, body, Verdict::Ran);
    }
    let events = req.reply.stream()?;
    let lines = BufReader::new(res).lines().map_while(std::result::Result::ok);
    for line in lines {
        if let Some(data) = line.strip_prefix("data: ") {
            events.send(data)?;
        }
    }
    events.finish()
}

fn forward_call(upstream: &Announced, req: CallerRequest) -> edge::Result<()> {
    let method = minreq::Method::Custom(req.method.to_string());
    let sent = minreq::Request::new(method, format!("http://{}{}", upstream.address, req.path))
        .with_body(req.body)
        .with_timeout(REQUEST_LIMIT_S)
        .send();
    match sent {
        Ok(res) => {
            let status = res.status_code;
            req.reply.bytes(status, "application/json", res.into_bytes(), Verdict::Ran)
        }
        Err(err) => req.reply.error(unreachable_upstream(&err)),
    }
}

fn bad(reason: &str) -> ApiError {
    ApiError::new(400, "bad_request", reason, Verdict::NotRun)
}

fn no_upstream(name: &str) -> ApiError {
    ApiError::new(503, "no_upstream", format!("no upstream serves '{name}'"), Verdict::NotRun)
        .with_retry_after(ANNOUNCEMENT_LIFE)
}

fn unreachable_upstream(err: &minreq::Error) -> ApiError {
    ApiError::new(502, "upstream_failed", err.to_string(), Verdict::MayHaveRun)
}
