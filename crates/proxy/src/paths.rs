//! Which upstreams a daemon reaches by its own connections, and which only through other daemons.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Number of upstreams to which connections fail, with none made to any upstream in between, at which
/// the daemon tries connections to others, to see whether it has lost its paths itself.
const MIN_FAILING_UPSTREAMS: usize = 2;
/// Time for which an upstream that no daemon reached is not looked for through others again.
const GONE_TIME: Duration = Duration::from_secs(1);

/// Order in which a daemon tries the paths to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathChoice {
    /// By an own connection only: another daemon has just not reached the upstream either.
    Direct,
    /// By an own connection, and if it can't be made through another daemon.
    DirectThenRelay,
    /// Through another daemon: own connections fail.
    Relay,
}

/// Change of a daemon's paths as a whole, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathsChange {
    /// No connection can be made to any of several upstreams.
    InDoubt,
    /// That is so, and other daemons reach upstreams: the daemon itself has lost its paths.
    Lost,
    /// A connection was made again, this long after the first one failed.
    Regained(Duration),
}

/// What a daemon knows of its paths to the upstreams.
///
/// That a connection fails doesn't tell whether the upstream is gone or the path to it is lost. The
/// daemon therefore lets another one try, as an indirect probe in SWIM does. If that one reaches the
/// upstream, the path is lost, and requests go through other daemons until an own connection can be
/// made again.
///
/// If connections to several upstreams fail, the daemon tries some to others. If these fail too, it
/// doubts itself, and once another daemon reaches an upstream all its paths count as lost.
///
/// ```
/// use proxy::{PathChoice, PathTable};
/// use std::time::Instant;
///
/// let (now, upstream) = (Instant::now(), "10.0.0.1:80".parse()?);
/// let mut paths = PathTable::default();
/// assert_eq!(paths.choice(now, upstream), PathChoice::DirectThenRelay);
/// paths.connection_failed(now, upstream);
/// paths.relayed(upstream);
/// assert_eq!(paths.choice(now, upstream), PathChoice::Relay);
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct PathTable {
    /// Upstreams to which connections have failed since the last one that was made, and since when.
    failing: Option<(Instant, BTreeSet<SocketAddr>)>,
    /// Upstreams that only other daemons reach.
    lost: BTreeSet<SocketAddr>,
    /// Upstreams that no daemon reached, and when that was found out.
    gone: BTreeMap<SocketAddr, Instant>,
    /// Whether connections to others were then tried in vain.
    is_in_doubt: bool,
    /// Whether all paths count as lost.
    is_isolated: bool,
}

impl PathTable {
    /// Order in which to try the paths to an upstream.
    pub fn choice(&self, now: Instant, upstream: SocketAddr) -> PathChoice {
        let is_gone = |at: &Instant| now.saturating_duration_since(*at) < GONE_TIME;
        if self.is_isolated || self.lost.contains(&upstream) {
            PathChoice::Relay
        } else if self.gone.get(&upstream).is_some_and(is_gone) {
            PathChoice::Direct
        } else {
            PathChoice::DirectThenRelay
        }
    }

    /// Whether connections to several upstreams have failed and none was made since.
    pub fn has_several_failures(&self) -> bool {
        self.failing.as_ref().is_some_and(|(_, failing)| failing.len() >= MIN_FAILING_UPSTREAMS)
    }

    /// Whether the daemon itself seems to have lost its paths: it is then of no use as a relay, and its
    /// own failures say nothing about the upstreams.
    pub fn is_in_doubt(&self) -> bool {
        self.is_in_doubt
    }

    /// Records that a connection to an upstream was made.
    pub fn connection_made(&mut self, now: Instant, upstream: SocketAddr) -> Option<PathsChange> {
        self.lost.remove(&upstream);
        self.gone.remove(&upstream);
        self.is_isolated = false;
        let (since, _) = self.failing.take()?;
        let was_in_doubt = std::mem::take(&mut self.is_in_doubt);
        was_in_doubt.then(|| PathsChange::Regained(now.saturating_duration_since(since)))
    }

    /// Records that no connection to an upstream could be made.
    pub fn connection_failed(&mut self, now: Instant, upstream: SocketAddr) {
        self.failing.get_or_insert_with(|| (now, BTreeSet::new())).1.insert(upstream);
    }

    /// Records that all connections to upstreams in [`to_check`](Self::to_check) have failed.
    pub fn checked_in_vain(&mut self) -> Option<PathsChange> {
        if self.is_in_doubt || !self.has_several_failures() {
            return None;
        }
        self.is_in_doubt = true;
        self.is_isolated = !self.lost.is_empty();
        Some(if self.is_isolated { PathsChange::Lost } else { PathsChange::InDoubt })
    }

    /// Records that another daemon reached an upstream to which no own connection could be made.
    pub fn relayed(&mut self, upstream: SocketAddr) -> Option<PathsChange> {
        self.gone.remove(&upstream);
        self.lost.insert(upstream);
        let was_isolated = self.is_isolated;
        self.is_isolated |= self.is_in_doubt;
        (self.is_isolated && !was_isolated).then_some(PathsChange::Lost)
    }

    /// Records that other daemons didn't reach an upstream either.
    pub fn not_reached_by_others(&mut self, now: Instant, upstream: SocketAddr) {
        self.lost.remove(&upstream);
        self.gone.retain(|_, at| now.saturating_duration_since(*at) < GONE_TIME);
        self.gone.insert(upstream, now);
    }

    /// Upstreams to which own connections are to be tried, in order of preference: any of `known` after
    /// several failures, those that haven't failed first, otherwise those that only other daemons
    /// reach. Upstreams that aren't `known` any more are forgotten.
    pub fn to_check(&mut self, known: &BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
        self.lost.retain(|upstream| known.contains(upstream));
        let Some((_, failing)) = self.failing.as_ref().filter(|_| self.has_several_failures())
        else {
            return self.lost.iter().copied().collect();
        };
        known.difference(failing).chain(known.intersection(failing)).copied().collect()
    }
}
