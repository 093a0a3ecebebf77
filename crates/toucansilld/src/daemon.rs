//! One running daemon.

use crate::{
    callers::Callers,
    error::{Error, Result},
    settings::Settings,
};
use edge::{EdgeConfig, Server};
use kernel::SharedClock;
use std::{net::SocketAddr, sync::Arc};

/// A daemon with its services. Dropping it stops its listeners.
pub struct Daemon {
    callers: Server,
}

impl Daemon {
    /// Starts the daemon's services.
    pub fn start(settings: &Settings, clock: SharedClock) -> Result<Self> {
        let callers = Arc::new(Callers::new(clock));
        let cfg = EdgeConfig::new(settings.listen.callers);
        let server = Server::start(cfg, Arc::new(move |req| callers.handle(req)))
            .map_err(|err| Error::start("listen.callers", err))?;
        Ok(Self { callers: server })
    }

    /// Address of the callers' HTTP.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Stops the listeners.
    pub fn stop(self) {
        self.callers.stop();
    }
}
