//! Guards against a late document that replaces a newer one, and against a snapshot that loses the
//! document or a data centre out of service.

use control::{Command, Outcome, PublishedRouting, RoutingOutcome, State};

fn publish(state: &mut State, index: u64, version: u64, text: &str) -> Outcome {
    let published = PublishedRouting { version, document: text.as_bytes().to_vec() };
    state.apply(index, &Command::PublishRouting(published))
}

#[test]
fn the_highest_version_stays_in_force() {
    let mut state = State::new();
    let accepted = Outcome::Routing(RoutingOutcome::Accepted);
    let held = Outcome::Routing(RoutingOutcome::Held { version: 7 });
    assert_eq!(publish(&mut state, 1, 5, "five"), accepted);
    assert_eq!(publish(&mut state, 2, 7, "seven"), accepted);
    assert_eq!(publish(&mut state, 3, 6, "late"), held);
    assert_eq!(publish(&mut state, 4, 7, "another operator's"), held);
    let routing = state.routing().expect("published");
    assert_eq!((routing.version, routing.document.as_slice()), (7, b"seven".as_slice()));
}

#[test]
fn a_data_centre_is_out_of_service_until_it_is_put_back() {
    let mut state = State::new();
    let set_out_of_service =
        |is_closed| Command::CloseDataCentre { data_centre: "a".to_owned(), is_closed };
    assert_eq!(state.apply(1, &set_out_of_service(true)), Outcome::DataCentre);
    assert_eq!(state.apply(2, &set_out_of_service(true)), Outcome::DataCentre);
    assert!(state.out_of_service().contains("a"));
    assert_eq!(state.apply(3, &set_out_of_service(false)), Outcome::DataCentre);
    assert!(state.out_of_service().is_empty());
}

#[test]
fn a_snapshot_keeps_routing_and_data_centres_and_the_former_format_has_neither() {
    let mut state = State::new();
    let empty = state.snapshot();
    publish(&mut state, 1, 5, "five");
    let out_of_service = Command::CloseDataCentre { data_centre: "a".to_owned(), is_closed: true };
    state.apply(2, &out_of_service);
    assert_eq!(State::restore(&state.snapshot()).expect("restored"), state);

    // The former format ends before these two fields, each of which is one byte when empty.
    let mut former = 2u32.to_le_bytes().to_vec();
    former.extend(&empty[4..empty.len() - 2]);
    assert_eq!(State::restore(&former).expect("restored"), State::new());
}
