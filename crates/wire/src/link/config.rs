//! Settings of links.

use crate::{DaemonId, MAX_MESSAGE_BYTES, RegionSecret};
use std::{fmt, net::SocketAddr, ops::RangeInclusive, sync::Arc, time::Duration};

/// Protocol versions that this program supports.
const VERSIONS: VersionRange = 1..=1;
/// Longest time until a TCP connection is open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time for the handshake. It takes three turns of the peer, which may be busy.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between pings.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time between pings on a link without open streams.
const IDLE_PING_INTERVAL: Duration = Duration::from_secs(30);
/// Longest wait for the acknowledgement of a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// Consecutive failed connection attempts after which a peer is considered unreachable.
const CONNECT_ATTEMPTS: u32 = 3;
/// Delay after the first failed connection attempt. It doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Longest delay after a failed connection attempt.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum number of inbound connections.
const MAX_CONNECTIONS: usize = 4096;
/// Number of peers above which links that are not in use are closed.
const MAX_PEERS: usize = 2048;
/// Maximum number of open streams on one connection.
const MAX_STREAMS: u32 = 4096;
/// Maximum number of inbound messages being handled at once.
const MAX_INBOUND_MESSAGES: usize = 4096;
/// Frames queued at each end of a stream before its sender has to wait.
const STREAM_QUEUE_FRAMES: usize = 32;
/// Number of notifications in flight above which further ones are dropped.
const MAX_NOTIFICATIONS: usize = 4096;

/// Way to the peers: the address that a link to a peer connects to. Tests pass one that leads through
/// proxies which inject faults.
#[derive(Clone)]
pub struct PeerRoute(Arc<dyn Fn(SocketAddr) -> SocketAddr + Send + Sync>);

impl PeerRoute {
    /// Connects to the peers' own addresses.
    pub fn direct() -> Self {
        Self::through(|address| address)
    }

    /// Connects to the address that `route` returns for that of a peer.
    pub fn through(route: impl Fn(SocketAddr) -> SocketAddr + Send + Sync + 'static) -> Self {
        Self(Arc::new(route))
    }

    /// Address to connect to for a peer.
    pub(crate) fn of(&self, peer: SocketAddr) -> SocketAddr {
        (self.0)(peer)
    }
}

impl fmt::Debug for PeerRoute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerRoute").finish_non_exhaustive()
    }
}

/// Inclusive range of protocol versions.
pub type VersionRange = RangeInclusive<u32>;

/// Settings of [`Links`](crate::Links).
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// Name of this daemon.
    pub id: DaemonId,
    /// Address to listen on. With port 0, the operating system selects a free port.
    pub listen: SocketAddr,
    /// Way to the peers.
    pub route: PeerRoute,
    /// Secret by which both ends authenticate each other.
    pub secret: RegionSecret,
    /// Protocol versions that this end supports. A link uses the highest common one.
    pub versions: VersionRange,
    /// Largest size of a message body or reply frame, in bytes.
    pub max_message_bytes: usize,
    /// Longest time until a TCP connection is open.
    pub connect_timeout: Duration,
    /// Longest time for the handshake on an open connection. A peer that is busy needs longer for
    /// it than its operating system needs to accept the connection.
    pub handshake_timeout: Duration,
    /// Time between pings on a link with open streams. When an idle link whose peer no longer
    /// responds is used again, its next ping is sent within this time.
    pub ping_interval: Duration,
    /// Time between pings on a link without open streams.
    pub idle_ping_interval: Duration,
    /// Longest wait for the acknowledgement of a ping. After that, the link is considered lost.
    pub ping_timeout: Duration,
    /// Consecutive failed connection attempts after which a peer is considered unreachable.
    pub connect_attempts: u32,
    /// Delay after the first failed connection attempt. It doubles with each further failure.
    pub min_backoff: Duration,
    /// Longest delay after a failed connection attempt.
    pub max_backoff: Duration,
    /// Maximum number of inbound connections. Further ones are closed.
    pub max_connections: usize,
    /// Number of peers above which links that are not in use are closed. Below it, links stay
    /// open for their next use.
    pub max_peers: usize,
    /// Maximum number of open streams on one inbound connection.
    pub max_streams: u32,
    /// Maximum number of inbound messages being handled at once. Further ones are refused.
    pub max_inbound_messages: usize,
    /// Frames queued at each end of a stream before its sender has to wait.
    pub stream_queue_frames: usize,
    /// Number of notifications in flight above which further ones are dropped.
    pub max_notifications: usize,
    /// Whether the handler runs on the asynchronous task that reads the message, where it must
    /// not block. Otherwise it runs on a thread where it may block.
    pub inline_handler: bool,
}

impl LinkConfig {
    /// Settings with default limits.
    pub fn new(id: DaemonId, listen: SocketAddr, secret: RegionSecret) -> Self {
        Self {
            id,
            listen,
            route: PeerRoute::direct(),
            secret,
            versions: VERSIONS,
            max_message_bytes: MAX_MESSAGE_BYTES,
            connect_timeout: CONNECT_TIMEOUT,
            handshake_timeout: HANDSHAKE_TIMEOUT,
            ping_interval: PING_INTERVAL,
            idle_ping_interval: IDLE_PING_INTERVAL,
            ping_timeout: PING_TIMEOUT,
            connect_attempts: CONNECT_ATTEMPTS,
            min_backoff: MIN_BACKOFF,
            max_backoff: MAX_BACKOFF,
            max_connections: MAX_CONNECTIONS,
            max_peers: MAX_PEERS,
            max_streams: MAX_STREAMS,
            max_inbound_messages: MAX_INBOUND_MESSAGES,
            stream_queue_frames: STREAM_QUEUE_FRAMES,
            max_notifications: MAX_NOTIFICATIONS,
            inline_handler: false,
        }
    }
}
