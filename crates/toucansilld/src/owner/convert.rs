//! Converts upstreams' announcements to the input of placement decisions.

use route::{Ramp, UpstreamKind};
use std::time::Duration;
use upstream::Announcement;
use wire::{ModelId, Tokens};

/// Maximum number of requests in flight on one engine.
const MAX_ENGINE_REQUESTS: u32 = 256;
/// Maximum number of calls in flight on one instance of a plain service.
const MAX_SERVICE_CALLS: u32 = 64;

/// Model name under which calls to a plain service are placed. Its leading slash keeps it
/// distinct from names of models.
pub(crate) fn service_model(service: &str) -> ModelId {
    format!("/{service}")
}

/// Input of placement decisions for an announced upstream.
pub(crate) fn upstream_info(announcement: &Announcement) -> route::UpstreamInfo {
    let is_engine = announcement.kind == upstream::UpstreamKind::Engine;
    let models = match &announcement.service {
        Some(service) => vec![service_model(service)],
        None => announcement.models.clone(),
    };
    let memory_tokens = announcement.memory_tokens.unwrap_or_default();
    let max_running = if is_engine { MAX_ENGINE_REQUESTS } else { MAX_SERVICE_CALLS };
    route::UpstreamInfo {
        id: announcement.id.clone(),
        incarnation: announcement.incarnation,
        kind: if is_engine { UpstreamKind::Engine } else { UpstreamKind::Service },
        models,
        memory_tokens,
        max_running,
        prefill_tokens_per_second: whole_rate(announcement.prefill_tokens_per_s),
        decode_tokens_per_second: whole_rate(announcement.decode_tokens_per_s),
        ramp: ramp(announcement.ramp.as_ref(), max_running, memory_tokens),
        uptime: Duration::ZERO,
        is_draining: false,
        transfers_kv_cache: is_engine,
        honours_priority: is_engine,
    }
}

/// Whole tokens per second, or 0 if no rate was announced. An announced rate counts as at least
/// 1, so that it isn't taken for an unknown one.
fn whole_rate(tokens_per_s: Option<f64>) -> Tokens {
    tokens_per_s.map_or(0, |rate| (rate as Tokens).max(1))
}

/// The cold-start ramp: the initial share of the memory and of `running`, the maximum number of
/// requests in flight.
fn ramp(ramp: Option<&upstream::announce::Ramp>, running: u32, tokens: Tokens) -> Ramp {
    let Some(ramp) = ramp else { return Ramp::NONE };
    Ramp {
        initial_running: ((f64::from(running) * ramp.initial_share) as u32).max(1),
        initial_tokens: (tokens as f64 * ramp.initial_share) as Tokens,
        duration: Duration::from_millis(ramp.duration_ms),
    }
}
