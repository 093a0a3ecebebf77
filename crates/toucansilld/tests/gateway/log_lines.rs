//! Tests of what the processes of a group log of the group, in lines that are cut.

use super::{Region, eventually};
use platform::stand_in::DOCUMENT_PATH;
use serde_json::Value;
use std::{thread, time::Duration};

/// Length at which collectors cut lines.
const CUT_CHARS: usize = 200;
/// Time for which a member is frozen: longer than the pause from which on it is logged.
const FREEZE_TIME: Duration = Duration::from_millis(1_500);

/// Lines of a daemon, cut.
fn cut_lines(region: &Region, i: usize) -> Vec<String> {
    region.log(i).lines().map(|line| line.chars().take(CUT_CHARS).collect()).collect()
}

/// Waits for a line of the daemon that contains all of `parts` before the cut.
fn await_line(region: &Region, i: usize, parts: &[&str]) {
    eventually(&format!("{parts:?}"), || {
        let has_all = |line: &String| parts.iter().all(|part| line.contains(part));
        cut_lines(region, i).iter().any(has_all).then_some(())
    });
}

/// How texts name member `i`.
fn short_name(region: &Region, i: usize) -> String {
    let (id, ip) = (region.member_id(i), region.ip(i));
    let octets: Vec<&str> = ip.trim_end_matches(':').split('.').collect();
    format!("{}@{}.{}", &id[id.len() - 4..], octets[2], octets[3])
}

/// Which voters a member lacked, and why, was cut off.
#[test]
fn a_member_without_a_quorum_logs_who_is_missing_and_why() {
    let mut region = Region::new(3);
    (0..3).for_each(|i| region.start(i, true));
    region.await_members(3);
    let (gone, frozen) = (short_name(&region, 1), short_name(&region, 2));
    region.kill(1);
    region.signal(2, "-STOP");
    let refused = format!("refused {gone}");
    await_line(&region, 0, &["no leader 1/0/2, last ", &refused]);
    let no_handshake = format!("no handshake {frozen}");
    await_line(&region, 0, &["no leader 1/0/2, last ", &refused, &no_handshake]);
}

/// Each refused call had a line of its own, so that a short record had nothing else.
#[test]
fn refused_calls_are_logged_as_counts() {
    const CALLS: usize = 50;
    let mut region = Region::new(3);
    region.start(0, true);
    await_line(&region, 0, &["no leader 1/0/2"]);
    let statuses: Vec<u16> = (0..CALLS)
        .filter_map(|_| region.control_request(0, "GET", DOCUMENT_PATH, ""))
        .map(|(status, _)| status)
        .collect();
    assert_eq!(statuses, [503; CALLS]);
    let counts = eventually("all calls", || {
        let log = region.log(0);
        let lines = log.lines().filter(|line| line.contains("not answered"));
        let counts: Vec<u64> = lines
            .map(|line| serde_json::from_str::<Value>(line).expect("JSON"))
            .map(|line| line["count"].as_u64().expect("a count"))
            .collect();
        (counts.iter().sum::<u64>() == CALLS as u64).then_some(counts)
    });
    assert!(counts.len() < CALLS / 2, "{counts:?}");
    await_line(&region, 0, &[" calls not answered in ", ": no leader is known (1/0/2: refused "]);
}

/// When the voters had changed, and why, could not be told from the members' own lines.
#[test]
fn changes_of_the_members_are_logged_by_each_of_them() {
    let mut region = Region::new(3);
    (0..3).for_each(|i| region.start(i, true));
    region.await_members(3);
    let leader = region.await_leader(3);
    let [lost, other] = [1, 2].map(|n| (leader + n) % 3);
    let (former_id, former) = (region.stored_id(lost), short_name(&region, lost));
    region.kill(lost);
    region.lose_disk(lost);
    // If it starts sooner, its former id is exchanged for the next one without being set aside.
    thread::sleep(Duration::from_secs(1));
    region.start(lost, false);
    eventually("another id", || region.stored_id(lost).filter(|id| Some(id) != former_id.as_ref()));
    let successor = short_name(&region, lost);
    await_line(&region, lost, &["\"empty disk, starts as ", &successor[..4]]);
    // The leader finds out itself, or by the request to join.
    await_line(&region, leader, &[&format!(": set aside {former}, ")]);
    await_line(&region, leader, &[&format!("member admitted: +{successor}, additional")]);
    for member in [leader, other] {
        // One line may tell of several changes.
        // The address of a node that is gone for good may be forgotten by then.
        await_line(&region, member, &["members at ", &format!("-{}", &former[..4])]);
        await_line(&region, member, &["members at ", &format!("+{successor}")]);
        await_line(&region, member, &["members at ", " 3 voters ", &successor[..4]]);
    }
    // It may have received several changes at once.
    await_line(&region, lost, &["members at ", " 3 voters "]);
    region.kill(other);
    region.start(other, false);
    await_line(&region, other, &["\"on disk: member ", ", last ", ", voters ", &successor[..4]]);
}

/// A process that did nothing for a minute had no line that said so.
#[test]
fn a_pause_of_a_process_is_logged() {
    let mut region = Region::new(1);
    region.start(0, true);
    region.await_members(1);
    region.signal(0, "-STOP");
    thread::sleep(FREEZE_TIME);
    region.signal(0, "-CONT");
    await_line(&region, 0, &["\"no processor time for "]);
}

/// A machine that had lost its disk looked like a sound one that knows nobody, while the group waited for the vote
/// of its former id.
#[test]
fn a_member_without_its_disk_logs_that_its_former_id_still_counts() {
    let mut region = Region::new(3);
    (0..3).for_each(|i| region.start(i, true));
    region.await_members(3);
    let former = short_name(&region, 1);
    [1, 2].into_iter().for_each(|i| region.kill(i));
    region.lose_disk(1);
    // Before that, a leader may still add the member under its new id.
    await_line(&region, 0, &["no leader "]);
    region.start(1, false);
    await_line(&region, 1, &[&format!("no member, still counted as {}", &former[..4])]);
    await_line(&region, 0, &["no leader 1/0/2, last ", &format!("lost disk {former}")]);
    await_line(&region, 0, &[&format!("\"lost disks, known/silent s: {former} ")]);
}

/// What a wiped member waited for, and since when, was in no line, neither its own nor the leader's.
#[test]
fn missing_votes_are_logged_by_the_leader_and_by_the_member() {
    let mut region = Region::new(3);
    (0..3).for_each(|i| region.start(i, true));
    region.await_members(3);
    let leader = region.await_leader(3);
    let [lost, other] = [1, 2].map(|n| (leader + n) % 3);
    let frozen = short_name(&region, other);
    region.signal(other, "-STOP");
    await_line(&region, leader, &["WARN", "no answer for ", &frozen, "no learner "]);
    region.signal(other, "-CONT");
    await_line(&region, leader, &[&format!("{frozen} answers again after ")]);
    let former_id = region.stored_id(lost);
    region.kill(lost);
    region.lose_disk(lost);
    region.start(lost, false);
    eventually("another id", || region.stored_id(lost).filter(|id| Some(id) != former_id.as_ref()));
    let successor = short_name(&region, lost);
    await_line(&region, leader, &["member admitted: +", &successor]);
    // Without a leader it gets no vote.
    [leader, other, lost].into_iter().for_each(|i| region.kill(i));
    region.lose_disk(lost);
    region.start(lost, false);
    await_line(&region, lost, &["WARN", "no vote for ", "no leader, no message, 0/0 for "]);
}
