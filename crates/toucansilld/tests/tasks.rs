//! Tasks that a daemon can't do without.

use std::{future, time::Duration};
use tokio::{runtime::Builder, time::timeout};
use toucansilld::tasks::Tasks;

fn block_on<T>(task: impl Future<Output = T>) -> T {
    Builder::new_current_thread().enable_time().build().expect("a runtime").block_on(task)
}

/// A task of a daemon panicked, and nobody noticed: the others went on, and a leader without the task that
/// begins its work answered no call until its process was ended.
#[test]
fn a_task_that_panics_is_named() {
    block_on(async {
        let mut tasks = Tasks::default();
        tasks.spawn("lasting", future::pending());
        tasks.spawn("leadership", async { panic!("term {}", 7) });
        assert_eq!(tasks.first_end().await, "leadership: panicked: term 7");
    });
}

/// A task that returns has ended too, and one that lasts hasn't.
#[test]
fn a_task_that_returns_is_named_and_one_that_lasts_is_awaited() {
    block_on(async {
        let mut tasks = Tasks::default();
        tasks.spawn("lasting", future::pending());
        assert!(timeout(Duration::from_millis(10), tasks.first_end()).await.is_err());
        tasks.spawn("done", async {});
        assert_eq!(tasks.first_end().await, "done: ended");
    });
}
