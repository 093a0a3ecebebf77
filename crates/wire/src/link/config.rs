//! Settings of links.

use crate::{DaemonId, MAX_MESSAGE_BYTES, RegionSecret};
use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};

/// Protocol versions that this program speaks.
const VERSIONS: VersionRange = 1..=1;
/// Longest wait for a connection and its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between pings.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time between pings on a link without open streams.
const IDLE_PING_INTERVAL: Duration = Duration::from_secs(30);
/// Longest wait for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// Failed connections in a row before a peer counts as unreachable.
const CONNECT_ATTEMPTS: u32 = 3;
/// First pause between failed connections. It doubles with each.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Longest pause between failed connections.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Most inbound connections.
const MAX_CONNECTIONS: usize = 4096;
/// Most peers whose links are kept for their next use.
const MAX_PEERS: usize = 2048;
/// Most open streams of one connection.
const MAX_STREAMS: u32 = 4096;
/// Most inbound messages in handlers at once.
const MAX_INBOUND: usize = 4096;
/// Frames that wait in a stream before its sender is held back.
const STREAM_FRAMES: usize = 32;
/// Notifications under way before further ones are dropped.
const MAX_NOTIFICATIONS: usize = 4096;

/// Range of protocol versions.
pub type VersionRange = RangeInclusive<u32>;

/// Settings of [`Links`](crate::Links).
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// Name of this daemon.
    pub id: DaemonId,
    /// Address to listen on. Port 0 takes a free port.
    pub listen: SocketAddr,
    /// Secret that both ends prove to each other.
    pub secret: RegionSecret,
    /// Protocol versions that this end speaks. The highest common one is used.
    pub versions: VersionRange,
    /// Largest message or frame, in bytes.
    pub max_message_bytes: usize,
    /// Longest wait for a connection and its handshake.
    pub connect_timeout: Duration,
    /// Time between pings on a link with open streams. A link that goes silent
    /// is found this soon after its next use.
    pub ping_interval: Duration,
    /// Time between pings on a link without open streams.
    pub idle_ping_interval: Duration,
    /// Longest wait for the answer to a ping. Then the link counts as lost.
    pub ping_timeout: Duration,
    /// Failed connections in a row before a peer counts as unreachable.
    pub connect_attempts: u32,
    /// First pause between failed connections. It doubles with each.
    pub min_backoff: Duration,
    /// Longest pause between failed connections.
    pub max_backoff: Duration,
    /// Most inbound connections.
    pub max_connections: usize,
    /// Most peers whose links are kept for their next use. Beyond it, links
    /// that are not in use are closed.
    pub max_peers: usize,
    /// Most open streams of one connection.
    pub max_streams: u32,
    /// Most inbound messages in handlers at once. One more is refused.
    pub max_inbound_messages: usize,
    /// Frames that wait in a stream before its sender is held back.
    pub stream_queue_frames: usize,
    /// Notifications under way before further ones are dropped.
    pub max_notifications: usize,
    /// Whether the handler is called on the task that reads the message, which it must
    /// not hold up. Otherwise it gets a thread that may wait.
    pub inline_handler: bool,
}

impl LinkConfig {
    /// Default limits on an address.
    pub fn new(id: DaemonId, listen: SocketAddr, secret: RegionSecret) -> Self {
        Self {
            id,
            listen,
            secret,
            versions: VERSIONS,
            max_message_bytes: MAX_MESSAGE_BYTES,
            connect_timeout: CONNECT_TIMEOUT,
            ping_interval: PING_INTERVAL,
            idle_ping_interval: IDLE_PING_INTERVAL,
            ping_timeout: PING_TIMEOUT,
            connect_attempts: CONNECT_ATTEMPTS,
            min_backoff: MIN_BACKOFF,
            max_backoff: MAX_BACKOFF,
            max_connections: MAX_CONNECTIONS,
            max_peers: MAX_PEERS,
            max_streams: MAX_STREAMS,
            max_inbound_messages: MAX_INBOUND,
            stream_queue_frames: STREAM_FRAMES,
            max_notifications: MAX_NOTIFICATIONS,
            inline_handler: false,
        }
    }
}
