//! Tests which path to an upstream a daemon takes, and which other daemons it is told of and tries.

use bolero::TypeGenerator;
use proxy::{AnnouncedRelays, KnownRelays, PathChoice, PathTable, PathsChange, RelayDaemon};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};

fn upstream(i: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i], 80))
}

fn relay(i: usize, data_centre: &str) -> RelayDaemon {
    let address = SocketAddr::from(([10, 1, 0, i as u8], 80));
    RelayDaemon { daemon: format!("entry-{i:02}"), data_centre: data_centre.to_owned(), address }
}

/// Guards against an upstream that is gone being taken for a lost path: each request would then be
/// sent through another daemon.
#[test]
fn an_upstream_that_no_daemon_reaches_is_gone() {
    let now = Instant::now();
    let mut paths = PathTable::default();
    paths.connection_failed(now, upstream(1));
    paths.not_reached_by_others(now, upstream(1));
    assert_eq!(paths.choice(now, upstream(1)), PathChoice::Direct);
    assert_eq!(paths.choice(now, upstream(2)), PathChoice::DirectThenRelay);
    // It may have returned meanwhile, or the other daemon may have lost its path too.
    let later = now + Duration::from_secs(2);
    assert_eq!(paths.choice(later, upstream(1)), PathChoice::DirectThenRelay);
    assert!(!paths.has_several_failures());
}

/// Guards against a daemon that takes the end of several upstreams for the loss of its own paths, so
/// that their failures are not reported and it sends nothing for others.
#[test]
fn a_daemon_that_connects_to_other_upstreams_does_not_doubt_itself() {
    let now = Instant::now();
    let mut paths = PathTable::default();
    (1..=3).for_each(|i| paths.connection_failed(now, upstream(i)));
    let known = (1..=4).map(upstream).collect::<BTreeSet<_>>();
    assert_eq!(paths.to_check(&known)[0], upstream(4));
    paths.connection_made(now, upstream(4));
    assert_eq!(paths.checked_in_vain(), None);
    assert!(!paths.is_in_doubt());
}

/// Guards against waits for a connection to each of the upstreams once all paths are lost, and against
/// paths that are not used again once they are back.
#[test]
fn lost_paths_are_not_tried_until_a_connection_is_made() {
    let now = Instant::now();
    let mut paths = PathTable::default();
    paths.connection_failed(now, upstream(1));
    assert_eq!(paths.relayed(upstream(1)), None);
    assert_eq!(paths.choice(now, upstream(1)), PathChoice::Relay);
    assert_eq!(paths.choice(now, upstream(2)), PathChoice::DirectThenRelay);
    assert_eq!(paths.checked_in_vain(), None, "one failure is no reason for doubt");
    paths.connection_failed(now, upstream(2));
    paths.relayed(upstream(2));
    assert_eq!(paths.choice(now, upstream(3)), PathChoice::DirectThenRelay);
    let known = (1..=4).map(upstream).collect::<BTreeSet<_>>();
    assert_eq!(paths.to_check(&known), [3, 4, 1, 2].map(upstream), "others first");
    assert_eq!(paths.checked_in_vain(), Some(PathsChange::Lost));
    assert_eq!(paths.choice(now, upstream(3)), PathChoice::Relay, "not tried yet");

    let back = now + Duration::from_secs(5);
    let change = paths.connection_made(back, upstream(4));
    assert_eq!(change, Some(PathsChange::Regained(Duration::from_secs(5))));
    assert_eq!(paths.choice(back, upstream(3)), PathChoice::DirectThenRelay);
    assert_eq!(paths.choice(back, upstream(2)), PathChoice::Relay, "not known to be back");
    assert_eq!(paths.to_check(&known), [upstream(1), upstream(2)]);
    paths.connection_made(back, upstream(2));
    assert_eq!(paths.choice(back, upstream(2)), PathChoice::DirectThenRelay);
    assert_eq!(paths.to_check(&[upstream(2)].into()), [], "upstreams that have left are forgotten");
}

/// Event that changes a path table.
#[derive(Clone, Debug, TypeGenerator)]
enum Event {
    Made(u8),
    Failed(u8),
    Relayed(u8),
    Gone(u8),
    CheckedInVain,
}

