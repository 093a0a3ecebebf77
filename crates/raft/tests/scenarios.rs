//! Runs the scripts in `tests/scripts`, which choose each tick and each delivered message. Every
//! step is checked as in the property tests.

mod sim;

use goldenscript::Command;
use raft::{MembershipChange, Message, MessageBody, NodeId, PersistedState};
use sim::{CrashPoint, Sim};
use std::{collections::BTreeSet, error::Error, fmt::Write as _, result, str::FromStr};

type Result<T> = result::Result<T, Box<dyn Error>>;

struct Runner {
    sim: Sim,
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &goldenscript::Context) -> Result<String> {
        let mut args = command.consume_args();
        match command.name.as_str() {
            "group" => {
                let voters = key(&mut args, "voters")?.unwrap_or(3);
                let is_limited = key(&mut args, "one-entry-a-message")?.unwrap_or(false);
                self.sim = Sim::new(voters, if is_limited { limit_to_one_entry } else { |_| () });
            }
            "tick" => {
                let count = key(&mut args, "count")?.unwrap_or(1);
                let ids = ids(&mut args)?;
                for _ in 0..count {
                    ids.iter().for_each(|id| self.sim.tick(*id));
                }
            }
            "rounds" => self.sim.rounds(args.next_pos().ok_or("missing count")?.parse()?),
            "elect" => return Ok(format!("node {} leads", self.sim.elect())),
            "campaign" => {
                let id = args.next_pos().ok_or("missing node id")?.parse()?;
                let others = ids(&mut args)?;
                self.campaign(id, &others);
            }
            "deliver" => {
                let from = args.next_pos().ok_or("missing id of the sender")?.parse()?;
                let to = args.next_pos().ok_or("missing id of the receiver")?.parse()?;
                let count = key(&mut args, "count")?.unwrap_or(1);
                return self.deliver(from, to, count);
            }
            "exchange" => {
                let is_wanted = match args.take_key("only") {
                    Some("votes") => is_about_votes,
                    Some("heartbeats") => is_heartbeat,
                    Some(other) => return Err(format!("unknown filter {other}").into()),
                    None => |_: &MessageBody| true,
                };
                let ids = ids(&mut args)?.into_iter().collect();
                self.exchange(&ids, is_wanted);
            }
            "drop" => self.sim.network.clear(),
            "propose" => {
                let id = args.next_pos().ok_or("missing node id")?.parse()?;
                let text = args.next_pos().ok_or("missing command text")?;
                let is_accepted = self.sim.propose(id, text.as_bytes());
                self.sim.with(id, |_| ());
                return Ok(if is_accepted { "accepted" } else { "refused" }.into());
            }
            "read" => {
                let before = self.sim.confirmed_reads;
                self.sim.read(args.next_pos().ok_or("missing node id")?.parse()?);
                let rounds = key(&mut args, "rounds")?.unwrap_or(0);
                self.sim.rounds(rounds);
                let is_confirmed = self.sim.confirmed_reads > before;
                return Ok(if is_confirmed { "confirmed" } else { "open" }.into());
            }
            "add" => {
                let (leader, id) = pair(&mut args)?;
                let result = self.change(leader, MembershipChange::AddLearner(id));
                if !self.sim.nodes.contains_key(&id) {
                    self.sim.add(id, PersistedState::default());
                }
                return Ok(result);
            }
            "promote" => {
                let (leader, id) = pair(&mut args)?;
                return Ok(self.change(leader, MembershipChange::Promote(id)));
            }
            "demote" => {
                let (leader, id) = pair(&mut args)?;
                return Ok(self.change(leader, MembershipChange::Demote(id)));
            }
            "remove" => {
                let (leader, id) = pair(&mut args)?;
                return Ok(self.change(leader, MembershipChange::Remove(id)));
            }
            "replace" => {
                let leader = args.next_pos().ok_or("missing node id")?.parse()?;
                let (old, new) = pair(&mut args)?;
                return Ok(self.change(leader, MembershipChange::Exchange { old, new }));
            }
            "transfer" => {
                let (leader, to) = pair(&mut args)?;
                let result = self.sim.with(leader, |raft| raft.transfer_leadership(to));
                return Ok(match result.ok_or("the node is down")? {
                    Ok(()) => "accepted".into(),
                    Err(e) => e.to_string(),
                });
            }
            "note-lost" => {
                let (id, lost) = pair(&mut args)?;
                self.sim.with(id, |raft| raft.note_lost_disk(lost));
            }
            "isolate" => {
                for id in ids(&mut args)? {
                    let others: Vec<_> = self.sim.nodes.keys().copied().collect();
                    self.sim.cut.extend(others.iter().flat_map(|o| [(id, *o), (*o, id)]));
                }
            }
            "cut" => {
                let link = pair(&mut args)?;
                self.sim.cut.insert(link);
            }
            "reads" => return Ok(format!("{} confirmed", self.sim.confirmed_reads)),
            "heal" => self.sim.cut.clear(),
            "crash" => {
                let is_before_sync = key(&mut args, "before-sync")?.unwrap_or(false);
                for id in ids(&mut args)? {
                    match is_before_sync {
                        true => self.sim.crash_at(id, CrashPoint::BeforeSync),
                        false => self.sim.crash(id),
                    }
                }
            }
            "restart" => ids(&mut args)?.into_iter().for_each(|id| self.sim.restart(id)),
            "lose-disk" => {
                self.sim.may_lose_disks = true;
                for id in ids(&mut args)? {
                    self.sim.add(id, PersistedState::default());
                }
            }
            "found-again" => {
                let members = self.sim.raft(1).membership().clone();
                self.sim.may_lose_disks = true;
                for id in ids(&mut args)? {
                    self.sim.add(id, PersistedState::bootstrap(members.clone()));
                }
            }
            "compact" => {
                let keep = key(&mut args, "keep")?.unwrap_or(0);
                ids(&mut args)?.into_iter().for_each(|id| self.sim.compact(id, keep));
            }
            "network" => return Ok(self.sim.network.iter().map(describe).collect()),
            "status" => return Ok(self.status()),
            name => return Err(format!("unknown command {name}").into()),
        }
        args.reject_next()?;
        Ok(String::new())
    }
}

