//! Randomised soak test of a whole deployment: the control group with its spares, entries, upstreams that
//! register, callers on connections that they keep open, and an operator that publishes and reads documents.
//! `SOAK_SECONDS` sets the length of a run. `SOAK_LOGS` names a folder for the logs of runs that fail.
//!
//! Faults overlap. VMs may be frozen, killed, dark or cut off in any number, but at each time no more disks
//! may be lost than the group tolerates. The disk of a VM, or a VM that is gone for good, counts as lost until
//! its successor has run for [`CATCH_UP_TIME`] without being cut off: more than half of the VMs with disks, lost
//! ones included, are in touch with each other, and the successor is in touch with so many of them that they are
//! more than half of those whose disks aren't lost. So the path to any one VM, also to the leader, may be silent.
//!
//! The newest acknowledged document must be read within [`RECOVERY_TIME`] of the end of the faults, in the
//! middle of the run and after a final fault, and [`Changes`] never reads an older one than those in force.

use crate::{
    changes::Changes,
    faults::{ABSENCES, FAULTS, Fault, OLD_ABSENCES, OLD_FAULTS, OTHERS, SILENT_LOSSES},
    links::{Links, Reach},
    region::{Region, eventually},
    world::{Callers, Upstreams, lock},
};
use std::{
    env, fmt, fs,
    path::Path,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// VMs that found the group, and those with a disk in all.
const FOUNDERS: usize = 5;
pub(crate) const CONTROLS: usize = 8;
const SPARES: usize = CONTROLS - FOUNDERS;
pub(crate) const ENTRIES: usize = 8;
/// Upstreams besides the two of [`Notices`](crate::notices::Notices).
const UPSTREAMS: usize = 19;
const CALLERS: usize = 8;
pub(crate) const TOLERATED_LOSSES: usize = 2;
/// Data centres of the control daemons and of the entries.
const CONTROL_PLACES: [&str; CONTROLS] = ["a", "a", "b", "b", "c", "a", "b", "c"];
const ENTRY_PLACES: [&str; ENTRIES] = ["a", "a", "a", "b", "b", "b", "c", "c"];
/// Number of seeds in the settings.
const SEEDS: usize = 3;
pub(crate) const STOP_MS: u64 = 8_000;
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time within which a change must be acknowledged once no further faults are injected.
const ACKNOWLEDGED_TIME: Duration = Duration::from_secs(40);
/// Seeds below this one run without silent paths, so that they give the same sequence as before.
const FIRST_SEED_OF_SILENT_PATHS: u64 = 4_000;
/// Interval at which VMs come back and links are cut and healed.
const TICK: Duration = Duration::from_millis(50);
/// Pause between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Number of last lines of a log that a failing run prints.
const REPORTED_LINES: usize = 80;

pub(crate) type Result<T> = std::result::Result<T, String>;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    Unused,
    Up,
    Frozen,
    Down,
    /// It has got SIGTERM, and starts again.
    Stopping,
    /// It has got SIGTERM, and is gone then.
    Leaving,
    Gone,
}

#[derive(Clone, Copy)]
pub(crate) struct Vm {
    pub(crate) state: State,
    /// When it comes back, or has to have ended.
    pub(crate) until: Instant,
    /// Whether its links hang.
    is_dark: bool,
}

/// Why a VM has an empty disk.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Cause {
    Loss,
    Addition,
    /// It comes before this one leaves.
    Exchange(usize),
}

/// VM that started with an empty disk, and since when it could get the document.
struct CatchUp {
    vm: usize,
    cause: Cause,
    since: Option<Instant>,
}

pub(crate) struct Deployment {
    pub(crate) region: Region,
    pub(crate) rng: fastrand::Rng,
    started: Instant,
    /// Control daemons, then entries.
    pub(crate) vms: Vec<Vm>,
    /// Spares kept for VMs that are gone just before disks are lost.
    kept_spares: usize,
    pub(crate) links: Links,
    catching_up: Vec<CatchUp>,
    has_silent_paths: bool,
}

