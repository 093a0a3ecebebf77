//! What a member of the control group observes over time of its voter and its group, for the lines
//! that it logs.

use super::{
    group_report::{changes_since, members_changed, short_name},
    members::TICK,
};
use group::{Membership, NodeId, Status};
use std::{
    collections::{BTreeMap, VecDeque},
    mem,
    time::{Duration, Instant},
};

/// Pause of a process, or of its voter's thread, from which on it is reported.
const REPORTED_PAUSE: Duration = Duration::from_secs(1);
/// Shortest time for which the voter's thread didn't run before the loss of a leader that is
/// reported with that loss: two ticks.
const REPORTED_BLOCK: Duration = Duration::from_millis(100);
/// Shortest sleep of the event loop that counts as a delay: twice the usual one.
const REPORTED_DELAY: Duration = Duration::from_millis(100);
/// Time before the loss of a leader for which it is reported what held up the voter and the event loop.
const TIME_BEFORE_LOSS: Duration = Duration::from_secs(10);

/// What a member has reported of its voter and its group.
#[derive(Debug)]
pub struct Observer {
    membership: Membership,
    /// Ticks of the voter at the last look.
    ticks: u64,
    /// End of the last pause of this process, in which the voter's thread didn't run either.
    paused_until: Instant,
    /// When the voter's thread last ran, while it is known to be blocked.
    voter_blocked_since: Option<Instant>,
    /// The last change of the members, and when it was seen.
    last_change: Option<(Instant, String)>,
    /// Since when no leader is known.
    leaderless_since: Option<Instant>,
    /// Leaders that were known since this member started.
    leaders: u64,
    /// Longest time for which the voter's thread didn't run since a leader was known.
    longest_block: Duration,
    /// The same in the 10 s before the leader was lost.
    block_before: Duration,
    /// Times for which the voter's thread didn't run lately, and when that was seen. Each is longer
    /// than those after it.
    recent_blocks: VecDeque<(Instant, Duration)>,
    /// Sleeps of the event loop that took too long lately, and their ends.
    recent_delays: VecDeque<(Instant, Duration)>,
    /// Voters whose disks are known to be lost, and since when.
    lost_disks: BTreeMap<NodeId, Instant>,
}

impl Observer {
    /// Starts with the status as it is.
    pub fn new(status: &Status, now: Instant) -> Self {
        Self {
            membership: status.membership.clone(),
            ticks: status.ticks,
            paused_until: now,
            voter_blocked_since: None,
            last_change: None,
            leaderless_since: status.leader.is_none().then_some(now),
            leaders: u64::from(status.leader.is_some()),
            longest_block: Duration::ZERO,
            block_before: Duration::ZERO,
            recent_blocks: VecDeque::new(),
            recent_delays: VecDeque::new(),
            lost_disks: status.known_lost.iter().map(|id| (*id, now)).collect(),
        }
    }

