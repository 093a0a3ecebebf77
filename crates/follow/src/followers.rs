//! What each follower has.

use crate::position::ViewPosition;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use wire::DaemonId;

/// A daemon that follows the leader. Unrelated to the Raft role.
#[derive(Clone, Copy, Debug)]
struct Follower {
    is_entry: bool,
    last_heard: Instant,
    position: ViewPosition,
}

/// All daemons that follow a leader during its term.
#[derive(Clone, Debug)]
pub struct Followers {
    followers: BTreeMap<DaemonId, Follower>,
    /// Time for which a daemon counts as live after its last request.
    live_time: Duration,
}

impl Followers {
    /// Creates an empty set. A daemon counts as live for `live_time` after it was heard.
    pub fn new(live_time: Duration) -> Self {
        Self { followers: BTreeMap::new(), live_time }
    }

    /// Records that a daemon was heard, with the position of its view. Returns whether it is new.
    ///
    /// A view loses nothing of a term while its daemon runs, and that of a daemon that has started anew is
    /// of no term. So a lower position of the same term takes nothing back: the daemon asks for a change
    /// again that it has.
    pub fn record(
        &mut self,
        now: Instant,
        daemon: &DaemonId,
        is_entry: bool,
        position: ViewPosition,
    ) -> bool {
        let known = self.followers.get(daemon).map(|known| known.position);
        let position = match known.filter(|known| known.term == position.term) {
            Some(known) => known.newest(&position),
            None => position,
        };
        let follower = Follower { is_entry, last_heard: now, position };
        self.followers.insert(daemon.clone(), follower).is_none()
    }

    /// Removes the daemons that have been silent for `silence`, and returns their names.
    pub fn remove_silent(&mut self, now: Instant, silence: Duration) -> Vec<DaemonId> {
        let is_lost = |f: &Follower| now.saturating_duration_since(f.last_heard) >= silence;
        let lost = self.followers.iter().filter(|(_, f)| is_lost(f));
        let lost: Vec<DaemonId> = lost.map(|(daemon, _)| daemon.clone()).collect();
        self.followers.retain(|_, f| !is_lost(f));
        lost
    }

    /// Number of live daemons.
    pub fn live(&self, now: Instant) -> usize {
        self.live_followers(now).count()
    }

    /// Number of live daemons that accept requests of callers.
    pub fn live_entries(&self, now: Instant) -> usize {
        self.live_followers(now).filter(|(_, follower)| follower.is_entry).count()
    }

    /// Highest position that the views of all live daemons cover, at most that of the leader, `top`.
    /// `None` if one of them has a view of another term.
    pub fn covered(&self, now: Instant, top: ViewPosition) -> Option<ViewPosition> {
        self.live_followers(now).try_fold(top, |covered, (_, follower)| {
            let is_of_term = follower.position.term == top.term;
            is_of_term.then(|| covered.common(&follower.position))
        })
    }

    /// Whether the views of all live daemons cover a position.
    pub fn all_cover(&self, now: Instant, position: &ViewPosition) -> bool {
        self.live_followers(now).all(|(_, follower)| follower.position.covers(position))
    }

    /// Live daemons whose views don't cover a position.
    pub fn lagging(&self, now: Instant, position: &ViewPosition) -> Vec<DaemonId> {
        let lagging = self.live_followers(now).filter(|(_, f)| !f.position.covers(position));
        lagging.map(|(daemon, _)| daemon.clone()).collect()
    }

    fn live_followers(&self, now: Instant) -> impl Iterator<Item = (&DaemonId, &Follower)> {
        let is_live =
            move |f: &Follower| now.saturating_duration_since(f.last_heard) < self.live_time;
        self.followers.iter().filter(move |(_, follower)| is_live(follower))
    }
}
