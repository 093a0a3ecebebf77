//! `demo`: one daemon and a few stand-ins in one process.

use crate::{
    cli::{Command, Result},
    exit::Exit,
};
use fake::{Announcer, Engine, EngineConfig};
use getopts::Matches;
use kernel::SystemClock;
use std::{sync::Arc, thread};
use toucansilld::{Daemon, Settings};

pub(crate) const COMMAND: Command = Command {
    name: "demo",
    arguments: "",
    summary: "Runs one daemon and a few stand-ins in one process.",
    examples: &["toucansill demo"],
    options: |_| {},
    run,
};

const SETTINGS: &str = "
daemon: demo
region: demo
data_centre: demo-1
listen: {callers: 127.0.0.1:0, operators: 127.0.0.1:0, links: 127.0.0.1:0}
seeds: [127.0.0.1:1]
secret_file: unused
operator_token_file: unused
";

fn run(_: &Matches) -> Result<Exit> {
    let settings = Settings::parse("demo", SETTINGS)?;
    let daemon = Daemon::start(&settings, Arc::new(SystemClock))?;
    let address = daemon.callers_address();
    let engine = Arc::new(Engine::start(EngineConfig::default())?);
    let source = Arc::clone(&engine);
    let _announcer = Announcer::start(address.to_string(), move || Some(source.announcement()));
    println!(
        "curl -N http://{address}/v1/chat/completions -H 'Content-Type: application/json' \
         -d '{{\"model\":\"small\",\"stream\":true,\"max_tokens\":8,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    loop {
        thread::park();
    }
}
