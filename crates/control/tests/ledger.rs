//! Property test of the ledger against a model: within the retention window of a key
//! at most one request claims it. A ledger that forgets a claim too early, or gives the
//! key to a delayed copy of another claim, would let a call run twice.

mod common;

use bolero::generator::produce_with;
use common::{claim, claim_id, holder, join};
use control::{
    ClaimId, ClaimOutcome, Command, Completion, DaemonInstance, LedgerLimits, LedgerOutcome,
    Outcome, State, StoredResponse,
};
use std::collections::{BTreeMap, BTreeSet};

const LIMITS: LedgerLimits = LedgerLimits {
    retention_ms: 1000,
    abandoned_retention_ms: 50,
    max_entries: 5,
    max_bytes: 2900,
    max_response_bytes: 300,
};

/// What the outcomes so far say about a key, recorded independently of the ledger.
#[derive(Clone)]
struct Expected {
    request: String,
    body: u8,
    ended_ms: Option<u64>,
    response: Option<StoredResponse>,
}

#[derive(Default)]
struct Model {
    keys: BTreeMap<String, Expected>,
    /// Key and request of each abandoned claim.
    abandoned: BTreeSet<(String, String)>,
}

impl Model {
    /// Checks the outcome of a claim and records the key if it was claimed.
    fn check_claim(&mut self, id: &ClaimId, body: u8, outcome: &ClaimOutcome, now_ms: u64) {
        let known = self.keys.get(&id.key.key).filter(|known| {
            known.ended_ms.is_none_or(|ended_ms| now_ms < ended_ms + LIMITS.retention_ms)
        });
        match (outcome, known) {
            (ClaimOutcome::Claimed, Some(known)) => {
                assert_eq!((&known.request, known.body), (&id.request, body), "claimed twice");
                assert_eq!(known.ended_ms, None, "claimed after its end");
            }
            (ClaimOutcome::Claimed, None) => {
                let request = id.request.clone();
                let expected = Expected { request, body, ended_ms: None, response: None };
                self.keys.insert(id.key.key.clone(), expected);
            }
            (ClaimOutcome::Answered(response), Some(known)) => {
                assert_eq!((known.response.as_ref(), known.body), (Some(response), body));
            }
            (ClaimOutcome::BodyMismatch, Some(known)) => assert_ne!(known.body, body),
            (ClaimOutcome::Full { .. }, Some(_)) => panic!("a known key was refused as new"),
            (ClaimOutcome::InProgress { .. } | ClaimOutcome::MayHaveRun, Some(known)) => {
                assert_eq!(known.body, body);
            }
            _ => {}
        }
    }

    /// Checks the outcome of a completion or an abandonment, and records the end of the
    /// call.
    fn check_end(
        &mut self,
        id: &ClaimId,
        outcome: &LedgerOutcome,
        response: Option<&StoredResponse>,
        now_ms: u64,
    ) {
        let Some(known) = self.keys.get_mut(&id.key.key) else {
            return assert_eq!(*outcome, LedgerOutcome::NotHeld, "ended without a claim");
        };
        match outcome {
            LedgerOutcome::Stored | LedgerOutcome::StoredWithoutAnswer => {
                assert_eq!((&known.request, &known.response), (&id.request, &None));
                known.ended_ms = Some(now_ms);
                known.response = response.cloned().map(|response| match outcome {
                    LedgerOutcome::Stored => response,
                    _ => StoredResponse { body: None, content_type: String::new(), ..response },
                });
            }
            LedgerOutcome::Freed => {
                assert_eq!(known.request, id.request);
                self.keys.remove(&id.key.key);
                self.abandoned.insert((id.key.key.clone(), id.request.clone()));
            }
            LedgerOutcome::NotHeld | LedgerOutcome::GivenUp => {}
        }
    }

    /// Records the end of all claims of a removed daemon instance, whose requests have
    /// this prefix.
    fn give_up_claims(&mut self, request_prefix: &str, now_ms: u64) {
        let open = self.keys.values_mut().filter(|known| known.ended_ms.is_none());
        open.filter(|known| known.request.starts_with(request_prefix))
            .for_each(|known| known.ended_ms = Some(now_ms));
    }
}

/// The ledger under test, the model, and the claims that may be sent again.
struct Simulation {
    state: State,
    model: Model,
    now_ms: u64,
    incarnations: [u64; 2],
    /// Claims made so far, each with its body. They are sent again at random.
    claims: Vec<(ClaimId, u8)>,
}

