//! Names, queues, start and shutdown of services.

use kernel::{Lifecycle, Mailbox, Registry, StopFn, mailbox};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

#[test]
fn a_name_belongs_to_one_service_until_it_is_removed() {
    let registry = Registry::new();
    registry.register("a", 1_u32).expect("free");
    assert!(registry.register("a", 2_u32).is_err_and(|e| e.is_name_taken()));
    assert_eq!(*registry.find::<u32>("a").expect("found"), 1);
    registry.remove("a");
    assert!(registry.find::<u32>("a").is_err_and(|e| e.is_unknown_service()));
    registry.clone().register("a", 3_u32).expect("free again");
    assert_eq!(*registry.find::<u32>("a").expect("shared by clones"), 3);
    assert_eq!(registry.names(), ["a"]);
}

#[test]
fn a_queue_refuses_when_full_and_when_its_service_has_ended() {
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

fn recorder(log: &Arc<Mutex<Vec<&'static str>>>, name: &'static str) -> StopFn {
    let log = log.clone();
    Box::new(move || log.lock().expect("log").push(name))
}

#[test]
fn a_failed_start_leaves_the_others_to_be_stopped_in_reverse() {
    let log = Arc::default();
    let mut lifecycle = Lifecycle::new();
    for name in ["first", "second"] {
        lifecycle.start(name, || Ok::<_, String>(recorder(&log, name))).expect("starts");
    }
    let e = lifecycle.start("third", || Err("no disk")).expect_err("fails");
    assert!(e.is_not_started() && e.to_string().contains("no disk"), "{e}");
    assert_eq!(lifecycle.names().collect::<Vec<_>>(), ["first", "second"]);
    drop(lifecycle);
    assert_eq!(*log.lock().expect("log"), ["second", "first"]);
}

fn false_at_run_time() -> bool {
    std::hint::black_box(false)
}

#[test]
fn a_panic_of_one_service_does_not_keep_the_others_running() {
    let log = Arc::default();
    let mut lifecycle = Lifecycle::new();
    lifecycle.start("first", || Ok::<_, String>(recorder(&log, "first"))).expect("starts");
    let panicking = || -> StopFn { Box::new(|| assert!(false_at_run_time(), "on purpose")) };
    lifecycle.start("second", || Ok::<_, String>(panicking())).expect("starts");
    lifecycle.shut_down();
    assert_eq!(*log.lock().expect("log"), ["first"]);
}
