//! Groups in which the path between the leader and one member is silent, while all others work.

use crate::{
    Region,
    durable_names::build_recorder,
    exchanges::{SUCCESSOR, membership_lines, start_five},
    region::{POLL_INTERVAL, Routes, eventually},
};
use fake::FaultProxy;
use platform::stand_in::{DOCUMENT_PATH, document};
use std::{
    collections::BTreeMap,
    fs,
    net::TcpListener,
    thread,
    time::{Duration, Instant},
};

/// Time after which the group has noticed that a path has fallen silent.
pub(crate) const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Time for which a member is watched: several times as long as it takes to report that it knows no leader.
const WATCHED_TIME: Duration = Duration::from_secs(6);
/// Time from the start of a VM with an empty disk until it counts as whole.
const VOTE_TIME: Duration = Duration::from_secs(4);
/// Time within which the leader has its request to join.
const ADMISSION_TIME: Duration = Duration::from_millis(1_500);
/// Time from the loss of a disk until its VM starts.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// Time after which a VM is no longer waited for.
const WAIT_TIME: Duration = Duration::from_secs(30);
/// Number of members that are a majority of the five.
const MAJORITY: usize = 3;
/// What each sync of a slow disk takes longer, in milliseconds.
const SLOW_SYNC_MS: u64 = 300;

/// Paths between the control daemons, by sender and receiver.
pub(crate) type Paths = BTreeMap<(usize, usize), FaultProxy>;

/// Leads all links between five control daemons through proxies of their own.
pub(crate) fn region_with_paths() -> (Region, Paths) {
    let mut region = Region::new(SUCCESSOR + 1);
    let mut paths = Paths::new();
    for from in 0..5 {
        let mut routes = Routes::new();
        for to in (0..5).filter(|to| *to != from) {
            let links = region.links_address(to);
            let proxy = FaultProxy::start(links).expect("a free port");
            routes.insert(links, proxy.address());
            paths.insert((from, to), proxy);
        }
        region.set_routes(from, routes);
    }
    (region, paths)
}

/// Starts the five. Returns the index of their leader.
fn start(region: &mut Region) -> usize {
    start_five(region);
    // Without processor time, the leader at the start may have lost its place meanwhile.
    eventually("a leader", || leading(region))
}

/// The member that leads in the highest term, by the lines of all.
fn leading(region: &Region) -> Option<usize> {
    let led_term = |i: &usize| {
        let log = region.log(*i);
        let lines = log.lines().filter_map(|line| line.find('{').map(|start| &line[start..]));
        let lines = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
        lines.fold(None, |term, line| match line["text"].as_str() {
            Some("this daemon leads") => line["term"].as_u64(),
            Some("this daemon leads no more") => None,
            _ => term,
        })
    };
    (0..5).filter_map(|i| Some((led_term(&i)?, i))).max().map(|(_, i)| i)
}

/// Silences the path between two daemons.
pub(crate) fn silence(paths: &Paths, a: usize, b: usize) {
    [(a, b), (b, a)].iter().for_each(|path| paths[path].hang().expect("the port is kept"));
}

/// Last entries that member `i` has found in its log, at each of its starts.
fn found_logs(region: &Region, i: usize) -> Vec<u64> {
    let log = region.log(i);
    let starts =
        log.lines().filter_map(|line| line.split_once("on disk: member ")?.1.split_once(", last "));
    starts.filter_map(|(_, rest)| rest.split(',').next()?.parse().ok()).collect()
}

/// Number of reports of member `i` that it knows no leader.
fn leaderless_reports(region: &Region, i: usize) -> usize {
    region.log(i).lines().filter(|line| line.contains("no leader")).count()
}

/// Guards against a member that hears nothing of the leader, and gets no entries, as only the path between
/// the two is silent.
#[test]
fn a_member_hears_a_leader_by_way_of_others() {
    let (mut region, paths) = region_with_paths();
    let leader = start(&mut region);
    let [silent, other] = [1, 2].map(|n| (leader + n) % 5);
    silence(&paths, leader, silent);
    thread::sleep(DETECTION_TIME);
    region.control_request_until_ok(leader, "PUT", DOCUMENT_PATH, &document(7, "/x/", "s1"));
    let reports = leaderless_reports(&region, silent);
    thread::sleep(WATCHED_TIME);
    let lines = || membership_lines(&region);
    assert!(region.is_group_by(&[leader], 5, 5), "the leader doesn't hear the member{}", lines());
    let later_reports = leaderless_reports(&region, silent);
    assert_eq!(later_reports, reports, "the member doesn't hear the leader{}", lines());
    let starts = [silent, other].map(|i| found_logs(&region, i).len());
    [silent, other].iter().for_each(|i| region.kill(*i));
    [silent, other].iter().for_each(|i| region.start(*i, false));
    let [found, expected] = [(silent, starts[0]), (other, starts[1])].map(|(i, start)| {
        eventually("a log on disk", || found_logs(&region, i).get(start).copied())
    });
    assert_eq!(found, expected, "entries of the member, and of one that reaches the leader");
}

/// Replaces the disk of a member by an empty one, with a silent path to the leader. Returns its index, and when it
/// was started.
fn lose_disk_without_leader(region: &mut Region, paths: &Paths, leader: usize) -> (usize, Instant) {
    let lost = (leader + 1) % 5;
    region.kill(lost);
    region.lose_disk(lost);
    silence(paths, leader, lost);
    thread::sleep(RESTART_PAUSE);
    region.start(lost, false);
    (lost, Instant::now())
}

