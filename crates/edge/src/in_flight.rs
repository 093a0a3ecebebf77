//! Counts requests that are not yet answered.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Held by a request until it is answered.
#[derive(Debug)]
pub(crate) struct InFlight {
    /// Requests of the whole server.
    server: Arc<AtomicUsize>,
    /// Requests of one tiny_http server.
    generation: Arc<AtomicUsize>,
}

impl InFlight {
    /// Counts one more request.
    pub(crate) fn new(server: &Arc<AtomicUsize>, generation: &Arc<AtomicUsize>) -> Self {
        server.fetch_add(1, Ordering::AcqRel);
        generation.fetch_add(1, Ordering::AcqRel);
        Self { server: server.clone(), generation: generation.clone() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.server.fetch_sub(1, Ordering::AcqRel);
        self.generation.fetch_sub(1, Ordering::AcqRel);
    }
}
