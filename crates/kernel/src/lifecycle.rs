//! Ordered start and shutdown of the internal services of a process.

use crate::{Error, Result};

/// Function that stops a service and returns once the service has ended.
pub type StopFn = Box<dyn FnOnce() + Send>;

/// Running internal services of one process, in the order in which they were started.
///
/// A service may use those that were started before it, so services are stopped in reverse order.
/// Dropping the lifecycle stops all services that still run.
///
/// ```
/// use kernel::Lifecycle;
/// use std::sync::{Arc, Mutex};
///
/// let log = Arc::new(Mutex::new(Vec::new()));
/// let mut lifecycle = Lifecycle::new();
/// for name in ["disk", "links", "edge"] {
///     let log = log.clone();
///     lifecycle.start(name, || Ok::<_, String>(Box::new(move || log.lock().unwrap().push(name))))?;
/// }
/// lifecycle.shut_down();
/// assert_eq!(*log.lock().unwrap(), ["edge", "links", "disk"]);
/// # Ok::<(), kernel::Error>(())
/// ```
#[derive(Default)]
pub struct Lifecycle {
    running: Vec<RunningService>,
}

struct RunningService {
    name: String,
    stop: StopFn,
}

impl Lifecycle {
    /// Creates a lifecycle without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a service by calling `start`, which returns the function that stops it. `name`
    /// appears in log lines and errors.
    ///
    /// # Errors
    ///
    /// Fails if `start` fails. The services started earlier continue to run until the lifecycle is
    /// shut down or dropped.
    pub fn start<E: std::fmt::Display>(
        &mut self,
        name: &str,
        start: impl FnOnce() -> std::result::Result<StopFn, E>,
    ) -> Result<()> {
        let stop = start().map_err(|e| Error::not_started(name, &e))?;
        log::info!("{name} started");
        self.running.push(RunningService { name: name.to_owned(), stop });
        Ok(())
    }

    /// Names of the running services, in the order in which they were started.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.running.iter().map(|r| r.name.as_str())
    }

    /// Stops all services, the last one started first. If stopping a service panics, the panic is
    /// logged and the remaining services are stopped nevertheless.
    pub fn shut_down(&mut self) {
        while let Some(RunningService { name, stop }) = self.running.pop() {
            match std::panic::catch_unwind(std::panic::AssertUnwindSafe(stop)) {
                Ok(()) => log::info!("{name} stopped"),
                Err(_) => log::error!("{name} panicked while stopping"),
            }
        }
    }
}

impl Drop for Lifecycle {
    fn drop(&mut self) {
        self.shut_down();
    }
}