    /// Notes whether a leader is known, for how long the voter's thread hasn't run, and which disks
    /// are known to be lost.
    pub fn observe(&mut self, status: &Status, now: Instant) {
        let block = status
            .published_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at.max(self.paused_until)));
        self.lost_disks.retain(|id, _| status.known_lost.contains(id));
        for id in &status.known_lost {
            self.lost_disks.entry(*id).or_insert(now);
        }
        let is_old = |at: Instant| now.saturating_duration_since(at) > TIME_BEFORE_LOSS;
        while self.recent_blocks.front().is_some_and(|(at, _)| is_old(*at)) {
            self.recent_blocks.pop_front();
        }
        match (status.leader, self.leaderless_since) {
            (None, None) => {
                self.leaderless_since = Some(now);
                self.longest_block = block;
                let longest = self.recent_blocks.front();
                self.block_before = longest.map_or(Duration::ZERO, |(_, block)| *block);
            }
            (None, Some(_)) => self.longest_block = self.longest_block.max(block),
            (Some(_), Some(_)) => {
                self.leaderless_since = None;
                self.leaders += 1;
            }
            (Some(_), None) => {}
        }
        while self.recent_blocks.back().is_some_and(|(_, former)| *former <= block) {
            self.recent_blocks.pop_back();
        }
        self.recent_blocks.push_back((now, block));
    }

    /// For how long each voter is known to have lost its disk, and for how long it hasn't been heard,
    /// in seconds; `None` if there are none. `silence` is the latter.
    pub fn lost_disks(
        &self,
        status: &Status,
        now: Instant,
        silence: impl Fn(NodeId) -> Option<Duration>,
        address_of: impl Fn(NodeId) -> Option<String>,
    ) -> Option<String> {
        let voters = self.lost_disks.iter().filter(|(id, _)| status.membership.is_voter(**id));
        let voters = voters.map(|(id, at)| {
            let known = now.saturating_duration_since(*at).as_secs_f64();
            let silent = silence(*id).map(|time| format!("{:.0}", time.as_secs_f64()));
            let silent = silent.as_deref().unwrap_or("?");
            format!("{} {known:.0}/{silent}", short_name(*id, address_of(*id).as_deref()))
        });
        let voters: Vec<String> = voters.collect();
        let is_any = !voters.is_empty();
        is_any.then(|| format!("lost disks, known/silent s: {}", voters.join(", ")))
    }

    /// What came before the group had no leader: since when, how often there was one, what held up
    /// this member's voter, since then and before, and how the members changed last. It tells a group that has lost its
    /// voters from one whose leaders don't last.
    pub fn leaderless(&self, now: Instant) -> Option<String> {
        let since = self.leaderless_since?;
        let seconds = |at: Instant| now.saturating_duration_since(at).as_secs_f64();
        let change = match &self.last_change {
            Some((at, text)) => format!("{:.0} s ago: {text}", seconds(*at)),
            None => String::from("same members"),
        };
        let before = match self.block_before >= REPORTED_BLOCK {
            true => format!(", before {:.1} s", self.block_before.as_secs_f64()),
            false => String::new(),
        };
        Some(format!(
            "leaderless {:.0} s, leaders {}, blocked {:.1} s{before}, {change}",
            seconds(since),
            self.leaders,
            self.longest_block.as_secs_f64()
        ))
    }

    /// Reports a sleep of a few milliseconds that has lasted for more than a second. If the voter's
    /// thread ran meanwhile, only the event loop was blocked.
    pub fn pause(&mut self, status: &Status, slept_at: Instant, now: Instant) -> Option<String> {
        let passed = now.saturating_duration_since(slept_at);
        let ticks = status.ticks.saturating_sub(mem::replace(&mut self.ticks, status.ticks));
        self.recent_delays.retain(|(at, _)| now.saturating_duration_since(*at) <= TIME_BEFORE_LOSS);
        if passed >= REPORTED_DELAY {
            self.recent_delays.push_back((now, passed));
        }
        if passed < REPORTED_PAUSE {
            return None;
        }
        let has_voter_run = u128::from(ticks) * TICK.as_millis() > passed.as_millis() / 2;
        if !has_voter_run {
            self.paused_until = now;
        }
        let what = if has_voter_run { "event loop blocked" } else { "no processor time" };
        Some(format!("{what} for {:.1} s", passed.as_secs_f64()))
    }

    /// Time in the last 10 s for which the event loop slept too long, as of the last
    /// [`pause`](Self::pause). Messages wait for it, also those of the voter.
    pub fn delayed(&self) -> Duration {
        self.recent_delays.iter().map(|(_, delay)| *delay).sum()
    }

    /// Reports that the voter's thread doesn't run, as its disk blocks it, and that it runs again.
    pub fn voter_pause(&mut self, status: &Status, now: Instant) -> Option<String> {
        let published_at = status.published_at?;
        let silence = now.saturating_duration_since(published_at.max(self.paused_until));
        match self.voter_blocked_since {
            None if silence >= REPORTED_PAUSE => {
                self.voter_blocked_since = Some(published_at.max(self.paused_until));
                Some(format!("voter blocked for {:.1} s so far", silence.as_secs_f64()))
            }
            Some(since) if published_at > since => {
                self.voter_blocked_since = None;
                let blocked = published_at.saturating_duration_since(since);
                Some(format!("voter runs again after {:.1} s", blocked.as_secs_f64()))
            }
            _ => None,
        }
    }

    /// Reports a change of the members since the last call; see [`members_changed`].
    pub fn members_changed(
        &mut self,
        status: &Status,
        now: Instant,
        address_of: impl Fn(NodeId) -> Option<String>,
    ) -> Option<String> {
        if status.membership == self.membership {
            return None;
        }
        let former = mem::replace(&mut self.membership, status.membership.clone());
        let changes = changes_since(&former, &status.membership, &address_of).join(" ");
        if !changes.is_empty() {
            self.last_change = Some((now, changes));
        }
        Some(members_changed(&former, status, address_of))
    }
}
