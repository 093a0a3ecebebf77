//! Texts of the lines in which a member of the control group logs what it knows of the group.
//!
//! Collectors may cut lines, and fields come after the text. So the text itself says what decides,
//! in few characters: a member is named by the last four digits of its id and the last two numbers
//! of its address.

use super::members::TICK;
use group::{Membership, MembershipChange, NodeId, Role, Status, joining::Presence};
use std::{
    collections::BTreeMap,
    fmt,
    net::{IpAddr, SocketAddr},
};
use wire::LinkFailureKind;

/// What a member knows of its way to another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contact {
    /// Its address is unknown.
    Unknown,
    /// The last attempt to connect failed.
    Unreachable(LinkFailureKind),
    /// There is a connection, or no attempt has failed yet.
    Linked,
}

/// Why a member's vote is missing.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Missing {
    NoAddress,
    /// Its disk is lost.
    LostDisk,
    Unreachable(LinkFailureKind),
    /// It is reached and hasn't answered.
    NoAnswer,
    /// It has refused its vote, as its own log is newer.
    NewerLog,
    /// It has refused its vote, as its log is newer or it takes a leader for live.
    Against,
}

impl fmt::Display for Missing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoAddress => "no address",
            Self::LostDisk => "lost disk",
            Self::Unreachable(LinkFailureKind::Refused) => "refused",
            Self::Unreachable(LinkFailureKind::Timeout) => "timeout",
            Self::Unreachable(LinkFailureKind::NoHandshake) => "no handshake",
            Self::Unreachable(LinkFailureKind::Other) => "unreachable",
            Self::NoAnswer => "no answer",
            Self::NewerLog => "newer log",
            Self::Against => "against",
        })
    }
}

/// Why there is no connection to a member, if none can be made.
pub(super) fn contact_failure(contact: Contact) -> Option<String> {
    match contact {
        Contact::Unknown => Some(Missing::NoAddress.to_string()),
        Contact::Unreachable(kind) => Some(Missing::Unreachable(kind).to_string()),
        Contact::Linked => None,
    }
}

/// Short name of a member: `4659@0.19` for an id that ends with 4659 and the address
/// 10.3.0.19:7840.
pub fn short_name(id: NodeId, address: Option<&str>) -> String {
    let digits = short_id(id);
    match address.map(|address| address.parse::<SocketAddr>()) {
        Some(Ok(address)) => match address.ip() {
            IpAddr::V4(ip) => format!("{digits}@{}.{}", ip.octets()[2], ip.octets()[3]),
            IpAddr::V6(ip) => format!("{digits}@{:x}", ip.segments()[7]),
        },
        Some(Err(_)) | None => digits,
    }
}

/// Last four digits of an id.
fn short_id(id: NodeId) -> String {
    format!("{:04}", id % 10_000)
}

fn short_ids(ids: impl IntoIterator<Item = NodeId>) -> String {
    ids.into_iter().map(short_id).collect::<Vec<_>>().join(" ")
}

/// Why a member knows no leader: how many voters are for it, against it, and missing; the end of
/// its log, its term and its role; and the voters whose vote it lacks, by the reason.
/// `former_member` is one at the same address that others still send messages to.
pub fn no_leader(
    status: &Status,
    former_member: Option<NodeId>,
    address_of: impl Fn(NodeId) -> Option<String>,
    contact: impl Fn(NodeId) -> Contact,
) -> String {
    let missing = missing_voters(status, address_of, contact);
    let former = former_member.filter(|_| !status.membership.is_voter(status.id));
    let former = former.map(|id| format!(", still counted as {}", short_id(id)));
    format!(
        "no leader {}, last {}, term {}, {}{}{}{missing}",
        vote_counts(status),
        status.last_index,
        status.term,
        role(status),
        former.unwrap_or_default(),
        if missing.is_empty() { "" } else { ": " }
    )
}

/// The part of [`no_leader`] that says which votes a member lacks.
pub fn missing_votes(
    status: &Status,
    address_of: impl Fn(NodeId) -> Option<String>,
    contact: impl Fn(NodeId) -> Contact,
) -> String {
    format!("{}: {}", vote_counts(status), missing_voters(status, address_of, contact))
}

