//! Simulation of leases and ownership, in which messages are lost, delayed, duplicated
//! and reordered, clocks drift within the bound, processes restart or run twice under
//! one name, and leaders change.
//!
//! It guards against two processes that own one upstream at the same time, and against
//! a process that accepts new work under a state older than one reported as in force. Either
//! would happen if the leader considered a lease expired or an index settled too early,
//! or if a daemon acted on a delayed reply.

mod common;

use common::{holder, join, sheet};
use control::{Command, InForceStatus, Leases, Ownership, Renewal, RenewalReply, Session, State};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

const DAEMONS: [&str; 3] = ["a", "b", "c"];
const UPSTREAMS: [&str; 2] = ["u1", "u2"];
/// Increment of the splitmix64 generator.
const SPLITMIX_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of operations in one run.
const STEPS: u64 = 800;
const MAX_PROCESSES: usize = 4;
const MAX_MESSAGES: usize = 8;
const DATA_CENTRE: &str = "dc-1";

/// Deviations of the clocks from true time, in thousandths. Any two of them differ by
/// less than the bound on drift.
const CLOCK_RATES_PER_MILLE: [i64; 5] = [-4, 0, 4, -2, 3];

/// A drifting monotonic clock.
struct Clock {
    start: Instant,
    /// Index into [`CLOCK_RATES_PER_MILLE`], modulo its length.
    rate: usize,
}

impl Clock {
    fn at(&self, true_us: u64) -> Instant {
        let rate = 1000 + CLOCK_RATES_PER_MILLE[self.rate % CLOCK_RATES_PER_MILLE.len()];
        self.start + Duration::from_micros(true_us * rate as u64 / 1000)
    }
}

struct Process {
    clock: Clock,
    session: Session,
}

struct Leader {
    clock: Clock,
    leases: Leases,
    /// State of a former leader when it was replaced, or `None` for the current one.
    state_at_replacement: Option<State>,
}

enum Message {
    Renewal(Renewal),
    /// A renewal for which the leader with this index has confirmed a read index.
    Confirmed(Renewal, usize),
    /// A reply to the renewal of a process.
    RenewalReply(RenewalReply, control::DaemonInstance),
}

/// The region: one replicated state, all leaders so far, processes and messages.
struct Simulation {
    start: Instant,
    /// True time since the start, in microseconds.
    true_us: u64,
    state: State,
    leaders: Vec<Leader>,
    processes: Vec<Process>,
    messages: Vec<Message>,
    /// Commands that the leader has proposed and that are not committed yet.
    proposed: Vec<Command>,
    incarnation: u64,
    /// A process whose lossless round trips fail.
    disconnected: Option<control::DaemonInstance>,
    /// Highest index that a leader reported as in force.
    in_force: u64,
}

/// Observations over all runs, which show that the runs reach the interesting cases.
static OWNED: AtomicUsize = AtomicUsize::new(0);
static WAITED: AtomicUsize = AtomicUsize::new(0);
static REFUSED: AtomicUsize = AtomicUsize::new(0);

impl Simulation {
    fn new() -> Self {
        let start = Instant::now();
        let mut simulation = Self {
            start,
            true_us: 0,
            state: State::new(),
            leaders: Vec::new(),
            processes: Vec::new(),
            messages: Vec::new(),
            proposed: Vec::new(),
            incarnation: 0,
            disconnected: None,
            in_force: 0,
        };
        simulation.elect(0);
        simulation
    }

