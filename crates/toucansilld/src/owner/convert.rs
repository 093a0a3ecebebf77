//! Announcements as the placement decisions need them.

use route::{Ramp, UpstreamKind};
use std::time::Duration;
use upstream::Announcement;
use wire::{ModelId, Tokens};

/// Requests that an engine may run at once.
const ENGINE_RUNNING_MAX: u32 = 256;
/// Calls that a plain service may run at once.
const SERVICE_RUNNING_MAX: u32 = 64;

/// Name under which a plain service is placed. Models have no slash in front.
pub(crate) fn service_model(service: &str) -> ModelId {
    format!("/{service}")
}

/// An announcement as placement sees it.
pub(crate) fn announcement(ann: &Announcement) -> route::UpstreamInfo {
    let is_engine = ann.kind == upstream::UpstreamKind::Engine;
    let models = match &ann.service {
        Some(service) => vec![service_model(service)],
        None => ann.models.clone(),
    };
    let memory_tokens = ann.memory_tokens.unwrap_or_default();
    let max_running = if is_engine { ENGINE_RUNNING_MAX } else { SERVICE_RUNNING_MAX };
    route::UpstreamInfo {
        id: ann.id.clone(),
        incarnation: ann.incarnation,
        kind: if is_engine { UpstreamKind::Engine } else { UpstreamKind::Service },
        models,
        memory_tokens,
        max_running,
        prefill_tokens_per_second: rate(ann.prefill_tokens_per_s),
        decode_tokens_per_second: rate(ann.decode_tokens_per_s),
        ramp: ramp(ann.ramp.as_ref(), max_running, memory_tokens),
        uptime: Duration::ZERO,
        is_leaving: false,
        transfers_kv_cache: is_engine,
        honours_priority: is_engine,
    }
}

/// Whole tokens a second, at least one where a rate is stated.
fn rate(tokens_per_s: Option<f64>) -> Tokens {
    tokens_per_s.map_or(0, |rate| (rate as Tokens).max(1))
}

fn ramp(ramp: Option<&upstream::announce::Ramp>, running: u32, tokens: Tokens) -> Ramp {
    let Some(ramp) = ramp else { return Ramp::NONE };
    Ramp {
        initial_running: ((f64::from(running) * ramp.initial_share) as u32).max(1),
        initial_tokens: (tokens as f64 * ramp.initial_share) as Tokens,
        duration: Duration::from_millis(ramp.duration_ms),
    }
}
