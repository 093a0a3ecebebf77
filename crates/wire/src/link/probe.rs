//! Probes of peers that don't answer: whether their processes are still there.

use std::{io, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};

/// Time for which a new connection has to stay open: a proxy accepts it for a process that is gone, and
/// then closes it.
const HOLD_TIME: Duration = Duration::from_millis(100);

/// What a new connection tells about a peer that doesn't answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// The peer's listening socket accepts connections, so its process is there. It may be suspended.
    Accepted,
    /// The connection is refused or reset: the host is there, and no process listens.
    Refused,
    /// There is no response: the host is down, cut off or gone.
    NoResponse,
}

/// What a new connection, which is closed again, tells about a peer that doesn't answer. Takes `limit` and a
/// tenth of a second at most.
pub async fn probe(address: SocketAddr, limit: Duration) -> ProbeOutcome {
    let stream = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused => {
            return ProbeOutcome::Refused;
        }
        Ok(Err(_)) | Err(_) => return ProbeOutcome::NoResponse,
    };
    match timeout(HOLD_TIME, stream.peek(&mut [0])).await {
        Ok(Ok(0) | Err(_)) => ProbeOutcome::Refused,
        // The greeting of a process that runs, or the silence of one that is suspended.
        Ok(Ok(_)) | Err(_) => ProbeOutcome::Accepted,
    }
}