    /// Runs one generated operation and checks the invariants.
    fn step(&mut self, op: u8, arg: u8, extra: u8) {
        match op % 64 {
            0 => self.start_process(arg, extra, true),
            1 => self.start_process(arg, extra, false),
            // Elections are rare, because a new leader settles nothing for the duration of
            // a lease.
            2 if extra < 40 => self.elect(extra),
            2 => {}
            3 => self.leave(arg),
            4..=6 => self.expire(),
            7..=9 => self.commit_proposed(),
            10 => self.commit(&sheet(self.state.applied(), extra, "ana")),
            11..=13 => self.record_in_force(),
            14 | 15 => self.disconnected = self.process(arg),
            16 => self.disconnected = None,
            17 => self.true_us += u64::from(arg) * 8_000,
            18..=27 => self.true_us += u64::from(arg) * 1_500,
            28 => drop(take_one(&mut self.messages, arg)),
            29..=32 => drop(self.renew(arg)),
            33..=40 => self.deliver(arg, extra.is_multiple_of(8)),
            _ => self.round_trip(arg),
        }
        self.check();
    }

    fn process(&self, arg: u8) -> Option<control::DaemonInstance> {
        let index = usize::from(arg) % self.processes.len().max(1);
        self.processes.get(index).map(|process| process.session.instance().clone())
    }

    /// Delivers a renewal and its reply without loss, unless the process is
    /// disconnected.
    fn round_trip(&mut self, arg: u8) {
        if self.process(arg) == self.disconnected || self.renew(arg).is_none() {
            return;
        }
        for _ in 0..3 {
            self.deliver_at(self.messages.len() - 1, false);
        }
    }

    fn commit(&mut self, cmd: &Command) {
        self.state.apply(self.state.applied() + 1, cmd);
    }

    /// Starts a process. After a crash it replaces the earlier process of its name;
    /// otherwise both run concurrently.
    fn start_process(&mut self, arg: u8, rate: u8, is_crash: bool) {
        let daemon = DAEMONS[usize::from(arg) % DAEMONS.len()];
        if is_crash {
            self.processes.retain(|process| process.session.instance().daemon != daemon);
        }
        self.incarnation += 1;
        self.commit(&join(daemon, self.incarnation, DATA_CENTRE));
        self.processes.push(Process {
            clock: Clock { start: self.start, rate: usize::from(rate) },
            session: Session::new(holder(daemon, self.incarnation), DATA_CENTRE),
        });
        if self.processes.len() > MAX_PROCESSES {
            self.processes.remove(0);
        }
    }

    /// Elects a new leader. The commands that the former one proposed are committed or
    /// lost before the new one creates its table of leases.
    fn elect(&mut self, extra: u8) {
        if extra.is_multiple_of(2) {
            self.commit_proposed();
        }
        self.proposed.clear();
        if let Some(former) = self.leaders.last_mut() {
            former.state_at_replacement = Some(self.state.clone());
        }
        let clock = Clock { start: self.start, rate: usize::from(extra) };
        let leases = Leases::new(clock.at(self.true_us), self.state.roster());
        self.leaders.push(Leader { clock, leases, state_at_replacement: None });
    }

    /// Shuts a process down as planned.
    fn leave(&mut self, arg: u8) {
        let Some(mut process) = take_one(&mut self.processes, arg) else { return };
        process.session.end();
        let holder = process.session.instance().clone();
        self.commit(&Command::Leave(holder.clone()));
        self.leaders.last_mut().unwrap().leases.release(&holder);
        self.processes.push(process);
    }

    /// Lets the leader propose the removal of daemons whose lease has expired.
    fn expire(&mut self) {
        let leader = self.leaders.last_mut().unwrap();
        let now = leader.clock.at(self.true_us);
        let expired = leader.leases.expired(now, self.state.roster());
        self.proposed.extend(expired.into_iter().map(Command::Expire));
    }

    fn commit_proposed(&mut self) {
        for cmd in std::mem::take(&mut self.proposed) {
            self.commit(&cmd);
        }
    }

    /// Records the applied index if the leader reports it as in force.
    fn record_in_force(&mut self) {
        let leader = self.leaders.last().unwrap();
        let index = self.state.applied();
        if leader.leases.in_force(index, leader.clock.at(self.true_us)) == InForceStatus::Yes {
            self.in_force = index;
        }
    }

