//! Lists and changes the voters of the control group, and downloads a back-up of its state.

use super::{
    OperatorContext, Query, Result, bad_query, number_param, request_control, text_param, to_json,
    unexpected_reply,
};
use crate::control_messages::{ControlReply, ControlRequest, VoterChange};
use serde::Serialize;
use std::net::SocketAddr;

#[derive(Serialize)]
struct Voters {
    leader: u64,
    term: u64,
    commit: u64,
    members: Vec<Member>,
}

#[derive(Serialize)]
struct Member {
    id: u64,
    address: Option<String>,
    /// Whether the member votes; a learner does not.
    votes: bool,
    /// Last log index that the leader knows the member to hold.
    holds_log_to: u64,
}

#[derive(Serialize)]
struct VotersChanged {
    index: u64,
}

/// Voters and learners, as known to the leader.
pub(crate) fn list(cx: &OperatorContext) -> Result<String> {
    match request_control(cx, &ControlRequest::Voters)? {
        ControlReply::Voters(report) => {
            let members = report
                .members
                .into_iter()
                .map(|member| Member {
                    id: member.id,
                    address: member.address,
                    votes: member.is_voter,
                    holds_log_to: member.matched,
                })
                .collect();
            let (leader, term, commit) = (report.leader, report.term, report.commit);
            to_json(&Voters { leader, term, commit, members })
        }
        other => Err(unexpected_reply(&other)),
    }
}

/// Adds a voter, which catches up before it votes.
pub(crate) fn add(cx: &OperatorContext, query: &Query) -> Result<String> {
    let change = VoterChange::Add { id: number_param(query, "id")?, address: address(query)? };
    change_voters(cx, change)
}

/// Removes a voter.
pub(crate) fn remove(cx: &OperatorContext, query: &Query) -> Result<String> {
    change_voters(cx, VoterChange::Remove { id: number_param(query, "id")? })
}

/// Replaces a voter by a new one.
pub(crate) fn replace(cx: &OperatorContext, query: &Query) -> Result<String> {
    let (old, new) = (number_param(query, "old")?, number_param(query, "new")?);
    change_voters(cx, VoterChange::Replace { old, new, address: address(query)? })
}

/// The replicated state, in the format that `toucansill restore` reads.
pub(crate) fn back_up(cx: &OperatorContext) -> Result<Vec<u8>> {
    match request_control(cx, &ControlRequest::BackUp)? {
        ControlReply::BackUp(body) => Ok(body),
        other => Err(unexpected_reply(&other)),
    }
}

/// Applies one step of a membership change.
fn change_voters(cx: &OperatorContext, change: VoterChange) -> Result<String> {
    match request_control(cx, &ControlRequest::ChangeVoters(change))? {
        ControlReply::VotersChanged(index) => to_json(&VotersChanged { index }),
        other => Err(unexpected_reply(&other)),
    }
}

fn address(query: &Query) -> Result<String> {
    let address = text_param(query, "address")?;
    match address.parse::<SocketAddr>() {
        Ok(_) => Ok(address),
        Err(_) => Err(bad_query("address", "is not an IP number with a port")),
    }
}
