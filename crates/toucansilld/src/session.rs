//! Keeps this daemon's session lease and its view of the replicated state.

use crate::{
    control_client::ControlClient,
    control_messages::{ControlReply, ControlRequest},
    messages::service,
    net::Net,
    relay::{RELAY_TIMEOUT, Relay, single},
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

/// Time between two looks whether a renewal is due.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Time between two attempts while there is no lease.
const RETRY_EVERY: Duration = Duration::from_millis(200);
/// Longest wait for the answer to a renewal.
const RENEW_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for a join or a leave.
const ROSTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Called after each change of the view.
pub(crate) type OnChange = Box<dyn Fn(&SessionService) + Send + Sync>;

/// The session of this daemon.
pub(crate) struct SessionService {
    session: Mutex<Session>,
    client: Arc<ControlClient>,
    net: Arc<Net>,
    relay: Arc<Relay>,
    clock: SharedClock,
    address: String,
    data_centre: DataCentreId,
    on_change: Mutex<Vec<OnChange>>,
    is_stopping: AtomicBool,
    renewer: Mutex<Option<JoinHandle<()>>>,
}

impl SessionService {
    /// A session that holds no lease yet.
    pub(crate) fn new(
        daemon: DaemonId,
        data_centre: DataCentreId,
        incarnation: Incarnation,
        client: Arc<ControlClient>,
        net: Arc<Net>,
        relay: Arc<Relay>,
        clock: SharedClock,
    ) -> Arc<Self> {
        let holder = DaemonInstance { daemon, incarnation };
        let address = net.address().to_string();
        Arc::new(Self {
            session: Mutex::new(Session::new(holder, data_centre.clone())),
            client,
            net,
            relay,
            clock,
            address,
            data_centre,
            on_change: Mutex::default(),
            is_stopping: AtomicBool::new(false),
            renewer: Mutex::default(),
        })
    }

    /// Adds a hook that runs after each change of the view.
    pub(crate) fn on_change(&self, hook: OnChange) {
        lock(&self.on_change).push(hook);
    }

    /// Starts to renew.
    pub(crate) fn start(self: &Arc<Self>) {
        let this = Arc::clone(self);
        let renewer = thread::spawn(move || this.run());
        *lock(&self.renewer) = Some(renewer);
    }

    /// Ends the session and leaves the roster. No new work is taken from here on.
    pub(crate) fn end(&self) {
        lock(&self.session).end();
    }

    /// Stops renewing and leaves the roster.
    pub(crate) fn leave(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        if let Some(renewer) = lock(&self.renewer).take() {
            let _ = renewer.join();
        }
        let leave = Command::Leave(self.holder());
        if let Err(err) = self.client.propose(leave, ROSTER_TIMEOUT) {
            log::warn!("the daemon did not leave the roster: {err}");
        }
    }

    /// Stops renewing without leaving; the lease runs out.
    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Renews at once, to learn of a change that was just committed.
    pub(crate) fn refresh(&self) {
        self.renew();
    }

    /// This daemon and its run.
    pub(crate) fn holder(&self) -> DaemonInstance {
        lock(&self.session).instance().clone()
    }

    /// Whether new work may be taken now.
    pub(crate) fn may_take_work(&self) -> Result<(), SessionRefusal> {
        lock(&self.session).may_take_work(self.clock.now())
    }

    /// Whether this daemon owns a group of upstreams of its data centre.
    pub(crate) fn owns(&self, group: &str) -> Ownership {
        lock(&self.session).owns(group, self.clock.now())
    }

    /// The configuration in force here.
    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(lock(&self.session).view().configuration())
    }

    /// The roster as known here.
    pub(crate) fn roster(&self) -> Arc<Roster> {
        Arc::clone(lock(&self.session).view().roster())
    }

    /// Log index that the view has reached, and the number of its sheet.
    pub(crate) fn position(&self) -> Position {
        let session = lock(&self.session);
        Position { index: session.view().index(), sheet: session.view().sheet() }
    }

    /// How a request stands that may have crashed upstreams.
    pub(crate) fn quarantine_status(&self, fingerprint: &control::RequestHash) -> QuarantineStatus {
        lock(&self.session).view().quarantine_status(fingerprint)
    }

    /// Link address of a member.
    pub(crate) fn address_of(&self, daemon: &str) -> Option<String> {
        self.roster().member(daemon).map(|member| member.address.clone())
    }

    fn run(&self) {
        while !self.is_stopping.load(Ordering::Relaxed) {
            thread::sleep(self.step());
        }
    }

    /// Renews if that is due, and gives the time until the next look. Changes are
    /// acknowledged sooner than the lease needs, as operators wait for that.
    fn step(&self) -> Duration {
        if self.is_renewal_due() && !self.renew() {
            return RETRY_EVERY;
        }
        LOOK_EVERY
    }

    fn is_renewal_due(&self) -> bool {
        let now = self.clock.now();
        let session = lock(&self.session);
        session.is_renewal_due(now) || session.may_take_work(now).is_err()
    }

    /// Renews once. False if the lease is not valid afterwards.
    fn renew(&self) -> bool {
        let renewal = lock(&self.session).renew(self.clock.now());
        match self.renew_by_relay(&renewal) {
            Some(reply) => self.accept(&reply),
            None => self.renew_directly(renewal),
        }
        self.may_take_work().is_ok()
    }

    /// The reply by way of the relay, or nothing if there is none or it fails.
    fn renew_by_relay(&self, renewal: &Renewal) -> Option<RenewalReply> {
        match relay::renewal_path(&renewal.holder.daemon, &self.roster()) {
            RenewalPath::Direct => None,
            RenewalPath::Relay => self.relay.renew(renewal.clone()),
            RenewalPath::ViaRelay(relay) => {
                let address = self.address_of(&relay)?;
                let body = control::encode(renewal);
                let answer = self.net.ask(&address, service::RELAY, body, RELAY_TIMEOUT).ok()?;
                control::decode(&answer).ok()
            }
        }
    }

    fn renew_directly(&self, renewal: Renewal) {
        let req = ControlRequest::Renew(single(renewal));
        match self.client.ask(&req, RENEW_TIMEOUT) {
            Ok(ControlReply::Renewed(replies)) => {
                replies.split().into_iter().for_each(|(_, reply)| self.accept(&reply));
            }
            Ok(other) => log::warn!("a renewal got {other:?}"),
            Err(err) => log::warn!("the lease was not renewed: {err}"),
        }
    }

    fn accept(&self, reply: &RenewalReply) {
        let before = self.position();
        let accepted = lock(&self.session).accept(reply);
        if let RenewalReply::NotMember { last_incarnation, .. } = reply {
            return self.join(*last_incarnation);
        }
        match accepted {
            Err(err) if err.is_older_sheet() => {
                log::error!("no work until the later sheet is applied again: {err}");
            }
            Err(err) => log::debug!("a lease reply was not used: {err}"),
            Ok(()) => (),
        }
        if self.position() != before {
            self.changed();
        }
    }

    /// Joins the roster, above the last incarnation that was a member.
    fn join(&self, last: Option<Incarnation>) {
        let own = self.holder().incarnation;
        let incarnation = last.map_or(own, |last| own.max(last + 1));
        lock(&self.session).rejoin(incarnation);
        let join = JoinRequest {
            holder: self.holder(),
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

    fn changed(&self) {
        let roster = self.roster();
        let members = roster.members().map(|(_, member)| member.address.clone()).collect();
        self.client.set_members(members);
        self.net.set_peers(&roster);
        lock(&self.on_change).iter().for_each(|hook| hook(self));
    }
}

/// How far a view is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Position {
    /// Log index.
    pub(crate) index: u64,
    /// Number of the sheet in force, 0 without one.
    pub(crate) sheet: u64,
}