    /// Sends a renewal.
    fn renew(&mut self, arg: u8) -> Option<()> {
        let index = usize::from(arg) % self.processes.len().max(1);
        let process = self.processes.get_mut(index)?;
        let renewal = process.session.renew(process.clock.at(self.true_us));
        self.messages.push(Message::Renewal(renewal));
        if self.messages.len() > MAX_MESSAGES {
            self.messages.remove(0);
        }
        Some(())
    }

    /// Delivers any message in transit.
    fn deliver(&mut self, arg: u8, is_duplicated: bool) {
        if !self.messages.is_empty() {
            self.deliver_at(usize::from(arg) % self.messages.len(), is_duplicated);
        }
    }

    fn deliver_at(&mut self, index: usize, is_duplicated: bool) {
        let message = self.messages.remove(index);
        match &message {
            Message::Renewal(renewal) => {
                let leader_index = self.leaders.len() - 1;
                self.messages.push(Message::Confirmed(renewal.clone(), leader_index));
            }
            Message::Confirmed(renewal, leader_index) => {
                let leader = &mut self.leaders[*leader_index];
                let now = leader.clock.at(self.true_us);
                let state = leader.state_at_replacement.as_ref().unwrap_or(&self.state);
                let reply = leader.leases.renew(now, renewal, state);
                self.messages.push(Message::RenewalReply(reply, renewal.holder.clone()));
            }
            Message::RenewalReply(reply, holder) => {
                let found = self.processes.iter_mut().find(|p| p.session.instance() == holder);
                if let Some(process) = found {
                    let before = process.session.view().index();
                    drop(process.session.accept(reply));
                    assert!(process.session.view().index() >= before, "a view went back");
                }
            }
        }
        // A duplicate of a confirmed renewal would count as a second confirmation.
        if is_duplicated && !matches!(message, Message::Confirmed(..)) {
            self.messages.push(message);
        }
    }

    /// Checks that each upstream has at most one owner, and that no process accepts new work
    /// under a state older than the one in force.
    fn check(&self) {
        for upstream in UPSTREAMS {
            let owners = self.processes.iter().filter(|process| {
                match process.session.owns(upstream, process.clock.at(self.true_us)) {
                    Ownership::Owner { .. } => true,
                    Ownership::Waiting => {
                        WAITED.fetch_add(1, Ordering::Relaxed);
                        false
                    }
                    _ => false,
                }
            });
            let owners: Vec<_> = owners.map(|process| process.session.instance()).collect();
            OWNED.fetch_add(owners.len(), Ordering::Relaxed);
            assert!(owners.len() <= 1, "{upstream} has several owners: {owners:?}");
        }
        for process in &self.processes {
            match process.session.may_accept_work(process.clock.at(self.true_us)) {
                Ok(()) => assert!(
                    process.session.view().index() >= self.in_force,
                    "work under a state older than the one in force"
                ),
                Err(_) => drop(REFUSED.fetch_add(1, Ordering::Relaxed)),
            }
        }
    }
}

/// The finalizer of splitmix64.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Removes and returns an item chosen by `arg`.
fn take_one<T>(items: &mut Vec<T>, arg: u8) -> Option<T> {
    (!items.is_empty()).then(|| items.remove(usize::from(arg) % items.len()))
}

#[test]
fn an_upstream_has_at_most_one_owner() {
    // Each run is derived from one number, because generated bytes would not last for a
    // long run.
    let runs = seeded::check().with_type::<u64>();
    runs.for_each(|seed| {
        let seed = *seed;
        let mut simulation = Simulation::new();
        (1..=STEPS).for_each(|step| {
            let [op, arg, extra, ..] =
                mix(seed.wrapping_add(step.wrapping_mul(SPLITMIX_INCREMENT))).to_le_bytes();
            simulation.step(op, arg, extra);
        });
    });
    for (count, name) in [(&OWNED, "owned"), (&WAITED, "waited"), (&REFUSED, "refused")] {
        assert!(
            count.load(Ordering::Relaxed) > 1000,
            "the runs reached the case '{name}' too rarely"
        );
    }
}
