//! `GET /status`: what is in force, who is a member, and why upstreams get no work.

use super::{OperatorContext, Result, to_json};
use crate::owner::UpstreamStatus;
use serde::Serialize;
use std::collections::BTreeMap;

/// State of one daemon, as `toucansill status` shows it.
#[derive(Debug, Serialize)]
struct Status {
    daemon: String,
    incarnation: u64,
    /// Whether new work is taken; the reason if not.
    takes_work: bool,
    refusal: Option<String>,
    draining: bool,
    /// Number of the sheet in force here.
    sheet: u64,
    /// Log index that the view has reached.
    index: u64,
    members: Vec<MemberStatus>,
    data_centres: BTreeMap<String, bool>,
    upstreams: Vec<UpstreamStatus>,
    /// Requests at this entry that have not been answered yet.
    in_flight: usize,
    /// Requests that wait for admission at this entry.
    waiting_admission: usize,
    /// Requests that wait or run at this owner.
    owner_load: usize,
    voter: Option<VoterStatus>,
}

#[derive(Debug, Serialize)]
struct MemberStatus {
    daemon: String,
    data_centre: String,
    address: String,
    incarnation: u64,
}

#[derive(Debug, Serialize)]
struct VoterStatus {
    id: u64,
    role: String,
    term: u64,
    leader: Option<u64>,
    commit: u64,
    applied: u64,
    fault: Option<String>,
    /// Whether the disk was lost; the voter must come back under a new id.
    lost_disk: bool,
    /// Voters that the leader found without a log that they had held.
    lost_logs: Vec<u64>,
}

/// The status of this daemon as JSON.
pub(crate) fn status(cx: &OperatorContext) -> Result<String> {
    let holder = cx.session.holder();
    let refusal = cx.session.may_take_work().err().map(|refusal| refusal.to_string());
    let position = cx.session.position();
    let cfg = cx.session.configuration();
    let roster = cx.session.roster();
    let members = roster
        .members()
        .map(|(daemon, member)| MemberStatus {
            daemon: daemon.clone(),
            data_centre: member.data_centre.clone(),
            address: member.address.clone(),
            incarnation: member.incarnation,
        })
        .collect();
    to_json(&Status {
        daemon: holder.daemon,
        incarnation: holder.incarnation,
        takes_work: refusal.is_none() && !cx.entry.is_draining(),
        refusal,
        draining: cx.entry.is_draining(),
        sheet: position.sheet,
        index: position.index,
        members,
        data_centres: cfg.data_centres.iter().map(|(id, dc)| (id.clone(), dc.in_service)).collect(),
        upstreams: cx.owner.upstreams(),
        in_flight: cx.entry.in_flight(),
        waiting_admission: cx.entry.waiting_count(),
        owner_load: cx.owner.request_count(),
        voter: cx.voter.as_ref().map(|voter| voter_status(&voter.status())),
    })
}

fn voter_status(status: &group::Status) -> VoterStatus {
    VoterStatus {
        id: status.id,
        role: format!("{:?}", status.role).to_lowercase(),
        term: status.term,
        leader: status.leader,
        commit: status.commit,
        applied: status.applied,
        fault: status.failure.clone(),
        lost_disk: status.lost_disk,
        lost_logs: status.lost_logs.iter().copied().collect(),
    }
}
