//! What is left of the lines of a control daemon's log when a collector cuts them.

mod votes;

use group::{Membership, MembershipChange, NodeId, Role, Status, joining::Presence};
use log::{Level, Record};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use toucansilld::{
    gateway::{
        group_report::{
            Contact, found_on_disk, members_changed, missing_votes, no_leader, planned_leave,
            probed, proposed_change,
        },
        observer::Observer,
        unanswered::{RefusedCall, RefusedCalls},
    },
    logs,
};
use wire::LinkFailureKind;

/// Length at which collectors cut lines.
const CUT_CHARS: usize = 200;
const DAEMON: &str = "core-cl-centro-b-1";
/// Modules that log these lines.
const CONTROL: &str = "toucansilld::gateway::control";
const MEMBERS: &str = "toucansilld::gateway::members";
const SERVERS: &str = "toucansilld::gateway::servers";
const DAEMONS: &str = "toucansilld::gateway::daemon";
/// Five members with ids of 20 digits, by the last number of their addresses.
const IDS: [NodeId; 5] = [
    12_364_169_870_143_201_119,
    13_641_698_701_432_011_220,
    14_169_870_143_201_122_321,
    15_987_014_320_112_344_422,
    16_870_143_201_123_456_523,
];
const NEW_ID: NodeId = 17_143_201_123_456_786_624;

fn address_of(id: NodeId) -> Option<String> {
    let members = IDS.iter().chain([&NEW_ID]);
    let numbered = members.zip(19..).find(|(known, _)| **known == id);
    numbered.map(|(_, number)| format!("10.3.0.{number}:7840"))
}

/// Status of the first member: a candidate without an answer.
fn status() -> Status {
    Status {
        id: IDS[0],
        role: Role::PreCandidate,
        term: 137,
        leader: None,
        commit: 15_140,
        applied: 15_140,
        first_index: 1,
        last_index: 15_140,
        membership: Membership::initial(1, IDS),
        membership_index: 15_135,
        is_membership_committed: true,
        votes: BTreeMap::from([(IDS[0], true)]),
        known_lost: BTreeSet::new(),
        candidate_logs: BTreeMap::new(),
        matched: BTreeMap::new(),
        silent_ticks: BTreeMap::new(),
        reachable: BTreeSet::new(),
        caught_up: BTreeSet::new(),
        confirmed: BTreeSet::new(),
        lost_logs: BTreeSet::new(),
        failure: None,
        lost_disk: false,
        published_at: Some(Instant::now()),
        ticks: 0,
        dropped_messages: 0,
    }
}

/// A line as the logger renders it, up to the cut.
fn cut_line(target: &str, text: &str) -> String {
    let args = format_args!("{text}");
    let record = Record::builder().level(Level::Warn).target(target).args(args).build();
    let line = logs::line(DAEMON, &record).expect("a line");
    String::from_utf8(line).expect("UTF-8").chars().take(CUT_CHARS).collect()
}

fn check_within_cut(target: &str, text: &str, expected: &[&str]) {
    let line = cut_line(target, text);
    for part in expected {
        assert!(line.contains(part), "{part} is cut off: {line}");
    }
}

/// The votes and the missing members were fields, and were cut off: why there was no leader stayed unknown.
#[test]
fn a_cut_line_says_which_votes_are_missing_and_why() {
    let status = Status { votes: BTreeMap::from([(IDS[0], true), (IDS[1], true)]), ..status() };
    let contact = |id| match IDS.iter().position(|known| *known == id) {
        Some(2) => Contact::Unreachable(LinkFailureKind::Refused),
        Some(3) => Contact::Unreachable(LinkFailureKind::NoHandshake),
        _ => Contact::Linked,
    };
    let text = no_leader(&status, None, address_of, contact);
    check_within_cut(
        CONTROL,
        &text,
        &["no leader 2/0/3, last 15140, term 137, pre: refused 2321@0.21", "no handshake 4422@0"],
    );
    let refused = |_| Contact::Unreachable(LinkFailureKind::Refused);
    let text = no_leader(&status, None, address_of, refused);
    check_within_cut(CONTROL, &text, &["refused 2321@0.21 4422@0.22 6523@0.23"]);
}

