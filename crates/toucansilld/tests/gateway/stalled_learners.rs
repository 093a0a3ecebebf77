//! Tests of VMs that have lost their disks and don't catch up, as their paths or disks are too slow.
//! Two further disks may be lost from four seconds after their start on.

use crate::{
    Region,
    absences::lines_without_leader,
    durable_names::build_recorder,
    exchanges::{
        CATCH_UP_TIME, RECOVERY_TIME, SUCCESSOR, SUCCESSOR_DELAY, membership_lines, start_five,
    },
    region::{POLL_INTERVAL, Routes, eventually},
    version,
};
use fake::FaultProxy;
use platform::stand_in::{DOCUMENT_PATH, document, document_with_prefixes};
use std::{
    collections::BTreeMap,
    fs,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

/// Time from the start of a VM until it is no longer held up.
const STALL_TIME: Duration = Duration::from_secs(8);
/// Time within which a change has to be acknowledged.
const ACKNOWLEDGED_TIME: Duration = Duration::from_secs(5);
/// What each sync of a slow disk takes, in milliseconds.
const SLOW_SYNC_MS: u64 = 2_500;
/// Bytes per second of a connection on a squeezed link.
const SQUEEZED_RATE: u64 = 4_000;
/// Routes of a document that takes longer than [`STALL_TIME`] on such a connection.
const MANY_ROUTES: usize = 2_000;

/// When VMs begin to be held up.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Since {
    /// At their start.
    Start,
    /// Once a daemon accepts links, which may be before it has an id and a log on its disk.
    Listening,
    /// Once a daemon has an id and a log on its disk, and so asks to join.
    Opened,
    /// Once the leader has added one of them as a learner.
    Learner,
}

/// Which two disks are lost later.
#[derive(Clone, Copy)]
enum Lost {
    /// Those of the leader and of a follower.
    WithLeader,
    /// Those of two followers.
    Followers,
    /// Those of a follower and of the last one that was held up.
    WithLastStalled,
}

/// End of an id, by which lines name members.
fn short_name(id: &str) -> &str {
    let id = id.trim();
    &id[id.len().saturating_sub(4)..]
}

/// Links between the control daemons, by the one that connects and the one that accepts, each through
/// a proxy of its own.
struct Paths(BTreeMap<(usize, usize), FaultProxy>);

impl Paths {
    /// Leads the links of the daemons up to the successor through proxies, before their start.
    fn start(region: &mut Region) -> Self {
        let mut proxies = BTreeMap::new();
        for from in 0..=SUCCESSOR {
            let mut routes = Routes::new();
            for to in (0..=SUCCESSOR).filter(|to| *to != from) {
                let links = region.links_address(to);
                let proxy = FaultProxy::start(links).expect("a free port");
                routes.insert(links, proxy.address());
                proxies.insert((from, to), proxy);
            }
            region.set_routes(from, routes);
        }
        Self(proxies)
    }

    /// Both directions between two VMs.
    fn between(&self, a: usize, b: usize) -> [&FaultProxy; 2] {
        [&self.0[&(a, b)], &self.0[&(b, a)]]
    }

    /// Drops all bytes between two VMs; no connection is reset.
    fn silence(&self, a: usize, b: usize) {
        for proxy in self.between(a, b) {
            proxy.hang_new().expect("the port is kept");
            proxy.silence();
        }
    }

    /// Limits what passes from and to a VM.
    fn squeeze(&self, i: usize) {
        let links = self.0.iter().filter(|((from, to), _)| [from, to].contains(&&i));
        links.for_each(|(_, proxy)| proxy.set_rate(SQUEEZED_RATE));
    }

    /// Ends all faults. Connections that were silent are reset.
    fn restore(&self) {
        for proxy in self.0.values() {
            proxy.set_rate(0);
            proxy.open().expect("the port is kept");
            proxy.cut();
        }
    }
}

/// A group of five that has a document, with its links.
struct Group {
    region: Region,
    paths: Paths,
    leader: usize,
    /// The others.
    followers: [usize; 4],
    /// Seeds of daemons that don't have all others as theirs.
    seeds: BTreeMap<usize, Vec<usize>>,
}

impl Group {
    fn start() -> Self {
        let mut region = Region::new(SUCCESSOR + 1);
        let paths = Paths::start(&mut region);
        let leader = start_five(&mut region);
        let followers = [1, 2, 3, 4].map(|n| (leader + n) % 5);
        Self { region, paths, leader, followers, seeds: BTreeMap::new() }
    }