fn limit_to_one_entry(cfg: &mut raft::Config) {
    cfg.max_batch_bytes = 1;
}

fn ids(args: &mut goldenscript::ArgumentConsumer<'_>) -> Result<Vec<NodeId>> {
    std::iter::from_fn(|| args.next_pos()).map(|arg| Ok(arg.parse()?)).collect()
}

fn key<T: FromStr<Err: Error + 'static>>(
    args: &mut goldenscript::ArgumentConsumer<'_>,
    name: &str,
) -> Result<Option<T>> {
    Ok(args.take_key(name).map(str::parse).transpose()?)
}

fn pair(args: &mut goldenscript::ArgumentConsumer<'_>) -> Result<(NodeId, NodeId)> {
    let ids = ids(args)?;
    match ids[..] {
        [a, b] => Ok((a, b)),
        _ => Err("expected two node ids".into()),
    }
}

fn describe(message: &Message) -> String {
    let Message { from, to, term, body, .. } = message;
    let what = match body {
        MessageBody::Append { prev, entries, commit, .. } => {
            let entries: Vec<_> =
                entries.iter().map(|e| format!("{}@{}", e.index, e.term)).collect();
            format!("append {entries:?} after {}@{}, commit {commit}", prev.index, prev.term)
        }
        body => format!("{body:?}"),
    };
    format!("{from}->{to} in term {term}: {what}\n")
}

fn is_about_votes(body: &MessageBody) -> bool {
    matches!(
        body,
        MessageBody::PreVote { .. }
            | MessageBody::PreVoteResponse { .. }
            | MessageBody::Vote { .. }
            | MessageBody::VoteResponse { .. }
    )
}

