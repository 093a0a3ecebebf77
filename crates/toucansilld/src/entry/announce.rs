//! Forwards upstreams' announcements to their owners.

use super::{Entry, is_post, unavailable};
use crate::{
    messages::{AliveAnnouncement, AnnouncementReply, OwnerRequest, message_service},
    owner::{announcement_hash, ownership_group_of},
};
use edge::{ApiError, CallerRequest};
use std::time::Duration;
use upstream::Announcement;
use wire::Verdict;

/// Maximum time to wait for the owner's reply.
const OWNER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between announcements of an engine.
const ENGINE_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between announcements of a plain service, which its owner does not poll for its load.
const SERVICE_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Retry delay suggested to an upstream after a refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles `POST /upstreams`.
pub(crate) fn handle(entry: &Entry, req: CallerRequest) -> edge::Result<()> {
    if !is_post(&req.method) {
        let message = format!("method must be POST, not {}", req.method);
        return req.response.error(ApiError::refusal(405, "method_not_allowed", message));
    }
    let announcement = match Announcement::parse(&req.body) {
        Ok(announcement) => announcement,
        Err(err) => {
            let e = ApiError::refusal(400, "invalid_announcement", err.message());
            return req.response.error(e);
        }
    };
    let interval = interval_json(&announcement);
    match forward(entry, announcement, &req.body) {
        Ok(AnnouncementReply::Known) => req.response.json(200, interval, Verdict::Ran),
        Ok(AnnouncementReply::Unknown) => {
            let reason = "the owner has just changed";
            req.response.error(unavailable("not_taken", reason).with_retry_after(RETRY_AFTER))
        }
        Ok(AnnouncementReply::Refused(reason)) => {
            req.response.error(unavailable("not_taken", &reason).with_retry_after(RETRY_AFTER))
        }
        Err(reason) => {
            req.response.error(unavailable("no_owner", &reason).with_retry_after(RETRY_AFTER))
        }
    }
}

/// Response body with the time until the next announcement. Owners poll the load of engines, which
/// therefore need fewer announcements.
fn interval_json(announcement: &Announcement) -> String {
    let interval = match announcement.service {
        Some(_) => SERVICE_ANNOUNCE_INTERVAL,
        None => ENGINE_ANNOUNCE_INTERVAL,
    };
    format!(r#"{{"announce_again_ms":{}}}"#, interval.as_millis())
}

/// Passes an announcement to the owner of the upstream's group. Another daemon first receives its
/// hash only, and the whole announcement if it does not hold that one yet.
fn forward(
    entry: &Entry,
    announcement: Announcement,
    body: &[u8],
) -> Result<AnnouncementReply, String> {
    let hash = announcement_hash(body);
    let roster = entry.cx.session.roster();
    let owner =
        control::owner_of(&ownership_group_of(&announcement), &announcement.data_centre, &roster)
            .ok_or_else(|| format!("no daemon runs in data centre {}", announcement.data_centre))?;
    if owner == entry.cx.session.instance().daemon {
        return Ok(entry.cx.owner.announce(announcement, hash));
    }
    let address = entry
        .cx
        .session
        .address_of(&owner)
        .ok_or_else(|| format!("the owner {owner} has no address"))?;
    let alive = AliveAnnouncement { upstream: announcement.id, hash };
    match request_owner(entry, &address, &OwnerRequest::Alive(alive))? {
        AnnouncementReply::Unknown => {
            request_owner(entry, &address, &OwnerRequest::Announce(body.to_vec()))
        }
        reply => Ok(reply),
    }
}

/// Sends a request to the owner with this link address.
fn request_owner(
    entry: &Entry,
    address: &str,
    req: &OwnerRequest,
) -> Result<AnnouncementReply, String> {
    let body = wire::encode(req).map_err(|err| err.to_string())?;
    let reply = entry
        .cx
        .net
        .request(address, message_service::OWNER, body, OWNER_TIMEOUT)
        .map_err(|err| format!("the owner at {address} did not answer: {err}"))?;
    control::decode(&reply).map_err(|err| err.to_string())
}
