//! After lost messages and restarts, the owner's table and the engine's inventory agree
//! again within a bounded number of rounds.

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
use wire::{FencingToken, RequestId};

const GRACE: Duration = Duration::from_secs(2);

/// An event at an owner or its engine.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// The owner adds a request or KV cache to its table; it reaches the engine or not.
    Send {
        is_kv: bool,
        arrives: bool,
    },
    /// The engine finishes a request; the owner learns of it or not.
    Finish {
        which: u8,
        is_noticed: bool,
    },
    /// The owner removes a request or KV cache, and the cancellation or release is lost.
    Forget(u8),
    OwnerRestarts,
    EngineRestarts,
    /// A daemon reclaims a request that it waits for.
    Reclaim(u8),
    /// The owner requests the inventory.
    RequestInventory,
    /// The owner processes the inventory; its actions reach the engine or not.
    Reconcile {
        actions_arrive: bool,
    },
    /// Time passes, in tenths of a second, modulo 30.
    Wait(u8),
}

/// An owner and its engine.
struct World {
    now: Instant,
    reconciler: Reconciler,
    table: OwnerTable,
    engine: EngineInventory,
    /// The inventory being sent to the owner, and when it was requested.
    requested: Option<(EngineInventory, Instant)>,
    sent_at: BTreeMap<RequestId, Instant>,
    next_id: u32,
}

impl World {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            reconciler: Reconciler::new(1, GRACE),
            table: OwnerTable::default(),
            engine: EngineInventory { incarnation: 1, ..EngineInventory::default() },
            requested: None,
            sent_at: BTreeMap::new(),
            next_id: 0,
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
                self.requested = None;
            }
            Step::EngineRestarts => {
                let incarnation = self.engine.incarnation + 1;
                self.engine = EngineInventory { incarnation, ..EngineInventory::default() };
            }
            Step::Reclaim(which) => self.reclaim(which),
            Step::RequestInventory => self.requested = Some((self.engine.clone(), self.now)),
            Step::Reconcile { actions_arrive } => self.reconcile(actions_arrive),
            Step::Wait(tenths) => self.now += Duration::from_millis(u64::from(tenths % 30) * 100),
        }
    }

    fn send(&mut self, is_kv: bool, arrives: bool) {
        self.now += Duration::from_millis(1);
        let id = format!("r-{}", self.next_id);
        self.next_id += 1;
        let expected = ExpectedHolder { sent_at: self.now, incarnation: self.engine.incarnation };
        let holder = MemoryHolder { id: id.clone(), memory_tokens: 10, fence: None };
        let (table, engine) = match is_kv {
            true => (&mut self.table.kv, &mut self.engine.kv),
            false => (&mut self.table.requests, &mut self.engine.requests),
        };
        table.insert(id.clone(), expected);
        if arrives {
            engine.push(holder);
        }
        self.sent_at.insert(id, self.now);
    }

    fn finish(&mut self, which: u8, is_noticed: bool) {
        let index = usize::from(which) % (self.engine.requests.len() + 1);
        if index < self.engine.requests.len() {
            let ended = self.engine.requests.remove(index);
            if is_noticed {
                self.table.requests.remove(&ended.id);
            }
        }
    }

    fn forget(&mut self, which: u8) {
        let ids: Vec<RequestId> =
            self.table.requests.keys().chain(self.table.kv.keys()).cloned().collect();
        if let Some(id) = ids.get(usize::from(which) % (ids.len() + 1)) {
            self.table.requests.remove(id);
            self.table.kv.remove(id);
        }
    }

    fn reclaim(&mut self, which: u8) {
        let index = usize::from(which) % (self.engine.requests.len() + 1);
        if let Some(holder) = self.engine.requests.get(index)
            && !self.table.requests.contains_key(&holder.id)
        {
            self.reconciler.reclaim(holder.id.clone(), self.now);
        }
    }

    fn reconcile(&mut self, actions_arrive: bool) {
        self.now += Duration::from_millis(1);
        let Some((inventory, requested_at)) = self.requested.take() else {
            return;
        };
        for action in self.reconciler.reconcile(&self.table, &inventory, requested_at) {
            self.apply(action, actions_arrive);
        }
    }

    fn apply(&mut self, action: Action, arrives: bool) {
        match action {
            Action::Cancel(id) => {
                assert!(!self.table.requests.contains_key(&id), "{id} is in the owner's table");
                if arrives {
                    self.engine.requests.retain(|holder| holder.id != id);
                }
            }
            Action::Release(id) => {
                assert!(!self.table.kv.contains_key(&id), "{id} is in the owner's table");
                if arrives {
                    self.engine.kv.retain(|holder| holder.id != id);
                }
            }
            Action::Adopt(id, _) => {
                let expected = ExpectedHolder {
                    sent_at: self.sent_at[&id],
                    incarnation: self.engine.incarnation,
                };
                self.table.requests.insert(id, expected);
            }
            Action::Lost(id) => {
                let on_engine = self.engine.requests.iter().chain(&self.engine.kv);
                let is_running = on_engine.into_iter().any(|holder| holder.id == id);
                assert!(!is_running, "{id} is on the engine");
                self.table.requests.remove(&id);
                self.table.kv.remove(&id);
            }
            Action::Superseded => panic!("there is only one owner"),
        }
    }

    /// Runs rounds in which no message is lost.
    fn settle(&mut self) {
        for _ in 0..4 {
            self.now += GRACE;
            self.step(Step::RequestInventory);
            self.reconcile(true);
        }
    }
}