#[test]
fn each_reason_for_a_missing_vote_is_told_from_the_others() {
    let linked = |_| Contact::Linked;
    let voters = [IDS[0], IDS[1]];
    let base = Status { membership: Membership::initial(1, voters), ..status() };
    let tail = |status: &Status, contact: Contact| {
        let text = no_leader(status, None, address_of, |_| contact);
        text.split_once(": ").expect("a text with members").1.to_owned()
    };
    let contacts = [
        (Contact::Unknown, "no address 1220@0.20"),
        (Contact::Unreachable(LinkFailureKind::Refused), "refused 1220@0.20"),
        (Contact::Unreachable(LinkFailureKind::Timeout), "timeout 1220@0.20"),
        (Contact::Unreachable(LinkFailureKind::NoHandshake), "no handshake 1220@0.20"),
        (Contact::Unreachable(LinkFailureKind::Other), "unreachable 1220@0.20"),
        (Contact::Linked, "no answer 1220@0.20"),
    ];
    for (contact, expected) in contacts {
        assert_eq!(tail(&base, contact), expected);
    }
    let against =
        Status { votes: BTreeMap::from([(IDS[0], true), (IDS[1], false)]), ..base.clone() };
    assert_eq!(tail(&against, Contact::Linked), "against 1220@0.20");
    let newer = Status { candidate_logs: BTreeMap::from([(IDS[1], 15_141)]), ..against.clone() };
    assert_eq!(tail(&newer, Contact::Linked), "newer log 1220@0.20");
    assert!(no_leader(&against, None, address_of, linked).starts_with("no leader 1/1/0, "));
    let lost = Status { known_lost: BTreeSet::from([IDS[1]]), ..base.clone() };
    assert_eq!(tail(&lost, Contact::Linked), "lost disk 1220@0.20");
    let learner = Status { id: NEW_ID, role: Role::Follower, votes: BTreeMap::new(), ..base };
    assert!(no_leader(&learner, None, address_of, linked).contains("no member: "));
}

/// A machine that had lost its disk looked like a sound one that knows nobody, while the group waited for the vote
/// of its former id.
#[test]
fn a_cut_line_says_that_the_group_still_counts_a_former_member() {
    let membership = Membership::default();
    let votes = BTreeMap::new();
    let empty = Status { id: NEW_ID, last_index: 0, term: 0, membership, votes, ..status() };
    let text = no_leader(&empty, Some(IDS[2]), address_of, |_| Contact::Linked);
    assert_eq!(text, "no leader 0/0/0, last 0, term 0, no member, still counted as 2321");
    check_within_cut(CONTROL, &text, &["still counted as 2321"]);
    let voter = no_leader(&status(), Some(IDS[2]), address_of, |_| Contact::Linked);
    assert!(!voter.contains("still counted"), "{voter}");
}

/// Which voters there were before a fault could not be told from any line.
#[test]
fn cut_lines_have_each_change_of_the_members() {
    let former = Membership::initial(1, IDS);
    let learner = former.after(MembershipChange::AddLearner(NEW_ID)).expect("valid");
    let joint =
        learner.after(MembershipChange::Exchange { old: IDS[0], new: NEW_ID }).expect("valid");
    let set_aside = joint.after_joint();
    let last = set_aside.after(MembershipChange::Remove(IDS[0])).expect("valid");
    let steps =
        [(&former, &learner), (&learner, &joint), (&joint, &set_aside), (&set_aside, &last)];
    let texts = steps.map(|(from, to)| {
        let status = Status { membership: to.clone(), ..status() };
        members_changed(from, &status, address_of)
    });
    let voters = "1119 1220 2321 4422 6523";
    check_within_cut(
        CONTROL,
        &texts[0],
        &["members at 15135: learner 6624@0.24, 5 voters", voters],
    );
    check_within_cut(CONTROL, &texts[1], &[" +6624@0.24 joint, 6 voters 1119 1220 2321 4422 6523"]);
    let voters = "5 voters 1220 2321 4422 6523 6624";
    check_within_cut(CONTROL, &texts[2], &[" set aside 1119@0.19, ", voters]);
    check_within_cut(CONTROL, &texts[3], &[" -1119@0.19, ", voters]);
}

