//! Counts of requests in flight: received, but without a complete response yet.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Guard that counts one request as in flight until it is dropped, once its response is complete.
#[derive(Debug)]
pub(crate) struct InFlight {
    /// Requests in flight of the whole server.
    server: Arc<AtomicUsize>,
    /// Requests in flight of the `tiny_http` server that accepted the connection.
    generation: Arc<AtomicUsize>,
}

impl InFlight {
    /// Increments both counts; dropping the guard decrements them.
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