fn is_heartbeat(body: &MessageBody) -> bool {
    matches!(body, MessageBody::Heartbeat { .. } | MessageBody::HeartbeatResponse { .. })
}

impl Runner {
    /// Makes a node leader with the votes of `others`. These are ticked first, so that they no
    /// longer consider the former leader live. Messages in flight are lost, and only messages of
    /// the election are delivered.
    fn campaign(&mut self, id: NodeId, others: &[NodeId]) {
        /// Minimum election timeout in [`Config::new`].
        const ELECTION_TICKS: usize = 10;
        for _ in 0..ELECTION_TICKS {
            others.iter().for_each(|other| self.sim.tick(*other));
        }
        self.sim.network.clear();
        let ids: BTreeSet<_> = others.iter().copied().chain([id]).collect();
        for _ in 0..6 * ELECTION_TICKS {
            if !self.sim.raft(id).is_leader() {
                self.sim.tick(id);
                self.exchange(&ids, is_about_votes);
            }
        }
    }

    /// Delivers the wanted messages between the named nodes, and those that result, until none is
    /// left.
    fn exchange(&mut self, ids: &BTreeSet<NodeId>, is_wanted: fn(&MessageBody) -> bool) {
        let is_inside =
            |m: &Message| ids.contains(&m.from) && ids.contains(&m.to) && is_wanted(&m.body);
        while let Some(at) = self.sim.network.iter().position(is_inside) {
            let message = self.sim.network.remove(at);
            self.sim.deliver(message);
        }
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, count: usize) -> Result<String> {
        let mut output = String::new();
        for _ in 0..count {
            let is_next = |m: &Message| m.from == from && m.to == to;
            let at = self.sim.network.iter().position(is_next).ok_or("no such message")?;
            let message = self.sim.network.remove(at);
            output.push_str(&describe(&message));
            self.sim.deliver(message);
        }
        Ok(output)
    }

    fn change(&mut self, leader: NodeId, change: MembershipChange) -> String {
        match self.sim.with(leader, |raft| raft.propose_change(change)) {
            Some(Ok(_)) => "accepted".into(),
            Some(Err(e)) => e.to_string(),
            None => "the node is down".into(),
        }
    }

    fn status(&self) -> String {
        let mut output = String::new();
        for (id, node) in &self.sim.nodes {
            let line = match &node.raft {
                Some(_) => self.sim.describe(*id),
                None => format!("node {id}: down"),
            };
            writeln!(output, "{line}").expect("writing to a string doesn't fail");
        }
        output
    }
}

fn run(name: &str) {
    let path = format!("tests/scripts/{name}");
    let mut runner = Runner { sim: Sim::new(3, |_| ()) };
    goldenscript::run(&mut runner, path).expect("the script passes");
}

#[test]
fn entries_of_older_terms() {
    run("entries_of_older_terms");
}

#[test]
fn reads() {
    run("reads");
}

#[test]
fn one_change_at_a_time() {
    run("one_change_at_a_time");
}

#[test]
fn lost_disk() {
    run("lost_disk");
}

#[test]
fn cut_off_for_long() {
    run("cut_off_for_long");
}

#[test]
fn second_loss_after_repair() {
    run("second_loss_after_repair");
}

#[test]
fn founded_again() {
    run("founded_again");
}

/// Guards against a group that loses its majority for good because a voter that doesn't answer, but comes
/// back with its disk, was removed before its successor had a vote.
#[test]
fn exchange_of_a_voter() {
    run("exchange_of_a_voter");
}

/// Guards against a group that loses its majority for good because a node was promoted before the voter
/// whose place it takes was removed, and is lost itself.
#[test]
fn replacement_of_a_lost_voter() {
    run("replacement_of_a_lost_voter");
}

/// Guards against a new leader that takes voters for reachable which it has never heard.
#[test]
fn changes_of_a_new_leader() {
    run("changes_of_a_new_leader");
}