/// Whatever happens, an upstream to which an own connection was made last is reached by own
/// connections, unless all paths are lost; and a daemon never checks paths without need.
#[test]
fn a_path_is_used_after_a_connection_was_made() {
    seeded::check().with_type::<Vec<Event>>().for_each(|events| {
        let mut now = Instant::now();
        let mut paths = PathTable::default();
        let known: BTreeSet<SocketAddr> = (0..4).map(upstream).collect();
        for event in events {
            now += Duration::from_millis(100);
            match event {
                Event::Made(i) => {
                    let made = upstream(i % 4);
                    paths.connection_made(now, made);
                    assert_ne!(paths.choice(now, made), PathChoice::Relay);
                    assert!(!paths.is_in_doubt());
                }
                Event::Failed(i) => paths.connection_failed(now, upstream(i % 4)),
                Event::CheckedInVain => drop(paths.checked_in_vain()),
                Event::Relayed(i) => {
                    paths.relayed(upstream(i % 4));
                    assert_eq!(paths.choice(now, upstream(i % 4)), PathChoice::Relay);
                }
                Event::Gone(i) => paths.not_reached_by_others(now, upstream(i % 4)),
            }
            let is_relayed = |i| paths.choice(now, upstream(i)) == PathChoice::Relay;
            let has_lost_paths = (0..4).any(is_relayed);
            let is_checked = has_lost_paths || paths.has_several_failures();
            assert_eq!(!paths.to_check(&known).is_empty(), is_checked);
            assert!(!paths.is_in_doubt() || paths.has_several_failures());
        }
    });
}

/// Guards against daemons that know no relay outside a data centre that has lost its paths, and against
/// one relay that all others are told of.
#[test]
fn relays_are_listed_in_turn_from_the_own_and_other_data_centres() {
    let now = Instant::now();
    let mut announced = AnnouncedRelays::default();
    let all: Vec<RelayDaemon> = (0..30).map(|i| relay(i, ["a", "b", "c"][i % 3])).collect();
    assert!(all.iter().all(|relay| announced.announce(now, relay.clone()).len() <= 6));
    let mut seen = BTreeSet::new();
    for _ in 0..10 {
        let listed = announced.announce(now, all[0].clone());
        assert_eq!(listed.iter().filter(|relay| relay.data_centre == "a").count(), 2);
        assert_eq!(listed.iter().filter(|relay| relay.data_centre != "a").count(), 4);
        assert!(listed.iter().all(|relay| relay.daemon != all[0].daemon), "not itself");
        seen.extend(listed.into_iter().map(|relay| relay.daemon));
    }
    assert!(seen.len() > 12, "{seen:?}");
    // A daemon that no longer announces itself is not listed.
    let later = now + Duration::from_secs(31);
    assert_eq!(announced.announce(later, all[0].clone()), []);
}

/// Guards against relays that have lost their paths too being tried again and again, before others.
#[test]
fn relays_that_failed_are_tried_last() {
    let now = Instant::now();
    let mut known = KnownRelays::default();
    known.add(now, vec![relay(1, "a"), relay(2, "a"), relay(3, "b")]);
    let first = |known: &KnownRelays, now| {
        let first = |turn| known.in_order(now, &String::from("a"), turn)[0].daemon.clone();
        (0..6).map(first).collect::<BTreeSet<_>>()
    };
    let names = |names: &[&str]| names.iter().map(ToString::to_string).collect::<BTreeSet<_>>();
    assert_eq!(first(&known, now), names(&["entry-01", "entry-02"]), "the own data centre first");
    known.tried(now, &String::from("entry-01"), false);
    assert_eq!(first(&known, now), names(&["entry-02"]));
    known.tried(now, &String::from("entry-02"), false);
    assert_eq!(first(&known, now), names(&["entry-03"]));
    known.add(now, vec![relay(1, "a")]);
    assert_eq!(first(&known, now), names(&["entry-03"]), "being listed again changes nothing");
    known.tried(now, &String::from("entry-02"), true);
    assert_eq!(first(&known, now), names(&["entry-02"]));
    // Relays that are no longer listed are forgotten.
    known.add(now + Duration::from_secs(61), vec![relay(4, "b")]);
    assert_eq!(first(&known, now), names(&["entry-04"]));
}
