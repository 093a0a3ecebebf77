//! Randomised soak test of the control group alone: its members are killed, frozen, stopped, replaced and
//! added, and lose their disks, one fault into the other, while operators publish documents. At the end of
//! each run all members are killed, or two lose their disks while the others are killed.
//!
//! No more disks are lost than the group tolerates, until it has all its members again. The newest
//! acknowledged document must then be read within the time that a region has to recover.
//!
//! `SOAK_BUILD` names the program of another build to run instead of this one's.

use crate::{
    region::Region,
    world::{publish_version, read_version_within_a_second},
};
use std::{
    env,
    path::Path,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

/// Members that the group should have, and disks that may be lost at once.
const MEMBERS: usize = 5;
const TOLERATED_LOSSES: usize = 2;
/// Machines, of which only some run at a time. Each is used once.
const MACHINES: usize = 12;
/// Time from the return of the last machine until the region must have recovered, and until a machine with an
/// empty disk no longer counts as lost.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// Time for which the document is read afterwards.
const READ_TIME: Duration = Duration::from_secs(5);
/// Interval at which machines whose processes have ended by themselves are started again.
const RESTART_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    KillAll,
    Freeze,
    Restart,
    LoseDisk,
    /// A machine is gone for good, and another one comes.
    Replace,
    /// The other one comes first.
    ReplaceAsPlanned,
    Add,
    Pause,
}

const FAULTS: [Fault; 9] = [
    Fault::Kill,
    Fault::KillAll,
    Fault::Freeze,
    Fault::Restart,
    Fault::LoseDisk,
    Fault::Replace,
    Fault::ReplaceAsPlanned,
    Fault::Add,
    Fault::Pause,
];

/// Machines of one run.
struct Machines {
    region: Region,
    /// Those that run or come back.
    present: Vec<usize>,
    /// Those that are frozen, with the time at which they wake.
    frozen: Vec<(usize, Instant)>,
    /// Those that start again, with the time.
    down: Vec<(usize, Instant)>,
    /// Next machine that has not been used.
    next: usize,
    /// Disks lost since the group was last complete, and when the last machine came back without one.
    lost_disks: usize,
    last_loss: Instant,
}

impl Machines {
    fn start() -> Self {
        let mut region = Region::with_entries(MACHINES, 0);
        region.set_tolerated_losses(TOLERATED_LOSSES);
        if let Some(build) = env::var_os("SOAK_BUILD") {
            (0..MACHINES).for_each(|i| region.set_build(i, Some(Path::new(&build))));
        }
        (0..MEMBERS).for_each(|i| region.start(i, true));
        region.await_members(MEMBERS);
        let present = (0..MEMBERS).collect();
        let (frozen, down) = (Vec::new(), Vec::new());
        Self {
            region,
            present,
            frozen,
            down,
            next: MEMBERS,
            lost_disks: 0,
            last_loss: Instant::now(),
        }
    }