impl Deployment {
    fn start(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut region = Region::with_entries(CONTROLS, ENTRIES);
        region.set_tolerated_losses(TOLERATED_LOSSES);
        region.set_stop_ms(STOP_MS);
        region.set_more_bounds(", recover_ms: 12000");
        let places = CONTROL_PLACES.iter().chain(&ENTRY_PLACES).enumerate();
        places.for_each(|(i, place)| region.set_data_centre(i, place));
        let links = Links::start(&mut region, CONTROLS, ENTRIES, rng.fork());
        let vm = |i| {
            let is_used = !(FOUNDERS..CONTROLS).contains(&i);
            let state = if is_used { State::Up } else { State::Unused };
            Vm { state, until: Instant::now(), is_dark: false }
        };
        let vms: Vec<Vm> = (0..CONTROLS + ENTRIES).map(vm).collect();
        (0..vms.len()).filter(|i| vms[*i].state == State::Up).for_each(|i| region.start(i, true));
        region.await_members(FOUNDERS);
        Self {
            region,
            rng,
            started: Instant::now(),
            vms,
            kept_spares: SPARES - 1,
            links,
            catching_up: Vec::new(),
            has_silent_paths: seed >= FIRST_SEED_OF_SILENT_PATHS,
        }
    }

    pub(crate) fn say(&self, event: impl fmt::Debug, vms: &[usize]) {
        let (time, lost) = (self.started.elapsed().as_secs_f64(), self.lost_disks());
        println!("  +{time:.1} {event:?} {vms:?}, {lost} disks lost");
    }

    /// Control VMs in one of these states.
    fn in_state(&self, states: &[State]) -> Vec<usize> {
        (0..CONTROLS).filter(|i| states.contains(&self.vms[*i].state)).collect()
    }

    /// Control VMs that run or come back.
    fn present(&self) -> Vec<usize> {
        let states = [State::Up, State::Frozen, State::Down, State::Stopping, State::Leaving];
        self.in_state(&states)
    }

    pub(crate) fn up(&self) -> Vec<usize> {
        self.in_state(&[State::Up])
    }

    /// Whether a VM has had the time to get the document.
    pub(crate) fn is_whole(&self, i: usize) -> bool {
        self.catching_up.iter().all(|catch_up| catch_up.vm != i)
    }

    pub(crate) fn lost_disks(&self) -> usize {
        self.catching_up.iter().filter(|catch_up| catch_up.cause == Cause::Loss).count()
    }

    pub(crate) fn soon(&mut self, ms: std::ops::Range<u64>) -> Instant {
        Instant::now() + Duration::from_millis(self.rng.u64(ms))
    }

    pub(crate) fn set(&mut self, i: usize, state: State, until: Instant, is_dark: bool) {
        self.vms[i] = Vm { state, until, is_dark };
    }

    fn start_vm(&mut self, i: usize) {
        let mut seeds = self.present();
        self.rng.shuffle(&mut seeds);
        let seeds = seeds.iter().take(SEEDS).map(|i| self.region.control_address(*i));
        let seeds = seeds.map(|address| address.parse().expect("an address")).collect();
        self.region.set_seeds(i, seeds);
        self.region.start(i, false);
        self.set(i, State::Up, Instant::now(), false);
    }

    pub(crate) fn kill(&mut self, i: usize, until: Instant, is_dark: bool) {
        self.region.kill(i);
        self.set(i, State::Down, until, is_dark);
    }

    pub(crate) fn freeze(&mut self, i: usize, until: Instant, is_dark: bool) {
        self.region.signal(i, "-STOP");
        self.set(i, State::Frozen, until, is_dark);
    }

    /// Lets a VM go dark for a time: it is frozen, or it is killed and its links hang.
    pub(crate) fn darken(&mut self, i: usize, until: Instant) {
        if self.rng.bool() { self.freeze(i, until, true) } else { self.kill(i, until, true) }
    }

