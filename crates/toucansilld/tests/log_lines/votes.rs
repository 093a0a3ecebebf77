//! Lines that say why a member has no vote, or doesn't answer.

use super::{IDS, NEW_ID, address_of, check_within_cut, status};
use group::{Membership, MembershipChange, Role, Status, joining::Presence};
use log::Level;
use std::time::{Duration, Instant};
use toucansilld::gateway::{
    group_report::Contact,
    own_vote::OwnVote,
    pending_votes::{LeaderView, PendingVotes, VoteLine},
    votes::VoteNotes,
};
use wire::LinkFailureKind;

/// Module that logs these lines.
const VOTES: &str = "toucansilld::gateway::votes";

/// Status of the first member as the leader of five voters and a learner, all of which answer.
fn leader_status(matched: u64) -> Status {
    let membership = status().membership.after(MembershipChange::AddLearner(NEW_ID));
    Status {
        role: Role::Leader,
        leader: Some(IDS[0]),
        membership: membership.expect("valid"),
        matched: [(NEW_ID, matched)].into(),
        silent_ticks: [(IDS[3], 2), (NEW_ID, 1)].into(),
        reachable: IDS.into_iter().chain([NEW_ID]).collect(),
        ..status()
    }
}

/// Lines of a leader, which must name the member before the cut.
fn vote_lines(
    pending: &mut PendingVotes,
    status: &Status,
    notes: &VoteNotes,
    now: Instant,
) -> Vec<String> {
    let contact = |id| match id == IDS[1] {
        true => Contact::Unreachable(LinkFailureKind::NoHandshake),
        false => Contact::Linked,
    };
    let presence = [(IDS[1], Presence::Listening)].into();
    let view = LeaderView { status, notes, presence, address_of, contact };
    let lines = pending.report(&view, now).into_iter();
    let is_long = |line: &VoteLine| line.level == Level::Warn;
    let lines = lines.map(|line| format!("{}{}", if is_long(&line) { "!" } else { "" }, line.text));
    lines.collect()
}

/// A wiped VM was known to the leader for six seconds and had no vote, and no line said what it waited for.
#[test]
fn a_cut_line_of_the_leader_says_why_a_node_has_no_vote() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut notes = VoteNotes::default();
    let mut pending = PendingVotes::new(&leader_status(0), start);
    let mut line = |status: &Status, notes: &VoteNotes, ms| {
        let [line] = vote_lines(&mut pending, status, notes, at(ms)).try_into().ok()?;
        check_within_cut(VOTES, &line, &["6624@0.24 "]);
        Some(line)
    };
    let not_heard = |matched, ticks| Status {
        silent_ticks: [(NEW_ID, ticks)].into(),
        reachable: IDS.into(),
        ..leader_status(matched)
    };
    notes.asked(start, NEW_ID, "10.3.0.24:7840");
    let text = line(&not_heard(0, 0), &notes, 0).expect("a line");
    let expected = "no vote for 0.0 s: 6624@0.24 never heard, holds 0 of 15140, no rise for 0.0 s";
    assert_eq!(text, expected);
    // The same step is reported each second, another one at once.
    assert!((1..20).all(|i| line(&not_heard(0, i), &notes, u64::from(i) * 50).is_none()));
    let text = line(&leader_status(3_000), &notes, 950).expect("another step");
    assert_eq!(text, "no vote for 0.9 s: 6624@0.24 holds 3000 of 15140, rose 0.0 s ago");
    assert_eq!(line(&leader_status(3_000), &notes, 1_900), None);
    let text = line(&leader_status(3_000), &notes, 1_950).expect("each second");
    assert_eq!(text, "no vote for 1.9 s: 6624@0.24 holds 3000 of 15140, rose 1.0 s ago");
    let text = line(&not_heard(3_000, 25), &notes, 2_200).expect("another step");
    let expected = "!no vote for 2.2 s: 6624@0.24 not heard for 1.2 s, holds 3000 of 15140";
    assert!(text.starts_with(expected), "{text}");
    // It has caught up.
    let caught_up = || Status { caught_up: [NEW_ID].into(), ..leader_status(15_140) };
    let text = line(&caught_up(), &notes, 2_500).expect("another step");
    assert_eq!(text, "!no vote for 2.5 s: 6624@0.24 not confirmed by 4422@0.22");
    let confirmed = || Status { confirmed: [NEW_ID].into(), ..caught_up() };
    let exchange = MembershipChange::Exchange { old: IDS[2], new: NEW_ID };
    notes.change_started(at(2_000), exchange);
    let text = line(&confirmed(), &notes, 2_800).expect("another step");
    assert_eq!(text, "!no vote for 2.8 s: 6624@0.24 waits for +6624@0.24 -2321@0.21 for 0.8 s");
    notes.change_ended(at(3_000), Some("not committed in time"));
    let text = line(&confirmed(), &notes, 3_100).expect("another step");
    assert_eq!(text, "!no vote for 3.1 s: 6624@0.24 refused 0.1 s ago: not committed in time");
    let joint = Status {
        membership: confirmed().membership.after(exchange).expect("valid"),
        membership_index: 15_141,
        ..confirmed()
    };
    assert!(line(&joint, &notes, 3_400).expect("a vote").starts_with("6624@0.24 has a vote"));
}

