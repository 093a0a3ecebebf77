//! Single steps of the lease: its exact ends, and replies that must not count.

mod common;

use common::{holder, join, sheet};
use control::{
    ACKNOWLEDGE_INTERVAL, Command, InForceStatus, LEASE_DURATION, LeaseGrant, Leases, Ownership,
    RENEWAL_INTERVAL, RenewalReply, Session, SessionRefusal, State,
};
use std::time::{Duration, Instant};

const DATA_CENTRE: &str = "dc-1";
const MS: Duration = Duration::from_millis(1);

/// A state with these members, the leader's table long after its election, and
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

fn renew(session: &mut Session, leases: &mut Leases, state: &State, now: Instant) {
    let renewal = session.renew(now);
    session.accept(&leases.renew(now, &renewal, state)).unwrap();
}

#[test]
fn a_lease_counts_from_before_it_was_sent() {
    let sent = Instant::now();
    let (state, mut leases, mut sessions) = region(&["a"], sent);
    let renewal = sessions[0].renew(sent);
    let reply = leases.renew(sent + 1000 * MS, &renewal, &state);
    sessions[0].accept(&reply).unwrap();
    assert_eq!(sessions[0].may_take_work(sent + LEASE_DURATION - MS), Ok(()));
    assert_eq!(sessions[0].may_take_work(sent + LEASE_DURATION), Err(SessionRefusal::LeaseRunOut));
}

#[test]
fn the_leader_waits_longer_by_the_bound_on_drift() {
    let now = Instant::now();
    let (state, mut leases, mut sessions) = region(&["a"], now);
    renew(&mut sessions[0], &mut leases, &state, now);
    let drifted = now + LEASE_DURATION * 1010 / 1000;
    assert_eq!(leases.expired(drifted - MS, state.roster()), []);
    assert_eq!(leases.expired(drifted, state.roster()), [holder("a", 1)]);
}

#[test]
fn a_condemned_run_gets_no_further_lease() {
    let now = Instant::now();
    let (state, mut leases, mut sessions) = region(&["a"], now);
    renew(&mut sessions[0], &mut leases, &state, now);
    leases.expired(now + 2 * LEASE_DURATION, state.roster());
    let renewal = sessions[0].renew(now + 2 * LEASE_DURATION);
    let reply = leases.renew(now + 2 * LEASE_DURATION, &renewal, &state);
    assert!(sessions[0].accept(&reply).unwrap_err().is_not_member());
}

#[test]
fn changes_are_acknowledged_soon_and_claims_are_not() {
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
fn a_copy_of_a_reply_does_not_count() {
    let now = Instant::now();
    let (state, mut leases, mut sessions) = region(&["a"], now);
    let renewal = sessions[0].renew(now);
    let reply = leases.renew(now, &renewal, &state);
    sessions[0].accept(&reply).unwrap();
    assert!(sessions[0].accept(&reply).unwrap_err().is_unknown_reply());
}

#[test]
fn a_lease_that_names_more_than_the_view_holds_does_not_count() {
    let now = Instant::now();
    let (state, _, mut sessions) = region(&["a"], now);
    let sequence = sessions[0].renew(now).sequence;
    let (committed, changes) = (state.applied() + 1, state.changes_since(0));
    let grant = LeaseGrant { sequence, committed, lease_ms: 3000, settled: 0, changes };
    sessions[0].accept(&RenewalReply::Granted(grant)).unwrap();
    assert_eq!(sessions[0].may_take_work(now), Err(SessionRefusal::NotConfirmed));
}

#[test]
fn a_leader_that_has_applied_less_than_the_daemon_grants_nothing() {
    let now = Instant::now();
    let (state, mut leases, mut sessions) = region(&["a"], now);
    renew(&mut sessions[0], &mut leases, &state, now);
    let renewal = sessions[0].renew(now);
    let reply = leases.renew(now, &renewal, &State::new());
    assert!(matches!(reply, RenewalReply::Behind { .. }), "{reply:?}");
}

#[test]
fn a_new_leader_calls_nothing_settled_for_a_full_lease() {
    let now = Instant::now();
    let (state, _, _) = region(&["a"], now);
    let leases = Leases::new(now, state.roster());
    let in_force = leases.in_force(1, now + LEASE_DURATION);
    let InForceStatus::No { lagging, is_leader_new: true } = in_force else {
        panic!("{in_force:?}")
    };
    assert_eq!(lagging[0].holder, holder("a", 1));
    assert_eq!(leases.in_force(1, now + 2 * LEASE_DURATION), InForceStatus::Yes);
}

#[test]
fn a_lease_of_a_replaced_run_still_holds_a_change_back() {
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

/// The upstream goes from a to b and back while a hears of neither step, or of
/// both at once: a cannot know that b has stopped.
fn ownership_after_a_detour(is_log_cut: bool) -> Ownership {
    let now = Instant::now();
    let (mut state, mut leases, mut sessions) = region(&["a"], now);
    renew(&mut sessions[0], &mut leases, &state, now);
    let owned_by_b = (0..).map(|n| format!("u{n}")).find(|upstream| {
        let mut both = state.clone();
        both.apply(2, &join("b", 1, DATA_CENTRE));
        control::owner_of(upstream, DATA_CENTRE, both.roster()).as_deref() == Some("b")
    });
    let upstream = owned_by_b.unwrap();
    let first = sessions[0].owns(&upstream, now);
    assert!(matches!(first, Ownership::Owner { .. }), "{first:?}");
    state.apply(2, &join("b", 1, DATA_CENTRE));
    state.apply(3, &Command::Leave(holder("b", 1)));
    for number in 1..=if is_log_cut { 1100 } else { 1 } {
        state.apply(3 + number, &sheet(number, number as u8, "ana"));
    }
    let renewal = sessions[0].renew(now);
    let reply = leases.renew(now, &renewal, &state);
    let RenewalReply::Granted(grant) = reply else { panic!("{reply:?}") };
    sessions[0].accept(&RenewalReply::Granted(LeaseGrant { settled: 1, ..grant })).unwrap();
    sessions[0].owns(&upstream, now)
}

#[test]
fn an_owner_that_was_not_one_in_between_waits() {
    assert_eq!(ownership_after_a_detour(false), Ownership::Waiting);
}

#[test]
fn an_owner_that_missed_rosters_waits() {
    assert_eq!(ownership_after_a_detour(true), Ownership::Waiting);
}
