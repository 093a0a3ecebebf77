//! Single steps of the lease protocol: the exact times at which a lease expires, and
//! replies that must not extend it. A lease that lasts too long at the daemon, or ends too
//! early at the leader, would let two daemons act as the owner of one upstream.

mod common;

use common::{holder, join, sheet};
use control::{
    ACKNOWLEDGE_INTERVAL, Command, InForceStatus, LEASE_DURATION, LeaseGrant, Leases, Ownership,
    RENEWAL_INTERVAL, RenewalReply, Session, SessionRefusal, State,
};
use std::time::{Duration, Instant};

const DATA_CENTRE: &str = "dc-1";
const MS: Duration = Duration::from_millis(1);

/// Returns a state with these members, the table of a leader without former leases, and
/// the members' sessions.
fn region(daemons: &[&str], now: Instant) -> (State, Leases, Vec<Session>) {
    let mut state = State::new();
    let leases = Leases::new(now, state.roster());
    let session = |daemon: &&str| Session::new(holder(daemon, 1), DATA_CENTRE);
    let sessions = daemons.iter().map(session).collect();
    for daemon in daemons {
        state.apply(state.applied() + 1, &join(daemon, 1, DATA_CENTRE));
    }
    (state, leases, sessions)
}

/// Renews the lease of a daemon without loss.
fn renew(session: &mut Session, leases: &mut Leases, state: &State, now: Instant) {
    let renewal = session.renew(now);
    session.accept(&leases.renew(now, &renewal, state)).unwrap();
}

#[test]
fn a_lease_is_measured_from_before_the_renewal_was_sent() {
    let sent = Instant::now();
    let (state, mut leases, mut sessions) = region(&["a"], sent);
    let renewal = sessions[0].renew(sent);
    let reply = leases.renew(sent + 1000 * MS, &renewal, &state);
    sessions[0].accept(&reply).unwrap();
    assert_eq!(sessions[0].may_accept_work(sent + LEASE_DURATION - MS), Ok(()));
    assert_eq!(
        sessions[0].may_accept_work(sent + LEASE_DURATION),
        Err(SessionRefusal::LeaseRunOut)
    );
}

#[test]
fn the_leader_waits_longer_by_the_bound_on_drift() {
    let now = Instant::now();
    let (state, mut leases, mut sessions) = region(&["a"], now);
    renew(&mut sessions[0], &mut leases, &state, now);
    let expires_at = now + LEASE_DURATION * 1010 / 1000;
    assert_eq!(leases.expired(expires_at - MS, state.roster()), []);
    assert_eq!(leases.expired(expires_at, state.roster()), [holder("a", 1)]);
}

#[test]
fn an_instance_declared_expired_gets_no_further_lease() {
    let now = Instant::now();
    let (state, mut leases, mut sessions) = region(&["a"], now);
    renew(&mut sessions[0], &mut leases, &state, now);
    leases.expired(now + 2 * LEASE_DURATION, state.roster());
    let renewal = sessions[0].renew(now + 2 * LEASE_DURATION);
    let reply = leases.renew(now + 2 * LEASE_DURATION, &renewal, &state);
    assert!(sessions[0].accept(&reply).unwrap_err().is_not_member());
}

#[test]
fn changes_are_acknowledged_early_and_other_commands_are_not() {
    let now = Instant::now();
    let (mut state, mut leases, mut sessions) = region(&["a"], now);
    assert!(sessions[0].is_renewal_due(now));
    renew(&mut sessions[0], &mut leases, &state, now);
    assert!(!sessions[0].is_renewal_due(now + ACKNOWLEDGE_INTERVAL - MS));
    assert!(sessions[0].is_renewal_due(now + ACKNOWLEDGE_INTERVAL));
    state.apply(9, &Command::Tick { at_ms: 5 });
    renew(&mut sessions[0], &mut leases, &state, now);
    assert!(!sessions[0].is_renewal_due(now + RENEWAL_INTERVAL - MS));
    assert!(sessions[0].is_renewal_due(now + RENEWAL_INTERVAL));
    assert_eq!(sessions[0].lease_remaining(now + MS), LEASE_DURATION - MS);
    sessions[0].rejoin(2);
    assert!(sessions[0].is_renewal_due(now));
    assert_eq!(sessions[0].lease_remaining(now), Duration::ZERO);
}

#[test]
fn a_duplicate_reply_is_refused() {
    let now = Instant::now();
    let (state, mut leases, mut sessions) = region(&["a"], now);
    let renewal = sessions[0].renew(now);
    let reply = leases.renew(now, &renewal, &state);
    sessions[0].accept(&reply).unwrap();
    assert!(sessions[0].accept(&reply).unwrap_err().is_unknown_reply());
}

