//! Connections of this daemon to the upstreams.

use bytes::Bytes;
use http::request;
use proxy::{Connector, ExchangeError, ExchangeResponse};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::net::TcpStream;

/// Paths of this daemon to the upstreams.
pub(crate) struct Paths {
    connector: Connector,
}

impl Paths {
    /// Creates paths on which `connector` connects.
    pub(crate) fn new(connector: Connector) -> Arc<Self> {
        Arc::new(Self { connector })
    }

    /// Sends a request to an upstream on a connection of its own, which has to be made within
    /// `connect_limit`. See [`proxy::exchange`].
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        connect_limit: Duration,
        head: request::Parts,
        body: Bytes,
    ) -> Result<ExchangeResponse, ExchangeError> {
        let stream = self.connect(address, connect_limit).await.map_err(ExchangeError::unsent)?;
        proxy::exchange(stream, head, body).await
    }

    /// Whether an upstream accepts a connection at `address` within `limit`. One that has crashed
    /// does not; one that only takes long does.
    pub(crate) async fn accepts_connections(&self, address: SocketAddr, limit: Duration) -> bool {
        self.connect(address, limit).await.is_ok()
    }

    async fn connect(&self, address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
        self.connector.connect(address, limit).await
    }
}
