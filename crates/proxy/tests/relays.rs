//! Daemons that relay messages for others, as the leader lists them.

use proxy::{AnnouncedRelays, RelayDaemon};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

fn relay(name: &str) -> RelayDaemon {
    let address = "10.0.0.1:80".parse().expect("an address");
    RelayDaemon { daemon: name.to_owned(), data_centre: String::from("dc-1"), address }
}

/// An announcement that arrives after its daemon has gone lists the daemon again. It must not stay listed.
#[test]
fn a_late_announcement_is_listed_for_a_limited_time() {
    const LISTED_FOR: Duration = Duration::from_secs(30);
    let now = Instant::now();
    let mut relays = AnnouncedRelays::default();
    relays.announce(now, relay("gone"));
    assert_eq!(relays.announce(now, relay("a")), [relay("gone")]);
    assert!(relays.announce(now + LISTED_FOR, relay("a")).is_empty());
}

/// All that were asked about a silent member were in one data centre, which was cut off as well.
#[test]
fn a_few_relays_are_of_different_data_centres() {
    let now = Instant::now();
    let mut relays = AnnouncedRelays::default();
    let listed = [("a-1", "a", 1), ("a-2", "a", 2), ("a-3", "a", 3), ("b-1", "b", 4)];
    for (name, data_centre, port) in listed {
        let address = SocketAddr::from(([10, 0, 0, 1], port));
        let data_centre = String::from(data_centre);
        relays.announce(now, RelayDaemon { daemon: name.to_owned(), data_centre, address });
    }
    let ports = |count| -> Vec<u16> { relays.spread(count).iter().map(SocketAddr::port).collect() };
    assert_eq!(ports(3), [1, 4, 2]);
    assert_eq!(ports(9), [1, 4, 2, 3]);
}