    /// Passes the time, in which machines wake and start again.
    fn pass(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            let now = Instant::now();
            let (awake, frozen) = self.frozen.iter().partition(|(_, at)| *at <= now);
            self.frozen = frozen;
            let awake: Vec<(usize, Instant)> = awake;
            awake.iter().for_each(|(i, _)| self.region.signal(*i, "-CONT"));
            let (back, down) = self.down.iter().partition(|(_, at)| *at <= now);
            self.down = down;
            let back: Vec<(usize, Instant)> = back;
            back.iter().for_each(|(i, _)| self.region.start(*i, false));
            let running: Vec<usize> = self.running();
            self.region.restart_ended_of(&running);
            if self.lost_disks > 0 && self.last_loss.elapsed() > CATCH_UP_TIME && self.is_complete()
            {
                self.lost_disks = 0;
            }
            if now >= until {
                return;
            }
            thread::sleep(RESTART_INTERVAL.min(until - now));
        }
    }

    /// Whether the group has at least its members, all of which the leader hears.
    fn is_complete(&self) -> bool {
        self.down.is_empty()
            && self.frozen.is_empty()
            && (MEMBERS..=self.present.len()).any(|count| self.region.is_group(count, count))
    }

    /// Machines that are neither frozen nor down.
    fn running(&self) -> Vec<usize> {
        let is_away = |i: &usize| self.frozen.iter().chain(&self.down).any(|(away, _)| away == i);
        self.present.iter().copied().filter(|i| !is_away(i)).collect()
    }

    fn inject(&mut self, fault: Fault, rng: &mut fastrand::Rng) {
        let running = self.running();
        let Some(i) = rng.choice(running).or(self.present.first().copied()) else { return };
        if !self.running().contains(&i) {
            return;
        }
        let later = |rng: &mut fastrand::Rng, max_ms| {
            Instant::now() + Duration::from_millis(rng.u64(100..max_ms))
        };
        match fault {
            Fault::Pause => {}
            Fault::Kill => {
                self.region.kill(i);
                self.down.push((i, later(rng, 3_500)));
            }
            Fault::KillAll => {
                let at = later(rng, 1_000);
                for i in self.running() {
                    self.region.kill(i);
                    self.down.push((i, at));
                }
            }
            Fault::Freeze => {
                self.region.signal(i, "-STOP");
                self.frozen.push((i, later(rng, 4_000)));
            }
            Fault::Restart => {
                self.region.stop(i);
                self.down.push((i, later(rng, 1_000)));
            }
            Fault::LoseDisk if self.may_lose_disk() => {
                self.lose_disk(i);
                self.down.push((i, later(rng, 1_500)));
            }
            Fault::Replace if self.may_lose_disk() && self.next < MACHINES => {
                self.lose_disk(i);
                self.present.retain(|other| *other != i);
                let at = later(rng, 1_500);
                self.add(at);
            }
            Fault::ReplaceAsPlanned
                if self.lost_disks == 0 && self.next < MACHINES && self.is_complete() =>
            {
                self.add(Instant::now());
                self.pass(CATCH_UP_TIME + Duration::from_millis(rng.u64(0..2_000)));
                if self.running().contains(&i) {
                    self.region.stop(i);
                    self.present.retain(|other| *other != i);
                }
            }
            Fault::Add if self.next < MACHINES && self.present.len() <= MEMBERS => {
                self.add(Instant::now());
            }
            Fault::LoseDisk | Fault::Replace | Fault::ReplaceAsPlanned | Fault::Add => {}
        }
    }

    fn may_lose_disk(&self) -> bool {
        self.lost_disks < TOLERATED_LOSSES
    }

    fn lose_disk(&mut self, i: usize) {
        self.region.kill(i);
        self.region.lose_disk(i);
        self.lost_disks += 1;
        self.last_loss = Instant::now();
    }

    /// Adds a machine that starts with an empty disk at this time.
    fn add(&mut self, at: Instant) {
        self.present.push(self.next);
        self.down.push((self.next, at));
        self.next += 1;
    }

    /// The final fault: all are killed at the same time, and as many as are left to lose lose their disks.
    fn end(&mut self, rng: &mut fastrand::Rng) {
        let wipes = if rng.bool() { TOLERATED_LOSSES - self.lost_disks } else { 0 };
        let mut running = self.running();
        rng.shuffle(&mut running);
        for i in running.iter().copied() {
            self.region.kill(i);
            self.down.push((i, Instant::now() + Duration::from_millis(rng.u64(200..2_000))));
        }
        running.iter().take(wipes).for_each(|i| self.region.lose_disk(*i));
        while !self.down.is_empty() || !self.frozen.is_empty() {
            self.pass(RESTART_INTERVAL);
        }
    }

    /// Versions that are read at the members that are there.
    fn read(&self) -> Vec<u64> {
        let addresses = self.present.iter().map(|i| self.region.control_address(*i));
        addresses.filter_map(|address| read_version_within_a_second(&address)).collect()
    }
}

/// Runs one seed, with this number of faults.
pub(crate) fn run(seed: u64, faults: usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut machines = Machines::start();
    let addresses: Vec<String> =
        (0..MACHINES).map(|i| machines.region.control_address(i)).collect();
    let (acknowledged, is_done) = (AtomicU64::new(0), AtomicBool::new(false));
    thread::scope(|scope| {
        let publisher = scope.spawn(|| publish(&addresses, &acknowledged, &is_done));
        while acknowledged.load(Ordering::SeqCst) == 0 {
            machines.pass(RESTART_INTERVAL);
        }
        for _ in 0..faults {
            let fault = FAULTS[rng.usize(0..FAULTS.len())];
            println!("  {fault:?}");
            machines.inject(fault, &mut rng);
            machines.pass(Duration::from_millis(rng.u64(50..1_500)));
        }
        is_done.store(true, Ordering::SeqCst);
        publisher.join().expect("the operator ends");
    });
    let version = acknowledged.load(Ordering::SeqCst);
    machines.end(&mut rng);
    machines.pass(RECOVERY_TIME);
    let since = Instant::now();
    let mut read = Vec::new();
    while read.is_empty() && since.elapsed() < READ_TIME {
        read = machines.read();
        machines.pass(RESTART_INTERVAL);
    }
    if read.is_empty() || read.iter().any(|read| *read < version) {
        for i in 0..MACHINES {
            let log = machines.region.log(i);
            let lines = log.lines().filter(|line| line.contains("WARN") || line.contains("member"));
            let lines: Vec<&str> = lines.collect();
            println!("machine {i}:");
            lines.iter().skip(lines.len().saturating_sub(60)).for_each(|line| println!("{line}"));
        }
        panic!("seed {seed}: read {read:?}, acknowledged {version}");
    }
    println!("  {version} acknowledged, read {read:?}");
}

/// Publishes documents with rising versions, one at a time, at one member after the other.
fn publish(addresses: &[String], acknowledged: &AtomicU64, is_done: &AtomicBool) {
    let mut turn = 0;
    for version in 1.. {
        while !publish_version(&addresses[turn % addresses.len()], version) {
            turn += 1;
            if is_done.load(Ordering::SeqCst) {
                return;
            }
        }
        acknowledged.store(version, Ordering::SeqCst);
        if is_done.load(Ordering::SeqCst) {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
}
