//! Load: more short prompts than the engines have room for, as in a burst of drafts while a third of
//! the engines is out of service. All can't be on time; those that can't must not make the others
//! late too.

use grant::{
    Decision, Directory, Dispatcher, DispatcherConfig, PlacementRequest, PlacementRequestId,
    Registration, RequestOutcome,
};
use routing::{EngineProfile, Service};
use std::time::{Duration, Instant};

const SERVICE: &str = "s";
/// Target for the first event of a draft.
const TARGET: Duration = Duration::from_millis(300);
/// Time without an event after which callers of drafts leave.
const PATIENCE: Duration = Duration::from_secs(2);
/// Length of a draft's prompt, in tokens.
const DRAFT: u64 = 5_000;

/// A region with engines of a few slots each.
struct Region {
    now: Instant,
    directory: Directory,
    dispatcher: Dispatcher,
    last_number: u64,
}

impl Region {
    fn new(engines: usize, slots: u32) -> Self {
        let now = Instant::now();
        let mut directory = Directory::new();
        for i in 0..engines {
            let address = format!("10.0.0.{}:80", i + 1).parse().expect("an address");
            let registration = Registration::new(&format!("e{i}"), SERVICE, address);
            directory.register(now, Registration { slots, ..registration });
        }
        let mut service = Service::new(SERVICE);
        service.engine = Some(EngineProfile::example());
        let mut dispatcher = Dispatcher::new(DispatcherConfig::default());
        dispatcher.set_services(&[service]);
        Self { now, directory, dispatcher, last_number: 0 }
    }

    /// Requests an engine for a draft.
    fn request(&mut self) -> (PlacementRequestId, Decision) {
        self.request_by(TARGET)
    }

    /// Requests an engine for a draft with this time remaining to its target.
    fn request_by(&mut self, target: Duration) -> (PlacementRequestId, Decision) {
        self.last_number += 1;
        let id = PlacementRequestId { daemon: "entry".to_owned(), number: self.last_number };
        let mut request = PlacementRequest::new(id.clone(), SERVICE, DRAFT, 1_000);
        request.first_event_target_remaining = target;
        request.first_event_deadline_remaining = PATIENCE;
        request.pause_target = Duration::from_millis(250);
        let decision = self.dispatcher.request_placement(self.now, &self.directory, request);
        (id, decision)
    }

    /// Lets the time pass and returns what is decided by then.
    fn pass(&mut self, ms: u64) -> Vec<(PlacementRequestId, Decision)> {
        self.now += Duration::from_millis(ms);
        self.dispatcher.poll(self.now, &self.directory)
    }

    fn end(&mut self, id: &PlacementRequestId) {
        self.dispatcher.request_ended(self.now, id, RequestOutcome::Completed);
    }
}

fn is_granted(decision: &Decision) -> bool {
    matches!(decision, Decision::Granted(_))
}

#[test]
fn a_draft_that_cannot_be_on_time_does_not_take_the_slot_of_one_that_can() {
    let mut region = Region::new(1, 1);
    let (running, decision) = region.request();
    assert!(is_granted(&decision));
    region.dispatcher.first_event_received(region.now, &running);
    let (late, decision) = region.request();
    assert_eq!(decision, Decision::Waiting);
    assert_eq!(region.pass(230), []);
    let (fresh, decision) = region.request();
    assert_eq!(decision, Decision::Waiting);
    region.end(&running);
    let decided = region.pass(5);
    assert_eq!(decided.len(), 1, "{decided:?}");
    assert!(decided[0].0 == fresh && is_granted(&decided[0].1), "{decided:?}");
    // Nothing is held back: the late one gets the next slot that no other wants.
    region.end(&fresh);
    let decided = region.pass(5);
    assert!(decided.len() == 1 && decided[0].0 == late && is_granted(&decided[0].1), "{decided:?}");
}

/// Each prompt of a pass lengthens it for all of them.
#[test]
fn an_engine_is_not_given_a_prompt_that_makes_an_earlier_first_event_late() {
    let mut region = Region::new(1, 16);
    // It is on time by a margin shorter than the prefill of another draft.
    let (first, decision) = region.request_by(Duration::from_millis(100));
    assert!(is_granted(&decision));
    let (_, decision) = region.request();
    assert_eq!(decision, Decision::Waiting);
    region.dispatcher.first_event_received(region.now, &first);
    assert!(is_granted(&region.request().1));
}

/// The engine takes others as soon as the first events have come.
#[test]
fn waiting_prompts_are_placed_once_the_first_events_have_come() {
    let mut region = Region::new(1, 16);
    let mut granted = Vec::new();
    let mut waiting = 0;
    for _ in 0..16 {
        match region.request() {
            (id, Decision::Granted(_)) => granted.push(id),
            _ => waiting += 1,
        }
    }
    assert!(waiting > 0);
    for id in &granted {
        region.dispatcher.first_event_received(region.now, id);
    }
    let decided = region.pass(60);
    assert!(decided.iter().any(|(_, decision)| is_granted(decision)), "{decided:?}");
}
