//! Links between the daemons of a gateway, on the runtime that all tasks of a daemon share.

use super::{
    messages::{LeaderReply, LeaderRequest, message_service},
    request_relay::RequestRelays,
    settings::GatewaySettings,
};
use crate::{
    control_messages::RaftEnvelope,
    error::{Error, Result},
};
use kernel::SharedClock;
use proxy::Connector;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use wire::{
    Inbound, LinkConfig, LinkFailure, LinkFailureKind, Links, Message, PeerRoute, ProbeOutcome,
    RegionSecret, Responder,
};

/// Fixed region secret. The daemons of a gateway have no way to share a real one: the platform
/// gives each only its settings file. Their links accept anyone who reaches the internal ports.
const OPEN_SECRET: &str = "links without a secret";
/// Timeout for a connection and its handshake: dozens of round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval of pings, and timeout for the reply to one. A link that fails silently is replaced
/// within the sum of both, well before a change has to be in force.
const PING_INTERVAL: Duration = Duration::from_millis(400);
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest pause between attempts to connect, so that a link is back soon after a network
/// partition has healed.
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// Timeout for the reply to [`LeaderRequest::Probe`]: that of a connection and a margin.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Handles a request of another daemon and replies through the responder. It must not block.
pub(crate) type RequestHandler = Arc<dyn Fn(LeaderRequest, Responder) + Send + Sync>;
/// Handles Raft messages.
pub(crate) type RaftHandler = Arc<dyn Fn(RaftEnvelope) + Send + Sync>;

/// Returns the link addresses of the members of the control group, as far as they are known.
pub(crate) type KnownMembers = Box<dyn Fn() -> Vec<SocketAddr> + Send + Sync>;

/// Links of this daemon to the others.
pub(crate) struct DaemonLinks {
    links: Links,
    connector: Connector,
    relays: RequestRelays,
}

impl DaemonLinks {
    /// Starts listening for links. `on_raft` is `None` for a daemon without a voter. `connector` is the
    /// way to the other daemons, and the known members pass requests on.
    pub(crate) async fn start(
        settings: &GatewaySettings,
        connector: Connector,
        known_members: KnownMembers,
        clock: SharedClock,
        on_request: RequestHandler,
        on_raft: Option<RaftHandler>,
    ) -> Result<Arc<Self>> {
        let fault = |err: wire::Error| Error::start("links", err);
        let secret = RegionSecret::new(OPEN_SECRET).map_err(fault)?;
        let mut cfg = LinkConfig::new(settings.daemon.clone(), settings.links, secret);
        let route = connector.clone();
        cfg.route = PeerRoute::through(move |peer| route.route_to(peer));
        cfg.inline_handler = true;
        cfg.connect_timeout = CONNECT_TIMEOUT;
        cfg.connect_attempts = 1;
        cfg.max_backoff = MAX_BACKOFF;
        cfg.ping_interval = PING_INTERVAL;
        cfg.ping_timeout = PING_TIMEOUT;
        let handler = Arc::new(move |inbound| deliver(inbound, &on_request, on_raft.as_ref()));
        let links = Links::attach(cfg, handler).await.map_err(fault)?;
        let relays = RequestRelays::new(known_members, clock);
        Ok(Arc::new(Self { links, connector, relays }))
    }

    /// Address on which this daemon listens for links.
    pub(crate) fn address(&self) -> SocketAddr {
        self.links.address()
    }

    /// The last failure to connect to the daemon at `address`, if it hasn't been reached since.
    pub(crate) fn last_failure(&self, address: SocketAddr) -> Option<LinkFailure> {
        self.links.last_failure(address)
    }

    /// Whether messages to the daemon at `address` don't get there, although something may listen: the last attempt
    /// to connect has failed, or the present one takes as long as one may that gets no answer.
    pub(crate) fn is_cut_off_from(&self, address: SocketAddr) -> bool {
        let failure = self.last_failure(address);
        failure.is_some_and(|failure| failure.kind != LinkFailureKind::Refused)
            || self.links.connecting_for(address).is_some_and(|time| time >= CONNECT_TIMEOUT)
    }

    /// Whether messages to the daemon at `address` get there, as far as is known.
    pub(crate) fn reaches(&self, address: SocketAddr) -> bool {
        self.last_failure(address).is_none() && !self.is_cut_off_from(address)
    }

