//! Faults of a run of a whole deployment, and how they are injected.

use crate::{
    changes::Changes,
    deployment::{CONTROLS, Cause, Deployment, ENTRIES, Result, STOP_MS, State, TOLERATED_LOSSES},
};
use fake::FaultProxy;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    Kill,
    KillAll,
    KillEntry,
    Freeze,
    Restart,
    Dark,
    LoseDisk,
    Replace,
    /// A VM is replaced while another one, which comes back, has been silent for longer.
    ReplaceBesideFrozen,
    ReplaceAsPlanned,
    Add,
    Split,
    OneWay,
    CutOff,
    /// Connections of one VM go silent for good, while new ones work.
    HalfOpen,
    ResetLinks,
    /// A minority misses changes, then one of the others loses its disk and the rest go dark.
    Behind,
    /// A VM loses its disk, and the path between it and the leader is silent from its start on, or from just
    /// after it.
    SilentPath,
    /// Another one loses its disk at the same time.
    SilentPathBesideLoss,
    /// The path between two VMs that keep their disks is silent.
    SilentPair,
}

pub(crate) const FAULTS: [Fault; 23] = [
    Fault::Kill,
    Fault::KillAll,
    Fault::KillEntry,
    Fault::Freeze,
    Fault::Freeze,
    Fault::Restart,
    Fault::Dark,
    Fault::LoseDisk,
    Fault::LoseDisk,
    Fault::Replace,
    Fault::ReplaceBesideFrozen,
    Fault::ReplaceAsPlanned,
    Fault::Add,
    Fault::Split,
    Fault::OneWay,
    Fault::CutOff,
    Fault::HalfOpen,
    Fault::ResetLinks,
    Fault::Behind,
    Fault::SilentPath,
    Fault::SilentPath,
    Fault::SilentPathBesideLoss,
    Fault::SilentPair,
];
/// Number of them that there were before silent paths.
pub(crate) const OLD_FAULTS: usize = 19;

/// Faults just before the final one: members that are absent for a time or for good.
pub(crate) const ABSENCES: [Fault; 10] = [
    Fault::Freeze,
    Fault::Freeze,
    Fault::Dark,
    Fault::Kill,
    Fault::LoseDisk,
    Fault::Replace,
    Fault::ReplaceBesideFrozen,
    Fault::CutOff,
    Fault::SilentPath,
    Fault::SilentPair,
];
/// Number of them that there were before silent paths.
pub(crate) const OLD_ABSENCES: usize = 8;

/// Losses of disks at whose end the path of a VM to the leader is still silent.
pub(crate) const SILENT_LOSSES: [Fault; 2] = [Fault::SilentPath, Fault::SilentPathBesideLoss];

/// What happens to the VMs that keep their disks when others lose theirs.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Others {
    Stay,
    Die,
    GoDark,
    /// They and all entries die, and no disk is lost.
    DieAlone,
    /// They and all entries die.
    DieWithEntries,
}

pub(crate) const OTHERS: [Others; 5] =
    [Others::Stay, Others::Die, Others::GoDark, Others::DieAlone, Others::DieWithEntries];

/// Whether a link is one between these two.
fn is_between(a: usize, b: usize) -> impl Fn(usize, usize) -> bool {
    move |from, to| (from, to) == (a, b) || (from, to) == (b, a)
}

impl Deployment {
    pub(crate) fn inject(&mut self, fault: Fault) {
        let up = self.up();
        let whole: Vec<usize> = up.iter().copied().filter(|i| self.is_whole(*i)).collect();
        let (Some(i), whole) = (self.rng.choice(up.clone()), self.rng.choice(whole)) else {
            return;
        };
        let (may_lose, is_dark) = (self.lost_disks() < TOLERATED_LOSSES, self.rng.bool());
        match (fault, whole) {
            (Fault::Kill, _) => {
                let until = self.soon(100..3_500);
                self.kill(i, until, false);
            }
            (Fault::KillAll, _) => {
                let until = self.soon(100..1_000);
                up.iter().for_each(|i| self.kill(*i, until, false));
            }
            (Fault::KillEntry, _) => {
                let (entry, until) = (CONTROLS + self.rng.usize(0..ENTRIES), self.soon(100..2_000));
                self.kill(entry, until, false);
            }
            (Fault::Freeze, _) => {
                let until = self.soon(2_000..10_000);
                self.freeze(i, until, false);
            }
            (Fault::Restart, _) => {
                self.region.terminate(i);
                let until = Instant::now() + Duration::from_millis(STOP_MS);
                self.set(i, State::Stopping, until, false);
            }
            (Fault::Dark, _) => {
                let until = self.soon(1_000..8_000);
                self.darken(i, until);
            }
            (Fault::LoseDisk, Some(i)) if may_lose => {
                self.lose_disk(i);
                return self.say(fault, &[i]);
            }
            (Fault::Replace, Some(i)) if may_lose => {
                let Some(spare) = self.add(Cause::Loss) else { return };
                self.region.kill(i);
                self.set(i, State::Gone, Instant::now(), is_dark);
                return self.say(fault, &[i, spare]);
            }
            (Fault::ReplaceBesideFrozen, Some(i)) => {
                let until = self.soon(6_000..10_000);
                self.freeze(i, until, false);
                self.say("frozen", &[i]);
                let pause = Duration::from_millis(self.rng.u64(100..1_000));
                self.pass(pause);
                return self.inject(Fault::Replace);
            }
            (Fault::ReplaceAsPlanned, Some(i)) => {
                let Some(spare) = self.add(Cause::Exchange(i)) else { return };
                return self.say(fault, &[i, spare]);
            }
            (Fault::Add, _) => {
                let Some(spare) = self.add(Cause::Addition) else { return };
                return self.say(fault, &[spare]);
            }
            (Fault::Split, _) => {
                let side: Vec<bool> = (0..CONTROLS).map(|_| self.rng.bool()).collect();
                self.cut(2_000..8_000, |a, b| side[a] != side[b]);
            }
            (Fault::OneWay, _) => {
                self.cut(2_000..6_000, |a, b| a != b && i == if is_dark { a } else { b });
            }
            (Fault::CutOff, _) => {
                let other = self.rng.choice(up.clone()).unwrap_or(i);
                let is_off = |v: usize| v == i || v == other;
                self.cut(2_000..8_000, |a, b| is_off(a) != is_off(b));
            }
            (Fault::HalfOpen, _) => {
                self.links.proxies_of(i).for_each(FaultProxy::silence);
            }
            (Fault::ResetLinks, _) => self.links.proxies().for_each(FaultProxy::cut),
            (Fault::Behind, _) => return self.leave_behind(up),
            (Fault::SilentPath, _) if may_lose => return self.lose_beside_silent_path(1),
            (Fault::SilentPathBesideLoss, _) if may_lose => {
                return self.lose_beside_silent_path(TOLERATED_LOSSES - self.lost_disks());
            }
            (Fault::SilentPair, _) => {
                let others = up.into_iter().filter(|other| *other != i);
                let Some(other) = self.rng.choice(others.collect::<Vec<_>>()) else { return };
                self.cut(2_000..9_000, is_between(i, other));
                return self.say(fault, &[i, other]);
            }
            (_, None)
            | (
                Fault::LoseDisk | Fault::Replace | Fault::SilentPath | Fault::SilentPathBesideLoss,
                _,
            ) => return,
        }
        self.say(fault, &[i]);
    }

