//! Upstreams' announcements, passed on to the owner.

use super::{Entry, is_post, unavailable};
use crate::{
    messages::{AliveAnnouncement, AnnouncementReply, OwnerRequest, service},
    owner::{announcement_hash, group_of},
};
use edge::{ApiError, CallerRequest};
use std::time::Duration;
use upstream::Announcement;
use wire::Verdict;

/// Longest wait for the owner.
const OWNER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two announcements of an engine.
const ENGINE_AGAIN: Duration = Duration::from_secs(2);
/// Time between two announcements of a plain service.
const SERVICE_AGAIN: Duration = Duration::from_secs(1);
/// When an upstream may announce itself again after a refusal.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles `POST /upstreams`.
pub(crate) fn handle(entry: &Entry, req: CallerRequest) -> edge::Result<()> {
    if !is_post(&req.method) {
        let message = format!("method must be POST, not {}", req.method);
        return req.reply.error(ApiError::refusal(405, "method_not_allowed", message));
    }
    let announcement = match Announcement::parse(&req.body) {
        Ok(announcement) => announcement,
        Err(err) => {
            let e = ApiError::refusal(400, "invalid_announcement", err.message());
            return req.reply.error(e);
        }
    };
    let again = again_json(&announcement);
    match pass_on(entry, announcement, &req.body) {
        Ok(AnnouncementReply::Known) => req.reply.json(200, again, Verdict::Ran),
        Ok(AnnouncementReply::Unknown) => {
            let reason = "the owner has just changed";
            req.reply.error(unavailable("not_taken", reason).with_retry_after(RETRY_AFTER))
        }
        Ok(AnnouncementReply::Refused(reason)) => {
            req.reply.error(unavailable("not_taken", &reason).with_retry_after(RETRY_AFTER))
        }
        Err(reason) => {
            req.reply.error(unavailable("no_owner", &reason).with_retry_after(RETRY_AFTER))
        }
    }
}

/// Engines are looked at by their owners and need fewer announcements.
fn again_json(announcement: &Announcement) -> String {
    let again = match announcement.service {
        Some(_) => SERVICE_AGAIN,
        None => ENGINE_AGAIN,
    };
    format!(r#"{{"announce_again_ms":{}}}"#, again.as_millis())
}

fn pass_on(entry: &Entry, ann: Announcement, body: &[u8]) -> Result<AnnouncementReply, String> {
    let hash = announcement_hash(body);
    let roster = entry.cx.session.roster();
    let owner = control::owner_of(&group_of(&ann), &ann.data_centre, &roster)
        .ok_or_else(|| format!("no daemon runs in data centre {}", ann.data_centre))?;
    if owner == entry.cx.session.holder().daemon {
        return Ok(entry.cx.owner.announce(ann, hash));
    }
    let address = entry
        .cx
        .session
        .address_of(&owner)
        .ok_or_else(|| format!("the owner {owner} has no address"))?;
    let alive = AliveAnnouncement { upstream: ann.id, hash };
    match ask(entry, &address, &OwnerRequest::Alive(alive))? {
        AnnouncementReply::Unknown => ask(entry, &address, &OwnerRequest::Announce(body.to_vec())),
        reply => Ok(reply),
    }
}

fn ask(entry: &Entry, address: &str, req: &OwnerRequest) -> Result<AnnouncementReply, String> {
    let body = wire::encode(req).map_err(|err| err.to_string())?;
    let answer = entry
        .cx
        .net
        .ask(address, service::OWNER, body, OWNER_TIMEOUT)
        .map_err(|err| format!("the owner at {address} did not answer: {err}"))?;
    control::decode(&answer).map_err(|err| err.to_string())
}
