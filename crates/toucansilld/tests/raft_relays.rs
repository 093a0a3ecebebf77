//! Which members pass Raft messages on.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};
use toucansilld::gateway::raft_relay::{RelayTable, may_lead_by_relays, relayed_receiver};

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, n], 7_340))
}

/// Guards against a relay that is chosen for ever, although it doesn't reach the receiver either and
/// doesn't know it yet.
#[test]
fn relays_take_turns() {
    let now = Instant::now();
    let candidates = [1, 2, 3].map(address);
    let mut table = RelayTable::default();
    let mut chosen = BTreeSet::new();
    for _ in 0..3 {
        let relays = table.choose(address(9), &candidates, 2, now);
        assert_eq!(relays.iter().collect::<BTreeSet<_>>().len(), 2, "{relays:?}");
        chosen.extend(table.choose(address(9), &candidates, 1, now));
    }
    assert_eq!(chosen, BTreeSet::from(candidates));
}

/// Guards against messages that go on to be passed to a relay which has said that it doesn't reach the
/// receiver, and against one that gets none for other receivers, or none ever again.
#[test]
fn a_relay_that_fails_is_paused_for_its_receiver() {
    let now = Instant::now();
    let until = now + Duration::from_millis(100);
    let candidates = [1, 2].map(address);
    let mut table = RelayTable::default();
    table.pause(address(9), address(1), until);
    for _ in 0..2 {
        assert_eq!(table.choose(address(9), &candidates, 2, now), [address(2)]);
        assert_eq!(table.choose(address(8), &candidates, 2, now).len(), 2);
    }
    table.pause(address(9), address(2), until);
    assert_eq!(table.choose(address(9), &candidates, 2, now), []);
    assert_eq!(table.choose(address(9), &candidates, 2, until).len(), 2);
}

/// Guards against a message that is passed to its own receiver as the relay.
#[test]
fn a_receiver_is_no_relay_for_itself() {
    let mut table = RelayTable::default();
    let relays = table.choose(address(1), &[1, 2].map(address), 2, Instant::now());
    assert_eq!(relays, [address(2)]);
    assert_eq!(table.choose(address(2), &[address(2)], 2, Instant::now()), []);
}

/// Guards against a leader that stays one by way of a single other member, while the rest reach each
/// other and follow no leader.
#[test]
fn a_member_that_reaches_fewer_than_it_does_not_reach_sends_no_messages_of_a_leader() {
    assert!(may_lead_by_relays(4, 1) && may_lead_by_relays(3, 2));
    assert!(!may_lead_by_relays(2, 3) && !may_lead_by_relays(1, 4));
    assert!(may_lead_by_relays(1, 1), "one of two whose path to each other is silent");
}

/// Guards against a relay that connects to whatever address it is given, or passes a message to itself.
#[test]
fn a_relay_passes_messages_to_known_voters_only() {
    let [own, voter, other] = [1, 2, 3].map(address);
    let other_port = SocketAddr::new(voter.ip(), 80);
    let known = [own, voter, other_port];
    assert_eq!(relayed_receiver(own, &known, &voter.to_string()), Some(voter));
    for refused in [own, other, other_port].map(|address| address.to_string()) {
        assert_eq!(relayed_receiver(own, &known, &refused), None, "{refused}");
    }
    assert_eq!(relayed_receiver(own, &known, "localhost"), None);
}
