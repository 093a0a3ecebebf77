//! Renews this daemon's session lease, and keeps its view of the replicated state up to date.
//!
//! A renewal goes to the leader of the control group, directly or through the relay of the data
//! centre. Its reply extends the lease and carries the changes since the last view.

use crate::{
    control_client::ControlClient,
    control_messages::{ControlReply, ControlRequest},
    messages::message_service,
    net::Net,
    relay::{RELAY_TIMEOUT, Relay, batch_of},
    sync::lock,
};
use control::{
    Command, Configuration, DaemonInstance, JoinRequest, Ownership, QuarantineStatus, Renewal,
    RenewalReply, Roster, RosterOutcome, Session, SessionRefusal,
    relay::{self, RenewalPath},
};
use kernel::SharedClock;
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};
use wire::{DaemonId, DataCentreId, Incarnation};

/// Time between checks whether a renewal is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between renewals while the daemon holds no valid lease.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time to wait for the leader's reply to a renewal.
const RENEW_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum time to wait until a join or a leave is committed.
const ROSTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Hook that is called after each change of the view.
pub(crate) type ViewHook = Box<dyn Fn(&SessionService) + Send + Sync>;

/// Session of this daemon, with the thread that renews its lease.
pub(crate) struct SessionService {
    session: Mutex<Session>,
    client: Arc<ControlClient>,
    net: Arc<Net>,
    relay: Arc<Relay>,
    clock: SharedClock,
    address: String,
    data_centre: DataCentreId,
    hooks: Mutex<Vec<ViewHook>>,
    is_stopping: AtomicBool,
    renewer: Mutex<Option<JoinHandle<()>>>,
}

impl SessionService {
    /// Session without a lease.
    pub(crate) fn new(
        daemon: DaemonId,
        data_centre: DataCentreId,
        incarnation: Incarnation,
        client: Arc<ControlClient>,
        net: Arc<Net>,
        relay: Arc<Relay>,
        clock: SharedClock,
    ) -> Arc<Self> {
        let instance = DaemonInstance { daemon, incarnation };
        let address = net.address().to_string();
        Arc::new(Self {
            session: Mutex::new(Session::new(instance, data_centre.clone())),
            client,
            net,
            relay,
            clock,
            address,
            data_centre,
            hooks: Mutex::default(),
            is_stopping: AtomicBool::new(false),
            renewer: Mutex::default(),
        })
    }

    /// Adds a hook that is called after each change of the view.
    pub(crate) fn on_change(&self, hook: ViewHook) {
        lock(&self.hooks).push(hook);
    }

    /// Starts the thread that renews the lease.
    pub(crate) fn start(self: &Arc<Self>) {
        let this = Arc::clone(self);
        let renewer = thread::spawn(move || this.run());
        *lock(&self.renewer) = Some(renewer);
    }

    /// Ends the session: the daemon takes no new requests from now on. It stays in the roster until
    /// [`leave`](Self::leave).
    pub(crate) fn end(&self) {
        lock(&self.session).end();
    }

    /// Stops renewing and leaves the roster.
    pub(crate) fn leave(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        if let Some(renewer) = lock(&self.renewer).take() {
            let _ = renewer.join();
        }
        let leave = Command::Leave(self.instance());
        if let Err(err) = self.client.propose(leave, ROSTER_TIMEOUT) {
            log::warn!("the daemon did not leave the roster: {err}");
        }
    }

    /// Stops renewing without leaving the roster. The lease expires.
    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Renews at once, to receive a change that was just committed.
    pub(crate) fn refresh(&self) {
        self.renew();
    }

    /// Name and incarnation of this daemon.
    pub(crate) fn instance(&self) -> DaemonInstance {
        lock(&self.session).instance().clone()
    }

    /// Whether the daemon may accept new requests now, or why not.
    pub(crate) fn may_accept_requests(&self) -> Result<(), SessionRefusal> {
        lock(&self.session).may_accept_work(self.clock.now())
    }

    /// Whether this daemon owns an ownership group of its data centre.
    pub(crate) fn owns(&self, ownership_group: &str) -> Ownership {
        lock(&self.session).owns(ownership_group, self.clock.now())
    }

