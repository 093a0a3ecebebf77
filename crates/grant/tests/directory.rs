//! Registrations that arrive late, out of order, or from runs that have ended.

use control::{Command, Departures, State, UpstreamDeparture};
use grant::{Directory, DirectoryEntry, Registration, RegistrationOutcome};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// Registration of an upstream at a port, from the run with this start time.
fn registration(id: &str, port: u16, started_at_ms: u64, sequence: u64) -> Registration {
    let address = format!("10.0.0.1:{port}").parse().expect("valid address");
    Registration { started_at_ms, sequence, ..Registration::new(id, "s", address) }
}

/// Names of the available upstreams.
fn available(directory: &Directory) -> Vec<String> {
    directory.available("s").map(|entry| entry.registration.id.clone()).collect()
}

/// A registration that is overtaken by a newer one must not undo it: the upstream would get
/// requests although it drains.
#[test]
fn an_older_registration_is_stale() {
    let now = Instant::now();
    let mut directory = Directory::new();
    let draining = Registration { is_draining: true, ..registration("u", 1, 5, 3) };
    assert_eq!(directory.register(now, registration("u", 1, 5, 2)), RegistrationOutcome::Started);
    assert_eq!(directory.register(now, draining), RegistrationOutcome::Changed);
    assert_eq!(directory.register(now, registration("u", 1, 5, 2)), RegistrationOutcome::Stale);
    assert!(available(&directory).is_empty(), "a draining upstream is not available");
}

/// A registration that was sent before the departure and arrives after it must not bring the
/// upstream back; a restart under the same name must.
#[test]
fn a_departed_upstream_returns_only_as_a_later_run() {
    let now = Instant::now();
    let mut directory = Directory::new();
    directory.register(now, registration("u", 1, 5, 2));
    assert!(directory.deregister(now, "u"));
    assert!(!directory.deregister(now, "u"), "it had departed already");
    assert_eq!(directory.register(now, registration("u", 1, 5, 3)), RegistrationOutcome::Stale);
    assert_eq!(directory.register(now, registration("u", 1, 6, 1)), RegistrationOutcome::Started);
    assert_eq!(available(&directory), ["u"]);
}

/// Guards against a registration of another writer, which has the name and the run of an upstream and another
/// service: requests of that service would be run by this upstream. A later run may be of another service.
#[test]
fn a_run_stays_with_its_service() {
    let now = Instant::now();
    let mut directory = Directory::new();
    let first = registration("u1", 1, 5, 1);
    directory.register(now, first.clone());
    let odd = Registration { service: "other".to_owned(), sequence: 9, ..first.clone() };
    assert_eq!(directory.register(now, odd), RegistrationOutcome::Stale);
    assert_eq!(directory.available("other").count(), 0);
    let next = Registration { sequence: 2, ..first.clone() };
    assert_eq!(directory.register(now, next), RegistrationOutcome::Refreshed);
    let later = Registration { service: "other".to_owned(), started_at_ms: 6, ..first };
    assert_eq!(directory.register(now, later), RegistrationOutcome::Started);
    assert_eq!(directory.available("other").count(), 1);
}

/// A new upstream takes over the address of one that died without deregistering. Delayed
/// registrations of the dead one must not direct requests to that address under its name.
#[test]
fn an_earlier_run_does_not_get_its_address_back() {
    let now = Instant::now();
    let mut directory = Directory::new();
    directory.register(now, registration("old", 1, 5, 9));
    assert_eq!(directory.register(now, registration("new", 1, 8, 1)), RegistrationOutcome::Started);
    assert_eq!(available(&directory), ["new"]);
    assert_eq!(directory.register(now, registration("old", 1, 5, 10)), RegistrationOutcome::Stale);
    assert_eq!(available(&directory), ["new"]);
}

/// Departures, as the state of a control group has them after these commands.
fn departures(commands: Vec<Command>) -> Departures {
    let mut state = State::new();
    for (index, command) in (1..).zip(commands) {
        state.apply(index, &command);
    }
    state.departures().clone()
}