    /// Starts daemon `i` with all others as its seeds, or with those that are set.
    fn start_with_seeds(&mut self, i: usize) {
        let others = || (0..=SUCCESSOR).filter(|other| *other != i).collect();
        let others = self.seeds.get(&i).cloned().unwrap_or_else(others);
        let address = |i| self.region.control_address(i).parse().expect("an address");
        let seeds = others.into_iter().map(address).collect();
        self.region.set_seeds(i, seeds);
        self.region.start(i, false);
    }

    /// Whether daemon `i`, whose disk was empty, has opened the log of its present id.
    fn has_opened_log(&self, i: usize) -> bool {
        let Some(id) = self.region.stored_id(i) else { return false };
        self.region.log(i).contains(&format!("empty disk, starts as {}", short_name(&id)))
    }

    /// Whether a leader has added daemon `i` as a learner since its start.
    fn is_learner(&self, i: usize) -> bool {
        let Some(id) = self.region.stored_id(i) else { return false };
        let added = format!("AddLearner({})", id.trim());
        (0..5).any(|i| self.region.log(i).contains(&added))
    }

    /// Ends VMs, whose disks are lost, and starts others, or the same again. `stall` holds these up until
    /// `release`. Two further disks are lost meanwhile, right after a document is acknowledged, which must
    /// be read later.
    fn check(
        mut self,
        ended: &[usize],
        started: &[usize],
        since: Since,
        lost: Lost,
        stall: impl Fn(&Self),
        release: impl FnOnce(&Self),
    ) {
        for i in ended {
            self.region.kill(*i);
            self.region.lose_disk(*i);
        }
        thread::sleep(SUCCESSOR_DELAY);
        if since == Since::Start {
            stall(&self);
        }
        started.iter().for_each(|i| self.start_with_seeds(*i));
        let begun = Instant::now();
        let is_due = |i: &usize| match since {
            Since::Start => true,
            Since::Listening => TcpStream::connect(self.region.links_address(*i)).is_ok(),
            Since::Opened => self.has_opened_log(*i),
            Since::Learner => self.is_learner(*i),
        };
        eventually("a daemon", || started.iter().any(is_due).then_some(()));
        if since != Since::Start {
            stall(&self);
        }
        thread::sleep(CATCH_UP_TIME.saturating_sub(begun.elapsed()));
        let others: Vec<usize> =
            self.followers.iter().copied().filter(|i| !ended.contains(i)).collect();
        let lost = match lost {
            Lost::WithLeader => [self.leader, others[0]],
            Lost::Followers => [others[0], others[1]],
            Lost::WithLastStalled => [others[0], *started.last().expect("one")],
        };
        let body = document(7, "/x/", "s1");
        let sent = Instant::now();
        let mut responses = String::new();
        eventually("an acknowledgement", || {
            let response = self.region.control_request(self.leader, "PUT", DOCUMENT_PATH, &body);
            responses += &format!("\n{:?}: {response:?}", sent.elapsed());
            response.filter(|(status, _)| *status == 200)
        });
        let waited = sent.elapsed();
        let lines = || membership_lines(&self.region);
        assert!(waited < ACKNOWLEDGED_TIME, "acknowledged after {waited:?}{responses}{}", lines());
        lost.iter().for_each(|i| self.region.kill(*i));
        for i in lost {
            self.region.lose_disk(i);
            self.start_with_seeds(i);
        }
        thread::sleep(STALL_TIME.saturating_sub(begun.elapsed()));
        release(&self);
        let members: Vec<usize> =
            [self.leader].into_iter().chain(others).chain(started.iter().copied()).collect();
        self.check_document_is_read(&members, started, lost);
    }

    /// The last document must be read from one of these members.
    fn check_document_is_read(&mut self, members: &[usize], started: &[usize], lost: [usize; 2]) {
        let released = Instant::now();
        let region = &mut self.region;
        let body = loop {
            region.restart_ended_of(members);
            let mut responses =
                members.iter().filter_map(|i| region.control_request(*i, "GET", DOCUMENT_PATH, ""));
            if let Some((_, body)) = responses.find(|(status, _)| *status == 200) {
                break body;
            }
            assert!(
                released.elapsed() < RECOVERY_TIME,
                "no document; leader {}, held up {started:?}, lost {lost:?}{}{}",
                self.leader,
                membership_lines(region),
                lines_without_leader(region, members)
            );
            thread::sleep(POLL_INTERVAL);
        };
        assert_eq!(version(&body), 7);
    }

