//! Start in order, shutdown in reverse order.

use crate::{Error, Result};

/// Function that stops a service and returns once the service has ended.
pub type StopFn = Box<dyn FnOnce() + Send>;

/// Running services of one process, in the order of their start.
///
/// Dropped, it shuts down whatever still runs.
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
    running: Vec<Running>,
}

struct Running {
    name: String,
    stop: StopFn,
}

impl Lifecycle {
    /// A process in which nothing runs yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a service after all earlier ones.
    ///
    /// # Errors
    ///
    /// Fails if the service does not start. Earlier ones go on, until this is
    /// shut down or dropped.
    pub fn start<E: std::fmt::Display>(
        &mut self,
        name: &str,
        start: impl FnOnce() -> std::result::Result<StopFn, E>,
    ) -> Result<()> {
        let stop = start().map_err(|e| Error::not_started(name, &e))?;
        log::info!("{name} started");
        self.running.push(Running { name: name.to_owned(), stop });
        Ok(())
    }

    /// Names of the running services, in the order of their start.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.running.iter().map(|r| r.name.as_str())
    }

    /// Stops all services, the last one first. One that panics while it stops
    /// does not keep the others running.
    pub fn shut_down(&mut self) {
        while let Some(Running { name, stop }) = self.running.pop() {
            match std::panic::catch_unwind(std::panic::AssertUnwindSafe(stop)) {
                Ok(()) => log::info!("{name} stopped"),
                Err(_) => log::error!("{name} panicked while it stopped"),
            }
        }
    }
}

impl Drop for Lifecycle {
    fn drop(&mut self) {
        self.shut_down();
    }
}
