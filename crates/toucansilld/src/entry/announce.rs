//! Upstreams' announcements, passed on to the owner.

use super::{Entry, is_post, unavailable};
use crate::{
    messages::{AnnounceReply, OwnerRequest, service},
    owner::group_of,
};
use edge::{ApiError, CallerRequest};
use std::time::Duration;
use upstream::Announcement;
use wire::Verdict;

/// Longest wait for the owner.
const OWNER_TIMEOUT: Duration = Duration::from_secs(2);
/// When an upstream may announce itself again.
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
    match pass_on(entry, announcement, &req.body) {
        Ok(AnnounceReply::Known) => req.reply.json(200, "{}", Verdict::Ran),
        Ok(AnnounceReply::Refused(reason)) => {
            req.reply.error(unavailable("not_taken", &reason).with_retry_after(RETRY_AFTER))
        }
        Err(reason) => {
            req.reply.error(unavailable("no_owner", &reason).with_retry_after(RETRY_AFTER))
        }
    }
}

fn pass_on(entry: &Entry, ann: Announcement, body: &[u8]) -> Result<AnnounceReply, String> {
    let roster = entry.cx.session.roster();
    let owner = control::owner(&group_of(&ann), &ann.data_centre, &roster)
        .ok_or_else(|| format!("no daemon runs in data centre {}", ann.data_centre))?;
    if owner == entry.cx.session.holder().daemon {
        return Ok(entry.cx.owner.announce(ann));
    }
    let address = entry
        .cx
        .session
        .address_of(&owner)
        .ok_or_else(|| format!("the owner {owner} has no address"))?;
    let req =
        wire::encode(&OwnerRequest::Announce(body.to_vec())).map_err(|err| err.to_string())?;
    let answer = entry
        .cx
        .net
        .ask(&address, service::OWNER, req, OWNER_TIMEOUT)
        .map_err(|err| format!("the owner {owner} did not answer: {err}"))?;
    control::decode(&answer).map_err(|err| err.to_string())
}
