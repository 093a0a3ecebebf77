//! Voters of the control group, and its back-up.

use super::{OperatorContext, Query, Result, ask, bad_query, number, text, to_json, unexpected};
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
    votes: bool,
    holds_log_to: u64,
}

#[derive(Serialize)]
struct Changed {
    index: u64,
}

/// The voters as the leader knows them.
pub(crate) fn list(cx: &OperatorContext) -> Result<String> {
    match ask(cx, &ControlRequest::Voters)? {
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
        other => Err(unexpected(&other)),
    }
}

/// Adds a voter, which catches up before it votes.
pub(crate) fn add(cx: &OperatorContext, query: &Query) -> Result<String> {
    let change = VoterChange::Add { id: number(query, "id")?, address: address(query)? };
    changed(cx, change)
}

/// Removes a voter.
pub(crate) fn remove(cx: &OperatorContext, query: &Query) -> Result<String> {
    changed(cx, VoterChange::Remove { id: number(query, "id")? })
}

/// Replaces a voter by a fresh one.
pub(crate) fn replace(cx: &OperatorContext, query: &Query) -> Result<String> {
    let (old, new) = (number(query, "old")?, number(query, "new")?);
    changed(cx, VoterChange::Replace { old, new, address: address(query)? })
}

/// The replicated state, in the format that `toucansill restore` reads.
pub(crate) fn back_up(cx: &OperatorContext) -> Result<Vec<u8>> {
    match ask(cx, &ControlRequest::BackUp)? {
        ControlReply::BackUp(body) => Ok(body),
        other => Err(unexpected(&other)),
    }
}

fn changed(cx: &OperatorContext, change: VoterChange) -> Result<String> {
    match ask(cx, &ControlRequest::ChangeVoters(change))? {
        ControlReply::VotersChanged(index) => to_json(&Changed { index }),
        other => Err(unexpected(&other)),
    }
}

fn address(query: &Query) -> Result<String> {
    let address = text(query, "address")?;
    match address.parse::<SocketAddr>() {
        Ok(_) => Ok(address),
        Err(_) => Err(bad_query("address", "is not an IP number with a port")),
    }
}
