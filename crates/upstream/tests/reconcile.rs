//! An owner's and an engine's tables agree again, whatever gets lost.

mod common;

use bolero::TypeGenerator;
use common::{client, collect, request, target};
use fake::{Engine, EngineConfig};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use upstream::{
    EngineInventory, MemoryHolder,
    reconcile::{Action, ExpectedHolder, OwnerTable, ReclaimOutcome, Reconciler},
};
use wire::{Fence, RequestId};

const GRACE: Duration = Duration::from_secs(2);

/// What happens to an owner and its engine.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Send {
        is_kv: bool,
        arrives: bool,
    },
    /// The engine ends the request; the owner learns of it or not.
    Finish {
        which: u8,
        is_noticed: bool,
    },
    /// The owner forgets a request, and its cancellation is lost.
    Forget(u8),
    OwnerRestarts,
    EngineRestarts,
    /// A daemon claims a request that it waits for.
    Claim(u8),
    Ask,
    Reconcile {
        actions_arrive: bool,
    },
    Wait(u8),
}

struct World {
    now: Instant,
    reconciler: Reconciler,
    table: OwnerTable,
    engine: EngineInventory,
    /// The report on its way, and when it was asked for.
    asked: Option<(EngineInventory, Instant)>,
    sent: BTreeMap<RequestId, Instant>,
    next: u32,
}

impl World {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            reconciler: Reconciler::new(1, GRACE),
            table: OwnerTable::default(),
            engine: EngineInventory { incarnation: 1, ..EngineInventory::default() },
            asked: None,
            sent: BTreeMap::new(),
            next: 0,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Send { is_kv, arrives } => self.send(is_kv, arrives),
            Step::Finish { which, is_noticed } => self.finish(which, is_noticed),
            Step::Forget(which) => self.forget(which),
            Step::OwnerRestarts => {
                self.table = OwnerTable::default();
                self.reconciler = Reconciler::new(1, GRACE);
                self.asked = None;
            }
            Step::EngineRestarts => {
                let incarnation = self.engine.incarnation + 1;
                self.engine = EngineInventory { incarnation, ..EngineInventory::default() };
            }
            Step::Claim(which) => self.claim(which),
            Step::Ask => self.asked = Some((self.engine.clone(), self.now)),
            Step::Reconcile { actions_arrive } => self.reconcile(actions_arrive),
            Step::Wait(tenths) => self.now += Duration::from_millis(u64::from(tenths % 30) * 100),
        }
    }

    fn send(&mut self, is_kv: bool, arrives: bool) {
        self.now += Duration::from_millis(1);
        let id = format!("r-{}", self.next);
        self.next += 1;
        let held = ExpectedHolder { sent_at: self.now, incarnation: self.engine.incarnation };
        let holding = MemoryHolder { id: id.clone(), memory_tokens: 10, fence: None };
        let (table, engine) = match is_kv {
            true => (&mut self.table.kv, &mut self.engine.kv),
            false => (&mut self.table.requests, &mut self.engine.requests),
        };
        table.insert(id.clone(), held);
        if arrives {
            engine.push(holding);
        }
        self.sent.insert(id, self.now);
    }

    fn finish(&mut self, which: u8, is_noticed: bool) {
        let at = usize::from(which) % (self.engine.requests.len() + 1);
        if at < self.engine.requests.len() {
            let ended = self.engine.requests.remove(at);
            if is_noticed {
                self.table.requests.remove(&ended.id);
            }
        }
    }

    fn forget(&mut self, which: u8) {
        let held: Vec<RequestId> =
            self.table.requests.keys().chain(self.table.kv.keys()).cloned().collect();
        if let Some(id) = held.get(usize::from(which) % (held.len() + 1)) {
            self.table.requests.remove(id);
            self.table.kv.remove(id);
        }
    }

    fn claim(&mut self, which: u8) {
        let at = usize::from(which) % (self.engine.requests.len() + 1);
        if let Some(holding) = self.engine.requests.get(at)
            && !self.table.requests.contains_key(&holding.id)
        {
            self.reconciler.reclaim(holding.id.clone(), self.now);
        }
    }

    fn reconcile(&mut self, actions_arrive: bool) {
        self.now += Duration::from_millis(1);
        let Some((report, asked_at)) = self.asked.take() else {
            return;
        };
        for action in self.reconciler.reconcile(&self.table, &report, asked_at) {
            self.apply(action, actions_arrive);
        }
    }

    fn apply(&mut self, action: Action, arrives: bool) {
        match action {
            Action::Cancel(id) => {
                assert!(!self.table.requests.contains_key(&id), "{id} is held");
                if arrives {
                    self.engine.requests.retain(|holding| holding.id != id);
                }
            }
            Action::Release(id) => {
                assert!(!self.table.kv.contains_key(&id), "{id} is held");
                if arrives {
                    self.engine.kv.retain(|holding| holding.id != id);
                }
            }
            Action::Adopt(id, _) => {
                let held = ExpectedHolder {
                    sent_at: self.sent[&id],
                    incarnation: self.engine.incarnation,
                };
                self.table.requests.insert(id, held);
            }
            Action::Lost(id) => {
                let runs = self.engine.requests.iter().chain(&self.engine.kv);
                let is_running = runs.into_iter().any(|holding| holding.id == id);
                assert!(!is_running, "{id} runs");
                self.table.requests.remove(&id);
                self.table.kv.remove(&id);
            }
            Action::Superseded => panic!("there is one owner"),
        }
    }

    /// Rounds in which nothing gets lost.
    fn settle(&mut self) {
        for _ in 0..4 {
            self.now += GRACE;
            self.step(Step::Ask);
            self.reconcile(true);
        }
    }
}