    /// A VM loses its disk, and its path to the leader is silent.
    fn check_silent_path(self, since: Since, lost: Lost) {
        let wiped = self.followers[0];
        let silence = |group: &Self| group.paths.silence(group.leader, wiped);
        self.check(&[wiped], &[wiped], since, lost, silence, |group| group.paths.restore());
    }

    /// Two VMs lose their disks. `silent` picks those whose paths to the leader are silent.
    fn check_two_at_once(
        self,
        since: Since,
        lost: Lost,
        silent: impl Fn(&Self, [usize; 2]) -> Vec<usize>,
    ) {
        let wiped = [self.followers[0], self.followers[1]];
        let silence = |group: &Self| {
            silent(group, wiped).iter().for_each(|i| group.paths.silence(group.leader, *i));
        };
        self.check(&wiped, &wiped, since, lost, silence, |group| group.paths.restore());
    }

    /// A VM loses its disk, and the syncs of the next one are slow.
    fn check_slow_disk(mut self, since: Since, lost: Lost) {
        let folder = tempfile::tempdir().expect("a folder");
        let (library, delay) = (build_recorder(folder.path()), folder.path().join("delay"));
        let wiped = self.followers[0];
        let variables = vec![("LD_PRELOAD", library), ("SYNC_DELAY", delay.clone())];
        self.region.set_variables(wiped, variables);
        let slow_down = |_: &Self| fs::write(&delay, SLOW_SYNC_MS.to_string()).expect("written");
        let speed_up = |group: &Self| {
            if let (Lost::Followers, Since::Opened) = (lost, since) {
                group.check_wait_is_logged(wiped);
            }
            fs::remove_file(&delay).expect("removed");
        };
        self.check(&[wiped], &[wiped], since, lost, slow_down, speed_up);
    }

    /// The leader's lines must say that a learner has no vote, and later that it has one or is gone.
    fn check_wait_is_logged(&self, learner: usize) {
        let id = self.region.stored_id(learner).expect("an id");
        let (log, name) = (self.region.log(self.leader), short_name(&id));
        let tells = |line: &str| line.contains("no vote for ") && line.contains(name);
        assert!(log.lines().any(tells), "no line of {name} in {log}");
    }

    /// A VM loses its disk, and its links are squeezed while it has to get a large document.
    fn check_squeezed_links(self, since: Since, lost: Lost) {
        // The log holds it compressed.
        let prefix = |_| format!("/{:032x}{:032x}/", fastrand::u128(..), fastrand::u128(..));
        let prefixes: Vec<String> = (0..MANY_ROUTES).map(prefix).collect();
        let body = document_with_prefixes(2, &prefixes, "s1");
        self.region.control_request_until_ok(self.leader, "PUT", DOCUMENT_PATH, &body);
        let wiped = self.followers[0];
        let squeeze = |group: &Self| group.paths.squeeze(wiped);
        self.check(&[wiped], &[wiped], since, lost, squeeze, |group| group.paths.restore());
    }
}

/// The group had no leader any more: the learner heard nothing from the leader, and its lost predecessor counted as a voter.
#[test]
fn two_disks_may_be_lost_while_the_path_of_a_wiped_vm_to_the_leader_is_silent() {
    Group::start().check_silent_path(Since::Start, Lost::Followers);
}

/// The same where the leader is among those that lose their disks.
#[test]
fn the_leader_may_lose_its_disk_while_its_path_to_a_wiped_vm_is_silent() {
    Group::start().check_silent_path(Since::Start, Lost::WithLeader);
}

/// The same where the leader knew the learner before.
#[test]
fn two_disks_may_be_lost_while_the_path_of_a_learner_to_the_leader_is_silent() {
    Group::start().check_silent_path(Since::Learner, Lost::Followers);
}

/// The same where the leader is among those that lose their disks.
#[test]
fn the_leader_may_lose_its_disk_while_its_path_to_a_learner_is_silent() {
    Group::start().check_silent_path(Since::Learner, Lost::WithLeader);
}

/// Of two VMs that were wiped at once, one reached neither the leader nor, at first, any other member: its
/// lost predecessor counted for good, as the leader took the process at its address for it.
#[test]
fn two_disks_may_be_lost_after_two_while_a_wiped_vm_knows_only_the_leader_and_the_other_one() {
    let mut group = Group::start();
    let [first, second, ..] = group.followers;
    group.seeds.insert(first, vec![group.leader, second]);
    group.check_two_at_once(Since::Start, Lost::WithLastStalled, |_, wiped| wiped.to_vec());
}

