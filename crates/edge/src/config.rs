//! Settings of one listening address.

use kernel::{SharedClock, SystemClock};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Largest body, enough for a prompt of a million tokens with room for escapes.
const MAX_BODY_BYTES: usize = 32 << 20;
/// Largest total of header names and values.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Most requests that run at once.
const MAX_REQUESTS: usize = 2048;
/// Most requests that are being refused at once.
const MAX_REFUSALS: usize = 64;
/// Longest silence of a caller while it sends a request or between requests.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest time that a caller may keep a write waiting.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
/// Silence after which an open stream gets a comment.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two checks that the listener still accepts.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Address and limits of a [`Server`](crate::Server).
///
/// ```
/// let mut cfg = edge::EdgeConfig::new("127.0.0.1:0".parse()?);
/// cfg.max_body_bytes = 1 << 20;
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Clone)]
pub struct EdgeConfig {
    /// Address to listen on. Port 0 takes a free port.
    pub listen: SocketAddr,
    /// Largest body, in bytes. A larger one is refused with 413.
    pub max_body_bytes: usize,
    /// Largest total of header names and values, in bytes. More is refused with 431.
    pub max_header_bytes: usize,
    /// Most requests in handlers at once. One more is refused with 503.
    pub max_requests: usize,
    /// Most requests being refused at once. One more waits.
    pub max_refusals: usize,
    /// Longest silence of a caller while it sends a request or between requests.
    pub read_timeout: Duration,
    /// Longest time from the headers of a request to the end of its body.
    pub body_timeout: Duration,
    /// Longest time that a caller may keep one write waiting.
    pub write_timeout: Duration,
    /// Silence after which an open stream gets a comment, which shows whether
    /// its caller is still there.
    pub heartbeat_interval: Duration,
    /// Time between two checks that the listener still accepts. Shorter than
    /// `read_timeout`.
    pub probe_interval: Duration,
    /// Clock for body timeouts.
    pub clock: SharedClock,
}

impl EdgeConfig {
    /// Default limits on an address.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            max_body_bytes: MAX_BODY_BYTES,
            max_header_bytes: MAX_HEADER_BYTES,
            max_requests: MAX_REQUESTS,
            max_refusals: MAX_REFUSALS,
            read_timeout: READ_TIMEOUT,
            body_timeout: BODY_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            probe_interval: PROBE_INTERVAL,
            clock: Arc::new(SystemClock),
        }
    }
}