#[test]
fn owner_and_engine_agree_after_bounded_rounds_and_nothing_expected_is_cancelled() {
    seeded::check().with_type::<Vec<Step>>().for_each(|steps| {
        let mut world = World::new();
        steps.iter().for_each(|step| world.step(*step));
        world.settle();
        let ids = |holders: &[MemoryHolder]| -> BTreeSet<RequestId> {
            holders.iter().map(|holder| holder.id.clone()).collect()
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
fn an_owner_with_an_older_epoch_only_reports_that_it_is_superseded() {
    let mut reconciler = Reconciler::new(3, GRACE);
    let fence = Some(FencingToken { epoch: 4, sequence: 1 });
    let holder = MemoryHolder { id: "r-1".to_string(), memory_tokens: 10, fence };
    let inventory = EngineInventory { incarnation: 1, requests: vec![holder], kv: Vec::new() };
    let now = Instant::now();
    for at in [now, now + 2 * GRACE] {
        let actions = reconciler.reconcile(&OwnerTable::default(), &inventory, at);
        assert_eq!(actions, [Action::Superseded]);
    }
}

#[test]
fn a_request_cannot_be_reclaimed_after_its_cancellation() {
    let mut reconciler = Reconciler::new(1, GRACE);
    let holder = MemoryHolder { id: "r-1".to_string(), memory_tokens: 10, fence: None };
    let inventory = EngineInventory { incarnation: 1, requests: vec![holder], kv: Vec::new() };
    let now = Instant::now();
    reconciler.reconcile(&OwnerTable::default(), &inventory, now);
    let now = now + GRACE;
    let actions = reconciler.reconcile(&OwnerTable::default(), &inventory, now);
    assert_eq!(actions, [Action::Cancel("r-1".to_string())]);
    assert_eq!(reconciler.reclaim("r-1", now), ReclaimOutcome::TooLate);
}

#[test]
fn an_orphaned_request_on_a_fake_engine_is_cancelled_and_its_memory_released() {
    let engine = Engine::start(EngineConfig::default()).expect("a free port");
    engine.hold_at(1);
    let (target, former_owner) = (target("engine-1", &engine), client());
    let chosen = target.clone();
    let mut stream = former_owner.stream(request("r-1", "hello", 4), move |_| Some(chosen.clone()));
    assert_eq!(collect(&mut stream, 1).last, None);
    // The table of the new owner doesn't contain the request.
    let owner = client();
    let mut reconciler = Reconciler::new(2, GRACE);
    let now = Instant::now();
    let mut actions = Vec::new();
    for at in [now, now + GRACE] {
        let inventory = owner.inventory(&target).expect("the engine responds");
        assert_eq!(inventory.requests[0].memory_tokens, engine.memory_used());
        actions = reconciler.reconcile(&OwnerTable::default(), &inventory, at);
    }
    assert_eq!(actions, [Action::Cancel("r-1".to_string())]);
    owner.cancel(&target, "r-1");
    engine.wait_idle();
    assert_eq!(engine.memory_used(), 0);
    assert_eq!(engine.stats().cancelled, 1);
}
