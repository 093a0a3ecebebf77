//! Lookup of a process's internal services by name.

use crate::{Error, Result};
use std::{
    any::{Any, type_name},
    collections::BTreeMap,
    sync::{Arc, PoisonError, RwLock},
};

/// A registered service. Its type is checked when it is looked up.
type Service = Arc<dyn Any + Send + Sync>;

/// Internal services of one process by name. Clones share the same services.
///
/// ```
/// use kernel::{Mailbox, Registry, mailbox};
///
/// let registry = Registry::new();
/// let (tx, rx) = mailbox::<u32>("counter", 8);
/// registry.register("counter", tx)?;
///
/// let counter = registry.find::<Mailbox<u32>>("counter")?;
/// counter.send(7)?;
/// assert_eq!(rx.recv(), Ok(7));
///
/// assert!(registry.find::<Mailbox<u32>>("missing").is_err_and(|e| e.is_unknown_service()));
/// assert!(registry.find::<String>("counter").is_err_and(|e| e.is_wrong_type()));
/// # Ok::<(), kernel::Error>(())
/// ```
#[derive(Clone, Default)]
pub struct Registry {
    services: Arc<RwLock<BTreeMap<String, Service>>>,
}

impl Registry {
    /// Creates a registry without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service under a name.
    ///
    /// # Errors
    ///
    /// Fails if another service is registered under the name.
    pub fn register<T: Send + Sync + 'static>(&self, name: &str, service: T) -> Result<()> {
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        if services.contains_key(name) {
            return Err(Error::name_taken(name));
        }
        services.insert(name.to_owned(), Arc::new(service));
        Ok(())
    }

    /// Returns the service registered under a name.
    ///
    /// # Errors
    ///
    /// Fails if no service is registered under the name, or the service is not a `T`.
    pub fn find<T: Send + Sync + 'static>(&self, name: &str) -> Result<Arc<T>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        let service = services.get(name).cloned().ok_or_else(|| Error::unknown_service(name))?;
        service.downcast().map_err(|_| Error::wrong_type(name, type_name::<T>()))
    }

    /// Removes a service, if one is registered under the name. References that [`Registry::find`]
    /// returned earlier stay valid.
    pub fn remove(&self, name: &str) {
        self.services.write().unwrap_or_else(PoisonError::into_inner).remove(name);
    }

    /// Returns the names of all services, in alphabetical order.
    pub fn names(&self) -> Vec<String> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.keys().cloned().collect()
    }
}
