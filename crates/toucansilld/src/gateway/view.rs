//! A daemon's local copy of the region's routing and directory.

use super::{
    compress::decompress,
    messages::{ReplicatedState, ViewChange},
    settings::GatewaySettings,
};
use crate::sync::lock;
use follow::ViewPosition;
use grant::{Directory, LocalPlacer, Revision};
use platform::control::decode_document;
use routing::{RoutingDocument, RoutingTable};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use wire::DataCentreId;

/// State that a daemon has learnt from the leaders of the control group.
///
/// The version of the routing document only increases. The directory is kept in the leaders'
/// memory only, so that of a new leader replaces it.
pub(crate) struct View {
    state: Mutex<ViewState>,
}

/// Contents of a [`View`].
pub(crate) struct ViewState {
    /// Versions of the parts of this state.
    pub(crate) position: ViewPosition,
    /// Routing table of this view; `None` until a leader has sent a routing document.
    pub(crate) table: Option<Arc<RoutingTable>>,
    /// Registered upstreams and data centres out of service.
    pub(crate) directory: Directory,
    /// Requests that this daemon placed itself.
    pub(crate) local: LocalPlacer,
    /// Link address of the leader, if one is being followed.
    pub(crate) leader: Option<SocketAddr>,
    /// When a change from a leader was last applied.
    pub(crate) leader_heard: Option<Instant>,
    /// Number of daemons that accept requests of callers, as the leader counts them; 1 until
    /// a leader was heard. They share the retry budget of placements without a leader.
    pub(crate) entry_daemons: u32,
    /// Link addresses of the control group's members, as the last leader listed them, and of those that have
    /// sent messages since. Until a leader was heard, those that the voter of this daemon has stored.
    pub(crate) control_addresses: Vec<SocketAddr>,
}

/// How old a view was when it was used, for the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ViewAge {
    /// Term of the leader that sent the view.
    pub(crate) term: u64,
    /// Revision of its directory.
    pub(crate) revision: Revision,
    /// Time since a leader last confirmed it; [`Duration::MAX`] if none has.
    pub(crate) age: Duration,
}

impl View {
    /// Creates a view without routing, upstreams or a leader.
    pub(crate) fn new() -> Arc<Self> {
        let state = ViewState {
            position: ViewPosition::default(),
            table: None,
            directory: Directory::new(),
            local: LocalPlacer::new(),
            leader: None,
            leader_heard: None,
            entry_daemons: 1,
            control_addresses: Vec::new(),
        };
        Arc::new(Self { state: Mutex::new(state) })
    }

    /// Calls `f` with the contents, which are locked meanwhile.
    pub(crate) fn with<T>(&self, f: impl FnOnce(&mut ViewState) -> T) -> T {
        f(&mut lock(&self.state))
    }

    /// Routing table of this view, if any is known.
    pub(crate) fn table(&self) -> Option<Arc<RoutingTable>> {
        self.with(|state| state.table.clone())
    }

    /// Adds a daemon of the control group that has sent a message, or whose address is stored, unless a leader is
    /// being followed, who names all of them. All seeds of a daemon may be gone.
    pub(crate) fn add_control_daemon(&self, address: &str) {
        self.with(|state| {
            if state.leader.is_none()
                && let Ok(address) = address.parse()
                && !state.control_addresses.contains(&address)
            {
                state.control_addresses.push(address);
            }
        });
    }

    /// Link addresses of the daemons of the control group, sorted: those that the last leader named, that have
    /// sent messages or are stored, and the seeds.
    pub(crate) fn control_daemons(&self, settings: &GatewaySettings) -> Vec<SocketAddr> {
        let mut known = self.with(|state| state.control_addresses.clone());
        known.extend(settings.seed_links());
        known.sort_unstable();
        known.dedup();
        known
    }

    /// Link address of the next of these, in turn.
    pub(crate) fn next_control_daemon(
        &self,
        settings: &GatewaySettings,
        turn: &mut usize,
    ) -> Option<SocketAddr> {
        let known = self.control_daemons(settings);
        *turn = turn.wrapping_add(1);
        known.get(*turn % known.len().max(1)).copied()
    }