/// A new leader starts from a copy of the directory that is older than the departures that its
/// predecessor acknowledged. The upstreams must not come back, not even by a registration that
/// arrives late or after a restart; a later run under the same name must.
#[test]
fn replicated_departures_survive_an_older_copy_of_the_directory() {
    let now = Instant::now();
    let mut leader = Directory::new();
    leader.register(now, registration("left", 1, 5, 2));
    leader.register(now, registration("drains", 2, 5, 2));
    let older_copy = leader.clone();
    leader.deregister(now, "left");
    let draining = Registration { is_draining: true, ..registration("drains", 2, 5, 4) };
    leader.register(now, draining);
    let announced = ["left", "drains"].iter().filter_map(|id| leader.departure_of(id));
    let replicated = departures(announced.map(Command::RecordDeparture).collect());

    for mut directory in [older_copy, Directory::new()] {
        let has_entries = directory.entries().next().is_some();
        assert_eq!(
            directory.set_departures(now, &replicated),
            has_entries,
            "followers must be told"
        );
        assert!(available(&directory).is_empty());
        for id in ["left", "drains"] {
            let late = registration(id, 1, 5, 3);
            assert_eq!(directory.register(now, late), RegistrationOutcome::Stale);
        }
        assert!(available(&directory).is_empty());
        directory.register(now, registration("left", 1, 6, 1));
        assert_eq!(available(&directory), ["left"]);
    }
}

/// After a restart of the group, an upstream may leave before it has registered again. Its run is
/// not known, so any run that registers first counts as delayed for a while, also if an earlier run
/// is known to have left. A new run comes back later.
#[test]
fn a_registration_soon_after_an_unknown_run_has_left_is_stale() {
    let now = Instant::now();
    let mut directory = Directory::new();
    directory.register(now, registration("u", 1, 5, 3));
    directory.deregister(now, "u");
    let unknown = |at_ms| vec![Command::RecordUnknownDeparture { upstream: "u".to_owned(), at_ms }];
    directory.set_departures(now, &departures(unknown(1)));
    let repeated = now + Duration::from_secs(4);
    directory.set_departures(repeated, &departures(unknown(2)));
    let soon = repeated + Duration::from_secs(9);
    assert_eq!(directory.register(soon, registration("u", 1, 6, 3)), RegistrationOutcome::Stale);
    let later = repeated + Duration::from_secs(10);
    assert_eq!(directory.register(later, registration("u", 1, 7, 1)), RegistrationOutcome::Started);
    directory.set_departures(later, &departures(unknown(3)));
    assert_eq!(
        directory.register(later, registration("u", 1, 7, 2)),
        RegistrationOutcome::Refreshed,
        "an upstream that is present is not held back"
    );
}

#[test]
fn a_data_centre_out_of_service_has_no_available_upstream() {
    let now = Instant::now();
    let mut directory = Directory::new();
    let remote = Registration { data_centre: "dc-2".to_owned(), ..registration("away", 2, 1, 1) };
    directory.register(now, registration("here", 1, 1, 1));
    directory.register(now, remote);
    directory.set_out_of_service(BTreeSet::from(["dc-2".to_owned()]));
    assert_eq!(available(&directory), ["here"]);
}

/// Followers copy the directory by its changes. After any sequence of registrations, departures
/// and purges, a copy that has applied the changes must offer the same upstreams.
#[test]
fn a_copy_that_applies_the_changes_equals_the_original() {
    let now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut original, mut copy) = (Directory::new(), Directory::new());
    for step in 0..2_000u64 {
        let id = format!("u{}", rng.u8(0..8));
        match rng.u8(0..10) {
            0 => drop(original.deregister(now, &id)),
            1 => original.purge_departed(now + Duration::from_secs(step)),
            _ => {
                let mut registration =
                    registration(&id, u16::from(rng.u8(0..8)), rng.u64(0..20), rng.u64(0..9));
                registration.is_draining = rng.u8(0..4) == 0;
                original.register(now, registration);
            }
        }
        if rng.u8(0..3) == 0 {
            let is_full_copy = !original.has_history_since(copy.revision());
            let since = if is_full_copy { 0 } else { copy.revision() };
            let changes = original.changes_since(now, since);
            copy.adopt_entries(now, is_full_copy, original.revision(), changes);
            assert_eq!(available(&original), available(&copy), "step {step}");
        }
    }
}

/// A member of the control group tells the leader of registrations that change nothing by name only.
/// The leader must not take such a message for more than that the run is alive.
#[test]
fn a_refresh_changes_nothing_but_the_time() {
    let now = Instant::now();
    let mut directory = Directory::new();
    directory.register(now, registration("u", 1, 5, 3));
    let revision = directory.revision();
    assert!(directory.is_refresh(&registration("u", 1, 5, 4)));
    let later = now + Duration::from_secs(1);
    assert!(directory.refresh(later, "u", 5, 4));
    assert_eq!(directory.time_since_heard(later, "u"), Duration::ZERO);
    assert_eq!(directory.revision(), revision);

    // A late one doesn't count as a sign of life.
    let much_later = later + Duration::from_secs(1);
    assert!(directory.refresh(much_later, "u", 5, 4));
    assert_eq!(directory.time_since_heard(much_later, "u"), Duration::from_secs(1));
    // Unknown upstreams and other runs have to register whole.
    assert!(!directory.refresh(much_later, "v", 5, 5));
    assert!(!directory.refresh(much_later, "u", 6, 1));
}