/// Guards against a leader that waits for the end of one change, or for a request, and doesn't say so.
#[test]
fn a_cut_line_of_the_leader_says_which_change_or_request_a_node_waits_for() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut notes = VoteNotes::default();
    let mut pending = PendingVotes::new(&leader_status(0), start);
    let mut line = |status: &Status, notes: &VoteNotes, ms| {
        let [line] = vote_lines(&mut pending, status, notes, at(ms)).try_into().ok()?;
        Some(line)
    };
    let voters = Status { membership: status().membership, ..leader_status(0) };
    assert_eq!(line(&voters, &notes, 0), None);
    notes.asked(at(100), NEW_ID, "10.3.0.24:7840");
    let uncommitted = Status { is_membership_committed: false, ..voters.clone() };
    let text = line(&uncommitted, &notes, 400).expect("a line");
    let expected = "no vote for 0.3 s: 6624@0.24 waits for members at 15135, uncommitted for 0.4 s";
    assert_eq!(text, expected);
    check_within_cut(VOTES, &text, &["15135, uncommitted for"]);
    let text = line(&voters, &notes, 700).expect("another step");
    assert_eq!(text, "no vote for 0.6 s: 6624@0.24 asks to join, 5 of 5 voters heard");
    let caught_up = [NEW_ID].into();
    let confirmed = [NEW_ID].into();
    let learner = Status { caught_up, confirmed, ..leader_status(15_140) };
    let text = line(&learner, &notes, 1_700).expect("each second");
    assert_eq!(text, "no vote for 1.6 s: 6624@0.24 caught up, 5 of 5 voters heard");
    let text = line(&learner, &notes, 5_000).expect("another step");
    assert_eq!(text, "!no vote for 4.9 s: 6624@0.24 last asked 4.9 s ago, 5 of 5 voters heard");
}

#[test]
fn a_cut_line_of_the_leader_says_why_a_voter_does_not_answer() {
    let start = Instant::now() + Duration::from_secs(10);
    let notes = VoteNotes::default();
    let silent = |ticks| Status {
        membership: status().membership,
        silent_ticks: [(IDS[1], ticks)].into(),
        reachable: [IDS[0], IDS[2], IDS[3], IDS[4]].into(),
        known_lost: [IDS[1]].into(),
        ..leader_status(0)
    };
    let mut pending = PendingVotes::new(&silent(0), start);
    let mut lines = |status: &Status, ms| {
        vote_lines(&mut pending, status, &notes, start + Duration::from_millis(ms))
    };
    assert!(lines(&silent(5), 0).is_empty());
    let [text] = lines(&silent(44), 1_950).try_into().expect("a line");
    let way = "1220@0.20, lost disk, no handshake, probes reach it";
    assert_eq!(text, format!("!no answer for 2.2 s: {way}; no learner heard"));
    check_within_cut(VOTES, &text, &[way]);
    let heard = Status { reachable: IDS.into(), ..silent(1) };
    assert_eq!(lines(&heard, 3_000), ["1220@0.20 answers again after 3.2 s"]);
    assert!(lines(&heard, 4_000).is_empty());
    let follower = Status { role: Role::Follower, ..silent(100) };
    assert!(lines(&follower, 9_000).is_empty());
}

/// A learner without a vote said neither since when it ran nor when it had last heard anything.
#[test]
fn a_cut_line_of_a_node_without_a_vote_says_what_it_has_got() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut notes = VoteNotes::default();
    let learner = |last_index| Status {
        id: NEW_ID,
        role: Role::Follower,
        leader: Some(IDS[2]),
        commit: 12,
        last_index,
        ..leader_status(0)
    };
    let empty = Status { leader: None, membership: Membership::default(), commit: 0, ..learner(0) };
    let mut own = OwnVote::new(&empty, start);
    let mut line = |status: &Status, notes: &VoteNotes, ms, followed: Option<&str>| {
        let followed = followed.map(|address| address.parse().expect("an address"));
        own.report(status, at(ms), notes, followed, address_of)
    };
    assert_eq!(line(&empty, &notes, 1_950, None), None);
    let text = line(&empty, &notes, 2_000, None).expect("no vote");
    let expected = "no vote for 2.0 s: no leader, no message, 0/0 for 2.0 s, not asked";
    assert_eq!(text, expected);
    check_within_cut(VOTES, &text, &[expected]);
    notes.heard(at(3_000), IDS[4]);
    let text = line(&empty, &notes, 4_000, Some("10.3.0.21:7840")).expect("no vote");
    assert!(text.contains(": leader 10.3.0.21:7840, 6523@0.23 1.0 s ago, 0/0"), "{text}");
    notes.heard(at(4_500), IDS[2]);
    notes.answered(at(5_900), "change pending");
    assert_eq!(line(&learner(16), &notes, 4_550, None), None);
    let text = line(&learner(16), &notes, 6_000, None).expect("no vote");
    let expected =
        "no vote for 6.0 s: leader 2321@0.21 1.5 s ago, 12/16 for 1.4 s, change pending 0.1 s ago";
    assert_eq!(text, expected);
    check_within_cut(VOTES, &text, &["21 1.5 s ago, 12/16 for 1.4 s, change pending 0.1"]);
    // A member that was set aside counts from then on.
    let voter = Status { id: IDS[0], ..learner(20) };
    assert_eq!(line(&voter, &notes, 9_000, None), None);
    assert_eq!(line(&learner(20), &notes, 10_950, None), None);
    let text = line(&learner(20), &notes, 11_000, None).expect("no vote");
    assert!(text.starts_with("no vote for 2.0 s: "), "{text}");
}