/// Nor could the reasons for which a leader exchanged one voter for another.
#[test]
fn cut_lines_have_the_reasons_for_which_a_leader_changes_the_members() {
    let status = Status { silent_ticks: BTreeMap::from([(IDS[1], 25)]), ..status() };
    let (old, new) = (IDS[1], NEW_ID);
    let text = |change, address| {
        format!("member admitted: {}", proposed_change(change, &status, address, address_of))
    };
    let exchange = MembershipChange::Exchange { old, new };
    check_within_cut(
        MEMBERS,
        &text(exchange, "10.3.0.24:7840"),
        &["member admitted: +6624@0.24 -1220@0.20, silent for 1250 ms"],
    );
    check_within_cut(MEMBERS, &text(exchange, "10.3.0.20:7840"), &["-1220@0.20, same address"]);
    let presence = [(IDS[1], Presence::Unreachable), (IDS[2], Presence::Listening)].into();
    check_within_cut(
        MEMBERS,
        &format!("{}{}", text(exchange, "10.3.0.24:7840"), probed(&presence)),
        &["silent for 1250 ms; 2321 listens, 1220 s"],
    );
    check_within_cut(
        MEMBERS,
        &text(MembershipChange::Demote(old), "10.3.0.24:7840"),
        &["member admitted: set aside 1220@0.20, silent for 1250 ms"],
    );
    let promote = text(MembershipChange::Promote(new), "10.3.0.24:7840");
    check_within_cut(MEMBERS, &promote, &["member admitted: +6624@0.24, additional"]);
    let leave = planned_leave(MembershipChange::Remove(old), old, address_of);
    check_within_cut(
        MEMBERS,
        &format!("member leaves: {leave}"),
        &["-1220@0.20, as 1220@0.20 stops as planned"],
    );
}

#[test]
fn cut_lines_have_what_a_member_found_on_its_disk() {
    check_within_cut(
        DAEMONS,
        &found_on_disk(&status()),
        &["on disk: member 1119, last 15140, term 137, voters 1119 1220 2321 4422 6523"],
    );
    let empty = Status { last_index: 0, membership: Membership::default(), ..status() };
    check_within_cut(DAEMONS, &found_on_disk(&empty), &["empty disk, starts as 1119"]);
}

#[test]
fn a_member_that_joins_reports_the_voters_alone() {
    let text = members_changed(&Membership::default(), &status(), address_of);
    assert_eq!(text, "members at 15135: 5 voters 1119 1220 2321 4422 6523");
}

/// A process that did nothing for a minute, a blocked event loop and a blocked disk could not be told apart.
#[test]
fn pauses_of_the_process_its_event_loop_and_its_voter_are_told_apart() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let with = |ms, ticks| Status { published_at: Some(at(ms)), ticks, ..status() };
    let mut observer = Observer::new(&with(0, 0), start);
    assert_eq!(observer.pause(&with(100, 2), at(50), at(100)), None);
    // The process is frozen, and looks at its status before the voter's thread has run again.
    let frozen = with(100, 2);
    let text = observer.pause(&frozen, at(100), at(53_200)).expect("a pause");
    assert_eq!(text, "no processor time for 53.1 s");
    assert_eq!(observer.voter_pause(&frozen, at(53_200)), None);
    assert_eq!(observer.voter_pause(&with(53_210, 3), at(53_250)), None);
    // The voter's thread alone is blocked.
    let blocked = with(54_000, 10);
    assert_eq!(observer.voter_pause(&blocked, at(54_900)), None);
    let text = observer.voter_pause(&blocked, at(55_000)).expect("blocked");
    assert_eq!(text, "voter blocked for 1.0 s so far");
    assert_eq!(observer.voter_pause(&blocked, at(58_000)), None);
    let text = observer.voter_pause(&with(59_500, 11), at(59_540)).expect("it runs again");
    assert_eq!(text, "voter runs again after 5.5 s");
    // The event loop alone is blocked.
    assert_eq!(observer.pause(&with(59_500, 11), at(59_500), at(59_550)), None);
    let text = observer.pause(&with(62_500, 71), at(59_550), at(62_550)).expect("a pause");
    assert_eq!(text, "event loop blocked for 3.0 s");
}