/// The same with a learner that is heard, and whose disk is slow.
#[test]
fn two_disks_may_be_lost_while_the_disk_of_a_learner_is_slow() {
    Group::start().check_slow_disk(Since::Opened, Lost::Followers);
}

/// The same with a disk that is slow before the learner has an id.
#[test]
fn two_disks_may_be_lost_while_the_disk_of_a_wiped_vm_is_slow() {
    Group::start().check_slow_disk(Since::Start, Lost::Followers);
}

/// The same where the leader is among those that lose their disks.
#[test]
fn the_leader_may_lose_its_disk_while_that_of_a_learner_is_slow() {
    Group::start().check_slow_disk(Since::Opened, Lost::WithLeader);
}

/// The same with links on which the log takes too long.
#[test]
fn two_disks_may_be_lost_while_the_links_of_a_wiped_vm_are_squeezed() {
    Group::start().check_squeezed_links(Since::Start, Lost::Followers);
}

/// The same where the leader is among those that lose their disks, and knew the learner before.
#[test]
fn the_leader_may_lose_its_disk_while_the_links_of_a_learner_are_squeezed() {
    Group::start().check_squeezed_links(Since::Listening, Lost::WithLeader);
}

/// Two disks were lost at once, and the leader never learnt of the loss of the one whose path was silent.
#[test]
fn two_disks_may_be_lost_after_two_while_one_path_to_the_leader_is_silent() {
    Group::start().check_two_at_once(Since::Start, Lost::Followers, |_, [first, _]| vec![first]);
}

/// The same where the leader is among those that lose their disks.
#[test]
fn the_leader_may_lose_its_disk_after_two_while_one_path_to_it_is_silent() {
    Group::start().check_two_at_once(Since::Start, Lost::WithLeader, |_, [first, _]| vec![first]);
}

/// The same with a path that falls silent while the other VM is a learner.
#[test]
fn two_disks_may_be_lost_after_two_while_one_path_falls_silent_beside_a_learner() {
    Group::start().check_two_at_once(Since::Learner, Lost::Followers, |group, [first, second]| {
        vec![if group.is_learner(first) { second } else { first }]
    });
}

/// The same with both paths silent.
#[test]
fn two_disks_may_be_lost_after_two_while_both_paths_to_the_leader_are_silent() {
    Group::start().check_two_at_once(Since::Start, Lost::Followers, |_, both| both.to_vec());
}

/// The same where the leader is among those that lose their disks.
#[test]
fn the_leader_may_lose_its_disk_after_two_while_both_paths_to_it_are_silent() {
    Group::start().check_two_at_once(Since::Start, Lost::WithLeader, |_, both| both.to_vec());
}

/// The successor of a VM that is gone got no vote: its requests to join didn't reach the leader.
#[test]
fn two_disks_may_be_lost_while_the_path_of_a_successor_to_the_leader_is_silent() {
    let group = Group::start();
    let gone = group.followers[0];
    let silence = |group: &Group| group.paths.silence(group.leader, SUCCESSOR);
    let restore = |group: &Group| group.paths.restore();
    group.check(&[gone], &[SUCCESSOR], Since::Start, Lost::Followers, silence, restore);
}

/// Guards against a group that doesn't bear the loss of two disks once a wiped VM that isn't held up has caught up.
#[test]
fn two_disks_may_be_lost_once_a_wiped_vm_has_caught_up() {
    let group = Group::start();
    let wiped = [group.followers[0]];
    group.check(&wiped, &wiped, Since::Start, Lost::WithLeader, |_| (), |_| ());
}

/// The same with two VMs that are wiped at once.
#[test]
fn two_disks_may_be_lost_once_two_wiped_vms_have_caught_up() {
    let group = Group::start();
    let wiped = [group.followers[0], group.followers[1]];
    group.check(&wiped, &wiped, Since::Start, Lost::WithLeader, |_| (), |_| ());
}

/// The same with a successor at another address.
#[test]
fn two_disks_may_be_lost_once_a_successor_has_caught_up() {
    let group = Group::start();
    let gone = group.followers[0];
    group.check(&[gone], &[SUCCESSOR], Since::Start, Lost::Followers, |_| (), |_| ());
}
