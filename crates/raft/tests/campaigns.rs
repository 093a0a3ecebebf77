//! Time until a group has a leader once all of its voters are back.

mod sim;

use raft::{Config, Membership, Message, MessageBody, NodeId, PersistedState, Raft, Role};
use sim::Sim;
use std::env;

const VOTERS: NodeId = 5;
/// 12 s of ticks.
const TICKS: usize = 240;

struct Rng(u64);
impl Rng {
    fn next(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % n
    }
}

/// Ticks until a leader has committed, after links that were cut are whole. `hunt` cuts off candidates; otherwise links
/// are cut at random. `two_wiped` has two voters lose their disks, `loss` is the share of links cut per tick afterwards.
fn run(seed: u64, loss: u64, two_wiped: bool, hunt: bool) -> usize {
    let mut rng = Rng(seed);
    let mut sim = Sim::new(VOTERS, |_| ());
    sim.may_lose_disks = two_wiped;
    // Each node's configuration has a seed of its own by its id.
    (0..rng.next(40)).for_each(|_| sim.round());
    let leader = sim.elect();
    for n in 0..5u8 {
        sim.propose(leader, &[n]);
        sim.round();
    }
    sim.rounds(5);
    let mut wiped = Vec::new();
    if two_wiped {
        let l = sim.leader().unwrap();
        for n in 0..2 {
            let id = (l + n) % VOTERS + 1;
            if id == l {
                continue;
            }
            wiped.push(id);
        }
        for id in &wiped {
            sim.crash(*id);
            sim.lose_disk(*id);
        }
    }
    if hunt {
        // A candidate is cut off as soon as it has sent its requests.
        for _ in 0..(10 + rng.next(25)) {
            let mut found = false;
            for _ in 0..80 {
                sim.round();
                let l = sim.leader();
                if let Some(l) = l {
                    for b in 1..=VOTERS {
                        sim.cut.insert((l, b));
                        sim.cut.insert((b, l));
                    }
                }
                let cands: Vec<NodeId> = sim
                    .alive()
                    .into_iter()
                    .filter(|id| sim.raft(*id).role() == raft::Role::Candidate)
                    .collect();
                if !cands.is_empty() {
                    for c in cands {
                        for b in 1..=VOTERS {
                            if rng.next(4) > 0 {
                                sim.cut.insert((c, b));
                            }
                            if rng.next(4) > 0 {
                                sim.cut.insert((b, c));
                            }
                        }
                    }
                    found = true;
                    break;
                }
            }
            if found {
                let n = 1 + rng.next(25);
                for _ in 0..n {
                    sim.round();
                }
            }
            if rng.next(3) > 0 {
                sim.cut.clear();
            }
        }
    }
    // Trouble: links change every few ticks.
    let rounds = if hunt { 0 } else { 20 + rng.next(60) };
    for _ in 0..rounds {
        sim.cut.clear();
        for a in 1..=VOTERS {
            for b in 1..=VOTERS {
                if a != b && rng.next(100) < 55 {
                    sim.cut.insert((a, b));
                }
            }
        }
        let frozen: Vec<NodeId> = (1..=VOTERS).filter(|_| rng.next(100) < 25).collect();
        let n = 1 + rng.next(15);
        for _ in 0..n {
            sim.round_with_ticks(|id| !frozen.contains(&id));
        }
    }
    sim.cut.clear();
    for id in &wiped {
        sim.restart(*id);
    }
    let lead = |s: &Sim| {
        s.leader().is_some_and(|id| {
            let raft = s.raft(id);
            raft.entry_term(raft.commit()) == Some(raft.term())
        })
    };
    for n in 0..4 * TICKS {
        if lead(&sim) {
            return n;
        }
        if loss > 0 {
            sim.cut.clear();
            for a in 1..=VOTERS {
                for b in 1..=VOTERS {
                    if a != b && rng.next(100) < loss {
                        sim.cut.insert((a, b));
                    }
                }
            }
        }
        sim.round();
    }
    4 * TICKS
}

/// Guards against candidates that wait so long for votes that a group has no leader 12 s after all voters are back.
#[test]
fn a_leader_is_elected_in_time_once_all_voters_are_back() {
    let seeds: u64 =
        env::var("PROPERTY_ITERATIONS").ok().and_then(|s| s.parse().ok()).unwrap_or(60);
    for (loss, wiped, hunt) in [
        (0, false, true),
        (20, false, false),
        (20, false, true),
        (0, true, false),
        (0, true, true),
        (20, true, true),
    ] {
        for seed in 0..seeds {
            let ticks = run(seed, loss, wiped, hunt);
            assert!(
                ticks <= TICKS,
                "{ticks} ticks: seed {seed}, loss {loss}, wiped {wiped}, hunt {hunt}"
            );
        }
    }
}

/// Guards against a group that has no leader for seconds after two candidates have split the votes, as both wait
/// for further ones.
#[test]
fn a_candidate_that_was_refused_does_not_wait_longer_each_time() {
    const CAMPAIGNS: usize = 6;
    let mut raft =
        Raft::new(Config::new(1), PersistedState::bootstrap(Membership::initial(1, 1..=VOTERS)));
    let longest = 2 * Config::new(1).election_ticks;
    let answer = |raft: &mut Raft, term, body: &MessageBody| {
        let group = raft.membership().group;
        (2..=VOTERS).for_each(|from| {
            raft.step(Message { group, from, to: 1, term, body: body.clone() });
        });
    };
    for campaign in 0..CAMPAIGNS {
        let waited = (0..20 * longest).find(|_| {
            raft.tick();
            raft.role() == Role::PreCandidate
        });
        assert!(waited.is_some_and(|n| n < longest), "campaign {campaign}: {waited:?} ticks");
        let term = raft.term();
        answer(&mut raft, term + 1, &MessageBody::PreVoteResponse { granted: true });
        assert_eq!(raft.role(), Role::Candidate);
        answer(&mut raft, term + 1, &MessageBody::VoteResponse { granted: false });
    }
}
