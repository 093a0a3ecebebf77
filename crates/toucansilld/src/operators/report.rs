//! `GET /status`: the state of this daemon, its view of the roster, and its upstreams with the
//! reasons why they receive no requests.

use super::{OperatorContext, Result, to_json};
use crate::owner::UpstreamStatus;
use serde::Serialize;
use std::collections::BTreeMap;

/// State of one daemon, as shown by `toucansill status`.
#[derive(Debug, Serialize)]
struct Status {
    daemon: String,
    incarnation: u64,
    /// Whether the load balancer should send new requests here: valid lease, no drain.
    takes_work: bool,
    /// Why the session allows no new requests, if so.
    refusal: Option<String>,
    draining: bool,
    /// Number of the sheet that this daemon has applied, 0 without one.
    sheet: u64,
    /// Log index that this daemon's view has reached.
    index: u64,
    members: Vec<MemberStatus>,
    /// Whether each data centre is in service.
    data_centres: BTreeMap<String, bool>,
    upstreams: Vec<UpstreamStatus>,
    /// Number of requests at this entry without a complete response.
    in_flight: usize,
    /// Number of requests waiting for admission at this entry.
    waiting_admission: usize,
    /// Number of requests queued or in flight at this owner.
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
    /// Why the voter has stopped, if so.
    fault: Option<String>,
    /// Whether the voter has lost its disk and must be replaced under a new id.
    lost_disk: bool,
    /// Voters that the leader found without log entries that they had acknowledged.
    lost_logs: Vec<u64>,
}

/// Status of this daemon as JSON.
pub(crate) fn status(cx: &OperatorContext) -> Result<String> {
    let instance = cx.session.instance();
    let refusal = cx.session.may_accept_requests().err().map(|refusal| refusal.to_string());
    let position = cx.session.view_position();
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
        daemon: instance.daemon,
        incarnation: instance.incarnation,
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