/// Waits until `condition` holds for the present id of a member. Returns the time since its start.
fn time_until(
    region: &Region,
    member: usize,
    started: Instant,
    condition: impl Fn(&str) -> bool,
) -> Duration {
    loop {
        let is_met = region.stored_id(member).is_some_and(|id| condition(&id));
        let passed = started.elapsed();
        if is_met {
            return passed;
        }
        assert!(passed < WAIT_TIME, "{member} waits for longer{}", membership_lines(region));
        thread::sleep(POLL_INTERVAL);
    }
}

/// Time from the start of a VM until the leader, whichever of the others that is, had its request to join.
fn time_to_admission(region: &Region, member: usize, started: Instant) -> Duration {
    let others = || (0..5).filter(|i| *i != member);
    time_until(region, member, started, |id| {
        let is_asked = |line: &str| line.contains("asks to join") && line.contains(id);
        others().any(|i| region.log(i).lines().any(is_asked))
    })
}

/// Time from the start of a VM until a majority of the members have it as a voter, and the change of the voters is over:
/// it counts from then on, whoever leads. A leader appends the end of the change once its first part is committed.
fn time_to_vote(region: &Region, member: usize, started: Instant) -> Duration {
    time_until(region, member, started, |id| {
        let has_vote = |line: &str| {
            let members = line.split_once("members at ").and_then(|(_, text)| {
                let (text, voters) = text.split_once("\"voters\":")?;
                (!text.contains(" joint")).then_some(voters)
            });
            members.is_some_and(|voters| voters.contains(id))
        };
        (0..5).filter(|i| region.log(*i).lines().any(has_vote)).count() >= MAJORITY
    })
}

/// Whether a group of five hears all of its members, by the member that leads.
fn is_whole(region: &Region) -> bool {
    region.is_group_by(&[0, 1, 2, 3, 4], 5, 5)
}

/// Guards against a VM with an empty disk that the leader learns nothing of, as only the path between the two
/// is silent.
#[test]
fn a_vm_with_an_empty_disk_asks_to_join_by_way_of_others() {
    let (mut region, paths) = region_with_paths();
    let leader = start(&mut region);
    let (lost, started) = lose_disk_without_leader(&mut region, &paths, leader);
    let admitted = time_to_admission(&region, lost, started);
    println!("admitted after {admitted:?}");
    assert!(admitted <= ADMISSION_TIME, "admitted after {admitted:?}{}", membership_lines(&region));
}

/// Guards against a VM with an empty disk that has no vote 4 s after its start, as only the path between it
/// and the leader is silent: two further disks that are lost then leave no quorum.
#[test]
fn a_vm_with_an_empty_disk_gets_its_vote_by_way_of_others() {
    let (mut region, paths) = region_with_paths();
    let leader = start(&mut region);
    let (lost, started) = lose_disk_without_leader(&mut region, &paths, leader);
    let joined = time_to_vote(&region, lost, started);
    println!("joined after {joined:?}");
    assert!(joined <= VOTE_TIME, "joined after {joined:?}{}", membership_lines(&region));
    eventually("five members", || is_whole(&region).then_some(()));
}

/// The same where the disk of the VM is slow: it had its vote only after some thirteen syncs, one after the other.
#[test]
fn a_vm_with_an_empty_slow_disk_gets_its_vote_by_way_of_others() {
    let folder = tempfile::tempdir().expect("a folder");
    let library = build_recorder(folder.path());
    let delay = |i: usize| folder.path().join(format!("delay-{i}"));
    let (mut region, paths) = region_with_paths();
    for i in 0..5 {
        region.set_variables(i, vec![("LD_PRELOAD", library.clone()), ("SYNC_DELAY", delay(i))]);
    }
    let leader = start(&mut region);
    fs::write(delay((leader + 1) % 5), SLOW_SYNC_MS.to_string()).expect("written");
    let (lost, started) = lose_disk_without_leader(&mut region, &paths, leader);
    let joined = time_to_vote(&region, lost, started);
    println!("joined after {joined:?}, with syncs of {SLOW_SYNC_MS} ms");
    assert!(joined <= VOTE_TIME, "joined after {joined:?}{}", membership_lines(&region));
}

/// The same where connections to the leader are accepted, and nothing is answered on them: an attempt to connect
/// goes on for seconds, and hasn't failed until then.
#[test]
fn a_vm_with_an_empty_disk_gets_its_vote_although_the_leader_accepts_its_connections_only() {
    let (mut region, _paths) = region_with_paths();
    let leader = start(&mut region);
    let lost = (leader + 1) % 5;
    region.kill(lost);
    region.lose_disk(lost);
    let mute = TcpListener::bind("127.0.0.2:0").expect("a free port");
    let to_leader = (region.links_address(leader), mute.local_addr().expect("an address"));
    region.set_routes(lost, Routes::from([to_leader]));
    thread::sleep(RESTART_PAUSE);
    region.start(lost, false);
    let started = Instant::now();
    let joined = time_to_vote(&region, lost, started);
    println!("joined after {joined:?}, with a mute path to the leader");
    assert!(joined <= VOTE_TIME, "joined after {joined:?}{}", membership_lines(&region));
}