    /// Connects to the daemon at `address` unless there is a link to it, without waiting for that.
    pub(super) fn reconnect(&self, address: SocketAddr) {
        self.links.reconnect(address);
    }

    /// Members that pass requests on.
    pub(super) fn relays(&self) -> &RequestRelays {
        &self.relays
    }

    /// Sends a request to the daemon at `address` and returns its reply.
    pub(crate) async fn request(
        &self,
        address: SocketAddr,
        request: &LeaderRequest,
        timeout: Duration,
    ) -> wire::Result<LeaderReply> {
        wire::decode(&self.request_encoded(address, wire::encode(request)?, timeout).await?)
    }

    /// As [`request`](Self::request), with an encoded request and reply.
    pub(super) async fn request_encoded(
        &self,
        address: SocketAddr,
        request: Vec<u8>,
        timeout: Duration,
    ) -> wire::Result<Vec<u8>> {
        let message = Message { service: message_service::LEADER.to_owned(), body: request };
        self.links.request_async(address, message, timeout).await
    }

    /// What a new connection tells about a daemon that doesn't answer.
    pub(crate) async fn probe(&self, address: SocketAddr) -> ProbeOutcome {
        wire::probe(self.connector.route_to(address), CONNECT_TIMEOUT).await
    }

    /// Whether another daemon sees that the process of a daemon is there which doesn't answer this one.
    pub(crate) async fn is_seen_by(&self, witness: SocketAddr, address: SocketAddr) -> bool {
        let request = LeaderRequest::Probe { address: address.to_string() };
        match self.request(witness, &request, PROBE_TIMEOUT).await {
            Ok(LeaderReply::Probed { is_listening }) => is_listening,
            Ok(_) => false,
            // It is down, or of an earlier build.
            Err(err) => {
                log::debug!("{witness}: {address} not probed: {err}");
                false
            }
        }
    }

    /// Sends a Raft message without waiting for delivery. Raft itself resends what is lost.
    pub(crate) fn send_raft(&self, address: SocketAddr, envelope: &RaftEnvelope) {
        let message =
            Message { service: message_service::RAFT.to_owned(), body: control::encode(envelope) };
        self.links.notify(address, message);
    }
}

/// Passes a message to the handler of its message service.
fn deliver(inbound: Inbound, on_request: &RequestHandler, on_raft: Option<&RaftHandler>) {
    let Inbound { peer, message, responder, .. } = inbound;
    if message.service == message_service::RAFT {
        match (on_raft, control::decode(&message.body)) {
            (Some(on_raft), Ok(envelope)) => on_raft(envelope),
            (None, _) => log::debug!("{peer}: Raft message to a daemon without a voter"),
            (_, Err(err)) => log::warn!("{peer}: invalid Raft message: {err}"),
        }
        return;
    }
    match wire::decode(&message.body) {
        Ok(request) => on_request(request, responder),
        Err(err) => {
            log::warn!("{peer}: invalid request: {err}");
            let _ = responder.refuse(&err.to_string());
        }
    }
}

/// Answers [`LeaderRequest::Probe`]. `links` is the address on which this daemon listens for links: the others
/// use the same port.
pub(crate) fn answer_probe(
    connector: &Connector,
    links: SocketAddr,
    address: &str,
    responder: Responder,
) {
    let address: Option<SocketAddr> = address.parse().ok();
    let Some(address) = address.filter(|address| address.port() == links.port()) else {
        let _ = responder.refuse("this is no address of a daemon");
        return;
    };
    let route = connector.route_to(address);
    tokio::spawn(async move {
        let is_listening = wire::probe(route, CONNECT_TIMEOUT).await == ProbeOutcome::Accepted;
        reply(responder, &LeaderReply::Probed { is_listening });
    });
}

/// Sends a reply. The requester may have given up by now, so a failure is harmless.
pub(crate) fn reply(responder: Responder, reply: &LeaderReply) {
    match wire::encode(reply) {
        Ok(buf) => reply_encoded(responder, buf),
        Err(err) => log::error!("reply not encoded: {err}"),
    }
}

/// Sends an encoded reply, as [`reply`] does.
pub(crate) fn reply_encoded(responder: Responder, buf: Vec<u8>) {
    if let Err(err) = responder.reply(buf) {
        log::debug!("reply not sent: {err}");
    }
}
