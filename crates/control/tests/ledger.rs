//! At most one request ever gets a key inside its window.

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

/// What callers were told of one key, kept apart from the code under test.
#[derive(Clone)]
struct Expected {
    request: String,
    body: u8,
    ended_ms: Option<u64>,
    answer: Option<StoredResponse>,
}

#[derive(Default)]
struct Model {
    keys: BTreeMap<String, Expected>,
    /// Requests that abandoned their claim; they never get one again.
    freed: BTreeSet<(String, String)>,
}

impl Model {
    fn claimed(&mut self, id: &ClaimId, body: u8, outcome: &ClaimOutcome, now_ms: u64) {
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
                let expected = Expected { request, body, ended_ms: None, answer: None };
                self.keys.insert(id.key.key.clone(), expected);
            }
            (ClaimOutcome::Answered(answer), Some(known)) => {
                assert_eq!((known.answer.as_ref(), known.body), (Some(answer), body));
            }
            (ClaimOutcome::BodyMismatch, Some(known)) => assert_ne!(known.body, body),
            (ClaimOutcome::Full { .. }, Some(_)) => panic!("a known key was refused as new"),
            (ClaimOutcome::InProgress { .. } | ClaimOutcome::MayHaveRun, Some(known)) => {
                assert_eq!(known.body, body);
            }
            _ => {}
        }
    }

    fn ended(
        &mut self,
        id: &ClaimId,
        outcome: &LedgerOutcome,
        answer: Option<&StoredResponse>,
        now_ms: u64,
    ) {
        let Some(known) = self.keys.get_mut(&id.key.key) else {
            return assert_eq!(*outcome, LedgerOutcome::NotHeld, "ended without a claim");
        };
        match outcome {
            LedgerOutcome::Stored | LedgerOutcome::StoredWithoutAnswer => {
                assert_eq!((&known.request, &known.answer), (&id.request, &None));
                known.ended_ms = Some(now_ms);
                known.answer = answer.cloned().map(|answer| match outcome {
                    LedgerOutcome::Stored => answer,
                    _ => StoredResponse { body: None, content_type: String::new(), ..answer },
                });
            }
            LedgerOutcome::Freed => {
                assert_eq!(known.request, id.request);
                self.keys.remove(&id.key.key);
                self.freed.insert((id.key.key.clone(), id.request.clone()));
            }
            LedgerOutcome::NotHeld | LedgerOutcome::GivenUp => {}
        }
    }

    fn gone(&mut self, requests: &str, now_ms: u64) {
        let open = self.keys.values_mut().filter(|known| known.ended_ms.is_none());
        open.filter(|known| known.request.starts_with(requests))
            .for_each(|known| known.ended_ms = Some(now_ms));
    }
}

struct World {
    state: State,
    model: Model,
    now_ms: u64,
    incarnations: [u64; 2],
    /// Claims made so far, sent again at random.
    sent: Vec<(ClaimId, u8)>,
}

impl World {
    fn apply(&mut self, cmd: &Command) -> Outcome {
        self.state.apply(self.state.applied() + 1, cmd)
    }

    fn holder(&self, daemon: u8) -> DaemonInstance {
        let place = usize::from(daemon % 2);
        holder(["a", "b"][place], self.incarnations[place])
    }

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
        let request = format!("{}-{}/{}", holder.daemon, holder.incarnation, self.sent.len());
        let id = claim_id(&format!("k{}", arg % 8), &request, holder, self.now_ms);
        self.sent.push((id, u8::from(extra >= 192)));
        self.resend(u8::MAX);
    }

    fn resend(&mut self, arg: u8) {
        let Some((mut id, body)) = self.pick(arg) else { return };
        id.at_ms = self.now_ms;
        let Outcome::Claim(outcome) = self.apply(&claim(id.clone(), body)) else { panic!() };
        let is_late = self.model.freed.contains(&(id.key.key.clone(), id.request.clone()));
        // A copy that comes later than the short time for which an abandoned
        // claim is known may take the key for nobody; it never runs twice.
        if is_late && outcome == ClaimOutcome::Claimed {
            let known = self.model.keys.get(&id.key.key);
            assert!(
                known.is_none_or(|known| known.ended_ms.is_some() || known.request == id.request)
            );
        }
        self.model.claimed(&id, body, &outcome, self.now_ms);
    }

    fn complete(&mut self, arg: u8, extra: u8) {
        let Some((mut id, _)) = self.pick(arg) else { return };
        id.at_ms = self.now_ms;
        let body = Some(vec![extra; 2 * usize::from(extra)]);
        let answer = StoredResponse { status: 200, content_type: "text/plain".to_string(), body };
        let cmd = Command::CompleteKey(Completion { id: id.clone(), answer: answer.clone() });
        let Outcome::Key(outcome) = self.apply(&cmd) else { panic!() };
        self.model.ended(&id, &outcome, Some(&answer), self.now_ms);
    }

    fn abandon(&mut self, arg: u8) {
        let Some((mut id, _)) = self.pick(arg) else { return };
        id.at_ms = self.now_ms;
        let Outcome::Key(outcome) = self.apply(&Command::AbandonKey(id.clone())) else { panic!() };
        self.model.ended(&id, &outcome, None, self.now_ms);
    }

    fn restart_daemon(&mut self, arg: u8) {
        let former = self.holder(arg);
        if arg >= 128 {
            self.apply(&Command::Expire(former.clone()));
        }
        self.incarnations[usize::from(arg % 2)] += 1;
        let next = self.holder(arg);
        self.apply(&join(&next.daemon, next.incarnation, "dc-1"));
        let requests = format!("{}-{}/", former.daemon, former.incarnation);
        self.model.gone(&requests, self.state.clock_ms());
    }

    fn pick(&self, arg: u8) -> Option<(ClaimId, u8)> {
        let recent = self.sent.len().min(12);
        let back = usize::from(u8::MAX - arg) % recent.max(1);
        self.sent.iter().rev().nth(back).cloned()
    }
}

#[test]
fn claims_are_linearizable() {
    let ops = produce_with::<Vec<(u8, u8, u8)>>().len(400usize);
    seeded::check().with_generator(ops).for_each(|ops| {
        let mut world = World {
            state: State::with_limits(LIMITS),
            model: Model::default(),
            now_ms: 0,
            incarnations: [1, 1],
            sent: Vec::new(),
        };
        world.apply(&join("a", 1, "dc-1"));
        world.apply(&join("b", 1, "dc-1"));
        ops.iter().for_each(|(op, arg, extra)| world.step(*op, *arg, *extra));
    });
}