#[test]
fn a_lease_is_not_valid_before_the_view_has_reached_its_index() {
    let now = Instant::now();
    let (state, _, mut sessions) = region(&["a"], now);
    let sequence = sessions[0].renew(now).sequence;
    let (committed, changes) = (state.applied() + 1, state.changes_since(0));
    let grant = LeaseGrant { sequence, committed, lease_ms: 3000, settled: 0, changes };
    sessions[0].accept(&RenewalReply::Granted(grant)).unwrap();
    assert_eq!(sessions[0].may_accept_work(now), Err(SessionRefusal::NotConfirmed));
}

#[test]
fn a_leader_that_has_applied_less_than_the_daemon_grants_no_lease() {
    let now = Instant::now();
    let (state, mut leases, mut sessions) = region(&["a"], now);
    renew(&mut sessions[0], &mut leases, &state, now);
    let renewal = sessions[0].renew(now);
    let reply = leases.renew(now, &renewal, &State::new());
    assert!(matches!(reply, RenewalReply::Behind { .. }), "{reply:?}");
}

#[test]
fn a_new_leader_settles_nothing_for_the_duration_of_a_lease() {
    let now = Instant::now();
    let (state, _, _) = region(&["a"], now);
    let leases = Leases::new(now, state.roster());
    let in_force = leases.in_force(1, now + LEASE_DURATION);
    let InForceStatus::No { lagging, is_leader_new: true } = in_force else {
        panic!("{in_force:?}")
    };
    assert_eq!(lagging[0].instance, holder("a", 1));
    assert_eq!(leases.in_force(1, now + 2 * LEASE_DURATION), InForceStatus::Yes);
}

#[test]
fn the_lease_of_a_replaced_instance_still_delays_a_change() {
    let now = Instant::now();
    let (mut state, mut leases, mut sessions) = region(&["a"], now);
    renew(&mut sessions[0], &mut leases, &state, now);
    state.apply(2, &join("a", 2, DATA_CENTRE));
    leases.expired(now, state.roster());
    assert_ne!(leases.in_force(2, now), InForceStatus::Yes);
    assert_eq!(leases.in_force(2, now + 2 * LEASE_DURATION), InForceStatus::Yes);
}

#[test]
fn a_name_at_another_address_is_another_process() {
    let mut state = State::new();
    state.apply(1, &join("a", 1, DATA_CENTRE));
    let mut other = join("a", 1, DATA_CENTRE);
    if let Command::Join(join) = &mut other {
        join.address = "elsewhere:1".to_string();
    }
    assert_ne!(state.apply(2, &other), state.apply(3, &join("a", 1, DATA_CENTRE)));
}

/// Returns the ownership of an upstream at `a`, after the upstream went to `b` and back
/// before `a` renewed its lease. `a` gets both roster changes at once or, if the steps are
/// no longer kept, the full view without them. It cannot know that `b` has stopped, so it
/// must wait until the rosters have settled.
fn ownership_after_temporary_loss(are_steps_lost: bool) -> Ownership {
    let now = Instant::now();
    let (mut state, mut leases, mut sessions) = region(&["a"], now);
    renew(&mut sessions[0], &mut leases, &state, now);
    let owned_by_b = (0..).map(|n| format!("u{n}")).find(|upstream| {
        let mut with_b = state.clone();
        with_b.apply(2, &join("b", 1, DATA_CENTRE));
        control::owner_of(upstream, DATA_CENTRE, with_b.roster()).as_deref() == Some("b")
    });
    let upstream = owned_by_b.unwrap();
    let first = sessions[0].owns(&upstream, now);
    assert!(matches!(first, Ownership::Owner { .. }), "{first:?}");
    state.apply(2, &join("b", 1, DATA_CENTRE));
    state.apply(3, &Command::Leave(holder("b", 1)));
    for number in 1..=if are_steps_lost { 1100 } else { 1 } {
        state.apply(3 + number, &sheet(number, number as u8, "ana"));
    }
    let renewal = sessions[0].renew(now);
    let reply = leases.renew(now, &renewal, &state);
    let RenewalReply::Granted(grant) = reply else { panic!("{reply:?}") };
    sessions[0].accept(&RenewalReply::Granted(LeaseGrant { settled: 1, ..grant })).unwrap();
    sessions[0].owns(&upstream, now)
}

#[test]
fn a_daemon_that_lost_ownership_in_between_waits() {
    assert_eq!(ownership_after_temporary_loss(false), Ownership::Waiting);
}

#[test]
fn a_daemon_that_missed_rosters_waits() {
    assert_eq!(ownership_after_temporary_loss(true), Ownership::Waiting);
}
