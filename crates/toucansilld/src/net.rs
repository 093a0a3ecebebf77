//! Links to the other daemons, and the message services that handle their messages.

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

/// Handles the messages for one message service.
pub(crate) type ServiceFn = Arc<dyn Fn(Inbound) + Send + Sync>;

/// Links of one daemon.
pub(crate) struct Net {
    /// `None` once the daemon has stopped.
    links: Mutex<Option<Arc<Links>>>,
    address: SocketAddr,
    services: Arc<Registry>,
    peers: Mutex<Vec<Peer>>,
    recorder: Arc<Recorder>,
}

/// A message with the sender's hybrid time, which advances the receiver's clock.
#[derive(Decode, Encode)]
struct TimestampedBody {
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

/// Failure to send a message or to receive its reply.
#[derive(Debug)]
pub(crate) struct NetError {
    may_have_run: bool,
    reason: String,
}

impl NetError {
    /// Whether the other daemon may have acted on the message.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Error of a message that was not sent.
    fn unsent(reason: impl fmt::Display) -> Self {
        Self { may_have_run: false, reason: reason.to_string() }
    }
}

impl From<wire::Error> for NetError {
    fn from(err: wire::Error) -> Self {
        Self { may_have_run: err.verdict() != Verdict::NotRun, reason: err.to_string() }
    }
}

impl fmt::Display for NetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl Net {
    /// Starts to listen for links. Messages are refused until their message service is registered.
    pub(crate) fn start(settings: &Settings, recorder: Arc<Recorder>) -> Result<Arc<Self>> {
        let error = |err: wire::Error| Error::start("links", err);
        let secret = RegionSecret::read(&settings.secret_file)
            .map_err(|err| Error::start("secret_file", err))?;
        let cfg = LinkConfig::new(settings.daemon.clone(), settings.listen.links, secret);
        let services = Arc::new(Registry::new());
        let registered = Arc::clone(&services);
        let clock = Arc::clone(recorder.clock());
        let handler = Arc::new(move |inbound: Inbound| deliver(&registered, &clock, inbound));
        let links = Links::start(cfg, handler).map_err(error)?;
        let address = links.address();
        let links = Mutex::new(Some(Arc::new(links)));
        Ok(Arc::new(Self { links, address, services, peers: Mutex::default(), recorder }))
    }

    /// Registers a message service.
    pub(crate) fn serve(&self, name: &str, service: ServiceFn) {
        if let Err(err) = self.services.register(name, service) {
            log::error!("{err}");
        }
    }

    /// Address on which the daemon listens for links.
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

    /// Sets the other daemons from a new roster.
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

    /// Sends a message and waits for its reply. A message to this daemon's own address also goes
    /// over a link, so that all messages take one path.
    pub(crate) fn request(
        &self,
        address: &str,
        service: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> std::result::Result<Vec<u8>, NetError> {
        let peer = parse(address)?;
        let message = self.timestamped(service, body)?;
        let reply = self.links()?.request(peer, message, timeout)?;
        count_bytes("in", service, reply.len());
        Ok(reply)
    }

    /// Sends a message and returns the stream of frames of its reply.
    pub(crate) fn open_stream(
        &self,
        address: &str,
        service: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> std::result::Result<FrameStream, NetError> {
        let peer = parse(address)?;
        let message = self.timestamped(service, body)?;
        Ok(FrameStream { stream: self.links()?.open_stream(peer, message, timeout)? })
    }

    /// Sends a message without waiting for a reply.
    pub(crate) fn notify(&self, address: &str, service: &str, body: Vec<u8>) {
        let prepare = || Ok((parse(address)?, self.links()?, self.timestamped(service, body)?));
        match prepare() {
            Ok((peer, links, message)) => links.notify(peer, message),
            Err::<_, NetError>(err) => log::debug!("{address}: {err}"),
        }
    }

    /// Encodes a message with the time of this daemon's event clock.
    fn timestamped(&self, service: &str, body: Vec<u8>) -> std::result::Result<Message, NetError> {
        let Timestamp { wall_ms, counter } = self.recorder.clock().tick();
        count_bytes("out", service, body.len());
        let body = TimestampedBody { wall_ms, counter, body };
        Message::encode(service, &body).map_err(NetError::unsent)
    }
}

/// Frames of a streamed reply. Dropping it cancels the stream.
pub(crate) struct FrameStream {
    stream: StreamIn,
}

impl FrameStream {
    /// The next frame, or `None` at the end of the reply. The link's pings detect a lost peer, so
    /// no frames are needed during a long prefill.
    pub(crate) fn recv(
        &mut self,
        now: Instant,
        deadline: Instant,
    ) -> std::result::Result<Option<Vec<u8>>, NetError> {
        let remaining = deadline.saturating_duration_since(now);
        Ok(self.stream.recv(remaining)?)
    }
}

/// Passes a message to its message service, after advancing this daemon's clock by its timestamp.
fn deliver(services: &Registry, clock: &HybridClock, mut inbound: Inbound) {
    match inbound.message.decode::<TimestampedBody>() {
        Ok(TimestampedBody { wall_ms, counter, body }) => {
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

/// Counts the payload bytes of a message, without the framing of the link.
fn count_bytes(direction: &'static str, service: &str, bytes: usize) {
    let service = String::from(service);
    metrics::counter!("toucansill_link_bytes_total", "direction" => direction, "service" => service)
        .increment(bytes as u64);
}

fn parse(address: &str) -> std::result::Result<SocketAddr, NetError> {
    address.parse().map_err(|err| NetError::unsent(format!("{address}: {err}")))
}
