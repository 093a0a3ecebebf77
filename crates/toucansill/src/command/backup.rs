//! `backup` and `restore`: the replicated state of the control group.

use crate::{
    cli::{Command, Result},
    exit::{Exit, Failure},
    operator::{self, Operator},
};
use control::State;
use getopts::{Matches, Options};
use group::Membership;
use raft::Snapshot;
use std::{
    fs::{self, File},
    io::Write,
    path::Path,
    result,
};

/// Folder of the log within a voter's `data_folder`.
const GROUP_FOLDER: &str = "group";

pub(crate) const BACKUP: Command = Command {
    name: "backup",
    arguments: "FILE",
    summary: "Writes the replicated state of the control group to a file.",
    examples: &["toucansill backup -a 10.0.0.1:8082 -t operator.token monday.backup"],
    options: operator::options,
    run: backup,
};

pub(crate) const RESTORE: Command = Command {
    name: "restore",
    arguments: "FILE DATA_FOLDER",
    summary: "Prepares an empty data folder of a voter of a new group from a back-up.",
    examples: &["toucansill restore --id 1 --voters 1,2,3 --epoch 2 monday.backup data"],
    options: restore_options,
    run: restore,
};

fn restore_options(options: &mut Options) {
    options.optopt("", "id", "id of this voter", "ID");
    options.optopt("", "voters", "ids of all first voters", "ID,ID,...");
    options.optopt("", "epoch", "epoch of the new group, higher than before", "N");
}

fn backup(matches: &Matches) -> Result<Exit> {
    let [file] = matches.free.as_slice() else {
        return Err(Failure::usage("backup: give one file").into());
    };
    let buf = Operator::of(matches)?.bytes("/backup")?;
    let file = Path::new(file);
    let snapshot = save(file, &buf)?;
    println!("{}: state at log index {}, {} bytes", file.display(), snapshot.meta.index, buf.len());
    Ok(Exit::Done)
}

/// Writes the file beside its place first, so that a failure half-way leaves an older
/// back-up as it was.
fn save(file: &Path, buf: &[u8]) -> Result<Snapshot> {
    let mut aside = file.as_os_str().to_os_string();
    aside.push(".new");
    let aside = Path::new(&aside);
    let mut f = File::create(aside)?;
    f.write_all(buf)?;
    f.sync_all()?;
    let snapshot = disk::read_backup(aside)?;
    fs::rename(aside, file)?;
    Ok(snapshot)
}

fn restore(matches: &Matches) -> Result<Exit> {
    let [file, folder] = matches.free.as_slice() else {
        return Err(Failure::usage("restore: give a back-up and a data folder").into());
    };
    let id = number(matches, "id")?;
    let epoch = number(matches, "epoch")?;
    let voters = matches.opt_str("voters").unwrap_or_default();
    let voters: result::Result<Vec<u64>, _> =
        voters.split(',').map(|id| id.trim().parse()).collect();
    let voters = voters.map_err(|_| Failure::usage("restore: --voters takes ids with commas"))?;
    let snapshot = disk::read_backup(Path::new(file))?;
    let renewed = State::restore(&snapshot.data)?.for_new_group(epoch)?.snapshot();
    let members = Membership::initial(epoch, voters);
    let dir = Path::new(folder).join(GROUP_FOLDER);
    group::restore_backup(&dir, id, &snapshot, members, |_, _| renewed)?;
    println!("{} is ready for voter {id} of epoch {epoch}", dir.display());
    Ok(Exit::Done)
}

fn number(matches: &Matches, name: &str) -> Result<u64> {
    matches
        .opt_str(name)
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| Failure::usage(format!("restore: --{name} takes a number")).into())
}