    /// Configuration of this daemon's current view.
    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(lock(&self.session).view().configuration())
    }

    /// The roster as known to this daemon.
    pub(crate) fn roster(&self) -> Arc<Roster> {
        Arc::clone(lock(&self.session).view().roster())
    }

    /// Position of the current view.
    pub(crate) fn view_position(&self) -> ViewPosition {
        let session = lock(&self.session);
        ViewPosition { index: session.view().index(), sheet: session.view().sheet() }
    }

    /// Quarantine status of a request, by its hash.
    pub(crate) fn quarantine_status(
        &self,
        request_hash: &control::RequestHash,
    ) -> QuarantineStatus {
        lock(&self.session).view().quarantine_status(request_hash)
    }

    /// Link address of a member of the roster.
    pub(crate) fn address_of(&self, daemon: &str) -> Option<String> {
        self.roster().member(daemon).map(|member| member.address.clone())
    }

    fn run(&self) {
        while !self.is_stopping.load(Ordering::Relaxed) {
            thread::sleep(self.renew_if_due());
        }
    }

    /// Renews if that is due, and returns the time until the next check. Renewals are due earlier
    /// than the lease requires, because they acknowledge changes that operators wait for.
    fn renew_if_due(&self) -> Duration {
        if self.is_renewal_due() && !self.renew() {
            return RETRY_INTERVAL;
        }
        CHECK_INTERVAL
    }

    /// Whether a renewal is due by the session's schedule, or the daemon holds no valid lease.
    fn is_renewal_due(&self) -> bool {
        let now = self.clock.now();
        let session = lock(&self.session);
        session.is_renewal_due(now) || session.may_accept_work(now).is_err()
    }

    /// Renews once. Returns whether the daemon may take new requests afterwards.
    fn renew(&self) -> bool {
        let renewal = lock(&self.session).renew(self.clock.now());
        match self.renew_by_relay(&renewal) {
            Some(reply) => self.apply_reply(&reply),
            None => self.renew_directly(renewal),
        }
        self.may_accept_requests().is_ok()
    }

    /// The reply received through the relay, or `None` if there is no relay or it fails.
    fn renew_by_relay(&self, renewal: &Renewal) -> Option<RenewalReply> {
        match relay::renewal_path(&renewal.holder.daemon, &self.roster()) {
            RenewalPath::Direct => None,
            RenewalPath::Relay => self.relay.renew(renewal.clone()),
            RenewalPath::ViaRelay(relay) => {
                let address = self.address_of(&relay)?;
                let body = control::encode(renewal);
                let reply =
                    self.net.request(&address, message_service::RELAY, body, RELAY_TIMEOUT).ok()?;
                control::decode(&reply).ok()
            }
        }
    }

    /// Sends a renewal to the leader and applies its reply.
    fn renew_directly(&self, renewal: Renewal) {
        let req = ControlRequest::Renew(batch_of(renewal));
        match self.client.request(&req, RENEW_TIMEOUT) {
            Ok(ControlReply::Renewed(replies)) => {
                replies.split().into_iter().for_each(|(_, reply)| self.apply_reply(&reply));
            }
            Ok(other) => log::warn!("unexpected reply to a renewal: {other:?}"),
            Err(err) => log::warn!("the lease was not renewed: {err}"),
        }
    }

    /// Applies the reply to a renewal. A daemon that is no member joins again.
    fn apply_reply(&self, reply: &RenewalReply) {
        let before = self.view_position();
        let accepted = lock(&self.session).accept(reply);
        if let RenewalReply::NotMember { last_incarnation, .. } = reply {
            return self.join(*last_incarnation);
        }
        match accepted {
            Err(err) if err.is_older_sheet() => {
                log::error!("no new requests until the later sheet is applied again: {err}");
            }
            Err(err) => log::debug!("a reply to a renewal was ignored: {err}"),
            Ok(()) => (),
        }
        if self.view_position() != before {
            self.notify_view_changed();
        }
    }

    /// Joins the roster, with an incarnation above `last`, the last one of this daemon that was a
    /// member.
    fn join(&self, last: Option<Incarnation>) {
        let own = self.instance().incarnation;
        let incarnation = last.map_or(own, |last| own.max(last + 1));
        lock(&self.session).rejoin(incarnation);
        let join = JoinRequest {
            holder: self.instance(),
            address: self.address.clone(),
            data_centre: self.data_centre.clone(),
        };
        match self.client.propose(Command::Join(join), ROSTER_TIMEOUT) {
            Ok(control::Outcome::Roster(RosterOutcome::Joined { index })) => {
                log::info!("joined the roster at {index} as incarnation {incarnation}");
            }
            Ok(other) => log::warn!("the daemon did not join: {other:?}"),
            Err(err) => log::warn!("the daemon did not join: {err}"),
        }
    }

    /// Updates the known daemons from the roster, and calls the hooks.
    fn notify_view_changed(&self) {
        let roster = self.roster();
        let members = roster.members().map(|(_, member)| member.address.clone()).collect();
        self.client.set_members(members);
        self.net.set_peers(&roster);
        lock(&self.hooks).iter().for_each(|hook| hook(self));
    }
}

/// Position of a view in the sequence of changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct ViewPosition {
    /// Log index that the view has reached.
    pub(crate) index: u64,
    /// Number of the sheet that this daemon has applied, 0 without one.
    pub(crate) sheet: u64,
}