    pub(crate) fn lose_disk(&mut self, i: usize) {
        let until = self.soon(100..1_500);
        self.kill(i, until, false);
        self.region.lose_disk(i);
        self.catching_up.push(CatchUp { vm: i, cause: Cause::Loss, since: None });
    }

    /// Adds a spare VM, if one is left beside those that are kept. VMs are added without need only once.
    pub(crate) fn add(&mut self, cause: Cause) -> Option<usize> {
        let spares = self.in_state(&[State::Unused]);
        let i = spares.first().copied()?;
        if spares.len() <= if cause == Cause::Loss { self.kept_spares } else { SPARES - 1 } {
            return None;
        }
        let until = self.soon(100..1_500);
        self.set(i, State::Down, until, false);
        self.catching_up.push(CatchUp { vm: i, cause, since: None });
        Some(i)
    }

    /// Control VM that leads, by its metrics.
    pub(crate) fn leader(&self) -> Option<usize> {
        self.up().into_iter().find(|i| self.region.leads(*i))
    }

    /// Cuts the links for some seconds.
    pub(crate) fn cut(&mut self, ms: std::ops::Range<u64>, is_cut: impl Fn(usize, usize) -> bool) {
        let until = self.soon(ms);
        self.links.cut(Instant::now(), until, is_cut);
    }

