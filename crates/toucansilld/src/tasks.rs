//! Tasks that run as long as a daemon does.

use std::collections::HashMap;
use tokio::task::{AbortHandle, Id, JoinError, JoinSet};

/// Tasks without which a daemon is only half alive. Dropping this ends them.
///
/// ```
/// use toucansilld::tasks::Tasks;
///
/// let runtime = tokio::runtime::Builder::new_current_thread().build()?;
/// runtime.block_on(async {
///     let mut tasks = Tasks::default();
///     tasks.spawn("worker", async { panic!("no work") });
///     assert_eq!(tasks.first_end().await, "worker: panicked: no work");
/// });
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct Tasks {
    set: JoinSet<()>,
    names: HashMap<Id, &'static str>,
}

impl Tasks {
    /// Starts a task on the runtime that the caller runs on.
    pub fn spawn(
        &mut self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) -> AbortHandle {
        let handle = self.set.spawn(task);
        self.names.insert(handle.id(), name);
        handle
    }

    /// Waits until a task ends, and returns its name and how it ended. Never returns if there is no task.
    ///
    /// Dropping the future loses no end.
    pub async fn first_end(&mut self) -> String {
        let (id, reason) = match self.set.join_next_with_id().await {
            None => std::future::pending().await,
            Some(Ok((id, ()))) => (id, String::from("ended")),
            Some(Err(err)) => (err.id(), end_of(err)),
        };
        format!("{}: {reason}", self.names.get(&id).copied().unwrap_or("unknown task"))
    }
}

/// How a task ended that didn't return.
fn end_of(err: JoinError) -> String {
    match err.try_into_panic() {
        Ok(panic) => {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
            format!("panicked: {}", text.unwrap_or("without a message"))
        }
        Err(err) => err.to_string(),
    }
}
