//! Runs the scripts in `tests/scripts` with complete nodes: thread, disk and state machine.

mod common;

use common::{Cluster, TIMEOUT, state_machine};
use goldenscript::{ArgumentConsumer, Command};
use group::{Config, Group, Membership, NodeId, StartMode, restore_backup};
use std::{
    error::Error,
    fs,
    io::{self, Write as _},
    result,
};

type Result<T> = result::Result<T, Box<dyn Error>>;

struct Runner {
    cluster: Cluster,
}

fn configure(cfg: &mut Config) {
    cfg.snapshot_interval_entries = 50;
    cfg.keep_entries = 10;
    cfg.raft.snapshot_chunk_bytes = 64;
    cfg.store.segment_bytes = 1_000;
}

/// Makes every write fail with "storage full".
fn fill_disk(cfg: &mut Config) {
    cfg.store.files.write = Box::new(|_, _, _| Err(io::ErrorKind::StorageFull.into()));
}

/// Makes every write but the first fail, which is that of a start: it writes the last frame again.
fn fill_disk_after_start(cfg: &mut Config) {
    let mut has_started = false;
    cfg.store.files.write = Box::new(move |f, _, buf| match has_started {
        true => Err(io::ErrorKind::StorageFull.into()),
        false => {
            has_started = true;
            f.write_all(buf)
        }
    });
}

fn id(args: &mut ArgumentConsumer<'_>) -> Result<NodeId> {
    Ok(args.next_pos().ok_or("missing voter id")?.parse()?)
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &goldenscript::Context) -> Result<String> {
        let mut args = command.consume_args();
        let output = match command.name.as_str() {
            "found" => {
                self.cluster = Cluster::bootstrap(id(&mut args)?, configure);
                String::new()
            }
            "propose" => {
                let text = args.next_pos().ok_or("missing command text")?;
                describe_proposal(self.cluster.propose(text))
            }
            "propose-many" => {
                let count: usize = args.next_pos().ok_or("missing count")?.parse()?;
                for n in 0..count {
                    self.cluster.propose(&format!("n{n}"))?;
                }
                String::new()
            }
            "stop" => {
                let id = id(&mut args)?;
                self.cluster.stop(id);
                String::new()
            }
            "lose" => {
                let id = id(&mut args)?;
                self.cluster.stop(id);
                fs::remove_dir_all(self.cluster.dir(id))?;
                String::new()
            }
            "start" => {
                let id = id(&mut args)?;
                describe_start(self.cluster.start(id, StartMode::Join))
            }
            "start-full" => {
                let id = id(&mut args)?;
                describe_start(self.cluster.start_with(id, StartMode::Join, fill_disk))
            }
            "start-then-full" => {
                let id = id(&mut args)?;
                let started = self.cluster.start_with(id, StartMode::Join, fill_disk_after_start);
                describe_start(started)
            }
            "restart-all" => {
                let ids: Vec<_> = self.cluster.nodes.keys().copied().collect();
                ids.iter().for_each(|id| self.cluster.stop(*id));
                ids.iter().try_for_each(|id| self.cluster.start(*id, StartMode::Join))?;
                String::new()
            }
            "replace" => {
                let (old, new) = (id(&mut args)?, id(&mut args)?);
                let leader = self.cluster.elect();
                let result = self.cluster.run(leader, |h| h.replace_voter(old, new, TIMEOUT));
                match result {
                    Ok(_) => "replaced".into(),
                    Err(e) if e.is_not_leader() => "not the leader any more".into(),
                    Err(e) => e.to_string(),
                }
            }
            "cut" => {
                self.cluster.cut.insert(id(&mut args)?);
                String::new()
            }
            "heal" => {
                self.cluster.cut.clear();
                String::new()
            }
            "rounds" => {
                let count: usize = args.next_pos().ok_or("missing count")?.parse()?;
                (0..count).for_each(|_| self.cluster.round());
                String::new()
            }
            "poisoned" => {
                let id = id(&mut args)?;
                self.cluster.until("the voter stops after a failure", |c| {
                    c.nodes[&id].handle.status().failure.is_some()
                });
                let e = self.cluster.nodes[&id].handle.propose(vec![1], TIMEOUT).unwrap_err();
                format!("stopped: {}, not applied: {}", e.is_stopped(), e.is_not_applied())
            }
            "backup" => {
                let leader = self.cluster.elect();
                let path = self.cluster.dir(0);
                let snapshot = self.cluster.run(leader, |h| h.backup())?;
                disk::write_backup(&path, &snapshot)?;
                String::new()
            }
            "restore" => {
                let epoch = args.take_key("epoch").ok_or("missing epoch")?.parse()?;
                let id = id(&mut args)?;
                self.restore(id, epoch)
            }
            "state" => self.state()?,
            name => return Err(format!("unknown command {name}").into()),
        };
        args.reject_next()?;
        Ok(output)
    }
}

fn describe_proposal(result: group::Result<group::AppliedCommand>) -> String {
    match result {
        Ok(_) => "applied".into(),
        Err(e) => format!("{e} (not applied: {})", e.is_not_applied()),
    }
}

fn describe_start(result: group::Result<()>) -> String {
    result.map_or_else(|e| format!("refused, disk: {}", e.is_disk()), |()| "started".into())
}

impl Runner {
    /// Restores the back-up into the folder of the only voter of a new group.
    fn restore(&mut self, id: NodeId, epoch: u64) -> String {
        let backup = disk::read_backup(&self.cluster.dir(0)).expect("the back-up is complete");
        let members = Membership::initial(epoch, [id]);
        let renew = |data: &[u8], epoch: u64| {
            let text = String::from_utf8_lossy(data);
            format!("{text}\nepoch {epoch}").into_bytes()
        };
        restore_backup(self.cluster.dir(id), id, &backup, members, renew)
            .map_or_else(|e| e.to_string(), |()| "restored".into())
    }

    /// Describes the members and, once all reachable nodes have applied it, their common state.
    fn state(&mut self) -> Result<String> {
        let leader = self.cluster.elect();
        self.cluster.run(leader, |h| h.confirm_leadership(TIMEOUT))?;
        let commands = self.cluster.state(leader);
        self.cluster.converge(commands.len());
        let status = self.cluster.nodes[&leader].handle.status();
        let ends: Vec<_> = match &commands[..] {
            [first, .., last] => vec![first, last],
            all => all.iter().collect(),
        };
        Ok(format!(
            "voters {:?}, learners {:?}, epoch {}, {} commands {ends:?}",
            status.membership.voters,
            status.membership.learners,
            status.membership.epoch,
            commands.len()
        ))
    }
}

fn run(name: &str) {
    let mut runner = Runner { cluster: Cluster::new(configure) };
    goldenscript::run(&mut runner, format!("tests/scripts/{name}")).expect("the script passes");
}

#[test]
fn hundreds_of_changes_then_restart_of_all() {
    run("hundreds_of_changes_then_restart_of_all");
}

#[test]
fn second_loss_after_repair() {
    run("second_loss_after_repair");
}

#[test]
fn disk_full() {
    run("disk_full");
}

#[test]
fn cut_off_for_long() {
    run("cut_off_for_long");
}

#[test]
fn backup_and_restore() {
    run("backup_and_restore");
}

#[test]
fn a_data_folder_that_is_in_use_is_refused() {
    let cluster = Cluster::bootstrap(1, configure);
    let (outbox, _) = flume::bounded(1);
    let e =
        Group::start(Config::new(1, cluster.dir(1)), state_machine(&Default::default()), outbox);
    assert!(e.err().expect("the folder is in use").is_disk());
}
