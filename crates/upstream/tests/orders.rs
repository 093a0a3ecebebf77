//! The present owner sends orders to each engine one after the other. An engine that checks
//! fencing tokens executes each of them once, and none from an earlier owner.

mod common;

use common::{client, target};
use fake::{Engine, EngineConfig};
use std::time::{Duration, Instant};
use upstream::{
    Error, ErrorReason,
    orders::{
        EngineOrder, NextOrder, OrderConfig, OrderOutcome, OrderQueue, PendingOrder,
        WeightReadLimiter,
    },
};
use wire::{FencingToken, Verdict};

const LEASE: Duration = Duration::from_secs(3);
const PERMIT_INTERVAL: Duration = Duration::from_secs(10);

fn engine(checks_fences: bool) -> Engine {
    Engine::start(EngineConfig { checks_fences, ..EngineConfig::default() }).expect("a free port")
}

fn role(role: &str) -> EngineOrder {
    EngineOrder::ChangeRole { role: role.to_string() }
}

fn load(model: &str) -> EngineOrder {
    EngineOrder::LoadModel { model: model.to_string() }
}

fn queue(now: Instant) -> OrderQueue {
    let weight_reads = WeightReadLimiter::new(PERMIT_INTERVAL, 1, now);
    OrderQueue::new(OrderConfig::default(), 2, now + LEASE, weight_reads)
}

/// The order to send; panics if there is none.
fn to_send(next: NextOrder) -> PendingOrder {
    match next {
        NextOrder::Send(pending) => pending,
        other => panic!("an order must be sent: {other:?}"),
    }
}

fn lost_response() -> Error {
    Error::new(ErrorReason::Incomplete, Verdict::MayHaveRun, "the response was lost")
}

#[test]
fn an_engine_that_checks_fencing_tokens_refuses_the_order_of_an_older_owner() {
    let (engine, client) = (engine(true), client());
    let target = target("engine-1", &engine);
    let newer = FencingToken { epoch: 2, sequence: 1 };
    client.send_order(&target, &role("prefill"), newer).expect("accepted");
    let older = FencingToken { epoch: 1, sequence: 9 };
    let e = client.send_order(&target, &role("decode"), older).expect_err("refused");
    assert!(e.is_stale() && e.is_not_run(), "{e}");
    assert_eq!(engine.orders().len(), 1);
}

#[test]
fn an_order_that_is_sent_twice_is_executed_once() {
    let (engine, client) = (engine(true), client());
    let target = target("engine-1", &engine);
    let fence = FencingToken { epoch: 2, sequence: 1 };
    client.send_order(&target, &load("large"), fence).expect("accepted");
    client.send_order(&target, &load("large"), fence).expect("accepted again");
    assert_eq!(engine.orders().len(), 1);
    assert_eq!(engine.announcement().models, ["small", "large"]);
}

#[test]
fn only_orders_to_engines_that_ignore_fencing_tokens_wait_for_the_former_owners_lease() {
    let now = Instant::now();
    let mut queue = queue(now);
    queue.submit("ignores", role("prefill"), false).expect("the queue has capacity");
    queue.submit("checks", role("prefill"), true).expect("the queue has capacity");
    assert_eq!(to_send(queue.next_order(now)).upstream, "checks");
    assert!(matches!(queue.next_order(now), NextOrder::Wait(at) if at == now + LEASE));
    assert_eq!(to_send(queue.next_order(now + LEASE)).upstream, "ignores");
}

#[test]
fn orders_to_one_engine_are_sent_one_after_the_other() {
    let now = Instant::now();
    let mut queue = queue(now);
    let first = queue.submit("engine-1", role("prefill"), true).expect("the queue has capacity");
    let second = queue.submit("engine-1", role("decode"), true).expect("the queue has capacity");
    assert!(first < second);
    assert_eq!(to_send(queue.next_order(now)).fence, first);
    assert!(matches!(queue.next_order(now), NextOrder::Idle));
    assert_eq!(queue.record_result(first, Err(lost_response()), now), OrderOutcome::Retrying);
    let NextOrder::Wait(at) = queue.next_order(now) else {
        panic!("the first order must wait for its next attempt");
    };
    assert_eq!(to_send(queue.next_order(at)).fence, first);
    assert_eq!(queue.record_result(first, Ok(()), at), OrderOutcome::Executed);
    assert_eq!(to_send(queue.next_order(at)).fence, second);
}

#[test]
fn orders_that_read_weights_keep_to_the_rate_limit() {
    let now = Instant::now();
    let mut queue = queue(now);
    let fences: Vec<FencingToken> = ["engine-1", "engine-2", "engine-3"]
        .into_iter()
        .map(|id| queue.submit(id, load("large"), true).expect("the queue has capacity"))
        .collect();
    assert_eq!(to_send(queue.next_order(now)).fence, fences[0]);
    assert!(matches!(queue.next_order(now), NextOrder::Wait(at) if at == now + PERMIT_INTERVAL));
    // A further attempt reads the same weights and needs no new permit.
    assert_eq!(queue.record_result(fences[0], Err(lost_response()), now), OrderOutcome::Retrying);
    let later = now + OrderConfig::default().retry_delay;
    assert_eq!(to_send(queue.next_order(later)).fence, fences[0]);
    assert_eq!(to_send(queue.next_order(now + PERMIT_INTERVAL)).fence, fences[1]);
    assert_eq!(to_send(queue.next_order(now + 2 * PERMIT_INTERVAL)).fence, fences[2]);
}

#[test]
fn a_stale_order_ends_at_once_and_a_failing_one_after_its_last_attempt() {
    let now = Instant::now();
    let mut queue = queue(now);
    let stale = queue.submit("engine-1", role("prefill"), true).expect("the queue has capacity");
    to_send(queue.next_order(now));
    let e = Error::new(ErrorReason::Stale, Verdict::NotRun, "a newer owner");
    assert_eq!(queue.record_result(stale, Err(e), now), OrderOutcome::Superseded);
    let failing = queue.submit("engine-1", role("prefill"), true).expect("the queue has capacity");
    let cfg = OrderConfig::default();
    let mut at = now;
    for _ in 1..cfg.max_attempts {
        to_send(queue.next_order(at));
        assert_eq!(queue.record_result(failing, Err(lost_response()), at), OrderOutcome::Retrying);
        at += cfg.retry_delay;
    }
    to_send(queue.next_order(at));
    assert_eq!(
        queue.record_result(failing, Err(lost_response()), at),
        OrderOutcome::Failed(lost_response())
    );
    assert!(queue.is_empty());
}

#[test]
fn a_full_queue_refuses_orders() {
    let now = Instant::now();
    let cfg = OrderConfig { capacity: 1, ..OrderConfig::default() };
    let mut queue = OrderQueue::new(cfg, 2, now, WeightReadLimiter::new(PERMIT_INTERVAL, 1, now));
    queue.submit("engine-1", role("prefill"), true).expect("the queue has capacity");
    let e = queue.submit("engine-1", role("decode"), true).expect_err("full");
    assert_eq!(e.reason(), ErrorReason::Full);
}