/// A group that had lost its voters and one whose leaders didn't last, as disks were slow, logged the same lines at the end.
#[test]
fn a_cut_line_says_what_came_before_a_group_had_no_leader() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let with = |leader, published| Status { leader, published_at: Some(at(published)), ..status() };
    let mut observer = Observer::new(&with(None, 0), start);
    assert_eq!(
        observer.leaderless(at(2)).expect("none yet"),
        "leaderless 2 s, leaders 0, blocked 0.0 s, same members"
    );
    for (second, leader) in [(2, Some(IDS[1])), (3, None), (4, Some(IDS[2]))] {
        observer.observe(&with(leader, second), at(second));
    }
    assert_eq!(observer.leaderless(at(4)), None);
    let learner = status().membership.after(MembershipChange::AddLearner(NEW_ID)).expect("valid");
    let exchange = MembershipChange::Exchange { old: IDS[0], new: NEW_ID };
    let membership = learner.after(exchange).expect("valid").after_joint();
    let changed = Status { membership, ..with(Some(IDS[2]), 5) };
    observer.members_changed(&changed, at(5), address_of).expect("a change");
    observer.observe(&with(None, 5), at(6));
    observer.observe(&with(None, 7), at(9));
    let text = observer.leaderless(at(20)).expect("no leader");
    let expected =
        "leaderless 14 s, leaders 2, blocked 2.0 s, 15 s ago: +6624@0.24 set aside 1119@0.19";
    assert_eq!(text, expected);
    check_within_cut(CONTROL, &text, &["blocked 2.0 s, 15 s ago: +6624@0.24 set aside 1119"]);
}

/// A disk that had held up a member until its leader was lost looked like one that never had.
#[test]
fn a_cut_line_says_what_held_up_a_member_before_it_had_no_leader() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let with = |leader, published| Status { leader, published_at: Some(at(published)), ..status() };
    let leader = Some(IDS[1]);
    let mut observer = Observer::new(&with(leader, 0), start);
    // A long block a while before, and then shorter ones.
    for (second, published) in [(1, 1), (9, 1), (10, 10), (15, 12), (16, 16), (17, 16), (18, 18)] {
        observer.observe(&with(leader, published), at(second));
    }
    observer.observe(&with(None, 20), at(20));
    observer.observe(&with(None, 21), at(22));
    let text = observer.leaderless(at(22)).expect("no leader");
    assert_eq!(text, "leaderless 2 s, leaders 1, blocked 1.0 s, before 3.0 s, same members");
    check_within_cut(CONTROL, &text, &["blocked 1.0 s, before 3.0 s, same"]);
    // What held it up without a leader comes before the next loss.
    observer.observe(&with(leader, 23), at(23));
    observer.observe(&with(None, 24), at(24));
    let text = observer.leaderless(at(24)).expect("no leader");
    assert_eq!(text, "leaderless 0 s, leaders 2, blocked 0.0 s, before 3.0 s, same members");
    observer.observe(&with(leader, 30), at(30));
    observer.observe(&with(None, 31), at(31));
    let text = observer.leaderless(at(31)).expect("no leader");
    assert_eq!(text, "leaderless 0 s, leaders 3, blocked 0.0 s, before 1.0 s, same members");
}

/// Members whose processes waited for processor time, for less than a second at once, lost one leader after the other
/// and logged no reason.
#[test]
fn delays_of_the_event_loop_are_added_up_for_ten_seconds() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut observer = Observer::new(&status(), start);
    for (slept_at, now) in [(0, 50), (50, 450), (450, 500), (500, 599), (600, 1_200)] {
        assert_eq!(observer.pause(&status(), at(slept_at), at(now)), None);
    }
    assert_eq!(observer.delayed(), Duration::from_millis(1_000));
    observer.pause(&status(), at(10_400), at(10_451));
    assert_eq!(observer.delayed(), Duration::from_millis(600));
    observer.pause(&status(), at(11_150), at(11_201));
    assert_eq!(observer.delayed(), Duration::ZERO);
}