    /// Passes the time, in which VMs wake and start again and links heal.
    pub(crate) fn pass(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            self.tick();
            let now = Instant::now();
            if now >= until {
                return;
            }
            thread::sleep(TICK.min(until - now));
        }
    }

    pub(crate) fn tick(&mut self) {
        let now = Instant::now();
        for i in 0..self.vms.len() {
            let Vm { state, until, is_dark } = self.vms[i];
            match state {
                State::Frozen if until <= now => {
                    self.region.signal(i, "-CONT");
                    self.set(i, State::Up, now, false);
                }
                State::Down if until <= now => self.start_vm(i),
                State::Up if !self.region.is_running(i) => {
                    self.say("ended by itself", &[i]);
                    self.start_vm(i);
                }
                State::Stopping | State::Leaving if until <= now || !self.region.is_running(i) => {
                    self.region.kill(i);
                    let is_gone = state == State::Leaving && !self.quorums().0.is_empty();
                    let next = if is_gone { State::Gone } else { State::Down };
                    self.set(i, next, now, is_dark);
                }
                _ => {}
            }
        }
        let vms = &self.vms;
        let reach = |i: usize| match vms.get(i).filter(|_| i < CONTROLS) {
            Some(vm) if vm.is_dark => Reach::Dark,
            Some(Vm { state: State::Unused | State::Down | State::Gone, .. }) => Reach::Refuses,
            _ => Reach::Accepts,
        };
        self.links.apply(now, reach);
        self.catch_up(now);
    }

    /// Sets of VMs with their disks that are in touch with each other, and more than half of all that have one
    /// or have lost it. Returns also the number of those that have one.
    fn quorums(&self) -> (Vec<Vec<usize>>, usize) {
        let is_whole = |i: &usize| self.is_whole(*i);
        let whole = self.present().into_iter().filter(is_whole).count();
        let up: Vec<usize> = self.up().into_iter().filter(is_whole).collect();
        let set = |bits: u32| (0..up.len()).filter(move |n| bits >> n & 1 == 1).map(|n| up[n]);
        let sets = (0..1 << up.len()).map(|bits| set(bits).collect::<Vec<_>>());
        let is_quorum = |set: &Vec<usize>| {
            set.len() * 2 > whole + self.lost_disks()
                && set.iter().all(|a| set.iter().all(|b| self.links.are_open(*a, *b)))
        };
        (sets.filter(is_quorum).collect(), whole)
    }

    /// Ends the catching up of VMs that had the time for it, and lets the ones leave that they replace.
    fn catch_up(&mut self, now: Instant) {
        let (up, (quorums, whole)) = (self.up(), self.quorums());
        let is_reached = |i: usize, quorum: &Vec<usize>| {
            quorum.iter().filter(|other| self.links.are_open(**other, i)).count() * 2 > whole
        };
        let can_learn = |i: usize| up.contains(&i) && quorums.iter().any(|q| is_reached(i, q));
        let learns: Vec<bool> = self.catching_up.iter().map(|c| can_learn(c.vm)).collect();
        for (catch_up, learns) in self.catching_up.iter_mut().zip(learns) {
            catch_up.since = learns.then(|| catch_up.since.unwrap_or(now));
        }
        let is_done = |c: &mut CatchUp| c.since.is_some_and(|since| now - since >= CATCH_UP_TIME);
        let done: Vec<CatchUp> = self.catching_up.extract_if(.., is_done).collect();
        for catch_up in done {
            let Cause::Exchange(leaver) = catch_up.cause else { continue };
            if self.vms[leaver].state == State::Up && self.is_whole(leaver) {
                self.say("leaves", &[leaver]);
                self.region.terminate(leaver);
                let until = now + Duration::from_millis(STOP_MS);
                self.set(leaver, State::Leaving, until, false);
            }
        }
    }

    /// Injects faults until this time, with pauses in which VMs can catch up.
    fn disturb(&mut self, until: Instant, changes: &Changes) -> Result<()> {
        while Instant::now() < until {
            let faults = if self.has_silent_paths { &FAULTS[..] } else { &FAULTS[..OLD_FAULTS] };
            self.disturb_once(faults, 1_500, changes)?;
            let pause = Duration::from_millis(self.rng.u64(500..9_000));
            self.pass(pause.min(until.saturating_duration_since(Instant::now())));
            changes.check()?;
        }
        Ok(())
    }

    /// Waits until no disk counts as lost, at most for this time.
    fn settle(&mut self, limit: Duration) {
        let since = Instant::now();
        while self.lost_disks() > 0 && since.elapsed() < limit {
            self.pass(TICK);
        }
    }

    /// Takes disks right after an acknowledgement, at times as soon as a VM without its disk no longer counts
    /// as lost, while its path to the leader is silent. The document must be read once all VMs are back.
    fn disturb_and_recover(&mut self, changes: &Changes) -> Result<()> {
        self.settle(CATCH_UP_TIME * 4);
        self.kept_spares -= 1;
        if self.rng.bool() {
            self.inject(Fault::ReplaceBesideFrozen);
        } else {
            let count = if self.has_silent_paths { ABSENCES.len() } else { OLD_ABSENCES };
            self.disturb_once(&ABSENCES[..count], 500, changes)?;
        }
        let mut spared = Vec::new();
        if self.has_silent_paths && self.rng.bool() {
            self.settle(CATCH_UP_TIME * 2);
            let fault = self.rng.choice(SILENT_LOSSES).expect("one of them");
            self.inject(fault);
            spared.extend(self.catching_up.iter().map(|catch_up| catch_up.vm));
            self.settle(CATCH_UP_TIME * 2);
        } else if self.rng.u8(0..4) > 0 {
            self.settle(CATCH_UP_TIME * 2);
        }
        let since = Instant::now();
        let before = changes.newest();
        changes.last.store(before + 1, Ordering::SeqCst);
        while changes.newest() == before {
            self.pass(Duration::from_millis(1));
            changes.check()?;
            if since.elapsed() > ACKNOWLEDGED_TIME {
                return Err(format!("no change is acknowledged after {before}"));
            }
        }
        let others = self.rng.choice(OTHERS).expect("one of them");
        self.lose_most(others, &spared);
        // None leaves as planned meanwhile.
        let exchanges = self.catching_up.iter_mut().filter(|c| c.cause != Cause::Loss);
        exchanges.for_each(|c| c.cause = Cause::Addition);
        let is_away = |vm: &Vm| !matches!(vm.state, State::Unused | State::Gone | State::Up);
        while self.links.are_cut() || self.vms.iter().any(is_away) {
            self.pass(TICK);
            changes.check()?;
        }
        let calm = Instant::now();
        let mut first = None;
        loop {
            self.pass(TICK);
            changes.check()?;
            let version = changes.newest();
            let read = changes.read_since(calm, version);
            let mut unread = self.present();
            unread.retain(|i| !read.contains(i));
            if !read.is_empty() {
                first.get_or_insert(calm.elapsed());
            }
            if unread.is_empty() || calm.elapsed() > RECOVERY_TIME {
                self.say(format!("{version} read after {first:?}, not at {unread:?}"), &read);
                let reads = lock(&changes.reads).clone();
                first.ok_or_else(|| format!("{version} isn't read in calm: {reads:?}"))?;
                changes.last.store(u64::MAX, Ordering::SeqCst);
                return Ok(());
            }
        }
    }

    /// Lines of the logs that tell what the members knew of each other.
    fn report(&self, seed: u64) {
        let folder = self.region.data_folder(0);
        let folder = folder.parent().map(|f| f.display().to_string()).unwrap_or_default();
        for i in 0..self.vms.len() {
            let log = self.region.log(i).replace(&folder, "");
            if let Some(logs) = env::var_os("SOAK_LOGS") {
                let file = Path::new(&logs).join(format!("{seed}-{i}.log"));
                fs::write(file, &log).expect("written");
            }
            let tells = |line: &&str| {
                ["WARN", "member", "leader"].iter().any(|word| line.contains(word))
                    && !line.contains("call not answered")
            };
            let lines: Vec<&str> = log.lines().filter(tells).collect();
            if i < CONTROLS {
                println!("VM {i}, {:?}:", self.vms[i].state);
                let skipped = lines.len().saturating_sub(REPORTED_LINES);
                lines.iter().skip(skipped).for_each(|line| println!("{line}"));
            }
        }
    }
}