impl Simulation {
    fn apply(&mut self, cmd: &Command) -> Outcome {
        self.state.apply(self.state.applied() + 1, cmd)
    }

    fn holder(&self, daemon: u8) -> DaemonInstance {
        let index = usize::from(daemon % 2);
        holder(["a", "b"][index], self.incarnations[index])
    }

    /// Runs one generated operation and checks the bounds of the ledger.
    fn step(&mut self, op: u8, arg: u8, extra: u8) {
        match op % 16 {
            0..=3 => self.claim(arg, extra),
            4..=6 => self.resend(arg),
            7..=9 => self.complete(arg, extra),
            10 => self.abandon(arg),
            11 => self.restart_daemon(arg),
            12 => self.state = State::restore(&self.state.snapshot()).unwrap(),
            _ => self.now_ms += u64::from(arg),
        }
        assert!(self.state.ledger().len() <= LIMITS.max_entries);
        assert!(self.state.ledger().bytes() <= LIMITS.max_bytes);
    }

    fn claim(&mut self, arg: u8, extra: u8) {
        let holder = self.holder(extra);
        let request = format!("{}-{}/{}", holder.daemon, holder.incarnation, self.claims.len());
        let id = claim_id(&format!("k{}", arg % 8), &request, holder, self.now_ms);
        self.claims.push((id, u8::from(extra >= 192)));
        self.resend(u8::MAX);
    }

    fn resend(&mut self, arg: u8) {
        let Some((mut id, body)) = self.pick_claim(arg) else { return };
        id.at_ms = self.now_ms;
        let Outcome::Claim(outcome) = self.apply(&claim(id.clone(), body)) else { panic!() };
        let was_abandoned =
            self.model.abandoned.contains(&(id.key.key.clone(), id.request.clone()));
        // A copy that arrives after the abandoned claim was forgotten may claim the key
        // again, although no call is sent for it. It must not take the key from another
        // request whose call is in progress.
        if was_abandoned && outcome == ClaimOutcome::Claimed {
            let known = self.model.keys.get(&id.key.key);
            assert!(
                known.is_none_or(|known| known.ended_ms.is_some() || known.request == id.request)
            );
        }
        self.model.check_claim(&id, body, &outcome, self.now_ms);
    }

    fn complete(&mut self, arg: u8, extra: u8) {
        let Some((mut id, _)) = self.pick_claim(arg) else { return };
        id.at_ms = self.now_ms;
        let body = Some(vec![extra; 2 * usize::from(extra)]);
        let response = StoredResponse { status: 200, content_type: "text/plain".to_string(), body };
        let cmd = Command::CompleteKey(Completion { id: id.clone(), answer: response.clone() });
        let Outcome::Key(outcome) = self.apply(&cmd) else { panic!() };
        self.model.check_end(&id, &outcome, Some(&response), self.now_ms);
    }

    fn abandon(&mut self, arg: u8) {
        let Some((mut id, _)) = self.pick_claim(arg) else { return };
        id.at_ms = self.now_ms;
        let Outcome::Key(outcome) = self.apply(&Command::AbandonKey(id.clone())) else { panic!() };
        self.model.check_end(&id, &outcome, None, self.now_ms);
    }

    fn restart_daemon(&mut self, arg: u8) {
        let former = self.holder(arg);
        if arg >= 128 {
            self.apply(&Command::Expire(former.clone()));
        }
        self.incarnations[usize::from(arg % 2)] += 1;
        let next = self.holder(arg);
        self.apply(&join(&next.daemon, next.incarnation, "dc-1"));
        let request_prefix = format!("{}-{}/", former.daemon, former.incarnation);
        self.model.give_up_claims(&request_prefix, self.state.clock_ms());
    }

    fn pick_claim(&self, arg: u8) -> Option<(ClaimId, u8)> {
        let recent = self.claims.len().min(12);
        let offset = usize::from(u8::MAX - arg) % recent.max(1);
        self.claims.iter().rev().nth(offset).cloned()
    }
}

#[test]
fn claims_are_linearizable() {
    let ops = produce_with::<Vec<(u8, u8, u8)>>().len(400usize);
    seeded::check().with_generator(ops).for_each(|ops| {
        let mut simulation = Simulation {
            state: State::with_limits(LIMITS),
            model: Model::default(),
            now_ms: 0,
            incarnations: [1, 1],
            claims: Vec::new(),
        };
        simulation.apply(&join("a", 1, "dc-1"));
        simulation.apply(&join("b", 1, "dc-1"));
        ops.iter().for_each(|(op, arg, extra)| simulation.step(*op, *arg, *extra));
    });
}
