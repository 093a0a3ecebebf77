//! The state with which a new group starts from a back-up.
//!
//! The former group may have gone on after the back-up, and its daemons may still run.
//! Nothing that they hold may be valid in the new group: no membership, no lease, no
//! fencing token and no claim whose call may have run.

mod common;

use bolero::generator::produce_with;
use common::{claim, claim_id, holder, join, sheet};
use control::{
    ClaimOutcome, Command, FencingTokenOutcome, FencingTokenRequest, LEASE_DURATION, Leases,
    Outcome, Ownership, RenewalReply, RosterOutcome, Session, SessionRefusal, State,
};
use std::time::Instant;

const DATA_CENTRE: &str = "dc-1";
const EPOCH: u64 = 2;

/// Returns a state at log index 3 in which `a` is a member with a claim in progress, and
/// sheet 5 is in force.
fn backed_up() -> State {
    let mut state = State::new();
    state.apply(1, &join("a", 7, DATA_CENTRE));
    state.apply(2, &sheet(5, 1, "ana"));
    state.apply(3, &claim(claim_id("key", "r-1", holder("a", 7), 9), 1));
    state
}

/// Requests a fencing token for `a`, and returns its epoch if it is granted.
fn grant_fencing_token(state: &mut State, index: u64, incarnation: u64) -> Option<u64> {
    let req = FencingTokenRequest { holder: holder("a", incarnation), upstream: String::from("u") };
    match state.apply(index, &Command::GrantFence(req)) {
        Outcome::Fence(FencingTokenOutcome::Granted { epoch }) => Some(epoch),
        _ => None,
    }
}

#[test]
fn configuration_is_kept_and_no_daemon_is_a_member() {
    let former = backed_up();
    let mut state = former.clone().for_new_group(EPOCH).unwrap();
    assert_eq!(state.configuration(), former.configuration());
    assert_eq!(state.sheet(), former.sheet());
    assert!(state.roster().is_empty());
    assert_eq!(state.last_incarnation("a"), Some(7));
    let stale = state.apply(4, &join("a", 7, DATA_CENTRE));
    assert_eq!(stale, Outcome::Roster(RosterOutcome::StaleIncarnation { last: 7 }));
    assert_eq!(grant_fencing_token(&mut state, 5, 7), None);
    state.apply(6, &join("a", 8, DATA_CENTRE));
    let resent = state.apply(7, &claim(claim_id("key", "r-2", holder("a", 8), 10), 1));
    assert_eq!(resent, Outcome::Claim(ClaimOutcome::MayHaveRun));
}

#[test]
fn indexes_of_the_former_group_stay_below_those_of_the_new_group() {
    let indexes = produce_with::<Vec<u32>>().len(1..20usize);
    seeded::check().with_generator(indexes).for_each(|indexes| {
        let mut former = backed_up();
        let mut restored = former.clone().for_new_group(EPOCH).unwrap();
        restored.apply(4, &join("a", 8, DATA_CENTRE));
        let lowest = grant_fencing_token(&mut restored, 5, 8).unwrap();
        assert!(restored.roster().epoch() > former.roster().epoch());
        let mut index = former.applied();
        for step in indexes {
            index += 1 + u64::from(*step);
            assert!(grant_fencing_token(&mut former, index, 7).unwrap() < lowest);
        }
        let restored_again =
            State::restore(&restored.snapshot()).unwrap().for_new_group(EPOCH + 1).unwrap();
        assert!(restored_again.applied() > restored.applied());
    });
}

#[test]
fn a_running_session_joins_again_before_it_takes_work_or_owns_an_upstream() {
    let now = Instant::now();
    let former = backed_up();
    let mut session = Session::new(holder("a", 7), DATA_CENTRE);
    let mut leases = Leases::new(now, State::new().roster());
    let renewal = session.renew(now);
    session.accept(&leases.renew(now, &renewal, &former)).unwrap();
    assert_eq!(session.may_accept_work(now), Ok(()));

    let mut state = former.for_new_group(EPOCH).unwrap();
    let mut leases = Leases::new(now, state.roster());
    let renewal = session.renew(now);
    assert!(session.accept(&leases.renew(now, &renewal, &state)).unwrap_err().is_not_member());
    assert_eq!(session.may_accept_work(now), Err(SessionRefusal::NotConfirmed));

    session.rejoin(8);
    state.apply(4, &join("a", 8, DATA_CENTRE));
    let renewal = session.renew(now);
    session.accept(&leases.renew(now, &renewal, &state)).unwrap();
    assert_eq!(session.may_accept_work(now), Ok(()));
    assert_eq!(session.view().index(), state.applied());
    // Daemons of the former group may still act until their leases have expired.
    assert_eq!(session.owns("u", now), Ownership::Waiting);
    let later = now + LEASE_DURATION * 2;
    let renewal = session.renew(later);
    session.accept(&leases.renew(later, &renewal, &state)).unwrap();
    assert!(matches!(session.owns("u", later), Ownership::Owner { .. }));
}

#[test]
fn a_session_refuses_a_group_with_an_older_sheet_until_its_own_is_applied_again() {
    let now = Instant::now();
    let mut session = Session::new(holder("b", 1), DATA_CENTRE);
    let mut former = backed_up();
    let mut state = former.clone().for_new_group(EPOCH).unwrap();
    former.apply(4, &join("b", 1, DATA_CENTRE));
    former.apply(5, &sheet(6, 2, "ana"));
    let mut leases = Leases::new(now, State::new().roster());
    let renewal = session.renew(now);
    session.accept(&leases.renew(now, &renewal, &former)).unwrap();

    session.rejoin(2);
    state.apply(4, &join("b", 2, DATA_CENTRE));
    let mut leases = Leases::new(now, state.roster());
    let renewal = session.renew(now);
    assert!(session.accept(&leases.renew(now, &renewal, &state)).unwrap_err().is_older_sheet());
    assert_eq!(session.view().sheet(), 6);
    assert!(session.may_accept_work(now).is_err());

    state.apply(5, &sheet(6, 2, "ana"));
    let renewal = session.renew(now);
    let reply = leases.renew(now, &renewal, &state);
    assert!(matches!(reply, RenewalReply::Granted(_)));
    session.accept(&reply).unwrap();
    assert_eq!(session.may_accept_work(now), Ok(()));
}

#[test]
fn an_epoch_that_is_not_above_the_former_or_is_too_high_is_refused() {
    let state = backed_up().for_new_group(EPOCH).unwrap();
    for epoch in [0, 1, EPOCH, 1 << 24, u64::MAX] {
        assert!(state.clone().for_new_group(epoch).unwrap_err().is_invalid_epoch());
    }
}

#[test]
fn a_snapshot_of_the_first_format_is_read() {
    let state = backed_up();
    let buf = state.snapshot();
    // The first format lacks the base, which is 0 here and one byte long, after the
    // version. It also lacks the routing document and the data centres out of service at
    // the end, which are empty here and one byte each.
    let former = [&1u32.to_le_bytes(), &buf[5..buf.len() - 2]].concat();
    assert_eq!(State::restore(&former).unwrap(), state);
}