/// Numbers of the voters that are for a member, against it, and missing.
fn vote_counts(status: &Status) -> String {
    let voters = &status.membership.voters;
    let votes = |vote| voters.iter().filter(|id| status.votes.get(id) == Some(&vote)).count();
    let (granted, refused) = (votes(true), votes(false));
    format!("{granted}/{refused}/{}", voters.len() - granted - refused)
}

/// The voters whose vote a member lacks, by the reason.
fn missing_voters(
    status: &Status,
    address_of: impl Fn(NodeId) -> Option<String>,
    contact: impl Fn(NodeId) -> Contact,
) -> String {
    let mut missing: BTreeMap<Missing, Vec<String>> = BTreeMap::new();
    let others = status.membership.voters.iter().filter(|id| **id != status.id);
    for id in others.filter(|id| status.votes.get(id) != Some(&true)) {
        let name = short_name(*id, address_of(*id).as_deref());
        missing.entry(reason(status, *id, contact(*id))).or_default().push(name);
    }
    let missing: Vec<String> =
        missing.iter().map(|(reason, names)| format!("{reason} {}", names.join(" "))).collect();
    missing.join(", ")
}

fn reason(status: &Status, id: NodeId, contact: Contact) -> Missing {
    let is_newer = status.candidate_logs.get(&id).is_some_and(|last| *last > status.last_index);
    match (status.votes.get(&id), contact) {
        _ if status.known_lost.contains(&id) => Missing::LostDisk,
        (Some(_), _) if is_newer => Missing::NewerLog,
        (Some(_), _) => Missing::Against,
        (None, Contact::Unknown) => Missing::NoAddress,
        (None, Contact::Unreachable(kind)) => Missing::Unreachable(kind),
        (None, Contact::Linked) => Missing::NoAnswer,
    }
}

/// Role of a member that knows no leader, or why it doesn't vote.
fn role(status: &Status) -> &'static str {
    let members = &status.membership;
    match status.role {
        _ if status.lost_disk => "lost disk",
        _ if members.is_retired(status.id) => "retired",
        _ if !members.contains(status.id) => "no member",
        _ if !members.is_voter(status.id) => "learner",
        Role::Follower => "follower",
        Role::PreCandidate => "pre",
        Role::Candidate => "candidate",
        Role::Leader => "leader",
    }
}

/// What a member found on its disk when it started.
pub fn found_on_disk(status: &Status) -> String {
    let id = short_id(status.id);
    if status.last_index == 0 && status.membership.is_empty() {
        return format!("empty disk, starts as {id}");
    }
    format!(
        "on disk: member {id}, last {}, term {}, voters {}",
        status.last_index,
        status.term,
        short_ids(status.membership.voters.iter().copied())
    )
}

/// How the members have changed since `former`, as a member itself sees it: voters that came (`+`),
/// voters that were set aside as learners, members that went (`-`), learners that came, and the
/// voters now.
pub fn members_changed(
    former: &Membership,
    status: &Status,
    address_of: impl Fn(NodeId) -> Option<String>,
) -> String {
    let members = &status.membership;
    let mut changes = changes_since(former, members, &address_of);
    if members.is_joint() {
        changes.push(String::from("joint"));
    }
    let separator = if changes.is_empty() { "" } else { ", " };
    format!(
        "members at {}: {}{separator}{} voters {}",
        status.membership_index,
        changes.join(" "),
        members.voters.len(),
        short_ids(members.voters.iter().copied())
    )
}

/// Changes of the members since `former`, without those of a member that had none before.
pub(super) fn changes_since(
    former: &Membership,
    members: &Membership,
    address_of: &impl Fn(NodeId) -> Option<String>,
) -> Vec<String> {
    if former.is_empty() {
        return Vec::new();
    }
    let name = |id: &NodeId| short_name(*id, address_of(*id).as_deref());
    let came = members.voters.difference(&former.voters);
    let lost_vote = former.voters.difference(&members.voters);
    let set_aside = lost_vote.filter(|id| members.contains(**id));
    let gone = former.nodes().filter(|id| !members.contains(*id));
    let learners = members.learners.iter().filter(|id| !former.contains(**id));
    let came = came.map(|id| format!("+{}", name(id)));
    let set_aside = set_aside.map(|id| format!("set aside {}", name(id)));
    let gone = gone.map(|id| format!("-{}", name(&id)));
    let learners = learners.map(|id| format!("learner {}", name(id)));
    came.chain(set_aside).chain(gone).chain(learners).collect()
}

