//! Giving up a claim whose call was sent and will never get a response. Without this
//! such a claim would never expire, and the ledger would fill up.

use control::{
    Claim, ClaimId, ClaimOutcome, Command, DaemonInstance, JoinRequest, LedgerKey, LedgerLimits,
    LedgerOutcome, Outcome, State,
};

const RETENTION_MS: u64 = 1_000;

fn holder() -> DaemonInstance {
    DaemonInstance { daemon: "entry-1".to_string(), incarnation: 1 }
}

fn id(request: &str, at_ms: u64) -> ClaimId {
    let key = LedgerKey {
        organisation: "terminal".to_string(),
        service: "yard".to_string(),
        key: "k-1".to_string(),
    };
    ClaimId { key, holder: holder(), request: request.to_string(), at_ms }
}

fn claim(request: &str, at_ms: u64) -> Command {
    Command::ClaimKey(Claim { id: id(request, at_ms), body_hash: [7; 32] })
}

/// Returns a state in which request `r-1` has claimed the key.
fn state() -> State {
    let limits = LedgerLimits { retention_ms: RETENTION_MS, ..LedgerLimits::default() };
    let mut state = State::with_limits(limits);
    let join = JoinRequest {
        holder: holder(),
        address: "10.0.0.1:7000".to_string(),
        data_centre: "dc-1".to_string(),
    };
    state.apply(1, &Command::Join(join));
    assert_eq!(state.apply(2, &claim("r-1", 10)), Outcome::Claim(ClaimOutcome::Claimed));
    state
}

#[test]
fn a_given_up_call_may_have_run_until_its_retention_window_has_passed() {
    let mut state = state();
    assert_eq!(state.next_expiry_ms(), None, "a claim in progress never expires");
    let given_up = state.apply(3, &Command::GiveUpKey(id("r-1", 20)));
    assert_eq!(given_up, Outcome::Key(LedgerOutcome::GivenUp));
    let resent = state.apply(4, &claim("r-2", 30));
    assert_eq!(resent, Outcome::Claim(ClaimOutcome::MayHaveRun));
    let due = state.next_expiry_ms().expect("the retention window has started");
    assert!(due >= 20 + RETENTION_MS);
    state.apply(5, &Command::Tick { at_ms: due });
    assert!(state.ledger().is_empty());
}

#[test]
fn only_the_holder_of_a_claim_can_give_it_up() {
    let mut state = state();
    let other = state.apply(3, &Command::GiveUpKey(id("r-2", 20)));
    assert_eq!(other, Outcome::Key(LedgerOutcome::NotHeld));
    let resent = state.apply(4, &claim("r-3", 30));
    let in_progress = ClaimOutcome::InProgress { daemon: "entry-1".to_string() };
    assert_eq!(resent, Outcome::Claim(in_progress));
}
