//! `backup` and `restore`: copies of the replicated state of the control group.

use crate::{
    cli::{Command, Result},
    exit::{Exit, Failure},
    operator::{self, OperatorClient},
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

/// Folder of the log within the `data_folder` of a voter.
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
    summary: "Prepares an empty data folder for a voter of a new control group from a backup.",
    examples: &["toucansill restore --id 1 --voters 1,2,3 --epoch 2 monday.backup data"],
    options: restore_options,
    run: restore,
};

fn restore_options(options: &mut Options) {
    options.optopt("", "id", "id of this voter", "ID");
    options.optopt("", "voters", "ids of all initial voters of the new group", "ID,ID,...");
    options.optopt("", "epoch", "epoch of the new group, higher than that of the old one", "N");
}

fn backup(matches: &Matches) -> Result<Exit> {
    let [file] = matches.free.as_slice() else {
        return Err(Failure::usage("backup: give the FILE to write").into());
    };
    let buf = OperatorClient::from_options(matches)?.bytes("/backup")?;
    let file = Path::new(file);
    let snapshot = write_and_verify(file, &buf)?;
    println!("{}: state at log index {}, {} bytes", file.display(), snapshot.meta.index, buf.len());
    Ok(Exit::Done)
}

/// Writes a temporary file in the same folder, verifies it and renames it durably, so that a failure
/// half-way leaves an older backup intact.
fn write_and_verify(file: &Path, buf: &[u8]) -> Result<Snapshot> {
    let mut temporary = file.as_os_str().to_os_string();
    temporary.push(".new");
    let temporary = Path::new(&temporary);
    let mut f = File::create(temporary)?;
    f.write_all(buf)?;
    f.sync_all()?;
    let snapshot = disk::read_backup(temporary)?;
    fs::rename(temporary, file)?;
    let folder = file.parent().filter(|folder| !folder.as_os_str().is_empty());
    File::open(folder.unwrap_or(Path::new(".")))?.sync_all()?;
    Ok(snapshot)
}

fn restore(matches: &Matches) -> Result<Exit> {
    let [file, folder] = matches.free.as_slice() else {
        return Err(
            Failure::usage("restore: give the backup FILE and the DATA_FOLDER to prepare").into()
        );
    };
    let id = number(matches, "id")?;
    let epoch = number(matches, "epoch")?;
    let voters = matches.opt_str("voters").unwrap_or_default();
    let voters: result::Result<Vec<u64>, _> =
        voters.split(',').map(|id| id.trim().parse()).collect();
    let voters = voters.map_err(|_| Failure::usage("restore: --voters needs ids such as 1,2,3"))?;
    let snapshot = disk::read_backup(Path::new(file))?;
    let new_state = State::restore(&snapshot.data)?.for_new_group(epoch)?.snapshot();
    let members = Membership::initial(epoch, voters);
    let dir = Path::new(folder).join(GROUP_FOLDER);
    group::restore_backup(&dir, id, &snapshot, members, |_, _| new_state)?;
    println!("{} is ready for voter {id} of epoch {epoch}", dir.display());
    Ok(Exit::Done)
}

/// Value of a required numeric option.
fn number(matches: &Matches, name: &str) -> Result<u64> {
    matches
        .opt_str(name)
        .and_then(|value| value.parse().ok())
        .ok_or_else(|| Failure::usage(format!("restore: --{name} needs a whole number")).into())
}
