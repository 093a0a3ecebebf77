//! Daemons whose path to the leader is silent, while all other paths work: calls to them have to be served as at
//! those that reach the leader.

use crate::{
    Region,
    exchanges::{SUCCESSOR, membership_lines, start_five},
    region::{POLL_INTERVAL, Routes, eventually},
    relays::{DETECTION_TIME, Paths, region_with_paths, silence},
    version,
};
use fake::FaultProxy;
use platform::stand_in::{DOCUMENT_PATH, document};
use std::{
    env,
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

/// Time within which a daemon in calm has to be of service.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time within which a change has to be acknowledged.
const ACK_TIME: Duration = Duration::from_secs(4);
/// Time within which an acknowledged change has to be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Number of calls in a row that have to be answered in calm.
const CALL_COUNT: usize = 20;
/// Most of them that may be refused once, as a callers' second attempt is enough.
const MAX_REFUSED: usize = 2;
/// Time for which a view is watched. It may be no older than changes may take.
const WATCHED_TIME: Duration = Duration::from_secs(4);
/// Time after which a daemon uses a path again that works again.
const HEALING_TIME: Duration = Duration::from_secs(3);

/// Sends a control request until the status is 200, for `limit` at most. Returns the body and the time taken.
fn answered(
    region: &Region,
    i: usize,
    method: &str,
    body: &str,
    limit: Duration,
) -> (String, Duration) {
    let started = Instant::now();
    let mut last = None;
    while started.elapsed() < limit {
        last = region.control_request(i, method, DOCUMENT_PATH, body);
        match last {
            Some((200, body)) if started.elapsed() <= limit => return (body, started.elapsed()),
            _ => thread::sleep(POLL_INTERVAL),
        }
    }
    panic!("{method} at {i}: {last:?} after {limit:?}{}", lines(region));
}

/// What the control daemons have logged of members, leaders and requests that are passed on, and the entry of the
/// latter two.
fn lines(region: &Region) -> String {
    const WORDS: [&str; 4] = ["passed on", "leader ", "unreachable", "no processor time"];
    let is_meant = |line: &&str| WORDS.iter().any(|word| line.contains(word));
    let logs = (0..=region.entry()).map(|i| (i, region.log(i)));
    let passed: String = logs
        .flat_map(|(i, log)| {
            let passed = log.lines().filter(is_meant);
            passed.map(|line| format!("\n{i}: {line}")).collect::<Vec<_>>()
        })
        .collect();
    membership_lines(region) + &passed
}

/// Starts a group of five, and silences the path between its leader and another member. Returns their indices,
/// too.
fn start_with_silent_path() -> (Region, Paths, usize, usize) {
    let (mut region, paths) = region_with_paths();
    start_five(&mut region);
    let (leader, member) = silence_path_to_leader(&mut region, &paths, &[0, 1, 2, 3, 4]);
    (region, paths, leader, member)
}

/// Silences the path between the leader and another member, both of `among`. Returns their indices.
fn silence_path_to_leader(region: &mut Region, paths: &Paths, among: &[usize]) -> (usize, usize) {
    let next =
        |leader| among[(among.iter().position(|i| *i == leader).expect("one") + 1) % among.len()];
    let open = |path: (usize, usize)| paths[&path].open().expect("the port is kept");
    let leader = silence_leader(region, among, |leader, is_silent| match is_silent {
        true => silence(paths, leader, next(leader)),
        false => [(leader, next(leader)), (next(leader), leader)].into_iter().for_each(open),
    });
    (leader, next(leader))
}

/// Has `set` silence a path to the leader, one of `among`, until that has been noticed and the same one still leads: on
/// a busy computer another one may do so meanwhile. Returns its index.
fn silence_leader(region: &mut Region, among: &[usize], set: impl Fn(usize, bool)) -> usize {
    loop {
        let leader = region.await_leader(5);
        if !among.contains(&leader) {
            region.stop(leader);
            region.start(leader, false);
            continue;
        }
        set(leader, true);
        thread::sleep(DETECTION_TIME);
        if region.leads(leader) {
            return leader;
        }
        println!("{leader} leads no more");
        set(leader, false);
    }
}

/// Guards against a member that answers reads of the configuration with 503 for as long as its path to the leader is
/// silent.
#[test]
fn a_member_returns_the_newest_document_without_a_path_to_the_leader() {
    let (region, _paths, leader, member) = start_with_silent_path();
    region.control_request_until_ok(leader, "PUT", DOCUMENT_PATH, &document(7, "/x/", "s1"));
    let (body, taken) = answered(&region, member, "GET", "", CONTACT_TIME);
    println!("read after {taken:?}");
    assert_eq!(version(&body), 7);
    let get = || region.control_request(member, "GET", DOCUMENT_PATH, "");
    let answers: Vec<_> = (0..CALL_COUNT).map(|_| get()).collect();
    let read: Vec<u64> =
        answers.iter().flatten().filter(|(s, _)| *s == 200).map(|(_, b)| version(b)).collect();
    assert!(read.len() + MAX_REFUSED >= CALL_COUNT, "{answers:?}{}", lines(&region));
    assert!(read.iter().all(|version| *version == 7), "{read:?}");
}

/// Guards against a member that acknowledges no change for as long as its path to the leader is silent.
#[test]
fn a_member_acknowledges_changes_without_a_path_to_the_leader() {
    let (region, _paths, leader, member) = start_with_silent_path();
    for number in [7, 8, 9] {
        let body = document(number, "/x/", "s1");
        let (_, taken) = answered(&region, member, "PUT", &body, ACK_TIME);
        println!("acknowledged after {taken:?}");
        let (body, _) = answered(&region, leader, "GET", "", CONTACT_TIME);
        assert_eq!(version(&body), number);
    }
}

/// Guards against a member that goes on with an old view for as long as its path to the leader is silent.
#[test]
fn a_member_follows_a_leader_that_it_does_not_reach() {
    let (region, _paths, _leader, member) = start_with_silent_path();
    assert_follows(&region, member);
}

/// Checks that the view of a daemon is never old for a time.
fn assert_follows(region: &Region, i: usize) {
    let started = Instant::now();
    while started.elapsed() < WATCHED_TIME {
        let age = region.view_age(i);
        assert!(
            age <= APPLY_TIME,
            "the view of {i} is {age:?} old, {:?} after{}",
            started.elapsed(),
            lines(region)
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Guards against a planned leave that the leader doesn't learn of, as only the path between the two is silent: the
/// group goes on counting a vote that is never cast.
#[test]
fn a_member_leaves_as_planned_without_a_path_to_the_leader() {
    let (mut region, _paths, _leader, member) = start_with_silent_path();
    region.start(SUCCESSOR, false);
    region.await_members(6);
    region.stop(member);
    let stopped = Instant::now();
    let has_left = region.log(member).contains("it has left the group");
    assert!(has_left, "the member stopped, and did not leave{}", lines(&region));
    region.await_members(5);
    println!("five members {:?} after the end of the process", stopped.elapsed());
    assert!(stopped.elapsed() <= CONTACT_TIME, "{}", lines(&region));
}

/// Guards against an entry that follows no leader for as long as its path to it is silent, and against one that
/// doesn't use that path again once it works.
#[test]
fn an_entry_follows_a_leader_that_it_does_not_reach() {
    let mut region = Region::new(SUCCESSOR + 1);
    let entry = region.entry();
    let start_proxy = |i: usize| FaultProxy::start(region.links_address(i)).expect("a free port");
    let proxies: Vec<FaultProxy> = (0..5).map(start_proxy).collect();
    let addresses = (0..5).map(|i| region.links_address(i));
    let routes: Routes = addresses.zip(proxies.iter().map(FaultProxy::address)).collect();
    region.set_routes(entry, routes);
    start_five(&mut region);
    region.start(entry, false);
    eventually("the entry is ready", || region.is_ready(entry).then_some(()));
    let set = |i: usize, is_silent| match is_silent {
        true => proxies[i].hang().expect("the port is kept"),
        false => proxies[i].open().expect("the port is kept"),
    };
    let leader = silence_leader(&mut region, &[0, 1, 2, 3, 4], set);
    assert_follows(&region, entry);
    // Without an upstream the request is refused, and with the former document it has no route.
    region.control_request_until_ok(leader, "PUT", DOCUMENT_PATH, &document(7, "/y/", "s1"));
    thread::sleep(APPLY_TIME);
    assert_eq!(region.request("/y/").expect("a response").0, 503);

    set(leader, false);
    thread::sleep(HEALING_TIME);
    assert!(proxies[leader].connections() > 0, "the path isn't used again{}", lines(&region));
}

/// Guards against members of an earlier build in the middle: what they don't know must not keep the others from passing
/// requests on, and it has to be logged that they don't. `UPGRADE_FROM` names the program of that build.
#[test]
fn requests_are_passed_on_beside_an_earlier_build() {
    let Some(earlier) = env::var_os("UPGRADE_FROM").map(PathBuf::from) else {
        return println!("not run: UPGRADE_FROM names no earlier build");
    };
    let (mut region, paths) = region_with_paths();
    for i in [0, 1] {
        region.set_routes(i, Routes::new());
        region.set_build(i, Some(&earlier));
    }
    start_five(&mut region);
    let (leader, member) = silence_path_to_leader(&mut region, &paths, &[2, 3, 4]);
    let third = [2, 3, 4].into_iter().find(|i| ![leader, member].contains(i)).expect("one");
    region.control_request_until_ok(leader, "PUT", DOCUMENT_PATH, &document(7, "/x/", "s1"));
    let (body, taken) = answered(&region, member, "GET", "", CONTACT_TIME);
    println!("read after {taken:?}");
    assert_eq!(version(&body), 7);
    let is_refusal =
        |line: &str| line.contains("request not passed on by") && line.contains("refused by");
    let has_refusal = region.log(member).lines().any(is_refusal);
    assert!(has_refusal, "no line says that an earlier build refuses{}", lines(&region));

    // The other members can't pass anything on: as before, the member isn't of service, and says why.
    region.kill(third);
    thread::sleep(DETECTION_TIME);
    let answer = region.control_request(member, "GET", DOCUMENT_PATH, "").expect("an answer");
    assert!(region.leads(leader), "another member leads: nothing was tested{}", lines(&region));
    assert_eq!(answer.0, 503, "{answer:?}");
    assert!(answer.1.contains("the leader did not answer"), "{answer:?}");
}
