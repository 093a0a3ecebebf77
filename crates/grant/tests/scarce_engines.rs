//! Load: more long prompts than the engines have room for, as in a burst of dossiers of which many
//! exceed the memory of one engine, while a third of the engines is out of service. Refused callers
//! return once, when they were told to.

use grant::{
    Decision, Directory, Dispatcher, DispatcherConfig, PlacementRequest, PlacementRequestId,
    Registration, RequestOutcome,
};
use routing::{EngineProfile, Service};
use std::time::{Duration, Instant};

const SERVICE: &str = "s";
const ENGINES: usize = 8;
/// Target for the first event of a dossier.
const TARGET: Duration = Duration::from_secs(8);
/// Time without an event after which its caller leaves.
const PATIENCE: Duration = Duration::from_secs(15);

/// A region of idle engines.
struct Region {
    now: Instant,
    directory: Directory,
    dispatcher: Dispatcher,
    last_number: u64,
}

impl Region {
    fn new() -> Self {
        let now = Instant::now();
        let mut directory = Directory::new();
        for i in 0..ENGINES {
            let address = format!("10.0.0.{}:80", i + 1).parse().expect("an address");
            directory.register(now, Registration::new(&format!("e{i}"), SERVICE, address));
        }
        let mut service = Service::new(SERVICE);
        service.engine = Some(EngineProfile { memory_tokens: 250_000, ..EngineProfile::example() });
        let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
        dispatcher.set_services(&[service]);
        Self { now, directory, dispatcher, last_number: 0 }
    }

    /// Requests engines for a dossier with this prompt. `hash` identifies the request.
    fn request(&mut self, prompt: u64, hash: u64) -> (PlacementRequestId, Decision) {
        let request = self.describe(prompt, hash);
        (request.id.clone(), self.send(&request))
    }

    /// Sends a placement request, the first time or again.
    fn send(&mut self, request: &PlacementRequest) -> Decision {
        self.dispatcher.request_placement(self.now, &self.directory, request.clone())
    }

    fn describe(&mut self, prompt: u64, hash: u64) -> PlacementRequest {
        self.last_number += 1;
        let id = PlacementRequestId { daemon: "entry".to_owned(), number: self.last_number };
        let mut request = PlacementRequest::new(id, SERVICE, prompt, 500);
        request.first_event_target_remaining = TARGET;
        request.first_event_deadline_remaining = PATIENCE;
        request.pause_target = Duration::from_secs(1);
        request.request_hash = hash;
        request
    }

    /// Requests engines for dossiers until one is refused. Returns its hash and when it may return.
    fn fill(&mut self) -> (u64, Duration) {
        for hash in 1.. {
            if let (_, Decision::Refused { retry_after, .. }) = self.request(200_000, hash) {
                return (hash, retry_after);
            }
        }
        unreachable!("the engines are never full")
    }
}

#[test]
fn a_caller_that_returns_when_it_was_told_to_is_not_refused_again() {
    let mut region = Region::new();
    let (hash, retry_after) = region.fill();
    region.now += retry_after;
    let (_, decision) = region.request(200_000, hash);
    assert!(!matches!(decision, Decision::Refused { .. }), "{decision:?}");
    assert_eq!(region.dispatcher.promises(region.now), (0, 1));
}

#[test]
fn a_caller_that_returns_at_once_gains_no_place() {
    let mut region = Region::new();
    let (hash, retry_after) = region.fill();
    for _ in 0..3 {
        region.now += retry_after / 5;
        let (_, decision) = region.request(200_000, hash);
        assert!(matches!(decision, Decision::Refused { .. }), "{decision:?}");
    }
    // Its promise is as good as that of a caller that has waited.
    region.now += retry_after / 2;
    let (_, decision) = region.request(200_000, hash);
    assert!(!matches!(decision, Decision::Refused { .. }), "{decision:?}");
}

#[test]
fn a_promise_ends_and_is_kept_once() {
    let mut region = Region::new();
    let (_, retry_after) = region.fill();
    region.now += retry_after + Duration::from_secs(5);
    assert_eq!(region.dispatcher.promises(region.now), (0, 0));
    let mut region = Region::new();
    let (other, retry_after) = region.fill();
    region.now += retry_after;
    let (_, returned) = region.request(200_000, other);
    assert!(!matches!(returned, Decision::Refused { .. }), "{returned:?}");
    assert_eq!(region.dispatcher.promises(region.now), (0, 1));
    region.request(200_000, other);
    assert_eq!(region.dispatcher.promises(region.now).1, 1, "kept twice");
}

/// Engines become idle one after the other, and a shorter dossier arrives each time. The one that
/// exceeds the memory of an engine gets its two engines nevertheless, in time for its target.
#[test]
fn a_prompt_beyond_the_memory_of_one_engine_collects_idle_engines() {
    let mut region = Region::new();
    let mut running = Vec::new();
    while let (id, Decision::Granted(grant)) = region.request(150_000, 0) {
        running.push((id, grant));
    }
    let large = region.describe(300_000, 1);
    assert_eq!(region.send(&large), Decision::Waiting);
    let deadline = region.now + TARGET;
    while region.now < deadline {
        region.now += Duration::from_millis(400);
        if let Some((id, _)) = running.pop() {
            region.dispatcher.request_ended(region.now, &id, RequestOutcome::Completed);
        }
        region.dispatcher.poll(region.now, &region.directory);
        if matches!(region.send(&large), Decision::Granted(_)) {
            return;
        }
        region.request(150_000, 0);
    }
    panic!("the large prompt has not been placed in time");
}
