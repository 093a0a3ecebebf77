//! What a daemon knows of its region.

use super::{
    compress::decompress,
    messages::{ViewChange, ViewPosition},
};
use crate::sync::lock;
use grant::{Directory, LocalPlacer};
use platform::control::decode_document;
use routing::{RoutingDocument, RoutingTable};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// What a daemon has learnt from the leaders of the control group. Routing only advances;
/// the directory is replaced by that of a new leader.
pub(crate) struct View {
    state: Mutex<ViewState>,
}

/// The view at one moment.
pub(crate) struct ViewState {
    /// How far it goes.
    pub(crate) position: ViewPosition,
    /// The routing document in force.
    pub(crate) table: Option<Arc<RoutingTable>>,
    /// The upstreams.
    pub(crate) directory: Directory,
    /// This daemon's own sends.
    pub(crate) local: LocalPlacer,
    /// Link address of the leader.
    pub(crate) leader: Option<SocketAddr>,
    /// When the leader last answered.
    pub(crate) leader_heard: Option<Instant>,
    /// Daemons that take requests of callers.
    pub(crate) entry_daemons: u32,
    /// Link addresses of the control group, as the leaders named them.
    pub(crate) control_addresses: Vec<SocketAddr>,
}

impl View {
    /// A view that knows nothing.
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

    /// Reads or changes the view.
    pub(crate) fn with<T>(&self, f: impl FnOnce(&mut ViewState) -> T) -> T {
        f(&mut lock(&self.state))
    }

    /// The routing document in force.
    pub(crate) fn table(&self) -> Option<Arc<RoutingTable>> {
        self.with(|state| state.table.clone())
    }

    /// The leader, if it answered within `window`.
    pub(crate) fn leader(&self, now: Instant, window: Duration) -> Option<SocketAddr> {
        self.with(|state| {
            let leader_heard = state.leader_heard?;
            state.leader.filter(|_| now.saturating_duration_since(leader_heard) < window)
        })
    }
}

impl ViewState {
    /// Takes in what a leader says. One of an earlier term is ignored.
    pub(crate) fn apply(&mut self, now: Instant, change: ViewChange) {
        if change.position.term < self.position.term {
            return log::info!(
                term = change.position.term, known = self.position.term;
                "view of a former leader ignored"
            );
        }
        let version = self.position.routing;
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
        if routing != version {
            log::info!(version = routing, former = version; "routing in force");
        }
    }

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

/// Reads a packed document.
pub(crate) fn read_document(compressed: &[u8]) -> Result<RoutingDocument, String> {
    let document = decompress(compressed).map_err(|err| err.to_string())?;
    decode_document(&document).map_err(|err| err.to_string())
}
