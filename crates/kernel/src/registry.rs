//! Services that find each other by name.

use crate::{Error, Result};
use std::{
    any::{Any, type_name},
    collections::BTreeMap,
    sync::{Arc, PoisonError, RwLock},
};

type Service = Arc<dyn Any + Send + Sync>;

/// Services of one process by name. Clones share them.
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
/// assert!(registry.find::<Mailbox<u32>>("nobody").is_err_and(|e| e.is_unknown_service()));
/// assert!(registry.find::<String>("counter").is_err_and(|e| e.is_wrong_type()));
/// # Ok::<(), kernel::Error>(())
/// ```
#[derive(Clone, Default)]
pub struct Registry {
    services: Arc<RwLock<BTreeMap<String, Service>>>,
}

impl Registry {
    /// A registry without services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a service.
    ///
    /// # Errors
    ///
    /// Fails if the name is taken.
    pub fn register<T: Send + Sync + 'static>(&self, name: &str, service: T) -> Result<()> {
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        if services.contains_key(name) {
            return Err(Error::name_taken(name));
        }
        services.insert(name.to_owned(), Arc::new(service));
        Ok(())
    }

    /// Finds a service.
    ///
    /// # Errors
    ///
    /// Fails if there is none of this name, or it has another type.
    pub fn find<T: Send + Sync + 'static>(&self, name: &str) -> Result<Arc<T>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        let service = services.get(name).cloned().ok_or_else(|| Error::unknown_service(name))?;
        service.downcast().map_err(|_| Error::wrong_type(name, type_name::<T>()))
    }

    /// Removes a service. Those who have found it keep it.
    pub fn remove(&self, name: &str) {
        self.services.write().unwrap_or_else(PoisonError::into_inner).remove(name);
    }

    /// Names of all services, in order.
    pub fn names(&self) -> Vec<String> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.keys().cloned().collect()
    }
}