    /// Takes the disks of this many VMs. The path between the first one and the leader, or any other VM if none is
    /// known, goes silent.
    fn lose_beside_silent_path(&mut self, count: usize) {
        let mut up = self.up();
        self.rng.shuffle(&mut up);
        let Some(leader) = self.leader().or(up.first().copied()) else { return };
        up.retain(|i| *i != leader && self.is_whole(*i));
        up.truncate(count);
        let Some(first) = up.first().copied() else { return };
        up.iter().for_each(|i| self.lose_disk(*i));
        let delay_ms = if self.rng.bool() { 0 } else { self.rng.u64(200..500) };
        let since = self.vms[first].until + Duration::from_millis(delay_ms);
        let until = since + Duration::from_millis(self.rng.u64(5_000..9_000));
        self.links.cut(since, until, is_between(first, leader));
        self.say(format!("path to {leader} silent after {delay_ms} ms"), &up);
    }

    /// Cuts two VMs off, takes the disk of another one, and lets the rest go dark as the cut heals.
    fn leave_behind(&mut self, mut up: Vec<usize>) {
        self.rng.shuffle(&mut up);
        let behind: Vec<usize> = up.drain(..up.len().min(TOLERATED_LOSSES)).collect();
        self.say("behind", &behind);
        let is_behind = |i: usize| behind.contains(&i);
        let ms = self.rng.u64(2_000..6_000);
        // It heals just after the others are dark.
        self.cut(ms + 300..ms + 301, |a, b| is_behind(a) != is_behind(b));
        self.pass(Duration::from_millis(ms));
        up.retain(|i| self.vms[*i].state == State::Up);
        let lost = up.iter().copied().find(|i| self.is_whole(*i));
        if let Some(lost) = lost.filter(|_| self.lost_disks() < TOLERATED_LOSSES) {
            up.retain(|i| *i != lost);
            self.lose_disk(lost);
            self.say("loses its disk", &[lost]);
        }
        let until = self.soon(2_000..8_000);
        up.iter().for_each(|i| self.darken(*i, until));
        self.say("dark", &up);
    }

    /// Takes as many disks as may still be lost, those of the spared VMs last, while the others stay, die or go
    /// dark.
    pub(crate) fn lose_most(&mut self, others: Others, spared: &[usize]) {
        let mut up = self.up();
        self.rng.shuffle(&mut up);
        up.sort_by_key(|i| spared.contains(i));
        let count = match others {
            Others::DieAlone => 0,
            _ => TOLERATED_LOSSES - self.lost_disks().min(TOLERATED_LOSSES),
        };
        let whole = up.iter().copied().filter(|i| self.is_whole(*i));
        let lost: Vec<usize> = whole.take(count).collect();
        lost.iter().for_each(|i| self.lose_disk(*i));
        up.retain(|i| !lost.contains(i));
        if matches!(others, Others::DieAlone | Others::DieWithEntries) {
            up.extend(CONTROLS..CONTROLS + ENTRIES);
        }
        for i in up {
            let until = self.soon(200..3_000);
            match others {
                Others::Stay => {}
                Others::GoDark => self.darken(i, until),
                Others::Die | Others::DieAlone | Others::DieWithEntries => {
                    self.kill(i, until, false);
                }
            }
        }
        self.tick();
        self.say(others, &lost);
    }

    /// Injects some faults, one into the other.
    pub(crate) fn disturb_once(
        &mut self,
        faults: &[Fault],
        max_pause_ms: u64,
        changes: &Changes,
    ) -> Result<()> {
        for _ in 0..self.rng.usize(1..=5) {
            let fault = faults[self.rng.usize(0..faults.len())];
            self.inject(fault);
            let pause = Duration::from_millis(self.rng.u64(20..max_pause_ms));
            self.pass(pause);
        }
        changes.check()
    }
}