/// A change of the members that a leader proposes, with its reason. `address` is that of the node
/// that asked for it.
pub fn proposed_change(
    change: MembershipChange,
    status: &Status,
    address: &str,
    address_of: impl Fn(NodeId) -> Option<String>,
) -> String {
    let name = |id: NodeId| short_name(id, address_of(id).as_deref());
    let absence = |id: NodeId| match address_of(id) {
        Some(former) if former == address => String::from("same address"),
        _ => silence(status, id),
    };
    match change {
        MembershipChange::AddLearner(id) => {
            format!("learner {}, asks to join", short_name(id, Some(address)))
        }
        MembershipChange::Promote(id) => format!("+{}, additional", name(id)),
        MembershipChange::Remove(id) => format!("-{}, {}", name(id), absence(id)),
        MembershipChange::Exchange { old, new } => {
            format!("+{} -{}, {}", name(new), name(old), absence(old))
        }
        MembershipChange::ExchangeTwo { old: [first, second], new } => format!(
            "+{} -{} -{}, {}, {}",
            name(new),
            name(first),
            name(second),
            absence(first),
            absence(second)
        ),
        MembershipChange::Demote(id) => format!("set aside {}, {}", name(id), absence(id)),
        MembershipChange::DemoteTwo([first, second]) => format!(
            "set aside {} {}, {}, {}",
            name(first),
            name(second),
            absence(first),
            absence(second)
        ),
    }
}

/// A change of the members that a leader has made as member `id` is about to stop.
pub fn planned_leave(
    change: MembershipChange,
    id: NodeId,
    address_of: impl Fn(NodeId) -> Option<String>,
) -> String {
    let name = |id: NodeId| short_name(id, address_of(id).as_deref());
    format!("{}, as {} stops as planned", short_change(change, name), name(id))
}

/// A change of the members without its reason.
pub(super) fn short_change(change: MembershipChange, name: impl Fn(NodeId) -> String) -> String {
    match change {
        MembershipChange::Remove(id) => format!("-{}", name(id)),
        MembershipChange::Promote(id) => format!("+{}", name(id)),
        MembershipChange::AddLearner(id) => format!("learner {}", name(id)),
        MembershipChange::Exchange { old, new } => format!("+{} -{}", name(new), name(old)),
        MembershipChange::ExchangeTwo { old: [first, second], new } => {
            format!("+{} -{} -{}", name(new), name(first), name(second))
        }
        MembershipChange::Demote(id) => format!("set aside {}", name(id)),
        MembershipChange::DemoteTwo([first, second]) => {
            format!("set aside {} {}", name(first), name(second))
        }
    }
}

/// What probes have shown of the voters that don't answer a leader, as the end of a text; empty if
/// there are none.
pub fn probed(presence: &BTreeMap<NodeId, Presence>) -> String {
    let mut voters: Vec<(Presence, NodeId)> = presence.iter().map(|(id, p)| (*p, *id)).collect();
    voters.sort_unstable();
    let voters = voters.into_iter().map(|(presence, id)| {
        let seen = match presence {
            Presence::Listening => "listens",
            Presence::Refused => "refuses",
            Presence::Unreachable => "silent",
        };
        format!("{} {seen}", short_id(id))
    });
    let voters: Vec<String> = voters.collect();
    if voters.is_empty() { String::new() } else { format!("; {}", voters.join(", ")) }
}

/// For how long a leader hasn't heard a member.
pub fn silence(status: &Status, id: NodeId) -> String {
    match status.silent_ticks.get(&id) {
        Some(ticks) => format!("silent for {} ms", (TICK * *ticks).as_millis()),
        None => String::from("never heard"),
    }
}
