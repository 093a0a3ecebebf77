//! Prefill of prompts by engines that decode other requests.

use grant::{
    Decision, Directory, Dispatcher, DispatcherConfig, Grant, PlacementRequest, PlacementRequestId,
    Registration,
};
use routing::{EngineProfile, Service};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

struct Fixture {
    now: Instant,
    directory: Directory,
    dispatcher: Dispatcher,
    last_number: u64,
}

fn fixture(engines: usize) -> Fixture {
    let now = Instant::now();
    let mut directory = Directory::new();
    for i in 0..engines {
        let address = format!("10.0.0.{i}:80").parse().expect("valid address");
        directory.register(now, Registration::new(&format!("e{i}"), "s", address));
    }
    let mut service = Service::new("s");
    service.engine = Some(EngineProfile::example());
    let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
    dispatcher.set_services(&[service]);
    Fixture { now, directory, dispatcher, last_number: 0 }
}

/// A placement request with the remaining time to the first event, the longest pause between two
/// events and the remaining time for the whole response, in milliseconds.
fn request(
    fixture: &mut Fixture,
    prompt: u64,
    [target_ms, pause_ms, time_ms]: [u64; 3],
) -> PlacementRequest {
    fixture.last_number += 1;
    let id = PlacementRequestId { daemon: "entry".to_owned(), number: fixture.last_number };
    let mut request = PlacementRequest::new(id, "s", prompt, 660);
    request.first_event_target_remaining = Duration::from_millis(target_ms);
    request.pause_target = Duration::from_millis(pause_ms);
    request.response_time_remaining = Duration::from_millis(time_ms);
    request
}

/// Targets for the first event and for pauses, and total time of a review, in milliseconds. Reviews
/// and digests are request kinds of the crate `load`, with about 45,000 and 182,000 tokens on
/// average.
const REVIEW: [u64; 3] = [1_500, 600, 10_000];
/// The same of a digest, a longer prompt.
const DIGEST: [u64; 3] = [3_000, 1_000, 15_000];

fn try_grant(fixture: &mut Fixture, request: PlacementRequest) -> Option<Grant> {
    match fixture.dispatcher.request_placement(fixture.now, &fixture.directory, request) {
        Decision::Granted(grant) => Some(grant),
        Decision::Waiting | Decision::Refused { .. } => None,
    }
}

/// Grants a request and advances the clock to its first event, after which it decodes.
fn start_decoding(fixture: &mut Fixture, request: PlacementRequest) -> Grant {
    let id = request.id.clone();
    let grant = try_grant(fixture, request).expect("an engine has room");
    fixture.now += grant.expected_first_event;
    fixture.dispatcher.first_event_received(fixture.now, &id);
    grant
}

/// Two prompts of 40,000 tokens share the chunks of one pass, which then takes 0.7 s: longer than
/// the pause target of 0.6 s. They must not both be placed on an engine that decodes a request.
#[test]
fn prompts_that_share_a_pass_lengthen_it() {
    let mut fixture = fixture(2);
    let first = request(&mut fixture, 40_000, REVIEW);
    let first = start_decoding(&mut fixture, first);
    let second = request(&mut fixture, 40_000, REVIEW);
    let second = try_grant(&mut fixture, second).expect("an engine has room");
    assert_eq!(second.upstream, first.upstream, "one more prompt fits between the events");
    let third = request(&mut fixture, 40_000, REVIEW);
    let third = try_grant(&mut fixture, third);
    assert!(
        third.is_none_or(|grant| grant.upstream != first.upstream),
        "a third prompt does not fit into the pass"
    );
}

/// All engines decode digests but one, which is kept idle for short prompts. A longer digest can be
/// on time only if the decoding engines prefill parts of it within their passes.
#[test]
fn decoding_engines_prefill_parts_of_a_digest() {
    let mut fixture = fixture(6);
    let mut digests = Vec::new();
    for _ in 0..5 {
        let digest = request(&mut fixture, 75_000, DIGEST);
        let grant = try_grant(&mut fixture, digest).expect("an engine has room");
        digests.push((grant.upstream, fixture.last_number));
    }
    fixture.now += Duration::from_millis(2_000);
    for (_, number) in &digests {
        let id = PlacementRequestId { daemon: "entry".to_owned(), number: *number };
        fixture.dispatcher.first_event_received(fixture.now, &id);
    }
    let digest = request(&mut fixture, 182_000, DIGEST);
    let grant = try_grant(&mut fixture, digest).expect("an engine has room");
    assert!(grant.helpers.len() >= 3, "{grant:?}");
    assert!(grant.expected_first_event <= Duration::from_millis(2_550), "{grant:?}");
}

/// A response with barely enough time to be decoded would end late if its engine also prefilled a
/// prompt of another request.
#[test]
fn a_response_with_little_remaining_time_is_not_slowed_by_other_prompts() {
    let mut fixture = fixture(1);
    let [target_ms, pause_ms, _] = DIGEST;
    let urgent = request(&mut fixture, 75_000, [target_ms, pause_ms, 4_000]);
    start_decoding(&mut fixture, urgent);
    let digest = request(&mut fixture, 75_000, DIGEST);
    assert_eq!(try_grant(&mut fixture, digest), None);
}

/// An engine prefills the newest part first, so a part that it got earlier would end only after the
/// other. On the users' engines two fifths of the digests of a quiet day were late for that.
#[test]
fn an_engine_that_prefills_a_part_gets_no_other_part() {
    let mut fixture = fixture(8);
    let first = request(&mut fixture, 182_000, DIGEST);
    let first = try_grant(&mut fixture, first).expect("idle engines");
    assert!(!first.helpers.is_empty(), "it is shared");
    fixture.now += first.expected_first_event.mul_f64(0.9);
    let second = request(&mut fixture, 182_000, DIGEST);
    let second = try_grant(&mut fixture, second).expect("idle engines");
    assert!(!second.helpers.is_empty(), "it is shared");
    let engines = |grant: &Grant| {
        let helpers = grant.helpers.iter().map(|helper| helper.upstream.clone());
        helpers.chain([grant.upstream.clone()]).collect::<BTreeSet<_>>()
    };
    assert!(engines(&first).is_disjoint(&engines(&second)), "{first:?} {second:?}");
}