/// Three voters counted as lost, and since when each of them did was in no line.
#[test]
fn a_cut_line_says_for_how_long_each_disk_is_known_to_be_lost() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let with = |lost: &[usize]| {
        let known_lost = lost.iter().map(|i| IDS[*i]).collect();
        Status { known_lost, ..status() }
    };
    let mut observer = Observer::new(&with(&[]), start);
    for (second, lost) in [(1, &[2][..]), (22, &[2, 3]), (24, &[2, 3, 4]), (26, &[2, 3, 4])] {
        observer.observe(&with(lost), at(second));
    }
    let silence = |id| (id != IDS[4]).then_some(Duration::from_secs(29));
    let line = |status: &Status| observer.lost_disks(status, at(26), silence, address_of);
    let text = line(&with(&[2, 3, 4])).expect("lost disks");
    let expected = "lost disks, known/silent s: 2321@0.21 25/29, 4422@0.22 4/29, 6523@0.23 2/?";
    assert_eq!(text, expected);
    check_within_cut(CONTROL, &text, &[expected]);
    let replaced = Status { membership: Membership::initial(1, [IDS[0], IDS[1]]), ..status() };
    assert_eq!(line(&replaced), None);
}

fn call(path: &str) -> RefusedCall {
    RefusedCall { method: String::from("PUT"), path: path.to_owned(), status: 503 }
}

/// Each refused call had a line, dozens a second, and a record of a few lines a process had no others.
#[test]
fn refused_calls_are_counted_and_logged_once_a_second_for_each_reason() {
    const REASON: &str = "no leader is known";
    let calls = RefusedCalls::default();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let first = calls.add(at(0), REASON, call("/a")).expect("the first is logged at once");
    assert_eq!(first.text("not answered"), "call not answered: no leader is known");
    assert!((1..100).all(|i| calls.add(at(i * 9), REASON, call("/b")).is_none()));
    let other = calls.add(at(500), "the leader has changed", call("/c"));
    assert_eq!(other.expect("another reason").repeated.count, 1);
    assert!(calls.take_due(at(900)).is_empty());
    let due = calls.take_due(at(1_000));
    let [line] = due.as_slice() else { panic!("{due:?}") };
    assert_eq!((line.repeated.count, line.last.path.as_str()), (99, "/b"));
    let text = line.text("not answered");
    check_within_cut(SERVERS, &text, &["\"99 calls not answered in 1.0 s: no leader is known\""]);
    let refused = |_| Contact::Unreachable(LinkFailureKind::Refused);
    let votes = missing_votes(&status(), address_of, refused);
    check_within_cut(SERVERS, &format!("{text} ({votes})"), &["known (1/0/4: refused 1220@0.20 "]);
    // Further calls of the series, and then a new series.
    assert!(calls.add(at(1_500), REASON, call("/a")).is_none());
    let [line] = calls.take_due(at(2_100)).try_into().expect("one line");
    assert_eq!((line.repeated.count, line.repeated.since_first), (1, Duration::from_millis(2_100)));
    assert!(calls.take_due(at(9_000)).is_empty());
    let again = calls.add(at(9_500), REASON, call("/a")).expect("a new series");
    assert_eq!((again.repeated.count, again.repeated.since_first), (1, Duration::ZERO));
}

/// Guards against reasons that differ with each call, such as by a time, and that would be kept for good.
#[test]
fn reasons_that_differ_with_each_call_share_one_line() {
    let calls = RefusedCalls::default();
    let now = Instant::now();
    let lines =
        (0..1_000).filter_map(|i| calls.add(now, &format!("no answer in {i} ms"), call("/a")));
    let reasons: Vec<String> = lines.map(|line| line.reason).collect();
    assert_eq!(reasons.len(), 9);
    assert_eq!(reasons[8], "other reasons");
    let [line] = calls.take_due(now + Duration::from_secs(1)).try_into().expect("one line");
    assert_eq!((line.reason.as_str(), line.repeated.count), ("other reasons", 991));
}
