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

/// Applies one command and returns its encoded outcome. A command that can't be decoded is skipped
/// alike on every voter.
fn apply(state: &mut State, index: u64, buf: &[u8]) -> Vec<u8> {
    match decode::<Command>(buf) {
        Ok(command) => encode(&state.apply(index, &command)),
        Err(err) => {
            log::error!("the command at {index} can't be decoded: {err}");
            state.skip(index);
            Vec::new()
        }
    }
}
