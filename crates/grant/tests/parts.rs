//! Prompts that are read by engines that write.

use grant::{
    Decision, Directory, Dispatcher, DispatcherConfig, Grant, PlacementRequest, PlacementRequestId,
    Registration,
};
use routing::{EngineProfile, Service};
use std::time::{Duration, Instant};

struct World {
    now: Instant,
    directory: Directory,
    dispatcher: Dispatcher,
    next: u64,
}

fn world(engines: usize) -> World {
    let now = Instant::now();
    let mut directory = Directory::new();
    for i in 0..engines {
        let address = format!("10.0.0.{i}:80").parse().expect("an address");
        directory.register(now, Registration::new(&format!("e{i}"), "s", address));
    }
    let mut service = Service::new("s");
    service.engine = Some(EngineProfile::example());
    let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
    dispatcher.set_services(&[service]);
    World { now, directory, dispatcher, next: 0 }
}

/// A request with a target, a longest pause and a time for the whole answer, in
/// milliseconds.
fn ask(world: &mut World, prompt: u64, [target, pause, time]: [u64; 3]) -> PlacementRequest {
    world.next += 1;
    let id = PlacementRequestId { daemon: "entry".to_owned(), number: world.next };
    let mut ask = PlacementRequest::new(id, "s", prompt, 660);
    ask.target_remaining = Duration::from_millis(target);
    ask.pause_target = Duration::from_millis(pause);
    ask.time_remaining = Duration::from_millis(time);
    ask
}

const REVIEW: [u64; 3] = [1_500, 600, 10_000];
const DIGEST: [u64; 3] = [3_000, 1_000, 15_000];

fn granted(world: &mut World, ask: PlacementRequest) -> Option<Grant> {
    match world.dispatcher.request_placement(world.now, &world.directory, ask) {
        Decision::Granted(grant) => Some(grant),
        Decision::Waiting | Decision::Refused { .. } => None,
    }
}

/// Grants a request and lets it write.
fn writing(world: &mut World, ask: PlacementRequest) -> Grant {
    let id = ask.id.clone();
    let grant = granted(world, ask).expect("a place");
    world.now += grant.expected_first_event;
    world.dispatcher.first_event_received(world.now, &id);
    grant
}

/// Two prompts of 40,000 tokens share the pieces of one pass, which takes 0.7 s then.
#[test]
fn prompts_that_share_a_pass_make_it_longer() {
    let mut world = world(2);
    let first = ask(&mut world, 40_000, REVIEW);
    let first = writing(&mut world, first);
    let second = ask(&mut world, 40_000, REVIEW);
    let second = granted(&mut world, second).expect("a place");
    assert_eq!(second.upstream, first.upstream, "one prompt fits between the events");
    let third = ask(&mut world, 40_000, REVIEW);
    let third = granted(&mut world, third);
    assert!(third.is_none_or(|grant| grant.upstream != first.upstream), "two don't");
}

/// All engines but the one that stays free write digests: each reads a part within its
/// passes.
#[test]
fn engines_that_write_read_parts_of_a_digest() {
    let mut world = world(6);
    let mut mains = Vec::new();
    for _ in 0..5 {
        let digest = ask(&mut world, 75_000, DIGEST);
        let grant = granted(&mut world, digest).expect("a place");
        mains.push((grant.upstream, world.next));
    }
    world.now += Duration::from_millis(2_000);
    for (_, number) in &mains {
        let id = PlacementRequestId { daemon: "entry".to_owned(), number: *number };
        world.dispatcher.first_event_received(world.now, &id);
    }
    let digest = ask(&mut world, 182_000, DIGEST);
    let grant = granted(&mut world, digest).expect("a place");
    assert!(grant.helpers.len() >= 3, "{grant:?}");
    assert!(grant.expected_first_event <= Duration::from_millis(2_550), "{grant:?}");
}

/// An answer that has just time to be written is not slowed by prompts of others.
#[test]
fn answers_with_little_time_left_read_for_nobody() {
    let mut world = world(1);
    let [target, pause, _] = DIGEST;
    let urgent = ask(&mut world, 75_000, [target, pause, 4_000]);
    writing(&mut world, urgent);
    let digest = ask(&mut world, 75_000, DIGEST);
    assert_eq!(granted(&mut world, digest), None);
}