#[test]
fn tables_agree_after_bounded_rounds_and_nothing_held_is_cancelled() {
    seeded::check().with_type::<Vec<Step>>().for_each(|steps| {
        let mut world = World::new();
        steps.iter().for_each(|step| world.step(*step));
        world.settle();
        let ids = |holdings: &[MemoryHolder]| -> BTreeSet<RequestId> {
            holdings.iter().map(|holding| holding.id.clone()).collect()
        };
        assert_eq!(
            world.table.requests.keys().cloned().collect::<BTreeSet<_>>(),
            ids(&world.engine.requests)
        );
        assert_eq!(world.table.kv.keys().cloned().collect::<BTreeSet<_>>(), ids(&world.engine.kv));
        assert_eq!(world.reconciler.unresolved_count(), 0);
    });
}

#[test]
fn an_owner_with_an_older_epoch_touches_nothing() {
    let mut reconciler = Reconciler::new(3, GRACE);
    let fence = Some(Fence { epoch: 4, sequence: 1 });
    let holding = MemoryHolder { id: "r-1".to_string(), memory_tokens: 10, fence };
    let report = EngineInventory { incarnation: 1, requests: vec![holding], kv: Vec::new() };
    let now = Instant::now();
    for at in [now, now + 2 * GRACE] {
        let actions = reconciler.reconcile(&OwnerTable::default(), &report, at);
        assert_eq!(actions, [Action::Superseded]);
    }
}

#[test]
fn a_claim_after_the_cancellation_is_too_late() {
    let mut reconciler = Reconciler::new(1, GRACE);
    let holding = MemoryHolder { id: "r-1".to_string(), memory_tokens: 10, fence: None };
    let report = EngineInventory { incarnation: 1, requests: vec![holding], kv: Vec::new() };
    let now = Instant::now();
    reconciler.reconcile(&OwnerTable::default(), &report, now);
    let now = now + GRACE;
    let actions = reconciler.reconcile(&OwnerTable::default(), &report, now);
    assert_eq!(actions, [Action::Cancel("r-1".to_string())]);
    assert_eq!(reconciler.reclaim("r-1", now), ReclaimOutcome::TooLate);
}

#[test]
fn an_orphan_on_a_real_engine_is_cancelled_and_its_memory_comes_back() {
    let engine = Engine::start(EngineConfig::default()).expect("a free port");
    engine.hold_at(1);
    let (target, former) = (target("engine-1", &engine), client());
    let chosen = target.clone();
    let mut stream = former.stream(request("r-1", "hello", 4), move |_| Some(chosen.clone()));
    assert_eq!(collect(&mut stream, 1).last, None);
    // The new owner knows nothing of it.
    let owner = client();
    let mut reconciler = Reconciler::new(2, GRACE);
    let now = Instant::now();
    let mut actions = Vec::new();
    for at in [now, now + GRACE] {
        let report = owner.inventory(&target).expect("the engine answers");
        assert_eq!(report.requests[0].memory_tokens, engine.memory_used());
        actions = reconciler.reconcile(&OwnerTable::default(), &report, at);
    }
    assert_eq!(actions, [Action::Cancel("r-1".to_string())]);
    owner.cancel(&target, "r-1");
    engine.wait_idle();
    assert_eq!(engine.memory_used(), 0);
    assert_eq!(engine.stats().cancelled, 1);
}