    /// Link address of the leader, if it was heard within the last `window`.
    pub(crate) fn leader(&self, now: Instant, window: Duration) -> Option<SocketAddr> {
        self.with(|state| {
            let leader_heard = state.leader_heard?;
            state.leader.filter(|_| now.saturating_duration_since(leader_heard) < window)
        })
    }
}

impl ViewState {
    /// Age of the view at `now`.
    pub(crate) fn age(&self, now: Instant) -> ViewAge {
        let age = self.leader_heard.map(|heard| now.saturating_duration_since(heard));
        ViewAge {
            term: self.position.term,
            revision: self.position.directory,
            age: age.unwrap_or(Duration::MAX),
        }
    }

    /// Start time of the newest known run of an upstream, in milliseconds since the Unix epoch on
    /// its clock; 0 if it is unknown.
    pub(crate) fn started_at_ms(&self, upstream: &str) -> u64 {
        self.directory.get(upstream).map_or(0, |entry| entry.registration.started_at_ms)
    }

    /// Applies a change sent by a leader, received at `now`. A change of an earlier term than
    /// the view's comes from a former leader and is ignored.
    pub(crate) fn apply(&mut self, now: Instant, change: ViewChange) {
        if change.position.term < self.position.term {
            return log::info!(
                term = change.position.term, known = self.position.term;
                "view of a former leader ignored"
            );
        }
        let former = self.position.routing;
        if let Some(buf) = change.routing {
            self.apply_routing(&buf);
        }
        if change.is_whole || !change.entries.is_empty() {
            log::info!(
                term = change.position.term, revision = change.position.directory,
                entries = change.entries.len(), is_whole = change.is_whole;
                "directory changed"
            );
        }
        let revision = change.position.directory;
        self.directory.adopt_entries(now, change.is_whole, revision, change.entries);
        if *self.directory.out_of_service() != change.out_of_service {
            log::info!(closed:? = change.out_of_service; "data centres out of service changed");
        }
        self.directory.set_out_of_service(change.out_of_service);
        self.entry_daemons = change.entry_daemons;
        self.control_addresses =
            change.control_addresses.iter().filter_map(|a| a.parse().ok()).collect();
        let routing = self.table.as_ref().map_or(0, |table| table.document().version);
        self.position = ViewPosition { routing, ..change.position };
        self.leader_heard = Some(now);
        if routing != former {
            log::info!(version = routing, former = former; "routing in force");
        }
    }

    /// Applies what a member of the control group has replicated, while no leader is heard. The
    /// member may lag behind, so this only adds to what the view knows: newer routing, data centres
    /// out of service and departures. The next change of a leader replaces the data centres.
    ///
    /// Ignored by a view that no leader has sent yet: routing without upstreams is of no use.
    pub(crate) fn apply_replicated(&mut self, now: Instant, replicated: ReplicatedState) {
        if self.leader_heard.is_none() {
            return;
        }
        if let Some(buf) = replicated.routing {
            let former = self.position.routing;
            self.apply_routing(&buf);
            self.position.routing = self.table.as_ref().map_or(0, |table| table.document().version);
            log::info!(
                version = self.position.routing, former = former;
                "routing in force, read from a member"
            );
        }
        let known = self.directory.out_of_service();
        if !replicated.out_of_service.is_subset(known) {
            let closed: BTreeSet<DataCentreId> = known | &replicated.out_of_service;
            log::info!(
                closed:? = closed;
                "data centres out of service read from a member"
            );
            self.directory.set_out_of_service(closed);
        }
        if self.directory.set_departures(now, &replicated.departures) {
            log::info!("departures read from a member");
        }
    }

    /// Replaces the routing table if the document is valid and newer.
    fn apply_routing(&mut self, compressed: &[u8]) {
        match read_document(compressed) {
            Ok(routing) if routing.version > self.position.routing => {
                self.table = Some(Arc::new(RoutingTable::new(routing)));
            }
            Ok(_) => {}
            Err(err) => log::error!("routing document not read: {err}"),
        }
    }
}

/// Decompresses and decodes a routing document.
pub(crate) fn read_document(compressed: &[u8]) -> Result<RoutingDocument, String> {
    let document = decompress(compressed).map_err(|err| err.to_string())?;
    decode_document(&document).map_err(|err| err.to_string())
}
