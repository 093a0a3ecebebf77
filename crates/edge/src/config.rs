//! Settings of one server.

use kernel::{SharedClock, SystemClock};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Enough for a prompt of a million tokens, with JSON escapes.
const MAX_BODY_BYTES: usize = 32 << 20;
const MAX_HEADER_BYTES: usize = 16 << 10;
const MAX_REQUESTS: usize = 2048;
const MAX_REFUSALS: usize = 64;
const READ_TIMEOUT: Duration = Duration::from_secs(30);
const BODY_TIMEOUT: Duration = Duration::from_secs(120);
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
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
    /// Address to listen on. With port 0, the system assigns a free port, see
    /// [`Server::address`](crate::Server::address).
    pub listen: SocketAddr,
    /// Largest body. A larger one is refused with 413.
    pub max_body_bytes: usize,
    /// Largest total length of header names and values. More is refused with 431.
    pub max_header_bytes: usize,
    /// Largest number of requests whose body is being read or that are in a handler. Each takes a
    /// thread. Further requests are refused with 503.
    pub max_requests: usize,
    /// Largest number of requests being refused with 503 on threads of their own. Beyond it the
    /// thread that takes requests from connections sends the refusal itself, and takes no other
    /// request meanwhile.
    pub max_refusals: usize,
    /// Longest time without data from a caller, within a request or between two requests.
    pub read_timeout: Duration,
    /// Longest time from the headers of a request to the end of its body.
    pub body_timeout: Duration,
    /// Longest time that one write may block because the caller doesn't read.
    pub write_timeout: Duration,
    /// Interval at which an idle event stream gets a comment, whose write fails once the caller has
    /// disconnected.
    pub heartbeat_interval: Duration,
    /// Interval between two checks that the listener still accepts connections. Must be shorter
    /// than `read_timeout`, which would otherwise end the accept thread of an idle listener.
    pub probe_interval: Duration,
    /// Clock for the times at which requests are received and for body timeouts.
    pub clock: SharedClock,
}

impl EdgeConfig {
    /// Default limits for an address.
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
