//! Links to the other daemons, and the services that answer them.

use crate::{
    error::{Error, Result},
    settings::Settings,
    sync::lock,
};
use bincode::{Decode, Encode};
use control::Roster;
use event::{HybridClock, Recorder, Timestamp};
use kernel::Registry;
use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use wire::{Inbound, LinkConfig, Links, Message, RegionSecret, StreamIn, Verdict};

/// Answers the messages for one service.
pub(crate) type ServiceFn = Arc<dyn Fn(Inbound) + Send + Sync>;

/// Links of one daemon.
pub(crate) struct Net {
    /// Taken out at a stop.
    links: Mutex<Option<Arc<Links>>>,
    address: SocketAddr,
    services: Arc<Registry>,
    peers: Mutex<Vec<Peer>>,
    recorder: Arc<Recorder>,
}

/// A message with the sender's time, which moves the receiver's clock of events on.
#[derive(Decode, Encode)]
struct Stamped {
    wall_ms: u64,
    counter: u64,
    body: Vec<u8>,
}

/// Another daemon of the roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Peer {
    /// Name of the daemon.
    pub(crate) daemon: String,
    /// Its link address.
    pub(crate) address: String,
}

/// A message that got no answer.
#[derive(Debug)]
pub(crate) struct NetError {
    is_sent: bool,
    reason: String,
}

impl NetError {
    /// Whether the other daemon may have acted on the message.
    pub(crate) fn is_sent(&self) -> bool {
        self.is_sent
    }

    fn unsent(reason: impl fmt::Display) -> Self {
        Self { is_sent: false, reason: reason.to_string() }
    }
}

impl From<wire::Error> for NetError {
    fn from(err: wire::Error) -> Self {
        Self { is_sent: err.verdict() != Verdict::NotRun, reason: err.to_string() }
    }
}

impl fmt::Display for NetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl Net {
    /// Listens for links. Messages are refused until their service is added.
    pub(crate) fn start(settings: &Settings, recorder: Arc<Recorder>) -> Result<Arc<Self>> {
        let fault = |err: wire::Error| Error::start("links", err);
        let secret = RegionSecret::read(&settings.secret_file)
            .map_err(|err| Error::start("secret_file", err))?;
        let cfg = LinkConfig::new(settings.daemon.clone(), settings.listen.links, secret);
        let services = Arc::new(Registry::new());
        let known = Arc::clone(&services);
        let clock = Arc::clone(recorder.clock());
        let handler = Arc::new(move |inbound: Inbound| dispatch(&known, &clock, inbound));
        let links = Links::start(cfg, handler).map_err(fault)?;
        let address = links.address();
        let links = Mutex::new(Some(Arc::new(links)));
        Ok(Arc::new(Self { links, address, services, peers: Mutex::default(), recorder }))
    }

    /// Adds a service.
    pub(crate) fn serve(&self, name: &str, service: ServiceFn) {
        if let Err(err) = self.services.register(name, service) {
            log::error!("{err}");
        }
    }

    /// The address that is listened on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all links.
    pub(crate) fn stop(&self) {
        lock(&self.links).take();
    }

    fn links(&self) -> std::result::Result<Arc<Links>, NetError> {
        lock(&self.links).clone().ok_or_else(|| NetError::unsent("the links are closed"))
    }

    /// The other daemons of the roster.
    pub(crate) fn peers(&self) -> Vec<Peer> {
        lock(&self.peers).clone()
    }

    /// Takes in a new roster.
    pub(crate) fn set_peers(&self, roster: &Roster) {
        let own = self.address().to_string();
        let peers = roster
            .members()
            .filter(|(_, member)| member.address != own)
            .map(|(daemon, member)| Peer {
                daemon: daemon.clone(),
                address: member.address.clone(),
            })
            .collect();
        *lock(&self.peers) = peers;
    }

    /// Sends a message and waits for its answer. A message to this daemon's own
    /// address goes over a link too, which keeps one path for all.
    pub(crate) fn ask(
        &self,
        address: &str,
        service: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> std::result::Result<Vec<u8>, NetError> {
        let peer = parse(address)?;
        let message = self.stamped(service, body)?;
        let answer = self.links()?.request(peer, message, timeout)?;
        count_bytes("in", service, answer.len());
        Ok(answer)
    }

    /// Sends a message and gives the frames of its answer.
    pub(crate) fn open(
        &self,
        address: &str,
        service: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> std::result::Result<Frames, NetError> {
        let peer = parse(address)?;
        let message = self.stamped(service, body)?;
        Ok(Frames { stream: self.links()?.open_stream(peer, message, timeout)? })
    }

    /// Sends a message without waiting for an answer.
    pub(crate) fn notify(&self, address: &str, service: &str, body: Vec<u8>) {
        let ready = || Ok((parse(address)?, self.links()?, self.stamped(service, body)?));
        match ready() {
            Ok((peer, links, message)) => links.notify(peer, message),
            Err::<_, NetError>(err) => log::debug!("{address}: {err}"),
        }
    }

    fn stamped(&self, service: &str, body: Vec<u8>) -> std::result::Result<Message, NetError> {
        let Timestamp { wall_ms, counter } = self.recorder.clock().tick();
        count_bytes("out", service, body.len());
        let stamped = Stamped { wall_ms, counter, body };
        Message::encode(service, &stamped).map_err(NetError::unsent)
    }
}

/// Frames of an answer. Dropped, it cancels the stream.
pub(crate) struct Frames {
    stream: StreamIn,
}

impl Frames {
    /// The next frame, or `None` when the answer is whole. A peer that is gone is
    /// noticed by the link's pings, so a long prefill needs no frames of its own.
    pub(crate) fn recv(
        &mut self,
        now: Instant,
        deadline: Instant,
    ) -> std::result::Result<Option<Vec<u8>>, NetError> {
        let left = deadline.saturating_duration_since(now);
        Ok(self.stream.recv(left)?)
    }
}

fn dispatch(services: &Registry, clock: &HybridClock, mut inbound: Inbound) {
    match inbound.message.decode::<Stamped>() {
        Ok(Stamped { wall_ms, counter, body }) => {
            clock.receive(Timestamp { wall_ms, counter });
            count_bytes("in", &inbound.message.service, body.len());
            inbound.message.body = body;
        }
        Err(err) => {
            let _ = inbound.responder.refuse(&err.to_string());
            return;
        }
    }
    match services.find::<ServiceFn>(&inbound.message.service) {
        Ok(service) => service(inbound),
        Err(_) => {
            let reason = format!("no service {}", inbound.message.service);
            let _ = inbound.responder.refuse(&reason);
        }
    }
}

/// Counts the payload of messages, without the framing of the links.
fn count_bytes(direction: &'static str, service: &str, bytes: usize) {
    let service = String::from(service);
    metrics::counter!("toucansill_link_bytes_total", "direction" => direction, "service" => service)
        .increment(bytes as u64);
}

fn parse(address: &str) -> std::result::Result<SocketAddr, NetError> {
    address.parse().map_err(|err| NetError::unsent(format!("{address}: {err}")))
}