/// Sets a flag when it is dropped, also by a panic.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Runs one seed for this time.
pub(crate) fn run(seed: u64, length: Duration) {
    let mut deployment = Deployment::start(seed);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock that is set");
    println!("  starts at {} ms", since_epoch.as_millis());
    let entries = CONTROLS..CONTROLS + ENTRIES;
    let entries = entries.map(|i| deployment.region.callers_address(i)).collect();
    let callers = Callers::with_kept_connections(entries, REQUEST_INTERVAL);
    let upstreams = Upstreams::start(UPSTREAMS);
    let changes = Changes::new(&deployment.region, CONTROLS);
    let is_done = AtomicBool::new(false);
    let result = thread::scope(|scope| {
        let _done = SetOnDrop(&is_done);
        scope.spawn(|| upstreams.register_patiently(&changes.controls, &is_done));
        scope.spawn(|| changes.publish(&is_done));
        scope.spawn(|| changes.read(&is_done));
        for caller in 0..CALLERS {
            let (callers, is_done, notices) = (&callers, &is_done, &upstreams.notices);
            scope.spawn(move || callers.send_requests(caller, notices, is_done));
        }
        let start = Instant::now();
        eventually("responses", || (callers.answered_count() > 0).then_some(()));
        deployment.disturb(start + length * 19 / 30, &changes)?;
        deployment.disturb_and_recover(&changes)?;
        deployment.disturb(start + length * 29 / 30, &changes)?;
        deployment.disturb_and_recover(&changes)?;
        let before = callers.answered_count();
        eventually("responses after faults", || {
            (callers.answered_count() > before + 20).then_some(())
        });
        Ok::<(), String>(())
    });
    if let Err(violation) = result {
        deployment.report(seed);
        panic!("seed {seed}: {violation}");
    }
    callers.check(&upstreams);
    println!("  {} acknowledged, {} answered", changes.newest(), callers.answered_count());
}