#[test]
fn a_registration_that_changes_something_is_no_refresh() {
    let now = Instant::now();
    let mut directory = Directory::new();
    let known = registration("u", 1, 5, 3);
    directory.register(now, known.clone());
    let later = Registration { sequence: 4, ..known.clone() };
    assert!(directory.is_refresh(&later));
    let cold_remaining = Duration::from_secs(1);
    let changed = [
        Registration { is_draining: true, ..later.clone() },
        Registration { started_at_ms: 6, ..later.clone() },
        Registration { cold_remaining, ..later.clone() },
        Registration { slots: 1, ..later.clone() },
        Registration { service: "other".to_owned(), ..later.clone() },
        Registration { address: "10.0.0.9:80".parse().expect("an address"), ..later.clone() },
        Registration { id: "v".to_owned(), ..later.clone() },
    ];
    for registration in changed {
        assert!(!directory.is_refresh(&registration), "{registration:?}");
    }
    directory.register(now, Registration { is_draining: true, ..later.clone() });
    assert!(!directory.is_refresh(&later), "it drains");
    assert!(!directory.refresh(now, "u", 5, 5), "it drains");
    directory.deregister(now, "u");
    assert!(!directory.is_refresh(&later) && !directory.refresh(now, "u", 5, 6), "it has left");
}

/// A member that joined after an upstream had left, and been forgotten, may lead later. An entry that
/// was cut off all the time has the upstream as present, and must not keep it.
#[test]
fn a_full_copy_has_no_history_before_it() {
    let now = Instant::now();
    let mut leader = Directory::new();
    leader.register(now, registration("u", 1, 1, 1));
    let entry_revision = leader.revision();
    leader.deregister(now, "u");
    leader.register(now, registration("v", 2, 1, 1));
    leader.purge_departed(now + Duration::from_secs(600));

    let mut copy = Directory::new();
    copy.adopt_entries(now, true, leader.revision(), leader.changes_since(now, 0));
    assert!(!copy.has_history_since(entry_revision));
    assert!(copy.has_history_since(leader.revision()));
}

/// Departures that a copy takes over from the replicated state get revisions of the copy's own, which
/// the leader gives to other entries.
#[test]
fn changes_of_a_copy_hide_none_of_the_leader() {
    let now = Instant::now();
    let mut leader = Directory::new();
    leader.register(now, registration("u", 1, 1, 1));
    leader.register(now, registration("v", 2, 1, 1));
    let mut copy = Directory::new();
    copy.adopt_entries(now, true, leader.revision(), leader.changes_since(now, 0));
    let since = copy.revision();
    let departure = UpstreamDeparture {
        upstream: "u".to_owned(),
        started_at_ms: 1,
        has_left: true,
        sequence: 2,
        at_ms: 0,
    };
    copy.set_departures(now, &departures(vec![Command::RecordDeparture(departure)]));
    leader.register(now, registration("w", 3, 1, 1));
    copy.adopt_entries(now, false, leader.revision(), leader.changes_since(now, since));
    leader.register(now, registration("u", 1, 2, 1));
    copy.adopt_entries(now, false, leader.revision(), leader.changes_since(now, since + 1));
    let changed: Vec<String> =
        copy.changes_since(now, since).into_iter().map(|e| e.registration.id).collect();
    assert_eq!(changed, ["u", "w"]);
}

/// A remaining cold time may fit the clock of the leader and not that of a follower. The follower's task
/// ended at it, so that it followed nothing any more.
#[test]
fn a_cold_time_beyond_the_clock_stops_no_daemon() {
    let now = Instant::now();
    let registration = Registration {
        cold_remaining: Duration::MAX,
        ..Registration::new("u1", "s1", "10.0.0.1:80".parse().expect("an address"))
    };
    let mut leader = Directory::new();
    assert_eq!(leader.register(now, registration.clone()), RegistrationOutcome::Started);
    let mut follower = Directory::new();
    let entry = DirectoryEntry { registration, is_departed: false, revision: 1 };
    follower.adopt_entries(now, true, 1, vec![entry]);
    assert!(follower.get("u1").is_some());
}
