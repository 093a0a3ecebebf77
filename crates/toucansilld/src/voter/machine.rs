//! Adapts the replicated state to the group's state machine.

use crate::sync::lock;
use control::{Command, State, decode, encode};
use group::StateMachine;
use std::sync::{Arc, Mutex};

/// State machine that applies the group's commands to `state`.
pub(crate) fn state_machine(state: &Arc<Mutex<State>>) -> StateMachine {
    let applied = Arc::clone(state);
    let snapshotted = Arc::clone(state);
    let restored = Arc::clone(state);
    StateMachine {
        apply: Box::new(move |index, buf| apply(&mut lock(&applied), index, buf)),
        snapshot: Box::new(move || lock(&snapshotted).snapshot()),
        restore: Box::new(move |_, buf| {
            *lock(&restored) = State::restore(buf)?;
            Ok(())
        }),
    }
}

/// Applies one command and returns its encoded outcome. One that can't be decoded was proposed by a
/// later build: applying what follows without it would make this voter's state differ from that of the
/// others.
fn apply(state: &mut State, index: u64, buf: &[u8]) -> Result<Vec<u8>, String> {
    let command = decode::<Command>(buf);
    let command = command.map_err(|err| {
        let build = env!("CARGO_PKG_VERSION");
        format!("{err}. It was proposed by a later build than this one ({build}), which is needed")
    })?;
    Ok(encode(&state.apply(index, &command)))
}
