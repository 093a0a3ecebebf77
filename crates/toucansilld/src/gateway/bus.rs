//! Links of a gateway daemon, on the runtime that all its tasks share.

use super::{
    messages::{LeaderReply, LeaderRequest, service},
    settings::GatewaySettings,
};
use crate::{
    control_messages::RaftEnvelope,
    error::{Error, Result},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use wire::{Inbound, LinkConfig, Links, Message, RegionSecret, Responder};

/// The daemons of a gateway have no way to share a secret: their platform gives each only
/// its settings file. Their links are open to whoever reaches the internal ports.
const OPEN_SECRET: &str = "links without a secret";
/// Longest wait for a connection and its handshake: dozens of round trips in a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time between pings, and longest wait for an answer. A link that went silent is replaced
/// within the sum, well before a change has to be in force.
const PING_INTERVAL: Duration = Duration::from_millis(400);
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest pause before another attempt to connect, so that a healed cut is found soon.
const BACKOFF_MAX: Duration = Duration::from_millis(200);

/// Answers questions. It must not wait.
pub(crate) type RequestHandler = Arc<dyn Fn(LeaderRequest, Responder) + Send + Sync>;
/// Takes in consensus messages.
pub(crate) type RaftHandler = Arc<dyn Fn(RaftEnvelope) + Send + Sync>;

/// The links.
pub(crate) struct DaemonLinks {
    links: Links,
}

impl DaemonLinks {
    /// Listens for links.
    pub(crate) async fn start(
        settings: &GatewaySettings,
        on_request: RequestHandler,
        on_raft: Option<RaftHandler>,
    ) -> Result<Arc<Self>> {
        let fault = |err: wire::Error| Error::start("links", err);
        let secret = RegionSecret::new(OPEN_SECRET).map_err(fault)?;
        let mut cfg = LinkConfig::new(settings.daemon.clone(), settings.links, secret);
        cfg.is_inline = true;
        cfg.connect_timeout = CONNECT_TIMEOUT;
        cfg.connect_attempts = 1;
        cfg.max_backoff = BACKOFF_MAX;
        cfg.ping_interval = PING_INTERVAL;
        cfg.ping_timeout = PING_TIMEOUT;
        let handler = Arc::new(move |inbound| receive(inbound, &on_request, on_raft.as_ref()));
        Ok(Arc::new(Self { links: Links::attach(cfg, handler).await.map_err(fault)? }))
    }

    /// The address that is listened on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.links.address()
    }

    /// Asks the daemon at `address`.
    pub(crate) async fn request(
        &self,
        address: SocketAddr,
        request: &LeaderRequest,
        timeout: Duration,
    ) -> wire::Result<LeaderReply> {
        let message = Message { service: service::LEADER.to_owned(), body: wire::encode(request)? };
        wire::decode(&self.links.ask(address, message, timeout).await?)
    }

    /// Sends a consensus message. One that is lost is sent again by the consensus.
    pub(crate) fn send_raft(&self, address: SocketAddr, envelope: &RaftEnvelope) {
        let message =
            Message { service: service::RAFT.to_owned(), body: control::encode(envelope) };
        self.links.notify(address, message);
    }
}

fn receive(inbound: Inbound, on_request: &RequestHandler, on_raft: Option<&RaftHandler>) {
    let Inbound { peer, message, responder, .. } = inbound;
    if message.service == service::RAFT {
        match (on_raft, control::decode(&message.body)) {
            (Some(on_raft), Ok(envelope)) => on_raft(envelope),
            (None, _) => log::debug!("{peer}: consensus message to a daemon without a voter"),
            (_, Err(err)) => log::warn!("{peer}: consensus message: {err}"),
        }
        return;
    }
    match wire::decode(&message.body) {
        Ok(request) => on_request(request, responder),
        Err(err) => {
            log::warn!("{peer}: {err}");
            let _ = responder.refuse(&err.to_string());
        }
    }
}

/// Sends an answer. The other end may have given up by now, which harms nobody.
pub(crate) fn reply(responder: Responder, reply: &LeaderReply) {
    let sent = wire::encode(reply).and_then(|buf| responder.reply(buf));
    if let Err(err) = sent {
        log::debug!("answer not sent: {err}");
    }
}
